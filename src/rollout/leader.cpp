#include "rollout/leader.hpp"

#include <algorithm>

namespace slatejunction::rollout {

Leader::Leader(const LeaderSettings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

void Leader::begin_term(double now, std::uint64_t fencing_token, const Log& own_log) {
    end_term();
    fencing_token_ = fencing_token;
    nonce_ = random_();
    log_ = own_log;
    for (const std::string& name : settings_.replicas) replicas_[name] = {};
    begin_round(now);
}

void Leader::end_term() {
    phase_ = Phase::inactive;
    term_ = 0;
    round_ = 0;
    fencing_token_ = 0;
    commit_index_ = 0;
    reported_commit_index_ = 0;
    staging_ = {};
    log_ = {};
    replicas_.clear();
    reports_.clear();
    canaries_.clear();
    uncleared_commits_.clear();
    refused_numbers_.clear();
    snapshot_receiver_.reset();
    outgoing_snapshot_.reset();
    round_retry_at_ = kNever;
    staging_deadline_ = kNever;
    readmit_at_ = 0;
}

bool Leader::append_record(double now, Record record) {
    record.number = log_.last().number + 1;
    record.term = term_;
    if (!log_.push(record)) return false;
    replicate_all(now);
    return true;
}

ProposeOutcome Leader::propose(double now, const std::string& key,
                               const std::optional<std::string>& value) {
    if (phase_ == Phase::inactive || phase_ == Phase::fenced) return {0, ProposeError::not_leader};
    if (phase_ != Phase::ready) return {0, ProposeError::not_ready};
    if (key.empty() || key.size() > kMaxKeyBytes || (value && value->size() > kMaxValueBytes))
        return {0, ProposeError::too_large};
    if (log_.last().number - commit_index_ >= settings_.max_uncommitted)
        return {0, ProposeError::backlog_full};
    const RecordKind kind = value ? RecordKind::put : RecordKind::erase;
    append_record(now, {0, 0, kind, key, value.value_or(std::string()), 0});
    return {log_.last().number, ProposeError::none};
}

void Leader::receive(double now, const std::string& from, const Message& message) {
    if (phase_ == Phase::inactive || phase_ == Phase::fenced) return;
    const bool is_report = std::holds_alternative<FollowerReport>(message);
    if (!is_report && !replicas_.contains(from)) return;
    std::visit([&](const auto& typed) { handle(now, from, typed); }, message);
}

void Leader::on_timer(double now) {
    if (phase_ == Phase::inactive || phase_ == Phase::fenced) return;
    if (const auto request = snapshot_receiver_.next_request(now)) send(best_replica_, *request);
    if (now >= round_retry_at_) retry_round(now);
    if (phase_ != Phase::ready) return;
    for (auto& [name, replica] : replicas_) {
        if (now < replica.next_send_at) continue;
        replica.last_sent = replica.match_index;   // resends unacknowledged records
        replicate(now, name, replica);
    }
    if (now >= staging_deadline_) advance_staging(now);
    readmit_learners(now);
}

double Leader::next_deadline() const {
    if (phase_ == Phase::inactive || phase_ == Phase::fenced) return kNever;
    double next = std::min({round_retry_at_, snapshot_receiver_.next_deadline(), staging_deadline_});
    if (phase_ != Phase::ready) return next;
    for (const auto& [name, replica] : replicas_) next = std::min(next, replica.next_send_at);
    return next;
}

}   // namespace slatejunction::rollout
