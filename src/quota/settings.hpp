// The operator's [quota] section, and the settings of SharedQuota that follow from it and from the
// platform's plans.
#pragma once

#include <string>
#include <vector>

#include "ini/ini.hpp"
#include "quota/shared_quota.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::quota {

/// The keys of the section; each field is named as its key.
struct Options {
    std::string counter;      ///< ADDRESS:PORT, separated by commas: the counter's parts; empty: off
    int protocol = 0;         ///< 0: http, 1: resp
    double credit = 4;        ///< Settings::max_unreported_units
    double free_part = 0.3;   ///< Settings::local_fraction
    double free_units = 2;    ///< Settings::min_local_burst
    double error_units = 0;   ///< error bound wanted while the counter is healthy; 0: `credit` holds
    double skew_ms = 50;
    double calls_per_s = 200;
    std::int64_t customers_max = 100'000;
    bool operator==(const Options&) const = default;

    bool on() const { return !counter.empty(); }
    std::vector<std::string> parts() const;
    ini::Section section();
};

/// SharedQuota's settings for the platform's plans. Where error_units is set, max_unreported_units is the
/// largest value that keeps every plan's healthy error bound within it, for customers that come through all
/// ingresses. `fault` is set to "KEY: reason" if there is none, or if the platform's settings don't fit.
Settings make_settings(const Options& options, const slatejunction::Settings& platform, std::string& fault);
/// One line for each plan: its error bound in each state of the counter.
std::vector<std::string> error_bound_lines(const Settings& settings);
/// The platform's settings for the gateway, which keeps no quotas itself then.
slatejunction::Settings without_quotas(slatejunction::Settings platform);

}   // namespace slatejunction::quota
