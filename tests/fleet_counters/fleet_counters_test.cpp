// Tests of the fleet's counters and of the replicated registers that store them: random schedules of
// faults, and single cases.
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

CounterValues served_requests(std::uint64_t value) {
    CounterValues values{};
    values[served] = value;
    return values;
}
RegisterMessage make_request(RegisterKind kind, std::uint64_t number, std::uint64_t sequence = 0,
                             std::string text = {}) {
    RegisterMessage message{kind, "sums", number, 1, {number, sequence, std::move(text)}, false, 1};
    if (kind == RegisterKind::read) message.value = {};
    return message;
}

}   // namespace

TEST_CASE("random schedules: one row per period, none missing, no increment counted twice", "[sums]") {
    std::uint64_t rows = 0, duplicate_rows = 0, terms = 0;
    for (std::uint64_t seed = 1; seed <= 80; ++seed) {
        const auto result =
            fleet_counters_simulation::Simulation(fleet_counters_simulation::random_scenario(seed), seed)
                .run();
        INFO("seed " << seed << "; reproduce with: slatejunction-sums-model 1 " << seed);
        REQUIRE(result.violation == "");
        rows += result.rows;
        duplicate_rows += result.duplicate_rows;
        terms += result.terms;
    }
    CHECK(rows > 4000);
    CHECK(duplicate_rows > 50);   // rows written by two holders, with identical values
    CHECK(terms > 300);
}

TEST_CASE("an acceptor refuses writes under lower tokens and reports lost values", "[sums]") {
    RegisterAcceptor acceptor(true, {});
    RegisterMessage answer;
    REQUIRE(acceptor.receive(make_request(RegisterKind::read, 5), answer));
    CHECK(answer.kind == RegisterKind::read_reply);
    CHECK(answer.value_intact);
    REQUIRE(acceptor.receive(make_request(RegisterKind::write, 4, 1, "old"), answer));
    CHECK(answer.kind == RegisterKind::superseded);
    REQUIRE(acceptor.receive(make_request(RegisterKind::write, 5, 2, "b"), answer));
    CHECK(answer.kind == RegisterKind::write_ack);
    // A late write, then a duplicate.
    CHECK_FALSE(acceptor.receive(make_request(RegisterKind::write, 5, 1, "a"), answer));
    REQUIRE(acceptor.receive(make_request(RegisterKind::write, 5, 2, "b"), answer));
    CHECK(answer.kind == RegisterKind::write_ack);
    CHECK_FALSE(acceptor.receive(make_request(RegisterKind::write, 5, 2, "c"), answer));
    REQUIRE(acceptor.receive(make_request(RegisterKind::read, 6), answer));
    CHECK(answer.value.text == "b");
    RegisterAcceptor restarted(false, {});
    REQUIRE(restarted.receive(make_request(RegisterKind::read, 6), answer));
    CHECK_FALSE(answer.value_intact);
    REQUIRE(restarted.receive(make_request(RegisterKind::write, 6, 1, "c"), answer));
    REQUIRE(restarted.receive(make_request(RegisterKind::read, 6), answer));
    CHECK(answer.value_intact);
    CHECK(answer.value.text == "c");
}

TEST_CASE("registers are stored in a file, and a corrupt file is quarantined", "[sums]") {
    Folder folder;
    const RegisterAcceptor::Registers all{{"sums", {7, {6, 3, std::string("a\0b", 3)}}}};
    {
        lease::FileRegisterStorage storage(folder.path());
        CHECK(storage.restored() == nullptr);
        REQUIRE(storage.save(all));
    }
    {
        lease::FileRegisterStorage storage(folder.path());
        REQUIRE(storage.restored());
        CHECK(*storage.restored() == all);
    }
    std::string bytes = folder.read("notes");
    bytes[bytes.size() - 2] ^= 1;
    folder.write("notes", bytes);
    lease::FileRegisterStorage storage(folder.path());
    CHECK(storage.restored() == nullptr);
    CHECK(storage.quarantined_path() == folder.file("notes") + ".broken-1");
    CHECK_FALSE(lease::FileRegisterStorage("/nowhere").save(all));
}

