// A limit over the fleet on started processes: units beyond the stated bound, through kills and cuts.
#include <catch2/catch.hpp>
#include <chrono>

#include "fleet/records.hpp"
#include "fleet/rig.hpp"
#include "fleet_rate_limit/staleness_bound.hpp"
#include "membership/detection_bounds.hpp"

namespace {

using Clock = std::chrono::steady_clock;

// What passed beyond burst + rate t in the worst window, by the times at which answers had come.
struct Store {
    double sum = 0, worst = 0;
    Clock::time_point last = Clock::now();
    void pass(const slatejunction::fleet_rate_limit::LimitSpec& spec) {
        const auto now = Clock::now();
        sum = std::max(0.0, sum - spec.rate * std::chrono::duration<double>(now - last).count()) + 1;
        last = now;
        worst = std::max(worst, sum - spec.burst);
    }
};

}   // namespace

TEST_CASE("three ingresses keep one limit for all, also when its owner is killed and when one is cut off",
          "[fleet][limits]") {
    const slatejunction::fleet_rate_limit::LimitSpec spec{5, 12, 1};
    rig::Plan plan;
    plan.announce_s = 0;
    plan.providers = 1;
    plan.more = "[limit each]\nkey = request.customer\nrate = 5\nburst = 12\nscope = fleet\n";
    rig::Fleet fleet(plan);
    REQUIRE(wait_for([&] { return fleet.all_know_all(); }));
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(wait_for(
            [&] { return fleet.request(i, "w" + std::to_string(i)).starts_with("HTTP/1.1 200"); }));
    const auto bound = slatejunction::fleet_rate_limit::error_bound(
        spec, 2, 3, 1, slatejunction::membership::detection_bound_s(3, plan.interval_s));
    Store store;
    store.sum = 3;
    int id = 0, refused = 0;
    std::set<std::size_t> down;
    const auto press = [&](int rounds) {
        int passed = 0;
        for (int round = 0; round < rounds; ++round)
            for (std::size_t i = 0; i < 3; ++i) {
                if (down.contains(i)) continue;
                const std::string answer = fleet.request(i, "l" + std::to_string(++id));
                if (answer.starts_with("HTTP/1.1 200")) ++passed, store.pass(spec);
                if (answer.starts_with("HTTP/1.1 503")) {
                    ++refused;
                    CHECK(answer.find("Retry-After") != std::string::npos);
                }
                sleep_s(0.004);
            }
        return passed;
    };
    press(150);
    CHECK(refused > 0);
    CHECK(store.worst <= bound.healthy);
    CHECK(store.worst > -spec.burst);
    // Cut off from both others: it keeps to its share.
    fleet.cut_off(0);
    press(150);
    CHECK(store.worst <= bound.partition);
    fleet.heal();
    REQUIRE(wait_for([&] { return fleet.all_know_all(); }, 30));
    for (std::size_t victim = 1; victim < 3; ++victim) {
        fleet.kill(victim);
        down.insert(victim);
        press(60);
        fleet.start(victim);
        REQUIRE(fleet.ready(victim));
        down.erase(victim);
        REQUIRE(wait_for([&] { return fleet.all_know_all(); }, 30));
        // What passed beyond the limit is owed first: as much as the bound allows, at the limit's rate.
        const double owed_s = (bound.owner_lost + bound.per_restart + 1) / spec.rate;
        CHECK(wait_for([&] { return press(10) > 0; }, owed_s));
    }
    CHECK(store.worst <= bound.owner_lost + bound.per_restart);
}
