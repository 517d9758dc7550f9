// The replica of the configuration log on a control machine (an acceptor in Paxos, a follower in Raft).
//
// It promises terms, appends the records that the leader of the highest promised term sends, and reports
// its log to leaders. The committed part of its log is published to followers.
//
// Safety depends on these invariants:
// - It accepts no message of a term below the highest that it promised, and its promises are durable.
// - It accepts an append only if the previous version, with number and chain, is in its log (log
//   matching). It drops a conflicting suffix, but never a committed record.
// - Everything that it reports to have is durable.
// - After it lost its storage, every reply says so until a leader admits it. Only a leader whose recovery
//   from a majority of the other replicas began after the loss was reported does that (leader.hpp,
//   learners).
//
// It does no I/O besides ReplicaStorage and reads no clock: callers pass `now` in s. Called by Driver,
// which owns it and its storage. Its state is shown by the events replica_begins and committed of the
// event log and by GET /v1/rollout.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "rollout/message.hpp"
#include "rollout/snapshot.hpp"
#include "rollout/storage.hpp"

namespace slatejunction::rollout {

inline constexpr std::size_t kMaxLogRecords = 50'000;
inline constexpr std::size_t kMaxLogBytes = 16'000'000;

struct ReplicaSettings {
    std::string name;
    std::size_t max_log_records = kMaxLogRecords, max_log_bytes = kMaxLogBytes;
    std::size_t compact_after_records = 10'000;   // appended to the storage, until it is compacted
};

/// One instance per control machine.
class Replica {
  public:
    /// `process`: the random id of this incarnation, never 0. `storage` must outlive this.
    Replica(const ReplicaSettings& settings, std::uint64_t process, ReplicaStored stored,
            ReplicaStorage& storage);

    /// Handles a Prepare, LogStatusRequest, FetchRequest, Append, SnapshotPart or SnapshotPartRequest of a
    /// leader and ignores other messages.
    void receive(double now, const std::string& from, const Message& message);
    void on_timer(double now);
    double next_deadline() const { return snapshot_receiver_.next_deadline(); }   // s
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }

    const Log& log() const { return log_; }
    std::uint64_t commit_index() const { return commit_index_; }   // never falls
    const Staging& staging() const { return staging_; }
    std::uint64_t promised() const { return promised_; }
    bool storage_intact() const { return storage_intact_; }
    const std::string& leader() const { return leader_; }   // sender of the last append; empty: none yet
    double last_append_at() const { return last_append_at_; }   // time of that append, s
    bool disk_failed() const { return disk_failed_; }           // whether the last write failed
    /// Whether committed records here differ from those of a leader, whose appends are rejected.
    bool diverged() const { return diverged_; }
    /// Incremented when commit_index() or staging() changes, so that the publisher can be updated.
    std::uint64_t changes() const { return changes_; }

  private:
    void handle(double now, const std::string& from, const Prepare& message);
    void handle(double now, const std::string& from, const LogStatusRequest& message);
    void handle(double now, const std::string& from, const FetchRequest& message);
    void handle(double now, const std::string& from, const Append& message);
    void handle(double now, const std::string& from, const SnapshotPartRequest& message);
    void handle(double now, const std::string& from, const SnapshotPart& message);
    template <class Other>
    void handle(double, const std::string&, const Other&) {}
    bool promise(std::uint64_t term);
    bool log_matches(const Append& message, AppendReply& reply);
    bool append_missing(const Append& message);
    void install_snapshot();
    AppendReply make_reply(std::uint64_t term) const;
    void advance_commit_index(std::uint64_t number);
    void compact();
    void send(const std::string& to, const Message& message) {
        outgoing_.push_back({to, body_of(message)});
    }

    const ReplicaSettings settings_;
    const std::uint64_t process_;
    ReplicaStorage& storage_;
    bool storage_intact_;
    std::uint64_t promised_, commit_index_;
    std::uint64_t promised_nonce_ = 0;   // of the Prepare that was promised by this process; 0: none
    Log log_;
    Staging staging_;
    std::string leader_;
    double last_append_at_ = -kNever;
    bool disk_failed_ = false, diverged_ = false;
    std::uint64_t changes_ = 0;
    std::size_t records_since_compaction_ = 0;
    SnapshotReceiver snapshot_receiver_;
    std::string snapshot_sender_;
    std::optional<Snapshot> outgoing_snapshot_;   // for a leader whose log is far behind
    std::vector<OutgoingMessage> outgoing_;
};

}   // namespace slatejunction::rollout
