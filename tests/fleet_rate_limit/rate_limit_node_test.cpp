// Rate limits over the fleet: seeded schedules of faults compared with exact buckets, and single cases.
#include <catch2/catch.hpp>

#include "fleet_rate_limit/simulation.hpp"

using namespace rate_limit_simulation;

TEST_CASE("random schedules of faults keep the error bound of a fleet's limit", "[fleetlimit]") {
    double closest = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const auto result = Simulation(random_scenario(seed), seed).run();
        INFO("seed " << seed << "; again: slatejunction-limit-model 1 " << seed << "; worst "
                     << result.worst_excess << " of " << result.bound);
        REQUIRE(result.violation == "");
        closest = std::max(closest, result.worst_excess / result.bound);
    }
    CHECK(closest > 0.3);   // else the bound says nothing
}

TEST_CASE("the first request of a key is admitted at any ingress, and usage at one is known to the others",
          "[fleetlimit]") {
    Scenario scenario;
    scenario.load = 0.5;
    const auto result = Simulation(scenario, 1).run();
    CHECK(result.rejected_with_units == 0);
    CHECK(result.admitted == result.requests);
    scenario.load = 3;
    const auto pressed = Simulation(scenario, 2).run();
    CHECK(pressed.worst_excess <= pressed.bound);
    // All that the rate gives is given.
    CHECK(static_cast<double>(pressed.admitted) >
          0.95 * scenario.spec.rate * scenario.length_s * static_cast<double>(scenario.keys));
}

TEST_CASE("floods of new keys take no lasting memory and evict no key in use", "[fleetlimit]") {
    RateLimitNode node({"n0", {"n0"}, 2, 1000}, 1);
    node.define(1, {1, 5, 1});
    double now = 0;
    for (std::uint64_t key = 0; key < 20'000; ++key) {
        node.consume(now, 1, 1'000'000 + key, 1);
        if (key % 100 == 0) node.consume(now, 1, 7, 0.1);
        now += 1e-4;
    }
    CHECK(node.owned_buckets() <= 1000);
    CHECK(node.retry_after_s(now, 1, 7, 5) > 0);
}

TEST_CASE("owners are spread evenly, and a death moves its keys alone", "[fleetlimit]") {
    std::vector<std::string> all;
    for (int i = 0; i < 10; ++i) all.push_back("n" + std::to_string(i));
    RateLimitNode node({"n0", all, 2, 1000}, 1);
    node.define(1, {1, 5, 1});
    node.set_alive_members(0, all);
    std::map<std::string, int> count;
    std::vector<std::string> before;
    for (std::uint64_t key = 0; key < 10'000; ++key)
        ++count[node.owner(1, key)], before.push_back(node.owner(1, key));
    for (const auto& [name, keys] : count) CHECK(std::abs(keys - 1000) < 150);
    std::vector<std::string> less(all);
    less.erase(less.begin() + 3);
    node.set_alive_members(1, less);
    for (std::uint64_t key = 0; key < 10'000; ++key)
        if (before[key] != "n3") REQUIRE(node.owner(1, key) == before[key]);
}

TEST_CASE("a process that was paused grants nothing from its old buckets", "[fleetlimit]") {
    RateLimitNode node({"n0", {"n0", "n1"}, 2, 1000}, 1);
    node.define(1, {1, 5, 1});
    node.set_alive_members(0, {"n0", "n1"});
    std::uint64_t own = 0;
    while (node.owner(1, own) != "n0") ++own;
    node.consume(0, 1, own, 1);
    for (double now = 0; now < 3; now += kPauseCheckPeriodS) node.on_timer(now);
    CHECK(node.process_pauses() == 0);
    CHECK(node.retry_after_s(3, 1, own, 1) == 0);
    CHECK(node.retry_after_s(3 + 2 * kProcessPauseS, 1, own, 1) > 0);
    CHECK(node.process_pauses() == 1);
}

TEST_CASE("a malformed datagram changes nothing", "[fleetlimit]") {
    RateLimitNode node({"n0", {"n0", "n1"}, 2, 1000}, 1);
    node.define(1, {1, 5, 1});
    node.on_datagram(0, "n1", 9, "noise");
    node.on_datagram(0, "n1", 9, "");
    CHECK(node.malformed_datagrams() == 2);
    CHECK(node.take_outgoing().empty());
    CHECK(node.retry_after_s(0, 2, 5, 100) == 0);   // a limit that is not known limits nothing
}
