#include "backend/idle_lifetime.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace slatejunction::backend {
namespace {

// The end of the first range of idle time.
constexpr double kFirstRangeEndS = 0.025;
// The time constant with which observations decay.
constexpr double kDecayTimeConstantS = 30;
// Calls without a reset that are assumed for each range in addition to the observed ones.
constexpr double kPriorCalls = 10;
// The tolerated excess of the reset rate over that of new connections.
constexpr double kMaxExcessResetRate = 0.05;

}   // namespace

IdleLifetime::CallCounts IdleLifetime::CallCounts::decayed(double now) const {
    const double weight = std::exp(-std::max(0.0, now - updated_at) / kDecayTimeConstantS);
    return {calls * weight, resets * weight, now};
}

double IdleLifetime::CallCounts::reset_rate(double now) const {
    const CallCounts count = decayed(now);
    return count.resets / (count.calls + kPriorCalls);
}

void IdleLifetime::record_use(double idle_s, bool was_reset, double now) {
    CallCounts* count = &new_connections_;
    if (idle_s >= 0) {
        const double range =
            idle_s < kFirstRangeEndS ? 0 : 1 + std::floor(std::log2(idle_s / kFirstRangeEndS));
        count = &by_idle_range_[std::min(static_cast<std::size_t>(range), kIdleRanges - 1)];
    }
    *count = count->decayed(now);
    count->calls += 1;
    count->resets += was_reset ? 1 : 0;
}

double IdleLifetime::limit_s(double now) const {
    const double max_reset_rate = new_connections_.reset_rate(now) + kMaxExcessResetRate;
    double idle_s = 0;
    for (std::size_t i = 0; i < kIdleRanges; ++i) {
        if (by_idle_range_[i].reset_rate(now) > max_reset_rate) return idle_s;
        idle_s = idle_s > 0 ? 2 * idle_s : kFirstRangeEndS;
    }
    return std::numeric_limits<double>::infinity();
}

}   // namespace slatejunction::backend
