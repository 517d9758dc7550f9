// Decides what remote write sends: the content and time of a batch, retries with backoff, and what is
// thinned.
//
// Inputs: frames of samples, answers of the receiver, `now` (s, any monotonic clock). Output: the batch to
// send next, its deadline, and counts. Used by Driver, which owns it; Backlog reads its waiting frames.
// Invariants:
//  1. At most one batch is in flight, which preserves the order within each series (remote-write 1.0
//  and 2.0).
//  2. The bytes of a batch are the same in every retry; its frames are neither thinned nor dropped
//  meanwhile.
//  3. Waiting frames take at most the configured limit: older ones are thinned first, then dropped.
// It does no I/O and reads no clock: equal settings, seed and calls give equal batches at equal times.
// Seen in: the measures slatejunction_remote_write_*.
#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "remotewrite/encode.hpp"

namespace slatejunction::remotewrite {

/// How the request of a batch ended.
struct Answer {
    enum class How { answered, broke, timed_out };
    How how = How::answered;
    int status = 0;              // answered
    double retry_after_s = -1;   // of the Retry-After field; below 0: none
    std::int64_t written = -1;   // samples, as counted by a 2.0 receiver; below 0: unknown
};

/// One request.
struct Batch {
    std::string body;
    Protocol protocol = Protocol::v2;
    std::size_t samples = 0;
    int tries = 0;   // 1: the first attempt
};

/// Events since the start. thinned to stopped: samples, in the order of metrics::kDropped; taken to
/// fallen_back: requests.
struct Tally {
    std::uint64_t sent = 0, retried = 0;
    std::uint64_t thinned = 0, backlog_full = 0, rejected = 0, stopped = 0;
    std::uint64_t taken = 0, put_off = 0, turned_down = 0, broken = 0, timed_out = 0, fallen_back = 0;
};

class Sender {
  public:
    static constexpr int kThinMost = 10;             // a frame stands for up to 2^10 intervals
    static constexpr double kBackoffFirst = 0.5;     // s
    static constexpr double kBackoffMost = 30;       // s
    static constexpr double kRetryAfterMost = 300;   // s; a longer Retry-After is cut to this

    Sender(const Settings& settings, std::uint64_t seed);

    /// Applies new settings. Waiting frames stay in order; a batch in flight is unchanged.
    void configure(const Settings& settings);

    /// Adds a frame, later than all before it. The sender assigns its number.
    void add(Frame frame);

    /// The batch to send now; null: none before next_deadline().
    const Batch* next(double now);
    double next_deadline() const { return next_deadline_; }   // s; infinity: after the next add()
    void on_answer(double now, const Answer& answer);
    /// The receiver has changed: an unanswered batch is sent to the new one at once.
    void on_receiver_changed(double now);
    /// Drops all waiting frames.
    void give_up();

    bool in_flight() const { return in_flight_; }
    bool empty() const { return frames_.empty(); }
    std::size_t frames() const { return frames_.size(); }
    std::size_t bytes() const { return bytes_ + (batch_ ? batch_->body.size() : 0); }
    std::size_t limit() const { return limit_; }
    std::int64_t oldest_ms() const { return frames_.empty() ? 0 : frames_.begin()->second.at_ms; }
    std::int64_t newest_ms() const { return frames_.empty() ? 0 : frames_.rbegin()->second.at_ms; }
    Protocol protocol() const { return protocol_; }
    const Tally& tally() const { return tally_; }
    /// For the backlog: frames below this number are finished; and the waiting frames.
    std::uint64_t done_before() const { return frames_.empty() ? next_number_ : frames_.begin()->first; }
    const std::map<std::uint64_t, Frame>& waiting() const { return frames_; }   // by number
    /// Adds a frame of an earlier process, by number; before any other call.
    void restore(Frame frame);
    void number_from(std::uint64_t number) { next_number_ = std::max(next_number_, number); }

  private:
    void insert(Frame frame);
    void erase_frame(std::map<std::uint64_t, Frame>::iterator at);
    void make_batch();
    void enforce_limit();
    bool thin_one();
    void drop_batch();
    void finish_batch();
    double uniform();

    std::size_t limit_ = 0, batch_samples_ = 0;
    double catch_up_samples_per_s_ = 0;   // samples/s
    Protocol configured_protocol_, protocol_;
    std::map<std::uint64_t, Frame> frames_;
    std::array<std::set<std::uint64_t>, kThinMost + 1>
        levels_;   // numbers of frames that may be thinned, by level
    std::size_t bytes_ = 0;
    std::size_t first_unsent_series_ = 0;   // series of the first frame that were sent already
    std::uint64_t next_number_ = 1;
    Encoder encoder_;
    std::optional<Batch> batch_;
    std::uint64_t batch_end_ = 0;   // the number after its frames; 0: no batch
    std::size_t batch_last_ = 0;    // the end of its series
    bool in_flight_ = false;
    int failures_ = 0;
    double next_deadline_ = 0;
    std::uint64_t random_;
    Tally tally_;
};

}   // namespace slatejunction::remotewrite
