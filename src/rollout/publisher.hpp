// Publishes the committed log to children (ingresses and relays), on control machines and relays.
//
// Rule: it pushes new records to children within their activation limit, answers their pulls, and adds up
// what they report. Inputs: the log and its commit index (advance), pulls of children, `now` in s. Output:
// offers and snapshot parts (take_outgoing), the Report of the subtree.
//
// Invariants:
//  1. Only committed records are published; those that are not cleared only to canaries.
//  2. A batch is encoded once for all children at the same version. A push is never repeated: a child that
//     missed it pulls.
//  3. At most bytes_per_s are sent over all children (token bucket); an answer beyond it is left to a later
//  pull.
//
// It does no I/O and reads no clock. Called by Driver, which owns it; the log belongs to its Replica or
// Follower. Seen in: GET /v1/rollout, slatejunction_rollout_counted, _behind, _silent.
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
    double batch_s = 0.1;                // new records wait for others
    double child_timeout_s = 4;          // without a message a child is silent
    double child_retention_s = 86'400;   // how long a silent child is reported
    double behind_s = 11;                // a child without what was cleared this long ago is behind
    std::size_t max_children = 4'096;    // further ones are not answered, and use another parent
    // Of records and snapshot parts, over all children.
    double bytes_per_s = 40'000'000;
    std::size_t window_bytes = 8'000;   // of records in the answers to one pull
    double snapshot_interval_s = 10;    // minimum between two snapshots
};

/// Events since the start.
struct PublisherCounts {
    std::uint64_t pulls = 0, pushes = 0, sent_bytes = 0;
    std::uint64_t batches_encoded = 0;   // batches encoded; other pushes share a body
    std::uint64_t snapshots = 0;         // made
    std::uint64_t throttled = 0;         // answers beyond bytes_per_s
    std::uint64_t rejected_pulls = 0;    // pulls beyond max_children
    std::uint64_t diverged = 0;          // pulls with a version of another sequence
};

class Publisher {
  public:
    /// `log` must outlive this. It may grow, and drop only records beyond the commit index given to
    /// advance().
    Publisher(const PublisherSettings& settings, const Log& log);

    /// Records up to `committed` may go to canaries, those up to staging.cleared to all children.
    void advance(double now, std::uint64_t committed, const Staging& staging);
    /// Pull and SnapshotPartRequest of a child; `process` distinguishes two incarnations of one name.
    void receive(double now, const std::string& from, std::uint64_t process, const Message& message);
    void on_timer(double now);
    double next_deadline() const;   // s
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }

    Report report(double now) const;
    /// Incremented when a canary's status or a refusal changes: the report is then due upstream at once.
    std::uint64_t urgent_changes() const { return urgent_changes_; }
    std::size_t children() const { return children_.size(); }   // with silent ones
    const PublisherCounts& counts() const { return counts_; }

  private:
    struct Child {
        std::uint64_t process = 0, hash = 0;
        double last_contact_at = 0;
        std::uint64_t last_sent = 0;   // the last number sent to it, as far as is known
        bool following = false;        // it is at last_sent: new records are pushed
        FollowerStatus status;
        std::optional<Refusal> refusal;
        std::optional<Report> subtree;
    };

    void handle(double now, const std::string& from, std::uint64_t process, const Pull& pull);
    void handle(double now, const std::string& from, std::uint64_t process,
                const SnapshotPartRequest& pull);
    template <class Other>
    void handle(double, const std::string&, std::uint64_t, const Other&) {}
    void answer_pull(double now, const std::string& from, Child& child, const Pull& pull);
    void offer_snapshot(double now, const std::string& from);
    void push_batches(double now);
    std::uint64_t activation_limit(const Child& child) const;
    Offer empty_offer(std::uint64_t most) const;
    std::vector<Body> encode_batches(std::uint64_t from, std::uint64_t end, std::uint64_t most,
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
    std::deque<std::pair<double, std::uint64_t>> clearances_;                    // at (s), number
    std::deque<std::pair<double, std::shared_ptr<const Snapshot>>> snapshots_;   // made at (s)
    double tokens_ = 0, tokens_refilled_at_ = 0;
    std::uint64_t urgent_changes_ = 0;
    std::vector<OutgoingMessage> outgoing_;
    PublisherCounts counts_;
};

}   // namespace slatejunction::rollout
