// Runs a process's part of the rollout: a follower, a relay (follower and publisher), or a control machine
// (replica, publisher and, while it holds the lease, leader).
//
// Rule: it carries messages, times and storage between the cores and the sockets, and decides nothing.
// Inputs: messages of the transport and of other control machines, the lease (on_leadership_change,
// Callbacks::fencing_token), proposals. Output: datagrams, active states (Callbacks::activated), log lines
// and records of the event log. Owned by RolloutComponent (app); owns the cores, the transport and the
// storage. Runs on the loop's thread only; callbacks are called from within its methods.
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

/// The rollout's folder of the state directory, locked for this process, and what it holds. Made before
/// everything else: the version that was active is active again before the process serves.
class RolloutStorage {
  public:
    /// Below the existing `directory`. Throws storage::Error when it can't be used.
    RolloutStorage(const std::string& directory, const Options& options);

    const State& state() const { return state_; }   // of a follower: the active version's
    const Version& version() const { return version_; }
    const std::vector<std::string>& set_aside() const;

  private:
    friend class Driver;
    const std::string path_;
    storage::StateDirectory lock_;
    std::unique_ptr<FollowerFileStorage> follower_;   // exactly one of the two is set
    std::unique_ptr<ReplicaFileStorage> replica_;
    FollowerStored stored_;
    State state_;
    Version version_;
};

class Driver {
  public:
    struct Callbacks {
        // Of a follower: validates a state; takes over the active state.
        Validator validate;
        std::function<void(const State& state, const Changes& changes)> activated;
        // Of a control machine: sends to another one (false: not sent); the fencing token while this
        // process holds the lease, else 0.
        std::function<bool(const std::string& to, std::string_view body)> send_to_replica;
        std::function<std::uint64_t()> fencing_token;
    };
    /// The result of a proposal: its number once it is committed, or the error. `undecided`: the number may
    /// or may not be committed later.
    struct ProposeResult {
        std::uint64_t number = 0;
        ProposeError error = ProposeError::none;
        bool undecided = false;
    };

    /// `replicas`: the names of all control machines, with this one; empty if this is none. `process`:
    /// random id of this incarnation. `timers` and `log` must outlive this.
    Driver(const Options& options, const std::string& name, std::vector<std::string> replicas,
           std::uint64_t process, std::uint64_t seed, const std::vector<membership::AuthKey>& keys,
           std::unique_ptr<RolloutStorage> storage, Callbacks callbacks, net::Timers& timers, Logger& log);

    void start();
    void stop();
    void set_keys(const std::vector<membership::AuthKey>& keys) { transport_.set_keys(keys); }
    /// From another control machine.
    void on_replica_message(const std::string& from, std::string_view body);
    void on_leadership_change(bool on);
    /// What the validator depends on has changed.
    void revalidate();
    /// `answer` is called once, after at most kProposeTimeoutS.
    void propose(const std::string& key, const std::optional<std::string>& value,
                 std::function<void(const ProposeResult&)> answer);

    const Follower* follower() const { return follower_.get(); }      // null on control machines
    const Replica* replica() const { return replica_.get(); }         // null elsewhere
    const Leader* leader() const { return leader_.get(); }            // null elsewhere
    const Publisher* publisher() const { return publisher_.get(); }   // null without children
    const Transport& transport() const { return transport_; }
    bool is_leader() const { return leader_ && leader_->phase() == Leader::Phase::ready; }
    Report children_report() const;   // below this process
    Report fleet_report() const;      // of all followers on the leader, else children_report()
    /// s from the proposal of the latest change known to be active everywhere until that was known; 0:
    /// none.
    double last_propagation_s() const { return last_propagation_s_; }
    const std::string& disk_error() const;
    std::uint64_t event_count(LeaderEvent::Kind what) const {
        return event_counts_[static_cast<std::size_t>(what)];
    }

    static constexpr double kProposeTimeoutS = 4;          // s
    static constexpr std::size_t kLeaderEventKinds = 16;   // of LeaderEvent::Kind, at most

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
    bool leads_ = false;
    std::uint64_t term_token_ = 0;                        // the fencing token of the current term; 0: none
    std::deque<std::pair<std::string, Body>> loopback_;   // messages from this process to itself
    std::uint64_t replica_changes_seen_ = 0, last_committed_logged_ = 0, urgent_changes_seen_ = 0;
    std::uint64_t published_number_ = 0;
    Staging published_staging_;
    double report_at_ = kNever, started_at_ = -kNever;
    std::deque<PendingProposal> pending_proposals_;
    std::deque<std::pair<double, std::uint64_t>>
        propagating_;   // proposed at (s), number; not active everywhere yet
    double last_propagation_s_ = 0;
    double version_logged_at_ = -kNever;
    std::uint64_t versions_since_logged_ = 0;
    std::array<std::uint64_t, kLeaderEventKinds> event_counts_{};
    bool pumping_ = false, stopped_ = false, disk_fault_logged_ = false, divergence_logged_ = false;
    std::uint64_t refusal_logged_ = 0;
};

/// XXH64 over every key and value with its length, hexadecimal: identifies a state in the event log.
std::string state_digest(const State& state);

}   // namespace slatejunction::rollout
