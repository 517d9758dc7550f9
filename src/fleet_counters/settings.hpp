// Options of the [fleet_sums] section of the options file, and its summary in check-config. The names of
// its keys are mapped to the terms of the code here and nowhere else.
#pragma once

#include <string>
#include <vector>

#include "fleet_counters/aggregator.hpp"
#include "ini/ini.hpp"

namespace slatejunction::fleet_counters {

struct Options {
    double period_s = 0;   ///< length of a period; 0: off
    double grace_s = 1;    ///< from the end of a period until its sums are formed
    bool operator==(const Options&) const = default;

    bool on() const { return period_s > 0; }
    Settings settings() const { return {period_s, grace_s}; }
    ini::Section section();
};

/// Describes the bounds that follow from the options, for check-config and the log.
std::string describe_bounds(const Options& options, const lease::LeaseTimes& times);

}   // namespace slatejunction::fleet_counters
