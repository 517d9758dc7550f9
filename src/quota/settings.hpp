// The [quota] section of the operator's settings file, and the settings of SharedQuota that follow from it
// and from the platform's plans.
#pragma once

#include <string>
#include <vector>

#include "ini/ini.hpp"
#include "quota/shared_quota.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::quota {

/// Values of the section's keys. Each field has the name of its key.
struct Options {
    /// Addresses (ADDRESS:PORT) of the counter's shards, separated by commas. Empty turns shared quotas
    /// off.
    std::string counter;
    int protocol = 0;         ///< 0 is http, 1 is resp
    double credit = 4;        ///< Settings::max_unreported_units
    double free_part = 0.3;   ///< Settings::local_fraction
    double free_units = 2;    ///< Settings::min_local_burst
    /// Error bound (units) to keep while the counter is healthy. 0 means that `credit` applies instead.
    double error_units = 0;
    double skew_ms = 50;                    ///< Settings::skew_s, in ms
    double calls_per_s = 200;               ///< Settings::calls_per_s
    std::int64_t customers_max = 100'000;   ///< Settings::max_customers
    bool operator==(const Options&) const = default;

    bool on() const { return !counter.empty(); }
    /// Returns the addresses in `counter`, trimmed.
    std::vector<std::string> shards() const;
    ini::Section section();
};

/// Returns SharedQuota's settings for the platform's plans. If error_units is set, max_unreported_units is
/// the largest value that keeps the healthy error bound of every plan within error_units, for customers
/// whose requests arrive at all ingresses. Sets `error` to "KEY: reason" if there is no such value or if
/// the platform's settings are not supported.
Settings make_settings(const Options& options, const slatejunction::Settings& platform, std::string& error);
/// Returns a line for each plan with its error bound in each state of the counter.
std::vector<std::string> error_bound_lines(const Settings& settings);
/// Returns the platform's settings without quotas, for a gateway that leaves them to SharedQuota.
slatejunction::Settings without_quotas(slatejunction::Settings platform);

}   // namespace slatejunction::quota
