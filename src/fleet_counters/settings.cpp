#include "fleet_counters/settings.hpp"

#include <cstdio>

namespace slatejunction::fleet_counters {
namespace {

constexpr double kMinPeriodS = 0.2;
constexpr double kStatedRoundTripS = 0.02;   // of the bounds that are stated

}   // namespace

ini::Section Options::section() {
    ini::Section section("fleet_sums",
                         "The conductor sums all ingresses' counters and writes them, once for the fleet: "
                         "docs/fleet.md. Wants [lease] and [remote_write].");
    section.real("every_s", period_s, 0, 3600, "s", "a period, the same in every file; 0: off");
    section.real("grace_s", grace_s, 0.05, 600, "s", "after a period's end, until what has come is summed");
    section.whole([this]() -> std::string {
        if (!on()) return {};
        if (period_s < kMinPeriodS) return "every_s: 0 or 0.2 s at least";
        if (grace_s > period_s) return "grace_s: longer than every_s";
        return {};
    });
    return section;
}

std::string describe_bounds(const Options& options, const lease::LeaseTimes& times) {
    char text[320];
    std::snprintf(
        text, sizeof text,
        "fleet_sums: a row each %g s, handed over at most %.2f s after its period, %.2f s where its "
        "holder died (round trips of 20 ms); what a killed ingress had not told, at most the last "
        "%.2f s of it, is in no row",
        options.period_s, row_delay_bound_s(options.settings(), times, kStatedRoundTripS),
        row_delay_bound_after_failover_s(options.settings(), times, kStatedRoundTripS, 1),
        options.period_s + options.grace_s);
    return text;
}

}   // namespace slatejunction::fleet_counters
