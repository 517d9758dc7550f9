// One limit for many keys, within a bound on their number. Each key that is held has a store of its own,
// kept as the time at which it will be full again (the generic cell rate algorithm of ITU-T I.371): 40
// bytes a key with its place in the index, and 16 for the sketch.
//
// When the bound is reached, a new key takes the place of one whose store is full again (nothing is lost by
// that), else of the coldest of a few that are looked at, and only when a sketch of all keys' counts says
// that the new one is asked for more often. So a flood of new keys forgets cold ones alone. A key that is
// not held is let pass: by the sketch it was asked for no more often than the coldest that is.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace slatejunction::rules {

struct KeyHash {
    std::uint64_t low = 0, high = 0;
    bool operator==(const KeyHash&) const = default;
};
// Of the key's bytes; 128 bits, so that no two keys of a gateway's life are taken for one.
KeyHash hash_key(std::string_view bytes);

class Limiter {
  public:
    struct Limits {
        double rate = 0;                   // a second; 0: not limited
        double burst = 1;                  // the store's size
        std::uint32_t max_in_flight = 0;   // 0: not limited
        std::size_t keys_max = 10'000;
        bool operator==(const Limits&) const = default;
    };
    // Where a key is kept. Of use until it is released.
    struct Ticket {
        KeyHash key;
        std::uint32_t slot = kNone;   // kNone: not held
        bool out = false;             // counted as open
        double since = 0;
    };
    static constexpr std::uint32_t kNone = ~std::uint32_t{0};

    explicit Limiter(const Limits& limits);

    // Asks for `count` (over the burst: all of it) at `now` (s, any clock that does not step back). 0:
    // there is room; else so many seconds until there is. Nothing is drawn yet.
    double retry_after_s(double now, const KeyHash& key, double count, Ticket& ticket);
    // Draws what was asked for; the request is open until release().
    void consume(double now, Ticket& ticket, double count);
    void release(double now, Ticket& ticket);

    const Limits& limits() const { return limits_; }
    std::size_t keys() const { return held_; }
    std::uint64_t forgotten() const { return forgotten_; }   // keys whose store was not full
    std::uint64_t untracked() const { return passed_; }      // asks of keys that are not held
    std::size_t bytes() const;                               // of memory

    // A held key's state, for snapshots: its store is full again `full_in_s` from now.
    struct Saved {
        KeyHash key;
        double full_in_s = 0;
    };
    // The states of keys in `most` places from `from` on; that moves to where the next call goes on, 0 at
    // the end.
    std::vector<Saved> save(double now, std::size_t& from, std::size_t most) const;
    void restore(double now, const Saved& saved);

  private:
    struct Slot {
        KeyHash key;
        double full_at = 0;
        std::uint32_t out = 0;
        bool used = false;
    };
    std::uint32_t find(const KeyHash& key) const;
    std::uint32_t place(double now, const KeyHash& key);
    void link(std::uint32_t slot);
    void unlink(std::uint32_t slot);
    std::size_t home(const KeyHash& key) const { return key.low & mask_; }
    std::uint8_t counted(const KeyHash& key) const;
    void count(const KeyHash& key);

    const Limits limits_;
    std::vector<Slot> slots_;
    std::vector<std::uint32_t> index_;   // open addressing: slot + 1; 0: none
    std::size_t mask_ = 0, held_ = 0, hand_ = 0;
    std::vector<std::uint8_t> sketch_;   // four rows of counters, halved from time to time
    std::size_t width_ = 0, additions_ = 0;
    double hold_ = 0.1;   // s; how long a request stays open, averaged
    std::uint64_t forgotten_ = 0, passed_ = 0;
};

}   // namespace slatejunction::rules
