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

inline constexpr std::size_t kRecordsKept = 50'000;
inline constexpr std::size_t kBytesKept = 16'000'000;

struct ReplicaSettings {
    std::string name;
    std::size_t records_kept = kRecordsKept, bytes_kept = kBytesKept;
    std::size_t compact_after = 10'000;   // records appended to the home, until it is compacted
};

class Replica {
  public:
    // `process`: drawn for this life, never 0. `home` lives longer.
    Replica(const ReplicaSettings& settings, std::uint64_t process, ReplicaStored stored,
            ReplicaStorage& home);

    // Prepare, Inspect, Fetch, Append, SnapshotPart, PartPull of a source; others are passed over.
    void receive(double now, const std::string& from, const Message& message);
    void wake(double now);
    double due() const { return taker_.due(); }   // s
    std::vector<OutgoingMessage> take_posts() { return std::exchange(posts_, {}); }

    const Log& log() const { return log_; }
    std::uint64_t committed() const { return committed_; }   // never falls
    const Staging& staging() const { return staging_; }
    std::uint64_t promised() const { return promised_; }
    bool remembers() const { return remembers_; }
    const std::string& leader() const { return source_; }   // whose append was taken last; empty: nobody's
    double heard_at() const { return heard_at_; }           // s; when that was
    bool disk_failed() const { return disk_failed_; }       // the last thing to keep could not be kept
    // Committed records here differ from a source's: it takes nothing of it.
    bool diverged() const { return diverged_; }
    // Goes up when committed() or staging() changed: the feeder is to be told then.
    std::uint64_t changes() const { return changes_; }

  private:
    void on(double now, const std::string& from, const Prepare& message);
    void on(double now, const std::string& from, const Inspect& message);
    void on(double now, const std::string& from, const Fetch& message);
    void on(double now, const std::string& from, const Append& message);
    void on(double now, const std::string& from, const PartPull& message);
    void on(double now, const std::string& from, const SnapshotPart& message);
    template <class Other>
    void on(double, const std::string&, const Other&) {}
    bool promise(std::uint64_t term);
    bool match(const Append& message, Appended& answer);
    bool add(const Append& message);
    void take_whole();
    Appended answer_to(std::uint64_t term) const;
    void commit(std::uint64_t number);
    void compact();
    void post(const std::string& to, const Message& message) { posts_.push_back({to, body_of(message)}); }

    const ReplicaSettings settings_;
    const std::uint64_t process_;
    ReplicaStorage& home_;
    bool remembers_;
    std::uint64_t promised_, committed_;
    std::uint64_t promised_to_ = 0;   // the nonce of the Prepare, since this process began
    Log log_;
    Staging staging_;
    std::string source_;
    double heard_at_ = -1e18;
    bool disk_failed_ = false, diverged_ = false;
    std::uint64_t changes_ = 0;
    std::size_t since_compact_ = 0;
    SnapshotTaker taker_;
    std::string taking_from_;
    std::optional<Snapshot> given_;   // to a source that is far behind
    std::vector<OutgoingMessage> posts_;
};

}   // namespace slatejunction::rollout
