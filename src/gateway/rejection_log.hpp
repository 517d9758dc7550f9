// Rejection log: every kRejectionLogS in which requests were rejected or a backend is an outlier, one log
// line has the number of rejections by reason.
//
// - Inputs: the reasons of rejections; the whole fleet's admitted fraction (0 to 1); the number of
//   outliers; times in seconds.
// - Output: the text of the line.
// - Limits: it makes no decision on a request.
// - Visible in: log line "refused: share N, ceiling or cap N, fraction N, open work N, no server N;
//   admitted fraction N%; suspect servers N".
#pragma once

#include <array>
#include <cstddef>
#include <string>

#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

constexpr double kRejectionLogS = 5.0;

/// Counts rejections by reason since the last line.
class RejectionLog {
  public:
    void count(RejectReason reason) {
        const auto index = static_cast<std::size_t>(reason);
        if (index < counts_.size()) ++counts_[index];
    }

    bool interval_elapsed(double now) const { return now - last_line_at_s_ > kRejectionLogS; }

    /// Starts the next interval. Returns the text of the line, empty if no line is needed.
    std::string close_interval(double admitted_fraction, std::ptrdiff_t outliers, double now) {
        static const std::array<const char*, 5> kLabels{"share ", ", ceiling or cap ", ", fraction ",
                                                        ", open work ", ", no server "};
        std::string text;
        if (outliers > 0 || counts_ != Counts{}) {
            text = "refused: ";
            for (std::size_t i = 0; i < kLabels.size(); ++i)
                text += kLabels[i] + std::to_string(counts_[i]);
            text += "; admitted fraction " + std::to_string(static_cast<int>(100 * admitted_fraction));
            text += "%; suspect servers " + std::to_string(outliers);
        }
        counts_ = {};
        last_line_at_s_ = now;
        return text;
    }

  private:
    using Counts = std::array<int, 5>;   // by RejectReason, from quota to no_backend

    Counts counts_{};
    double last_line_at_s_ = 0;
};

}   // namespace slatejunction::gateway
