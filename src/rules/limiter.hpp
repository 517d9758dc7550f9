// One rate limit for many keys, with a maximum number of keys that are tracked.
//
// - Rule: a request is admitted if the token bucket of its key holds enough tokens and fewer than
//   max_in_flight requests of the key are in flight.
// - Inputs: the key's hash, the number of tokens that the request consumes, the time (s).
// - Output: the time until the request would be admitted (s).
// - Error bound: exact for tracked keys. Requests of a key that is not tracked are admitted and counted
//   (untracked_requests()).
// - Visible in: the metrics of a limit's keys, evictions and untracked requests.
//
// A bucket is stored as its theoretical arrival time, which is when it will be full again (GCRA, ITU-T
// I.371). A key takes at least 40 bytes with its place in the index, plus at least 16 bytes of the
// sketch: the sizes of both tables are rounded up to powers of two. When the maximum is reached, a new
// key replaces one whose bucket is full, which loses nothing. If none of a few candidates is full, it
// replaces the least requested of them, and only if a count-min sketch shows that the new key is
// requested more often (admission as in TinyLFU: Einziger, Friedman, Manes 2017). A flood of new keys
// therefore evicts only rarely requested keys.
//
// Owned by Rules and by the verdicts of requests in flight.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace slatejunction::rules {

struct KeyHash {
    std::uint64_t low = 0;
    std::uint64_t high = 0;
    bool operator==(const KeyHash&) const = default;
};
/// Hashes a key's bytes (key_bytes.hpp) to 128 bits, which makes collisions negligible.
KeyHash hash_key(std::string_view bytes);

/// The limit and the buckets of its tracked keys.
class Limiter {
  public:
    struct Limits {
        double rate = 0;                   ///< requests or units per second and key; 0: not limited
        double burst = 1;                  ///< requests or units; the size of a bucket
        std::uint32_t max_in_flight = 0;   ///< requests per key; 0: not limited
        std::size_t max_keys = 10'000;     ///< keys tracked at once
        bool operator==(const Limits&) const = default;
    };
    /// What links a request to the slot of its key, from retry_after_s() to release().
    struct Ticket {
        KeyHash key;
        std::uint32_t slot = kNone;   ///< kNone: the key is not tracked
        bool in_flight = false;       ///< whether the request is counted as in flight
        double started_at_s = 0;
    };
    static constexpr std::uint32_t kNone = ~std::uint32_t{0};

    explicit Limiter(const Limits& limits);

    /// Returns the time (s) until a request that consumes `count` tokens (limited to the burst) is
    /// admitted; 0: it is admitted now. Consumes nothing. `now`: seconds of a monotonic clock.
    double retry_after_s(double now, const KeyHash& key, double count, Ticket& ticket);
    /// Consumes the tokens of an admitted request, which counts as in flight until release().
    void consume(double now, Ticket& ticket, double count);
    void release(double now, Ticket& ticket);

    const Limits& limits() const { return limits_; }
    std::size_t tracked_keys() const { return used_slots_; }
    /// Evictions of keys whose buckets were not full.
    std::uint64_t lossy_evictions() const { return lossy_evictions_; }
    /// Requests of keys that were not tracked.
    std::uint64_t untracked_requests() const { return untracked_requests_; }
    std::size_t memory_bytes() const;

    /// A tracked key's bucket, for snapshots. It is full again `full_in_s` seconds after the snapshot.
    struct SavedBucket {
        KeyHash key;
        double full_in_s = 0;
    };
    /// Returns the buckets that are not full, of up to `max_slots` slots starting at `from`. Sets `from` to
    /// the slot at which the next call continues, or to 0 after the last slot.
    std::vector<SavedBucket> save(double now, std::size_t& from, std::size_t max_slots) const;
    /// Restores a bucket. Its saved time until it is full is reduced to that of an empty bucket, burst /
    /// rate, if it is longer. Does nothing if the key is tracked already or no slot is free.
    void restore(double now, const SavedBucket& saved);

  private:
    struct Slot {
        KeyHash key;
        double full_at_s = 0;
        std::uint32_t in_flight = 0;
        bool used = false;
    };
    std::uint32_t find(const KeyHash& key) const;
    std::uint32_t allocate_slot(double now, const KeyHash& key);
    void insert_into_index(std::uint32_t slot);
    void remove_from_index(std::uint32_t slot);
    std::size_t home_position(const KeyHash& key) const { return key.low & mask_; }
    std::uint8_t estimated_count(const KeyHash& key) const;
    void record_request(const KeyHash& key);

    const Limits limits_;
    std::vector<Slot> slots_;
    std::vector<std::uint32_t> index_;   // hash table with open addressing: slot + 1; 0: empty
    std::size_t mask_ = 0;
    std::size_t used_slots_ = 0;
    std::size_t clock_hand_ = 0;         // the slot that was allocated or considered for eviction last
    std::vector<std::uint8_t> sketch_;   // count-min sketch of kSketchRows rows, halved periodically
    std::size_t sketch_width_ = 0;       // counters per row
    std::size_t sketch_additions_ = 0;   // since the counters were last halved
    double mean_duration_s_ = 0.1;       // how long requests are in flight, exponential moving average
    std::uint64_t lossy_evictions_ = 0;
    std::uint64_t untracked_requests_ = 0;
};

}   // namespace slatejunction::rules
