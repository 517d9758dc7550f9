// Tests of membership on a simulated network, of datagram authentication and of the [peers] options.
#include <catch2/catch.hpp>

#include "files.hpp"
#include "ini/ini.hpp"
#include "membership/settings.hpp"
#include "membership/simulation.hpp"

using namespace slatejunction;
using namespace slatejunction::membership;
using membership_simulation::Simulation;

namespace {

const AuthKey kKey = {1, 2, 3}, kOtherKey = {9, 9, 9};

}   // namespace

TEST_CASE("members join through seeds, and a failure is detected within the bound", "[peers]") {
    for (const std::size_t members : {std::size_t{2}, std::size_t{5}, std::size_t{40}})
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            membership_simulation::Scenario scenario;
            scenario.members = members;
            scenario.loss_probability = seed == 3 ? 0.05 : 0;
            Simulation simulation(scenario, seed);
            INFO(members << " members, seed " << seed);
            REQUIRE(simulation.run_until(60, [&] { return simulation.all_alive(); }));
            simulation.run(simulation.now() + 60);
            CHECK(simulation.false_deaths() == 0);
            const double failed_at = simulation.now();
            simulation.kill(1);
            REQUIRE(simulation.run_until(200, [&] { return simulation.all_see(1, MemberState::gone); }));
            CHECK(simulation.now() - failed_at <= detection_bound_s(members, 1));
            // A restart under the same name at the same address is no name conflict.
            simulation.start(1);
            REQUIRE(simulation.run_until(60, [&] { return simulation.all_alive(); }));
            CHECK(simulation.name_conflicts() == 0);
        }
}

TEST_CASE("a member that leaves is listed as departed within seconds", "[peers]") {
    Simulation simulation({}, 4);
    REQUIRE(simulation.run_until(60, [&] { return simulation.all_alive(); }));
    simulation.leave(2);
    CHECK(simulation.run_until(3, [&] { return simulation.all_see(2, MemberState::departed); }));
}

TEST_CASE("after a partition both sides find each other again", "[peers]") {
    Simulation simulation({}, 5);
    REQUIRE(simulation.run_until(60, [&] { return simulation.all_alive(); }));
    for (std::size_t i = 0; i < 2; ++i)
        for (std::size_t j = 2; j < 5; ++j) simulation.cut(i, j, true), simulation.cut(j, i, true);
    REQUIRE(simulation.run_until(60, [&] {
        return simulation.sees(0, 4, MemberState::gone) && simulation.sees(4, 0, MemberState::gone);
    }));
    CHECK(simulation.sees(0, 1, MemberState::alive));
    for (std::size_t i = 0; i < 2; ++i)
        for (std::size_t j = 2; j < 5; ++j) simulation.cut(i, j, false), simulation.cut(j, i, false);
    CHECK(simulation.run_until(90, [&] { return simulation.all_alive(); }));
}

TEST_CASE("a partitioned link between two members causes no false failure: indirect probes succeed",
          "[peers]") {
    membership_simulation::Scenario scenario;
    scenario.members = 6;
    Simulation simulation(scenario, 6);
    REQUIRE(simulation.run_until(60, [&] { return simulation.all_alive(); }));
    simulation.cut(0, 1, true);
    simulation.cut(1, 0, true);
    simulation.run(simulation.now() + 300);
    CHECK(simulation.false_deaths() == 0);
}

TEST_CASE("of two processes with the same name the later one waits until the other is gone", "[peers]") {
    membership_simulation::Scenario scenario;
    scenario.members = 5;
    Simulation simulation(scenario, 7);
    REQUIRE(simulation.run_until(60, [&] { return simulation.all_alive(); }));
    simulation.kill(4);
    REQUIRE(simulation.run_until(60, [&] { return simulation.all_see(4, MemberState::gone); }));
    simulation.start(4, Simulation::name(3), "elsewhere");
    REQUIRE(simulation.run_until(60, [&] { return simulation.member(4).awaiting_name(); }));
    CHECK(simulation.sees(0, 3, MemberState::alive));
    CHECK(simulation.member(0).find(Simulation::name(3))->address == Simulation::address(3));
    simulation.kill(3);
    CHECK(simulation.run_until(120, [&] { return !simulation.member(4).awaiting_name(); }));
    CHECK(simulation.run_until(
        60, [&] { return simulation.member(0).find(Simulation::name(3))->address == "elsewhere"; }));
}

