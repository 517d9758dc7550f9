// SharedQuota (shared_quota.hpp): whether a part of the counter is reachable and kept its state, and which
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

void SharedQuota::request_check(unsigned part_index) {
    CounterPart& part = parts_[part_index];
    part.check_wanted = true;
    if (part.check_in_flight) return;
    part.check_wanted = false;
    part.check_in_flight = true;
    part.next_check_at_s = now_ + kCheckPeriodS;
    if (part.check_generation < 0) part.check_generation = generation_of(fleet_time_s());
    PendingCall pending;
    pending.purpose = CallPurpose::check;
    pending.part = part_index;
    pending.amount = 1;
    pending.generation = part.check_generation;
    pending.check_number = ++part.checks_sent;
    send(pending, check_name(settings_.ingress_index, nonce_, part.check_generation), kEntryTtlMs);
}

void SharedQuota::on_check(const PendingCall& pending, double total) {
    CounterPart& part = parts_[pending.part];
    part.check_in_flight = false;
    const std::int64_t generation = generation_of(fleet_time_s());
    // An entry that may have expired cannot prove that the state was kept, so it is treated as a loss.
    const bool expired = part.check_min_total > 0 && now_ > part.check_created_at_s + kCheckMaxAgeS;
    const bool intact = !expired && total > part.check_min_total + 0.5;
    if (part.check_min_total == 0) part.check_created_at_s = now_;
    if (!intact) {
        if (!expired) detected_losses_.push_back(pending.part);
        on_state_lost(pending.part);
    }
    part.check_min_total = total;
    if (part.check_generation != generation) {
        part.check_generation = generation;
        part.check_min_total = 0;
    }
    confirm_replies_before(pending.part, pending.check_number);
    if (!part.awaiting_check.empty() || part.check_wanted || part.check_min_total == 0)
        request_check(pending.part);
}

// Confirms the replies that arrived before the check with the number `check` was sent. The others wait for
// the next check.
void SharedQuota::confirm_replies_before(unsigned part_index, std::uint64_t check) {
    CounterPart& part = parts_[part_index];
    std::vector<std::uint64_t> remaining;
    std::vector<std::uint64_t> waiting;
    waiting.swap(part.awaiting_check);
    for (const std::uint64_t customer : waiting) {
        const auto found = customers_.find(customer);
        if (found == customers_.end() || !found->second.awaits_check) continue;
        if (found->second.unconfirmed_reply.last_check_sent < check)
            on_reply_confirmed(customer, found->second);
        else
            remaining.push_back(customer);
    }
    part.awaiting_check.insert(part.awaiting_check.end(), remaining.begin(), remaining.end());
}

// Marks the part's state as lost: all its shared buckets count as empty from now on.
void SharedQuota::on_state_lost(unsigned part_index) {
    CounterPart& part = parts_[part_index];
    ++part.known_incarnation;
    ++counter_losses_;
    part.state_lost_at_s = fleet_time_s();
}

void SharedQuota::on_counter_state_lost(double now, unsigned part_index) {
    advance_time(now);
    on_state_lost(part_index);
    // This ingress's check would only show the same loss again, so a new check starts at once.
    parts_[part_index].check_min_total = 0;
    if (!parts_[part_index].unreachable) request_check(part_index);
    update_deadline();
}

void SharedQuota::add_to_incarnation(double now, unsigned part_index, std::int64_t generation,
                                     double amount) {
    advance_time(now);
    if (parts_[part_index].unreachable) return;
    PendingCall pending;
    pending.purpose = CallPurpose::incarnation;
    pending.part = part_index;
    pending.amount = amount;
    pending.generation = generation;
    send(pending, incarnation_name(generation), kEntryTtlMs);
}

// The total has a digit for each ingress, which is 0 if the heartbeat has expired.
void SharedQuota::on_heartbeat(unsigned part_index, double total) {
    CounterPart& part = parts_[part_index];
    part.heartbeat_in_flight = false;
    part.heartbeat_total = total;
    auto digits = static_cast<std::uint64_t>(total + 0.5);
    for (unsigned i = 0; i < settings_.ingress_count; ++i, digits /= kHeartbeatDigitBase)
        if (digits % kHeartbeatDigitBase != 0) part.last_heartbeat_at_s[i] = now_;
}

