// SharedQuota (shared_quota.hpp): reports of customers' usage to the counter, and its replies.
#include <algorithm>
#include <cmath>
#include <utility>

#include "quota/counter_names.hpp"
#include "quota/shared_quota.hpp"

namespace slatejunction::quota {
namespace {

constexpr double kCounterResolutionS = 1e-4;   // totals are exact to seven digits
// A correction of fewer units waits for the next report.
constexpr double kMinCorrectionUnits = 0.3;
// Largest change of the clock offset, in s per second.
constexpr double kClockSlewRate = 0.02;
// Shortest and longest time between two replies that together show a clock that is ahead.
constexpr double kClockEvidenceMinGapS = 0.5;
constexpr double kClockEvidenceMaxGapS = 5;
// An entry whose last reply is older is read again before it is raised.
constexpr double kMaxReplyAgeBeforeRaiseS = 0.02;
// Usage that may stay unreported even near the quota, as a time at the shared rate.
constexpr double kUnreportedAllowanceS = 0.25;
constexpr double kUnitsTolerance = 1e-9;   // rounding tolerance of sums of units
// Time to live of an entry that a read creates, because it is missing.
constexpr std::uint32_t kReadEntryTtlMs = 1;

}   // namespace

// Reads the customer's entry again while it shows an empty bucket. A reply that arrived while two ingresses
// raised the entry shows too few units, and would do so for long without a refresh.
void SharedQuota::refresh(std::uint64_t customer, CustomerState& state) {
    if (state.full_at_s == kNeverS || state.call_in_flight || state.awaits_check || state.report_queued ||
        state.unreported_units > 0 || uses_fallback(state) || level(state) >= settings_.max_request_units ||
        call_budget_ < 1)
        return;
    call_budget_ -= 1;
    state.updated_at_s = now_;   // time of the request
    send_report(customer, state, 0, kNeverS, 0);
}

// Near the quota a report is due at once; far from it, only once the usage reaches the most that may stay
// unreported.
bool SharedQuota::is_report_due(const CustomerState& state) const {
    if (state.fallback_units > 0) return true;
    if (state.unreported_units <= 0) return false;
    const BucketLayout layout = layout_of(state);
    const double fill = std::clamp(level(state) / layout.burst, 0.0, 1.0);
    double limit = std::max(layout.max_unreported * fill, kUnreportedAllowanceS * layout.rate);
    if (state.sole_reporter) limit = layout.max_unreported;   // no other ingress needs the report
    if (state.full_at_s == kNeverS) limit = 0;
    const bool fits_another_request = state.unreported_units + settings_.max_request_units <=
                                      std::min(layout.max_unreported, limit) + kUnitsTolerance;
    return !fits_another_request;
}

void SharedQuota::report_if_due(std::uint64_t customer, CustomerState& state) {
    if (state.call_in_flight || state.awaits_check || state.report_queued ||
        shards_[state.shard].unreachable)
        return;
    if (!is_report_due(state)) return;
    if (call_budget_ < 1) {
        state.report_queued = true;
        queued_reports_.push_back(customer);
        return;
    }
    call_budget_ -= 1;
    report_usage(customer, state);
}

// Reports the fallback usage if there is any, or else the other unreported usage.
//
// Invariant: units are added only to an entry that has been raised to the present. A raise absorbs
// everything below it, including units that other ingresses added. The entry is raised without reading it
// first only if no other ingress can have raised it in the meantime: an entry that is raised twice shows an
// empty bucket to every ingress that reads it before the second raise is undone.
void SharedQuota::report_usage(std::uint64_t customer, CustomerState& state) {
    const bool fallback = state.fallback_units > 0;
    const double units = fallback ? state.fallback_units : state.unreported_units;
    const double since = fallback ? state.fallback_since_s : state.unreported_since_s;
    state.in_flight_since_s = since;
    const double raise_to_s = std::max(since, state.full_at_s);
    const bool known = state.counter_full_at_s != kNeverS &&
                       state.generation == generation_of(fleet_time_s()) &&
                       state.counter_incarnation == shards_[state.shard].known_incarnation;
    const double raise_by_s = known ? raise_to_s - state.counter_full_at_s : 1;
    const bool others_may_have_raised =
        !state.sole_reporter && now_ - state.updated_at_s > kMaxReplyAgeBeforeRaiseS;
    if (raise_by_s > 0 && (!known || others_may_have_raised))
        return send_report(customer, state, 0, raise_to_s, 0);
    const double multiplier = fallback ? 1 : cost_multiplier(state);
    send_report(customer, state, units, raise_to_s,
                units * multiplier / layout_of(state).rate + std::max(0.0, raise_by_s));
    pending_[last_call_id_].is_fallback_usage = fallback;
    if (fallback)
        state.fallback_units = 0;
    else
        state.unreported_units = 0;
}

void SharedQuota::send_report(std::uint64_t customer, CustomerState& state, double units, double raise_to_s,
                              double amount) {
    state.call_in_flight = true;
    state.in_flight_units += units;
    shards_[state.shard].reported_since_check = true;
    PendingCall pending;
    pending.customer = customer;
    pending.shard = state.shard;
    pending.units = units;
    pending.raise_to_s = raise_to_s;
    pending.amount = amount;
    pending.generation = generation_of(fleet_time_s());
    send(pending, customer_name(customer, pending.generation), kEntryTtlMs);
}

// Sends as many queued reports as the call budget allows.
void SharedQuota::send_queued_reports() {
    for (std::size_t remaining = queued_reports_.size(); remaining > 0 && call_budget_ >= 1; --remaining) {
        const std::uint64_t customer = queued_reports_.front();
        queued_reports_.pop_front();
        const auto found = customers_.find(customer);
        if (found == customers_.end()) continue;
        found->second.report_queued = false;
        report_if_due(customer, found->second);
    }
}

CounterReply SharedQuota::decode_reply(const PendingCall& pending, double total) const {
    CounterReply reply;
    reply.full_at_s = generation_start_s(pending.generation) + total;
    reply.full_at_before_s =
        reply.full_at_s - std::max(0.0, pending.amount);   // a negative correction is part of both
    reply.raise_to_s = pending.raise_to_s;
    reply.units = pending.units;
    reply.is_fallback_usage = pending.is_fallback_usage;
    reply.generation = pending.generation;
    reply.entry_is_new = total - pending.amount < kCounterResolutionS && pending.amount >= 0;
    reply.last_check_sent = shards_[pending.shard].checks_sent;
    return reply;
}

void SharedQuota::on_report(const PendingCall& pending, double total) {
    const auto found = customers_.find(pending.customer);
    if (found == customers_.end()) return;
    CustomerState& state = found->second;
    state.call_in_flight = false;
    CounterShard& shard = shards_[state.shard];
    const CounterReply reply = decode_reply(pending, total);
    const bool known = state.counter_full_at_s != kNeverS && state.generation == pending.generation &&
                       state.counter_incarnation == shard.known_incarnation;
    const bool went_back = known && reply.full_at_before_s < state.counter_full_at_s - kCounterResolutionS;
    state.sole_reporter =
        known && std::abs(reply.full_at_before_s - state.counter_full_at_s) < kCounterResolutionS;
    if (!reply.entry_is_new && !went_back) return apply_reply(pending.customer, state, reply);
    state.awaits_check = true;
    state.unconfirmed_reply = reply;
    shard.awaiting_check.push_back(pending.customer);
    request_check(state.shard);
}

// Handles an unconfirmed reply after a later check has shown whether the counter kept its state.
void SharedQuota::on_reply_confirmed(std::uint64_t customer, CustomerState& state) {
    state.awaits_check = false;
    const CounterReply reply = state.unconfirmed_reply;
    const BucketLayout layout = layout_of(state);
    const double ingresses = state.ingresses.count;
    const double full_refill_s =
        layout.burst / layout.rate + ingresses * layout.max_unreported / layout.rate;
    // Early in a generation, its first report must respect the previous generation's entry, as other
    // ingresses may have reported there after this one did.
    const bool early =
        reply.entry_is_new && fleet_time_s() < generation_start_s(reply.generation) + full_refill_s;
    if (!early) return apply_reply(customer, state, reply);
    state.awaits_check = true;   // until the previous generation is read
    read_previous_generation(customer, state);
}

// Reads the customer's entry of the generation before that of the unconfirmed reply.
void SharedQuota::read_previous_generation(std::uint64_t customer, const CustomerState& state) {
    PendingCall pending;
    pending.purpose = CallPurpose::previous_generation;
    pending.customer = customer;
    pending.shard = state.shard;
    pending.generation = state.unconfirmed_reply.generation - 1;
    send(pending, customer_name(customer, pending.generation), kReadEntryTtlMs);
}

void SharedQuota::on_previous_generation(const PendingCall& pending, double total) {
    const auto found = customers_.find(pending.customer);
    if (found == customers_.end() || !found->second.awaits_check) return;
    found->second.awaits_check = false;
    CounterReply reply = found->second.unconfirmed_reply;
    if (total > kCounterResolutionS)
        reply.raise_to_s = std::max(reply.raise_to_s, generation_start_s(pending.generation) + total);
    apply_reply(pending.customer, found->second, reply);
}

// Returns the theoretical arrival time without the units of the report.
double SharedQuota::full_at_before_report(const CustomerState& state, const CounterReply& reply) const {
    const BucketLayout layout = layout_of(state);
    const CounterShard& shard = shards_[state.shard];
    const double base_s = std::max(reply.full_at_before_s, reply.raise_to_s);
    // Other ingresses' reports were lost with the counter's state, so the bucket counts as empty at the
    // time of the loss.
    const bool state_lost = state.full_at_s != kNeverS
                                ? state.counter_incarnation != shard.known_incarnation
                                : reply.entry_is_new;
    const double floor_s = shard.state_lost_at_s + layout.burst / layout.rate;
    return state_lost && fleet_time_s() < floor_s ? std::max({base_s, state.full_at_s, floor_s}) : base_s;
}

// Adjusts the clock offset towards the fastest clock. `ahead_s` is how far a theoretical arrival time lies
// beyond any that an ingress with this clock can produce. A single case may come from an entry that was
// raised twice; only a second one soon after shows that another clock is ahead.
void SharedQuota::follow_faster_clock(double ahead_s) {
    const bool is_evidence = ahead_s > 0 && now_ - clock_behind_at_s_ > kClockEvidenceMinGapS;
    if (!is_evidence) return;
    if (now_ - clock_behind_at_s_ < kClockEvidenceMaxGapS)
        clock_offset_s_ += std::min(ahead_s, kClockSlewRate * (now_ - clock_behind_at_s_));
    clock_behind_at_s_ = now_;
}

// Applies a reply to the customer's state, and corrects the entry on the counter if it differs from it.
void SharedQuota::apply_reply(std::uint64_t customer, CustomerState& state, const CounterReply& reply) {
    const BucketLayout layout = layout_of(state);
    const CounterShard& shard = shards_[state.shard];
    const double ingresses = state.ingresses.count;
    const double multiplier = cost_multiplier(state);
    const double base_s = full_at_before_report(state, reply);
    const double empty_full_at_s = fleet_time_s() + layout.burst / layout.rate;   // for an empty bucket
    double target_full_at_s =
        base_s + reply.units * (reply.is_fallback_usage ? 1 : multiplier) / layout.rate;
    // Other ingresses may already have reserved this one's share, from which the fallback usage comes.
    if (reply.is_fallback_usage)
        target_full_at_s = std::min(target_full_at_s, std::max(base_s, empty_full_at_s));
    follow_faster_clock(reply.full_at_before_s - empty_full_at_s -
                        ingresses * layout.max_unreported * multiplier / layout.rate);
    state.in_flight_units = std::max(0.0, state.in_flight_units - reply.units);
    state.full_at_s = target_full_at_s;
    state.counter_full_at_s = reply.full_at_s;
    state.generation = reply.generation;
    state.counter_incarnation = shard.known_incarnation;
    state.updated_at_s = now_;
    const double correction_s = target_full_at_s - reply.full_at_s;
    const bool correct = std::abs(correction_s) * layout.rate > kMinCorrectionUnits && !shard.unreachable;
    if (!correct) return report_if_due(customer, state);
    call_budget_ -= 1;
    send_report(customer, state, 0, correction_s > 0 ? target_full_at_s : kNeverS, correction_s);
}

}   // namespace slatejunction::quota
