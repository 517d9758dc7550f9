// All leases of one process: its voter, if the file names it one, and what it seeks and holds, with k slots
// where a lease has several. A decision room: messages and the time in, messages and changes out.
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

// Where a voter's memory outlives the process. False: it could not be kept, and nothing may be answered.
class AcceptorStorage {
  public:
    virtual ~AcceptorStorage() = default;
    virtual bool save(std::uint32_t step, const std::map<std::string, Grant>& grants) = 0;
};

struct AcceptorState {
    std::uint32_t step = 0;
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
    double until = 0;
};

struct LeaseStatus {
    std::string lease;
    unsigned slots = 1, slot = 0;   // slot: held, or sought
    Candidate::State state = Candidate::State::idle;
    std::uint64_t fencing_token = 0;
    double until = 0, since = 0;
    std::string other_holder;   // who holds it, as a voter told last; empty: nobody told
};

struct Permit {
    std::uint64_t fencing_token = 0;
    double valid_until = 0;   // the act is to be over by then
};

inline constexpr unsigned kSlotsMost = 16;

class LeaseNode {
  public:
    // `holder`: drawn for this process, never 0. `memory`: what its voter kept, null: nothing; then the
    // voter waits, and its numbers begin above `floor`. `home`: null: nothing is kept. Lives longer.
    LeaseNode(const LeaseNodeSettings& settings, std::uint64_t holder, std::uint64_t seed, double now,
              std::uint64_t floor, const AcceptorState* memory = nullptr, AcceptorStorage* home = nullptr);

    // Wants one of the lease's slots from now on; again: nothing.
    void campaign(double now, const std::string& lease, unsigned slots = 1);
    void release(double now, const std::string& lease);
    void receive(double now, const std::string& from, std::string_view body);
    void on_timer(double now);
    double next_deadline() const;

    struct OutgoingMessage {
        std::string to;
        std::string body;
    };
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(posts_, {}); }
    std::vector<LeaseEvent> take_events() { return std::exchange(changes_, {}); }

    // To be asked right before each act. None: it must not be begun. An act takes times.act_s at most.
    bool permit(double now, const std::string& lease, Permit& permit) const;
    std::vector<LeaseStatus> statuses() const;
    bool campaigning(const std::string& lease) const { return wants_.contains(lease); }
    bool holds(double now, const std::string& lease) const;
    // A majority of the voters answered some ask of the last `s` seconds.
    bool has_quorum(double now, double s) const;
    const Acceptor* acceptor() const { return voter_.get(); }
    const LeaseNodeSettings& settings() const { return settings_; }
    void set_acceptors(double now, const AcceptorSet& voters);
    std::uint64_t gained() const;
    std::uint64_t lost() const;
    std::uint64_t unreadable() const { return unreadable_; }
    std::uint64_t failed_saves() const { return not_kept_; }

    // An upgrade: what is held goes to the other process of this ingress, which is the same holder.
    std::vector<Candidate::HeldLease> export_holds(double now);
    void import_holds(double now, const std::vector<Candidate::HeldLease>& holds);
    // What the other process's voter has granted; it votes no more. This one's need not wait then.
    void restore_acceptor(double now, const AcceptorState& memory);

  private:
    struct Want {
        unsigned slots = 1, at = 0;   // the slot that is sought or held
        bool wanted = false;
        double tried_at = 0;   // that slot, since
        std::vector<std::unique_ptr<Candidate>> seekers;
        std::uint64_t told = 0;   // the number that a change was told of; 0: none is held
    };
    std::string slot_name(const std::string& lease, const Want& want, unsigned slot) const;
    Want& want(const std::string& lease, unsigned slots);
    void settle(double now);
    void deliver(double now);
    bool answer(double now, const Message& message, Message& reply);

    LeaseNodeSettings settings_;
    std::uint64_t holder_;
    const std::uint64_t floor_;
    std::mt19937_64 random_;
    std::unique_ptr<Acceptor> voter_;
    AcceptorStorage* const home_;
    std::uint64_t kept_ = 0;   // the voter's changes, as far as they are kept
    bool step_kept_ = false;
    std::map<std::string, Want> wants_;
    std::vector<OutgoingMessage> posts_;
    std::vector<LeaseEvent> changes_;
    std::uint64_t unreadable_ = 0, not_kept_ = 0;
};

}   // namespace slatejunction::lease
