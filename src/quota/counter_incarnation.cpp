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
                                   message.shard, static_cast<unsigned long long>(message.incarnation));
    return {text, static_cast<std::size_t>(size)};
}

std::optional<IncarnationMessage> parse_incarnation_message(std::string_view bytes) {
    if (bytes.size() > kMaxMessageBytes) return {};
    int kind = 0;
    int used = 0;
    unsigned shard = 0;
    unsigned long long incarnation = 0;
    const std::string text(bytes);
    const int fields = std::sscanf(text.c_str(), "%d %u %llu%n", &kind, &shard, &incarnation, &used);
    if (fields != 3 || static_cast<std::size_t>(used) != text.size()) return {};
    if (kind < static_cast<int>(IncarnationMessage::Kind::loss_suspected) ||
        kind > static_cast<int>(IncarnationMessage::Kind::incarnation_announced))
        return {};
    return IncarnationMessage{static_cast<IncarnationMessage::Kind>(kind), shard, incarnation};
}

void CounterIncarnation::on_leadership_change(double now, bool is_leader) {
    is_leader_ = is_leader;
    for (ShardState& state : shards_) {
        state.last_read_at_s = 0;
        state.next_broadcast_at_s = 0;
        state.loss_to_verify = false;
    }
    on_timer(now);
}

void CounterIncarnation::on_local_loss(double now, unsigned shard) {
    shards_[shard].loss_known_locally = true;
    suspect_loss(now, shard);
}

// Verifies a suspected loss at once on the leader; any other ingress reports it to the leader.
void CounterIncarnation::suspect_loss(double now, unsigned shard) {
    ShardState& state = shards_[shard];
    state.loss_suspected = true;
    if (is_leader_) {
        state.loss_to_verify = true;
        request_read(now, shard);
        return;
    }
    outgoing_.push_back({false, {IncarnationMessage::Kind::loss_suspected, shard, state.incarnation}});
    state.last_reported_at_s = now;
    next_deadline_s_ = std::min(next_deadline_s_, now + kLossReportRetryS);
}

void CounterIncarnation::request_read(double now, unsigned shard) {
    shards_[shard].last_read_at_s = now;
    pending_adds_.push_back({shard, generation_of(now), 0});
}

void CounterIncarnation::on_read(double now, unsigned shard, std::int64_t generation, double total) {
    ShardState& state = shards_[shard];
    if (generation < state.generation) return;   // a late reply
    // A total lower than before proves a loss. The entry of a new generation, which was never seen set,
    // proves nothing.
    const bool state_lost = generation == state.generation && total < state.last_total - kIntegerTolerance;
    state.generation = generation;
    state.last_total = total;
    if (!is_leader_) {
        if (state_lost && !state.loss_suspected) suspect_loss(now, shard);
        return;
    }
    if (total < kIntegerTolerance) pending_adds_.push_back({shard, generation, 1});
    if (state_lost) return confirm_loss(now, shard);
    // The suspicion was wrong, or it is about the loss that was broadcast already.
    if (!std::exchange(state.loss_to_verify, false)) return;
    ++false_alarms_;
    state.loss_suspected = false;
    state.loss_known_locally = false;
    broadcast_incarnation(now, shard);
}

void CounterIncarnation::confirm_loss(double now, unsigned shard) {
    ShardState& state = shards_[shard];
    ++state.incarnation;
    ++confirmed_loss_count_;
    if (!state.loss_known_locally) confirmed_losses_.push_back(shard);
    state.loss_suspected = false;
    state.loss_known_locally = false;
    state.loss_to_verify = false;
    broadcast_incarnation(now, shard);
}

void CounterIncarnation::broadcast_incarnation(double now, unsigned shard) {
    shards_[shard].next_broadcast_at_s = now + kIncarnationBroadcastPeriodS;
    outgoing_.push_back(
        {true, {IncarnationMessage::Kind::incarnation_announced, shard, shards_[shard].incarnation}});
}

// Adopts an incarnation that is higher than this ingress's.
void CounterIncarnation::adopt_incarnation(double now, unsigned shard, std::uint64_t incarnation) {
    ShardState& state = shards_[shard];
    if (incarnation <= state.incarnation) return;
    // The first incarnation that is received does not mean a loss, as it may have been incremented before
    // this process started.
    const bool provisional = state.incarnation == 0 || now < state.incarnation_provisional_until_s;
    if (!provisional && !state.loss_known_locally) confirmed_losses_.push_back(shard);
    state.incarnation = incarnation;
    state.loss_suspected = false;
    state.loss_known_locally = false;
}

void CounterIncarnation::on_message(double now, const IncarnationMessage& message) {
    if (message.shard >= shards_.size()) return;
    if (message.kind == IncarnationMessage::Kind::loss_suspected)
        on_loss_suspected(now, message);
    else
        on_incarnation_announced(now, message);
}

void CounterIncarnation::on_loss_suspected(double now, const IncarnationMessage& message) {
    ShardState& state = shards_[message.shard];
    if (!is_leader_) return;
    if (message.incarnation < state.incarnation) {   // the sender missed the last broadcast
        broadcast_incarnation(now, message.shard);
        return;
    }
    if (state.loss_to_verify) return;
    adopt_incarnation(now, message.shard, message.incarnation);
    state.loss_to_verify = true;
    request_read(now, message.shard);
}

void CounterIncarnation::on_incarnation_announced(double now, const IncarnationMessage& message) {
    ShardState& state = shards_[message.shard];
    if (message.incarnation < state.incarnation && !is_leader_)   // a new leader that missed the last loss
        outgoing_.push_back(
            {false, {IncarnationMessage::Kind::incarnation_announced, message.shard, state.incarnation}});
    if (message.incarnation == state.incarnation) {   // the leader knows of no further loss
        state.loss_suspected = false;
        state.loss_known_locally = false;
    }
    adopt_incarnation(now, message.shard, message.incarnation);
}

void CounterIncarnation::on_timer(double now) {
    next_deadline_s_ = now + kIncarnationReadPeriodS;
    for (unsigned shard = 0; shard < shards_.size(); ++shard) {
        if (now >= shards_[shard].last_read_at_s + kIncarnationReadPeriodS) request_read(now, shard);
        if (is_leader_)
            on_leader_timer(now, shard);
        else
            on_follower_timer(now, shard);
        next_deadline_s_ =
            std::min(next_deadline_s_, shards_[shard].last_read_at_s + kIncarnationReadPeriodS);
    }
}

void CounterIncarnation::on_leader_timer(double now, unsigned shard) {
    ShardState& state = shards_[shard];
    if (state.incarnation == 0) {
        state.incarnation = 1;
        state.incarnation_provisional_until_s = now + 2 * kIncarnationBroadcastPeriodS;
    }
    if (now >= state.next_broadcast_at_s) broadcast_incarnation(now, shard);
}

void CounterIncarnation::on_follower_timer(double now, unsigned shard) {
    ShardState& state = shards_[shard];
    if (!state.loss_suspected) return;
    if (now >= state.last_reported_at_s + kLossReportRetryS) {
        state.last_reported_at_s = now;
        outgoing_.push_back({false, {IncarnationMessage::Kind::loss_suspected, shard, state.incarnation}});
    }
    next_deadline_s_ = std::min(next_deadline_s_, state.last_reported_at_s + kLossReportRetryS);
}

}   // namespace slatejunction::quota
