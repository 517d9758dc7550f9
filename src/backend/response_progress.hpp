// Decides what to do while a response has begun and is not complete: wait for more of it, report that it
// has stalled, forward the beginning that has been buffered, or give up.
//
// A backend may pause while it writes a response, so silence alone ends no response before the deadline of
// its attempt. A buffered response can be replaced by that of another attempt; a forwarded one cannot. So
// the beginning of a response is buffered for a while, but no longer than kMaxHoldS if the response may be
// a large one: its first bytes are what its client waits for.
//
// Input: times at which bytes arrived, what the head states, the deadline. Times are in s (net::now()).
// Pure: does no I/O and reads no clock. Owned and called by Connection.
#pragma once

namespace slatejunction::backend {

/// Without a byte for this long, a response that has begun is reported as stalled.
inline constexpr double kResponseStallS = 0.5;
/// A response of unknown length is forwarded with the first bytes that arrive this long after it began.
inline constexpr double kForwardAfterS = 0.5;
/// The longest time for which the beginning of a response of unknown length is buffered. The rest of a
/// large response must not be held back for 2 s.
inline constexpr double kMaxHoldS = 1.8;
/// At the deadline a response is forwarded if a byte of it arrived within this time.
inline constexpr double kMaxSilenceAtDeadlineS = 1.8;
/// A response that is known to be small must be complete this long after its deadline, to count as late
/// and not as missing.
inline constexpr double kLateResponseS = 0.45;

/// What is known of a response whose head may not have arrived yet.
struct ResponseForm {
    bool forwardable = false;      // the head has arrived, and the status is 200
    bool length_known = false;     // so that the response is small: a large one is never buffered
    bool status_decides = false;   // the head has arrived, and only its status matters
};

enum class ResponseStep {
    wait,           // until next_step_at()
    report_stall,   // once for each pause
    finish,         // the status suffices, and the rest of the body does not arrive
    forward,        // what has arrived, then the rest as it arrives
    give_up         // the deadline has passed
};

class ResponseProgress {
  public:
    /// A call was started, and no byte of its response has arrived.
    void restart() { *this = {}; }
    void on_bytes(double now);
    bool begun() const { return begun_; }
    double began_at() const { return began_at_; }

    /// To be called after on_bytes() and when next_step_at() has come.
    ResponseStep next_step(double now, double deadline, const ResponseForm& form);
    /// When next_step() has to be called again if no byte arrives before.
    double next_step_at(double deadline, const ResponseForm& form) const;

  private:
    ResponseStep step_at_deadline(double now, const ResponseForm& form) const;

    bool begun_ = false, stall_reported_ = false;
    double began_at_ = 0, last_byte_at_ = 0;
};

}   // namespace slatejunction::backend
