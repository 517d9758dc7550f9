// One acceptor of the lease protocol. It stores, per lease, the holder it has granted to, the expiry of
// that grant, and the highest fencing token.
//
// A request is granted if all of these hold:
// - no grant to another holder is unexpired;
// - its round is not older than the last one of that holder;
// - the token it claims is above all known ones, or is already that holder's;
// - its duration is not longer than the acceptor's own;
// - its epoch is not older than the acceptor's.
//
// The inputs are messages, and `now` in s of a clock that also runs while the machine is suspended
// (boot_clock.hpp). The output of a message is one answer or none. The owner (LeaseNode) compares
// revision() and saves grants() before it sends the answer. An acceptor does no I/O and reads no clock.
//
// Invariants (docs/design/fleet.md):
// - Until a grant expires, the lease is granted to nobody else.
// - A claimed fencing token is accepted only if it is above all known ones, or its owner claims it again.
// - A round older than the last one of that holder changes nothing.
// - Without its state an acceptor is silent for recovery_wait_s(); its tokens begin above `token_floor`.
// - Requests of an older epoch of the acceptor set are always refused.
//
// Two majorities share an acceptor, so at most one candidate has a majority of unexpired grants. The
// protocol is PaxosLease (Trencseni, Gazso, Reinhardt 2012). The "voting" field of the admin page shows
// is_voting().
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lease/lease_bounds.hpp"

namespace slatejunction::lease {

/// The numeric values are part of the wire format.
enum class MessageKind : std::uint32_t { request = 1, granted, denied, release, stale_epoch };

/// One datagram between a candidate and an acceptor. An answer repeats lease, holder and round.
struct Message {
    MessageKind kind = MessageKind::request;
    std::string lease;
    std::uint64_t holder = 0;   ///< identity of the candidate's process, never 0
    std::uint64_t round = 0;    ///< of that holder and lease; only increases
    /// In a request: the token that is claimed, or 0 to learn the highest known one. In an answer: the
    /// highest known one.
    std::uint64_t fencing_token = 0;
    /// In a request: the duration of the grant. In a denial: what remains of the other holder's grant.
    double duration_s = 0;
    std::uint32_t epoch = 0;   ///< of the acceptor set, as configured at the sender
    std::string holder_name;   ///< human-readable
    bool operator==(const Message&) const = default;
};

std::string encode(const Message& message);
/// Returns false if `bytes` is not a valid message.
bool decode(std::string_view bytes, Message& message);

/// What an acceptor stores of one lease.
struct Grant {
    std::uint64_t holder = 0, round = 0;
    std::uint64_t fencing_token = 0;   ///< the highest known
    std::uint64_t token_owner = 0;     ///< the holder that claimed that token; 0: none
    double expires_at = 0;             ///< s by the acceptor's clock; the lease is free from then on
    std::string holder_name;
};

class Acceptor {
  public:
    static constexpr std::size_t kMaxLeases = 256;

    /// Tokens of new leases begin above `token_floor`. If `has_state` is true, `stored` must be everything
    /// that was granted before, and each grant counts as given at `now`; otherwise the acceptor is silent
    /// until recovery_ends_at().
    Acceptor(const LeaseTimes& times, double now, std::uint64_t token_floor, bool has_state,
             const std::map<std::string, Grant>& stored = {}, std::uint32_t epoch = 0);

    /// Handles a request or a release. Returns false if there is no answer to send.
    bool receive(double now, const Message& message, Message& answer);
    bool is_voting(double now) const { return now >= recovery_ends_at_; }
    double recovery_ends_at() const { return recovery_ends_at_; }
    std::uint32_t epoch() const { return epoch_; }
    /// Raises the epoch; a lower value has no effect.
    void set_epoch(std::uint32_t epoch) { epoch_ = std::max(epoch_, epoch); }
    const std::map<std::string, Grant>& grants() const { return grants_; }
    /// Increases with each change that must be saved.
    std::uint64_t revision() const { return revision_; }

  private:
    Grant* find_or_create_grant(const Message& message);
    void release(double now, const Message& message, Grant& grant);
    bool handle_request(double now, const Message& request, Grant& grant, Message& answer);
    void store_grant(double now, const Message& request, bool claims_token, Grant& grant);

    const LeaseTimes times_;
    const std::uint64_t token_floor_;
    double recovery_ends_at_ = 0;
    std::uint32_t epoch_ = 0;
    std::map<std::string, Grant> grants_;
    std::uint64_t revision_ = 0;
};

}   // namespace slatejunction::lease
