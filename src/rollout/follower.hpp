// A follower of the replicated configuration, on an ingress or a relay.
//
// It pulls records and snapshots from its parents, validates the resulting states, and activates one
// consistent version after another. Parents are tried in the order of parent_order(), with exponential
// backoff and jitter while all of them are silent.
//
// Invariants:
// - Exactly one consistent version is active at any time, and its number never falls.
// - A version is durable (storage.hpp) before it is active, and active before it is reported.
// - A record is accepted only after its predecessor, by number and chain (log matching). If a parent's
//   log has diverged, its records are never merged: the follower keeps its version and reports
//   FollowerFault::diverged.
// - When a version is invalid, the follower refuses the faulty change by its number and stays at a
//   version before it; the change and its revert are later activated in one step.
//
// It does no I/O besides FollowerStorage, reads no clock (callers pass `now` in s), and draws random
// numbers from its seed only. Called by Driver, which owns it and its storage. Its state is shown by the
// events begins_with, in_force and refuses of the event log, by GET /v1/rollout, and by the metrics
// slatejunction_rollout_in_force and slatejunction_rollout_refusals_total. Implemented in follower.cpp
// (parents, pulls, records) and follower_activation.cpp (versions, snapshots).
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

/// A control machine or relay that this follower may pull from.
struct Parent {
    std::string name, region;
    bool operator==(const Parent&) const = default;
};

/// Times in s.
struct FollowerSettings {
    std::string name, region;
    std::vector<Parent> parents;           // at least one
    double pull_interval_s = 1;            // between pulls while nothing changes, with jitter
    double jitter_fraction = 0.1;          // by which a wait varies in both directions
    double retry_interval_s = 0.5;         // until an unanswered pull is repeated; grows by half each time
    double parent_timeout_s = 2;           // without an answer, until the next parent is used
    double preferred_retry_s = 30;         // between attempts to return to the preferred (first) parent
    double first_pull_spread_s = 1;        // the first pull is sent at a random time within this
    double max_backoff_s = 8;              // longest wait while all parents are silent
    double activation_interval_s = 0.25;   // minimum time between two activations
    double disk_retry_s = 2;               // until activation is tried again after a failed write
    // Limits of the log up to the active version, which a relay keeps for its publisher.
    std::size_t max_log_records = 0;
    std::size_t max_log_bytes = 0;
    // Limit of the records after the active version. Once half of it is reached, an intermediate version is
    // activated.
    std::size_t max_pending_records = 8'000;
    std::size_t compact_after_records = 2'000;   // appended to the storage, until it is compacted
};

/// The names of the parents in order of preference: those of the follower's region, then the others. Each
/// group is ordered by rendezvous hashing, which distributes followers over the parents.
std::vector<std::string> parent_order(const FollowerSettings& settings);

/// Validates a state. `changes`: the differences to the active state. Returns an empty text if the state is
/// valid, else an error for the operator. Must not keep references to its arguments.
using Validator = std::function<std::string(const State& state, const Changes& changes)>;

/// A version that became active. `changes`: the differences to the version that was active before.
struct Activation {
    Version version;
    Changes changes;
};

/// Events since the start.
struct FollowerCounts {
    std::uint64_t pulls = 0, records = 0, gaps = 0, parent_switches = 0;
    std::uint64_t versions = 0, validations = 0, refusals = 0, disk_failures = 0;
    std::uint64_t snapshots = 0, broken_snapshots = 0, snapshots_refused = 0;
};

class Follower {
  public:
    /// The last version of `stored` is active at once, without validation. `storage` must outlive this.
    Follower(const FollowerSettings& settings, FollowerStored stored, FollowerStorage& storage,
             Validator validator, std::uint64_t seed);

