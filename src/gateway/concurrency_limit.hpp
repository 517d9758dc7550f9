// Rule: a request is rejected while the attempts in flight to its subset, over the rate of answers, promise
// a latency above kMaxExpectedLatencyRatio (Little's law).
// Inputs: attempts in flight and their classes' latency objectives (s); times of answers (s); backends per
// ingress; the request's priority over the mean one's, which lengthens or shortens the wait that is
// allowed.
// Output: whether the limit is exceeded.
// It never rejects while fewer attempts are in flight than kMinInFlightPerBackend allows, and never
// cancels.
// Seen in: RejectReason::concurrency_limit (measure slatejunction_refusals_total), log line "refused: ...
// open work N ...".
#pragma once

#include <algorithm>
#include <cmath>

namespace slatejunction::gateway {

constexpr double kMaxExpectedLatencyRatio = 0.35;   // latency objectives
constexpr double kMinPriorityAllowance = 0.3;       // of the ratio above; for requests of little priority
constexpr double kAnswerRateTimeS = 1.5;            // averaging time of the rate
constexpr double kMinRateWeight = 0.1;              // of a full average, just after the first answer
constexpr double kMinInFlightPerBackend = 4.0;      // over all ingresses
constexpr double kMinInFlight = 1.0;                // at one ingress; fewer show no queue

/// Attempts in flight to one subset against its rate of answers.
class ConcurrencyLimit {
  public:
    void on_attempt_started(double latency_objective_s) { change(latency_objective_s, 1); }
    /// It ended, or no longer counts as it is overdue at a silent backend.
    void on_attempt_removed(double latency_objective_s) { change(latency_objective_s, -1); }

    /// An attempt was answered.
    void on_answer(double now) {
        if (first_answer_at_s_ < 0) first_answer_at_s_ = now;
        rate_ = decayed_rate(now) + 1 / kAnswerRateTimeS;
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
    // Answers a second, over the time since the first one: a new gateway would reject its first second.
    double answer_rate(double now) const {
        const double weight =
            first_answer_at_s_ < 0 ? 0 : 1 - std::exp(-(now - first_answer_at_s_) / kAnswerRateTimeS);
        return decayed_rate(now) / std::max(weight, kMinRateWeight);
    }
    double decayed_rate(double now) const {
        return rate_ * std::exp(-(now - rate_at_s_) / kAnswerRateTimeS);
    }
    void change(double latency_objective_s, int count) {
        in_flight_ += count;
        const double ratio = count / std::max(latency_objective_s, 1e-3);
        in_flight_ratios_ = in_flight_ > 0 ? in_flight_ratios_ + ratio : 0;
    }

    double in_flight_ = 0;
    double in_flight_ratios_ = 0;   // sum of 1 / latency objective, 1/s
    double rate_ = 0;               // answers a second at rate_at_s_, not yet corrected for a short history
    double rate_at_s_ = 0;
    double first_answer_at_s_ = -1;
};

}   // namespace slatejunction::gateway
