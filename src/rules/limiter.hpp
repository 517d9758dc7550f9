// One rate limit for many keys, within a bound on their number.
//
// Rule: a request is admitted if its key's token bucket holds enough and fewer than max_in_flight requests
// of the key are in flight. Inputs: the key's hash, what the request counts, the time (s). Output: time to
// wait (s). Bound: exact for tracked keys; requests of a key that is not tracked are admitted and counted
// (untracked_requests()).
// Where to see it: the measures of a limit's keys, evictions and untracked requests.
//
// A bucket is kept as its theoretical arrival time, when it will be full again (GCRA, ITU-T I.371): 40
// bytes a key with its place in the index, and 16 for the sketch. When the bound is reached, a new key
// replaces one whose bucket is full, which loses nothing, else the least requested of a few candidates,
// and only if the new key is requested more often by a count-min sketch (admission as in TinyLFU:
// Einziger, Friedman, Manes 2017). So a flood of new keys evicts rare keys alone. Owned by Rules and by
// verdicts in flight.
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
/// Hash of a key's bytes (key_bytes.hpp): 128 bits, so that a collision is not to be expected.
KeyHash hash_key(std::string_view bytes);

/// The limit and its keys.
class Limiter {
  public:
    struct Limits {
        double rate = 0;                   ///< requests or units a second; 0: not limited
        double burst = 1;                  ///< requests or units
        std::uint32_t max_in_flight = 0;   ///< of a key; 0: not limited
        std::size_t max_keys = 10'000;
        bool operator==(const Limits&) const = default;
    };
    /// A request's hold on its key, from retry_after_s() to release().
    struct Ticket {
        KeyHash key;
        std::uint32_t slot = kNone;   ///< kNone: not tracked
        bool in_flight = false;       ///< counted as in flight
        double started_at_s = 0;
    };
    static constexpr std::uint32_t kNone = ~std::uint32_t{0};

    explicit Limiter(const Limits& limits);

    /// Time (s) until a request that counts `count` (at most the burst applies) is admitted; 0: it is now.
    /// Consumes nothing. `now`: s of a monotonic clock.
    double retry_after_s(double now, const KeyHash& key, double count, Ticket& ticket);
    /// The request was admitted: it is in flight until release().
    void consume(double now, Ticket& ticket, double count);
    void release(double now, Ticket& ticket);

    const Limits& limits() const { return limits_; }
    std::size_t tracked_keys() const { return used_slots_; }
    std::uint64_t lossy_evictions() const {
        return lossy_evictions_;
    }   ///< of a key whose bucket was not full
    std::uint64_t untracked_requests() const {
        return untracked_requests_;
    }   ///< of keys that are not tracked
    std::size_t memory_bytes() const;

    /// A tracked key's bucket, for snapshots; it is full `full_in_s` from now.
    struct SavedBucket {
        KeyHash key;
        double full_in_s = 0;
    };
    /// The buckets in `max_slots` slots from `from` on; `from` is moved to where the next call continues, 0
    /// at the end.
    std::vector<SavedBucket> save(double now, std::size_t& from, std::size_t max_slots) const;
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
    std::vector<std::uint32_t> index_;   // open addressing: slot + 1; 0: none
    std::size_t mask_ = 0;
    std::size_t used_slots_ = 0;
    std::size_t clock_hand_ = 0;         // the last slot that was a candidate for eviction
    std::vector<std::uint8_t> sketch_;   // count-min: kSketchRows rows, halved from time to time
    std::size_t sketch_width_ = 0;
    std::size_t sketch_additions_ = 0;   // since it was halved
    double mean_duration_s_ = 0.1;       // of a request in flight, exponential average
    std::uint64_t lossy_evictions_ = 0;
    std::uint64_t untracked_requests_ = 0;
};

}   // namespace slatejunction::rules
