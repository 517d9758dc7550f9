// Leader: replicates records by appends and snapshots, advances the commit index and admits learners.
#include <algorithm>

#include "rollout/batch.hpp"
#include "rollout/leader.hpp"

namespace slatejunction::rollout {
namespace {

constexpr std::size_t kMaxInFlightRecords = 2'000;   // unacknowledged records per replica
constexpr double kReadmitIntervalS = 5;              // minimum time between rounds begun to admit learners

}   // namespace

void Leader::replicate_all(double now) {
    for (auto& [name, replica] : replicas_) replicate(now, name, replica);
}

void Leader::replicate(double now, const std::string& name, ReplicaProgress& replica) {
    if (now < replica.backoff_until) {
        replica.next_send_at = replica.backoff_until;
        return;
    }
    // New records must not postpone the retry of unacknowledged ones.
    const bool incomplete = replica.match_index < log_.last().number;
    const double retry_at =
        now + (incomplete ? settings_.retry_interval_s : settings_.heartbeat_interval_s);
    replica.next_send_at =
        incomplete && replica.next_send_at > now ? std::min(replica.next_send_at, retry_at) : retry_at;
    if (replica.diverged) return;
    const std::uint64_t last = log_.last().number;
    if (replica.probing && replica.probe_index < log_.base().number) return send_snapshot(name);
    std::uint64_t at =
        replica.probing ? replica.probe_index : std::max(replica.last_sent, log_.base().number);
    if (!replica.probing && at < replica.match_index) at = replica.match_index;
    bool first = true;
    while (first || (!replica.probing && at < last && at < replica.match_index + kMaxInFlightRecords)) {
        first = false;
        Append message{term_, log_.version(at), {}, commit_index_, staging_, false};
        if (!replica.probing) message.records = next_batch(log_, at, last);
        at += message.records.size();
        message.admit = replica.admitting_learner && at == last;
        send(name, message);
    }
    if (!replica.probing) replica.last_sent = at;
}

void Leader::send_snapshot(const std::string& name) {
    if (!outgoing_snapshot_ || outgoing_snapshot_->version().number < log_.base().number)
        outgoing_snapshot_.emplace(log_.version(commit_index_), log_.term(commit_index_),
                                   log_.state_at(commit_index_));
    send(name, outgoing_snapshot_->part(0, staging_));
    // The replica acknowledges this append as matching once it has installed the snapshot.
    send(name, Append{term_, outgoing_snapshot_->version(), {}, commit_index_, staging_, false});
}

void Leader::handle(double, const std::string& from, const SnapshotPartRequest& message) {
    if (phase_ != Phase::ready || !outgoing_snapshot_) return;
    if (outgoing_snapshot_->version() != message.version)
        return send(from, outgoing_snapshot_->part(0, staging_));
    for (std::uint32_t i = 0; i < std::min(message.count, SnapshotReceiver::kWindowParts); ++i)
        if (message.from + i < outgoing_snapshot_->parts())
            send(from, outgoing_snapshot_->part(message.from + i, staging_));
}

void Leader::handle(double now, const std::string& from, const AppendReply& message) {
    if (superseded_by(now, message.promised) || phase_ != Phase::ready || message.term != term_) return;
    ReplicaProgress& replica = replicas_[from];
    if (replica.process != message.process) {
        // The replica restarted, possibly with a shorter log: its progress is unknown again.
        replica.process = message.process;
        replica.match_index = 0;
        replica.last_sent = 0;
        replica.probing = true;
        replica.probe_index = log_.last().number;
        replica.admitting_learner = false;
    }
    const bool was_learner = replica.admitting_learner && !replica.storage_intact;
    replica.storage_intact = message.storage_intact;
    if (!message.storage_intact) replica.storage_lost_process = message.process;
    if (was_learner && message.storage_intact) {
        replica.admitting_learner = false;
        events_.push_back({LeaderEvent::Kind::learner_admitted, 0, from, {}});
    }
    if (!message.matches) return handle_log_mismatch(now, from, replica, message);
    if (!log_.contains(message.last)) return;
    replica.last_ack_at = now;
    replica.probing = false;
    if (message.last.number > replica.match_index) {
        replica.match_index = message.last.number;
        replica.next_send_at = now + settings_.retry_interval_s;
    }
    replica.last_sent = std::max(replica.last_sent, replica.match_index);
    // A learner whose loss was reported before this round began may be admitted in this term.
    replica.admitting_learner =
        !replica.storage_intact && !message.disk_failed && replica.learner_process == message.process;
    advance_commit_index(now);
    const bool incomplete = replica.last_sent < log_.last().number || replica.admitting_learner;
    if (incomplete && (replica.last_sent < log_.last().number || replica.match_index == log_.last().number))
        replicate(now, from, replica);
    readmit_learners(now);
}

// Handles an append that failed log matching: probes further back.
void Leader::handle_log_mismatch(double now, const std::string& from, ReplicaProgress& replica,
                                 const AppendReply& message) {
    if (message.disk_failed) {
        replica.backoff_until = now + settings_.retry_interval_s;
        replica.last_sent = replica.match_index;
        return;
    }
    const std::uint64_t next = std::min(message.last.number, log_.last().number);
    // Both sides have committed different records under one number: the logs have diverged.
    if (next <= message.committed && next <= commit_index_ && log_.contains_number(next) &&
        message.last.number == next && !log_.contains(message.last)) {
        if (!replica.diverged) events_.push_back({LeaderEvent::Kind::diverged, 0, from, {}});
        replica.diverged = true;
        return;
    }
    const bool progress = !replica.probing || next != replica.probe_index;
    replica.probing = true;
    replica.probe_index = next;
    replica.last_sent = next;
    if (progress) replicate(now, from, replica);
}

void Leader::advance_commit_index(double now) {
    std::vector<std::uint64_t> matched;
    for (const auto& [name, replica] : replicas_)
        matched.push_back(replica.storage_intact ? replica.match_index : 0);
    std::sort(matched.rbegin(), matched.rend());
    const std::uint64_t number = matched[quorum_size() - 1];
    if (number <= commit_index_ || log_.record(number).term != term_) return;
    commit_index_ = number;
    uncleared_commits_.emplace_back(now, number);
    events_.push_back({LeaderEvent::Kind::committed, number, {}, {}});
    log_.trim(settings_.max_log_records, settings_.max_log_bytes,
              std::min(commit_index_, staging_.cleared));
    replicate_all(now);
    advance_staging(now);
}

// Begins another round if a replica that lost its storage has the complete log again but reported the loss
// only after the current round began.
void Leader::readmit_learners(double now) {
    if (phase_ != Phase::ready || now < readmit_at_) return;
    const bool found_learner = std::any_of(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
        const ReplicaProgress& replica = entry.second;
        return !replica.storage_intact && replica.storage_lost_process != 0 &&
               replica.storage_lost_process == replica.process &&
               replica.learner_process != replica.process && replica.match_index == log_.last().number &&
               !replica.probing;
    });
    if (!found_learner) return;
    readmit_at_ = now + kReadmitIntervalS;
    begin_round(now);
}

}   // namespace slatejunction::rollout
