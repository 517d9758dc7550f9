// Alert rules in Prometheus' file format, evaluated over a recording.
#pragma once

#include <string>
#include <vector>

#include "promql.hpp"

namespace fakes {

struct Rule {
    std::string name, expression;
    double for_s = 0, interval_s = 15;
    LabelSet labels, annotations;
    Query query;
};

// Throws std::runtime_error that names the file and the rule: no YAML, unknown keys, no expression,
// severity, summary or runbook, an expression outside of what is evaluated here.
std::vector<Rule> read_rules(const std::string& path, double speed = 1);

struct Firing {
    std::string alert;
    LabelSet labels;
    double from_s = 0, to_s = 0;   // Unix time; to_s 0: still firing at the end
};

// From the recording's first sample to its last, every rule each interval.
std::vector<Firing> evaluate(const std::vector<Rule>& rules, const Recording& recording);

}   // namespace fakes
