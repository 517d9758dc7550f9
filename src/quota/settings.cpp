#include "quota/settings.hpp"

#include <algorithm>
#include <cstdio>
#include <sstream>

#include "net/stream.hpp"

namespace slatejunction::quota {
namespace {

constexpr std::size_t kPartsMost = 3;

}   // namespace

std::vector<std::string> Options::parts() const {
    std::vector<std::string> all;
    std::istringstream rest(counter);
    for (std::string one; std::getline(rest, one, ',');) {
        one.erase(0, one.find_first_not_of(" \t"));
        one.erase(one.find_last_not_of(" \t") + 1);
        all.push_back(one);
    }
    return all;
}

ini::Section Options::section() {
    ini::Section section(
        "quota",
        "Quotas kept over all ingresses by a shared counter: docs/shared-quota.md. Off without one.");
    section.text("counter", counter, "ADDRESS:PORT, up to three by commas: names are split over them",
                 [](const std::string& text) -> std::string {
                     Options read;
                     read.counter = text;
                     const auto parts = read.parts();
                     if (parts.size() > kPartsMost)
                         return "more than " + std::to_string(kPartsMost) + " parts";
                     for (const std::string& one : parts)
                         if (!net::parse_address(one)) return "'" + one + "' is not ADDRESS:PORT";
                     return "";
                 });
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

Settings settings_of(const Options& options, const slatejunction::Settings& platform, std::string& fault) {
    Settings made;
    for (const slatejunction::Plan& plan : platform.plans)
        made.plans.push_back({plan.name, plan.rate, plan.burst, plan.max_in_flight});
    made.ingress_count = static_cast<unsigned>(std::max(1.0, platform.ingress_count));
    made.ingress_index = static_cast<unsigned>(platform.ingress_index);
    made.parts = static_cast<unsigned>(std::max<std::size_t>(1, options.parts().size()));
    made.credit = options.credit;
    made.free_part = options.free_part;
    made.free_units = options.free_units;
    made.largest = platform.max_request_units > 0 ? platform.max_request_units : 1;
    made.calls_per_s = options.calls_per_s;
    made.skew_s = options.skew_ms / 1000;
    made.customers_most = static_cast<std::size_t>(options.customers_max);
    if (made.ingress_count > kIngressesMost)
        fault = "counter: quotas are kept for at most " + std::to_string(kIngressesMost) +
                " ingresses, not " + std::to_string(made.ingress_count);
    if (made.ingress_index >= made.ingress_count) fault = "counter: MyNumber is none of the ingresses'";
    if (options.error_units <= 0 || !fault.empty()) return made;
    const auto worst = [&](std::string* plan_name) {
        double most = 0;
        for (const PlanQuota& plan : made.plans) {
            const double error =
                plan.rate > 0 ? stated_error(made, plan, made.ingress_count, 0).healthy : 0;
            if (error <= most) continue;
            most = error;
            if (plan_name) *plan_name = plan.name;
        }
        return most;
    };
    double least = made.largest, most = std::max(made.largest, options.error_units);
    made.credit = least;
    std::string name;
    if (const double error = worst(&name); error > options.error_units) {
        char text[160];
        std::snprintf(text, sizeof text,
                      "error_units: plan %s can't be held within %g units; %.1f is the least", name.c_str(),
                      options.error_units, error);
        fault = text;
        return made;
    }
    for (int i = 0; i < 60; ++i) {
        made.credit = (least + most) / 2;
        (worst(nullptr) <= options.error_units ? least : most) = made.credit;
    }
    made.credit = least;
    return made;
}

std::vector<std::string> stated(const Settings& settings) {
    std::vector<std::string> all;
    for (const PlanQuota& plan : settings.plans) {
        if (plan.rate <= 0) continue;
        const auto error = stated_error(settings, plan, settings.ingress_count, 1);
        char text[320];
        std::snprintf(
            text, sizeof text,
            "quota of %s: %g a second, burst %g; beyond that in any window at most, in units: %.1f "
            "healthy, %.1f "
            "counter lost, %.1f one ingress cut off, %.1f empty, %.1f older, and %.1f for each restart",
            plan.name.c_str(), plan.rate, plan.burst, error.healthy, error.lost, error.split, error.empty,
            error.older, error.restarted);
        all.emplace_back(text);
    }
    return all;
}

slatejunction::Settings without_quotas(slatejunction::Settings platform) {
    for (slatejunction::Plan& plan : platform.plans) plan.rate = plan.burst = plan.max_in_flight = 0;
    return platform;
}

}   // namespace slatejunction::quota
