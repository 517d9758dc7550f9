// Token bucket over the datagrams of membership.
//
// Rule: a datagram needs one token; an urgent one (probes, acks, user messages) may also use the last
// part of a token. Tokens refill at kDatagramsPerPeriod a protocol period, up to twice that.
// Inputs: `now` in s.
// Output: whether the datagram may be sent.
// Reason: bounds the load that faults cause.
// Seen in: TrafficCounts::rate_limited. SwimMembership owns it.
#pragma once

#include <algorithm>

#include "membership/detection_bounds.hpp"

namespace slatejunction::membership {

enum class Priority { background, urgent };

class SendBudget {
  public:
    explicit SendBudget(double protocol_period_s) : protocol_period_s_(protocol_period_s) {}

    void start(double now) { refilled_at_ = now; }

    /// False: over the budget.
    bool consume(double now, Priority priority) {
        const double tokens_per_s = kDatagramsPerPeriod / protocol_period_s_;
        tokens_ = std::min(2 * kDatagramsPerPeriod, tokens_ + (now - refilled_at_) * tokens_per_s);
        refilled_at_ = now;
        const double needed = priority == Priority::urgent ? 0 : 1;
        if (tokens_ < needed) return false;
        tokens_ -= 1;
        return true;
    }

  private:
    double protocol_period_s_;
    double tokens_ = kDatagramsPerPeriod;
    double refilled_at_ = 0;
};

}   // namespace slatejunction::membership
