// The operator's [fleet_sums] section.
#pragma once

#include <string>
#include <vector>

#include "fleet_counters/aggregator.hpp"
#include "ini/ini.hpp"

namespace slatejunction::fleet_counters {

struct Options {
    double every_s = 0;   // 0: off
    double grace_s = 1;
    bool operator==(const Options&) const = default;

    bool on() const { return every_s > 0; }
    Settings settings() const { return {every_s, grace_s}; }
    ini::Section section();
};

// What is promised, for check-config.
std::string stated(const Options& options, const lease::LeaseTimes& times);

}   // namespace slatejunction::fleet_counters
