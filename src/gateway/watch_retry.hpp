// Watch retry: the endpoint watch is requested again kWatchRetryS after it was lost. Even if no loss was
// reported, it is requested again once half of Settings::watch_retry_within_s, and at least kTickS, has
// passed since the last request.
//
// - Inputs: times in seconds; watch_retry_within_s.
// - Output: whether to request the watch now.
// - Limits: it does not change the endpoint list: the last one stays in use.
// - Visible in: action WatchEndpoints.
#pragma once

#include <algorithm>

#include "gateway/numeric.hpp"
#include "gateway/timing.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

constexpr double kWatchRetryS = 0.5;

/// Decides when the endpoint watch is requested again. Only used with DiscoveryMode::subscribe.
class WatchRetry {
  public:
    void on_requested(double now) { requested_at_s_ = now; }
    /// The watch was requested again because of should_retry().
    void on_retried(double now) {
        retry_at_s_ = kNever;
        on_requested(now);
    }
    void on_lost(double now) { retry_at_s_ = now + kWatchRetryS; }

    bool should_retry(const Settings& settings, double now) const {
        const double max_gap_s = std::max(kTickS, 0.5 * positive_or_zero(settings.watch_retry_within_s));
        return now >= retry_at_s_ || now - requested_at_s_ > max_gap_s;
    }

  private:
    static constexpr double kNever = 1e18;

    double requested_at_s_ = 0;
    double retry_at_s_ = kNever;
};

}   // namespace slatejunction::gateway
