// The operator's sections of rules: [expressions], [subset NAME], [route NAME], [limit NAME], [tag NAME].
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "ini/ini.hpp"

namespace slatejunction::rules {

// bench/scale builds this core with a higher cap, to measure what lies beyond it; nothing else does.
#ifndef SLATEJUNCTION_ROUTES_MOST
#define SLATEJUNCTION_ROUTES_MOST 10'000
#endif
inline constexpr std::size_t kSubsetsMost = 64, kLimitsMost = 16, kTagsMost = 16;
inline constexpr std::size_t kRoutesMost = SLATEJUNCTION_ROUTES_MOST;

struct SubsetSettings {
    std::string name, providers;
    std::int64_t least = 1;
    bool operator==(const SubsetSettings&) const = default;
};
struct RouteSettings {
    std::string name, when, subset;
    int spill = 0;   // slatejunction::Spill
    std::int64_t order = 0;
    bool operator==(const RouteSettings&) const = default;
};
struct LimitSettings {
    std::string name, when, key;
    double rate = 0, burst = 1;   // requests or units a second; requests or units
    std::int64_t max_out = 0, keys_max = 10'000;
    int count = 0;   // requests, units
    int scope = 0;   // gateway, fleet
    bool operator==(const LimitSettings&) const = default;
};
struct TagSettings {
    std::string name, when, value, values;   // values: those that become a metric's label, by commas
    bool operator==(const TagSettings&) const = default;
};

struct Settings {
    std::int64_t max_cost = 50'000;
    std::deque<SubsetSettings> subsets;
    std::deque<RouteSettings> routes;
    std::deque<LimitSettings> limits;
    std::deque<TagSettings> tags;
    bool operator==(const Settings&) const = default;

    bool any() const { return !subsets.empty() || !routes.empty() || !limits.empty() || !tags.empty(); }
    ini::Section section();
    std::vector<ini::Family> families();   // they write into this object
};

std::vector<std::string> words_of(const std::string& text);   // those between commas, trimmed

}   // namespace slatejunction::rules
