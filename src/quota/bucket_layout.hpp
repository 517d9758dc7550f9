// How a plan's quota is divided into buckets, and the error bound that follows from the division. Pure
// functions of the settings; SharedQuota admits by them, the settings and the models check the bound.
#pragma once

#include "quota/plan.hpp"

namespace slatejunction::quota {

/// The buckets that one plan's quota is kept in. Rates are in units a second, bursts in units.
struct BucketLayout {
    double rate, burst;                     ///< shared bucket, on the counter
    double local_rate, local_burst;         ///< local bucket of this ingress
    double fallback_rate, fallback_burst;   ///< of this ingress, while the counter is unreachable
    double max_unreported;                  ///< units that an ingress may have admitted and not reported
};

/// `spread`: number of ingresses that the customer's requests come through. With one, all of the quota is
/// local.
BucketLayout bucket_layout(const Settings& settings, const PlanQuota& plan, unsigned spread);

/// Units that may be admitted for one customer in any window of t seconds beyond burst + rate * t.
struct ErrorBound {
    double healthy = 0;                     ///< the counter answers, however slowly
    double counter_unreachable = 0;         ///< it answers no ingress for any time, and after its recovery
    double partition = 0;                   ///< it answers some ingresses only
    double counter_state_lost = 0;          ///< it has lost all that it held
    double counter_state_rolled_back = 0;   ///< it came back with an older state
    double per_restart = 0;                 ///< added by each restart of an ingress, which loses its state
};

/// `cut_off`: number of the customer's ingresses that a partition cuts off.
ErrorBound error_bound(const Settings& settings, const PlanQuota& plan, unsigned spread, unsigned cut_off);

}   // namespace slatejunction::quota
