#include "backend/idle_lifetime.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace slatejunction::backend {
namespace {

constexpr double kFirst = 0.025;   // s; up to there is the first step of age
constexpr double kFade = 30;       // s; what was seen is forgotten over this time, and tried again
constexpr double kPrior = 10;      // calls that went well, taken for granted at any age
constexpr double kWorse = 0.05;    // of calls; a reset loses a call, a dial costs a few ms

}   // namespace

IdleLifetime::Count IdleLifetime::Count::faded(double now) const {
    const double keep = std::exp(-std::max(0.0, now - at) / kFade);
    return {calls * keep, broke * keep, now};
}

double IdleLifetime::Count::rate(double now) const {
    const Count count = faded(now);
    return count.broke / (count.calls + kPrior);
}

void IdleLifetime::record_use(double idle_s, bool broke, double now) {
    Count* count = &new_;
    if (idle_s >= 0) {
        const double step = idle_s < kFirst ? 0 : 1 + std::floor(std::log2(idle_s / kFirst));
        count = &by_age_[std::min(static_cast<std::size_t>(step), kSteps - 1)];
    }
    *count = count->faded(now);
    count->calls += 1;
    count->broke += broke ? 1 : 0;
}

double IdleLifetime::limit_s(double now) const {
    const double bearable = new_.rate(now) + kWorse;
    double from = 0;
    for (std::size_t i = 0; i < kSteps; ++i) {
        if (by_age_[i].rate(now) > bearable) return from;
        from = from > 0 ? 2 * from : kFirst;
    }
    return std::numeric_limits<double>::infinity();
}

}   // namespace slatejunction::backend
