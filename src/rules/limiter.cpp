#include "rules/limiter.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace slatejunction::rules {
namespace {

constexpr std::size_t kSketchRows = 4;
constexpr std::uint8_t kMaxSketchCount = 255;
constexpr int kBucketFull = -1;   // below every estimated count: evicting the key loses nothing
constexpr double kRoundingTokens = 1e-6;
constexpr std::size_t kEvictionCandidates = 8;
// Requests per slot after which the counters of the sketch are halved.
constexpr std::size_t kSketchAdditionsPerSlot = 10;
constexpr double kDurationSmoothing = 0.05;   // weight of one request in mean_duration_s_
constexpr double kMinRetryAfterS = 0.001;

}   // namespace

KeyHash hash_key(std::string_view bytes) {
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return {hash.low64, hash.high64};
}

Limiter::Limiter(const Limits& limits)
    : limits_(limits),
      slots_(std::max<std::size_t>(1, limits.max_keys)),
      index_(std::bit_ceil(2 * slots_.size())),
      mask_(index_.size() - 1),
      sketch_width_(std::bit_ceil(4 * slots_.size())) {
    sketch_.resize(kSketchRows * sketch_width_);
}

std::size_t Limiter::memory_bytes() const {
    return slots_.size() * sizeof(Slot) + index_.size() * sizeof(std::uint32_t) + sketch_.size();
}

std::uint32_t Limiter::find(const KeyHash& key) const {
    for (std::size_t position = home_position(key); index_[position] != 0;
         position = (position + 1) & mask_)
        if (slots_[index_[position] - 1].key == key) return index_[position] - 1;
    return kNone;
}

void Limiter::insert_into_index(std::uint32_t slot) {
    std::size_t position = home_position(slots_[slot].key);
    while (index_[position] != 0) position = (position + 1) & mask_;
    index_[position] = slot + 1;
}

// Moves back the entries that probed past the removed one, so that no search for them ends at the gap.
void Limiter::remove_from_index(std::uint32_t slot) {
    std::size_t gap = home_position(slots_[slot].key);
    while (index_[gap] != slot + 1) gap = (gap + 1) & mask_;
    for (std::size_t position = (gap + 1) & mask_; index_[position] != 0;
         position = (position + 1) & mask_) {
        const std::size_t home = home_position(slots_[index_[position] - 1].key);
        if (((position - home) & mask_) < ((position - gap) & mask_)) continue;
        index_[gap] = index_[position];
        gap = position;
    }
    index_[gap] = 0;
}

// Returns the least of the key's counters. Each row combines the two halves of the hash in another way to
// find its counter.
std::uint8_t Limiter::estimated_count(const KeyHash& key) const {
    std::uint8_t min_count = kMaxSketchCount;
    for (std::size_t row = 0; row < kSketchRows; ++row) {
        const std::uint64_t bits = key.high + row * (key.low | 1);
        min_count = std::min(min_count, sketch_[row * sketch_width_ + (bits & (sketch_width_ - 1))]);
    }
    return min_count;
}

void Limiter::record_request(const KeyHash& key) {
    for (std::size_t row = 0; row < kSketchRows; ++row) {
        const std::uint64_t bits = key.high + row * (key.low | 1);
        std::uint8_t& counter = sketch_[row * sketch_width_ + (bits & (sketch_width_ - 1))];
        if (counter < kMaxSketchCount) ++counter;
    }
    if (++sketch_additions_ < kSketchAdditionsPerSlot * slots_.size()) return;
    sketch_additions_ = 0;
    for (std::uint8_t& counter : sketch_) counter /= 2;
}

