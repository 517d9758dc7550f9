// Leader: recovers a term by collecting promises and log status and adopting a log (Paxos, phase 1).
#include <algorithm>

#include "rollout/leader.hpp"

namespace slatejunction::rollout {
namespace {

// Attempts of one recovery step before a new round begins; each round allows one more than the one before.
constexpr unsigned kMaxRoundAttempts = 3;
constexpr std::uint64_t kMaxRounds = (1u << kRoundBits) - 1;

// Whether a log is more up to date than another: by its last term, then by its last number.
bool more_up_to_date(std::uint64_t term, std::uint64_t number, std::uint64_t than_term,
                     std::uint64_t than_number) {
    return term != than_term ? term > than_term : number > than_number;
}

}   // namespace

void Leader::begin_round(double now) {
    if (round_ >= kMaxRounds) return fence();
    ++round_;
    term_ = term_of(fencing_token_, round_);
    phase_ = Phase::collecting_promises;
    staging_deadline_ = kNever;
    snapshot_receiver_.reset();
    attempts_ = 0;
    for (auto& [name, replica] : replicas_) {
        const std::uint64_t lost = replica.storage_lost_process;
        replica = {};
        replica.storage_lost_process = lost;
        replica.learner_process = lost;
        send(name, Prepare{term_, nonce_});
    }
    round_retry_at_ = now + settings_.retry_interval_s;
}

void Leader::fence() {
    if (phase_ == Phase::fenced) return;
    phase_ = Phase::fenced;
    round_retry_at_ = kNever;
    staging_deadline_ = kNever;
    events_.push_back({LeaderEvent::Kind::fenced, 0, {}, {}});
}

// Handles a promised term above that of this leader: a higher fencing token fences the leader; with the
// same token, promised to another process under this lease, the leader begins a round above it. Returns
// whether either happened.
bool Leader::superseded_by(double now, std::uint64_t promised) {
    if (promised <= term_) return false;
    if (fencing_token_of(promised) > fencing_token_) {
        fence();
        return true;
    }
    round_ = promised & kMaxRounds;
    begin_round(now);
    return true;
}

void Leader::handle(double now, const std::string& from, const Promise& message) {
    ReplicaProgress& replica = replicas_[from];
    if (superseded_by(now, message.promised) || message.term != term_) return;
    if (phase_ != Phase::collecting_promises) return;
    if (!message.granted) return begin_round(now);
    replica.process = message.process;
    replica.promised = true;
    replica.storage_intact = message.storage_intact;
    if (!message.storage_intact) replica.storage_lost_process = message.process;
    if (!has_quorum([](const ReplicaProgress& progress) { return progress.promised; })) return;
    phase_ = Phase::collecting_status;
    attempts_ = 0;
    request_log_status(now);
}

// A quorum is a majority of the replicas, all with intact storage, or every replica. Neither can miss a
// committed record.
template <class Has>
bool Leader::has_quorum(Has has) const {
    std::size_t all = 0;
    std::size_t intact = 0;
    for (const auto& [name, replica] : replicas_) {
        all += has(replica);
        intact += has(replica) && replica.storage_intact;
    }
    return intact >= quorum_size() || all == replicas_.size();
}

void Leader::request_log_status(double now) {
    round_retry_at_ = now + settings_.retry_interval_s;
    // The number of attempts grows with the rounds, so that recovery also completes on slow links.
    ++attempts_;
    if (attempts_ > kMaxRoundAttempts + round_) return begin_round(now);
    for (auto& [name, replica] : replicas_)
        if (replica.promised && !replica.log_status) send(name, LogStatusRequest{term_});
}

void Leader::handle(double now, const std::string& from, const LogStatus& message) {
    if (phase_ != Phase::collecting_status || message.term != term_) return;
    ReplicaProgress& replica = replicas_[from];
    if (!replica.promised) return;
    // The process that promised has restarted since, and its promise may be lost.
    if (replica.process != message.process) return begin_round(now);
    replica.log_status = message;
    replica.storage_intact = message.storage_intact;
    if (has_quorum([](const ReplicaProgress& progress) { return progress.log_status.has_value(); }))
        adopt_best_log(now);
}

// Adopts the most up-to-date log of the quorum (Raft, election restriction: last term, then last number).
void Leader::adopt_best_log(double now) {
    std::size_t intact = 0;
    bool any_data = false;
    for (const auto& [name, replica] : replicas_) {
        if (!replica.log_status) continue;
        intact += replica.storage_intact;
        any_data = any_data || replica.storage_intact || replica.log_status->last.number > 0;
    }
    if (intact < quorum_size() && any_data)
        events_.push_back({LeaderEvent::Kind::majority_lost, 0, {}, {}});
    best_replica_.clear();
    std::uint64_t term = log_.last_term();
    std::uint64_t number = log_.last().number;
    for (const auto& [name, replica] : replicas_) {
        if (!replica.log_status) continue;
        reported_commit_index_ = std::max(reported_commit_index_, replica.log_status->committed);
        // A cleared number is committed, whichever replica reports it.
        staging_.cleared = std::max(staging_.cleared, replica.log_status->cleared);
        reported_commit_index_ = std::max(reported_commit_index_, staging_.cleared);
        if (!replica.storage_intact && intact >= quorum_size()) continue;
        if (!more_up_to_date(replica.log_status->last_term, replica.log_status->last.number, term, number))
            continue;
        best_replica_ = name;
        term = replica.log_status->last_term;
        number = replica.log_status->last.number;
    }
    if (best_replica_.empty()) return become_ready(now);
    phase_ = Phase::fetching_log;
    attempts_ = 0;
    fetch_back_step_ = 1;
    fetch_after_ = std::min(number, log_.last().number);
    fetch_records(now);
}

void Leader::fetch_records(double now) {
    round_retry_at_ = now + settings_.retry_interval_s;
    send(best_replica_, FetchRequest{term_, fetch_after_});
}

void Leader::handle(double now, const std::string& from, const FetchReply& message) {
    if (phase_ != Phase::fetching_log || message.term != term_ || from != best_replica_) return;
    attempts_ = 0;
    const Version target = replicas_[best_replica_].log_status->last;
    if (!log_.contains(message.previous)) {
        // Ignores a reply to an earlier request.
        if (message.previous.number != fetch_after_) return;
        if (fetch_after_ <= log_.base().number) {
            log_ = {};
            fetch_after_ = 0;
        } else {
            fetch_after_ =
                std::max(log_.base().number, fetch_after_ - std::min(fetch_after_, fetch_back_step_));
            fetch_back_step_ *= 2;
        }
        return fetch_records(now);
    }
    Version version = message.previous;
    for (const Record& record : message.records) {
        version = next_version(version, record);
        if (log_.contains(version)) continue;
        log_.truncate(record.number - 1);
        log_.push(record);
    }
    if (log_.contains(target)) {
        log_.truncate(target.number);
        return become_ready(now);
    }
    fetch_after_ = std::min(version.number, target.number);
    if (message.end) fetch_records(now);
}

void Leader::handle(double now, const std::string& from, const SnapshotPart& message) {
    if (phase_ != Phase::fetching_log || from != best_replica_) return;
    attempts_ = 0;
    snapshot_receiver_.receive(now, message);
    if (const auto request = snapshot_receiver_.next_request(now)) send(best_replica_, *request);
    auto snapshot = snapshot_receiver_.take_snapshot();
    if (!snapshot) return;
    log_ = Log(snapshot->version, snapshot->term, std::move(snapshot->state));
    fetch_after_ = snapshot->version.number;
    if (log_.last() == replicas_[best_replica_].log_status->last) return become_ready(now);
    fetch_records(now);
}

void Leader::become_ready(double now) {
    phase_ = Phase::ready;
    round_retry_at_ = kNever;
    commit_index_ = std::max(commit_index_, std::min(reported_commit_index_, log_.last().number));
    staging_.term = term_;
    if (staging_.cleared < commit_index_ && uncleared_commits_.empty())
        uncleared_commits_.emplace_back(now, commit_index_);
    for (auto& [name, replica] : replicas_) {
        replica.probing = true;
        replica.probe_index = replica.log_status && log_.contains_number(replica.log_status->last.number)
                                  ? replica.log_status->last.number
                                  : log_.last().number;
    }
    events_.push_back({LeaderEvent::Kind::ready, commit_index_, {}, {}});
    // Adopted records of older terms are committed by a record of this term (Raft, 5.4.2).
    if (log_.last().number > commit_index_)
        append_record(now, {0, 0, RecordKind::no_op, {}, {}, 0});
    else
        replicate_all(now);
    advance_staging(now);
}

// Repeats the unanswered requests of the current round.
void Leader::retry_round(double now) {
    round_retry_at_ = now + settings_.retry_interval_s;
    if (phase_ == Phase::collecting_promises)
        for (const auto& [name, replica] : replicas_)
            if (!replica.promised) send(name, Prepare{term_, nonce_});
    if (phase_ == Phase::collecting_status) request_log_status(now);
    if (phase_ != Phase::fetching_log) return;
    // The chosen replica may be down; a later quorum without it still has every committed record.
    ++attempts_;
    if (attempts_ > kMaxRoundAttempts + round_) return begin_round(now);
    if (!snapshot_receiver_.active()) fetch_records(now);
}

}   // namespace slatejunction::rollout
