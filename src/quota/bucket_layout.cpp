#include "quota/bucket_layout.hpp"

#include <algorithm>

namespace slatejunction::quota {

BucketLayout bucket_layout(const Settings& settings, const PlanQuota& plan, unsigned spread) {
    const double ingresses = std::max(1U, spread);
    const double local = spread <= 1 ? 1 : settings.local_fraction;
    const double min_local_burst = std::min(settings.min_local_burst, plan.burst);
    BucketLayout layout{};
    layout.rate = plan.rate * (1 - local);
    layout.burst = plan.burst * (1 - local);
    layout.local_rate = plan.rate * local / ingresses;
    layout.local_burst =
        std::max({settings.max_request_units, min_local_burst, plan.burst * local / ingresses});
    layout.fallback_rate = layout.rate / ingresses;
    layout.fallback_burst = std::max(settings.max_request_units, layout.burst / ingresses);
    layout.max_unreported = std::max(settings.max_unreported_units, settings.max_request_units);
    if (spread > 1) layout.burst = std::max(settings.max_request_units, layout.burst);
    return layout;
}

ErrorBound error_bound(const Settings& settings, const PlanQuota& plan, unsigned spread, unsigned cut_off) {
    const BucketLayout layout = bucket_layout(settings, plan, spread);
    ErrorBound bound;
    if (spread <= 1) {
        bound.per_restart = layout.local_burst;
        return bound;
    }
    const double ingresses = spread;
    const double beyond_burst =
        layout.burst + ingresses * (layout.local_burst + layout.max_unreported) - plan.burst;
    bound.healthy = std::max(0.0, beyond_burst) + plan.rate * settings.skew_s;
    bound.counter_unreachable = bound.healthy + ingresses * layout.fallback_burst;
    const double unnoticed_s =
        kIngressMissingAfterS + kHeartbeatTtlS + 2 * kHeartbeatPeriodS + kRecoveryGraceS;
    bound.partition =
        bound.healthy + cut_off * (layout.fallback_burst + layout.fallback_rate * unnoticed_s);
    // The first entry that is read after the loss shows it. From then on all buckets count as empty, so
    // units that were admitted before the loss and not reported are no longer accounted for.
    bound.counter_state_lost = bound.healthy + ingresses * layout.max_unreported;
    // Reports since the last check may be lost without notice, up to a whole burst.
    bound.counter_state_rolled_back = bound.counter_state_lost + layout.burst;
    bound.per_restart = layout.max_unreported + layout.local_burst + layout.burst;
    return bound;
}

}   // namespace slatejunction::quota
