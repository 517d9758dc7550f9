// The part of PromQL that the shipped alert rules use, by its public documentation: selectors with label
// matchers, ranges, rate, increase, max_over_time, min_over_time, changes, histogram_quantile, time,
// absent, sum, max and min by labels, arithmetic, comparisons, and, or, unless. Anything else is an error
// that says where.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "recording.hpp"

namespace fakes {

using LabelSet = std::map<std::string, std::string>;

struct Element {
    LabelSet labels;
    double value;
};
using Vector = std::vector<Element>;

class Query {
  public:
    // `speed`: all durations in the text are divided by it, for recordings made in less time.
    // Throws std::runtime_error.
    explicit Query(const std::string& text, double speed = 1);
    ~Query();
    Query(const Query&) = delete;
    Query& operator=(const Query&) = delete;
    Query(Query&&) noexcept;
    Query& operator=(Query&&) noexcept;
    // At a time, s. A scalar is one element without labels.
    Vector at(const Recording& recording, double time_s) const;
    struct Node;

  private:
    std::unique_ptr<Node> root_;
};

// "5m", "1h30m", "15s", "100ms" in seconds; throws std::runtime_error.
double duration_of(const std::string& text);

}   // namespace fakes
