// Publishes the committed log to children (ingresses and relays), on control machines and relays.
//
// The publisher pushes new records to children up to their activation limit, answers their pulls with
// announcements and snapshot parts, and aggregates their reports into the Report of the subtree.
//
// Invariants:
// - Only committed records are published, and records that are not cleared only to canaries.
// - A batch is encoded once for all children at the same version. A push is never repeated: a child that
//   missed it pulls.
// - At most bytes_per_s are sent to all children together (token bucket); an answer that would exceed it
//   is left to a later pull.
//
// It does no I/O and reads no clock: callers pass `now` in s. Called by Driver, which owns it; the log
// belongs to the driver's Replica or Follower. Its report is shown by GET /v1/rollout and by the metrics
// slatejunction_rollout_counted, _behind and _silent.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rollout/log.hpp"
#include "rollout/message.hpp"
#include "rollout/snapshot.hpp"

namespace slatejunction::rollout {

struct PublisherSettings {
    double batch_s = 0.1;                // how long new records wait for further ones
    double child_timeout_s = 4;          // a child without a message for this long is silent
    double child_retention_s = 86'400;   // how long a silent child is reported
    double behind_s = 11;                // a child that lacks a version cleared this long ago is behind
    std::size_t max_children = 4'096;    // further children are not answered, and use another parent
    // Of records and snapshot parts, to all children together.
    double bytes_per_s = 40'000'000;
    std::size_t window_bytes = 8'000;   // of records in the answers to one pull
    double snapshot_interval_s = 10;    // minimum time between two new snapshots
};

/// Events since the start.
struct PublisherCounts {
    std::uint64_t pulls = 0, pushes = 0, sent_bytes = 0;
    std::uint64_t batches_encoded = 0;   // for pushes; several pushes may share one
    std::uint64_t snapshots = 0;         // snapshots created
    std::uint64_t throttled = 0;         // messages not sent because of bytes_per_s
    std::uint64_t rejected_pulls = 0;    // pulls not answered because of max_children
    std::uint64_t diverged = 0;          // pulls with a version that is not part of the log
};

class Publisher {
  public:
    /// `log` must outlive this. Only records above the commit index passed to advance() may be removed from
    /// its end.
    Publisher(const PublisherSettings& settings, const Log& log);

    /// Records up to `committed` may be sent to canaries, records up to staging.cleared to all children.
    void advance(double now, std::uint64_t committed, const Staging& staging);
    /// Handles a Pull or SnapshotPartRequest of a child and ignores other messages. `process` identifies
    /// the incarnation of the child.
    void receive(double now, const std::string& from, std::uint64_t process, const Message& message);
    void on_timer(double now);
    double next_deadline() const;   // s
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }

    Report report(double now) const;
    /// Incremented when the status of a canary or a refusal changes; the report is then to be sent upstream
    /// at once.
    std::uint64_t urgent_changes() const { return urgent_changes_; }
    std::size_t children() const { return children_.size(); }   // including silent ones
    const PublisherCounts& counts() const { return counts_; }

  private:
    struct Child {
        std::uint64_t process = 0, hash = 0;
        double last_contact_at = 0;
        std::uint64_t last_sent = 0;   // number of the last record sent to it
        bool following = false;        // it has everything up to last_sent: new records are pushed
        FollowerStatus status;
        std::optional<Refusal> refusal;
        std::optional<Report> subtree;
    };

    void handle(double now, const std::string& from, std::uint64_t process, const Pull& pull);
    void handle(double now, const std::string& from, std::uint64_t process,
                const SnapshotPartRequest& request);
    template <class Other>
    void handle(double, const std::string&, std::uint64_t, const Other&) {}
    void answer_pull(double now, const std::string& from, Child& child, const Pull& pull);
    void announce_snapshot(double now, const std::string& from);
    void push_batches(double now);
    std::uint64_t activation_limit(const Child& child) const;
    Announcement empty_announcement(std::uint64_t limit) const;
    std::vector<Body> encode_batches(std::uint64_t from, std::uint64_t end, std::uint64_t limit,
                                     std::uint64_t& reached) const;
    bool behind(double now, const Child& child) const;
    bool consume_tokens(double now, std::size_t bytes);
    std::shared_ptr<const Snapshot> newest_snapshot(double now);
    void remove_silent(double now, double silent_s);
    void send(const std::string& to, Body body);

    const PublisherSettings settings_;
    const Log& log_;
    std::uint64_t commit_index_ = 0;
    Staging staging_;
    std::map<std::string, Child> children_;
    double push_at_ = kNever, cleanup_at_ = 0;
    std::deque<std::pair<double, std::uint64_t>> clearances_;                    // time (s), number
    std::deque<std::pair<double, std::shared_ptr<const Snapshot>>> snapshots_;   // creation time (s)
    double tokens_ = 0, tokens_refilled_at_ = 0;
    std::uint64_t urgent_changes_ = 0;
    std::vector<OutgoingMessage> outgoing_;
    PublisherCounts counts_;
};

}   // namespace slatejunction::rollout
