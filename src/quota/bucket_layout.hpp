// Division of a plan's quota into buckets, and the error bound that follows from it. Pure functions of the
// settings. SharedQuota admits requests by the layout; make_settings() and the simulations use the bound.
#pragma once

#include "quota/plan.hpp"

namespace slatejunction::quota {

/// Buckets of one customer. Rates are in units per second, bursts in units.
struct BucketLayout {
    double rate, burst;                     ///< shared bucket, kept on the counter
    double local_rate, local_burst;         ///< local bucket of one ingress
    double fallback_rate, fallback_burst;   ///< bucket of one ingress while the counter is unreachable
    double max_unreported;                  ///< units that an ingress may have admitted and not reported
};

/// Returns the buckets of a customer whose requests arrive at `spread` ingresses. With a single ingress the
/// whole quota is local.
BucketLayout bucket_layout(const Settings& settings, const PlanQuota& plan, unsigned spread);

/// Units that may be admitted for one customer beyond burst + rate * t in any window of t seconds, for each
/// state of the counter.
struct ErrorBound {
    double healthy = 0;                     ///< the counter replies, however slowly
    double counter_unreachable = 0;         ///< it replies to no ingress for any time, and then recovers
    double partition = 0;                   ///< it replies only to some ingresses
    double counter_state_lost = 0;          ///< it lost its whole state
    double counter_state_rolled_back = 0;   ///< it was restored to an older state
    double per_restart = 0;                 ///< added by each restart of an ingress, which loses its state
};

/// Returns the error bound of a customer whose requests arrive at `spread` ingresses, of which a partition
/// cuts off `cut_off` from the counter.
ErrorBound error_bound(const Settings& settings, const PlanQuota& plan, unsigned spread, unsigned cut_off);

}   // namespace slatejunction::quota
