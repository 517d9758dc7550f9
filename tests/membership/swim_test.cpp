// Membership on a simulated net, and the seal of its datagrams.
#include <catch2/catch.hpp>

#include "files.hpp"
#include "ini/ini.hpp"
#include "membership/settings.hpp"
#include "membership/simulation.hpp"

using namespace slatejunction;
using namespace slatejunction::membership;
using membership_simulation::Simulation;

namespace {

const AuthKey kKey = {1, 2, 3}, kOther = {9, 9, 9};

}   // namespace

TEST_CASE("members find one another by a seed, and a death is known in the stated time", "[peers]") {
    for (const std::size_t members : {std::size_t{2}, std::size_t{5}, std::size_t{40}})
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            membership_simulation::Scenario plan;
            plan.members = members;
            plan.loss = seed == 3 ? 0.05 : 0;
            Simulation net(plan, seed);
            INFO(members << " members, seed " << seed);
            REQUIRE(net.run_until(60, [&] { return net.all_alive(); }));
            net.run(net.now() + 60);
            CHECK(net.false_deaths() == 0);
            const double at = net.now();
            net.kill(1);
            REQUIRE(net.run_until(200, [&] { return net.all_see(1, MemberState::gone); }));
            CHECK(net.now() - at <= detection_bound_s(members, 1));
            // Anew, under the same name at the same address.
            net.start(1);
            REQUIRE(net.run_until(60, [&] { return net.all_alive(); }));
            CHECK(net.name_conflicts() == 0);
        }
}

TEST_CASE("who leaves in order is known at once, and as left", "[peers]") {
    Simulation net({}, 4);
    REQUIRE(net.run_until(60, [&] { return net.all_alive(); }));
    net.leave(2);
    CHECK(net.run_until(3, [&] { return net.all_see(2, MemberState::departed); }));
}

TEST_CASE("a split heals: both sides find each other again", "[peers]") {
    Simulation net({}, 5);
    REQUIRE(net.run_until(60, [&] { return net.all_alive(); }));
    for (std::size_t i = 0; i < 2; ++i)
        for (std::size_t j = 2; j < 5; ++j) net.cut(i, j, true), net.cut(j, i, true);
    REQUIRE(net.run_until(
        60, [&] { return net.sees(0, 4, MemberState::gone) && net.sees(4, 0, MemberState::gone); }));
    CHECK(net.sees(0, 1, MemberState::alive));
    for (std::size_t i = 0; i < 2; ++i)
        for (std::size_t j = 2; j < 5; ++j) net.cut(i, j, false), net.cut(j, i, false);
    CHECK(net.run_until(90, [&] { return net.all_alive(); }));
}

TEST_CASE("one bad link makes nobody dead: others vouch", "[peers]") {
    membership_simulation::Scenario plan;
    plan.members = 6;
    Simulation net(plan, 6);
    REQUIRE(net.run_until(60, [&] { return net.all_alive(); }));
    net.cut(0, 1, true);
    net.cut(1, 0, true);
    net.run(net.now() + 300);
    CHECK(net.false_deaths() == 0);
}

TEST_CASE("two processes that claim one name are reported, and the later one waits", "[peers]") {
    membership_simulation::Scenario plan;
    plan.members = 5;
    Simulation net(plan, 7);
    REQUIRE(net.run_until(60, [&] { return net.all_alive(); }));
    net.kill(4);
    REQUIRE(net.run_until(60, [&] { return net.all_see(4, MemberState::gone); }));
    net.start(4, Simulation::name(3), "elsewhere");
    REQUIRE(net.run_until(60, [&] { return net.member(4).awaiting_name(); }));
    CHECK(net.sees(0, 3, MemberState::alive));
    CHECK(net.member(0).find(Simulation::name(3))->address == Simulation::address(3));
    net.kill(3);
    CHECK(net.run_until(120, [&] { return !net.member(4).awaiting_name(); }));
    CHECK(
        net.run_until(60, [&] { return net.member(0).find(Simulation::name(3))->address == "elsewhere"; }));
}

