// One process's candidacy for one lease, and its hold: asks all acceptors, holds with a majority,
// renews, and stops in time (PaxosLease with fencing tokens).
//
// Rule: a lease is held from two rounds in which a majority of the acceptors granted it: the first
// (preparing) learns the highest fencing token of that majority, the second (proposing) claims the
// next one while the first still counts. Each later round renews both.
// Inputs: campaign()/release(), answers of acceptors, and `now` in s of a clock that also runs while
// the machine sleeps.
// Output: messages to acceptors; state(), fencing_token(), valid_until().
// Invariants: valid_until() counts from before the request was sent, so it ends before a majority's
// grants do; rounds only go up; a token is claimed only above all that a majority knows.
// Reason: a holder that is paused or cut off must not act after another one was elected.
// From: PaxosLease (Trencseni, Gazso, Reinhardt 2012); docs/design/fleet.md.
// Seen in: LeaseStatus on the admin page, LeaseEvent of LeaseNode, which owns and calls it.
// Never does: I/O, reading a clock. `seed` serves backoff jitter only.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lease/acceptor.hpp"

namespace slatejunction::lease {

/// The acceptors. During a reconfiguration a majority of both sets is required (docs/design/fleet.md).
struct AcceptorSet {
    std::vector<std::string> current;
    std::vector<std::string> previous;   ///< of the epoch before, while the set changes; else empty
    std::uint32_t epoch = 1;
    bool operator==(const AcceptorSet&) const = default;
    std::set<std::string> members() const;
    /// Whether `acceptors` hold a majority of each set.
    bool has_majority(const std::set<std::string>& acceptors) const;
};

struct AddressedMessage {
    std::string to;
    Message message;
};

class Candidate {
  public:
    enum class State { idle, backoff, preparing, proposing, held };

    /// `name`: of this process, for people. `holder`: its identity, never 0.
    Candidate(std::string lease, std::string name, std::uint64_t holder, const LeaseTimes& times,
              const AcceptorSet& acceptors, std::uint64_t seed);

    /// Seeks the lease from now on; without effect if it does already.
    void campaign(double now);
    /// Gives up the candidacy; what is held ends now.
    void release(double now);
    /// An answer of `acceptor`.
    void receive(double now, const std::string& acceptor, const Message& answer);
    void on_timer(double now);
    double next_deadline() const;
    void set_acceptors(double now, const AcceptorSet& acceptors);
    std::vector<AddressedMessage> take_outgoing() { return std::exchange(outgoing_, {}); }

    State state() const { return state_; }
    /// Held, and an action that begins now ends before another process can hold the lease.
    bool may_act(double now) const {
        return state_ == State::held && lease::may_act(times_, now, valid_until_);
    }
    bool holds(double now) const { return state_ == State::held && now < valid_until_; }
    /// 0: not held.
    std::uint64_t fencing_token() const { return state_ == State::held ? fencing_token_ : 0; }
    double valid_until() const { return valid_until_; }   ///< s, this process's clock; 0: not held
    double held_since() const { return held_since_; }
    const std::string& lease() const { return lease_; }
    std::uint64_t holder() const { return holder_; }
    /// The holder named by the last denial, and when that came; empty: none came.
    const std::string& other_holder() const { return other_holder_; }
    double denied_at() const { return denied_at_; }
    std::uint64_t gained() const { return gained_; }
    std::uint64_t lost() const { return lost_; }   ///< holds that expired
    /// When a majority last answered a round, be it by denials.
    double last_quorum_at() const { return last_quorum_at_; }

    /// All that its future depends on, times relative to `now`: for model checking.
    std::string state_digest(double now) const;

    /// A hold to be continued by another process of this ingress on this machine.
    struct HeldLease {
        std::string lease;
        std::uint64_t holder = 0, round = 0, fencing_token = 0;   ///< token 0: nothing was held
        double valid_until = 0, held_since = 0;                   ///< s, boot_clock_s()
    };
    /// Ends the candidacy here without telling the acceptors.
    HeldLease export_hold(double now);
    /// Continues a hold under its holder's identity; ignored if it is of another lease or none.
    void import_hold(double now, const HeldLease& hold);

  private:
    void start_round(double now, std::uint64_t token);
    void fail_round(double now, double wait_s);
    void release_grants();
    void drop_lease();
    void send(const std::string& acceptor, MessageKind kind, std::uint64_t token, double duration_s);
    void renew_or_expire(double now);
    void record_answer(double now, const std::string& acceptor, const Message& answer);
    bool on_majority_granted(double now);
    void complete_prepare(double now);
    void complete_propose(double now);
    void complete_renewal();
    bool majority_still_possible() const;
    double draw_backoff_s(double least, double most);

    const std::string lease_, name_;
    std::uint64_t holder_;
    const LeaseTimes times_;
    AcceptorSet acceptors_;
    std::minstd_rand random_;   // backoff jitter only
    State state_ = State::idle;
    bool campaigning_ = false;
    std::uint64_t round_ = 0;
    std::uint64_t fencing_token_ = 0, highest_known_token_ = 0, requested_token_ = 0;
    double round_started_at_ = 0, prepare_started_at_ = 0;
    double valid_until_ = 0, held_since_ = 0;
    double next_attempt_at_ = 0;   // the end of a backoff, or the next renewal
    double last_quorum_at_ = -1e18;
    bool round_open_ = false;
    std::set<std::string> granted_by_, answered_by_;
    std::vector<AddressedMessage> outgoing_;
    std::string other_holder_;
    double denied_at_ = -1e18;
    double denial_remaining_s_ = 0;
    std::uint64_t gained_ = 0, lost_ = 0;
};

}   // namespace slatejunction::lease
