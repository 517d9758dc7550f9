#include "rules.hpp"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <stdexcept>

namespace fakes {
namespace {

void only(const YAML::Node& node, const std::set<std::string>& keys, const std::string& where) {
    for (const auto& pair : node)
        if (!keys.contains(pair.first.as<std::string>()))
            throw std::runtime_error(where + ": unknown key '" + pair.first.as<std::string>() + "'");
}

LabelSet pairs_of(const YAML::Node& node) {
    LabelSet all;
    for (const auto& pair : node) all[pair.first.as<std::string>()] = pair.second.as<std::string>();
    return all;
}

}   // namespace

std::vector<Rule> read_rules(const std::string& path, double speed) {
    std::vector<Rule> rules;
    YAML::Node file;
    try {
        file = YAML::LoadFile(path);
    } catch (const YAML::Exception& bad) {
        throw std::runtime_error(path + ": " + bad.what());
    }
    only(file, {"groups"}, path);
    for (const YAML::Node& group : file["groups"]) {
        const std::string where = path + ": group " + group["name"].as<std::string>("?");
        only(group, {"name", "interval", "rules"}, where);
        const double interval = duration_of(group["interval"].as<std::string>("15s"));
        for (const YAML::Node& one : group["rules"]) {
            const std::string name = one["alert"].as<std::string>("");
            const std::string at = where + ": " + (name.empty() ? "a rule without a name" : name);
            only(one, {"alert", "expr", "for", "labels", "annotations"}, at);
            const std::string text = one["expr"].as<std::string>("");
            if (name.empty() || text.empty()) throw std::runtime_error(at + ": no name or expr");
            const LabelSet labels = pairs_of(one["labels"]), notes = pairs_of(one["annotations"]);
            if (!labels.contains("severity")) throw std::runtime_error(at + ": no severity");
            if (!notes.contains("summary") || !notes.contains("runbook"))
                throw std::runtime_error(at + ": no summary or runbook");
            try {
                const double wait = one["for"] ? duration_of(one["for"].as<std::string>()) : 0;
                rules.push_back(
                    {name, text, wait / speed, interval / speed, labels, notes, Query(text, speed)});
            } catch (const std::runtime_error& bad) {
                throw std::runtime_error(at + ": " + bad.what());
            }
        }
    }
    return rules;
}

std::vector<Firing> evaluate(const std::vector<Rule>& rules, const Recording& recording) {
    std::int64_t first = std::numeric_limits<std::int64_t>::max(), last = 0;
    for (const auto& [key, points] : recording) {
        if (points.empty()) continue;
        first = std::min(first, points.front().at_ms);
        last = std::max(last, points.back().at_ms);
    }
    std::vector<Firing> firings;
    for (const Rule& rule : rules) {
        struct Active {
            double since;
            std::size_t firing = std::numeric_limits<std::size_t>::max();
        };
        std::map<LabelSet, Active> active;
        for (double at = static_cast<double>(first) / 1e3; at <= static_cast<double>(last) / 1e3;
             at += rule.interval_s) {
            std::set<LabelSet> seen;
            for (const Element& one : rule.query.at(recording, at)) {
                LabelSet labels = one.labels;
                labels.erase("__name__");
                seen.insert(labels);
                Active& state = active.emplace(labels, Active{at}).first->second;
                if (state.firing == std::numeric_limits<std::size_t>::max() &&
                    at - state.since >= rule.for_s - 1e-9) {
                    state.firing = firings.size();
                    firings.push_back({rule.name, labels, at, 0});
                }
            }
            std::erase_if(active, [&](const auto& pair) {
                if (seen.contains(pair.first)) return false;
                if (pair.second.firing != std::numeric_limits<std::size_t>::max())
                    firings[pair.second.firing].to_s = at;
                return true;
            });
        }
    }
    return firings;
}

}   // namespace fakes
