#include "backend/idle_lifetime.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace slatejunction::backend {
namespace {

constexpr double kFirstStepS = 0.025;               // the first step of age ends there
constexpr double kDecayS = 30;                      // of what was observed
constexpr double kPriorCalls = 10;                  // without a reset, assumed at any age
constexpr double kTolerableExtraResetRate = 0.05;   // over that of new connections

}   // namespace

IdleLifetime::CallCounts IdleLifetime::CallCounts::decayed(double now) const {
    const double remaining = std::exp(-std::max(0.0, now - at) / kDecayS);
    return {calls * remaining, resets * remaining, now};
}

double IdleLifetime::CallCounts::reset_rate(double now) const {
    const CallCounts count = decayed(now);
    return count.resets / (count.calls + kPriorCalls);
}

void IdleLifetime::record_use(double idle_s, bool was_reset, double now) {
    CallCounts* count = &new_connections_;
    if (idle_s >= 0) {
        const double step = idle_s < kFirstStepS ? 0 : 1 + std::floor(std::log2(idle_s / kFirstStepS));
        count = &by_age_[std::min(static_cast<std::size_t>(step), kSteps - 1)];
    }
    *count = count->decayed(now);
    count->calls += 1;
    count->resets += was_reset ? 1 : 0;
}

double IdleLifetime::limit_s(double now) const {
    const double tolerable = new_connections_.reset_rate(now) + kTolerableExtraResetRate;
    double age_s = 0;
    for (std::size_t i = 0; i < kSteps; ++i) {
        if (by_age_[i].reset_rate(now) > tolerable) return age_s;
        age_s = age_s > 0 ? 2 * age_s : kFirstStepS;
    }
    return std::numeric_limits<double>::infinity();
}

}   // namespace slatejunction::backend
