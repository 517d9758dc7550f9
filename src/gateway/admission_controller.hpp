// Rule: the fraction of requests admitted to a subset follows a PI loop that holds the mean latency of
// finished attempts at a reference (Amani et al., "Application of Control Theory to a Commercial Mobile
// Service Support System", Load-Adaptive Controller, section V.B, equation 10).
// Inputs: latency ratios (latency over the class's latency objective, so that one loop serves all classes);
// times in seconds; each request's priority over the mean one's.
// Output: the admitted fraction, 0.05 to 1, and whether one request is admitted under it.
// It never looks at customers, quotas or single backends, and stays as it is while nothing finishes.
// Seen in: action ReportAdmittedFraction (measure slatejunction_admitted_fraction),
// RejectReason::admitted_fraction (slatejunction_refusals_total), log line "refused: ... fraction N ...;
// admitted fraction N%".
#pragma once

#include <algorithm>

#include "gateway/numeric.hpp"
#include "gateway/sampling.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

constexpr double kReferenceLatencyRatio = 0.3;
constexpr double kAdmissionPeriodS = 0.5;
constexpr double kMaxAdmissionPeriodS = 1.0;   // then it closes with too few samples
constexpr double kMinSamplesPerPeriod = 2;     // at the reference latency; slower ones need fewer
constexpr double kMaxPeriodsPerStep = 4.0;     // steps that one long period may make up for
constexpr double kMaxSampleRatio = 0.6;        // limits what a few slow backends add to the mean
constexpr double kMinAdmittedFraction = 0.05;
constexpr double kFixedStep = 0.4;              // of the fraction, while the gain is not measured
constexpr double kMaxGain = 1.0;                // fraction per latency ratio
constexpr double kGainFilterWeight = 0.5;       // of the newest period, in the low-pass filter
constexpr double kIntegralGain = 0.06;          // fraction per latency ratio and period
constexpr double kAntiWindup = 0.5;             // part of the excess removed each period
constexpr double kMaxPointAgeS = 20.0;          // an older point belongs to another load
constexpr double kMinPointDistance = 0.01;      // of the fraction, between the high and the low point
constexpr double kFleetChangeForReset = 0.15;   // part of the fleet, from which measured points are void
constexpr double kAdmissionCredit = 0.5;        // requests that one of mean priority may be admitted early

/// A duration over the class's latency objective.
inline double latency_ratio(double duration_s, const ServiceClass& service_class) {
    return duration_s / std::max(service_class.latency_objective_s, 1e-3);
}

/// The priority weight of a request: of its class, times its plan's where that has one.
inline double request_priority(const ServiceClass& service_class, const Plan& plan) {
    const double plan_weight = positive_or_zero(plan.plan_weight) > 0 ? plan.plan_weight : 1.0;
    return positive_or_zero(service_class.priority_weight) * plan_weight;
}

/// One closed loop; the gateway has one for each subset.
class AdmissionController {
  public:
    double fraction() const { return fraction_; }

    /// Whether the next request is admitted. `relative_priority`: 1 is the mean.
    bool admit(double relative_priority) {
        if (fraction_ >= 1) sampler_.start(0);   // nothing is carried over from an earlier overload
        return sampler_.sample(fraction_, kAdmissionCredit * relative_priority);
    }

    /// Whether the latency of an ended attempt is a sample: answered, timed out, or overdue at a silent
    /// backend.
    static bool is_sample(AttemptResult result, bool overdue) {
        return overdue || result == AttemptResult::ok || result == AttemptResult::timeout;
    }
    /// Whether the age of an attempt in flight is a sample: lost ones report nothing until they time out.
    static bool is_sample_in_flight(double latency_ratio) { return latency_ratio > 1; }

    /// Adds the latency ratio of an attempt that ended, or is overdue.
    void add_sample(double latency_ratio) {
        sum_ += std::min(latency_ratio, kMaxSampleRatio);
        ++count_;
    }

    /// The fleet changed by this part of its size.
    void on_fleet_change(double changed_part) {
        if (changed_part > kFleetChangeForReset) discard_points();
    }

    /// Whether the period has lasted long enough, and has samples enough, for close_period().
    bool period_complete(double now) const {
        const double age_s = now - period_began_at_s_;
        return age_s >= kAdmissionPeriodS &&
               (count_ >= kMinSamplesPerPeriod || age_s >= kMaxAdmissionPeriodS);
    }

    /// Takes one step of the loop and begins the next period.
    void close_period(double now);

  private:
    // A measured operating point: the fraction in force, the mean latency ratio and when.
    struct Point {
        double fraction = 0;
        double latency_ratio = 0;
        double measured_at_s = -1e18;
    };

    void discard_points() {
        high_.measured_at_s = -1e18;
        low_.measured_at_s = -1e18;
    }
    double step(double error, double max_step, double max_step_down, double periods, double now);

    double fraction_ = 1.0;
    double period_began_at_s_ = 0;
    double sum_ = 0;   // of the period's latency ratios
    int count_ = 0;
    Point high_;                // the last above the reference
    Point low_;                 // the last below
    double proportional_ = 0;   // fraction; filtered
    SystematicSampler sampler_;
};

}   // namespace slatejunction::gateway
