// Concurrency limit: a request is rejected while the attempts in flight to its subset, divided by the rate
// of answers, predict a latency above kMaxExpectedLatencyRatio (Little's law).
//
// - Inputs: attempts in flight and the latency objectives of their classes (s); times of answers (s);
//   backends per ingress; the request's priority relative to the mean, which scales the allowed latency.
// - Output: whether the limit is exceeded.
// - Limits: it does not reject while fewer attempts are in flight than kMinInFlightPerBackend allows, and
//   never cancels an attempt.
// - Visible in: RejectReason::concurrency_limit (metric slatejunction_refusals_total); RejectionLog.
#pragma once

#include <algorithm>
#include <cmath>

namespace slatejunction::gateway {

/// Largest expected latency at which requests of mean priority are admitted, in latency objectives.
constexpr double kMaxExpectedLatencyRatio = 0.35;
/// Least fraction of that ratio which requests of low priority are allowed.
constexpr double kMinPriorityAllowance = 0.3;
/// Time constant of the exponentially decaying rate of answers.
constexpr double kAnswerRateDecayS = 1.5;
/// Lower bound of the divisor that corrects the rate for the short time since the first answer. The divisor
/// rises from 0 at that answer to 1, which is no correction.
constexpr double kMinRateWeight = 0.1;
/// Attempts in flight that are always allowed for each backend, over all ingresses.
constexpr double kMinInFlightPerBackend = 4.0;
/// Attempts in flight that are always allowed at one ingress; fewer are no sign of a queue.
constexpr double kMinInFlight = 1.0;

/// Compares the attempts in flight to one subset with its rate of answers.
class ConcurrencyLimit {
  public:
    void on_attempt_started(double latency_objective_s) { change(latency_objective_s, 1); }
    /// The attempt ended, or it no longer counts because it is overdue at a silent backend.
    void on_attempt_removed(double latency_objective_s) { change(latency_objective_s, -1); }

    /// An attempt was answered.
    void on_answer(double now) {
        if (first_answer_at_s_ < 0) first_answer_at_s_ = now;
        rate_ = decayed_rate(now) + 1 / kAnswerRateDecayS;
        rate_at_s_ = now;
    }

    /// `backends_per_ingress`: backends of the subset over the number of ingresses. `relative_priority`: 1
    /// is the mean.
    bool exceeded(double backends_per_ingress, double relative_priority, double now) const {
        const double allowance = std::max(relative_priority, kMinPriorityAllowance);
        return in_flight_ > std::max(kMinInFlight, kMinInFlightPerBackend * backends_per_ingress) &&
               in_flight_ratios_ > allowance * kMaxExpectedLatencyRatio * answer_rate(now);
    }

  private:
    // Answers per second, corrected for the short time since the first answer. Without the correction a new
    // gateway would reject requests throughout its first second.
    double answer_rate(double now) const {
        const double weight =
            first_answer_at_s_ < 0 ? 0 : 1 - std::exp(-(now - first_answer_at_s_) / kAnswerRateDecayS);
        return decayed_rate(now) / std::max(weight, kMinRateWeight);
    }
    double decayed_rate(double now) const {
        return rate_ * std::exp(-(now - rate_at_s_) / kAnswerRateDecayS);
    }
    void change(double latency_objective_s, int count) {
        in_flight_ += count;
        const double ratio = count / std::max(latency_objective_s, 1e-3);
        in_flight_ratios_ = in_flight_ > 0 ? in_flight_ratios_ + ratio : 0;
    }

    double in_flight_ = 0;
    double in_flight_ratios_ = 0;   // sum of 1 / latency objective, 1/s
    double rate_ = 0;               // answers per second at rate_at_s_, before the correction
    double rate_at_s_ = 0;
    double first_answer_at_s_ = -1;   // negative: none yet
};

}   // namespace slatejunction::gateway
