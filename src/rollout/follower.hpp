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
    std::vector<Parent> parents;   // one at least
    double pull_s = 1;             // between pulls when quiet, +- jitter
    double jitter = 0.1;           // part of a wait
    double retry_s = 0.5;          // a pull without an answer is repeated, each time later by half
    double move_s = 2;             // without an answer: the next parent
    double home_s = 30;            // at another than the first parent: tries that again so often
    double first_s = 1;            // the first pull comes at random within it
    double back_off_s = 8;         // all parents silent: the longest wait between two tries
    double prepare_s = 0.25;       // the least time between two versions
    double disk_retry_s = 2;       // after a home that could not keep a version
    std::size_t records_kept = 0, bytes_kept = 0;   // behind the version in force: for a relay's feeder
    std::size_t held_most = 8'000;   // records ahead of the version in force: with half of them it goes on
    std::size_t compact_after = 2'000;   // records appended to the home, until it is compacted
};

// The parents in the order in which this follower asks them: those of its region, then the others, each by
// rendezvous hash, so that followers spread over them.
std::vector<std::string> parent_order(const FollowerSettings& settings);

// Whether the consumer can use this state. `changes`: what differs from the state in force. Empty: it can;
// else why not (as the operator is to read it). Must not keep references.
using Check = std::function<std::string(const State& state, const Changes& changes)>;

// A version is in force now: the consumer takes it over. `changes`: since the one before.
struct InForce {
    Version version;
    Changes changes;
};

struct FollowerCounts {
    std::uint64_t pulls = 0, records = 0, gaps = 0, moves = 0;
    std::uint64_t versions = 0, checks = 0, refusals = 0, disk_failures = 0;
    std::uint64_t snapshots = 0, broken_snapshots = 0, snapshots_refused = 0;
};

class Follower {
  public:
    // What `stored` holds is in force at once, without a check. `home` lives longer.
    Follower(const FollowerSettings& settings, FollowerStored stored, FollowerStorage& home, Check check,
             std::uint64_t seed);

    void start(double now);
    // Offer, SnapshotPart of a parent; others are passed over.
    void receive(double now, const std::string& from, const Message& message);
    void on_timer(double now);
    double next_deadline() const;   // s
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(posts_, {}); }
    std::vector<InForce> take_in_force() { return std::exchange(in_force_events_, {}); }
    // What the check rests on has changed (the operator's own file): what was refused is tried again.
    void recheck(double now);
    // Of a relay: all below it, told in each pull.
    void set_subtree(const Report& report) { subtree_ = report; }
    void report_now(double now);   // pulls at once, so that the parent hears of a change below

    const Version& in_force() const { return in_force_; }
    const State& state() const { return state_; }   // of the version in force
    const Log& log() const { return log_; }         // what it holds, for a relay's feeder
    const Staging& staging() const { return staging_; }
    FollowerFault fault() const;
    std::uint64_t refused() const { return refused_; }   // 0: none
    const std::string& reason() const { return reason_; }
    const std::string& parent() const { return order_[at_]; }
    double heard_at() const { return heard_at_; }   // s; from any parent; -1e18: never
    const FollowerCounts& tally() const { return tally_; }

  private:
    struct Leaving {   // a parent that is to be told
        double at = 0;
        unsigned tries = 0;
    };

    void on(double now, const std::string& from, const Offer& offer);
    void on(double now, const std::string& from, const SnapshotPart& part);
    template <class Other>
    void on(double, const std::string&, const Other&) {}
    void heard(double now, const std::string& from);
    bool take(const Offer& offer);
    void take_early();
    bool full() const;
    std::uint64_t next_target();
    void prepare(double now);
    void put_best(double now, std::uint64_t top);
    enum class Put { in_force, refused, disk };
    Put put(double now, std::uint64_t number, std::string& why);
    std::string try_changes(Changes& changes);
    std::uint64_t blame(std::uint64_t number, std::string& why);
    Changes changes_to(std::uint64_t number) const;
    void enter(double now, const Version& version, Changes changes);
    void take_whole(double now);
    void compact();
    Pull what_to_say() const;
    void pull(double now);
    void pull_at(double time) { pull_at_ = std::min(pull_at_, time); }
    void move(double now);
    void leave(double now);
    void settle_at(double now, std::size_t parent);
    double jittered(double s);
    double drawn(double from, double to);

    const FollowerSettings settings_;
    FollowerStorage& home_;
    const Check check_;
    std::mt19937_64 random_;
    const std::vector<std::string> order_;
    std::size_t at_ = 0;   // in order_
    Log log_;
    State state_;   // in force
    Version in_force_;
    Staging staging_;
    std::uint64_t limit_ = 0;                // the highest told
    std::uint64_t target_ = 0;               // to be put in force next; stands until it is reached
    std::map<std::uint64_t, Offer> early_;   // by the previous number: came before what they follow
    std::uint64_t refused_ = 0;              // the change that is to blame
    std::uint64_t refused_at_ = 0;           // the first whole version that can't be used for it
    std::uint64_t refused_with_ = 0;         // the last record held when it was tried
    bool whole_refused_ = false;             // a snapshot, in which no single number is to blame
    std::string reason_;
    bool diverged_ = false, disk_failed_ = false;
    double pull_at_ = 1e18, asked_at_ = -1e18, move_at_ = 1e18, home_at_ = 1e18, leave_at_ = 1e18;
    double prepare_at_ = 1e18, prepared_at_ = -1e18, whole_after_ = -1e18;
    double heard_at_ = -1e18;
    unsigned unanswered_ = 0, silent_ = 0;   // pulls to this parent; parents in a row
    std::map<std::string, Leaving> leaving_;
    SnapshotTaker taker_;
    std::string taking_from_;
    std::optional<Report> subtree_;
    std::size_t since_compact_ = 0;
    std::vector<OutgoingMessage> posts_;
    std::vector<InForce> in_force_events_;
    FollowerCounts tally_;
};

}   // namespace slatejunction::rollout
