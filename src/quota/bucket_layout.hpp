// How a plan's quota is divided into stores, and the error that this division states.
#pragma once

#include "quota/plan.hpp"

namespace slatejunction::quota {

/// The stores that one plan's quota is kept in, for a customer with so many ingresses. Rates are units a
/// second, bursts and the credit units.
struct BucketLayout {
    double rate, burst;               ///< on the counter
    double free_rate, free_burst;     ///< of this ingress alone
    double share_rate, share_burst;   ///< of this ingress, while the counter is lost
    double credit;                    ///< unreported, at most
};

/// `spread`: the ingresses that the customer's requests come through. With one of them all is free.
BucketLayout bucket_layout(const Settings& settings, const PlanQuota& plan, unsigned spread);

/// What may be sent on for one customer in any window of t seconds beyond burst + rate * t, in units.
struct StatedError {
    double healthy = 0;     ///< the counter answers, or slowly
    double lost = 0;        ///< it answers nobody for any time, and after its return
    double split = 0;       ///< it answers some
    double empty = 0;       ///< it has lost all it held
    double older = 0;       ///< it came back with an older state
    double restarted = 0;   ///< for each restart of an ingress without its state
};

/// `cut_off`: of the customer's ingresses, so many in a split.
StatedError stated_error(const Settings& settings, const PlanQuota& plan, unsigned spread,
                         unsigned cut_off);

}   // namespace slatejunction::quota
