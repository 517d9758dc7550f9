// The operator's settings of rules: the sections [expressions], [subset NAME], [route NAME], [limit
// NAME] and [tag NAME]. The INI keys are mapped to these fields in settings.cpp only.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "ini/ini.hpp"

namespace slatejunction::rules {

// Only bench/scale builds with a higher maximum, to measure beyond the default.
#ifndef SLATEJUNCTION_ROUTES_MOST
#define SLATEJUNCTION_ROUTES_MOST 10'000
#endif
inline constexpr std::size_t kMaxSubsets = 64;   // a set of subsets is the bits of a 64-bit integer
inline constexpr std::size_t kMaxLimits = 16;
inline constexpr std::size_t kMaxTags = 16;
inline constexpr std::size_t kMaxRoutes = SLATEJUNCTION_ROUTES_MOST;

struct SubsetSettings {
    std::string name;
    std::string condition;           ///< an expression on a backend
    std::int64_t min_backends = 1;   ///< with fewer serving backends that match, the subset is empty
    bool operator==(const SubsetSettings&) const = default;
};
struct RouteSettings {
    std::string name;
    std::string when;         ///< the condition, an expression on a request
    std::string subset;       ///< name of the subset; empty: the whole fleet
    int fallback = 0;         ///< value of slatejunction::SubsetFallback
    std::int64_t order = 0;   ///< routes with a lower value are tried first
    bool operator==(const RouteSettings&) const = default;
};
/// Values of LimitSettings::count and LimitSettings::scope.
inline constexpr int kCountsRequests = 0;
inline constexpr int kCountsUnits = 1;
inline constexpr int kGatewayScope = 0;
inline constexpr int kFleetScope = 1;

struct LimitSettings {
    std::string name;
    std::string when;                 ///< the condition, an expression on a request; empty: all requests
    std::string key;                  ///< an expression on a request
    double rate = 0;                  ///< requests or units per second and key; 0: not limited
    double burst = 1;                 ///< requests or units
    std::int64_t max_in_flight = 0;   ///< requests per key; 0: not limited
    std::int64_t max_keys = 10'000;   ///< keys tracked at once
    int count = kCountsRequests;
    int scope = kGatewayScope;
    bool operator==(const LimitSettings&) const = default;
};
struct TagSettings {
    std::string name;
    std::string when;     ///< the condition, an expression on a request; empty: all requests
    std::string value;    ///< an expression on a request
    std::string values;   ///< values that become labels of a metric, separated by commas
    bool operator==(const TagSettings&) const = default;
};

struct Settings {
    std::int64_t max_cost = 50'000;   ///< maximum cost bound of one expression, in cost units
    std::deque<SubsetSettings> subsets;
    std::deque<RouteSettings> routes;
    std::deque<LimitSettings> limits;
    std::deque<TagSettings> tags;
    bool operator==(const Settings&) const = default;

    bool has_rules() const {
        return !subsets.empty() || !routes.empty() || !limits.empty() || !tags.empty();
    }
    /// The section [expressions]. It writes into this object, which must outlive it.
    ini::Section section();
    /// The families of named sections. They write into this object, which must outlive them.
    std::vector<ini::Family> families();
};

/// Splits the text at commas. Trims each word and leaves out empty ones.
std::vector<std::string> split_words(const std::string& text);

}   // namespace slatejunction::rules
