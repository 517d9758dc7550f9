// The fleet's sums over started processes: one ingress writes them, no period is missing or has two values
// when its holder is killed, stopped or cut off. Judged by what the receiver has stored.
#include <catch2/catch.hpp>

#include "fleet/records.hpp"
#include "fleet/rig.hpp"
#include "recording.hpp"

namespace {

rig::Plan plan_of(double every_s) {
    rig::Plan plan;
    plan.announce_s = 0;
    plan.providers = 1;
    plan.sums_s = every_s;
    return plan;
}

// The newest row that an ingress has handed over, by its records: what it says was served.
std::uint64_t told(const rig::Fleet& fleet) {
    std::uint64_t most = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        for (const auto& one : records::read(fleet.records_file(i), fleet.name(i)))
            if (one.event == "row") most = std::max<std::uint64_t>(most, std::stoull(one.field("served")));
    return most;
}

std::uint64_t serve(const rig::Fleet& fleet, std::size_t i, int count) {
    static int ids = 0;
    std::uint64_t good = 0;
    for (int k = 0; k < count; ++k) good += fleet.served(i, "s" + std::to_string(++ids));
    return good;
}

void judge(rig::Fleet& fleet, double every_s, std::uint64_t served) {
    const auto recording = fleet.end_receiver();
    std::size_t series = 0;
    for (const auto& [key, points] : recording) {
        const std::string text = fakes::to_text(key);
        if (text.find("instance=\"fleet\"") == std::string::npos) continue;
        ++series;
        INFO(text);
        for (std::size_t i = 1; i < points.size(); ++i)
            CHECK(points[i].at_ms - points[i - 1].at_ms == std::llround(every_s * 1e3));
        if (text.find("outcome=\"served\"") != std::string::npos)
            CHECK(points.back().value == static_cast<double>(served));
    }
    CHECK(series == 6);
    CHECK(fleet.folder.read("receiver").find("\"breaches\":0,") != std::string::npos);
}

}   // namespace

TEST_CASE(
    "one writes the fleet's sums, no period is missing or doubled when it is killed, stopped, cut off",
    "[fleet][sums]") {
    rig::Fleet fleet(plan_of(0.4));
    std::size_t holder = fleet.wait_holder();
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(wait_for([&] { return fleet.served(i, "first" + std::to_string(i)); }));
    std::uint64_t served = 3;
    for (std::size_t i = 0; i < 3; ++i) served += serve(fleet, i, 10);
    REQUIRE(wait_for([&] { return told(fleet) == served; }, 30));
    SECTION("killed") {
        fleet.kill(holder);
        const std::size_t next = fleet.wait_holder({holder});
        served += serve(fleet, next, 5);
        REQUIRE(wait_for([&] { return told(fleet) == served; }, 30));
        fleet.start(holder);
        REQUIRE(fleet.ready(holder));
        REQUIRE(wait_for([&] { return fleet.served(holder, "again"); }));
        ++served;
        REQUIRE(wait_for([&] { return told(fleet) == served; }, 30));
    }
    SECTION("stopped, and woken when another holds it") {
        fleet.stop(holder);
        const std::size_t next = fleet.wait_holder({holder});
        served += serve(fleet, next, 5);
        REQUIRE(wait_for([&] { return told(fleet) == served; }, 30));
        fleet.go_on(holder);
        served += serve(fleet, holder, 5);
        REQUIRE(wait_for([&] { return told(fleet) == served; }, 30));
    }
    SECTION("cut off from the others, not from the receiver; what it serves is counted afterwards") {
        fleet.cut_off(holder);
        fleet.wait_holder({holder});
        served += serve(fleet, holder, 5);
        const std::uint64_t seen = told(fleet);
        CHECK(seen < served);
        fleet.heal();
        REQUIRE(wait_for([&] { return told(fleet) == served; }, 30));
    }
    SECTION("half of all datagrams lost, twice, late") {
        for (const char* fault : {"loss/40", "duplicate/30", "jitter/50", "reorder/20"})
            fleet.link("*", fault);
        for (std::size_t i = 0; i < 3; ++i) served += serve(fleet, i, 10);
        fleet.kill(holder);
        for (std::size_t i = 0; i < 3; ++i)
            if (i != holder) served += serve(fleet, i, 5);
        fleet.heal();
        // The one that was killed may have told its last ones or not.
        REQUIRE(wait_for([&] { return told(fleet) + 10 >= served; }, 30));
        served = 0;
        REQUIRE(wait_for([&] {
            const std::uint64_t now = told(fleet);
            return std::exchange(served, now) == now && now > 0;
        }));
        sleep_s(1);
        served = told(fleet);
    }
    judge(fleet, 0.4, served);
}
