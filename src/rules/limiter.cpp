#include "rules/limiter.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace slatejunction::rules {
namespace {

constexpr std::size_t kRows = 4;
constexpr std::size_t kLooks = 8;         // slots looked at for a place
constexpr std::size_t kHalveAfter = 10;   // asks for each key of the bound: then the sketch forgets half
constexpr double kHoldNews = 0.05;        // weight of one request in how long they stay open
constexpr double kSoonest = 0.001;        // s; the least that is told as a time to wait

}   // namespace

KeyHash hash_key(std::string_view bytes) {
    const XXH128_hash_t sum = XXH3_128bits(bytes.data(), bytes.size());
    return {sum.low64, sum.high64};
}

Limiter::Limiter(const Limits& limits)
    : limits_(limits),
      slots_(std::max<std::size_t>(1, limits.keys_max)),
      index_(std::bit_ceil(2 * slots_.size())),
      mask_(index_.size() - 1),
      width_(std::bit_ceil(4 * slots_.size())) {
    sketch_.resize(kRows * width_);
}

std::size_t Limiter::bytes() const {
    return slots_.size() * sizeof(Slot) + index_.size() * sizeof(std::uint32_t) + sketch_.size();
}

std::uint32_t Limiter::find(const KeyHash& key) const {
    for (std::size_t at = home(key); index_[at] != 0; at = (at + 1) & mask_)
        if (slots_[index_[at] - 1].key == key) return index_[at] - 1;
    return kNone;
}

void Limiter::link(std::uint32_t slot) {
    std::size_t at = home(slots_[slot].key);
    while (index_[at] != 0) at = (at + 1) & mask_;
    index_[at] = slot + 1;
}

// Moves back what was pushed on by the one that goes, so that no search ends too soon.
void Limiter::unlink(std::uint32_t slot) {
    std::size_t hole = home(slots_[slot].key);
    while (index_[hole] != slot + 1) hole = (hole + 1) & mask_;
    for (std::size_t at = (hole + 1) & mask_; index_[at] != 0; at = (at + 1) & mask_) {
        const std::size_t from = home(slots_[index_[at] - 1].key);
        if (((at - from) & mask_) < ((at - hole) & mask_)) continue;
        index_[hole] = index_[at];
        hole = at;
    }
    index_[hole] = 0;
}

// Each row's place by other bits of the key, of 128.
std::uint8_t Limiter::counted(const KeyHash& key) const {
    std::uint8_t least = 255;
    for (std::size_t row = 0; row < kRows; ++row) {
        const std::uint64_t bits = key.high + row * (key.low | 1);
        least = std::min(least, sketch_[row * width_ + (bits & (width_ - 1))]);
    }
    return least;
}

void Limiter::count(const KeyHash& key) {
    for (std::size_t row = 0; row < kRows; ++row) {
        const std::uint64_t bits = key.high + row * (key.low | 1);
        std::uint8_t& one = sketch_[row * width_ + (bits & (width_ - 1))];
        if (one < 255) ++one;
    }
    if (++additions_ < kHalveAfter * slots_.size()) return;
    additions_ = 0;
    for (std::uint8_t& one : sketch_) one /= 2;
}

std::uint32_t Limiter::place(double now, const KeyHash& key) {
    if (held_ < slots_.size()) {
        while (slots_[hand_].used) hand_ = (hand_ + 1) % slots_.size();
        const auto slot = static_cast<std::uint32_t>(hand_);
        slots_[slot] = {key, now, 0, true};
        link(slot);
        ++held_;
        return slot;
    }
    std::uint32_t best = kNone;
    int least = 256;
    for (std::size_t i = 0; i < kLooks; ++i) {
        hand_ = (hand_ + 1) % slots_.size();
        const Slot& one = slots_[hand_];
        if (one.out > 0) continue;
        const int asked = one.full_at <= now ? -1 : counted(one.key);
        if (asked < least) best = static_cast<std::uint32_t>(hand_), least = asked;
        if (least < 0) break;
    }
    if (best == kNone || (least >= 0 && counted(key) <= least)) return kNone;
    if (least >= 0) ++forgotten_;
    unlink(best);
    slots_[best] = {key, now, 0, true};
    link(best);
    return best;
}

double Limiter::retry_after_s(double now, const KeyHash& key, double count_of, Ticket& ticket) {
    count(key);
    ticket.key = key;
    ticket.slot = find(key);
    if (ticket.slot == kNone) ticket.slot = place(now, key);
    if (ticket.slot == kNone) {
        ++passed_;
        return 0;
    }
    const Slot& slot = slots_[ticket.slot];
    double wait = 0;
    if (limits_.rate > 0) {
        const double asked = std::min(count_of, limits_.burst);
        const double full_at = std::max(slot.full_at, now) + asked / limits_.rate;
        wait = full_at - now - limits_.burst / limits_.rate;
        // Guards against sums that round: a store that is full by a part of a million is full.
        if (wait <= 1e-6 / limits_.rate) wait = 0;
    }
    // Until one of those that are open ends, if they ended evenly.
    if (limits_.max_in_flight > 0 && slot.out >= limits_.max_in_flight)
        wait = std::max(wait, hold_ / limits_.max_in_flight);
    return wait > 0 ? std::max(wait, kSoonest) : 0;
}

void Limiter::consume(double now, Ticket& ticket, double count_of) {
    if (ticket.slot == kNone || slots_[ticket.slot].key != ticket.key) return;
    Slot& slot = slots_[ticket.slot];
    if (limits_.rate > 0)
        slot.full_at = std::max(slot.full_at, now) + std::min(count_of, limits_.burst) / limits_.rate;
    ++slot.out;   // also where max_out is not set: what is open is not forgotten
    ticket.out = true;
    ticket.since = now;
}

void Limiter::release(double now, Ticket& ticket) {
    if (!ticket.out) return;
    ticket.out = false;
    hold_ += kHoldNews * (std::max(0.0, now - ticket.since) - hold_);
    if (slots_[ticket.slot].key == ticket.key && slots_[ticket.slot].out > 0) --slots_[ticket.slot].out;
}

std::vector<Limiter::Saved> Limiter::save(double now, std::size_t& from, std::size_t most) const {
    std::vector<Saved> all;
    for (const std::size_t end = std::min(slots_.size(), from + most); from < end; ++from) {
        const Slot& one = slots_[from];
        if (one.used && one.full_at > now) all.push_back({one.key, one.full_at - now});
    }
    if (from == slots_.size()) from = 0;
    return all;
}

void Limiter::restore(double now, const Saved& saved) {
    const double most = limits_.rate > 0 ? limits_.burst / limits_.rate : 0;
    if (!(saved.full_in_s > 0) || find(saved.key) != kNone || held_ == slots_.size()) return;
    slots_[place(now, saved.key)].full_at = now + std::min(saved.full_in_s, most);
}

}   // namespace slatejunction::rules
