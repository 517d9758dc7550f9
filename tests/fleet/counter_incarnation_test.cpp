// A shared counter that comes back empty, over started processes: one ingress finds it for all.
#include "quota/counter_incarnation.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <ctime>

#include "fleet/records.hpp"
#include "fleet/rig.hpp"
#include "quota/shared_quota.hpp"

namespace {

namespace quota = slatejunction::quota;

double unix_s() {
    timespec at{};
    clock_gettime(CLOCK_REALTIME, &at);
    return static_cast<double>(at.tv_sec) + 1e-9 * static_cast<double>(at.tv_nsec);
}

std::size_t count(const rig::Fleet& fleet, std::size_t i, const std::string& event,
                  const std::string& generation = {}) {
    std::size_t found = 0;
    for (const auto& one : records::read(fleet.records_file(i), fleet.name(i)))
        found += one.event == event && (generation.empty() || one.field("generation") == generation);
    return found;
}

// All have seen the sentinel of a generation that does not end soon.
void settle(const rig::Fleet& fleet) {
    for (;;) {
        const double generation = std::floor(unix_s() / quota::kGenerationS);
        const double left = (generation + 1) * quota::kGenerationS - unix_s();
        if (left < 8) {
            sleep_s(left + 0.1);
            continue;
        }
        const std::string text = std::to_string(static_cast<std::int64_t>(generation));
        for (std::size_t i = 0; i < fleet.size(); ++i)
            REQUIRE(wait_for([&] { return count(fleet, i, "sentinel_seen", text) > 0; }));
        return;
    }
}

}   // namespace

TEST_CASE("the counter comes back empty: all ingresses know, also those that never used it",
          "[fleet][sentinel]") {
    rig::Plan plan;
    plan.announce_s = 0;
    plan.providers = 1;
    plan.counter = true;
    rig::Fleet fleet(plan);
    const std::size_t holder = fleet.wait_holder();
    const std::size_t busy = (holder + 1) % 3;
    REQUIRE(wait_for([&] { return fleet.request(busy, "a", 3).starts_with("HTTP/1.1 200"); }));
    settle(fleet);
    fleet.order_counter("/empty");
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(wait_for([&] { return count(fleet, i, "counter_emptied") == 1; }, 5));
    // Cut off from the counter when it is emptied once more: told by the others.
    settle(fleet);
    fleet.order_counter("/cut/" + std::to_string(busy));
    fleet.order_counter("/empty");
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(wait_for([&] { return count(fleet, i, "counter_emptied") == 2; }, 5));
    fleet.order_counter("/join/" + std::to_string(busy));
    // The conductor is killed: the next one sets the name, and finds the third loss.
    fleet.kill(holder);
    const std::size_t next = fleet.wait_holder({holder});
    fleet.start(holder);
    REQUIRE(fleet.ready(holder));
    settle(fleet);
    const std::size_t before = count(fleet, next, "counter_emptied");
    fleet.order_counter("/empty");
    CHECK(wait_for([&] { return count(fleet, next, "counter_emptied") > before; }, 5));
}
