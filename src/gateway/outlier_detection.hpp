// Rule: a backend is an outlier, and ejected from the choice while others can serve, as long as its failure
// estimate is above kOutlierEstimate; one that rejects a kind of request is avoided for that kind alike.
// Inputs: results of attempts; silence of a backend (seconds, against mean latency and latency objective);
// times in seconds. A kind of request is a number for its class and plan.
// Output: estimates of failure and rejection (0 to 1), whether a backend is an outlier, whether failures
// are fleet-wide: then they are load or an outage, and nothing is cancelled or hedged for them.
// It never takes a backend out for good: estimates decay toward the fleet's and an ejected backend serves
// again.
// Seen in: log line "refused: ...; suspect servers N".
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

constexpr double kOutlierEstimate = 0.5;
constexpr double kFailureWeight = 0.5;   // of one failure; two soon after another exceed the limit above
constexpr double kStaleConnectionWeight = 0.03;   // backends close idle connections at will
constexpr double kSilenceWeight = 0.3;            // silence may also be long work
constexpr double kSuccessKeeps = 0.3;             // what one success leaves of an estimate
constexpr double kFailureDecayS = 4.0;
constexpr int kMaxFailureStreak = 1;            // failures in a row that lengthen the decay
constexpr double kFleetEstimateWeight = 0.05;   // of one attempt, in the fleet's estimates
constexpr double kFleetWideEstimate = 0.2;
constexpr double kMaxFleetEstimate = 0.4;   // below kOutlierEstimate: by it alone no backend is an outlier
constexpr double kSilenceLatencies = 4.0;   // mean latencies without any answer
constexpr double kMinSilenceRatio = 0.3;    // latency objectives
constexpr double kSilenceTolerance = 0.9;
constexpr double kMinObjectiveS = 0.01;

/// An estimate that decays toward the fleet's.
class FailureEstimate {
  public:
    double at(double now, double fleet_estimate) const {
        const double decay_s = kFailureDecayS * (1 + streak_);
        return fleet_estimate + (estimate_ - fleet_estimate) * std::exp(-(now - updated_at_s_) / decay_s);
    }
    void on_failure(double now, double fleet_estimate, double weight) {
        estimate_ = at(now, fleet_estimate);
        estimate_ += weight * (1 - estimate_);
        updated_at_s_ = now;
        streak_ = std::min(streak_ + 1, kMaxFailureStreak);
    }
    void on_success(double now, double fleet_estimate) {
        estimate_ = kSuccessKeeps * at(now, fleet_estimate);
        updated_at_s_ = now;
        streak_ = 0;
    }

  private:
    double estimate_ = 0;
    double updated_at_s_ = -1e18;
    int streak_ = 0;   // failures since the last success
};

/// What is known of one backend's health.
struct BackendHealth {
    FailureEstimate failures;
    std::vector<FailureEstimate> rejections;   // by kind of request: it may have capacity for the others
    double silent_since_s = 0;                 // last answer, or first attempt after it was idle
};

/// The fleet's estimates, and the rule on each backend's.
class OutlierDetector {
  public:
    explicit OutlierDetector(std::size_t kinds) : fleet_rejections_(kinds, 0) {}

    /// The health of a backend that is new at `now`.
    BackendHealth new_backend(double now) const {
        BackendHealth health;
        health.silent_since_s = now;
        health.rejections.resize(fleet_rejections_.size());
        return health;
    }

    /// `was_idle`: no other attempt was in flight to it.
    void on_attempt_started(BackendHealth& health, bool was_idle, double now) const {
        if (was_idle) health.silent_since_s = now;
    }
    /// An attempt ended. Cancelled ones, and those that never started, show nothing.
    void on_result(BackendHealth& health, std::size_t kind, const AttemptEnded& ended, double now) {
        switch (ended.result) {
            case AttemptResult::ok:
                on_success(health, kind, now);
                break;
            case AttemptResult::rejected:
                on_rejection(health, kind, now);
                break;
            case AttemptResult::cancelled:
            case AttemptResult::not_started:
                break;
            default:
                on_failure(health, ended.stale_connection ? kStaleConnectionWeight : kFailureWeight, now);
        }
    }
    /// The backend was silent for silence_limit_s() with an attempt in flight.
    void on_silence(BackendHealth& health, double now) { on_failure(health, kSilenceWeight, now); }

    double failure_estimate(const BackendHealth& health, double now) const {
        return health.failures.at(now, fleet_failures_);
    }
    double rejection_estimate(const BackendHealth& health, std::size_t kind, double now) const {
        return health.rejections[kind].at(now, fleet_rejections_[kind]);
    }
    bool is_outlier(const BackendHealth& health, double now) const {
        return failure_estimate(health, now) > kOutlierEstimate;
    }
    bool is_rejecting(const BackendHealth& health, std::size_t kind, double now) const {
        return rejection_estimate(health, kind, now) > kOutlierEstimate;
    }
    bool fleet_wide_failure() const { return fleet_failures_ > kFleetWideEstimate; }

    /// Whether the backend's latencies are samples of the fleet's load.
    bool latency_counts_as_load(const BackendHealth& health, double now) const {
        return fleet_wide_failure() || !is_outlier(health, now);
    }

    /// How long an attempt may last (s) before its backend's silence is checked. `mean_latency_ratio`: the
    /// fleet's, in latency objectives.
    static double silence_limit_s(double mean_latency_ratio, double latency_objective_s) {
        return std::max(kSilenceLatencies * mean_latency_ratio, kMinSilenceRatio) *
               std::max(latency_objective_s, kMinObjectiveS);
    }
    /// Whether an attempt of that age has lasted for the limit; it may have fallen a little since the timer
    /// was set.
    static bool is_overdue(double age_s, double limit_s) { return !(age_s < kSilenceTolerance * limit_s); }
    /// Whether the backend has answered nothing since `started_at_s` of an attempt.
    static bool is_silent_since(const BackendHealth& health, double started_at_s) {
        return health.silent_since_s <= started_at_s + 1e-9;
    }

  private:
    void on_success(BackendHealth& health, std::size_t kind, double now) {
        health.silent_since_s = now;
        health.failures.on_success(now, fleet_failures_);
        health.rejections[kind].on_success(now, fleet_rejections_[kind]);
        fleet_failures_ -= kFleetEstimateWeight * fleet_failures_;
        fleet_rejections_[kind] -= kFleetEstimateWeight * fleet_rejections_[kind];
    }
    void on_rejection(BackendHealth& health, std::size_t kind, double now) {
        health.silent_since_s = now;
        health.rejections[kind].on_failure(now, fleet_rejections_[kind], kFailureWeight);
        fleet_rejections_[kind] += kFleetEstimateWeight * (kMaxFleetEstimate - fleet_rejections_[kind]);
    }
    void on_failure(BackendHealth& health, double weight, double now) {
        health.failures.on_failure(now, fleet_failures_, weight);
        fleet_failures_ += kFleetEstimateWeight * (kMaxFleetEstimate - fleet_failures_);
    }

    double fleet_failures_ = 0;
    std::vector<double> fleet_rejections_;   // by kind of request
};

}   // namespace slatejunction::gateway
