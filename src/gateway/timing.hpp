// Pause detection: a gap between events that is longer than kPauseS means that this process was paused. No
// attempt's silence or age counts against a backend until kTickS after the pause.
//
// - Inputs: times of events, in seconds on the caller's monotonic clock.
// - Output: whether a measured duration is valid.
// - Limits: it reads no clock. The tick timer fires every kTickS, so that without a pause no gap comes
//   close to kPauseS.
// - Visible in: nothing directly; answers that waited during the pause are handled before any attempt
//   counts as overdue.
#pragma once

namespace slatejunction::gateway {

/// Interval of the gateway's periodic timer.
constexpr double kTickS = 0.05;
constexpr double kPauseS = 0.2;

/// Detects that this process itself was paused (swapped out, suspended, a stopped virtual machine).
class PauseDetector {
  public:
    /// An event is handled at `now`, `gap_s` after the previous one.
    void on_event(double now, double gap_s) {
        if (gap_s > kPauseS) resumed_at_s_ = now;
    }
    /// Whether the process resumed less than a tick ago.
    bool just_resumed(double now) const { return now - resumed_at_s_ < kTickS; }
    /// Whether the duration from `started_at_s` to `now` contains a pause that has just ended.
    bool spans_pause(double started_at_s, double now) const {
        return started_at_s < resumed_at_s_ && just_resumed(now);
    }

  private:
    double resumed_at_s_ = -1e18;
};

}   // namespace slatejunction::gateway
