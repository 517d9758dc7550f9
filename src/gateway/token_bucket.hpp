// Hard limits: each ingress enforces a plan's hard limits on its own. It has rate / ingresses and burst /
// ingresses of a token bucket, and a customer has at most max_in_flight attempts in flight from each
// ingress.
//
// - Inputs: Plan::hard_limit_rate (units/s), hard_limit_burst (units), max_in_flight (attempts); a
//   request's units; the customer's ingress count; times in seconds.
// - Output: whether a request is within the limits.
// - Limits: it uses no messages of other ingresses. A bucket starts empty, because a start cannot be
//   distinguished from a restart, which must not refill it.
// - Visible in: RejectReason::hard_limit (metric slatejunction_refusals_total); RejectionLog.
#pragma once

#include <algorithm>

#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

/// This ingress's share of one customer's hard limit.
class TokenBucket {
  public:
    /// Adds what has accrued by `now`, at the earliest from the gateway's `started_at_s` on.
    void refill(double now, double started_at_s, const Plan& plan, double ingress_count) {
        const double share = 1.0 / std::max(ingress_count, 1.0);
        if (refilled_at_s_ < started_at_s) refilled_at_s_ = started_at_s;
        const double elapsed_s = std::max(0.0, now - refilled_at_s_);
        units_ = std::min(units_ + elapsed_s * plan.hard_limit_rate * share, plan.hard_limit_burst * share);
        refilled_at_s_ = std::max(refilled_at_s_, now);
    }
    /// Whether the bucket holds `units`. Consumes nothing.
    bool would_admit(double units) const { return units_ >= units; }
    /// Consumes `units`, for which the caller has called would_admit().
    void consume(double units) { units_ -= units; }

  private:
    double units_ = 0;
    double refilled_at_s_ = -1e18;
};

/// Whether a request of `units` is within the plan's hard limits. `in_flight`: the customer's attempts in
/// flight from this ingress.
inline bool within_hard_limits(const Plan& plan, const TokenBucket& bucket, double units, int in_flight) {
    if (plan.hard_limit_rate > 0 && !bucket.would_admit(units)) return false;
    return !(plan.max_in_flight > 0 && in_flight >= plan.max_in_flight);
}

}   // namespace slatejunction::gateway
