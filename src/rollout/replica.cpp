#include "rollout/replica.hpp"

#include <algorithm>

#include "rollout/batch.hpp"

namespace slatejunction::rollout {
namespace {

constexpr std::size_t kMaxFetchReplies = 32;   // to one FetchRequest

}   // namespace

Replica::Replica(const ReplicaSettings& settings, std::uint64_t process, ReplicaStored stored,
                 ReplicaStorage& storage)
    : settings_(settings),
      process_(process),
      storage_(storage),
      storage_intact_(stored.storage_intact),
      promised_(stored.promised),
      commit_index_(std::clamp(stored.commit_index, stored.log.base().number, stored.log.last().number)),
      log_(std::move(stored.log)) {}

void Replica::receive(double now, const std::string& from, const Message& message) {
    std::visit([&](const auto& typed) { handle(now, from, typed); }, message);
}

void Replica::on_timer(double now) {
    if (const auto request = snapshot_receiver_.next_request(now)) send(snapshot_sender_, *request);
}

bool Replica::promise(std::uint64_t term) {
    if (term <= promised_) return term == promised_;
    disk_failed_ = !storage_.save_promise(term, storage_intact_);
    if (disk_failed_) return false;
    promised_ = term;
    promised_nonce_ = 0;
    return true;
}

void Replica::handle(double, const std::string& from, const Prepare& message) {
    const bool newer = message.term > promised_;
    if (newer && !promise(message.term)) return;
    if (newer) promised_nonce_ = message.nonce;
    // Not granted if the term was promised to another process, or before this process started: the leader
    // must then begin another round.
    const bool granted = message.term == promised_ && promised_nonce_ == message.nonce;
    send(from, Promise{message.term, promised_, process_, storage_intact_, granted});
}

void Replica::handle(double, const std::string& from, const LogStatusRequest& message) {
    if (message.term < promised_)
        return send(from, Promise{message.term, promised_, process_, storage_intact_});
    if (!promise(message.term)) return;
    send(from, LogStatus{message.term, process_, storage_intact_, log_.last(), log_.last_term(),
                         commit_index_, log_.base().number, staging_.cleared});
}

void Replica::handle(double, const std::string& from, const FetchRequest& message) {
    if (message.term != promised_) return;
    if (message.after < log_.base().number) {
        if (!outgoing_snapshot_ || !log_.contains_number(outgoing_snapshot_->version().number))
            outgoing_snapshot_.emplace(log_.version(commit_index_), log_.term(commit_index_),
                                       log_.state_at(commit_index_));
        return send(from, outgoing_snapshot_->part(0, staging_));
    }
    std::uint64_t at = std::min(message.after, log_.last().number);
    for (std::size_t replies = 0; replies < kMaxFetchReplies; ++replies) {
        FetchReply reply{message.term, log_.version(at), {}, false};
        reply.records = next_batch(log_, at, log_.last().number);
        at += reply.records.size();
        reply.end = at == log_.last().number || replies + 1 == kMaxFetchReplies;
        send(from, reply);
        if (reply.end) return;
    }
}

AppendReply Replica::make_reply(std::uint64_t term) const {
    return {term, promised_, process_, storage_intact_, false, log_.last(), commit_index_, false};
}

void Replica::handle(double now, const std::string& from, const Append& message) {
    if (message.term < promised_) return send(from, make_reply(message.term));
    AppendReply reply = make_reply(message.term);
    if (!promise(message.term)) {
        reply.disk_failed = true;
        return send(from, reply);
    }
    disk_failed_ = false;
    leader_ = from;
    last_append_at_ = now;
    const Staging before = staging_;
    staging_.merge(message.staging);
    if (staging_ != before) ++changes_;
    reply = make_reply(message.term);
    if (log_matches(message, reply) && append_missing(message)) {
        reply = make_reply(message.term);
        const std::uint64_t matched = message.previous.number + message.records.size();
        reply.matches = true;
        reply.last = log_.version(matched);
        advance_commit_index(std::min(message.committed, matched));
        reply.committed = commit_index_;
        if (message.admit && !storage_intact_) {
            disk_failed_ = !storage_.save_promise(promised_, true);
            storage_intact_ = !disk_failed_;
            reply.storage_intact = storage_intact_;
        }
    }
    reply.disk_failed = disk_failed_;
    send(from, reply);
}

// Whether the previous version of the append is in the log (log matching).
bool Replica::log_matches(const Append& message, AppendReply& reply) {
    if (log_.contains(message.previous)) return true;
    const std::uint64_t number = message.previous.number;
    if (!log_.contains_number(number)) return false;   // the reply contains the last version
    // A conflict up to the commit index means that the logs have diverged. The leader probes next at the
    // commit index, up to which the logs of all leaders agree.
    if (number <= commit_index_) diverged_ = true;
    reply.last = log_.version(std::min(commit_index_, log_.last().number));
    return false;
}

// Appends the missing records and drops a conflicting suffix before that. Returns false if nothing was
// appended; the conflicting suffix may have been dropped.
bool Replica::append_missing(const Append& message) {
    std::size_t known = 0;
    Version version = message.previous;
    for (const Record& record : message.records) {
        const Version next = next_version(version, record);
        if (!log_.contains(next)) break;
        version = next;
        ++known;
    }
    if (known == message.records.size()) return true;
    const std::uint64_t start = version.number;
    if (start < log_.last().number) {
        if (start < commit_index_) {
            diverged_ = true;
            return false;
        }
        disk_failed_ = !storage_.truncate(start);
        if (disk_failed_) return false;
        log_.truncate(start);
    }
    const std::vector<Record> missing(message.records.begin() + static_cast<std::ptrdiff_t>(known),
                                      message.records.end());
    for (const Record& record : missing)
        if (!log_.push(record)) {
            log_.truncate(start);
            return false;
        }
    disk_failed_ = !storage_.append(missing);
    if (disk_failed_) {
        log_.truncate(start);
        return false;
    }
    records_since_compaction_ += missing.size();
    return true;
}

void Replica::advance_commit_index(std::uint64_t number) {
    if (number <= commit_index_) return;
    commit_index_ = number;
    ++changes_;
    storage_.save_commit_index(number);
    log_.trim(settings_.max_log_records, settings_.max_log_bytes,
              std::min(commit_index_, staging_.cleared));
    if (records_since_compaction_ >= settings_.compact_after_records) compact();
}

void Replica::compact() {
    // A failure leaves the stored log unchanged; the next compaction tries again.
    records_since_compaction_ = 0;
    storage_.replace(log_, commit_index_);
}

void Replica::handle(double, const std::string& from, const SnapshotPartRequest& message) {
    if (!outgoing_snapshot_ || outgoing_snapshot_->version() != message.version) return;
    for (std::uint32_t i = 0; i < std::min(message.count, SnapshotReceiver::kWindowParts); ++i)
        if (message.from + i < outgoing_snapshot_->parts())
            send(from, outgoing_snapshot_->part(message.from + i, staging_));
}

void Replica::handle(double now, const std::string& from, const SnapshotPart& message) {
    // A leader sends snapshots of committed versions only; the append that follows verifies the log.
    if (message.version.number <= commit_index_ || log_.contains(message.version)) return;
    snapshot_sender_ = from;
    snapshot_receiver_.receive(now, message);
    if (const auto request = snapshot_receiver_.next_request(now)) send(from, *request);
    install_snapshot();
}

void Replica::install_snapshot() {
    const auto snapshot = snapshot_receiver_.take_snapshot();
    if (!snapshot || snapshot->version.number <= commit_index_ || log_.contains(snapshot->version)) return;
    const Log log(snapshot->version, snapshot->term, snapshot->state);
    disk_failed_ = !storage_.replace(log, snapshot->version.number);
    if (disk_failed_) return;
    log_ = log;
    records_since_compaction_ = 0;
    commit_index_ = snapshot->version.number;
    ++changes_;
}

}   // namespace slatejunction::rollout
