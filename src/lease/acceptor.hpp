// One acceptor (PaxosLease): to whom it has granted each lease, until when, and the highest fencing
// token.
//
// Rule: a request is granted if no grant to another holder is live, its round is not older than the
// last of that holder, its fencing token is above all known ones or already that holder's, its
// duration is not longer than this acceptor's own, and its epoch is not older.
// Inputs: messages, and `now` in s of a clock that also runs while the machine sleeps
// (boot_clock.hpp).
// Output: one answer or none; grants() and revision() tell the owner what it must save before it sends
// it.
// Invariants (docs/design/fleet.md):
//  1. While a grant lives the lease is granted to nobody else.
//  2. A fencing token is accepted only if it is higher than any known one, or its owner's again.
//  3. A round older than the last one of that holder changes nothing.
//  4. Without its state the acceptor is silent for recovery_wait_s(), and its tokens begin at
//     `token_floor`.
//  5. Requests of an older epoch of the acceptor set are refused, for good.
// Reason: two majorities share an acceptor, so at most one candidate has a majority of live grants.
// From: PaxosLease (Trencseni, Gazso, Reinhardt 2012).
// Seen in: the "voting" field of the admin page.
// Never does: I/O, reading a clock. LeaseNode owns and calls it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lease/lease_bounds.hpp"

namespace slatejunction::lease {

/// The values are on the wire.
enum class MessageKind : std::uint32_t { request = 1, granted, denied, release, stale_epoch };

/// One datagram between a candidate and an acceptor; an answer repeats lease, holder and round.
struct Message {
    MessageKind kind = MessageKind::request;
    std::string lease;
    std::uint64_t holder = 0;   ///< identity of the candidate's process, never 0
    std::uint64_t round = 0;    ///< of that holder and lease; only ever higher
    /// Of a request: the token claimed, 0 to learn the highest. Of an answer: the highest known.
    std::uint64_t fencing_token = 0;
    double duration_s = 0;   ///< of a request: of the grant; of a denial: that another's grant still lives
    std::uint32_t epoch = 0;   ///< of the acceptor set, by the sender's configuration
    std::string holder_name;   ///< for people
    bool operator==(const Message&) const = default;
};

std::string encode(const Message& message);
/// False: `bytes` are no valid message.
bool decode(std::string_view bytes, Message& message);

/// What an acceptor stores of one lease.
struct Grant {
    std::uint64_t holder = 0, round = 0;
    std::uint64_t fencing_token = 0;   ///< the highest known
    std::uint64_t token_owner = 0;     ///< the holder that claimed it; 0: nobody did
    double expires_at = 0;             ///< s, the acceptor's clock; in the past: the lease is free
    std::string holder_name;
};

class Acceptor {
  public:
    static constexpr std::size_t kMaxLeases = 256;

    /// `token_floor`: tokens begin above it. `has_state`: `stored` is all that was granted before, and each
    /// grant counts as given at `now`; otherwise the acceptor is silent until recovery_ends_at().
    Acceptor(const LeaseTimes& times, double now, std::uint64_t token_floor, bool has_state,
             const std::map<std::string, Grant>& stored = {}, std::uint32_t epoch = 0);

    /// Handles a request or release. False: there is no answer to send.
    bool receive(double now, const Message& message, Message& answer);
    bool is_voting(double now) const { return now >= recovery_ends_at_; }
    double recovery_ends_at() const { return recovery_ends_at_; }
    std::uint32_t epoch() const { return epoch_; }
    /// The epoch never goes back.
    void set_epoch(std::uint32_t epoch) { epoch_ = std::max(epoch_, epoch); }
    const std::map<std::string, Grant>& grants() const { return grants_; }
    /// Goes up with each change that must be saved.
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
