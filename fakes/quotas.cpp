#include "quotas.hpp"

#include <rapidjson/document.h>

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace fakes {
namespace {

struct Event {
    double at;
    std::string customer, plan;
    bool sent;
};

struct Store {
    double level, at;
    double refilled(double now, const slatejunction::Plan& plan) {
        level = std::min(plan.burst, level + plan.rate * std::max(0.0, now - at));
        at = std::max(at, now);
        return level;
    }
};

}   // namespace

QuotaFindings check_quotas(const std::vector<std::string>& logs, const slatejunction::Settings& platform) {
    std::vector<Event> events;
    for (const std::string& path : logs) {
        std::ifstream in(path);
        if (!in) throw std::runtime_error(path + " can't be read");
        for (std::string line; std::getline(in, line);) {
            rapidjson::Document json;
            if (json.Parse(line.c_str()).HasParseError() || !json.IsObject() || !json.HasMember("outcome"))
                continue;
            events.push_back({json["time"].GetDouble() - json["seconds"].GetDouble(),
                              json["customer"].GetString(), json["plan"].GetString(),
                              json["attempts"].GetUint64() > 0});
        }
    }
    std::sort(events.begin(), events.end(), [](const Event& a, const Event& b) { return a.at < b.at; });
    struct Stores {
        Store real, bounded, perfect;
    };
    std::map<std::string, Stores> stores;
    QuotaFindings findings;
    findings.requests = events.size();
    for (const Event& event : events) {
        const auto plan = std::find_if(platform.plans.begin(), platform.plans.end(),
                                       [&](const auto& one) { return one.name == event.plan; });
        if (plan == platform.plans.end() || plan->rate <= 0) continue;
        const Store full{plan->burst, event.at};
        Stores& of = stores.try_emplace(event.customer, Stores{full, full, full}).first->second;
        QuotaFindings::OfPlan& found = findings.plans[event.plan];
        const double available = of.bounded.refilled(event.at, *plan);
        of.real.refilled(event.at, *plan);
        ++found.asked;
        if (of.perfect.refilled(event.at, *plan) >= 1) {
            of.perfect.level -= 1;
            ++found.perfect;
        }
        if (!event.sent) {
            found.rejected_with_units += available >= plan->burst / 2;
            continue;
        }
        ++found.sent;
        if (available >= 1) {
            of.bounded.level -= 1;
            ++found.inside;
        }
        of.real.level -= 1;
        if (-of.real.level > found.worst) {
            found.worst = -of.real.level;
            found.customer = event.customer;
        }
    }
    return findings;
}

}   // namespace fakes
