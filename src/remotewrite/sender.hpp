// Decides what remote write sends: the content and time of each batch, retries with backoff, and the
// thinning of a full backlog.
//
// The caller adds frames of samples and reports answers of the receiver with `now` (s, any monotonic
// clock); the sender returns the next batch and its deadline. Owned by Driver; Backlog reads its waiting
// frames.
//
// Invariants:
// - At most one batch is in flight, which preserves the order in each series (remote-write 1.0 and 2.0).
// - The bytes of a batch are equal in every retry; meanwhile its frames are neither thinned nor dropped.
// - Waiting frames take at most the configured limit: older ones are thinned first, then dropped.
//
// It does no I/O and reads no clock: equal settings, seed and calls give equal batches at equal times.
// Observability: the metrics slatejunction_remote_write_*.
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
    /// failed: the connection failed, or the response was malformed.
    enum class How { answered, failed, timed_out };
    How how = How::answered;
    int status = 0;              // HTTP status, if answered
    double retry_after_s = -1;   // of the Retry-After field; below 0: none
    std::int64_t written = -1;   // samples, as counted by a 2.0 receiver; below 0: unknown
};

/// The content of one remote-write request.
struct Batch {
    std::string body;
    Protocol protocol = Protocol::v2;
    std::size_t samples = 0;
    int tries = 0;   // 1: the first attempt
};

/// Counts since the start.
/// - sent, retried: samples.
/// - thinned to stopped: dropped samples, in the order of metrics::kSampleDropReasons.
/// - accepted_batches to protocol_fallbacks: batches, in the order of metrics::kBatchResults.
struct Tally {
    std::uint64_t sent = 0, retried = 0;
    std::uint64_t thinned = 0, backlog_full = 0, rejected = 0, stopped = 0;
    std::uint64_t accepted_batches = 0, deferred_batches = 0, rejected_batches = 0;
    std::uint64_t failed_batches = 0, timed_out_batches = 0, protocol_fallbacks = 0;
};

class Sender {
  public:
    static constexpr int kMaxThinningLevel = 10;   // a frame covers up to 2^10 intervals
    static constexpr double kInitialBackoffS = 0.5;
    static constexpr double kMaxBackoffS = 30;
    static constexpr double kMaxRetryAfterS = 300;   // a longer Retry-After is reduced to this

    Sender(const Settings& settings, std::uint64_t seed);

    /// Applies new settings. Waiting frames stay in order; a batch in flight is unchanged.
    void configure(const Settings& settings);

    /// Adds a frame, whose time is after all earlier ones. The sender assigns its number.
    void add(Frame frame);

    /// Returns the batch to send now; null: none before next_deadline(). Valid until on_answer(),
    /// on_receiver_changed() or drop_all().
    const Batch* next(double now);
    double next_deadline() const { return next_deadline_; }   // s; infinity: none before the next add()
    void on_answer(double now, const Answer& answer);
    /// The receiver has changed: an unanswered batch becomes due at once, for the new one.
    void on_receiver_changed(double now);
    /// Drops all waiting frames and counts them as stopped.
    void drop_all();

    bool in_flight() const { return in_flight_; }
    bool empty() const { return frames_.empty(); }
    std::size_t frames() const { return frames_.size(); }
    std::size_t bytes() const { return bytes_ + (batch_ ? batch_->body.size() : 0); }
    std::size_t limit() const { return limit_; }
    std::int64_t oldest_ms() const { return frames_.empty() ? 0 : frames_.begin()->second.at_ms; }
    std::int64_t newest_ms() const { return frames_.empty() ? 0 : frames_.rbegin()->second.at_ms; }
    Protocol protocol() const { return protocol_; }
    const Tally& tally() const { return tally_; }
    /// For the backlog: all frames with a smaller number are finished.
    std::uint64_t first_unfinished() const {
        return frames_.empty() ? next_number_ : frames_.begin()->first;
    }
    const std::map<std::uint64_t, Frame>& waiting() const { return frames_; }   // by number
    /// Adds a frame of an earlier process with its number; has to precede any other call. Frames are
    /// restored in the order of their numbers.
    void restore(Frame frame);
    /// Numbers of later frames are at least `number`.
    void set_min_next_number(std::uint64_t number) { next_number_ = std::max(next_number_, number); }

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
    // Numbers of the frames that may be thinned, by level.
    std::array<std::set<std::uint64_t>, kMaxThinningLevel + 1> levels_;
    std::size_t bytes_ = 0;
    std::size_t first_unsent_series_ = 0;   // index in the first frame
    std::uint64_t next_number_ = 1;
    Encoder encoder_;
    std::optional<Batch> batch_;
    std::uint64_t batch_end_ = 0;   // the number after its last frame; 0: no batch
    std::size_t batch_last_ = 0;    // index of the series after its last one
    bool in_flight_ = false;
    int failures_ = 0;
    double next_deadline_ = 0;
    std::uint64_t random_state_;
    Tally tally_;
};

}   // namespace slatejunction::remotewrite
