// All leases of one process: its acceptor, if the configuration names it one, and its candidacies,
// each with k slots where a lease has several.
//
// Rule: a process holds at most one slot of a lease; a candidate that is denied its slot tries the
// next one.
// Inputs: datagrams and `now` in s of a clock that also runs while the machine sleeps
// (boot_clock.hpp).
// Output: datagrams (take_outgoing), changes (take_events), permits to act (permit).
// Invariant: the acceptor's answer leaves only after what it rests on was saved.
// Reason: an acceptor that forgets an answer could grant the lease twice.
// From: PaxosLease; docs/design/fleet.md.
// Seen in: statuses() on the admin page; the events' log lines.
// Never does: I/O, reading a clock. The owner (src/app/fleet_component) sends, saves and calls
// on_timer.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lease/acceptor.hpp"
#include "lease/candidate.hpp"

namespace slatejunction::lease {

/// Durable storage of an acceptor's state.
class AcceptorStorage {
  public:
    virtual ~AcceptorStorage() = default;
    /// False: it could not be saved, and nothing may be answered.
    virtual bool save(std::uint32_t epoch, const std::map<std::string, Grant>& grants) = 0;
};

/// What an acceptor must remember over a restart.
struct AcceptorState {
    std::uint32_t epoch = 0;
    std::map<std::string, Grant> grants;
};

struct LeaseNodeSettings {
    std::string name;
    LeaseTimes times;
    AcceptorSet acceptors;
};

struct LeaseEvent {
    enum class Kind { gained, lost, token_changed, adopted } kind = Kind::gained;
    std::string lease;
    unsigned slot = 0;
    std::uint64_t fencing_token = 0;
    double valid_until = 0;   ///< s, boot_clock_s()
};

struct LeaseStatus {
    std::string lease;
    unsigned slots = 1, slot = 0;   ///< slot: held or sought
    Candidate::State state = Candidate::State::idle;
    std::uint64_t fencing_token = 0;
    double valid_until = 0, held_since = 0;   ///< s, boot_clock_s()
    std::string other_holder;                 ///< named by the last denial; empty: unknown
};

/// Allows one action that must end before `valid_until` (s) and carries the fencing token.
struct Permit {
    std::uint64_t fencing_token = 0;
    double valid_until = 0;
};

inline constexpr unsigned kMaxSlots = 16;

class LeaseNode {
  public:
    /// `holder`: identity drawn for this process, never 0. `state`: what its acceptor saved; null: it waits
    /// for recovery_wait_s() and its tokens begin above `token_floor`. `storage`: must outlive the node;
    /// null: nothing is saved.
    LeaseNode(const LeaseNodeSettings& settings, std::uint64_t holder, std::uint64_t seed, double now,
              std::uint64_t token_floor, const AcceptorState* state = nullptr,
              AcceptorStorage* storage = nullptr);

    /// Seeks one of the lease's slots from now on; without effect if it does already.
    void campaign(double now, const std::string& lease, unsigned slots = 1);
    void release(double now, const std::string& lease);
    void receive(double now, const std::string& from, std::string_view body);
    void on_timer(double now);
    double next_deadline() const;

    struct OutgoingMessage {
        std::string to;
        std::string body;
    };
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }
    std::vector<LeaseEvent> take_events() { return std::exchange(events_, {}); }

    /// Must be called right before each action. False: the action must not begin. An action takes
    /// times.max_action_s at most.
    bool permit(double now, const std::string& lease, Permit& permit) const;
    std::vector<LeaseStatus> statuses() const;
    bool campaigning(const std::string& lease) const { return campaigns_.contains(lease); }
    bool holds(double now, const std::string& lease) const;
    /// Whether a majority of the acceptors answered some round within the last `window_s`.
    bool has_quorum(double now, double window_s) const;
    const Acceptor* acceptor() const { return acceptor_.get(); }
    const LeaseNodeSettings& settings() const { return settings_; }
    void set_acceptors(double now, const AcceptorSet& acceptors);
    std::uint64_t gained() const;
    std::uint64_t lost() const;
    std::uint64_t malformed() const { return malformed_; }
    std::uint64_t failed_saves() const { return failed_saves_; }

    /// Hot restart: what is held goes to the other process of this ingress, which is the same holder.
    std::vector<Candidate::HeldLease> export_holds(double now);
    void import_holds(double now, const std::vector<Candidate::HeldLease>& holds);
    /// Continues the other process's acceptor, which votes no more; this one need not wait then.
    void restore_acceptor(double now, const AcceptorState& state);

  private:
    struct Campaign {
        unsigned slots = 1;
        unsigned slot = 0;   // sought or held
        bool active = false;
        double slot_tried_since = 0;
        std::vector<std::unique_ptr<Candidate>> candidates;   // a slot each
        std::uint64_t reported_token = 0;                     // of the last event; 0: none is held
    };
    std::string slot_name(const std::string& lease, const Campaign& campaign, unsigned slot) const;
    Campaign& find_or_create_campaign(const std::string& lease, unsigned slots);
    void update_campaigns(double now);
    void report_change(const std::string& lease, Campaign& campaign);
    void try_next_slot(double now, Campaign& campaign);
    void deliver_candidate_messages(double now);
    bool deliver_messages_of(double now, Candidate& candidate);
    bool answer_as_acceptor(double now, const Message& message, Message& answer);
    bool save_acceptor();
    void import_hold(double now, const std::string& lease, Campaign& campaign, unsigned slot,
                     const Candidate::HeldLease& hold);

    LeaseNodeSettings settings_;
    std::uint64_t holder_;
    const std::uint64_t token_floor_;
    std::mt19937_64 random_;
    std::unique_ptr<Acceptor> acceptor_;
    AcceptorStorage* const storage_;
    std::uint64_t saved_revision_ = 0;   // of the acceptor
    bool epoch_saved_ = false;
    std::map<std::string, Campaign> campaigns_;
    std::vector<OutgoingMessage> outgoing_;
    std::vector<LeaseEvent> events_;
    std::uint64_t malformed_ = 0, failed_saves_ = 0;
};

}   // namespace slatejunction::lease
