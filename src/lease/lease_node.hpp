// All leases of one process: its acceptor, if the configuration lists the process as one, and its
// candidacies. A lease may have several slots, each of which has one holder at most.
//
// A process holds at most one slot of a lease. A candidate that is denied its slot tries the next one.
//
// The inputs are datagrams, and `now` in s of a clock that also runs while the machine is suspended
// (boot_clock.hpp). The outputs are datagrams (take_outgoing), changes of held leases (take_events) and
// permits to act (permit). A node does no I/O and reads no clock: the owner (src/app/fleet_component) sends
// the datagrams, saves the state through AcceptorStorage, and calls on_timer.
//
// Invariant: an answer of the acceptor is sent only after the state it depends on was saved, because an
// acceptor that lost that state could grant the lease twice.
//
// The protocol is PaxosLease; see docs/design/fleet.md. The admin page shows statuses(), and the events are
// logged.
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
    /// Returns false if the state could not be saved; then no answer may be sent.
    virtual bool save(std::uint32_t epoch, const std::map<std::string, Grant>& grants) = 0;
};

/// The state that an acceptor must keep across a restart.
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
    double valid_until = 0;   ///< s of boot_clock_s()
};

struct LeaseStatus {
    std::string lease;
    unsigned slots = 1, slot = 0;   ///< `slot` is the one that is held or requested
    Candidate::State state = Candidate::State::idle;
    std::uint64_t fencing_token = 0;
    double valid_until = 0, held_since = 0;   ///< s of boot_clock_s()
    std::string other_holder;                 ///< named by the last denial; empty: unknown
};

/// Allows one action, which carries the fencing token and must end by `valid_until` (s of boot_clock_s()).
struct Permit {
    std::uint64_t fencing_token = 0;
    double valid_until = 0;
};

inline constexpr unsigned kMaxSlots = 16;

class LeaseNode {
  public:
    /// `holder` is the random identity of this process, never 0. `state` is what its acceptor saved; if it
    /// is null, the acceptor is silent for recovery_wait_s(). Tokens of leases that the acceptor does not
    /// know begin above `token_floor`. `storage` must outlive the node; if it is null, nothing is saved.
    LeaseNode(const LeaseNodeSettings& settings, std::uint64_t holder, std::uint64_t seed, double now,
              std::uint64_t token_floor, const AcceptorState* state = nullptr,
              AcceptorStorage* storage = nullptr);

    /// Starts to compete for one of the lease's slots; has no effect while it already does.
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

    /// Must be called right before each action. Returns false if the action must not begin. An action may
    /// take times.max_action_s at most.
    bool permit(double now, const std::string& lease, Permit& permit) const;
    std::vector<LeaseStatus> statuses() const;
    /// Whether campaign() has been called for the lease, even if it was released since.
    bool campaigning(const std::string& lease) const { return campaigns_.contains(lease); }
    bool holds(double now, const std::string& lease) const;
    /// Whether a majority of the acceptors answered a round of some lease within the last `window_s`.
    bool has_quorum(double now, double window_s) const;
    const Acceptor* acceptor() const { return acceptor_.get(); }
    const LeaseNodeSettings& settings() const { return settings_; }
    void set_acceptors(double now, const AcceptorSet& acceptors);
    std::uint64_t gained() const;
    std::uint64_t lost() const;
    /// Number of received datagrams that could not be decoded.
    std::uint64_t malformed() const { return malformed_; }
    std::uint64_t failed_saves() const { return failed_saves_; }

    /// During a hot restart, transfers the held leases to the other process of this ingress, which
    /// continues as the same holder.
    std::vector<Candidate::HeldLease> export_holds(double now);
    void import_holds(double now, const std::vector<Candidate::HeldLease>& holds);
    /// Takes over the state of the other process's acceptor, which no longer answers, without a recovery.
    void restore_acceptor(double now, const AcceptorState& state);

  private:
    struct Campaign {
        unsigned slots = 1;
        unsigned slot = 0;   // the one that is requested or held
        bool active = false;
        double slot_tried_since = 0;
        std::vector<std::unique_ptr<Candidate>> candidates;   // one per slot
        std::uint64_t reported_token = 0;                     // of the last event; 0: no slot is held
    };
    std::string slot_name(const std::string& lease, const Campaign& campaign, unsigned slot) const;
    Campaign& find_or_create_campaign(const std::string& lease, unsigned slots);
    void update_campaigns(double now);
    void report_token_change(const std::string& lease, Campaign& campaign);
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
    std::uint64_t saved_revision_ = 0;   // revision of the acceptor that was last saved
    bool epoch_saved_ = false;
    std::map<std::string, Campaign> campaigns_;
    std::vector<OutgoingMessage> outgoing_;
    std::vector<LeaseEvent> events_;
    std::uint64_t malformed_ = 0, failed_saves_ = 0;
};

}   // namespace slatejunction::lease
