// How long a connection may have been idle and still carry an attempt, learned from resets of earlier
// attempts. Backends may close idle connections long before the keep-alive time of the settings, and an
// attempt that crosses such a close counts as one that may have run.
//
// Input: idle times and resets, times in s (net::now()). Output: a limit in s. Pure: no I/O, no clock.
// Owned and called by ConnectionPool.
#pragma once

#include <array>
#include <cstddef>

namespace slatejunction::backend {

class IdleLifetime {
  public:
    /// An attempt was written to a connection that had been idle for `idle_s` (below 0: a new one).
    /// `was_reset`: it was reset at once, before any of an answer.
    void record_use(double idle_s, bool was_reset, double now);
    /// The shortest idle time (s) from which connections are reset too much more often than new ones;
    /// infinite: none.
    double limit_s(double now) const;

  private:
    struct CallCounts {
        double calls = 0, resets = 0, at = 0;
        CallCounts decayed(double now) const;
        double reset_rate(double now) const;
    };
    static constexpr std::size_t kSteps =
        11;   // each up to twice the age of the one before, the last without end
    std::array<CallCounts, kSteps> by_age_;
    CallCounts new_connections_;
};

}   // namespace slatejunction::backend
