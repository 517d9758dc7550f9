// The fleet's counters and the registers they rest on: random schedules of faults, and the plain cases one
// by one.
#include <catch2/catch.hpp>

#include "files.hpp"
#include "fleet_counters/simulation.hpp"
#include "lease/acceptor_storage.hpp"
#include "operator_config/options.hpp"

using namespace slatejunction;
using namespace slatejunction::fleet_counters;
using lease::RegisterAcceptor;
using lease::RegisterMessage;
using RegisterKind = lease::RegisterMessage::Kind;

namespace {

CounterValues of(std::uint64_t value) {
    CounterValues values{};
    values[served] = value;
    return values;
}
RegisterMessage ask(RegisterKind kind, std::uint64_t number, std::uint64_t sequence = 0,
                    std::string text = {}) {
    RegisterMessage made{kind, "sums", number, 1, {number, sequence, std::move(text)}, false, 1};
    if (kind == RegisterKind::read) made.value = {};
    return made;
}

}   // namespace

TEST_CASE("random schedules: each period has one row, none is missing, nothing is counted twice",
          "[sums]") {
    std::uint64_t rows = 0, again = 0, changes = 0;
    for (std::uint64_t seed = 1; seed <= 80; ++seed) {
        const auto result =
            fleet_counters_simulation::Simulation(fleet_counters_simulation::random_scenario(seed), seed)
                .run();
        INFO("seed " << seed << "; again: slatejunction-sums-model 1 " << seed);
        REQUIRE(result.violation == "");
        rows += result.rows;
        again += result.duplicate_rows;
        changes += result.terms;
    }
    CHECK(rows > 4000);
    CHECK(again > 50);   // some rows were written by two holders, to the bit the same
    CHECK(changes > 300);
}

TEST_CASE("an acceptor refuses writes under lower tokens, and says what it has forgotten", "[sums]") {
    RegisterAcceptor acceptor(true, {});
    RegisterMessage answer;
    REQUIRE(acceptor.receive(ask(RegisterKind::read, 5), answer));
    CHECK(answer.kind == RegisterKind::read_reply);
    CHECK(answer.value_intact);
    REQUIRE(acceptor.receive(ask(RegisterKind::write, 4, 1, "old"), answer));
    CHECK(answer.kind == RegisterKind::superseded);
    REQUIRE(acceptor.receive(ask(RegisterKind::write, 5, 2, "b"), answer));
    CHECK(answer.kind == RegisterKind::write_ack);
    CHECK_FALSE(acceptor.receive(ask(RegisterKind::write, 5, 1, "a"), answer));   // late
    REQUIRE(acceptor.receive(ask(RegisterKind::write, 5, 2, "b"), answer));       // twice
    CHECK(answer.kind == RegisterKind::write_ack);
    CHECK_FALSE(acceptor.receive(ask(RegisterKind::write, 5, 2, "c"), answer));
    REQUIRE(acceptor.receive(ask(RegisterKind::read, 6), answer));
    CHECK(answer.value.text == "b");
    RegisterAcceptor forgot(false, {});
    REQUIRE(forgot.receive(ask(RegisterKind::read, 6), answer));
    CHECK_FALSE(answer.value_intact);
    REQUIRE(forgot.receive(ask(RegisterKind::write, 6, 1, "c"), answer));
    REQUIRE(forgot.receive(ask(RegisterKind::read, 6), answer));
    CHECK(answer.value_intact);
    CHECK(answer.value.text == "c");
}

TEST_CASE("registers outlive the process in a file, and a broken one is put aside", "[sums]") {
    Folder folder;
    const RegisterAcceptor::Registers all{{"sums", {7, {6, 3, std::string("a\0b", 3)}}}};
    {
        lease::FileRegisterStorage home(folder.path());
        CHECK(home.restored() == nullptr);
        REQUIRE(home.save(all));
    }
    {
        lease::FileRegisterStorage home(folder.path());
        REQUIRE(home.restored());
        CHECK(*home.restored() == all);
    }
    std::string bytes = folder.read("notes");
    bytes[bytes.size() - 2] ^= 1;
    folder.write("notes", bytes);
    lease::FileRegisterStorage home(folder.path());
    CHECK(home.restored() == nullptr);
    CHECK(home.quarantined_path() == folder.file("notes") + ".broken-1");
    CHECK_FALSE(lease::FileRegisterStorage("/nowhere").save(all));
}

