// The holder of the lease: reads what a majority of the replicas has, takes changes, has them committed and
// says how far they may be rolled out. No I/O or clock; what is drawn comes from the seed.
//
// Reading is two rounds: first a majority promises the term, then the same processes say what they hold.
// A replica that loses its disk between the two is noticed by its process, and all begins anew. A replica
// that has lost its disk counts in no majority of a term whose reading began before the loss was told; for
// it the source begins another round of its own (term_of()), and admits it once it has everything.
//
// Commit: a record of the source's own term that a majority has, with all before it. Older records are
// committed by a record of kind `none` that follows them.
//
// Staging: committed records go to the canaries first: the followers of the lowest hashes among those
// reporting. A number is cleared for all when every canary had it in force for canary_s; those that do not
// have it canary_wait_s after its commit are not waited for, nor is anybody for longer than both together.
// A version that some follower refuses is reverted, once, and what lies between the two is never cleared.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rollout/log.hpp"
#include "rollout/message.hpp"
#include "rollout/replica.hpp"
#include "rollout/snapshot.hpp"

namespace slatejunction::rollout {

struct LeaderSettings {
    std::vector<std::string> replicas;   // names of all, the source's own machine's too
    std::size_t canaries = 5;            // kCanariesMost at most
    double canary_s = 1;                 // in force at the canaries, until cleared
    double canary_wait_s = 2;            // from commit, for a canary to have it in force
    double heartbeat_s = 0.5;            // between appends when nothing is new
    double retry_s = 0.3;                // without an answer, until something is sent again
    double silence_s = 4;                // a machine's report counts for so long
    std::size_t backlog = 5'000;         // records proposed and not committed
    std::size_t records_kept = kRecordsKept, bytes_kept = kBytesKept;
};

enum class ProposeError { none, not_leader, not_ready, too_large, backlog_full };
inline constexpr const char* kProposeErrors[] = {"none", "not_source", "not_ready", "too_large",
                                                 "backlog_full"};
struct Proposed {
    std::uint64_t number = 0;   // 0: see error
    ProposeError error = ProposeError::none;
};

// What an operator may want to know of.
struct LeaderEvent {
    enum class Kind {
        ready,           // number: the last committed
        committed,       // number
        cleared,         // number
        refused,         // number, name, reason: the first refusal of that number
        reverted,        // number: of the refused one
        irrevertible,    // number: refused, but it is a revert, or no longer kept
        fenced,          // another source has a higher term; this one stops
        majority_lost,   // fewer than a majority remembered: what they had forgotten may be missing
        admitted,        // name: a replica that had lost its disk counts again
        diverged         // name: a replica whose committed records differ from what the others have
    } kind = Kind::ready;
    std::uint64_t number = 0;
    std::string name, reason;
};

class Leader {
  public:
    enum class Stage { off, preparing, inspecting, fetching, ready, fenced };

    Leader(const LeaderSettings& settings, std::uint64_t seed);

    // The lease is held under this fencing number from now on. `own`: what this machine's replica has.
    void begin_term(double now, std::uint64_t fencing, const Log& own);
    void end_term();

    // Promise, Holding, Fetched, Appended, SnapshotPart, PartPull of replicas, Told of control machines.
    void receive(double now, const std::string& from, const Message& message);
    void on_timer(double now);
    double next_deadline() const;   // s
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(posts_, {}); }
    std::vector<LeaderEvent> take_events() { return std::exchange(events_, {}); }

    // A change to be rolled out; none: the key is erased. The number is its place in the sequence; it is
    // durable and will be rolled out once committed() has reached it under this source.
    Proposed propose(double now, const std::string& key, const std::optional<std::string>& value);

    Stage stage() const { return stage_; }
    std::uint64_t term() const { return term_; }
    const Log& log() const { return log_; }
    std::uint64_t committed() const { return committed_; }
    const Staging& staging() const { return staging_; }
    Report fleet(double now) const;   // of all control machines that told within silence_s

  private:
    struct Peer {                    // a replica
        std::uint64_t lost = 0;      // the process that told of a loss, in any reading of this hold
        std::uint64_t learner = 0;   // the same, as it was when this reading began
        // of this reading
        std::uint64_t process = 0;
        bool promised = false, remembers = false;
        std::optional<Holding> holding;
        // of replication
        std::uint64_t sent = 0, matched = 0;   // numbers
        bool probing = true;                   // what it has is not known yet
        std::uint64_t probe = 0;               // the previous number to try next
        bool admitting = false, diverged = false;
        double full_until = -1e18;   // s; its disk failed: nothing is sent until then
        double again_at = 0;         // s; to send (again) at the latest
        double heard_at = -1e18;     // s; of the last append that it took
    };
    struct Canary {
        std::deque<std::pair<double, std::uint64_t>> in_force;   // since when, number
    };
    struct ToldAt {
        double at = 0;
        Report report;
    };

    void begin(double now);   // a reading, under the next round
    void on(double now, const std::string& from, const Promise& message);
    void on(double now, const std::string& from, const Holding& message);
    void on(double now, const std::string& from, const Fetched& message);
    void on(double now, const std::string& from, const Appended& message);
    void on(double now, const std::string& from, const SnapshotPart& message);
    void on(double now, const std::string& from, const PartPull& message);
    void on(double now, const std::string& from, const FollowerReport& message);
    template <class Other>
    void on(double, const std::string&, const Other&) {}
    void fence();
    bool fenced_by(double now, std::uint64_t promised);
    template <class Has>
    bool enough(Has has) const;
    void inspect(double now);
    void retry(double now);
    void choose(double now);
    void fetch(double now);
    void become_ready(double now);
    void replicate(double now, const std::string& name, Peer& peer);
    void replicate_all(double now);
    void give_snapshot(const std::string& name);
    void probe(double now, const std::string& from, Peer& peer, const Appended& message);
    bool append(double now, Record record);
    void commit(double now);
    void stage(double now);
    void choose_canaries(double now, const Report& fleet);
    double clear_at(double at, std::uint64_t number) const;
    double heard_by_majority() const;
    void refuse(double now, const Refusal& refusal);
    void readmit(double now);
    std::size_t majority() const { return settings_.replicas.size() / 2 + 1; }
    void post(const std::string& to, const Message& message) { posts_.push_back({to, body_of(message)}); }

    const LeaderSettings settings_;
    std::mt19937_64 random_;   // of waits only
    Stage stage_ = Stage::off;
    std::uint64_t fencing_ = 0, round_ = 0, term_ = 0, nonce_ = 0;
    unsigned tries_ = 0;   // of the reading's step
    Log log_;
    std::uint64_t committed_ = 0, known_committed_ = 0;
    Staging staging_;
    std::map<std::string, Peer> peers_;
    std::string best_;   // whose log is adopted
    SnapshotTaker taker_;
    std::uint64_t fetch_after_ = 0, fetch_step_ = 1;
    double again_at_ = 1e18;   // s; of the reading
    double stage_at_ = 1e18;   // s; something is to be cleared, perhaps
    double readmit_at_ = 0;
    std::optional<Snapshot> given_;
    std::map<std::string, ToldAt> told_;
    std::map<std::string, Canary> canaries_;
    std::deque<std::pair<double, std::uint64_t>> commits_;   // when, number: those not cleared
    std::set<std::uint64_t> refused_;                        // told already
    std::vector<OutgoingMessage> posts_;
    std::vector<LeaderEvent> events_;
};

}   // namespace slatejunction::rollout
