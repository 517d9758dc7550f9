#include "gateway/admission_controller.hpp"

#include <algorithm>
#include <cmath>

#include "gateway/numeric.hpp"

namespace slatejunction::gateway {

void AdmissionController::close_period(double now) {
    const double periods =
        clamped((now - period_started_at_s_) / kAdmissionPeriodS, 1.0, kMaxPeriodsPerStep);
    period_started_at_s_ = now;
    if (sample_count_ == 0) return;
    const double mean_ratio = latency_ratio_sum_ / sample_count_;
    // With few samples only a fraction of a step down is made. A step up needs no minimum, as at a low
    // admitted fraction few attempts finish.
    const double evidence = std::min(
        1.0, sample_count_ * mean_ratio / kReferenceLatencyRatio / (kMinSamplesPerPeriod * periods));
    latency_ratio_sum_ = 0;
    sample_count_ = 0;
    OperatingPoint& point = mean_ratio > kReferenceLatencyRatio ? high_ : low_;
    point = OperatingPoint{fraction_, mean_ratio, now};
    const double error = kReferenceLatencyRatio - mean_ratio;
    const double max_step =
        periods * kFixedStepFraction * std::min(1.0, std::abs(error) / kReferenceLatencyRatio);
    const double max_step_down = max_step * evidence;
    const double step = proportional_step(error, max_step, max_step_down, periods, now);
    // In velocity form the integral part cannot wind up beyond the limits. Steps are bounded because the
    // latencies of queued requests reflect earlier admitted fractions.
    const double unclamped = fraction_ + clamped(step + kIntegralGain * error, -max_step_down, max_step);
    const double next = clamped(unclamped, kMinAdmittedFraction, 1.0);
    proportional_ += kAntiWindupFraction * (next - unclamped);
    fraction_ = next;
}

// Returns the proportional part, or a fixed step while the two operating points give no gain. A gain is
// valid only if it has the physically possible sign: a higher admitted fraction means higher latency.
double AdmissionController::proportional_step(double error, double max_step, double max_step_down,
                                              double periods, double now) {
    const bool both_recent =
        now - high_.measured_at_s < kMaxPointAgeS && now - low_.measured_at_s < kMaxPointAgeS;
    const double fraction_distance = high_.fraction - low_.fraction;
    const double ratio_distance = high_.latency_ratio - low_.latency_ratio;
    if (both_recent && fraction_distance > kMinPointDistance && ratio_distance > 0) {
        const double gain = std::min(fraction_distance / ratio_distance, kMaxGain);
        proportional_ += kGainFilterWeight * (gain * error - proportional_);
        return periods * proportional_;
    }
    proportional_ = 0;
    return error > 0 ? max_step : -max_step_down;
}

}   // namespace slatejunction::gateway
