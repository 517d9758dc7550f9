// The side towards children (ingresses and relays): remembers them, pushes what is new, answers their
// pulls, and adds up what they report. Used by control machines, over their replica's committed records,
// and by relays, over their follower's. No I/O or clock; what is drawn comes from the seed.
//
// A batch is encoded once for all children that are at the same version. What is pushed is not repeated: a
// child that missed it asks.
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
    double batch_s = 0.1;                // new records wait so long for others
    double child_timeout_s = 4;          // a child not heard of for so long is silent
    double child_retention_s = 86'400;   // a silent child is named for so long
    double behind_s = 11;                // a child is behind if it lacks what was cleared so long ago
    std::size_t max_children = 4'096;    // one more is not answered, so that it asks another parent
    // Of records and parts of snapshots, over all children: 1,400 of them at 50 changes of 300 bytes a
    // second take half of it.
    double bytes_per_s = 40'000'000;
    std::size_t window_bytes = 8'000;   // of records in the answer to one pull
    double snapshot_interval_s = 10;    // a new one is made at most so often
};

struct PublisherCounts {
    std::uint64_t pulls = 0, pushes = 0, sent_bytes = 0;
    std::uint64_t batches_encoded = 0;   // batches that were encoded; the others shared a body
    std::uint64_t snapshots = 0;         // that were cut
    std::uint64_t throttled = 0;         // answers over bytes_per_s
    std::uint64_t rejected_pulls = 0;    // pulls over children_most
    std::uint64_t diverged = 0;          // pulls with a version of another sequence
};

class Publisher {
  public:
    // `log` lives longer. It may only grow at its end, and drop what advance() was not told of.
    Publisher(const PublisherSettings& settings, const Log& log);

    // Records up to `committed` may be given to canaries, those up to staging.cleared to all.
    void advance(double now, std::uint64_t committed, const Staging& staging);
    // Pull, PartPull of a child; `process` tells two lives of one name apart.
    void receive(double now, const std::string& from, std::uint64_t process, const Message& message);
    void on_timer(double now);
    double next_deadline() const;   // s
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }

    Report report(double now) const;
    // Goes up when a canary's standing or a refusal changed: the report is wanted above at once then.
    std::uint64_t urgent_changes() const { return urgent_changes_; }
    std::size_t children() const { return children_.size(); }   // silent ones too
    const PublisherCounts& counts() const { return counts_; }

  private:
    struct Child {
        std::uint64_t process = 0, hash = 0;
        double last_contact_at = 0;
        std::uint64_t last_sent = 0;   // the last number given to it, as far as is known
        bool following = false;        // it is at `sent`, and new records are pushed
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
    double push_at_ = 1e18, cleanup_at_ = 0;
    std::deque<std::pair<double, std::uint64_t>> clearances_;                    // when, number
    std::deque<std::pair<double, std::shared_ptr<const Snapshot>>> snapshots_;   // made when
    double tokens_ = 0, tokens_refilled_at_ = 0;
    std::uint64_t urgent_changes_ = 0;
    std::vector<OutgoingMessage> outgoing_;
    PublisherCounts counts_;
};

}   // namespace slatejunction::rollout
