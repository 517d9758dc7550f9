// One process's candidacy for one lease: it requests grants from all acceptors, holds the lease with a
// majority, renews it, and stops using it in time.
//
// A lease is acquired in two rounds in which a majority of the acceptors grants it. The first (preparing)
// learns the highest fencing token known to that majority; the second (proposing) claims the next token
// while the grants of the first are still valid. Each later round renews both the grants and the token.
//
// The inputs are campaign(), release(), answers of acceptors, and `now` in s of a clock that also runs
// while the machine is suspended. The outputs are messages to acceptors, state(), fencing_token() and
// valid_until(). A candidate does no I/O and reads no clock; `seed` only determines the backoff jitter.
//
// Invariants:
// - valid_until() counts from before the request was sent, so it ends before a majority's grants expire.
// - Rounds only increase.
// - A token is claimed only above all tokens that a majority knows.
// They prevent a holder that was paused or partitioned away from acting after another one was elected.
//
// The protocol is PaxosLease with fencing tokens (Trencseni, Gazso, Reinhardt 2012); see
// docs/design/fleet.md. LeaseNode owns and calls the candidates; the admin page shows their state through
// LeaseStatus, and changes are reported as LeaseEvent.
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

/// The acceptors of all leases. During a reconfiguration a majority of both sets is required
/// (docs/design/fleet.md).
struct AcceptorSet {
    std::vector<std::string> current;
    std::vector<std::string> previous;   ///< set of the previous epoch during a reconfiguration, else empty
    std::uint32_t epoch = 1;
    bool operator==(const AcceptorSet&) const = default;
    std::set<std::string> members() const;
    /// Whether `acceptors` contains a majority of each set.
    bool has_majority(const std::set<std::string>& acceptors) const;
};

struct AddressedMessage {
    std::string to;
    Message message;
};

class Candidate {
  public:
    enum class State { idle, backoff, preparing, proposing, held };

    /// `name` is the human-readable name of this process, `holder` its identity, which is never 0.
    Candidate(std::string lease, std::string name, std::uint64_t holder, const LeaseTimes& times,
              const AcceptorSet& acceptors, std::uint64_t seed);

    /// Starts to compete for the lease; has no effect while it already does.
    void campaign(double now);
    /// Ends the candidacy and releases the lease if it is held.
    void release(double now);
    /// Handles an answer of `acceptor`.
    void receive(double now, const std::string& acceptor, const Message& answer);
    void on_timer(double now);
    double next_deadline() const;
    void set_acceptors(double now, const AcceptorSet& acceptors);
    std::vector<AddressedMessage> take_outgoing() { return std::exchange(outgoing_, {}); }

    State state() const { return state_; }
    /// Whether the lease is held and an action that begins now ends before another process can hold it.
    bool may_act(double now) const {
        return state_ == State::held && lease::may_act(times_, now, valid_until_);
    }
    bool holds(double now) const { return state_ == State::held && now < valid_until_; }
    /// Returns 0 if the lease is not held.
    std::uint64_t fencing_token() const { return state_ == State::held ? fencing_token_ : 0; }
    double valid_until() const { return valid_until_; }   ///< s by this process's clock; 0: not held
    double held_since() const { return held_since_; }
    const std::string& lease() const { return lease_; }
    std::uint64_t holder() const { return holder_; }
    /// The holder that the last denial named, and the time of that denial; empty if there was none.
    const std::string& other_holder() const { return other_holder_; }
    double denied_at() const { return denied_at_; }
    std::uint64_t gained() const { return gained_; }   ///< number of times the lease was acquired
    std::uint64_t lost() const { return lost_; }       ///< number of times a held lease expired
    /// The last time at which a majority had answered a round, whether with grants or denials.
    double last_quorum_at() const { return last_quorum_at_; }

    /// Returns the state that determines the future decisions, with times relative to `now`, so that a
    /// model checker recognizes states it has visited.
    std::string state_digest(double now) const;

    /// A held lease that another process of this ingress on the same machine takes over.
    struct HeldLease {
        std::string lease;
        std::uint64_t holder = 0, round = 0, fencing_token = 0;   ///< token 0: the lease was not held
        double valid_until = 0, held_since = 0;                   ///< s of boot_clock_s()
    };
    /// Ends the candidacy without releasing the grants at the acceptors.
    HeldLease export_hold(double now);
    /// Takes over `hold` under its holder's identity; an expired one only resumes the candidacy. Has no
    /// effect if `hold` is of another lease or was not held.
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
    double draw_backoff_s(double min_factor, double max_factor);

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
    double next_attempt_at_ = 0;   // end of the backoff, or time of the next renewal
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
