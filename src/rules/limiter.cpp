#include "rules/limiter.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace slatejunction::rules {
namespace {

constexpr std::size_t kSketchRows = 4;
constexpr std::uint8_t kMaxSketchCount = 255;
constexpr int kBucketFull = -1;   // in place of a count: evicting the key loses nothing
constexpr double kRoundingTokens = 1e-6;
constexpr std::size_t kEvictionCandidates = 8;
constexpr std::size_t kSketchAdditionsPerSlot =
    10;                                       // requests for each slot, after which counts are halved
constexpr double kDurationSmoothing = 0.05;   // weight of one request in mean_duration_s_
constexpr double kMinRetryAfterS = 0.001;

}   // namespace

KeyHash hash_key(std::string_view bytes) {
    const XXH128_hash_t sum = XXH3_128bits(bytes.data(), bytes.size());
    return {sum.low64, sum.high64};
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
    for (std::size_t at = home_position(key); index_[at] != 0; at = (at + 1) & mask_)
        if (slots_[index_[at] - 1].key == key) return index_[at] - 1;
    return kNone;
}

void Limiter::insert_into_index(std::uint32_t slot) {
    std::size_t at = home_position(slots_[slot].key);
    while (index_[at] != 0) at = (at + 1) & mask_;
    index_[at] = slot + 1;
}

// Moves entries back that were displaced by the removed one, so that no search ends at the gap.
void Limiter::remove_from_index(std::uint32_t slot) {
    std::size_t hole = home_position(slots_[slot].key);
    while (index_[hole] != slot + 1) hole = (hole + 1) & mask_;
    for (std::size_t at = (hole + 1) & mask_; index_[at] != 0; at = (at + 1) & mask_) {
        const std::size_t from = home_position(slots_[index_[at] - 1].key);
        if (((at - from) & mask_) < ((at - hole) & mask_)) continue;
        index_[hole] = index_[at];
        hole = at;
    }
    index_[hole] = 0;
}

// The least of the key's counters; each row derives its position from other bits of the key.
std::uint8_t Limiter::estimated_count(const KeyHash& key) const {
    std::uint8_t least = kMaxSketchCount;
    for (std::size_t row = 0; row < kSketchRows; ++row) {
        const std::uint64_t bits = key.high + row * (key.low | 1);
        least = std::min(least, sketch_[row * sketch_width_ + (bits & (sketch_width_ - 1))]);
    }
    return least;
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
    int least = kMaxSketchCount + 1;
    for (std::size_t i = 0; i < kEvictionCandidates; ++i) {
        clock_hand_ = (clock_hand_ + 1) % slots_.size();
        const Slot& candidate = slots_[clock_hand_];
        if (candidate.in_flight > 0) continue;
        const int requests = candidate.full_at_s <= now ? kBucketFull : estimated_count(candidate.key);
        if (requests < least) {
            victim = static_cast<std::uint32_t>(clock_hand_);
            least = requests;
        }
        if (least == kBucketFull) break;
    }
    if (victim == kNone || (least != kBucketFull && estimated_count(key) <= least)) return kNone;
    if (least != kBucketFull) ++lossy_evictions_;
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
        const double asked = std::min(count, limits_.burst);
        const double full_at = std::max(slot.full_at_s, now) + asked / limits_.rate;
        wait = full_at - now - limits_.burst / limits_.rate;
        // Guards against rounding: a bucket that lacks a millionth of a token is full.
        if (wait <= kRoundingTokens / limits_.rate) wait = 0;
    }
    // Expected time until one of the requests in flight ends.
    if (limits_.max_in_flight > 0 && slot.in_flight >= limits_.max_in_flight)
        wait = std::max(wait, mean_duration_s_ / limits_.max_in_flight);
    return wait > 0 ? std::max(wait, kMinRetryAfterS) : 0;
}

void Limiter::consume(double now, Ticket& ticket, double count) {
    if (ticket.slot == kNone || slots_[ticket.slot].key != ticket.key) return;
    Slot& slot = slots_[ticket.slot];
    if (limits_.rate > 0)
        slot.full_at_s = std::max(slot.full_at_s, now) + std::min(count, limits_.burst) / limits_.rate;
    ++slot.in_flight;   // also without max_in_flight: keys in flight are not evicted
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
