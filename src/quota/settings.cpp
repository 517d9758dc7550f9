#include "quota/settings.hpp"

#include <algorithm>
#include <cstdio>
#include <sstream>

#include "net/stream.hpp"

namespace slatejunction::quota {
namespace {

constexpr std::size_t kMaxShards = 3;
constexpr int kBisectionSteps = 60;

// A plan and its healthy error bound.
struct PlanBound {
    std::string plan;
    double units = 0;
};

// Returns the plan with the largest healthy error bound.
PlanBound largest_healthy_bound(const Settings& settings) {
    PlanBound largest;
    for (const PlanQuota& plan : settings.plans) {
        if (plan.rate <= 0) continue;
        const double units = error_bound(settings, plan, settings.ingress_count, 0).healthy;
        if (units > largest.units) largest = {plan.name, units};
    }
    return largest;
}

// Returns, by bisection, the largest max_unreported_units, at least `min_units`, that keeps the healthy
// error bound of every plan within `bound_units`.
double max_unreported_within_bound(Settings settings, double min_units, double bound_units) {
    double max_units = std::max(min_units, bound_units);
    for (int step = 0; step < kBisectionSteps; ++step) {
        settings.max_unreported_units = (min_units + max_units) / 2;
        if (largest_healthy_bound(settings).units <= bound_units)
            min_units = settings.max_unreported_units;
        else
            max_units = settings.max_unreported_units;
    }
    return min_units;
}

// Returns the settings without regard to error_units.
Settings settings_without_bound(const Options& options, const slatejunction::Settings& platform) {
    Settings settings;
    for (const slatejunction::Plan& plan : platform.plans)
        settings.plans.push_back({plan.name, plan.rate, plan.burst, plan.max_in_flight});
    settings.ingress_count = static_cast<unsigned>(std::max(1.0, platform.ingress_count));
    settings.ingress_index = static_cast<unsigned>(platform.ingress_index);
    settings.shards = static_cast<unsigned>(std::max<std::size_t>(1, options.shards().size()));
    settings.max_unreported_units = options.credit;
    settings.local_fraction = options.free_part;
    settings.min_local_burst = options.free_units;
    settings.max_request_units = platform.max_request_units > 0 ? platform.max_request_units : 1;
    settings.calls_per_s = options.calls_per_s;
    settings.skew_s = options.skew_ms / 1000;
    settings.max_customers = static_cast<std::size_t>(options.customers_max);
    return settings;
}

// Checks the value of the key `counter`. Returns what is wrong with it, or "" if it is valid.
std::string check_counter(const std::string& text) {
    Options options;
    options.counter = text;
    const auto shards = options.shards();
    if (shards.size() > kMaxShards) return "more than " + std::to_string(kMaxShards) + " addresses";
    for (const std::string& shard : shards)
        if (!net::parse_address(shard)) return "'" + shard + "' is not ADDRESS:PORT";
    return "";
}

}   // namespace

std::vector<std::string> Options::shards() const {
    std::vector<std::string> shards;
    std::istringstream rest(counter);
    for (std::string shard; std::getline(rest, shard, ',');) {
        shard.erase(0, shard.find_first_not_of(" \t"));
        shard.erase(shard.find_last_not_of(" \t") + 1);
        shards.push_back(shard);
    }
    return shards;
}

ini::Section Options::section() {
    ini::Section section(
        "quota",
        "Quotas kept over all ingresses by a shared counter: docs/shared-quota.md. Off without one.");
    section.text("counter", counter, "ADDRESS:PORT, up to three by commas: names are split over them",
                 check_counter);
    section.choice("protocol", protocol, {"http", "resp"}, "what the counter speaks; resp: version 2");
    section.real("credit", credit, 1, 1e6, "units",
                 "that an ingress may have passed for a customer without having reported them");
    section.real("free_part", free_part, 0, 0.9, "",
                 "of each rate and burst, split evenly over the ingresses and not kept by the counter");
    section.real("free_units", free_units, 0, 1e6, "units",
                 "the free part's burst at each ingress at least");
    section.real("error_units", error_units, 0, 1e9, "units",
                 "the error wanted while all is well, for any customer and window; the credit follows; 0: "
                 "credit holds");
    section.real("skew_ms", skew_ms, 0, 10'000, "ms", "between any two ingresses' clocks at most");
    section.real("calls_per_s", calls_per_s, 1, 100'000, "a second", "of reports by this ingress at most");
    section.integer("customers_max", customers_max, 16, 10'000'000, "customers",
                    "held at once; beyond it the coldest are forgotten");
    return section;
}

Settings make_settings(const Options& options, const slatejunction::Settings& platform,
                       std::string& error) {
    Settings settings = settings_without_bound(options, platform);
    if (settings.ingress_count > kMaxIngresses)
        error = "counter: shared quotas support at most " + std::to_string(kMaxIngresses) +
                " ingresses, but Balancers is " + std::to_string(settings.ingress_count);
    if (settings.ingress_index >= settings.ingress_count)
        error = "counter: MyNumber must be less than Balancers";
    if (options.error_units <= 0 || !error.empty()) return settings;
    const double min_unreported = settings.max_request_units;
    settings.max_unreported_units = min_unreported;
    const PlanBound smallest = largest_healthy_bound(settings);
    if (smallest.units > options.error_units) {
        char text[160];
        std::snprintf(text, sizeof text,
                      "error_units: the error bound of plan %s cannot be %g units; the smallest possible "
                      "is %.1f units",
                      smallest.plan.c_str(), options.error_units, smallest.units);
        error = text;
        return settings;
    }
    settings.max_unreported_units =
        max_unreported_within_bound(settings, min_unreported, options.error_units);
    return settings;
}

std::vector<std::string> error_bound_lines(const Settings& settings) {
    std::vector<std::string> lines;
    for (const PlanQuota& plan : settings.plans) {
        if (plan.rate <= 0) continue;
        const auto bound = error_bound(settings, plan, settings.ingress_count, 1);
        char text[320];
        std::snprintf(
            text, sizeof text,
            "quota of %s: %g units/s, burst %g units; most units beyond that in any window: %.1f healthy, "
            "%.1f counter unreachable, %.1f one ingress cut off, %.1f counter state lost, "
            "%.1f counter state rolled back, and %.1f more for each restart",
            plan.name.c_str(), plan.rate, plan.burst, bound.healthy, bound.counter_unreachable,
            bound.partition, bound.counter_state_lost, bound.counter_state_rolled_back, bound.per_restart);
        lines.emplace_back(text);
    }
    return lines;
}

slatejunction::Settings without_quotas(slatejunction::Settings platform) {
    for (slatejunction::Plan& plan : platform.plans) {
        plan.rate = 0;
        plan.burst = 0;
        plan.max_in_flight = 0;
    }
    return platform;
}

}   // namespace slatejunction::quota