    void start(double now);
    /// Handles an Announcement or SnapshotPart of a parent and ignores other messages.
    void receive(double now, const std::string& from, const Message& message);
    void on_timer(double now);
    double next_deadline() const;   // s
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }
    std::vector<Activation> take_activations() { return std::exchange(activations_, {}); }
    /// To be called when the validator may decide differently: validates refused versions again.
    void revalidate(double now);
    /// On a relay: sets the report of its children, which is sent with each pull.
    void set_subtree(const Report& report) { subtree_report_ = report; }
    /// Schedules a pull at once, which reports a change in the subtree to the parent.
    void report_now(double now);

    const Version& active_version() const { return active_version_; }
    const State& state() const { return state_; }   // of the active version
    const Log& log() const { return log_; }         // up to the last record received
    const Staging& staging() const { return staging_; }
    FollowerFault fault() const;
    /// The number of the refused change, or 0, and the reason.
    std::uint64_t refused() const { return refused_number_; }
    const std::string& reason() const { return refusal_reason_; }
    const std::string& parent() const { return parents_[parent_index_]; }
    /// The time of the last message from any parent, in s; -kNever before the first.
    double last_contact_at() const { return last_contact_at_; }
    const FollowerCounts& counts() const { return counts_; }

  private:
    // Sent repeatedly to a parent that this follower no longer uses, until the parent acknowledges it.
    struct LeaveNotice {
        double next_send_at = 0;
        unsigned attempts = 0;
    };

    void handle(double now, const std::string& from, const Announcement& announcement);
    void handle(double now, const std::string& from, const SnapshotPart& part);
    template <class Other>
    void handle(double, const std::string&, const Other&) {}
    void on_parent_contact(double now, const std::string& from);
    bool accept_records(const Announcement& announcement);
    void accept_early_announcements();
    bool pending_full() const;
    std::uint64_t next_target();
    void try_activate(double now);
    void activate_highest_valid(double now, std::uint64_t top);
    enum class ActivationResult { activated, refused, disk_failed };
    ActivationResult activate(double now, std::uint64_t number, std::string& error);
    std::string apply_and_validate(Changes& changes);
    std::vector<std::uint64_t> consistent_versions(std::uint64_t top) const;
    std::uint64_t find_faulty_change(std::uint64_t number, std::string& error);
    Changes changes_up_to(std::uint64_t number) const;
    void finish_activation(double now, const Version& version, Changes changes);
    void install_snapshot(double now);
    void compact();
    Pull make_pull() const;
    void send_pull(double now);
    void schedule_pull(double time) { next_pull_at_ = std::min(next_pull_at_, time); }
    void switch_to_next_parent(double now);
    void send_leave_notices(double now);
    void switch_parent(double now, std::size_t next);
    double jittered(double s);
    double uniform(double from, double to);

    const FollowerSettings settings_;
    FollowerStorage& storage_;
    const Validator validator_;
    std::mt19937_64 random_;
    const std::vector<std::string> parents_;
    std::size_t parent_index_ = 0;   // in parents_
    Log log_;
    State state_;   // of active_version_
    Version active_version_;
    Staging staging_;
    std::uint64_t activation_limit_ = 0;   // the highest limit announced by a parent
    std::uint64_t target_number_ = 0;      // next number to activate; fixed until it is reached
    std::map<std::uint64_t, Announcement>
        early_announcements_;                // received out of order, by the previous number
    std::uint64_t refused_number_ = 0;       // the faulty change
    std::uint64_t refused_version_ = 0;      // the first consistent version that contains it
    std::uint64_t refused_at_log_end_ = 0;   // number of the last record when it was refused
    bool snapshot_refused_ = false;          // a snapshot is invalid; the faulty change is unknown
    std::string refusal_reason_;
    bool diverged_ = false, disk_failed_ = false;
    double next_pull_at_ = kNever, last_pull_at_ = -kNever;
    double parent_timeout_at_ = kNever, preferred_retry_at_ = kNever, leave_notice_at_ = kNever;
    double activation_at_ = kNever, last_activation_at_ = -kNever, snapshot_not_before_ = -kNever;
    double last_contact_at_ = -kNever;
    unsigned unanswered_pulls_ = 0;   // to the current parent
    unsigned silent_parents_ = 0;     // parents in a row that timed out
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
