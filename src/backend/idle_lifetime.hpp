// Learns from resets of earlier attempts how long a connection may have been idle and still be reused.
// Backends may close idle connections long before the keep-alive time of the settings, and an attempt that
// is written while the backend closes the connection counts as one that may have run.
//
// Times are in s (net::now()). Pure: does no I/O and reads no clock. Owned and called by ConnectionPool.
#pragma once

#include <array>
#include <cstddef>

namespace slatejunction::backend {

class IdleLifetime {
  public:
    /// Records an attempt that was written to a connection that had been idle for `idle_s`; a negative
    /// value means a new connection. `was_reset`: the connection was reset at once, before any byte of a
    /// response.
    void record_use(double idle_s, bool was_reset, double now);
    /// Returns the shortest idle time (s) at which connections are reset much more often than new ones, or
    /// infinity if there is none.
    double limit_s(double now) const;

  private:
    struct CallCounts {
        double calls = 0, resets = 0, updated_at = 0;
        /// Returns the counts with their weight decayed to `now`.
        CallCounts decayed(double now) const;
        double reset_rate(double now) const;
    };
    // Ranges of idle time: each ends at twice the end of the one before, and the last has no end.
    static constexpr std::size_t kIdleRanges = 11;
    std::array<CallCounts, kIdleRanges> by_idle_range_;
    CallCounts new_connections_;
};

}   // namespace slatejunction::backend
