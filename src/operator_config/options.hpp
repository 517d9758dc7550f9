// The operator's own file (deploy/operator.ini): what the platform's configuration does not say. Everything
// in it is off unless it is named there.
#pragma once

#include <string>
#include <vector>

#include "fleet_counters/settings.hpp"
#include "fleet_rate_limit/settings.hpp"
#include "lease/settings.hpp"
#include "log/settings.hpp"
#include "membership/settings.hpp"
#include "metrics/settings.hpp"
#include "quota/settings.hpp"
#include "remotewrite/settings.hpp"
#include "rollout/settings.hpp"
#include "rules/settings.hpp"

namespace slatejunction::operator_config {

struct Options {
    logging::Settings log;
    metrics::Settings metrics;
    remotewrite::Settings remote_write;
    rules::Settings rules;
    quota::Options quota;
    membership::Options membership;
    lease::Options lease;
    fleet_counters::Options fleet_counters;
    fleet_rate_limit::Options fleet_rate_limits;
    rollout::Options rollout;

    bool has_fleet_rate_limits() const {
        for (const auto& one : rules.limits)
            if (one.scope == 1) return true;
        return false;
    }
    bool collects() const { return metrics.collect == 1 || !remote_write.url.empty(); }
    std::vector<ini::Section> sections();   // they write into this object
};

// Takes the file, all of it or nothing. Returns all faults, one line each; see ini::read().
std::vector<std::string> load(const std::string& path, Options& options);
// The same for the file's text; `path` names it in faults.
std::vector<std::string> load_text(const std::string& path, const std::string& text, Options& options);
// The same but for the rules' expressions, which whoever compiles them anyway checks.
std::vector<std::string> parse_text(const std::string& path, const std::string& text, Options& options);
// The file with every key, its unit and its default.
std::string sample();

}   // namespace slatejunction::operator_config
