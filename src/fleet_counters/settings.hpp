// The operator's [fleet_sums] section, and what check-config says of it. The INI keys are the
// operator's words; they are mapped to the code's terms here and nowhere else.
#pragma once

#include <string>
#include <vector>

#include "fleet_counters/aggregator.hpp"
#include "ini/ini.hpp"

namespace slatejunction::fleet_counters {

struct Options {
    double period_s = 0;   ///< a period; 0: off
    double grace_s = 1;    ///< after a period's end
    bool operator==(const Options&) const = default;

    bool on() const { return period_s > 0; }
    Settings settings() const { return {period_s, grace_s}; }
    ini::Section section();
};

/// The bounds that follow from the options, for check-config.
std::string describe_bounds(const Options& options, const lease::LeaseTimes& times);

}   // namespace slatejunction::fleet_counters
