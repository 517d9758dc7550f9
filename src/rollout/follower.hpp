// An ingress's side: asks its parents for what comes after what it has, checks it, and puts one whole
// version after another in force. No I/O or clock; what is drawn comes from the seed.
//
// What it keeps to:
//  1. One whole version is in force at every moment, and its number never falls.
//  2. A version is durable (home.hpp) before it is in force, and in force before it is reported.
//  3. A record is taken only after the one before it, by number and chain; one of another sequence is never
//     merged: the follower stays where it is and says `diverged`.
//  4. Of a version that the consumer can't use the change that is to blame is refused by its number, and
//  the
//     follower stays before it; it goes over it and its revert in one step.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "rollout/message.hpp"
#include "rollout/snapshot.hpp"
#include "rollout/storage.hpp"

namespace slatejunction::rollout {

struct Parent {
    std::string name, region;
    bool operator==(const Parent&) const = default;
};

struct FollowerSettings {
    std::string name, region;
    std::vector<Parent> parents;           // one at least
    double pull_interval_s = 1;            // between pulls when quiet, +- jitter
    double jitter_fraction = 0.1;          // part of a wait
    double retry_interval_s = 0.5;         // a pull without an answer is repeated, each time later by half
    double parent_timeout_s = 2;           // without an answer: the next parent
    double preferred_retry_s = 30;         // at another than the first parent: tries that again so often
    double first_pull_spread_s = 1;        // the first pull comes at random within it
    double max_backoff_s = 8;              // all parents silent: the longest wait between two tries
    double activation_interval_s = 0.25;   // the least time between two versions
    double disk_retry_s = 2;               // after a home that could not keep a version
    std::size_t max_log_records = 0,
                max_log_bytes = 0;   // behind the version in force: for a relay's feeder
    std::size_t max_pending_records =
        8'000;   // records ahead of the version in force: with half of them it goes on
    std::size_t compact_after_records = 2'000;   // records appended to the home, until it is compacted
};

// The parents in the order in which this follower asks them: those of its region, then the others, each by
// rendezvous hash, so that followers spread over them.
std::vector<std::string> parent_order(const FollowerSettings& settings);

// Whether the consumer can use this state. `changes`: what differs from the state in force. Empty: it can;
// else why not (as the operator is to read it). Must not keep references.
using Validator = std::function<std::string(const State& state, const Changes& changes)>;

// A version is in force now: the consumer takes it over. `changes`: since the one before.
struct Activation {
    Version version;
    Changes changes;
};

struct FollowerCounts {
    std::uint64_t pulls = 0, records = 0, gaps = 0, parent_switches = 0;
    std::uint64_t versions = 0, validations = 0, refusals = 0, disk_failures = 0;
    std::uint64_t snapshots = 0, broken_snapshots = 0, snapshots_refused = 0;
};

class Follower {
  public:
    // What `stored` holds is in force at once, without a check. `home` lives longer.
    Follower(const FollowerSettings& settings, FollowerStored stored, FollowerStorage& home,
             Validator check, std::uint64_t seed);

    void start(double now);
    // Offer, SnapshotPart of a parent; others are passed over.
    void receive(double now, const std::string& from, const Message& message);
    void on_timer(double now);
    double next_deadline() const;   // s
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }
    std::vector<Activation> take_activations() { return std::exchange(activations_, {}); }
    // What the check rests on has changed (the operator's own file): what was refused is tried again.
    void recheck(double now);
    // Of a relay: all below it, told in each pull.
    void set_subtree(const Report& report) { subtree_report_ = report; }
    void report_now(double now);   // pulls at once, so that the parent hears of a change below

    const Version& active_version() const { return active_version_; }
    const State& state() const { return state_; }   // of the version in force
    const Log& log() const { return log_; }         // what it holds, for a relay's feeder
    const Staging& staging() const { return staging_; }
    FollowerFault fault() const;
    std::uint64_t refused() const { return refused_number_; }   // 0: none
    const std::string& reason() const { return refusal_reason_; }
    const std::string& parent() const { return parents_[parent_index_]; }
    double last_contact_at() const { return last_contact_at_; }   // s; from any parent; -1e18: never
    const FollowerCounts& counts() const { return counts_; }

  private:
    struct LeaveNotice {   // a parent that is to be told
        double next_send_at = 0;
        unsigned attempts = 0;
    };

    void handle(double now, const std::string& from, const Offer& offer);
    void handle(double now, const std::string& from, const SnapshotPart& part);
    template <class Other>
    void handle(double, const std::string&, const Other&) {}
    void on_parent_contact(double now, const std::string& from);
    bool accept_records(const Offer& offer);
    void accept_early_offers();
    bool pending_full() const;
    std::uint64_t next_target();
    void try_activate(double now);
    void activate_highest_valid(double now, std::uint64_t top);
    enum class ActivationResult { activated, refused, disk_failed };
    ActivationResult activate(double now, std::uint64_t number, std::string& why);
    std::string apply_and_validate(Changes& changes);
    std::uint64_t find_faulty_change(std::uint64_t number, std::string& why);
    Changes changes_up_to(std::uint64_t number) const;
    void finish_activation(double now, const Version& version, Changes changes);
    void install_snapshot(double now);
    void compact();
    Pull make_pull() const;
    void send_pull(double now);
    void schedule_pull(double time) { next_pull_at_ = std::min(next_pull_at_, time); }
    void switch_to_next_parent(double now);
    void send_leave_notices(double now);
    void switch_parent(double now, std::size_t parent);
    double jittered(double s);
    double uniform(double from, double to);

    const FollowerSettings settings_;
    FollowerStorage& storage_;
    const Validator validator_;
    std::mt19937_64 random_;
    const std::vector<std::string> parents_;
    std::size_t parent_index_ = 0;   // in order_
    Log log_;
    State state_;   // in force
    Version active_version_;
    Staging staging_;
    std::uint64_t activation_limit_ = 0;            // the highest told
    std::uint64_t target_number_ = 0;               // to be put in force next; stands until it is reached
    std::map<std::uint64_t, Offer> early_offers_;   // by the previous number: came before what they follow
    std::uint64_t refused_number_ = 0;              // the change that is to blame
    std::uint64_t refused_version_ = 0;             // the first whole version that can't be used for it
    std::uint64_t refused_at_log_end_ = 0;          // the last record held when it was tried
    bool snapshot_refused_ = false;                 // a snapshot, in which no single number is to blame
    std::string refusal_reason_;
    bool diverged_ = false, disk_failed_ = false;
    double next_pull_at_ = 1e18, last_pull_at_ = -1e18, parent_timeout_at_ = 1e18,
           preferred_retry_at_ = 1e18, leave_notice_at_ = 1e18;
    double activation_at_ = 1e18, last_activation_at_ = -1e18, snapshot_not_before_ = -1e18;
    double last_contact_at_ = -1e18;
    unsigned unanswered_pulls_ = 0, silent_parents_ = 0;   // pulls to this parent; parents in a row
    std::map<std::string, LeaveNotice> leave_notices_;
    SnapshotReceiver snapshot_receiver_;
    std::string snapshot_sender_;
    std::optional<Report> subtree_report_;
    std::size_t records_since_compaction_ = 0;
    std::vector<OutgoingMessage> outgoing_;
    std::vector<Activation> activations_;
    FollowerCounts counts_;
};

}   // namespace slatejunction::rollout
