// Of the bank (bank.hpp): whether a part of the counter answers and keeps what it held, and which ingresses
// use it.
#include <algorithm>
#include <cmath>
#include <utility>

#include "quota/counter_names.hpp"
#include "quota/shared_quota.hpp"

namespace slatejunction::quota {
namespace {

constexpr double kCheckLife = 58;   // s; a name lives 60
constexpr double kJitter = 0.25;    // of a period
constexpr unsigned kBeatBase = 4;   // a beat is one digit of this base for each ingress

}   // namespace

void SharedQuota::want_check(unsigned number) {
    CounterPart& part = parts_[number];
    part.check_wanted = true;
    if (part.checking) return;
    part.check_wanted = false;
    part.checking = true;
    part.next_check = now_ + kCheckEvery;
    if (part.check_generation < 0) part.check_generation = generation_of(clock());
    Pending pending;
    pending.purpose = Purpose::check;
    pending.part = number;
    pending.by = 1;
    pending.generation = part.check_generation;
    pending.number = ++part.checks;
    send(pending, check_name(settings_.ingress_index, nonce_, part.check_generation), kNameLifeMs);
}

void SharedQuota::on_check(const Pending& pending, double total) {
    CounterPart& part = parts_[pending.part];
    part.checking = false;
    const std::int64_t generation = generation_of(clock());
    // One that may have died of age tells nothing, which counts as the worse.
    const bool aged = part.check_least > 0 && now_ > part.check_made_at + kCheckLife;
    const bool intact = !aged && total > part.check_least + 0.5;
    if (part.check_least == 0) part.check_made_at = now_;
    if (!intact) {
        if (!aged) found_.push_back(pending.part);
        empty(pending.part);
    }
    part.check_least = total;
    if (part.check_generation != generation) {
        part.check_generation = generation;
        part.check_least = 0;
    }
    believe_checked(pending.part, pending.number);
    if (!part.suspects.empty() || part.check_wanted || part.check_least == 0) want_check(pending.part);
}

// The customers whose answers came before that check was sent; the others wait for the next one.
void SharedQuota::believe_checked(unsigned number, std::uint64_t check) {
    CounterPart& part = parts_[number];
    std::vector<std::uint64_t> later;
    std::vector<std::uint64_t> all;
    all.swap(part.suspects);
    for (const std::uint64_t customer : all) {
        const auto at = accounts_.find(customer);
        if (at == accounts_.end() || !at->second.suspect) continue;
        if (at->second.held.since < check)
            believe(customer, at->second);
        else
            later.push_back(customer);
    }
    part.suspects.insert(part.suspects.end(), later.begin(), later.end());
}

// All customers' stores of that part count as empty from now on.
void SharedQuota::empty(unsigned number) {
    CounterPart& part = parts_[number];
    ++part.epoch;
    ++empties_;
    part.floor_at = clock();
}

void SharedQuota::on_counter_lost(double now, unsigned number) {
    advance(now);
    empty(number);
    // Its own check would only tell the same again: it begins anew, at once.
    parts_[number].check_least = 0;
    if (!parts_[number].lost) want_check(number);
    set_due();
}

void SharedQuota::add_incarnation(double now, unsigned number, std::int64_t generation, double by) {
    advance(now);
    if (parts_[number].lost) return;
    Pending pending;
    pending.purpose = Purpose::sentinel;
    pending.part = number;
    pending.by = by;
    pending.generation = generation;
    send(pending, sentinel_name(generation), kNameLifeMs);
}

// The total has a digit for each ingress, which is 0 when its beat has died.
void SharedQuota::on_beat(unsigned number, double total) {
    CounterPart& part = parts_[number];
    part.beat_out = false;
    part.beat_total = total;
    auto digits = static_cast<std::uint64_t>(total + 0.5);
    for (unsigned i = 0; i < settings_.ingress_count; ++i, digits /= kBeatBase)
        if (digits % kBeatBase != 0) part.beat_at[i] = now_;
}

void SharedQuota::heard(unsigned number) {
    CounterPart& part = parts_[number];
    part.failures = 0;
    part.silent_since = part.owed > 0 ? now_ : 0;
    if (!part.lost) return;
    part.lost = false;
    part.returned_at = now_;
    for (double& at : part.beat_at) at = std::max(at, now_ - kMissingAfter + kBeatLife);
    for (auto& [customer, account] : accounts_)
        if (account.part == number) report_if_due(customer, account);
}

void SharedQuota::failed(unsigned number) {
    CounterPart& part = parts_[number];
    part.silent_since = part.owed > 0 ? now_ : 0;
    if (++part.failures >= kLostFailures && !part.lost) lose(number);
}

// From here on a share of what was known.
void SharedQuota::lose(unsigned number) {
    CounterPart& part = parts_[number];
    part.lost = true;
    part.lost_at = part.next_probe = now_;
    for (auto& [customer, account] : accounts_) {
        if (account.part != number || account.v == kNever) continue;
        const BucketLayout s = stores_of(account);
        const double share = std::clamp(level(account), 0.0, s.burst) / account.doors.count;
        account.share_v = std::max(account.share_v, clock() + (s.share_burst - share) / s.share_rate);
    }
}

void SharedQuota::wake_part(unsigned number) {
    CounterPart& part = parts_[number];
    if (!part.lost && part.silent_since > 0 && now_ - part.silent_since >= kLostAfter) lose(number);
    const double jitter = 1 + kJitter * (static_cast<double>(random_() >> 11) * 0x1p-53 - 0.5);
    if (part.lost) {
        if (now_ < part.next_probe) return;
        part.next_probe = now_ + kProbeEvery * jitter;
        part.checking = false;   // the one that is out may never be answered
        return want_check(number);
    }
    const bool beat_due = settings_.ingress_count > 1 && now_ >= part.next_beat;
    if (beat_due && !beat(number, jitter)) return;
    if (!part.checking && !part.suspects.empty()) want_check(number);
}

// False when the last one has not ended.
bool SharedQuota::beat(unsigned number, double jitter) {
    CounterPart& part = parts_[number];
    part.next_beat = now_ + kBeatEvery * jitter;
    // So that an older state is found out, and each generation has its check.
    if ((now_ >= part.next_check && std::exchange(part.reported, false)) ||
        (part.check_generation >= 0 && part.check_generation != generation_of(clock())))
        want_check(number);
    if (part.beat_out) return false;
    part.beat_out = true;
    Pending pending;
    pending.purpose = Purpose::beat;
    pending.part = number;
    const double digit = std::pow(double{kBeatBase}, settings_.ingress_index);
    const bool there = static_cast<std::uint64_t>(part.beat_total / digit + 1e-6) % kBeatBase != 0;
    pending.by = there ? 0 : digit;
    send(pending, beat_name(number), static_cast<std::uint32_t>(kBeatLife * 1000));
    return true;
}

}   // namespace slatejunction::quota