TEST_CASE("a reporter keeps what is not counted, and leaves out what it can't be sure of", "[sums]") {
    Reporter reporter(9);
    CHECK_FALSE(reporter.report());
    reporter.record_period(10, of(3));
    reporter.record_period(10, of(4));   // the wall clock was set back
    reporter.record_period(11, of(5));
    auto report = reporter.report();
    REQUIRE(report);
    REQUIRE(report->period_counters.size() == 3);
    CHECK(report->period_counters[0].period == 0);
    CHECK(report->period_counters[1].values[served] == 3);
    Report back;
    REQUIRE(decode(encode(*report), back));
    CHECK(back.period_counters[2].values == report->period_counters[2].values);
    reporter.acknowledge(8, 11);   // another process's
    CHECK(reporter.unacknowledged_periods() == 2);
    reporter.acknowledge(9, 10);
    report = reporter.report();
    REQUIRE(report->period_counters.size() == 2);
    CHECK(report->period_counters[0].values[served] == 3);
    // Nobody answers any more: half of the time after which it is forgotten it leaves that out.
    for (std::uint64_t period = 12; period < 10 + kForgetPeriods / 2; ++period)
        reporter.record_period(period, of(6)), reporter.report();
    CHECK(reporter.dropped_requests() == 0);
    for (std::uint64_t period = 12; period <= 11 + kForgetPeriods; ++period)
        reporter.record_period(period, of(6));
    CHECK(reporter.dropped_requests() == 3);
    CHECK(reporter.report()->period_counters[0].values[served] == 6);
}

TEST_CASE("reports that can't be are not read", "[sums]") {
    Report report;
    CHECK_FALSE(decode("no message", report));
    CHECK_FALSE(decode(encode({0, 0, {}}), report));
    CHECK_FALSE(decode(encode({1, 0, {{0, of(0)}, {3, of(5)}, {4, of(4)}}}), report));   // counts down
    CHECK_FALSE(decode(encode({1, 0, {{0, of(0)}, {4, of(5)}, {3, of(6)}}}), report));
    CHECK_FALSE(decode(encode({1, 2, {{1, of(0)}, {4, of(5)}}}), report));
    CHECK(decode(encode({1, 1, {{1, of(0)}, {4, of(5)}}}), report));
}

TEST_CASE("three hundred processes fit into the registers", "[sums]") {
    // The largest page: as many entries as are taken, each the longest.
    const lease::AcceptorSet acceptors{{"n0"}, {}, 1};
    Aggregator aggregator({1, 0.1}, {1, 0.05, 0.02, 0.1}, acceptors, 1);
    RegisterAcceptor acceptor(true, {});
    std::size_t longest = 0;
    const auto settle = [&](double now) {
        for (bool more = true; more;) {
            more = false;
            for (const auto& post : aggregator.take_register_messages()) {
                RegisterMessage answer;
                longest = std::max(longest, post.message.value.text.size());
                if (acceptor.receive(post.message, answer))
                    aggregator.on_register_message(now, now, "n0", answer), more = true;
            }
        }
    };
    aggregator.begin_term(1000, 1000, 7);
    settle(1000);
    CounterValues values;
    values.fill(1'000'000'000'000'000);
    for (std::uint64_t process = 1; process <= 1000; ++process)
        aggregator.on_report(1000.5, 1000.5, "n", {process, 0, {{0, {}}, {1001, values}}});
    for (double now = 1000.5; now < 1010; now += 0.5) aggregator.on_timer(now, now), settle(now);
    CHECK(aggregator.last_committed_period() >= 1005);
    CHECK(aggregator.rejected_reports() > 0);
    CHECK(longest <= lease::kMaxValueBytes);
    CHECK(longest > lease::kMaxValueBytes / 2);
}

TEST_CASE("[fleet_sums] wants leases and a receiver", "[sums]") {
    Folder folder;
    operator_config::Options options;
    const auto fault = [&](const std::string& text) {
        const auto all = operator_config::load(folder.write("options", text), options);
        return all.empty() ? "" : all.front().substr(folder.path().size());
    };
    CHECK(fault("[fleet_sums]\nevery_s = 15\n") ==
          "/options: [fleet_sums] every_s: wants [lease] voters, one of all ingresses writes them");
    const std::string fleet = "[peers]\nlisten = 127.0.0.1:7400\nkey_file = k\n[lease]\nvoters = a\n";
    CHECK(fault(fleet + "[fleet_sums]\nevery_s = 15\n") ==
          "/options: [fleet_sums] every_s: wants [remote_write] url, where the sums are written");
    CHECK(fault(fleet +
                "[remote_write]\nurl = http://127.0.0.1:1/w\n[fleet_sums]\nevery_s = 1\ngrace_s = 2\n") ==
          "/options: [fleet_sums] grace_s: longer than every_s");
    CHECK(fault(fleet + "[remote_write]\nurl = http://127.0.0.1:1/w\n[fleet_sums]\nevery_s = 0.1\n")
              .find("every_s") != std::string::npos);
    CHECK(fault(fleet + "[remote_write]\nurl = http://127.0.0.1:1/w\n[fleet_sums]\nevery_s = 15\n") == "");
    CHECK(options.fleet_counters.on());
}
