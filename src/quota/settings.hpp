// The operator's [quota] section.
#pragma once

#include <string>
#include <vector>

#include "ini/ini.hpp"
#include "quota/shared_quota.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::quota {

struct Options {
    std::string counter;   // ADDRESS:PORT, by commas: the counter's parts; empty: off
    int protocol = 0;      // http, resp
    double credit = 4, free_part = 0.3, free_units = 2, error_units = 0, skew_ms = 50, calls_per_s = 200;
    std::int64_t customers_max = 100'000;
    bool operator==(const Options&) const = default;

    bool on() const { return !counter.empty(); }
    std::vector<std::string> parts() const;
    ini::Section section();
};

// The bank's settings for the platform's plans. Where error_units is set the credit is the largest that
// keeps every plan's healthy error within it, for customers that come through all ingresses. `fault`: "KEY:
// why" when that can't be, or when the platform's settings don't fit.
Settings settings_of(const Options& options, const slatejunction::Settings& platform, std::string& fault);
// One line for each plan: its error in each mode.
std::vector<std::string> stated(const Settings& settings);
// The platform's settings for the module, which keeps no quotas then.
slatejunction::Settings without_quotas(slatejunction::Settings platform);

}   // namespace slatejunction::quota
