// Token bucket that limits the datagrams of membership, and so the load that failures can cause.
//
// A datagram takes one token. Tokens refill at kDatagramsPerPeriod per protocol period, up to twice that
// number. A background datagram needs a whole token; an urgent one (probes, acks, user messages) may also
// use the last fraction of a token. Rejected datagrams are counted by TrafficCounts::rate_limited.
// SwimMembership owns the bucket.
#pragma once

#include <algorithm>

#include "membership/detection_bounds.hpp"

namespace slatejunction::membership {

enum class Priority { background, urgent };

class SendBudget {
  public:
    explicit SendBudget(double protocol_period_s) : protocol_period_s_(protocol_period_s) {}

    void start(double now) { refilled_at_ = now; }

    /// Takes a token. Returns false if the budget is exhausted.
    bool consume(double now, Priority priority) {
        const double tokens_per_s = kDatagramsPerPeriod / protocol_period_s_;
        tokens_ = std::min(2 * kDatagramsPerPeriod, tokens_ + (now - refilled_at_) * tokens_per_s);
        refilled_at_ = now;
        const double min_tokens = priority == Priority::urgent ? 0 : 1;
        if (tokens_ < min_tokens) return false;
        tokens_ -= 1;
        return true;
    }

  private:
    double protocol_period_s_;
    double tokens_ = kDatagramsPerPeriod;
    double refilled_at_ = 0;
};

}   // namespace slatejunction::membership
