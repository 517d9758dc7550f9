// The [fleet_limits] section of the operator's settings file, which applies to all limits with
// scope = fleet. Each field has the name of its key.
#pragma once

#include "ini/ini.hpp"

namespace slatejunction::fleet_rate_limit {

/// Values of the section's keys.
struct Options {
    double credit = 2;                 ///< Settings::max_unreported_units
    std::int64_t keys_max = 100'000;   ///< Settings::max_keys
    bool operator==(const Options&) const = default;

    ini::Section section() {
        ini::Section section("fleet_limits",
                             "What limits with scope = fleet have in common: docs/fleet-limits.md.");
        section.real("credit", credit, 0.001, 1e6, "units",
                     "that an ingress may let pass of a key before its owner has heard of them");
        section.integer("keys_max", keys_max, 16, 10'000'000, "keys",
                        "held at each ingress, twice: asked, owned");
        return section;
    }
};

}   // namespace slatejunction::fleet_rate_limit
