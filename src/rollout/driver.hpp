// Carries a process's part of the rollout: a follower's, a relay's, or a control machine's (replica, feeder
// and, while it holds the lease, source). Moves messages, times and what the home keeps between the cores
// and sockets; decides nothing.
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

// The folder of a rollout, of this process alone, and what it holds: made before everything else, as what
// was in force is in force again before the process serves.
class RolloutStorage {
  public:
    // In the existing folder `directory`. Throws storage::Error when it can't be used.
    RolloutStorage(const std::string& directory, const Options& options);

    const State& state() const { return state_; }   // of the version that was in force; a follower's
    const Version& version() const { return version_; }
    const std::vector<std::string>& set_aside() const;

  private:
    friend class Driver;
    const std::string path_;
    storage::StateDirectory lock_;
    std::unique_ptr<FollowerFileStorage> follower_;   // one of the two
    std::unique_ptr<ReplicaFileStorage> replica_;
    FollowerStored stored_;
    State state_;
    Version version_;
};

class Driver {
  public:
    struct Callbacks {
        // Of a follower: whether a state can be used, and one that is in force now.
        Validator validate;
        std::function<void(const State& state, const Changes& changes)> activated;
        // Of a control machine: to another one (false: it was not sent); the fencing number while this
        // process holds the lease, else 0.
        std::function<bool(const std::string& to, std::string_view body)> send_to_replica;
        std::function<std::uint64_t()> fencing_token;
    };
    // Whoever waits for a change: its number once it is committed, or why not. `number` with `later`: it is
    // not known yet whether it will be.
    struct ProposeResult {
        std::uint64_t number = 0;
        ProposeError error = ProposeError::none;
        bool undecided = false;
    };

    // `replicas`: the control machines by name, this one too; none where this is none.
    Driver(const Options& options, const std::string& name, std::vector<std::string> replicas,
           std::uint64_t process, std::uint64_t seed, const std::vector<membership::AuthKey>& keys,
           std::unique_ptr<RolloutStorage> home, Callbacks ways, net::Timers& timers, Logger& log);

    void start();
    void stop();
    void set_keys(const std::vector<membership::AuthKey>& keys) { transport_.set_keys(keys); }
    void on_replica_message(const std::string& from,
                            std::string_view body);   // from another control machine
    void on_leadership_change(bool on);
    void recheck();   // what the consumer's check rests on has changed
    // Answered once, after at most kProposeMost.
    void propose(const std::string& key, const std::optional<std::string>& value,
                 std::function<void(const ProposeResult&)> answer);

    const Follower* follower() const { return follower_.get(); }      // null: a control machine
    const Replica* replica() const { return replica_.get(); }         // null: none
    const Leader* leader() const { return leader_.get(); }            // the same
    const Publisher* publisher() const { return publisher_.get(); }   // null: no children
    const Transport& transport() const { return transport_; }
    bool is_leader() const { return leader_ && leader_->phase() == Leader::Phase::ready; }
    Report children_report() const;   // below this process; empty without any
    Report fleet_report() const;      // as far as this process knows: all, where it conducts
    // s from the proposal of the last change that is known to be in force everywhere until that was known;
    // 0: none yet.
    double last_propagation_s() const { return last_propagation_s_; }
    const std::string& disk_fault() const;
    std::uint64_t event_count(LeaderEvent::Kind what) const {
        return event_counts_[static_cast<std::size_t>(what)];
    }

    static constexpr double kProposeTimeoutS = 4;          // s
    static constexpr std::size_t kLeaderEventKinds = 16;   // room for all SourceEvent::What

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
    void route(const OutgoingMessage& post);
    void deliver(const std::string& from, const Message& message);
    void on_transport_message(const std::string& from, std::uint64_t process, std::string_view body);
    bool may_publish(double now) const;
    void update_term();
    void on_leader_event(const LeaderEvent& event);
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
    std::uint64_t term_token_ = 0;                        // the fencing number that the source was told of
    std::deque<std::pair<std::string, Body>> loopback_;   // from this process to itself: from whom
    std::uint64_t replica_changes_seen_ = 0, last_committed_logged_ = 0, urgent_changes_seen_ = 0;
    std::uint64_t published_number_ = 0;
    Staging published_staging_;
    double report_at_ = 1e18, started_at_ = -1e18;
    std::deque<PendingProposal> pending_proposals_;
    std::deque<std::pair<double, std::uint64_t>> propagating_;   // when, number; not everywhere yet
    double last_propagation_s_ = 0;
    double version_logged_at_ = -1e18;
    std::uint64_t versions_since_logged_ = 0;
    std::array<std::uint64_t, kLeaderEventKinds> event_counts_{};
    bool pumping_ = false, stopped_ = false, disk_fault_logged_ = false, divergence_logged_ = false;
    std::uint64_t refusal_logged_ = 0;
};

// XXH64 over every key and value with its length, hexadecimal: what records say of a state.
std::string state_digest(const State& state);

}   // namespace slatejunction::rollout