TEST_CASE("300 members of which a third vanish at once", "[peers]") {
    membership_simulation::Scenario plan;
    plan.members = 300;
    Simulation net(plan, 8);
    REQUIRE(net.run_until(120, [&] { return net.all_alive(); }));
    const std::uint64_t datagrams = net.sent_datagrams(), bytes = net.sent_bytes();
    const double at = net.now();
    for (std::size_t i = 200; i < 300; ++i) net.kill(i);
    const bool known = net.run_until(150, [&] {
        for (std::size_t i = 200; i < 300; ++i)
            if (!net.all_see(i, MemberState::gone)) return false;
        return true;
    });
    CHECK(known);
    CHECK(net.false_deaths() == 0);
    const double s = net.now() - at;
    CHECK(static_cast<double>(net.sent_datagrams() - datagrams) / s / 200 < kDatagramsPerPeriod);
    CHECK(static_cast<double>(net.sent_bytes() - bytes) / s / 200 < 12'000);
    CHECK(net.largest_datagram_bytes() <= kMaxDatagramBytes);
}

TEST_CASE("a user message arrives with its sender's process", "[peers]") {
    Simulation net({}, 9);
    REQUIRE(net.run_until(60, [&] { return net.all_alive(); }));
    REQUIRE(net.member(0).send(net.now(), Simulation::name(1), 7, "hello"));
    CHECK_FALSE(net.member(0).send(net.now(), "nobody", 7, "hello"));
    CHECK_FALSE(
        net.member(0).send(net.now(), Simulation::name(1), 7, std::string(kMaxMessageBytes + 1, 'x')));
    net.settle(0);
    net.run(net.now() + 1);
    REQUIRE(net.messages(1).size() == 1);
    CHECK(net.messages(1)[0].from == Simulation::name(0));
    CHECK(net.messages(1)[0].body == "hello");
    CHECK(net.messages(1)[0].channel == 7);
}

TEST_CASE("noise that was sealed right still spoils nothing", "[peers]") {
    Simulation net({}, 10);
    REQUIRE(net.run_until(60, [&] { return net.all_alive(); }));
    std::mt19937_64 random(3);
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes(random() % 200, '\0');
        for (char& c : bytes) c = static_cast<char>(random());
        net.member(0).receive(net.now(), 1 + random() % 8, i % 2 == 0, bytes);
        net.member(0).take_datagrams();
    }
    net.run(net.now() + 30);
    CHECK(net.all_alive());
    CHECK(net.member(0).traffic().malformed > 1000);
}

TEST_CASE("a seal opens once, for its process, by either key, anything else is dropped unread", "[peers]") {
    DatagramAuth a({kKey}, 11), b({kKey}, 22), later({kOther, kKey}, 22), c({kOther}, 33);
    std::uint64_t from = 0;
    std::string_view payload;
    const std::string sealed = a.seal(22, "words");
    CHECK(b.open(sealed, from, payload) == OpenResult::fresh);
    CHECK(from == 11);
    CHECK(payload == "words");
    CHECK(b.open(sealed, from, payload) == OpenResult::replayed);
    CHECK(later.open(sealed, from, payload) == OpenResult::fresh);   // the old key still opens
    CHECK(c.open(sealed, from, payload) == OpenResult::bad_key);
    CHECK(DatagramAuth({kKey}, 44).open(sealed, from, payload) ==
          OpenResult::not_for_this_process);   // started since
    CHECK(b.open(a.seal(0, "hello"), from, payload) == OpenResult::not_for_this_process);
    for (std::size_t i = 0; i < sealed.size(); ++i) {
        std::string spoilt = a.seal(22, "words");
        spoilt[i] ^= 4;
        CHECK(b.open(spoilt, from, payload) != OpenResult::fresh);
        CHECK(b.open(spoilt.substr(0, i), from, payload) != OpenResult::fresh);
    }
    // Out of order is taken, too far behind is not.
    std::vector<std::string> many;
    for (int i = 0; i < 400; ++i) many.push_back(a.seal(22, "x"));
    CHECK(b.open(many[399], from, payload) == OpenResult::fresh);
    CHECK(b.open(many[300], from, payload) == OpenResult::fresh);
    CHECK(b.open(many[300], from, payload) == OpenResult::replayed);
    CHECK(b.open(many[10], from, payload) == OpenResult::replayed);
    CHECK(b.open(std::string(kMaxDatagramBytes + 1, 'x'), from, payload) == OpenResult::bad_size);
}

TEST_CASE("faults of [peers] and of its key file are told", "[peers]") {
    std::vector<AuthKey> keys;
    CHECK(parse_keys("# a\n" + std::string(64, '0') + "\n", keys) == "");
    CHECK(keys.size() == 1);
    CHECK(parse_keys("00\n", keys) == "line 1: a key is 64 hexadecimal digits");
    CHECK(parse_keys("\n# nothing\n", keys) == "line 1: there is no key");
    CHECK(keys.size() == 1);
    const auto fault = [](const std::string& text) {
        Folder folder;
        membership::Options options;
        auto section = options.section();
        const auto faults = ini::read(folder.write("f", text), {&section});
        return faults.empty() ? std::string() : faults.front().substr(faults.front().find('['));
    };
    CHECK(fault("[peers]\nlisten = 127.0.0.1:7000\nkey_file = k\n") == "");
    CHECK(fault("[peers]\nlisten = 127.0.0.1:7000\n").starts_with("[peers] key_file: is wanted"));
    CHECK(fault("[peers]\nlisten = here\n").starts_with("[peers] listen: 'here' is not"));
    CHECK(fault("[peers]\nlisten = 127.0.0.1:1\nkey_file = k\nmembers =\n  a=b\n")
              .starts_with("[peers] members: 'a=b'"));
}
