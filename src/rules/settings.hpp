// The operator's sections of rules: [expressions], [subset NAME], [route NAME], [limit NAME], [tag NAME].
// The INI keys are mapped to these fields in settings.cpp alone.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "ini/ini.hpp"

namespace slatejunction::rules {

// bench/scale alone builds with a higher limit, to measure beyond it.
#ifndef SLATEJUNCTION_ROUTES_MOST
#define SLATEJUNCTION_ROUTES_MOST 10'000
#endif
inline constexpr std::size_t kMaxSubsets = 64;   // bits of a request's subsets
inline constexpr std::size_t kMaxLimits = 16;
inline constexpr std::size_t kMaxTags = 16;
inline constexpr std::size_t kMaxRoutes = SLATEJUNCTION_ROUTES_MOST;

struct SubsetSettings {
    std::string name;
    std::string condition;           ///< on a backend
    std::int64_t min_backends = 1;   ///< with fewer serving ones the subset counts as empty
    bool operator==(const SubsetSettings&) const = default;
};
struct RouteSettings {
    std::string name;
    std::string when;         ///< a condition on a request
    std::string subset;       ///< its name; empty: the whole fleet
    int fallback = 0;         ///< a slatejunction::SubsetFallback
    std::int64_t order = 0;   ///< lower ones are tried first
    bool operator==(const RouteSettings&) const = default;
};
/// Values of LimitSettings::count and scope.
inline constexpr int kCountsRequests = 0;
inline constexpr int kCountsUnits = 1;
inline constexpr int kGatewayScope = 0;
inline constexpr int kFleetScope = 1;

struct LimitSettings {
    std::string name;
    std::string when;                 ///< a condition on a request; empty: all requests
    std::string key;                  ///< an expression
    double rate = 0;                  ///< requests or units a second, of each key; 0: not limited
    double burst = 1;                 ///< requests or units
    std::int64_t max_in_flight = 0;   ///< requests of a key; 0: not limited
    std::int64_t max_keys = 10'000;   ///< known at once
    int count = kCountsRequests;
    int scope = kGatewayScope;
    bool operator==(const LimitSettings&) const = default;
};
struct TagSettings {
    std::string name;
    std::string when;     ///< a condition on a request; empty: all requests
    std::string value;    ///< an expression
    std::string values;   ///< those that become a metric's label, separated by commas
    bool operator==(const TagSettings&) const = default;
};

struct Settings {
    std::int64_t max_cost = 50'000;
    std::deque<SubsetSettings> subsets;
    std::deque<RouteSettings> routes;
    std::deque<LimitSettings> limits;
    std::deque<TagSettings> tags;
    bool operator==(const Settings&) const = default;

    bool has_rules() const {
        return !subsets.empty() || !routes.empty() || !limits.empty() || !tags.empty();
    }
    ini::Section section();
    std::vector<ini::Family> families();   ///< they write into this object, which outlives them
};

/// The words between commas, trimmed, without empty ones.
std::vector<std::string> split_words(const std::string& text);

}   // namespace slatejunction::rules