void SharedQuota::on_part_answered(unsigned part_index) {
    CounterPart& part = parts_[part_index];
    part.consecutive_failures = 0;
    part.awaiting_reply_since_s = part.calls_in_flight > 0 ? now_ : 0;
    if (!part.unreachable) return;
    part.unreachable = false;
    part.recovered_at_s = now_;
    for (double& heartbeat_at_s : part.last_heartbeat_at_s)
        heartbeat_at_s = std::max(heartbeat_at_s, now_ - kIngressMissingAfterS + kHeartbeatTtlS);
    for (auto& [customer, state] : customers_)
        if (state.part == part_index) report_if_due(customer, state);
}

void SharedQuota::on_call_failed(unsigned part_index) {
    CounterPart& part = parts_[part_index];
    part.awaiting_reply_since_s = part.calls_in_flight > 0 ? now_ : 0;
    if (++part.consecutive_failures >= kUnreachableAfterFailures && !part.unreachable)
        on_part_unreachable(part_index);
}

// Starts the fallback buckets with an even share of the units that the shared buckets are known to hold.
void SharedQuota::on_part_unreachable(unsigned part_index) {
    CounterPart& part = parts_[part_index];
    part.unreachable = true;
    part.unreachable_since_s = now_;
    part.next_probe_at_s = now_;
    for (auto& [customer, state] : customers_) {
        if (state.part != part_index || state.full_at_s == kNeverS) continue;
        const BucketLayout layout = layout_of(state);
        const double share = std::clamp(level(state), 0.0, layout.burst) / state.ingresses.count;
        state.fallback_full_at_s =
            std::max(state.fallback_full_at_s,
                     fleet_time_s() + (layout.fallback_burst - share) / layout.fallback_rate);
    }
}

void SharedQuota::on_part_timer(unsigned part_index) {
    CounterPart& part = parts_[part_index];
    if (!part.unreachable && part.awaiting_reply_since_s > 0 &&
        now_ - part.awaiting_reply_since_s >= kUnreachableAfterS)
        on_part_unreachable(part_index);
    const double jitter = 1 + kPeriodJitter * (static_cast<double>(random_() >> 11) * 0x1p-53 - 0.5);
    if (part.unreachable) {
        if (now_ < part.next_probe_at_s) return;
        part.next_probe_at_s = now_ + kProbePeriodS * jitter;
        part.check_in_flight = false;   // a check in flight may never get a reply
        return request_check(part_index);
    }
    const bool heartbeat_due = settings_.ingress_count > 1 && now_ >= part.next_heartbeat_at_s;
    if (heartbeat_due && !send_heartbeat(part_index, jitter)) return;
    if (!part.check_in_flight && !part.awaiting_check.empty()) request_check(part_index);
}

// Returns false if the last heartbeat is still in flight.
bool SharedQuota::send_heartbeat(unsigned part_index, double jitter) {
    CounterPart& part = parts_[part_index];
    part.next_heartbeat_at_s = now_ + kHeartbeatPeriodS * jitter;
    // Detects a state that was rolled back, and creates a check entry in each generation.
    if ((now_ >= part.next_check_at_s && std::exchange(part.reported_since_check, false)) ||
        (part.check_generation >= 0 && part.check_generation != generation_of(fleet_time_s())))
        request_check(part_index);
    if (part.heartbeat_in_flight) return false;
    part.heartbeat_in_flight = true;
    PendingCall pending;
    pending.purpose = CallPurpose::heartbeat;
    pending.part = part_index;
    const double digit = std::pow(double{kHeartbeatDigitBase}, settings_.ingress_index);
    const bool present =
        static_cast<std::uint64_t>(part.heartbeat_total / digit + 1e-6) % kHeartbeatDigitBase != 0;
    pending.amount = present ? 0 : digit;
    send(pending, heartbeat_name(part_index), static_cast<std::uint32_t>(kHeartbeatTtlS * 1000));
    return true;
}

}   // namespace slatejunction::quota
