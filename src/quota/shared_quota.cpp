#include "quota/shared_quota.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace slatejunction::quota {
namespace {

constexpr double kCounterResolutionS = 1e-4;   // totals are exact to seven digits
// A theoretical arrival time that is further ahead of now than this plus a generation is implausible, as no
// ingress produces one.
constexpr double kMaxAheadS = 10;
constexpr double kMaxPlausibleCount = 1e7;   // largest plausible total of any other entry
constexpr double kQueuePollPeriodS = 0.01;   // while reports wait for the call budget
constexpr double kCallBudgetBurstS = 0.1;    // burst of the call budget, as a time at the rate of calls

bool holds_arrival_time(CallPurpose purpose) {
    return purpose == CallPurpose::report || purpose == CallPurpose::previous_generation;
}

}   // namespace

SharedQuota::SharedQuota(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {
    if (settings_.ingress_count < 1 || settings_.ingress_count > kMaxIngresses)
        throw std::invalid_argument("ingress_count must be from 1 to " + std::to_string(kMaxIngresses));
    if (settings_.ingress_index >= settings_.ingress_count)
        throw std::invalid_argument("ingress_index must be less than ingress_count");
    if (settings_.shards < 1) throw std::invalid_argument("parts must be at least 1");
    nonce_ = random_() >> 24;
    shards_.resize(settings_.shards);
    for (CounterShard& shard : shards_) shard.last_heartbeat_at_s.assign(settings_.ingress_count, kNeverS);
}

void SharedQuota::advance_time(double now) {
    if (std::isfinite(now) && now > now_) {
        if (now_ == 0) {
            call_budget_updated_at_s_ = now;
            call_budget_ = settings_.calls_per_s * kCallBudgetBurstS;
            for (CounterShard& shard : shards_) {
                shard.next_heartbeat_at_s = now;
                shard.last_heartbeat_at_s.assign(settings_.ingress_count, now);
            }
        }
        now_ = now;
    }
    call_budget_ = std::min(std::max(1.0, settings_.calls_per_s * kCallBudgetBurstS),
                            call_budget_ + settings_.calls_per_s * (now_ - call_budget_updated_at_s_));
    call_budget_updated_at_s_ = now_;
}

std::vector<CounterCall> SharedQuota::take_calls() {
    std::vector<CounterCall> calls;
    calls.swap(outgoing_calls_);
    return calls;
}

std::uint64_t SharedQuota::send(PendingCall pending, std::string name, std::uint32_t ttl_ms) {
    CounterShard& shard = shards_[pending.shard];
    if (shard.calls_in_flight++ == 0) shard.awaiting_reply_since_s = now_;
    const std::uint64_t id = ++last_call_id_;
    outgoing_calls_.push_back({id, pending.shard, std::move(name), pending.amount, ttl_ms});
    pending_.emplace(id, pending);
    return id;
}

void SharedQuota::on_reply(double now, std::uint64_t call, double total) {
    advance_time(now);
    const auto found = pending_.find(call);
    if (found == pending_.end()) return;
    const PendingCall pending = found->second;
    // A total that the call cannot have produced leaves the result of the call unknown.
    const double max_total =
        holds_arrival_time(pending.purpose)
            ? now_ + clock_offset_s_ - generation_start_s(pending.generation) + kMaxAheadS + kGenerationS
            : kMaxPlausibleCount;
    if (!std::isfinite(total) || total < -kCounterResolutionS || total > max_total)
        return on_unknown_result(now, call);
    pending_.erase(found);
    --shards_[pending.shard].calls_in_flight;
    on_shard_answered(pending.shard);
    dispatch_reply(pending, total);
    update_deadline();
}

void SharedQuota::dispatch_reply(const PendingCall& pending, double total) {
    switch (pending.purpose) {
        case CallPurpose::report:
            return on_report(pending, total);
        case CallPurpose::previous_generation:
            return on_previous_generation(pending, total);
        case CallPurpose::check:
            return on_check(pending, total);
        case CallPurpose::heartbeat:
            return on_heartbeat(pending.shard, total);
        case CallPurpose::incarnation:
            incarnation_reads_.push_back({pending.shard, pending.generation, total});
            return;
    }
}

void SharedQuota::on_rejected(double now, std::uint64_t call) {
    advance_time(now);
    const auto found = pending_.find(call);
    if (found == pending_.end()) return;
    const PendingCall pending = found->second;
    pending_.erase(found);
    CounterShard& shard = shards_[pending.shard];
    --shard.calls_in_flight;
    if (pending.purpose == CallPurpose::check) shard.check_in_flight = false;
    if (pending.purpose == CallPurpose::heartbeat) shard.heartbeat_in_flight = false;
    const auto state = customers_.find(pending.customer);
    if (state != customers_.end()) {
        if (pending.purpose == CallPurpose::previous_generation && state->second.awaits_check)
            shard.awaiting_check.push_back(pending.customer);   // read again after the next check
        else if (pending.purpose == CallPurpose::report)
            requeue_report(pending, state->second);
    }
    on_call_failed(pending.shard);
    update_deadline();
}

// Marks the units of a report that was not carried out as unreported again.
void SharedQuota::requeue_report(const PendingCall& pending, CustomerState& state) {
    state.call_in_flight = false;
    state.in_flight_units = std::max(0.0, state.in_flight_units - pending.units);
    double& units = pending.is_fallback_usage ? state.fallback_units : state.unreported_units;
    double& since = pending.is_fallback_usage ? state.fallback_since_s : state.unreported_since_s;
    const double from_s =
        pending.raise_to_s == kNeverS ? fleet_time_s() : std::min(pending.raise_to_s, fleet_time_s());
    since = units > 0 ? std::min(since, from_s) : from_s;
    units += pending.units;
}

// Treats the call as if nothing had been added. If the amount was added, the units count twice, which may
// reject requests within the quota but admits none beyond it.
void SharedQuota::on_unknown_result(double now, std::uint64_t call) {
    const auto found = pending_.find(call);
    if (found == pending_.end()) return;
    on_rejected(now, call);
}

void SharedQuota::on_timer(double now) {
    advance_time(now);
    for (unsigned shard_index = 0; shard_index < shards_.size(); ++shard_index) on_shard_timer(shard_index);
    send_queued_reports();
    update_deadline();
}

void SharedQuota::update_deadline() {
    next_deadline_s_ = now_ + kHeartbeatPeriodS;
    for (const CounterShard& shard : shards_) {
        if (shard.unreachable)
            next_deadline_s_ = std::min(next_deadline_s_, shard.next_probe_at_s);
        else if (settings_.ingress_count > 1)
            next_deadline_s_ = std::min(next_deadline_s_, shard.next_heartbeat_at_s);
        if (!shard.unreachable && shard.awaiting_reply_since_s > 0)
            next_deadline_s_ =
                std::min(next_deadline_s_, shard.awaiting_reply_since_s + kUnreachableAfterS);
    }
    if (!queued_reports_.empty()) next_deadline_s_ = std::min(next_deadline_s_, now_ + kQueuePollPeriodS);
    next_deadline_s_ = std::max(next_deadline_s_, now_);
}

}   // namespace slatejunction::quota
