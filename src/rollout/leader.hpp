// The leader of the replicated configuration log: the control machine that holds the lease.
//
// It recovers the log of a majority of replicas, orders and replicates proposed changes, and releases
// committed changes to the fleet in two stages: first to canaries, then to all followers.
//
// - Recovery of a term (Paxos, phase 1; Raft, election restriction): a majority promises the term, then
//   the same processes report their logs, and the leader adopts the most up-to-date one. A replica that
//   loses its storage in between is recognised by its new process id, and the leader begins another round
//   (term_of()).
// - Commit (Raft, 5.4.2): a record of the leader's own term is committed once a majority has it and all
//   records before it. Records of older terms are committed by a record of kind `no_op` that follows
//   them.
// - Staged release: canaries are the reporting followers with the lowest name hashes. A number is cleared
//   for all followers once every canary has had it active for canary_s. The leader does not wait for a
//   canary that lacks the number canary_timeout_s after the commit, and no number waits longer than both
//   times together.
//
// Invariants:
// - A committed record is never lost or replaced while a majority of replicas has intact storage.
// - A replica that lost its storage (a learner) counts in no majority of a term whose recovery began
//   before the loss was reported. A later round admits it, once it has the complete log.
// - The cleared number never falls, and lies in no reverted range of the log.
// - A change that a follower refuses is reverted once, and no number between the two is cleared.
// - A leader that sees a higher fencing token stops (Phase::fenced).
//
// It does no I/O, reads no clock (callers pass `now` in s), and draws random numbers from its seed only.
// Called by Driver, which owns it. Its state is shown by the events source_* of the event log, by GET
// /v1/rollout, and by the metrics slatejunction_rollout_committed and _cleared. Implemented in leader.cpp
// (terms, proposals, timers), leader_recovery.cpp, leader_replication.cpp and leader_release.cpp.
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

/// Times in s; the defaults are those of BoundTimes (propagation_bounds.hpp).
struct LeaderSettings {
    std::vector<std::string> replicas;   // names of all replicas, including that of this machine
    std::size_t canary_count = 5;        // at most kMaxCanaries
    double canary_s = 1;                 // how long a change is active at the canaries until it is cleared
    double canary_timeout_s = 2;         // from the commit, for a canary to activate the change
    double heartbeat_interval_s = 0.5;   // between appends without new records
    double retry_interval_s = 0.3;       // without a reply, until a request is repeated
    double report_timeout_s = 4;         // how long the report of a control machine is used
    std::size_t max_uncommitted = 5'000;   // proposed records that are not committed
    std::size_t max_log_records = kMaxLogRecords, max_log_bytes = kMaxLogBytes;
};

/// Why a proposal was rejected.
enum class ProposeError { none, not_leader, not_ready, too_large, backlog_full };
/// The names of ProposeError in the admin interface.
inline constexpr const char* kProposeErrors[] = {"none", "not_source", "not_ready", "too_large",
                                                 "backlog_full"};
struct ProposeOutcome {
    std::uint64_t number = 0;   // of the appended record; 0: rejected, see error
    ProposeError error = ProposeError::none;
};

/// An event for the operator. The comments name the fields that are set.
struct LeaderEvent {
    enum class Kind {
        ready,              // number: the last committed
        committed,          // number
        cleared,            // number
        refused,            // number, name, reason: the first refusal of that number
        reverted,           // number: of the refused change
        irrevertible,       // number: of a refused change that Log::revert_of() cannot revert
        fenced,             // the leader stopped: a higher fencing token was seen, or it has no rounds left
        majority_lost,      // fewer than a majority had intact storage: committed records may be missing
        learner_admitted,   // name: of a replica that had lost its storage and counts in majorities again
        diverged            // name: of a replica whose committed records differ from those of the leader
    } kind = Kind::ready;
    std::uint64_t number = 0;
    std::string name, reason;
};

/// One instance per control machine; inactive while another holds the lease.
class Leader {
  public:
    enum class Phase { inactive, collecting_promises, collecting_status, fetching_log, ready, fenced };

    Leader(const LeaderSettings& settings, std::uint64_t seed);

    /// Begins a term with the fencing token of the lease. `own_log`: the log of this machine's replica.
    void begin_term(double now, std::uint64_t fencing_token, const Log& own_log);
    /// Ends the term after the lease was lost and discards its state.
    void end_term();

