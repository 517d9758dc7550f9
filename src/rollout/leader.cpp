#include "rollout/leader.hpp"

#include <algorithm>
#include <limits>

#include "rollout/batch.hpp"

namespace slatejunction::rollout {
namespace {

constexpr std::size_t kMaxInFlightRecords = 2'000;   // records sent to a replica and not answered
constexpr unsigned kMaxRoundAttempts = 3;            // tries, until all is begun anew
constexpr double kReadmitIntervalS = 5;              // s between readings for the sake of a replica
constexpr std::uint64_t kMaxRounds = (1u << kRoundBits) - 1;

// A log is ahead of another by its last term, then by its length.
bool more_up_to_date(std::uint64_t term, std::uint64_t number, std::uint64_t than_term,
                     std::uint64_t than_number) {
    return term != than_term ? term > than_term : number > than_number;
}

}   // namespace

Leader::Leader(const LeaderSettings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

void Leader::begin_term(double now, std::uint64_t fencing, const Log& own) {
    end_term();
    fencing_token_ = fencing;
    nonce_ = random_();
    log_ = own;
    for (const std::string& name : settings_.replicas) replicas_[name] = {};
    begin_round(now);
}

void Leader::end_term() {
    phase_ = Phase::inactive;
    term_ = round_ = fencing_token_ = 0;
    commit_index_ = reported_commit_index_ = 0;
    staging_ = {};
    log_ = {};
    replicas_.clear();
    reports_.clear();
    canaries_.clear();
    uncleared_commits_.clear();
    refused_numbers_.clear();
    snapshot_receiver_.reset();
    outgoing_snapshot_.reset();
    round_retry_at_ = staging_deadline_ = 1e18;
    readmit_at_ = 0;
}

// --- reading

void Leader::begin_round(double now) {
    if (round_ >= kMaxRounds) return fence();
    ++round_;
    term_ = term_of(fencing_token_, round_);
    phase_ = Phase::collecting_promises;
    staging_deadline_ = 1e18;   // staging goes on when this one is ready again
    snapshot_receiver_.reset();
    attempts_ = 0;
    for (auto& [name, peer] : replicas_) {
        const std::uint64_t lost = peer.storage_lost_process;
        peer = {};
        peer.storage_lost_process = peer.learner_process = lost;
        send(name, Prepare{term_, nonce_});
    }
    round_retry_at_ = now + settings_.retry_interval_s;
}

void Leader::fence() {
    if (phase_ == Phase::fenced) return;
    phase_ = Phase::fenced;
    round_retry_at_ = staging_deadline_ = 1e18;
    events_.push_back({LeaderEvent::Kind::fenced, 0, {}, {}});
}

// Whether a higher term was promised to somebody; the reading begins anew, or ends.
bool Leader::superseded_by(double now, std::uint64_t promised) {
    if (promised <= term_) return false;
    if (fencing_of(promised) > fencing_token_) {
        fence();
        return true;
    }
    // Another process of this very lease, before this one.
    round_ = promised & kMaxRounds;
    begin_round(now);
    return true;
}

void Leader::handle(double now, const std::string& from, const Promise& message) {
    ReplicaProgress& peer = replicas_[from];
    if (superseded_by(now, message.promised) || message.term != term_) return;
    if (phase_ != Phase::collecting_promises) return;
    if (!message.granted) return begin_round(now);
    peer.process = message.process;
    peer.promised = true;
    peer.storage_intact = message.storage_intact;
    if (!message.storage_intact) peer.storage_lost_process = message.process;
    if (!has_quorum([](const ReplicaProgress& one) { return one.promised; })) return;
    phase_ = Phase::collecting_status;
    attempts_ = 0;
    request_log_status(now);
}

// A majority of those that remember, or all there are: then nothing is anywhere else.
template <class Has>
bool Leader::has_quorum(Has has) const {
    std::size_t all = 0, remember = 0;
    for (const auto& [name, peer] : replicas_) {
        all += has(peer);
        remember += has(peer) && peer.storage_intact;
    }
    return remember >= quorum_size() || all == replicas_.size();
}

void Leader::request_log_status(double now) {
    round_retry_at_ = now + settings_.retry_interval_s;
    if (++attempts_ > kMaxRoundAttempts + round_)
        return begin_round(now);   // patience grows, for links that are slow
    for (auto& [name, peer] : replicas_)
        if (peer.promised && !peer.log_status) send(name, LogStatusRequest{term_});
}

void Leader::handle(double now, const std::string& from, const LogStatus& message) {
    if (phase_ != Phase::collecting_status || message.term != term_) return;
    ReplicaProgress& peer = replicas_[from];
    if (!peer.promised) return;
    // What promised is not what answers: the promise may be forgotten with the rest.
    if (peer.process != message.process) return begin_round(now);
    peer.log_status = message;
    peer.storage_intact = message.storage_intact;
    if (has_quorum([](const ReplicaProgress& one) { return one.log_status.has_value(); }))
        adopt_best_log(now);
}

// Adopts the log that is ahead of all others.
void Leader::adopt_best_log(double now) {
    std::size_t remember = 0;
    bool any = false;
    for (const auto& [name, peer] : replicas_) {
        if (!peer.log_status) continue;
        remember += peer.storage_intact;
        any = any || peer.storage_intact || peer.log_status->last.number > 0;
    }
    if (remember < quorum_size() && any) events_.push_back({LeaderEvent::Kind::majority_lost, 0, {}, {}});
    best_replica_.clear();
    std::uint64_t term = log_.last_term(), number = log_.last().number;
    for (const auto& [name, peer] : replicas_) {
        if (!peer.log_status) continue;
        reported_commit_index_ = std::max(reported_commit_index_, peer.log_status->committed);
        // What is cleared is committed, whoever says it.
        staging_.cleared = std::max(staging_.cleared, peer.log_status->cleared);
        reported_commit_index_ = std::max(reported_commit_index_, staging_.cleared);
        if (!peer.storage_intact && remember >= quorum_size()) continue;
        if (!more_up_to_date(peer.log_status->last_term, peer.log_status->last.number, term, number))
            continue;
        best_replica_ = name;
        term = peer.log_status->last_term;
        number = peer.log_status->last.number;
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
    const Version wanted = replicas_[best_replica_].log_status->last;
    if (!log_.contains(message.previous)) {
        // An answer that came out of order is not one to what was asked last.
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
    for (const Record& one : message.records) {
        version = after(version, one);
        if (log_.contains(version)) continue;
        log_.truncate(one.number - 1);
        log_.push(one);
    }
    if (log_.contains(wanted)) {
        log_.truncate(wanted.number);
        return become_ready(now);
    }
    fetch_after_ = std::min(version.number, wanted.number);
    if (message.end) fetch_records(now);
}

void Leader::handle(double now, const std::string& from, const SnapshotPart& message) {
    if (phase_ != Phase::fetching_log || from != best_replica_) return;
    attempts_ = 0;
    snapshot_receiver_.receive(now, message);
    if (const auto ask = snapshot_receiver_.next_request(now)) send(best_replica_, *ask);
    auto whole = snapshot_receiver_.take_snapshot();
    if (!whole) return;
    log_ = Log(whole->version, whole->term, std::move(whole->state));
    fetch_after_ = whole->version.number;
    if (log_.last() == replicas_[best_replica_].log_status->last) return become_ready(now);
    fetch_records(now);
}

void Leader::become_ready(double now) {
    phase_ = Phase::ready;
    round_retry_at_ = 1e18;
    commit_index_ = std::max(commit_index_, std::min(reported_commit_index_, log_.last().number));
    staging_.term = term_;
    if (staging_.cleared < commit_index_ && uncleared_commits_.empty())
        uncleared_commits_.emplace_back(now, commit_index_);
    for (auto& [name, peer] : replicas_) {
        peer.probing = true;
        peer.probe_index = peer.log_status && log_.contains_number(peer.log_status->last.number)
                               ? peer.log_status->last.number
                               : log_.last().number;
    }
    events_.push_back({LeaderEvent::Kind::ready, commit_index_, {}, {}});
    // What is adopted counts once a record of this term that follows it has a majority.
    if (log_.last().number > commit_index_)
        append_record(now, {0, 0, Kind::none, {}, {}, 0});
    else
        replicate_all(now);
    advance_staging(now);
}

// --- replication

void Leader::replicate_all(double now) {
    for (auto& [name, peer] : replicas_) replicate(now, name, peer);
}

void Leader::replicate(double now, const std::string& name, ReplicaProgress& peer) {
    if (now < peer.backoff_until) {
        peer.next_send_at = peer.backoff_until;
        return;
    }
    // What waits for an answer is sent again in its time, however much comes after it.
    const bool lacks = peer.match_index < log_.last().number;
    const double again = now + (lacks ? settings_.retry_interval_s : settings_.heartbeat_interval_s);
    peer.next_send_at = lacks && peer.next_send_at > now ? std::min(peer.next_send_at, again) : again;
    if (peer.diverged) return;
    const std::uint64_t last = log_.last().number;
    if (peer.probing && peer.probe_index < log_.base().number) return send_snapshot(name);
    std::uint64_t at = peer.probing ? peer.probe_index : std::max(peer.last_sent, log_.base().number);
    if (!peer.probing && at < peer.match_index) at = peer.match_index;
    bool first = true;
    while (first || (!peer.probing && at < last && at < peer.match_index + kMaxInFlightRecords)) {
        first = false;
        Append message{term_, log_.version(at), {}, commit_index_, staging_, false};
        if (!peer.probing) message.records = next_batch(log_, at, last);
        at += message.records.size();
        message.admit = peer.admitting_learner && at == last;
        send(name, message);
    }
    if (!peer.probing) peer.last_sent = at;
}

void Leader::send_snapshot(const std::string& name) {
    if (!outgoing_snapshot_ || outgoing_snapshot_->version().number < log_.base().number)
        outgoing_snapshot_.emplace(log_.version(commit_index_), log_.term(commit_index_),
                                   log_.state_at(commit_index_));
    send(name, outgoing_snapshot_->part(0, staging_));
    // Is answered as one that matches once the snapshot is taken.
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
    ReplicaProgress& peer = replicas_[from];
    if (peer.process != message.process) {
        // It began anew, perhaps without what it had: nothing of before counts.
        peer.process = message.process;
        peer.match_index = peer.last_sent = 0;
        peer.probing = true;
        peer.probe_index = log_.last().number;
        peer.admitting_learner = false;
    }
    const bool was_learner = peer.admitting_learner && !peer.storage_intact;
    peer.storage_intact = message.storage_intact;
    if (!message.storage_intact) peer.storage_lost_process = message.process;
    if (was_learner && message.storage_intact) {
        peer.admitting_learner = false;
        events_.push_back({LeaderEvent::Kind::learner_admitted, 0, from, {}});
    }
    if (!message.matches) return handle_log_mismatch(now, from, peer, message);
    if (!log_.contains(message.last)) return;
    peer.last_ack_at = now;
    peer.probing = false;
    if (message.last.number > peer.match_index) {
        peer.match_index = message.last.number;
        peer.next_send_at = now + settings_.retry_interval_s;
    }
    peer.last_sent = std::max(peer.last_sent, peer.match_index);
    // Told before this reading began: it may be admitted in this term.
    peer.admitting_learner =
        !peer.storage_intact && !message.disk_failed && peer.learner_process == message.process;
    advance_commit_index(now);
    const bool lacks = peer.last_sent < log_.last().number || peer.admitting_learner;
    if (lacks && (peer.last_sent < log_.last().number || peer.match_index == log_.last().number))
        replicate(now, from, peer);
    readmit_learners(now);
}

// What a replica has does not fit: looks further back.
void Leader::handle_log_mismatch(double now, const std::string& from, ReplicaProgress& peer,
                                 const AppendReply& message) {
    if (message.disk_failed) {
        peer.backoff_until = now + settings_.retry_interval_s;
        peer.last_sent = peer.match_index;
        return;
    }
    const std::uint64_t next = std::min(message.last.number, log_.last().number);
    // Committed here and there, and not the same.
    if (next <= message.committed && next <= commit_index_ && log_.contains_number(next) &&
        message.last.number == next && !log_.contains(message.last)) {
        if (!peer.diverged) events_.push_back({LeaderEvent::Kind::diverged, 0, from, {}});
        peer.diverged = true;
        return;
    }
    const bool progress = !peer.probing || next != peer.probe_index;
    peer.probing = true;
    peer.probe_index = peer.last_sent = next;
    if (progress) replicate(now, from, peer);
}

void Leader::advance_commit_index(double now) {
    std::vector<std::uint64_t> matched;
    for (const auto& [name, peer] : replicas_)
        matched.push_back(peer.storage_intact ? peer.match_index : 0);
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

// For a replica that has everything and still does not count a reading is begun that began after its loss.
void Leader::readmit_learners(double now) {
    if (phase_ != Phase::ready || now < readmit_at_) return;
    const bool wanted = std::any_of(replicas_.begin(), replicas_.end(), [&](const auto& one) {
        const ReplicaProgress& peer = one.second;
        return !peer.storage_intact && peer.storage_lost_process != 0 &&
               peer.storage_lost_process == peer.process && peer.learner_process != peer.process &&
               peer.match_index == log_.last().number && !peer.probing;
    });
    if (!wanted) return;
    readmit_at_ = now + kReadmitIntervalS;
    begin_round(now);
}

// --- changes

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
    const Kind kind = value ? Kind::put : Kind::erase;
    append_record(now, {0, 0, kind, key, value.value_or(std::string()), 0});
    return {log_.last().number, ProposeError::none};
}

// --- staging

void Leader::handle(double now, const std::string& from, const FollowerReport& message) {
    reports_[from] = {now, message.report};
    advance_staging(now);
}

Report Leader::fleet_report(double now) const {
    Report all;
    for (const auto& [name, told] : reports_)
        if (now - told.received_at <= settings_.report_timeout_s) add(all, told.report);
    return all;
}

void Leader::revert_refused(double now, const Refusal& refusal) {
    if (refusal.number > commit_index_ || !refused_numbers_.insert(refusal.number).second) return;
    events_.push_back({LeaderEvent::Kind::refused, refusal.number, refusal.name, refusal.reason});
    if (log_.reverted_by(refusal.number) != 0) return;   // by the source before
    const auto revert = log_.revert_of(refusal.number);
    const bool made = revert && append_record(now, *revert);
    events_.push_back(
        {made ? LeaderEvent::Kind::reverted : LeaderEvent::Kind::irrevertible, refusal.number, {}, {}});
}

// Who the canaries are now, and since when each has what in force.
void Leader::update_canaries(double now, const Report& fleet) {
    const std::size_t count = std::min(settings_.canary_count, fleet.canaries.size());
    std::map<std::string, Canary> kept;
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const FollowerStatus& one = fleet.canaries[i];
        Canary& canary = kept[one.name];
        const auto known = canaries_.find(one.name);
        if (known != canaries_.end()) canary = std::move(known->second);
        if (canary.activations.empty() || one.active > canary.activations.back().second)
            canary.activations.emplace_back(now, one.active);
        // Of those that have stood for long enough the last one tells all.
        while (canary.activations.size() > 1 && canary.activations[1].first + settings_.canary_s <= now)
            canary.activations.pop_front();
        const std::uint64_t hash = hash_of(one.name);
        below = hash == std::numeric_limits<std::uint64_t>::max() ? hash : hash + 1;
    }
    canaries_ = std::move(kept);
    staging_.canary_below = below;
}

// When this number, committed at `at`, may be cleared by what the canaries say.
double Leader::clearance_time(double at, std::uint64_t number) const {
    const double waited = at + settings_.canary_timeout_s;
    if (canaries_.empty()) return waited;
    double when = at;
    for (const auto& [name, canary] : canaries_) {
        const auto has = std::find_if(canary.activations.begin(), canary.activations.end(),
                                      [&](const auto& one) { return one.second >= number; });
        const double ok = has == canary.activations.end() ? waited : has->first + settings_.canary_s;
        when = std::max(when, ok);
    }
    return std::min(when, waited + settings_.canary_s);
}

void Leader::advance_staging(double now) {
    if (phase_ != Phase::ready) return;
    const Report fleet = this->fleet_report(now);
    const Staging before = staging_;
    update_canaries(now, fleet);
    for (const Refusal& one : fleet.refusals) revert_refused(now, one);
    staging_deadline_ = 1e18;
    std::uint64_t cleared = staging_.cleared;
    for (const auto& [at, number] : uncleared_commits_) {
        // Who is cut off from a majority clears nothing.
        const bool heard = majority_contact_time() >= at;
        const double when =
            std::max(clearance_time(at, number), heard ? at : now + settings_.retry_interval_s / 4);
        if (when > now) {
            staging_deadline_ = std::min(staging_deadline_, when);
            continue;
        }
        cleared = std::max(cleared, log_.highest_consistent(number, log_.last().number));
    }
    if (cleared > staging_.cleared) {
        staging_.cleared = cleared;
        events_.push_back({LeaderEvent::Kind::cleared, cleared, {}, {}});
    }
    while (!uncleared_commits_.empty() && uncleared_commits_.front().second <= staging_.cleared)
        uncleared_commits_.pop_front();
    if (staging_ != before) replicate_all(now);
}

// Since when a majority has taken this source's appends.
double Leader::majority_contact_time() const {
    std::vector<double> times;
    for (const auto& [name, peer] : replicas_) times.push_back(peer.last_ack_at);
    std::sort(times.rbegin(), times.rend());
    return times[quorum_size() - 1];
}

// --- time

void Leader::receive(double now, const std::string& from, const Message& message) {
    if (phase_ == Phase::inactive || phase_ == Phase::fenced) return;
    const bool told = std::holds_alternative<FollowerReport>(message);
    if (!told && !replicas_.contains(from)) return;
    std::visit([&](const auto& one) { handle(now, from, one); }, message);
}

void Leader::on_timer(double now) {
    if (phase_ == Phase::inactive || phase_ == Phase::fenced) return;
    if (const auto ask = snapshot_receiver_.next_request(now)) send(best_replica_, *ask);
    if (now >= round_retry_at_) retry_round(now);
    if (phase_ != Phase::ready) return;
    for (auto& [name, peer] : replicas_) {
        if (now < peer.next_send_at) continue;
        peer.last_sent = peer.match_index;   // what was not answered is sent again
        replicate(now, name, peer);
    }
    if (now >= staging_deadline_) advance_staging(now);
    readmit_learners(now);
}

// Of the reading.
void Leader::retry_round(double now) {
    round_retry_at_ = now + settings_.retry_interval_s;
    if (phase_ == Phase::collecting_promises)
        for (const auto& [name, peer] : replicas_)
            if (!peer.promised) send(name, Prepare{term_, nonce_});
    if (phase_ == Phase::collecting_status) request_log_status(now);
    if (phase_ != Phase::fetching_log) return;
    // Whose log is wanted may have died: a majority without it has what is committed.
    if (++attempts_ > kMaxRoundAttempts + round_) return begin_round(now);
    if (!snapshot_receiver_.active()) fetch_records(now);
}

double Leader::next_deadline() const {
    if (phase_ == Phase::inactive || phase_ == Phase::fenced) return 1e18;
    double next = std::min({round_retry_at_, snapshot_receiver_.next_deadline(), staging_deadline_});
    if (phase_ != Phase::ready) return next;
    for (const auto& [name, peer] : replicas_) next = std::min(next, peer.next_send_at);
    return next;
}

}   // namespace slatejunction::rollout
