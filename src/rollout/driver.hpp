// Runs the rollout in a process: a follower, a relay (follower and publisher), or a control machine
// (replica, publisher and, while it holds the lease, leader).
//
// The driver connects these protocol cores to the transport, the timers and the storage; the cores make the
// protocol's decisions. It receives datagrams, messages of other control machines, changes of the lease
// (on_leadership_change(), Callbacks::fencing_token) and proposals. It sends messages, reports active
// states through Callbacks::activated, and writes log lines and records of the event log.
//
// Owned by RolloutComponent (app); owns the cores, the transport and the storage. Methods run on the thread
// of the event loop only, and callbacks are called from within them.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "log/log.hpp"
#include "net/timers.hpp"
#include "rollout/file_storage.hpp"
#include "rollout/follower.hpp"
#include "rollout/leader.hpp"
#include "rollout/publisher.hpp"
#include "rollout/replica.hpp"
#include "rollout/settings.hpp"
#include "rollout/transport.hpp"
#include "storage/state_directory.hpp"

namespace slatejunction::rollout {

/// The rollout's directory within the state directory, locked for this process, and the data stored in it.
/// It is opened before all other parts, so that the last active version is active again before the process
/// serves.
class RolloutStorage {
  public:
    /// `directory`: the existing state directory. Throws storage::Error if it cannot be used.
    RolloutStorage(const std::string& directory, const Options& options);

    /// The stored active version of a follower and its state; empty on a control machine.
    const State& state() const { return state_; }
    const Version& version() const { return version_; }
    /// The paths of damaged files that were set aside.
    const std::vector<std::string>& set_aside() const;

  private:
    friend class Driver;
    const std::string path_;
    storage::StateDirectory lock_;
    std::unique_ptr<FollowerFileStorage> follower_;   // exactly one of follower_ and replica_ is set
    std::unique_ptr<ReplicaFileStorage> replica_;
    FollowerStored stored_;
    State state_;
    Version version_;
};

class Driver {
  public:
    struct Callbacks {
        // Used by followers: validates a state; receives each state that becomes active.
        Validator validate;
        std::function<void(const State& state, const Changes& changes)> activated;
        // Used by control machines: sends a message to another control machine and returns whether it was
        // sent; returns the fencing token while this process holds the lease, else 0.
        std::function<bool(const std::string& to, std::string_view body)> send_to_replica;
        std::function<std::uint64_t()> fencing_token;
    };
    /// The result of a proposal.
    struct ProposeResult {
        std::uint64_t number = 0;   // of the change; 0: rejected, see error
        ProposeError error = ProposeError::none;
        bool undecided = false;   // not committed yet; the change may or may not be committed later
    };

    /// `replicas`: the names of all control machines including this one; empty if this is not a control
    /// machine. `process`: the random id of this incarnation. `timers` and `log` must outlive this.
    Driver(const Options& options, const std::string& name, std::vector<std::string> replicas,
           std::uint64_t process, std::uint64_t seed, const std::vector<membership::AuthKey>& keys,
           std::unique_ptr<RolloutStorage> storage, Callbacks callbacks, net::Timers& timers, Logger& log);

    void start();
    void stop();
    void set_keys(const std::vector<membership::AuthKey>& keys) { transport_.set_keys(keys); }
    /// Handles a message of another control machine.
    void on_replica_message(const std::string& from, std::string_view body);
    /// `is_leader`: whether this process holds the lease now.
    void on_leadership_change(bool is_leader);
    /// To be called when Callbacks::validate may decide differently: validates refused versions again.
    void revalidate();
    /// Proposes a change that sets the value of `key`, or removes it (nullopt). `answer` is called once,
    /// after at most kProposeTimeoutS.
    void propose(const std::string& key, const std::optional<std::string>& value,
                 std::function<void(const ProposeResult&)> answer);

    const Follower* follower() const { return follower_.get(); }      // null on control machines
    const Replica* replica() const { return replica_.get(); }         // null elsewhere
    const Leader* leader() const { return leader_.get(); }            // null elsewhere
    const Publisher* publisher() const { return publisher_.get(); }   // null without children
    const Transport& transport() const { return transport_; }
    bool is_leader() const { return leader_ && leader_->phase() == Leader::Phase::ready; }
    /// The report of the followers below this process.
    Report children_report() const;
    /// The report of all followers on the leader, else children_report().
    Report fleet_report() const;
    /// The time, in s, from the proposal of the last change that became active everywhere until the leader
    /// knew that; 0 if there is none.
    double last_propagation_s() const { return last_propagation_s_; }
    /// The error of the last failed write.
    const std::string& disk_error() const;
    std::uint64_t event_count(LeaderEvent::Kind kind) const {
        return event_counts_[static_cast<std::size_t>(kind)];
    }

    static constexpr double kProposeTimeoutS = 4;
    static constexpr std::size_t kMaxLeaderEventKinds = 16;   // at least the number of LeaderEvent::Kind

  private:
    struct PendingProposal {
        std::uint64_t number = 0;
        double deadline = 0;
        std::function<void(const ProposeResult&)> answer;
    };
    void on_timer();
    void pump();
    bool pump_control_machine();
    bool pump_follower();
    void pump_publisher();
    void route(const OutgoingMessage& message);
    void deliver(const std::string& from, const Message& message);
    void on_transport_message(const std::string& from, std::uint64_t process, std::string_view body);
    bool may_publish(double now) const;
    void update_term();
    void on_leader_event(const LeaderEvent& event);
    void log_replica_start();
    void log_follower_faults();
    void log_committed();
    void log_active_version(const Version& version);
    void record_active_state(const char* event, const Version& version, const State& state);
    void report_upstream(double now);
    void measure_propagation(double now);
    void answer_proposals(double now);
    void log_disk_fault();
    double next_deadline() const;

    const Options options_;
    const std::string name_;
    const Callbacks callbacks_;
    Logger& log_;
    std::unique_ptr<RolloutStorage> storage_;
    std::unique_ptr<Follower> follower_;
    std::unique_ptr<Replica> replica_;
    std::unique_ptr<Leader> leader_;
    std::unique_ptr<Publisher> publisher_;
    Transport transport_;
    net::Timer timer_;
    bool holds_lease_ = false;
    std::uint64_t term_token_ = 0;                        // the fencing token of the current term; 0: none
    std::deque<std::pair<std::string, Body>> loopback_;   // messages from this process to itself
    std::uint64_t replica_changes_seen_ = 0, last_committed_logged_ = 0, urgent_changes_seen_ = 0;
    std::uint64_t published_number_ = 0;
    Staging published_staging_;
    double report_at_ = kNever, started_at_ = -kNever;   // s; report_at_: of the next report upstream
    std::deque<PendingProposal> pending_proposals_;
    // Time of proposal (s) and number of changes that are not active everywhere yet.
    std::deque<std::pair<double, std::uint64_t>> propagating_;
    double last_propagation_s_ = 0;
    double version_logged_at_ = -kNever;
    std::uint64_t versions_since_logged_ = 0;
    std::array<std::uint64_t, kMaxLeaderEventKinds> event_counts_{};
    bool pumping_ = false, stopped_ = false, disk_fault_logged_ = false, divergence_logged_ = false;
    std::uint64_t logged_refusal_ = 0;   // number of the refused change that was logged last
};

/// The hexadecimal snapshot_checksum() of a state, as of version 0 and term 0. Identifies the state in the
/// event log.
std::string state_digest(const State& state);

}   // namespace slatejunction::rollout