    /// Handles a Promise, LogStatus, FetchReply, AppendReply, SnapshotPart or SnapshotPartRequest of a
    /// replica, or a FollowerReport of a control machine; ignores other messages.
    void receive(double now, const std::string& from, const Message& message);
    void on_timer(double now);
    double next_deadline() const;   // s
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }
    std::vector<LeaderEvent> take_events() { return std::exchange(events_, {}); }

    /// Appends a change that sets the value of `key`, or removes it (nullopt). Returns its number in the
    /// log. The change is durable, and will be released, once commit_index() reaches that number in this
    /// term.
    ProposeOutcome propose(double now, const std::string& key, const std::optional<std::string>& value);

    Phase phase() const { return phase_; }
    std::uint64_t term() const { return term_; }
    const Log& log() const { return log_; }
    std::uint64_t commit_index() const { return commit_index_; }
    const Staging& staging() const { return staging_; }
    /// The sum of the reports of control machines received within report_timeout_s.
    Report fleet_report(double now) const;

  private:
    struct ReplicaProgress {
        std::uint64_t storage_lost_process = 0;   // last process that reported a loss under this lease
        std::uint64_t learner_process = 0;        // storage_lost_process when this round began
        // Recovery.
        std::uint64_t process = 0;
        bool promised = false, storage_intact = false;
        std::optional<LogStatus> log_status;
        // Replication.
        std::uint64_t last_sent = 0, match_index = 0;   // record numbers
        bool probing = true;                            // the last matching record is not known
        std::uint64_t probe_index = 0;                  // the previous number of the next probe
        bool admitting_learner = false, diverged = false;
        // Times in s.
        double backoff_until = -kNever;   // no append is sent earlier, because its disk failed
        double next_send_at = 0;          // latest time of the next append
        double last_ack_at = -kNever;     // of its last matching AppendReply
    };
    struct Canary {
        std::deque<std::pair<double, std::uint64_t>> activations;   // time of activation (s), number
    };
    struct TimedReport {
        double received_at = 0;
        Report report;
    };

    void begin_round(double now);
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
    void replicate(double now, const std::string& name, ReplicaProgress& replica);
    void replicate_all(double now);
    void send_snapshot(const std::string& name);
    void handle_log_mismatch(double now, const std::string& from, ReplicaProgress& replica,
                             const AppendReply& message);
    bool append_record(double now, Record record);
    void advance_commit_index(double now);
    void advance_staging(double now);
    void update_canaries(double now, const Report& fleet);
    double clearance_time(double committed_at, std::uint64_t number) const;
    double majority_contact_time() const;
    void revert_refused(double now, const Refusal& refusal);
    void readmit_learners(double now);
    std::size_t quorum_size() const { return settings_.replicas.size() / 2 + 1; }
    void send(const std::string& to, const Message& message) {
        outgoing_.push_back({to, body_of(message)});
    }

    const LeaderSettings settings_;
    std::mt19937_64 random_;   // for the nonces
    Phase phase_ = Phase::inactive;
    std::uint64_t fencing_token_ = 0, round_ = 0, term_ = 0, nonce_ = 0;
    unsigned attempts_ = 0;   // of the current recovery step
    Log log_;
    std::uint64_t commit_index_ = 0, reported_commit_index_ = 0;
    Staging staging_;
    std::map<std::string, ReplicaProgress> replicas_;
    std::string best_replica_;   // the replica whose log is fetched
    SnapshotReceiver snapshot_receiver_;
    std::uint64_t fetch_after_ = 0, fetch_back_step_ = 1;
    double round_retry_at_ = kNever;     // s; when requests of the recovery step are repeated
    double staging_deadline_ = kNever;   // s; when the next number may be cleared
    double readmit_at_ = 0;
    std::optional<Snapshot> outgoing_snapshot_;
    std::map<std::string, TimedReport> reports_;
    std::map<std::string, Canary> canaries_;
    std::deque<std::pair<double, std::uint64_t>> uncleared_commits_;   // time of commit (s), number
    std::set<std::uint64_t> refused_numbers_;                          // refusals already handled
    std::vector<OutgoingMessage> outgoing_;
    std::vector<LeaderEvent> events_;
};

}   // namespace slatejunction::rollout