TEST_CASE("300 members detect the failure of 100 at once within the send budget", "[peers]") {
    membership_simulation::Scenario scenario;
    scenario.members = 300;
    Simulation simulation(scenario, 8);
    REQUIRE(simulation.run_until(120, [&] { return simulation.all_alive(); }));
    const std::uint64_t datagrams = simulation.sent_datagrams(), bytes = simulation.sent_bytes();
    const double failed_at = simulation.now();
    for (std::size_t i = 200; i < 300; ++i) simulation.kill(i);
    const bool known = simulation.run_until(150, [&] {
        for (std::size_t i = 200; i < 300; ++i)
            if (!simulation.all_see(i, MemberState::gone)) return false;
        return true;
    });
    CHECK(known);
    CHECK(simulation.false_deaths() == 0);
    const double elapsed_s = simulation.now() - failed_at;
    CHECK(static_cast<double>(simulation.sent_datagrams() - datagrams) / elapsed_s / 200 <
          kDatagramsPerPeriod);
    CHECK(static_cast<double>(simulation.sent_bytes() - bytes) / elapsed_s / 200 < 12'000);
    CHECK(simulation.largest_datagram_bytes() <= kMaxDatagramBytes);
}

TEST_CASE("a user message arrives with its sender, channel and body", "[peers]") {
    Simulation simulation({}, 9);
    REQUIRE(simulation.run_until(60, [&] { return simulation.all_alive(); }));
    REQUIRE(simulation.member(0).send(simulation.now(), Simulation::name(1), 7, "hello"));
    CHECK_FALSE(simulation.member(0).send(simulation.now(), "nobody", 7, "hello"));
    CHECK_FALSE(simulation.member(0).send(simulation.now(), Simulation::name(1), 7,
                                          std::string(kMaxMessageBytes + 1, 'x')));
    simulation.process_outputs(0);
    simulation.run(simulation.now() + 1);
    REQUIRE(simulation.messages(1).size() == 1);
    CHECK(simulation.messages(1)[0].from == Simulation::name(0));
    CHECK(simulation.messages(1)[0].body == "hello");
    CHECK(simulation.messages(1)[0].channel == 7);
}

TEST_CASE("authenticated random payloads do not disturb membership", "[peers]") {
    Simulation simulation({}, 10);
    REQUIRE(simulation.run_until(60, [&] { return simulation.all_alive(); }));
    std::mt19937_64 random(3);
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes(random() % 200, '\0');
        for (char& c : bytes) c = static_cast<char>(random());
        simulation.member(0).receive(simulation.now(), 1 + random() % 8, i % 2 == 0, bytes);
        simulation.member(0).take_datagrams();
    }
    simulation.run(simulation.now() + 30);
    CHECK(simulation.all_alive());
    CHECK(simulation.member(0).traffic().malformed > 1000);
}

TEST_CASE("a datagram is accepted once, by its receiver only, with either key", "[peers]") {
    DatagramAuth a({kKey}, 11), b({kKey}, 22), both_keys({kOtherKey, kKey}, 22), c({kOtherKey}, 33);
    std::uint64_t from = 0;
    std::string_view payload;
    const std::string datagram = a.seal(22, "words");
    CHECK(b.open(datagram, from, payload) == OpenResult::accepted);
    CHECK(from == 11);
    CHECK(payload == "words");
    CHECK(b.open(datagram, from, payload) == OpenResult::replayed);
    // The previous key still verifies.
    CHECK(both_keys.open(datagram, from, payload) == OpenResult::accepted);
    CHECK(c.open(datagram, from, payload) == OpenResult::bad_key);
    // A process that was started later does not accept it.
    CHECK(DatagramAuth({kKey}, 44).open(datagram, from, payload) == OpenResult::not_for_this_process);
    CHECK(b.open(a.seal(0, "hello"), from, payload) == OpenResult::not_for_this_process);
    for (std::size_t i = 0; i < datagram.size(); ++i) {
        std::string corrupted = a.seal(22, "words");
        corrupted[i] ^= 4;
        CHECK(b.open(corrupted, from, payload) != OpenResult::accepted);
        CHECK(b.open(corrupted.substr(0, i), from, payload) != OpenResult::accepted);
    }
    // Datagrams may arrive out of order, but not too far behind.
    std::vector<std::string> many;
    for (int i = 0; i < 400; ++i) many.push_back(a.seal(22, "x"));
    CHECK(b.open(many[399], from, payload) == OpenResult::accepted);
    CHECK(b.open(many[300], from, payload) == OpenResult::accepted);
    CHECK(b.open(many[300], from, payload) == OpenResult::replayed);
    CHECK(b.open(many[10], from, payload) == OpenResult::replayed);
    CHECK(b.open(std::string(kMaxDatagramBytes + 1, 'x'), from, payload) == OpenResult::bad_size);
}

TEST_CASE("errors in [peers] and in its key file are reported", "[peers]") {
    std::vector<AuthKey> keys;
    CHECK(parse_keys("# a\n" + std::string(64, '0') + "\n", keys) == "");
    CHECK(keys.size() == 1);
    CHECK(parse_keys("00\n", keys) == "line 1: a key is 64 hexadecimal digits");
    CHECK(parse_keys("\n# nothing\n", keys) == "line 1: there is no key");
    CHECK(keys.size() == 1);
    const auto first_error = [](const std::string& text) {
        Folder folder;
        membership::Options options;
        auto section = options.section();
        const auto errors = ini::read(folder.write("f", text), {&section});
        return errors.empty() ? std::string() : errors.front().substr(errors.front().find('['));
    };
    CHECK(first_error("[peers]\nlisten = 127.0.0.1:7000\nkey_file = k\n") == "");
    CHECK(first_error("[peers]\nlisten = 127.0.0.1:7000\n").starts_with("[peers] key_file: required"));
    CHECK(first_error("[peers]\nlisten = here\n").starts_with("[peers] listen: 'here' is not"));
    CHECK(first_error("[peers]\nlisten = 127.0.0.1:1\nkey_file = k\nmembers =\n  a=b\n")
              .starts_with("[peers] members: 'a=b'"));
}
