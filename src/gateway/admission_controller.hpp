// Admission control by latency: a PI controller sets the fraction of requests that a subset admits, so that
// the mean latency of finished attempts stays at a reference (Amani et al., "Application of Control Theory
// to a Commercial Mobile Service Support System", Load-Adaptive Controller, section V.B, equation 10).
//
// - Inputs: latency ratios (latency over the class's latency objective, so that one controller serves all
//   classes); times in seconds; the priority of each request relative to the mean.
// - Output: the admitted fraction, 0.05 to 1, and whether a single request is admitted under it.
// - Limits: it does not look at customers, quotas or single backends, and the fraction does not change
//   while no attempt finishes.
// - Visible in: action ReportAdmittedFraction (metric slatejunction_admitted_fraction);
//   RejectReason::admitted_fraction (metric slatejunction_refusals_total); RejectionLog.
#pragma once

#include <algorithm>

#include "gateway/numeric.hpp"
#include "gateway/sampling.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

/// The reference of the controller.
constexpr double kReferenceLatencyRatio = 0.3;
constexpr double kAdmissionPeriodS = 0.5;
/// A period of this length is closed even with too few samples.
constexpr double kMaxAdmissionPeriodS = 1.0;
/// Samples that a period needs to be closed before kMaxAdmissionPeriodS. A step down is made in full if the
/// samples times their mean latency ratio are at least this number times kReferenceLatencyRatio for each
/// kAdmissionPeriodS, else in proportion: at higher latencies fewer samples are needed.
constexpr double kMinSamplesPerPeriod = 2;
/// Steps that one long period may make up for.
constexpr double kMaxPeriodsPerStep = 4.0;
/// Limits what a few slow backends add to the mean.
constexpr double kMaxSampleRatio = 0.6;
constexpr double kMinAdmittedFraction = 0.05;
/// Step of the admitted fraction while the gain is unknown.
constexpr double kFixedStepFraction = 0.4;
/// Largest gain of the proportional part, in admitted fraction per latency ratio.
constexpr double kMaxGain = 1.0;
/// Weight of the newest period in the low-pass filter of the proportional part.
constexpr double kGainFilterWeight = 0.5;
/// Gain of the integral part, in admitted fraction per latency ratio and period.
constexpr double kIntegralGain = 0.06;
/// Fraction of the step beyond the limits that is taken out of the proportional part.
constexpr double kAntiWindupFraction = 0.5;
/// Age beyond which an operating point is not used, as it belongs to a different load.
constexpr double kMaxPointAgeS = 20.0;
/// Least distance in admitted fraction between the high and the low operating point.
constexpr double kMinPointDistance = 0.01;
/// Changed fraction of the fleet above which the operating points are discarded.
constexpr double kFleetChangeForReset = 0.15;
/// How many requests earlier than its turn one of mean priority may be admitted.
constexpr double kAdmissionCreditRequests = 0.5;

/// A duration over the class's latency objective.
inline double latency_ratio(double duration_s, const ServiceClass& service_class) {
    return duration_s / std::max(service_class.latency_objective_s, 1e-3);
}

/// The priority weight of a request: that of its class, times that of its plan where the plan has one.
inline double request_priority(const ServiceClass& service_class, const Plan& plan) {
    const double plan_weight = positive_or_zero(plan.plan_weight) > 0 ? plan.plan_weight : 1.0;
    return positive_or_zero(service_class.priority_weight) * plan_weight;
}

/// The controller of one subset.
class AdmissionController {
  public:
    double fraction() const { return fraction_; }

    /// Whether the next request is admitted. `relative_priority`: 1 is the mean.
    bool admit(double relative_priority) {
        if (fraction_ >= 1) sampler_.start(0);   // nothing carries over from an earlier overload
        return sampler_.sample(fraction_, kAdmissionCreditRequests * relative_priority);
    }

    /// Whether the latency of an ended attempt is a sample: it was answered, timed out, or was overdue at a
    /// silent backend.
    static bool is_sample(AttemptResult result, bool overdue) {
        return overdue || result == AttemptResult::ok || result == AttemptResult::timeout;
    }
    /// Whether the age of an attempt in flight is a sample. Without these, lost attempts would not count
    /// until they time out.
    static bool is_sample_in_flight(double latency_ratio) { return latency_ratio > 1; }

    /// Adds the latency ratio of an attempt that has ended or is overdue.
    void add_sample(double latency_ratio) {
        latency_ratio_sum_ += std::min(latency_ratio, kMaxSampleRatio);
        ++sample_count_;
    }

    /// The given fraction of the fleet has changed.
    void on_fleet_change(double changed_fraction) {
        if (changed_fraction > kFleetChangeForReset) discard_points();
    }

    /// Whether the period is long enough and has enough samples for close_period().
    bool period_complete(double now) const {
        const double age_s = now - period_started_at_s_;
        return age_s >= kAdmissionPeriodS &&
               (sample_count_ >= kMinSamplesPerPeriod || age_s >= kMaxAdmissionPeriodS);
    }

    /// Updates the admitted fraction by one step and starts the next period.
    void close_period(double now);

  private:
    // The mean latency ratio that was measured at an admitted fraction, and when.
    struct OperatingPoint {
        double fraction = 0;
        double latency_ratio = 0;
        double measured_at_s = -1e18;
    };

    void discard_points() {
        high_.measured_at_s = -1e18;
        low_.measured_at_s = -1e18;
    }
    double proportional_step(double error, double max_step, double max_step_down, double periods,
                             double now);

    double fraction_ = 1.0;
    double period_started_at_s_ = 0;
    double latency_ratio_sum_ = 0;   // of the samples of this period
    int sample_count_ = 0;           // in this period
    OperatingPoint high_;            // last one above the reference
    OperatingPoint low_;             // last one not above the reference
    double proportional_ = 0;        // low-pass filtered, as an admitted fraction
    SystematicSampler sampler_;
};

}   // namespace slatejunction::gateway
