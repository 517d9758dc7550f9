#include "gateway/admission_controller.hpp"

#include <algorithm>
#include <cmath>

#include "gateway/numeric.hpp"

namespace slatejunction::gateway {

void AdmissionController::close_period(double now) {
    const double periods = limited((now - period_began_at_s_) / kAdmissionPeriodS, 1.0, kMaxPeriodsPerStep);
    period_began_at_s_ = now;
    if (count_ == 0) return;
    const double measured = sum_ / count_;
    // Little evidence permits only a part of a step down. A step up needs none: at a low fraction few
    // finish.
    const double evidence =
        std::min(1.0, count_ * measured / kReferenceLatencyRatio / (kMinSamplesPerPeriod * periods));
    sum_ = 0;
    count_ = 0;
    Point& point = measured > kReferenceLatencyRatio ? high_ : low_;
    point = Point{fraction_, measured, now};
    const double error = kReferenceLatencyRatio - measured;
    const double max_step = periods * kFixedStep * std::min(1.0, std::abs(error) / kReferenceLatencyRatio);
    const double max_step_down = max_step * evidence;
    const double change = step(error, max_step, max_step_down, periods, now);
    // In velocity form the integral part can't wind up past the limits. Steps are bounded, as latencies of
    // a queue belong to earlier fractions.
    const double wanted = fraction_ + limited(change + kIntegralGain * error, -max_step_down, max_step);
    const double next = limited(wanted, kMinAdmittedFraction, 1.0);
    proportional_ += kAntiWindup * (next - wanted);
    fraction_ = next;
}

// The proportional part, or a fixed step while the two points give no gain. A gain counts only with the
// physical sign (more admitted, slower).
double AdmissionController::step(double error, double max_step, double max_step_down, double periods,
                                 double now) {
    const bool both_recent =
        now - high_.measured_at_s < kMaxPointAgeS && now - low_.measured_at_s < kMaxPointAgeS;
    const double run = high_.fraction - low_.fraction;
    const double rise = high_.latency_ratio - low_.latency_ratio;
    if (both_recent && run > kMinPointDistance && rise > 0) {
        const double gain = std::min(run / rise, kMaxGain);
        proportional_ += kGainFilterWeight * (gain * error - proportional_);
        return periods * proportional_;
    }
    proportional_ = 0;
    return error > 0 ? max_step : -max_step_down;
}

}   // namespace slatejunction::gateway
