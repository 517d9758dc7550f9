// Of SharedQuota (shared_quota.hpp): whether a part of the counter answers and kept its state, and which
// ingresses use it.
#include <algorithm>
#include <cmath>
#include <utility>

#include "quota/counter_names.hpp"
#include "quota/shared_quota.hpp"

namespace slatejunction::quota {
namespace {

constexpr double kCheckMaxAgeS = 58;          // a name lives 60 s
constexpr double kPeriodJitter = 0.25;        // fraction of a period
constexpr unsigned kHeartbeatDigitBase = 4;   // a heartbeat is one digit of this base for each ingress

}   // namespace

void SharedQuota::request_check(unsigned number) {
    CounterPart& part = parts_[number];
    part.check_wanted = true;
    if (part.check_in_flight) return;
    part.check_wanted = false;
    part.check_in_flight = true;
    part.next_check_at_s = now_ + kCheckPeriodS;
    if (part.check_generation < 0) part.check_generation = generation_of(fleet_time_s());
    PendingCall pending;
    pending.purpose = CallPurpose::check;
    pending.part = number;
    pending.amount = 1;
    pending.generation = part.check_generation;
    pending.check_number = ++part.checks_sent;
    send(pending, check_name(settings_.ingress_index, nonce_, part.check_generation), kNameTtlMs);
}

void SharedQuota::on_check(const PendingCall& pending, double total) {
    CounterPart& part = parts_[pending.part];
    part.check_in_flight = false;
    const std::int64_t generation = generation_of(fleet_time_s());
    // A name that may have expired proves nothing, which is treated as a loss.
    const bool expired = part.check_min_total > 0 && now_ > part.check_created_at_s + kCheckMaxAgeS;
    const bool intact = !expired && total > part.check_min_total + 0.5;
    if (part.check_min_total == 0) part.check_created_at_s = now_;
    if (!intact) {
        if (!expired) found_losses_.push_back(pending.part);
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

// Confirms the replies that came before that check was sent; the others wait for the next check.
void SharedQuota::confirm_replies_before(unsigned number, std::uint64_t check) {
    CounterPart& part = parts_[number];
    std::vector<std::uint64_t> remaining;
    std::vector<std::uint64_t> waiting;
    waiting.swap(part.awaiting_check);
    for (const std::uint64_t customer : waiting) {
        const auto found = customers_.find(customer);
        if (found == customers_.end() || !found->second.awaits_check) continue;
        if (found->second.unconfirmed.last_check_sent < check)
            on_reply_confirmed(customer, found->second);
        else
            remaining.push_back(customer);
    }
    part.awaiting_check.insert(part.awaiting_check.end(), remaining.begin(), remaining.end());
}

// All shared buckets of that part count as empty from now on.
void SharedQuota::on_state_lost(unsigned number) {
    CounterPart& part = parts_[number];
    ++part.epoch;
    ++counter_losses_;
    part.state_lost_at_s = fleet_time_s();
}

void SharedQuota::on_counter_lost(double now, unsigned number) {
    advance(now);
    on_state_lost(number);
    // This ingress's check would only show the same loss again: it starts anew at once.
    parts_[number].check_min_total = 0;
    if (!parts_[number].unreachable) request_check(number);
    update_deadline();
}

void SharedQuota::add_incarnation(double now, unsigned number, std::int64_t generation, double amount) {
    advance(now);
    if (parts_[number].unreachable) return;
    PendingCall pending;
    pending.purpose = CallPurpose::incarnation;
    pending.part = number;
    pending.amount = amount;
    pending.generation = generation;
    send(pending, incarnation_name(generation), kNameTtlMs);
}

// The total has a digit for each ingress, which is 0 when its heartbeat has expired.
void SharedQuota::on_heartbeat(unsigned number, double total) {
    CounterPart& part = parts_[number];
    part.heartbeat_in_flight = false;
    part.heartbeat_total = total;
    auto digits = static_cast<std::uint64_t>(total + 0.5);
    for (unsigned i = 0; i < settings_.ingress_count; ++i, digits /= kHeartbeatDigitBase)
        if (digits % kHeartbeatDigitBase != 0) part.last_heartbeat_at_s[i] = now_;
}

void SharedQuota::on_part_answered(unsigned number) {
    CounterPart& part = parts_[number];
    part.consecutive_failures = 0;
    part.silent_since_s = part.calls_in_flight > 0 ? now_ : 0;
    if (!part.unreachable) return;
    part.unreachable = false;
    part.recovered_at_s = now_;
    for (double& heartbeat_at_s : part.last_heartbeat_at_s)
        heartbeat_at_s = std::max(heartbeat_at_s, now_ - kIngressMissingAfterS + kHeartbeatTtlS);
    for (auto& [customer, state] : customers_)
        if (state.part == number) report_if_due(customer, state);
}

void SharedQuota::on_call_failed(unsigned number) {
    CounterPart& part = parts_[number];
    part.silent_since_s = part.calls_in_flight > 0 ? now_ : 0;
    if (++part.consecutive_failures >= kUnreachableAfterFailures && !part.unreachable)
        on_part_unreachable(number);
}

// The fallback buckets start with an even share of what the shared ones are known to hold.
void SharedQuota::on_part_unreachable(unsigned number) {
    CounterPart& part = parts_[number];
    part.unreachable = true;
    part.unreachable_since_s = now_;
    part.next_probe_at_s = now_;
    for (auto& [customer, state] : customers_) {
        if (state.part != number || state.full_at_s == kNeverS) continue;
        const BucketLayout layout = layout_of(state);
        const double share = std::clamp(level(state), 0.0, layout.burst) / state.ingresses.count;
        state.fallback_full_at_s =
            std::max(state.fallback_full_at_s,
                     fleet_time_s() + (layout.fallback_burst - share) / layout.fallback_rate);
    }
}

void SharedQuota::on_part_timer(unsigned number) {
    CounterPart& part = parts_[number];
    if (!part.unreachable && part.silent_since_s > 0 && now_ - part.silent_since_s >= kUnreachableAfterS)
        on_part_unreachable(number);
    const double jitter = 1 + kPeriodJitter * (static_cast<double>(random_() >> 11) * 0x1p-53 - 0.5);
    if (part.unreachable) {
        if (now_ < part.next_probe_at_s) return;
        part.next_probe_at_s = now_ + kProbePeriodS * jitter;
        part.check_in_flight = false;   // the one in flight may never be answered
        return request_check(number);
    }
    const bool heartbeat_due = settings_.ingress_count > 1 && now_ >= part.next_heartbeat_at_s;
    if (heartbeat_due && !send_heartbeat(number, jitter)) return;
    if (!part.check_in_flight && !part.awaiting_check.empty()) request_check(number);
}

// False: the last one has not ended.
bool SharedQuota::send_heartbeat(unsigned number, double jitter) {
    CounterPart& part = parts_[number];
    part.next_heartbeat_at_s = now_ + kHeartbeatPeriodS * jitter;
    // Finds a state that was rolled back, and gives each generation its check.
    if ((now_ >= part.next_check_at_s && std::exchange(part.reported_since_check, false)) ||
        (part.check_generation >= 0 && part.check_generation != generation_of(fleet_time_s())))
        request_check(number);
    if (part.heartbeat_in_flight) return false;
    part.heartbeat_in_flight = true;
    PendingCall pending;
    pending.purpose = CallPurpose::heartbeat;
    pending.part = number;
    const double digit = std::pow(double{kHeartbeatDigitBase}, settings_.ingress_index);
    const bool present =
        static_cast<std::uint64_t>(part.heartbeat_total / digit + 1e-6) % kHeartbeatDigitBase != 0;
    pending.amount = present ? 0 : digit;
    send(pending, heartbeat_name(number), static_cast<std::uint32_t>(kHeartbeatTtlS * 1000));
    return true;
}

}   // namespace slatejunction::quota