TEST_CASE("a reporter keeps unacknowledged periods, and drops them after a limit", "[sums]") {
    Reporter reporter(9);
    CHECK_FALSE(reporter.report());
    reporter.record_period(10, served_requests(3));
    reporter.record_period(10, served_requests(4));   // the wall clock was set back
    reporter.record_period(11, served_requests(5));
    auto report = reporter.report();
    REQUIRE(report);
    REQUIRE(report->period_counters.size() == 3);
    CHECK(report->period_counters[0].period == 0);
    CHECK(report->period_counters[1].values[served] == 3);
    Report back;
    REQUIRE(decode(encode(*report), back));
    CHECK(back.period_counters[2].values == report->period_counters[2].values);
    reporter.acknowledge(8, 11);   // has no effect: addressed to another process
    CHECK(reporter.unacknowledged_periods() == 2);
    reporter.acknowledge(9, 10);
    report = reporter.report();
    REQUIRE(report->period_counters.size() == 2);
    CHECK(report->period_counters[0].values[served] == 3);
    // Without acknowledgements, counters are dropped after half the periods after which the aggregator
    // forgets a process.
    for (std::uint64_t period = 12; period < 10 + kForgetPeriods / 2; ++period)
        reporter.record_period(period, served_requests(6)), reporter.report();
    CHECK(reporter.dropped_requests() == 0);
    for (std::uint64_t period = 12; period <= 11 + kForgetPeriods; ++period)
        reporter.record_period(period, served_requests(6));
    CHECK(reporter.dropped_requests() == 3);
    CHECK(reporter.report()->period_counters[0].values[served] == 6);
}

TEST_CASE("invalid reports are rejected", "[sums]") {
    Report report;
    CHECK_FALSE(decode("no message", report));
    CHECK_FALSE(decode(encode({0, 0, {}}), report));
    CHECK_FALSE(
        decode(encode({1, 0, {{0, served_requests(0)}, {3, served_requests(5)}, {4, served_requests(4)}}}),
               report));   // a counter decreases
    CHECK_FALSE(
        decode(encode({1, 0, {{0, served_requests(0)}, {4, served_requests(5)}, {3, served_requests(6)}}}),
               report));
    CHECK_FALSE(decode(encode({1, 2, {{1, served_requests(0)}, {4, served_requests(5)}}}), report));
    CHECK(decode(encode({1, 1, {{1, served_requests(0)}, {4, served_requests(5)}}}), report));
}

TEST_CASE("the largest page of counters fits into a replicated register", "[sums]") {
    // As many entries as are accepted, with values of the greatest length. 1000 processes fill all pages.
    const lease::AcceptorSet acceptors{{"n0"}, {}, 1};
    Aggregator aggregator({1, 0.1}, {1, 0.05, 0.02, 0.1}, acceptors, 1);
    RegisterAcceptor acceptor(true, {});
    std::size_t max_value_bytes = 0;
    const auto exchange_messages = [&](double now) {
        for (bool more = true; more;) {
            more = false;
            for (const auto& outgoing : aggregator.take_register_messages()) {
                RegisterMessage answer;
                max_value_bytes = std::max(max_value_bytes, outgoing.message.value.text.size());
                if (acceptor.receive(outgoing.message, answer))
                    aggregator.on_register_message(now, now, "n0", answer), more = true;
            }
        }
    };
    aggregator.begin_term(1000, 1000, 7);
    exchange_messages(1000);
    CounterValues values;
    values.fill(1'000'000'000'000'000);
    for (std::uint64_t process = 1; process <= 1000; ++process)
        aggregator.on_report(1000.5, 1000.5, "n", {process, 0, {{0, {}}, {1001, values}}});
    for (double now = 1000.5; now < 1010; now += 0.5) aggregator.on_timer(now, now), exchange_messages(now);
    CHECK(aggregator.last_committed_period() >= 1005);
    CHECK(aggregator.rejected_reports() > 0);
    CHECK(max_value_bytes <= lease::kMaxValueBytes);
    CHECK(max_value_bytes > lease::kMaxValueBytes / 2);
}

TEST_CASE("[fleet_sums] requires leases and a receiver", "[sums]") {
    Folder folder;
    operator_config::Options options;
    const auto first_error = [&](const std::string& text) {
        const auto errors = operator_config::load(folder.write("options", text), options);
        return errors.empty() ? "" : errors.front().substr(folder.path().size());
    };
    CHECK(first_error("[fleet_sums]\nevery_s = 15\n") ==
          "/options: [fleet_sums] every_s: wants [lease] voters, one of all ingresses writes them");
    const std::string fleet = "[peers]\nlisten = 127.0.0.1:7400\nkey_file = k\n[lease]\nvoters = a\n";
    CHECK(first_error(fleet + "[fleet_sums]\nevery_s = 15\n") ==
          "/options: [fleet_sums] every_s: wants [remote_write] url, where the sums are written");
    CHECK(first_error(
              fleet +
              "[remote_write]\nurl = http://127.0.0.1:1/w\n[fleet_sums]\nevery_s = 1\ngrace_s = 2\n") ==
          "/options: [fleet_sums] grace_s: must not be longer than every_s");
    CHECK(first_error(fleet + "[remote_write]\nurl = http://127.0.0.1:1/w\n[fleet_sums]\nevery_s = 0.1\n")
              .find("every_s") != std::string::npos);
    CHECK(first_error(fleet + "[remote_write]\nurl = http://127.0.0.1:1/w\n[fleet_sums]\nevery_s = 15\n") ==
          "");
    CHECK(options.fleet_counters.on());
}
