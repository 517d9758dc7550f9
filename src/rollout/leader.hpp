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
    std::vector<std::string> replicas;     // names of all, the source's own machine's too
    std::size_t canary_count = 5;          // kCanariesMost at most
    double canary_s = 1;                   // in force at the canaries, until cleared
    double canary_timeout_s = 2;           // from commit, for a canary to have it in force
    double heartbeat_interval_s = 0.5;     // between appends when nothing is new
    double retry_interval_s = 0.3;         // without an answer, until something is sent again
    double report_timeout_s = 4;           // a machine's report counts for so long
    std::size_t max_uncommitted = 5'000;   // records proposed and not committed
    std::size_t max_log_records = kMaxLogRecords, max_log_bytes = kMaxLogBytes;
};

enum class ProposeError { none, not_leader, not_ready, too_large, backlog_full };
inline constexpr const char* kProposeErrors[] = {"none", "not_source", "not_ready", "too_large",
                                                 "backlog_full"};
struct ProposeOutcome {
    std::uint64_t number = 0;   // 0: see error
    ProposeError error = ProposeError::none;
};

// What an operator may want to know of.
struct LeaderEvent {
    enum class Kind {
        ready,              // number: the last committed
        committed,          // number
        cleared,            // number
        refused,            // number, name, reason: the first refusal of that number
        reverted,           // number: of the refused one
        irrevertible,       // number: refused, but it is a revert, or no longer kept
        fenced,             // another source has a higher term; this one stops
        majority_lost,      // fewer than a majority remembered: what they had forgotten may be missing
        learner_admitted,   // name: a replica that had lost its disk counts again
        diverged            // name: a replica whose committed records differ from what the others have
    } kind = Kind::ready;
    std::uint64_t number = 0;
    std::string name, reason;
};

class Leader {
  public:
    enum class Phase { inactive, collecting_promises, collecting_status, fetching_log, ready, fenced };

    Leader(const LeaderSettings& settings, std::uint64_t seed);

    // The lease is held under this fencing number from now on. `own`: what this machine's replica has.
    void begin_term(double now, std::uint64_t fencing, const Log& own);
    void end_term();

    // Promise, Holding, Fetched, Appended, SnapshotPart, PartPull of replicas, Told of control machines.
    void receive(double now, const std::string& from, const Message& message);
    void on_timer(double now);
    double next_deadline() const;   // s
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }
    std::vector<LeaderEvent> take_events() { return std::exchange(events_, {}); }

    // A change to be rolled out; none: the key is erased. The number is its place in the sequence; it is
    // durable and will be rolled out once committed() has reached it under this source.
    ProposeOutcome propose(double now, const std::string& key, const std::optional<std::string>& value);

    Phase phase() const { return phase_; }
    std::uint64_t term() const { return term_; }
    const Log& log() const { return log_; }
    std::uint64_t commit_index() const { return commit_index_; }
    const Staging& staging() const { return staging_; }
    Report fleet_report(double now) const;   // of all control machines that told within silence_s

  private:
    struct ReplicaProgress {   // a replica
        std::uint64_t storage_lost_process =
            0;                               // the process that told of a loss, in any reading of this hold
        std::uint64_t learner_process = 0;   // the same, as it was when this reading began
        // of this reading
        std::uint64_t process = 0;
        bool promised = false, storage_intact = false;
        std::optional<LogStatus> log_status;
        // of replication
        std::uint64_t last_sent = 0, match_index = 0;   // numbers
        bool probing = true;                            // what it has is not known yet
        std::uint64_t probe_index = 0;                  // the previous number to try next
        bool admitting_learner = false, diverged = false;
        double backoff_until = -1e18;   // s; its disk failed: nothing is sent until then
        double next_send_at = 0;        // s; to send (again) at the latest
        double last_ack_at = -1e18;     // s; of the last append that it took
    };
    struct Canary {
        std::deque<std::pair<double, std::uint64_t>> activations;   // since when, number
    };
    struct TimedReport {
        double received_at = 0;
        Report report;
    };

    void begin_round(double now);   // a reading, under the next round
    void handle(double now, const std::string& from, const Promise& message);
    void handle(double now, const std::string& from, const LogStatus& message);
    void handle(double now, const std::string& from, const FetchReply& message);
    void handle(double now, const std::string& from, const AppendReply& message);
    void handle(double now, const std::string& from, const SnapshotPart& message);
    void handle(double now, const std::string& from, const SnapshotPartRequest& message);
    void handle(double now, const std::string& from, const FollowerReport& message);
    template <class Other>
    void handle(double, const std::string&, const Other&) {}
    void fence();
    bool superseded_by(double now, std::uint64_t promised);
    template <class Has>
    bool has_quorum(Has has) const;
    void request_log_status(double now);
    void retry_round(double now);
    void adopt_best_log(double now);
    void fetch_records(double now);
    void become_ready(double now);
    void replicate(double now, const std::string& name, ReplicaProgress& peer);
    void replicate_all(double now);
    void send_snapshot(const std::string& name);
    void handle_log_mismatch(double now, const std::string& from, ReplicaProgress& peer,
                             const AppendReply& message);
    bool append_record(double now, Record record);
    void advance_commit_index(double now);
    void advance_staging(double now);
    void update_canaries(double now, const Report& fleet);
    double clearance_time(double at, std::uint64_t number) const;
    double majority_contact_time() const;
    void revert_refused(double now, const Refusal& refusal);
    void readmit_learners(double now);
    std::size_t quorum_size() const { return settings_.replicas.size() / 2 + 1; }
    void send(const std::string& to, const Message& message) {
        outgoing_.push_back({to, body_of(message)});
    }

    const LeaderSettings settings_;
    std::mt19937_64 random_;   // of waits only
    Phase phase_ = Phase::inactive;
    std::uint64_t fencing_token_ = 0, round_ = 0, term_ = 0, nonce_ = 0;
    unsigned attempts_ = 0;   // of the reading's step
    Log log_;
    std::uint64_t commit_index_ = 0, reported_commit_index_ = 0;
    Staging staging_;
    std::map<std::string, ReplicaProgress> replicas_;
    std::string best_replica_;   // whose log is adopted
    SnapshotReceiver snapshot_receiver_;
    std::uint64_t fetch_after_ = 0, fetch_back_step_ = 1;
    double round_retry_at_ = 1e18;     // s; of the reading
    double staging_deadline_ = 1e18;   // s; something is to be cleared, perhaps
    double readmit_at_ = 0;
    std::optional<Snapshot> outgoing_snapshot_;
    std::map<std::string, TimedReport> reports_;
    std::map<std::string, Canary> canaries_;
    std::deque<std::pair<double, std::uint64_t>> uncleared_commits_;   // when, number: those not cleared
    std::set<std::uint64_t> refused_numbers_;                          // told already
    std::vector<OutgoingMessage> outgoing_;
    std::vector<LeaderEvent> events_;
};

}   // namespace slatejunction::rollout
