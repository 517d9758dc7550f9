// Replicated registers: small values that the holder of a lease leaves for the holders after it,
// stored by the acceptors. One register per name, fenced by the lease's fencing tokens.
//
// Rule: a write is committed once a majority of the acceptors has stored it; an acceptor refuses
// everything under a token lower than the highest it has seen.
// Inputs: messages and `now` in s (RegisterClient).
// Output: messages; values once a majority has answered.
// Invariant: whoever reads under a higher token sees all committed writes under lower ones and shuts
// out those still under way.
// Reason: two holders never have the same token, so tokens serve as ballots.
// From: RAMBO (Gilbert, Lynch, Shvartsman 2010), Disk Paxos (Gafni, Lamport 2003);
// docs/design/fleet.md. Safety rests on the tokens alone, but for acceptors that lost their state:
// they don't answer during recovery (Acceptor::is_voting) and mark what they may have forgotten
// (`storage_intact`). A register that fewer than a majority remember, though a majority answers, is `lost`
// after kLostAfterGrants grant durations: its reader continues from the highest value seen.
// Never does: I/O, reading a clock. src/app/fleet_component owns the acceptor, the users of registers
// (fleet_counters, rollout) the clients.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lease/candidate.hpp"

namespace slatejunction::lease {

inline constexpr std::size_t kMaxValueBytes = 860;   // so that a message fits into one datagram
inline constexpr std::size_t kMaxRegisters = 64;     // of one acceptor
inline constexpr double kLostAfterGrants = 4;        // times the grant's duration

/// A value with its version: the writer's fencing token, then the writer's own count.
struct RegisterValue {
    std::uint64_t fencing_token = 0, sequence = 0;
    std::string text;
    bool operator==(const RegisterValue&) const = default;
    /// Whether this version is older.
    bool before(const RegisterValue& other) const {
        if (fencing_token != other.fencing_token) return fencing_token < other.fencing_token;
        return sequence < other.sequence;
    }
};

/// One datagram between a client and an acceptor; an answer repeats name, fencing_token and request_id.
struct RegisterMessage {
    /// The values are on the wire.
    enum class Kind { read = 1, read_reply, write, write_ack, superseded } kind = Kind::read;
    std::string name;
    std::uint64_t fencing_token = 0;   ///< of the client
    std::uint64_t request_id = 0;
    RegisterValue value;         ///< of a write and a read_reply
    bool value_intact = false;   ///< of a read_reply: nothing of this name was forgotten
    std::uint32_t epoch = 0;     ///< of the acceptor set
};
std::string encode(const RegisterMessage& message);
/// False: `bytes` are no valid message.
bool decode(std::string_view bytes, RegisterMessage& message);

/// An acceptor's registers.
class RegisterAcceptor {
  public:
    struct StoredRegister {
        std::uint64_t promised_token = 0;   ///< requests under lower tokens are refused
        RegisterValue value;
        bool operator==(const StoredRegister&) const = default;
    };
    using Registers = std::map<std::string, StoredRegister>;

    /// `storage_intact`: `stored` is all that was ever stored here.
    RegisterAcceptor(bool storage_intact, Registers stored)
        : storage_intact_(storage_intact), registers_(std::move(stored)) {}
    /// False: there is no answer to send.
    bool receive(const RegisterMessage& message, RegisterMessage& answer);
    const Registers& registers() const { return registers_; }
    /// Goes up with each change that must be saved before the answer leaves.
    std::uint64_t revision() const { return revision_; }
    /// Continues the registers of the process before this one, which remembered all.
    void restore(const Registers& stored);
    bool storage_intact() const { return storage_intact_; }

  private:
    bool write(const RegisterValue& value, StoredRegister& stored);

    bool storage_intact_;
    Registers registers_;
    std::uint64_t revision_ = 0;
};

/// The lease holder's access to a fixed set of registers.
class RegisterClient {
  public:
    RegisterClient(std::vector<std::string> names, const LeaseTimes& times, const AcceptorSet& acceptors,
                   std::uint64_t seed);

    /// The lease is held under this token from now on: all registers are read anew.
    void begin_term(double now, std::uint64_t fencing_token);
    void end_term();
    /// Writes again what a majority of the old set has stored.
    void set_acceptors(double now, const AcceptorSet& acceptors);
    void receive(double now, const std::string& acceptor, const RegisterMessage& message);
    void on_timer(double now);
    double next_deadline() const;

    bool has_term() const { return fencing_token_ != 0; }
    std::uint64_t fencing_token() const { return fencing_token_; }
    /// Whether every register has been read in this term.
    bool all_known() const;
    /// Fewer than a majority remembered some register; its value is the highest that was seen.
    bool may_have_lost_values() const { return may_have_lost_values_; }
    const std::string& text(const std::string& name) const { return registers_.at(name).value.text; }
    /// Requires all_known().
    void write(double now, const std::string& name, std::string text);
    /// Whether a majority has stored the last write.
    bool committed(const std::string& name) const;
    /// Another process has a higher token: no write of this term counts any more.
    bool superseded() const { return superseded_; }

    struct OutgoingMessage {
        std::string to;
        RegisterMessage message;
    };
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }

  private:
    enum class State { idle, reading, known, writing };
    struct Register {
        State state = State::idle;
        RegisterValue value;
        std::uint64_t request_id = 0;
        std::set<std::string> answered_by, remembered_by;
        double retry_at = 1e18, read_started_at = 0;
    };
    void begin_request(double now, const std::string& name, Register& reg);
    void send_request(double now, const std::string& name, Register& reg);
    void begin_write(double now, const std::string& name, Register& reg);
    void on_read_reply(double now, const std::string& acceptor, const RegisterMessage& message,
                       Register& reg);
    void on_write_ack(const std::string& acceptor, Register& reg);
    bool read_is_late(double now, const Register& reg) const;

    const LeaseTimes times_;
    AcceptorSet acceptors_;
    std::minstd_rand random_;   // retry jitter only
    std::map<std::string, Register> registers_;
    std::uint64_t fencing_token_ = 0, last_request_id_ = 0;
    bool superseded_ = false, may_have_lost_values_ = false;
    std::vector<OutgoingMessage> outgoing_;
};

}   // namespace slatejunction::lease
