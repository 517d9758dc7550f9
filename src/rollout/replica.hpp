// A control machine's copy of the log: promises terms, takes appends, answers what it has. No I/O or clock.
//
// What it keeps to, and what safety rests on:
//  1. It takes nothing under a term below the highest that it has promised, and promises durably.
//  2. An append is taken only where its previous version, number and chain, is in the log; records of a
//     suffix that conflicts with it are dropped, never one that is committed.
//  3. What it answers to have is durable.
//  4. Without what it had (a lost disk) it says so in every answer, until a source admits it: one that has
//     read a majority of the others after it heard of the loss (source.hpp).
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
    std::size_t compact_after_records = 10'000;   // records appended to the home, until it is compacted
};

class Replica {
  public:
    // `process`: drawn for this life, never 0. `home` lives longer.
    Replica(const ReplicaSettings& settings, std::uint64_t process, ReplicaStored stored,
            ReplicaStorage& home);

    // Prepare, Inspect, Fetch, Append, SnapshotPart, PartPull of a source; others are passed over.
    void receive(double now, const std::string& from, const Message& message);
    void on_timer(double now);
    double next_deadline() const { return snapshot_receiver_.next_deadline(); }   // s
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }

    const Log& log() const { return log_; }
    std::uint64_t commit_index() const { return commit_index_; }   // never falls
    const Staging& staging() const { return staging_; }
    std::uint64_t promised() const { return promised_; }
    bool storage_intact() const { return storage_intact_; }
    const std::string& leader() const { return leader_; }   // whose append was taken last; empty: nobody's
    double last_append_at() const { return last_append_at_; }   // s; when that was
    bool disk_failed() const { return disk_failed_; }           // the last thing to keep could not be kept
    // Committed records here differ from a source's: it takes nothing of it.
    bool diverged() const { return diverged_; }
    // Goes up when committed() or staging() changed: the feeder is to be told then.
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
    bool log_matches(const Append& message, AppendReply& answer);
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
    std::uint64_t promised_nonce_ = 0;   // the nonce of the Prepare, since this process began
    Log log_;
    Staging staging_;
    std::string leader_;
    double last_append_at_ = -1e18;
    bool disk_failed_ = false, diverged_ = false;
    std::uint64_t changes_ = 0;
    std::size_t records_since_compaction_ = 0;
    SnapshotReceiver snapshot_receiver_;
    std::string snapshot_sender_;
    std::optional<Snapshot> outgoing_snapshot_;   // to a source that is far behind
    std::vector<OutgoingMessage> outgoing_;
};

}   // namespace slatejunction::rollout
