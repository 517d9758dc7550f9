#include "quota/bucket_layout.hpp"

#include <algorithm>

namespace slatejunction::quota {

BucketLayout bucket_layout(const Settings& settings, const PlanQuota& plan, unsigned spread) {
    const double ingresses = std::max(1U, spread);
    const double free = spread <= 1 ? 1 : settings.free_part;
    const double free_units = std::min(settings.free_units, plan.burst);
    BucketLayout s{};
    s.rate = plan.rate * (1 - free);
    s.burst = plan.burst * (1 - free);
    s.free_rate = plan.rate * free / ingresses;
    s.free_burst = std::max({settings.largest, free_units, plan.burst * free / ingresses});
    s.share_rate = s.rate / ingresses;
    s.share_burst = std::max(settings.largest, s.burst / ingresses);
    s.credit = std::max(settings.credit, settings.largest);
    if (spread > 1) s.burst = std::max(settings.largest, s.burst);
    return s;
}

StatedError stated_error(const Settings& settings, const PlanQuota& plan, unsigned spread,
                         unsigned cut_off) {
    const BucketLayout s = bucket_layout(settings, plan, spread);
    StatedError error;
    if (spread <= 1) {
        error.restarted = s.free_burst;
        return error;
    }
    const double ingresses = spread;
    const double beyond_burst = s.burst + ingresses * (s.free_burst + s.credit) - plan.burst;
    error.healthy = std::max(0.0, beyond_burst) + plan.rate * settings.skew_s;
    error.lost = error.healthy + ingresses * s.share_burst;
    const double unnoticed_s = kMissingAfter + kBeatLife + 2 * kBeatEvery + kSettle;
    error.split = error.healthy + cut_off * (s.share_burst + s.share_rate * unnoticed_s);
    // The first name that is met shows it; all stores count as empty from then on, and what was passed
    // beyond them before is forgotten.
    error.empty = error.healthy + ingresses * s.credit;
    // What was reported since the last check may be gone unseen, a whole burst of it.
    error.older = error.empty + s.burst;
    error.restarted = s.credit + s.free_burst + s.burst;
    return error;
}

}   // namespace slatejunction::quota
