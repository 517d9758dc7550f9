#include "quota/shared_quota.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace slatejunction::quota {
namespace {

constexpr double kExact = 1e-4;             // s; totals are exact to seven digits
constexpr double kImplausible = 10;         // s beyond all that a name can hold
constexpr double kImplausibleCount = 1e7;   // of a name that counts
constexpr double kQueueEvery = 0.01;        // s between looks at reports that wait for the budget
constexpr double kCallsBurst = 0.1;         // s of the calls' rate that may come at once

bool holds_time(Purpose purpose) { return purpose == Purpose::report || purpose == Purpose::before; }

}   // namespace

SharedQuota::SharedQuota(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {
    if (settings_.ingress_count < 1 || settings_.ingress_count > kIngressesMost)
        throw std::invalid_argument("1 to " + std::to_string(kIngressesMost) + " ingresses");
    if (settings_.ingress_index >= settings_.ingress_count)
        throw std::invalid_argument("a number beyond the ingresses");
    if (settings_.parts < 1) throw std::invalid_argument("a counter of no parts");
    nonce_ = random_() >> 24;
    parts_.resize(settings_.parts);
    for (CounterPart& part : parts_) part.beat_at.assign(settings_.ingress_count, kNever);
}

void SharedQuota::advance(double now) {
    if (std::isfinite(now) && now > now_) {
        if (now_ == 0) {
            calls_at_ = now;
            calls_left_ = settings_.calls_per_s * kCallsBurst;
            for (CounterPart& part : parts_) {
                part.next_beat = now;
                part.beat_at.assign(settings_.ingress_count, now);
            }
        }
        now_ = now;
    }
    calls_left_ = std::min(std::max(1.0, settings_.calls_per_s * kCallsBurst),
                           calls_left_ + settings_.calls_per_s * (now_ - calls_at_));
    calls_at_ = now_;
}

std::vector<CounterCall> SharedQuota::take_calls() {
    std::vector<CounterCall> all;
    all.swap(calls_);
    return all;
}

std::uint64_t SharedQuota::send(Pending pending, std::string name, std::uint32_t life_ms) {
    CounterPart& part = parts_[pending.part];
    if (part.owed++ == 0) part.silent_since = now_;
    const std::uint64_t id = ++numbers_;
    calls_.push_back({id, pending.part, std::move(name), pending.by, life_ms});
    pending_.emplace(id, std::move(pending));
    return id;
}

void SharedQuota::on_reply(double now, std::uint64_t call, double total) {
    advance(now);
    const auto at = pending_.find(call);
    if (at == pending_.end()) return;
    const Pending pending = at->second;
    // Noise: a total that the call can't have made.
    const double most = holds_time(pending.purpose)
                            ? now_ + offset_ - start_of(pending.generation) + kImplausible + kGeneration
                            : kImplausibleCount;
    if (!std::isfinite(total) || total < -kExact || total > most) return on_unknown_result(now, call);
    pending_.erase(at);
    --parts_[pending.part].owed;
    heard(pending.part);
    take_answer(pending, total);
    set_due();
}

void SharedQuota::take_answer(const Pending& pending, double total) {
    switch (pending.purpose) {
        case Purpose::report:
            return on_report(pending, total);
        case Purpose::before:
            return on_before(pending, total);
        case Purpose::check:
            return on_check(pending, total);
        case Purpose::beat:
            return on_beat(pending.part, total);
        case Purpose::sentinel:
            sentinels_.push_back({pending.part, pending.generation, total});
            return;
    }
}

void SharedQuota::on_rejected(double now, std::uint64_t call) {
    advance(now);
    const auto at = pending_.find(call);
    if (at == pending_.end()) return;
    const Pending pending = at->second;
    pending_.erase(at);
    CounterPart& part = parts_[pending.part];
    --part.owed;
    if (pending.purpose == Purpose::check) part.checking = false;
    if (pending.purpose == Purpose::beat) part.beat_out = false;
    const auto one = accounts_.find(pending.customer);
    if (one != accounts_.end()) {
        if (pending.purpose == Purpose::before && one->second.suspect)
            part.suspects.push_back(pending.customer);   // to be read again behind the next check
        else if (pending.purpose == Purpose::report)
            take_back(pending, one->second);
    }
    failed(pending.part);
    set_due();
}

// All of a report that was not done is to be reported again.
void SharedQuota::take_back(const Pending& pending, Account& account) {
    account.calling = false;
    account.in_flight = std::max(0.0, account.in_flight - pending.units);
    double& units = pending.tally ? account.tally : account.unreported;
    double& since = pending.tally ? account.tally_since : account.since;
    const double from = pending.lift == kNever ? clock() : std::min(pending.lift, clock());
    since = units > 0 ? std::min(since, from) : from;
    units += pending.units;
}

// As if nothing had been added: what was is counted twice then, to the customer's loss, never to the
// fleet's.
void SharedQuota::on_unknown_result(double now, std::uint64_t call) {
    const auto at = pending_.find(call);
    if (at == pending_.end()) return;
    on_rejected(now, call);
}

void SharedQuota::on_timer(double now) {
    advance(now);
    for (unsigned number = 0; number < parts_.size(); ++number) wake_part(number);
    report_queued();
    set_due();
}

void SharedQuota::set_due() {
    due_ = now_ + kBeatEvery;
    for (const CounterPart& part : parts_) {
        if (part.lost)
            due_ = std::min(due_, part.next_probe);
        else if (settings_.ingress_count > 1)
            due_ = std::min(due_, part.next_beat);
        if (!part.lost && part.silent_since > 0) due_ = std::min(due_, part.silent_since + kLostAfter);
    }
    if (!waiting_.empty()) due_ = std::min(due_, now_ + kQueueEvery);
    due_ = std::max(due_, now_);
}

}   // namespace slatejunction::quota
