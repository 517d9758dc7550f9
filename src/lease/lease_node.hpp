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
class Home {
  public:
    virtual ~Home() = default;
    virtual bool keep(std::uint32_t step, const std::map<std::string, Grant>& grants) = 0;
};

struct Memory {
    std::uint32_t step = 0;
    std::map<std::string, Grant> grants;
};

struct RoomSettings {
    std::string name;
    Times times;
    Voters voters;
};

struct Change {
    enum class What { gained, lost, renumbered, adopted } what = What::gained;
    std::string lease;
    unsigned slot = 0;
    std::uint64_t number = 0;
    double until = 0;
};

struct View {
    std::string lease;
    unsigned slots = 1, slot = 0;   // slot: held, or sought
    Seeker::State state = Seeker::State::idle;
    std::uint64_t number = 0;
    double until = 0, since = 0;
    std::string other;   // who holds it, as a voter told last; empty: nobody told
};

struct Permit {
    std::uint64_t number = 0;
    double until = 0;   // the act is to be over by then
};

inline constexpr unsigned kSlotsMost = 16;

class Room {
  public:
    // `holder`: drawn for this process, never 0. `memory`: what its voter kept, null: nothing; then the
    // voter waits, and its numbers begin above `floor`. `home`: null: nothing is kept. Lives longer.
    Room(const RoomSettings& settings, std::uint64_t holder, std::uint64_t seed, double now,
         std::uint64_t floor, const Memory* memory = nullptr, Home* home = nullptr);

    // Wants one of the lease's slots from now on; again: nothing.
    void seek(double now, const std::string& lease, unsigned slots = 1);
    void release(double now, const std::string& lease);
    void receive(double now, const std::string& from, std::string_view body);
    void wake(double now);
    double due() const;

    struct Post {
        std::string to;
        std::string body;
    };
    std::vector<Post> take_posts() { return std::exchange(posts_, {}); }
    std::vector<Change> take_changes() { return std::exchange(changes_, {}); }

    // To be asked right before each act. None: it must not be begun. An act takes times.act_s at most.
    bool permit(double now, const std::string& lease, Permit& permit) const;
    std::vector<View> views() const;
    bool seeks(const std::string& lease) const { return wants_.contains(lease); }
    bool holds(double now, const std::string& lease) const;
    // A majority of the voters answered some ask of the last `s` seconds.
    bool quorum(double now, double s) const;
    const Voter* voter() const { return voter_.get(); }
    const RoomSettings& settings() const { return settings_; }
    void set_voters(double now, const Voters& voters);
    std::uint64_t gained() const;
    std::uint64_t lost() const;
    std::uint64_t unreadable() const { return unreadable_; }
    std::uint64_t not_kept() const { return not_kept_; }

    // An upgrade: what is held goes to the other process of this ingress, which is the same holder.
    std::vector<Seeker::Hold> give(double now);
    void adopt(double now, const std::vector<Seeker::Hold>& holds);
    // What the other process's voter has granted; it votes no more. This one's need not wait then.
    void remember(double now, const Memory& memory);

  private:
    struct Want {
        unsigned slots = 1, at = 0;   // the slot that is sought or held
        bool wanted = false;
        double tried_at = 0;   // that slot, since
        std::vector<std::unique_ptr<Seeker>> seekers;
        std::uint64_t told = 0;   // the number that a change was told of; 0: none is held
    };
    std::string slot_name(const std::string& lease, const Want& want, unsigned slot) const;
    Want& want(const std::string& lease, unsigned slots);
    void settle(double now);
    void deliver(double now);
    bool answer(double now, const Message& message, Message& reply);

    RoomSettings settings_;
    std::uint64_t holder_;
    const std::uint64_t floor_;
    std::mt19937_64 random_;
    std::unique_ptr<Voter> voter_;
    Home* const home_;
    std::uint64_t kept_ = 0;   // the voter's changes, as far as they are kept
    bool step_kept_ = false;
    std::map<std::string, Want> wants_;
    std::vector<Post> posts_;
    std::vector<Change> changes_;
    std::uint64_t unreadable_ = 0, not_kept_ = 0;
};

}   // namespace slatejunction::lease
