// SharedQuota (shared_quota.hpp): whether a shard of the counter is reachable and kept its state, and which
// ingresses use it.
#include <algorithm>
#include <cmath>
#include <utility>

#include "quota/counter_names.hpp"
#include "quota/shared_quota.hpp"

namespace slatejunction::quota {
namespace {

constexpr double kCheckMaxAgeS = 58;     // below the 60 s after which an entry expires
constexpr double kPeriodJitter = 0.25;   // width of the random jitter, as a fraction of the period
// The heartbeat total has one digit of this base for each ingress.
constexpr unsigned kHeartbeatDigitBase = 4;

}   // namespace

void SharedQuota::request_check(unsigned shard_index) {
    CounterShard& shard = shards_[shard_index];
    shard.check_wanted = true;
    if (shard.check_in_flight) return;
    shard.check_wanted = false;
    shard.check_in_flight = true;
    shard.next_check_at_s = now_ + kCheckPeriodS;
    if (shard.check_generation < 0) shard.check_generation = generation_of(fleet_time_s());
    PendingCall pending;
    pending.purpose = CallPurpose::check;
    pending.shard = shard_index;
    pending.amount = 1;
    pending.generation = shard.check_generation;
    pending.check_number = ++shard.checks_sent;
    send(pending, check_name(settings_.ingress_index, nonce_, shard.check_generation), kEntryTtlMs);
}

void SharedQuota::on_check(const PendingCall& pending, double total) {
    CounterShard& shard = shards_[pending.shard];
    shard.check_in_flight = false;
    const std::int64_t generation = generation_of(fleet_time_s());
    // An entry that may have expired cannot prove that the state was kept, so it is treated as a loss.
    const bool expired = shard.check_min_total > 0 && now_ > shard.check_created_at_s + kCheckMaxAgeS;
    const bool intact = !expired && total > shard.check_min_total + 0.5;
    if (shard.check_min_total == 0) shard.check_created_at_s = now_;
    if (!intact) {
        if (!expired) detected_losses_.push_back(pending.shard);
        on_state_lost(pending.shard);
    }
    shard.check_min_total = total;
    if (shard.check_generation != generation) {
        shard.check_generation = generation;
        shard.check_min_total = 0;
    }
    confirm_replies_before(pending.shard, pending.check_number);
    if (!shard.awaiting_check.empty() || shard.check_wanted || shard.check_min_total == 0)
        request_check(pending.shard);
}

// Confirms the replies that arrived before the check with the number `check` was sent. The others wait for
// the next check.
void SharedQuota::confirm_replies_before(unsigned shard_index, std::uint64_t check) {
    CounterShard& shard = shards_[shard_index];
    std::vector<std::uint64_t> remaining;
    std::vector<std::uint64_t> waiting;
    waiting.swap(shard.awaiting_check);
    for (const std::uint64_t customer : waiting) {
        const auto found = customers_.find(customer);
        if (found == customers_.end() || !found->second.awaits_check) continue;
        if (found->second.unconfirmed_reply.last_check_sent < check)
            on_reply_confirmed(customer, found->second);
        else
            remaining.push_back(customer);
    }
    shard.awaiting_check.insert(shard.awaiting_check.end(), remaining.begin(), remaining.end());
}

// Marks the shard's state as lost: all its shared buckets count as empty from now on.
void SharedQuota::on_state_lost(unsigned shard_index) {
    CounterShard& shard = shards_[shard_index];
    ++shard.known_incarnation;
    ++counter_losses_;
    shard.state_lost_at_s = fleet_time_s();
}

void SharedQuota::on_counter_state_lost(double now, unsigned shard_index) {
    advance_time(now);
    on_state_lost(shard_index);
    // This ingress's check would only show the same loss again, so a new check starts at once.
    shards_[shard_index].check_min_total = 0;
    if (!shards_[shard_index].unreachable) request_check(shard_index);
    update_deadline();
}

void SharedQuota::add_to_incarnation(double now, unsigned shard_index, std::int64_t generation,
                                     double amount) {
    advance_time(now);
    if (shards_[shard_index].unreachable) return;
    PendingCall pending;
    pending.purpose = CallPurpose::incarnation;
    pending.shard = shard_index;
    pending.amount = amount;
    pending.generation = generation;
    send(pending, incarnation_name(generation), kEntryTtlMs);
}

// The total has a digit for each ingress, which is 0 if the heartbeat has expired.
void SharedQuota::on_heartbeat(unsigned shard_index, double total) {
    CounterShard& shard = shards_[shard_index];
    shard.heartbeat_in_flight = false;
    shard.heartbeat_total = total;
    auto digits = static_cast<std::uint64_t>(total + 0.5);
    for (unsigned i = 0; i < settings_.ingress_count; ++i, digits /= kHeartbeatDigitBase)
        if (digits % kHeartbeatDigitBase != 0) shard.last_heartbeat_at_s[i] = now_;
}

void SharedQuota::on_shard_answered(unsigned shard_index) {
    CounterShard& shard = shards_[shard_index];
    shard.consecutive_failures = 0;
    shard.awaiting_reply_since_s = shard.calls_in_flight > 0 ? now_ : 0;
    if (!shard.unreachable) return;
    shard.unreachable = false;
    shard.recovered_at_s = now_;
    for (double& heartbeat_at_s : shard.last_heartbeat_at_s)
        heartbeat_at_s = std::max(heartbeat_at_s, now_ - kIngressMissingAfterS + kHeartbeatTtlS);
    for (auto& [customer, state] : customers_)
        if (state.shard == shard_index) report_if_due(customer, state);
}

void SharedQuota::on_call_failed(unsigned shard_index) {
    CounterShard& shard = shards_[shard_index];
    shard.awaiting_reply_since_s = shard.calls_in_flight > 0 ? now_ : 0;
    if (++shard.consecutive_failures >= kUnreachableAfterFailures && !shard.unreachable)
        on_shard_unreachable(shard_index);
}

// Starts the fallback buckets with an even share of the units that the shared buckets are known to hold.
void SharedQuota::on_shard_unreachable(unsigned shard_index) {
    CounterShard& shard = shards_[shard_index];
    shard.unreachable = true;
    shard.unreachable_since_s = now_;
    shard.next_probe_at_s = now_;
    for (auto& [customer, state] : customers_) {
        if (state.shard != shard_index || state.full_at_s == kNeverS) continue;
        const BucketLayout layout = layout_of(state);
        const double share = std::clamp(level(state), 0.0, layout.burst) / state.ingresses.count;
        state.fallback_full_at_s =
            std::max(state.fallback_full_at_s,
                     fleet_time_s() + (layout.fallback_burst - share) / layout.fallback_rate);
    }
}

void SharedQuota::on_shard_timer(unsigned shard_index) {
    CounterShard& shard = shards_[shard_index];
    if (!shard.unreachable && shard.awaiting_reply_since_s > 0 &&
        now_ - shard.awaiting_reply_since_s >= kUnreachableAfterS)
        on_shard_unreachable(shard_index);
    const double jitter = 1 + kPeriodJitter * (static_cast<double>(random_() >> 11) * 0x1p-53 - 0.5);
    if (shard.unreachable) {
        if (now_ < shard.next_probe_at_s) return;
        shard.next_probe_at_s = now_ + kProbePeriodS * jitter;
        shard.check_in_flight = false;   // a check in flight may never get a reply
        return request_check(shard_index);
    }
    const bool heartbeat_due = settings_.ingress_count > 1 && now_ >= shard.next_heartbeat_at_s;
    if (heartbeat_due && !send_heartbeat(shard_index, jitter)) return;
    if (!shard.check_in_flight && !shard.awaiting_check.empty()) request_check(shard_index);
}

// Returns false if the last heartbeat is still in flight.
bool SharedQuota::send_heartbeat(unsigned shard_index, double jitter) {
    CounterShard& shard = shards_[shard_index];
    shard.next_heartbeat_at_s = now_ + kHeartbeatPeriodS * jitter;
    // Detects a state that was rolled back, and creates a check entry in each generation.
    if ((now_ >= shard.next_check_at_s && std::exchange(shard.reported_since_check, false)) ||
        (shard.check_generation >= 0 && shard.check_generation != generation_of(fleet_time_s())))
        request_check(shard_index);
    if (shard.heartbeat_in_flight) return false;
    shard.heartbeat_in_flight = true;
    PendingCall pending;
    pending.purpose = CallPurpose::heartbeat;
    pending.shard = shard_index;
    const double digit = std::pow(double{kHeartbeatDigitBase}, settings_.ingress_index);
    const bool present =
        static_cast<std::uint64_t>(shard.heartbeat_total / digit + 1e-6) % kHeartbeatDigitBase != 0;
    pending.amount = present ? 0 : digit;
    send(pending, heartbeat_name(shard_index), static_cast<std::uint32_t>(kHeartbeatTtlS * 1000));
    return true;
}

}   // namespace slatejunction::quota
