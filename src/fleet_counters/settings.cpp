#include "fleet_counters/settings.hpp"

#include <cstdio>

namespace slatejunction::fleet_counters {
namespace {

constexpr double kMinPeriodS = 0.2;
constexpr double kAssumedRoundTripS = 0.02;   // for the bounds of describe_bounds()

}   // namespace

ini::Section Options::section() {
    ini::Section section("fleet_sums",
                         "The conductor sums all ingresses' counters and writes them, once for the fleet: "
                         "docs/fleet.md. Wants [lease] and [remote_write].");
    section.real("every_s", period_s, 0, 3600, "s", "a period, the same in every file; 0: off");
    section.real("grace_s", grace_s, 0.05, 600, "s", "after a period's end, until what has come is summed");
    section.whole([this]() -> std::string {
        if (!on()) return {};
        if (period_s < kMinPeriodS) return "every_s: must be 0 or at least 0.2 s";
        if (grace_s > period_s) return "grace_s: must not be longer than every_s";
        return {};
    });
    return section;
}

std::string describe_bounds(const Options& options, const lease::LeaseTimes& times) {
    char text[320];
    std::snprintf(
        text, sizeof text,
        "fleet_sums: one row every %g s, written at most %.2f s after the end of its period, or %.2f s if "
        "the holder of the lease fails (round trips of 20 ms); the requests that a killed ingress had not "
        "reported, of at most its last %.2f s, are never counted",
        options.period_s, row_delay_bound_s(options.settings(), times, kAssumedRoundTripS),
        row_delay_bound_after_failover_s(options.settings(), times, kAssumedRoundTripS, 1),
        options.period_s + options.grace_s);
    return text;
}

}   // namespace slatejunction::fleet_counters
