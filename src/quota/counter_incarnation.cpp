#include "quota/counter_incarnation.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>

#include "quota/shared_quota.hpp"

namespace slatejunction::quota {
namespace {

constexpr double kIntegerTolerance = 0.5;   // totals are integers
constexpr std::size_t kMaxMessageBytes = 60;

}   // namespace

double loss_propagation_bound_s(double call_s, double one_way_s) {
    return kIncarnationReadPeriodS + 2 * call_s + 2 * one_way_s;
}

std::string serialize(const IncarnationMessage& message) {
    char text[64];
    const int size = std::snprintf(text, sizeof text, "%d %u %llu", static_cast<int>(message.kind),
                                   message.part, static_cast<unsigned long long>(message.incarnation));
    return {text, static_cast<std::size_t>(size)};
}

std::optional<IncarnationMessage> parse_incarnation_message(std::string_view bytes) {
    if (bytes.size() > kMaxMessageBytes) return {};
    int kind = 0;
    int used = 0;
    unsigned part = 0;
    unsigned long long incarnation = 0;
    const std::string text(bytes);
    const int fields = std::sscanf(text.c_str(), "%d %u %llu%n", &kind, &part, &incarnation, &used);
    if (fields != 3 || static_cast<std::size_t>(used) != text.size()) return {};
    if (kind < static_cast<int>(IncarnationMessage::Kind::loss_suspected) ||
        kind > static_cast<int>(IncarnationMessage::Kind::incarnation_announced))
        return {};
    return IncarnationMessage{static_cast<IncarnationMessage::Kind>(kind), part, incarnation};
}

void CounterIncarnation::on_leadership_change(double now, bool is_leader) {
    is_leader_ = is_leader;
    for (PartState& state : parts_) {
        state.last_read_at_s = 0;
        state.next_broadcast_at_s = 0;
        state.loss_to_verify = false;
    }
    on_timer(now);
}

void CounterIncarnation::on_local_loss(double now, unsigned part) {
    parts_[part].loss_known_locally = true;
    suspect_loss(now, part);
}

// Verifies a suspected loss at once on the leader; any other ingress reports it to the leader.
void CounterIncarnation::suspect_loss(double now, unsigned part) {
    PartState& state = parts_[part];
    state.loss_suspected = true;
    if (is_leader_) {
        state.loss_to_verify = true;
        request_read(now, part);
        return;
    }
    outgoing_.push_back({false, {IncarnationMessage::Kind::loss_suspected, part, state.incarnation}});
    state.last_reported_at_s = now;
    next_deadline_s_ = std::min(next_deadline_s_, now + kLossReportRetryS);
}

void CounterIncarnation::request_read(double now, unsigned part) {
    parts_[part].last_read_at_s = now;
    pending_adds_.push_back({part, generation_of(now), 0});
}

void CounterIncarnation::on_read(double now, unsigned part, std::int64_t generation, double total) {
    PartState& state = parts_[part];
    if (generation < state.generation) return;   // a late reply
    // A total lower than before proves a loss. The entry of a new generation, which was never seen set,
    // proves nothing.
    const bool state_lost = generation == state.generation && total < state.last_total - kIntegerTolerance;
    state.generation = generation;
    state.last_total = total;
    if (!is_leader_) {
        if (state_lost && !state.loss_suspected) suspect_loss(now, part);
        return;
    }
    if (total < kIntegerTolerance) pending_adds_.push_back({part, generation, 1});
    if (state_lost) return confirm_loss(now, part);
    // The suspicion was wrong, or it is about the loss that was broadcast already.
    if (!std::exchange(state.loss_to_verify, false)) return;
    ++false_alarms_;
    state.loss_suspected = false;
    state.loss_known_locally = false;
    broadcast_incarnation(now, part);
}

void CounterIncarnation::confirm_loss(double now, unsigned part) {
    PartState& state = parts_[part];
    ++state.incarnation;
    ++confirmed_loss_count_;
    if (!state.loss_known_locally) confirmed_losses_.push_back(part);
    state.loss_suspected = false;
    state.loss_known_locally = false;
    state.loss_to_verify = false;
    broadcast_incarnation(now, part);
}

void CounterIncarnation::broadcast_incarnation(double now, unsigned part) {
    parts_[part].next_broadcast_at_s = now + kIncarnationBroadcastPeriodS;
    outgoing_.push_back(
        {true, {IncarnationMessage::Kind::incarnation_announced, part, parts_[part].incarnation}});
}

// Adopts an incarnation that is higher than this ingress's.
void CounterIncarnation::adopt_incarnation(double now, unsigned part, std::uint64_t incarnation) {
    PartState& state = parts_[part];
    if (incarnation <= state.incarnation) return;
    // The first incarnation that is received does not mean a loss, as it may have been incremented before
    // this process started.
    const bool provisional = state.incarnation == 0 || now < state.incarnation_provisional_until_s;
    if (!provisional && !state.loss_known_locally) confirmed_losses_.push_back(part);
    state.incarnation = incarnation;
    state.loss_suspected = false;
    state.loss_known_locally = false;
}

void CounterIncarnation::on_message(double now, const IncarnationMessage& message) {
    if (message.part >= parts_.size()) return;
    if (message.kind == IncarnationMessage::Kind::loss_suspected)
        on_loss_suspected(now, message);
    else
        on_incarnation_announced(now, message);
}

void CounterIncarnation::on_loss_suspected(double now, const IncarnationMessage& message) {
    PartState& state = parts_[message.part];
    if (!is_leader_) return;
    if (message.incarnation < state.incarnation) {   // the sender missed the last broadcast
        broadcast_incarnation(now, message.part);
        return;
    }
    if (state.loss_to_verify) return;
    adopt_incarnation(now, message.part, message.incarnation);
    state.loss_to_verify = true;
    request_read(now, message.part);
}

void CounterIncarnation::on_incarnation_announced(double now, const IncarnationMessage& message) {
    PartState& state = parts_[message.part];
    if (message.incarnation < state.incarnation && !is_leader_)   // a new leader that missed the last loss
        outgoing_.push_back(
            {false, {IncarnationMessage::Kind::incarnation_announced, message.part, state.incarnation}});
    if (message.incarnation == state.incarnation) {   // the leader knows of no further loss
        state.loss_suspected = false;
        state.loss_known_locally = false;
    }
    adopt_incarnation(now, message.part, message.incarnation);
}

void CounterIncarnation::on_timer(double now) {
    next_deadline_s_ = now + kIncarnationReadPeriodS;
    for (unsigned part = 0; part < parts_.size(); ++part) {
        if (now >= parts_[part].last_read_at_s + kIncarnationReadPeriodS) request_read(now, part);
        if (is_leader_)
            on_leader_timer(now, part);
        else
            on_follower_timer(now, part);
        next_deadline_s_ =
            std::min(next_deadline_s_, parts_[part].last_read_at_s + kIncarnationReadPeriodS);
    }
}

void CounterIncarnation::on_leader_timer(double now, unsigned part) {
    PartState& state = parts_[part];
    if (state.incarnation == 0) {
        state.incarnation = 1;
        state.incarnation_provisional_until_s = now + 2 * kIncarnationBroadcastPeriodS;
    }
    if (now >= state.next_broadcast_at_s) broadcast_incarnation(now, part);
}

void CounterIncarnation::on_follower_timer(double now, unsigned part) {
    PartState& state = parts_[part];
    if (!state.loss_suspected) return;
    if (now >= state.last_reported_at_s + kLossReportRetryS) {
        state.last_reported_at_s = now;
        outgoing_.push_back({false, {IncarnationMessage::Kind::loss_suspected, part, state.incarnation}});
    }
    next_deadline_s_ = std::min(next_deadline_s_, state.last_reported_at_s + kLossReportRetryS);
}

}   // namespace slatejunction::quota
