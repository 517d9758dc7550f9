// The operator's [fleet_limits] section: settings that all limits with scope = fleet share. A field is
// named as its key.
#pragma once

#include "ini/ini.hpp"

namespace slatejunction::fleet_rate_limit {

/// credit: Settings::max_unreported_units; keys_max: Settings::max_keys.
struct Options {
    double credit = 2;
    std::int64_t keys_max = 100'000;
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
