// Measurements over started processes, by hand:
//
//   [FLEET_SECONDS=600] slatejunction_fleet_tests "[measure]"
//
// Each prints a table, and fails where what is stated is not kept.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <ctime>

#include "fleet/records.hpp"
#include "fleet/rig.hpp"
#include "lease/lease_bounds.hpp"

namespace {

std::int64_t raw_ns() {
    timespec at{};
    clock_gettime(CLOCK_MONOTONIC_RAW, &at);
    return static_cast<std::int64_t>(at.tv_sec) * 1'000'000'000 + at.tv_nsec;
}

double seconds(double otherwise) {
    const char* const text = std::getenv("FLEET_SECONDS");
    return text ? std::atof(text) : otherwise;
}

std::vector<records::Record> all_of(const rig::Fleet& fleet) {
    std::vector<std::vector<records::Record>> files;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        files.push_back(records::read(fleet.records_file(i), fleet.name(i)));
    return records::merged(files);
}

std::size_t changes(const rig::Fleet& fleet) {
    std::size_t count = 0;
    for (const auto& one : all_of(fleet))
        count += one.event == "gained" && one.field("lease") == "conductor";
    return count;
}

std::size_t lines(const rig::Fleet& fleet, const std::string& text) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const std::string log = fleet.log(i);
        for (std::size_t at = 0; (at = log.find(text, at)) != std::string::npos; ++at) ++count;
    }
    return count;
}

}   // namespace

TEST_CASE("holder changes and false deaths while datagrams are lost", "[.][measure]") {
    std::printf(
        "| ingresses | loss | s | holder changes | false deaths | suspicions "
        "|\n|---|---|---|---|---|---|\n");
    for (const int loss : {0, 10, 20}) {
        rig::Plan plan;
        plan.ingresses = 9;
        plan.voters = 5;
        plan.interval_s = 1;
        plan.lives_s = 3;
        plan.drift = 0.02;
        plan.announce_s = 1;
        rig::Fleet fleet(plan);
        REQUIRE(wait_for([&] { return fleet.all_know_all(); }, 60));
        fleet.wait_holder();
        if (loss > 0) fleet.link("*", "loss/" + std::to_string(loss));
        const std::size_t before = changes(fleet), gone = lines(fleet, "): gone"),
                          suspected = lines(fleet, "): suspected");
        // The smaller part of the time for the two that stand beside it.
        const double time = seconds(600) * (loss == 10 ? 1 : 0.2);
        sleep_s(time);
        const std::size_t after = changes(fleet);
        std::printf("| 9 | %d%% | %.0f | %zu | %zu | %zu |\n", loss, time, after - before,
                    lines(fleet, "): gone") - gone, lines(fleet, "): suspected") - suspected);
        std::fflush(stdout);
        if (loss <= 10) CHECK(after == before);
    }
}

TEST_CASE("time without a holder after a kill, a cut and a stop", "[.][measure]") {
    rig::Plan plan;
    plan.ingresses = 5;
    plan.drift = 0.02;
    const slatejunction::lease::LeaseTimes times{plan.lives_s, plan.drift, plan.margin_s, plan.act_s};
    const double stated = slatejunction::lease::max_vacancy_s(times, 0.02, 5);
    std::printf("| fault | times | p50 s | worst s | stated s |\n|---|---|---|---|---|\n");
    for (const char* fault : {"kill", "cut", "stop"}) {
        rig::Fleet fleet(plan);
        std::vector<double> gaps;
        for (int round = 0; round < static_cast<int>(seconds(600) / 30); ++round) {
            const std::size_t holder = fleet.wait_holder();
            const std::int64_t at = raw_ns();
            const std::string what = fault;
            if (what == "kill") fleet.kill(holder);
            if (what == "cut") fleet.cut_off(holder);
            if (what == "stop") fleet.stop(holder);
            const auto next = [&]() -> std::int64_t {
                for (const auto& one : all_of(fleet))
                    if (one.at_ns > at && one.event == "gained" && one.field("lease") == "conductor" &&
                        one.who != fleet.name(holder))
                        return one.at_ns;
                return 0;
            };
            std::int64_t gained = 0;
            REQUIRE(wait_for([&] { return (gained = next()) != 0; }, 30));
            gaps.push_back(static_cast<double>(gained - at) / 1e9);
            if (what == "kill") fleet.start(holder);
            if (what == "cut") fleet.heal();
            if (what == "stop") fleet.go_on(holder);
            REQUIRE(fleet.ready(holder));
            REQUIRE(wait_for([&] { return !fleet.holds(holder); }, 30));
        }
        std::sort(gaps.begin(), gaps.end());
        std::printf("| %s | %zu | %.2f | %.2f | %.2f |\n", fault, gaps.size(), gaps[gaps.size() / 2],
                    gaps.back(), stated);
        std::fflush(stdout);
        CHECK(gaps.back() <= stated);
    }
}