std::uint32_t Limiter::allocate_slot(double now, const KeyHash& key) {
    if (used_slots_ < slots_.size()) {
        while (slots_[clock_hand_].used) clock_hand_ = (clock_hand_ + 1) % slots_.size();
        const auto slot = static_cast<std::uint32_t>(clock_hand_);
        slots_[slot] = {key, now, 0, true};
        insert_into_index(slot);
        ++used_slots_;
        return slot;
    }
    std::uint32_t victim = kNone;
    int min_count = kMaxSketchCount + 1;
    for (std::size_t i = 0; i < kEvictionCandidates; ++i) {
        clock_hand_ = (clock_hand_ + 1) % slots_.size();
        const Slot& candidate = slots_[clock_hand_];
        if (candidate.in_flight > 0) continue;
        const int count = candidate.full_at_s <= now ? kBucketFull : estimated_count(candidate.key);
        if (count < min_count) {
            victim = static_cast<std::uint32_t>(clock_hand_);
            min_count = count;
        }
        if (min_count == kBucketFull) break;
    }
    if (victim == kNone || (min_count != kBucketFull && estimated_count(key) <= min_count)) return kNone;
    if (min_count != kBucketFull) ++lossy_evictions_;
    remove_from_index(victim);
    slots_[victim] = {key, now, 0, true};
    insert_into_index(victim);
    return victim;
}

double Limiter::retry_after_s(double now, const KeyHash& key, double count, Ticket& ticket) {
    record_request(key);
    ticket.key = key;
    ticket.slot = find(key);
    if (ticket.slot == kNone) ticket.slot = allocate_slot(now, key);
    if (ticket.slot == kNone) {
        ++untracked_requests_;
        return 0;
    }
    const Slot& slot = slots_[ticket.slot];
    double wait = 0;
    if (limits_.rate > 0) {
        const double tokens = std::min(count, limits_.burst);
        const double full_at = std::max(slot.full_at_s, now) + tokens / limits_.rate;
        wait = full_at - now - limits_.burst / limits_.rate;
        // Ignores rounding errors: a bucket that lacks at most a millionth of a token admits the request.
        if (wait <= kRoundingTokens / limits_.rate) wait = 0;
    }
    // The expected time until one of the requests in flight ends.
    if (limits_.max_in_flight > 0 && slot.in_flight >= limits_.max_in_flight)
        wait = std::max(wait, mean_duration_s_ / limits_.max_in_flight);
    return wait > 0 ? std::max(wait, kMinRetryAfterS) : 0;
}

void Limiter::consume(double now, Ticket& ticket, double count) {
    if (ticket.slot == kNone || slots_[ticket.slot].key != ticket.key) return;
    Slot& slot = slots_[ticket.slot];
    if (limits_.rate > 0)
        slot.full_at_s = std::max(slot.full_at_s, now) + std::min(count, limits_.burst) / limits_.rate;
    // Counted without max_in_flight too, because keys with requests in flight are not evicted.
    ++slot.in_flight;
    ticket.in_flight = true;
    ticket.started_at_s = now;
}

void Limiter::release(double now, Ticket& ticket) {
    if (!ticket.in_flight) return;
    ticket.in_flight = false;
    mean_duration_s_ += kDurationSmoothing * (std::max(0.0, now - ticket.started_at_s) - mean_duration_s_);
    if (slots_[ticket.slot].key == ticket.key && slots_[ticket.slot].in_flight > 0)
        --slots_[ticket.slot].in_flight;
}

std::vector<Limiter::SavedBucket> Limiter::save(double now, std::size_t& from,
                                                std::size_t max_slots) const {
    std::vector<SavedBucket> buckets;
    for (const std::size_t end = std::min(slots_.size(), from + max_slots); from < end; ++from) {
        const Slot& slot = slots_[from];
        if (slot.used && slot.full_at_s > now) buckets.push_back({slot.key, slot.full_at_s - now});
    }
    if (from == slots_.size()) from = 0;
    return buckets;
}

void Limiter::restore(double now, const SavedBucket& saved) {
    const double max_full_in_s = limits_.rate > 0 ? limits_.burst / limits_.rate : 0;
    if (!(saved.full_in_s > 0) || find(saved.key) != kNone || used_slots_ == slots_.size()) return;
    slots_[allocate_slot(now, saved.key)].full_at_s = now + std::min(saved.full_in_s, max_full_in_s);
}

}   // namespace slatejunction::rules
