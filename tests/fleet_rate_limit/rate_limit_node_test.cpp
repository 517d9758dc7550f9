// Tests of fleet-wide rate limits: seeded random fault scenarios against exact buckets, and single cases.
#include <catch2/catch.hpp>

#include "fleet_rate_limit/simulation.hpp"

using namespace rate_limit_simulation;

TEST_CASE("random fault scenarios never exceed the error bound of a fleet-wide limit", "[fleetlimit]") {
    double largest_ratio = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const auto result = Simulation(random_scenario(seed), seed).run();
        INFO("seed " << seed << "; reproduce with: slatejunction-limit-model 1 " << seed << "; excess of "
                     << result.worst_excess << " units, bound " << result.bound);
        REQUIRE(result.violation == "");
        largest_ratio = std::max(largest_ratio, result.worst_excess / result.bound);
    }
    CHECK(largest_ratio > 0.3);   // a bound that is never approached would be too loose to test anything
}

TEST_CASE(
    "requests below the limit are all admitted, and requests beyond it get the whole rate within the error "
    "bound",
    "[fleetlimit]") {
    Scenario scenario;
    scenario.load = 0.5;
    const auto result = Simulation(scenario, 1).run();
    CHECK(result.rejected_with_units == 0);
    CHECK(result.admitted == result.requests);
    scenario.load = 3;
    const auto overloaded = Simulation(scenario, 2).run();
    CHECK(overloaded.worst_excess <= overloaded.bound);
    // Nearly all units that the rate provides are admitted.
    CHECK(static_cast<double>(overloaded.admitted) >
          0.95 * scenario.spec.rate * scenario.length_s * static_cast<double>(scenario.keys));
}

TEST_CASE("a flood of new keys stays within max_keys and evicts no key in use", "[fleetlimit]") {
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

TEST_CASE("keys are spread evenly over owners, and the loss of an owner moves only its keys",
          "[fleetlimit]") {
    std::vector<std::string> all;
    for (int i = 0; i < 10; ++i) all.push_back("n" + std::to_string(i));
    RateLimitNode node({"n0", all, 2, 1000}, 1);
    node.define(1, {1, 5, 1});
    node.set_alive_members(0, all);
    std::map<std::string, int> keys_by_owner;
    std::vector<std::string> owners_before;
    for (std::uint64_t key = 0; key < 10'000; ++key)
        ++keys_by_owner[node.owner(1, key)], owners_before.push_back(node.owner(1, key));
    for (const auto& [name, keys] : keys_by_owner) CHECK(std::abs(keys - 1000) < 150);
    std::vector<std::string> remaining(all);
    remaining.erase(remaining.begin() + 3);
    node.set_alive_members(1, remaining);
    for (std::uint64_t key = 0; key < 10'000; ++key)
        if (owners_before[key] != "n3") REQUIRE(node.owner(1, key) == owners_before[key]);
}

TEST_CASE("after a pause a process grants nothing from its old buckets", "[fleetlimit]") {
    RateLimitNode node({"n0", {"n0", "n1"}, 2, 1000}, 1);
    node.define(1, {1, 5, 1});
    node.set_alive_members(0, {"n0", "n1"});
    std::uint64_t owned_key = 0;
    while (node.owner(1, owned_key) != "n0") ++owned_key;
    node.consume(0, 1, owned_key, 1);
    for (double now = 0; now < 3; now += kPauseCheckPeriodS) node.on_timer(now);
    CHECK(node.process_pauses() == 0);
    CHECK(node.retry_after_s(3, 1, owned_key, 1) == 0);
    CHECK(node.retry_after_s(3 + 2 * kProcessPauseS, 1, owned_key, 1) > 0);
    CHECK(node.process_pauses() == 1);
}

TEST_CASE("a malformed datagram changes nothing", "[fleetlimit]") {
    RateLimitNode node({"n0", {"n0", "n1"}, 2, 1000}, 1);
    node.define(1, {1, 5, 1});
    node.on_datagram(0, "n1", 9, "noise");
    node.on_datagram(0, "n1", 9, "");
    CHECK(node.malformed_datagrams() == 2);
    CHECK(node.take_outgoing().empty());
    CHECK(node.retry_after_s(0, 2, 5, 100) == 0);   // an unknown limit rejects nothing
}
