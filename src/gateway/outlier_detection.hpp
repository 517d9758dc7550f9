// Outlier detection: a backend is an outlier, and ejected while others can serve, as long as its failure
// estimate is above kOutlierEstimate. A backend that rejects a kind of request is likewise avoided for that
// kind. A kind of request is an index for its class and plan.
//
// - Inputs: results of attempts; silence of a backend (seconds, compared with mean latency and latency
//   objective); times in seconds.
// - Output: estimates of failure and rejection (0 to 1); whether a backend is an outlier; whether failures
//   are fleet-wide. Fleet-wide failures mean overload or an outage, for which nothing is cancelled or
//   hedged.
// - Limits: it never removes a backend permanently: estimates decay toward the fleet's, and an ejected
//   backend serves again.
// - Visible in: RejectionLog, as the number of outlier backends.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

constexpr double kOutlierEstimate = 0.5;
/// Weight of one failure; two within a short time exceed kOutlierEstimate.
constexpr double kFailureWeight = 0.5;
/// Weight of a failure on a stale connection: backends may close idle connections at any time.
constexpr double kStaleConnectionWeight = 0.03;
/// Weight of a silence, which may also be a long computation.
constexpr double kSilenceWeight = 0.3;
/// Fraction of an estimate that is left after one success.
constexpr double kSuccessRetainedFraction = 0.3;
constexpr double kFailureDecayS = 4.0;
/// Consecutive failures that lengthen the decay.
constexpr int kMaxFailureStreak = 1;
/// Weight of one attempt in the fleet's estimates.
constexpr double kFleetEstimateWeight = 0.05;
constexpr double kFleetWideEstimate = 0.2;
/// Below kOutlierEstimate, so that the fleet's estimate alone makes no backend an outlier.
constexpr double kMaxFleetEstimate = 0.4;
/// Mean latencies without any answer after which a backend is silent.
constexpr double kSilenceMeanLatencies = 4.0;
/// Least duration of a silence, in latency objectives.
constexpr double kMinSilenceRatio = 0.3;
/// Fraction of the silence limit after which an attempt is overdue.
constexpr double kOverdueFraction = 0.9;
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
        estimate_ = kSuccessRetainedFraction * at(now, fleet_estimate);
        updated_at_s_ = now;
        streak_ = 0;
    }

  private:
    double estimate_ = 0;
    double updated_at_s_ = -1e18;
    int streak_ = 0;   // failures since the last success, up to kMaxFailureStreak
};

/// The health of one backend.
struct BackendHealth {
    FailureEstimate failures;
    std::vector<FailureEstimate> rejections;   // by kind of request: others may still be accepted
    double silent_since_s = 0;                 // last answer, or first attempt after it was idle
};

/// Decides on the health of each backend, and keeps the fleet's estimates.
class OutlierDetector {
  public:
    explicit OutlierDetector(std::size_t request_kinds) : fleet_rejections_(request_kinds, 0) {}

    /// The health of a backend that is new at `now`.
    BackendHealth new_backend(double now) const {
        BackendHealth health;
        health.silent_since_s = now;
        health.rejections.resize(fleet_rejections_.size());
        return health;
    }

    /// `was_idle`: no other attempt was in flight to the backend.
    void on_attempt_started(BackendHealth& health, bool was_idle, double now) const {
        if (was_idle) health.silent_since_s = now;
    }
    /// An attempt ended. Attempts that were cancelled or never started are not evidence of health.
    void on_result(BackendHealth& health, std::size_t request_kind, const AttemptEnded& ended, double now) {
        switch (ended.result) {
            case AttemptResult::ok:
                on_success(health, request_kind, now);
                break;
            case AttemptResult::rejected:
                on_rejection(health, request_kind, now);
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
    double rejection_estimate(const BackendHealth& health, std::size_t request_kind, double now) const {
        return health.rejections[request_kind].at(now, fleet_rejections_[request_kind]);
    }
    bool is_outlier(const BackendHealth& health, double now) const {
        return failure_estimate(health, now) > kOutlierEstimate;
    }
    bool is_rejecting(const BackendHealth& health, std::size_t request_kind, double now) const {
        return rejection_estimate(health, request_kind, now) > kOutlierEstimate;
    }
    bool fleet_wide_failure() const { return fleet_failures_ > kFleetWideEstimate; }

    /// Whether the backend's latencies are samples of the fleet's load.
    bool latency_counts_as_load(const BackendHealth& health, double now) const {
        return fleet_wide_failure() || !is_outlier(health, now);
    }

    /// How long an attempt may last (s) before the silence of its backend is checked. `mean_latency_ratio`:
    /// that of the fleet, in latency objectives.
    static double silence_limit_s(double mean_latency_ratio, double latency_objective_s) {
        return std::max(kSilenceMeanLatencies * mean_latency_ratio, kMinSilenceRatio) *
               std::max(latency_objective_s, kMinObjectiveS);
    }
    /// Whether an attempt of this age has reached the limit. The tolerance is for a limit that differs a
    /// little from the one for which the timer was set.
    static bool is_overdue(double age_s, double limit_s) { return !(age_s < kOverdueFraction * limit_s); }
    /// Whether the backend has answered nothing since the attempt that started at `started_at_s`.
    static bool is_silent_since(const BackendHealth& health, double started_at_s) {
        return health.silent_since_s <= started_at_s + 1e-9;
    }

  private:
    void on_success(BackendHealth& health, std::size_t request_kind, double now) {
        health.silent_since_s = now;
        health.failures.on_success(now, fleet_failures_);
        health.rejections[request_kind].on_success(now, fleet_rejections_[request_kind]);
        fleet_failures_ -= kFleetEstimateWeight * fleet_failures_;
        fleet_rejections_[request_kind] -= kFleetEstimateWeight * fleet_rejections_[request_kind];
    }
    void on_rejection(BackendHealth& health, std::size_t request_kind, double now) {
        health.silent_since_s = now;
        health.rejections[request_kind].on_failure(now, fleet_rejections_[request_kind], kFailureWeight);
        fleet_rejections_[request_kind] +=
            kFleetEstimateWeight * (kMaxFleetEstimate - fleet_rejections_[request_kind]);
    }
    void on_failure(BackendHealth& health, double weight, double now) {
        health.failures.on_failure(now, fleet_failures_, weight);
        fleet_failures_ += kFleetEstimateWeight * (kMaxFleetEstimate - fleet_failures_);
    }

    double fleet_failures_ = 0;
    std::vector<double> fleet_rejections_;   // by kind of request
};

}   // namespace slatejunction::gateway
