// Replicated registers: small values that the holder of a lease leaves to later holders, stored by the
// acceptors. There is one register per name, fenced by the fencing tokens of the lease.
//
// A write is committed once a majority of the acceptors has stored it. An acceptor refuses every request
// under a token lower than the highest it has seen. The inputs of RegisterClient are messages and `now` in
// s; its outputs are messages, and values once a majority has answered.
//
// Invariant: a client that reads under a higher token sees all committed writes under lower ones and
// prevents the ones in progress from being committed. Two holders never have the same token, so tokens
// serve as ballots.
//
// Safety depends on the tokens alone, except for acceptors that lost their state: those do not answer
// during recovery (Acceptor::is_voting), and report the values that they may have lost (`value_intact`). If
// a majority answers, but fewer than a majority with an intact value, the reader continues from the newest
// value it saw once kReadDeadlineGrantDurations have passed or all acceptors have answered
// (RegisterClient::may_have_lost_values).
//
// The protocol follows RAMBO (Gilbert, Lynch, Shvartsman 2010) and Disk Paxos (Gafni, Lamport 2003); see
// docs/design/fleet.md. The code does no I/O and reads no clock. src/app/fleet_component owns the acceptor;
// the users of registers (fleet_counters, rollout) own the clients.
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

inline constexpr std::size_t kMaxValueBytes = 860;         // keeps a message within one datagram
inline constexpr std::size_t kMaxRegisters = 64;           // per acceptor
inline constexpr double kReadDeadlineGrantDurations = 4;   // in multiples of LeaseTimes::grant_duration_s

/// A value with its version: the writer's fencing token, then a sequence number of that writer.
struct RegisterValue {
    std::uint64_t fencing_token = 0, sequence = 0;
    std::string text;
    bool operator==(const RegisterValue&) const = default;
    /// Whether this version is older.
    bool is_older_than(const RegisterValue& other) const {
        if (fencing_token != other.fencing_token) return fencing_token < other.fencing_token;
        return sequence < other.sequence;
    }
};

/// One datagram between a client and an acceptor. An answer repeats name, fencing_token and request_id.
struct RegisterMessage {
    /// The numeric values are part of the wire format.
    enum class Kind { read = 1, read_reply, write, write_ack, superseded } kind = Kind::read;
    std::string name;
    std::uint64_t fencing_token = 0;   ///< of the client
    std::uint64_t request_id = 0;
    RegisterValue value;         ///< in a write and a read_reply
    bool value_intact = false;   ///< in a read_reply: the acceptor has not lost this register's value
    std::uint32_t epoch = 0;     ///< of the acceptor set
};
std::string encode(const RegisterMessage& message);
/// Returns false if `bytes` is not a valid message.
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

    /// `storage_intact` states that `stored` is everything that was ever stored here.
    RegisterAcceptor(bool storage_intact, Registers stored)
        : storage_intact_(storage_intact), registers_(std::move(stored)) {}
    /// Returns false if there is no answer to send.
    bool receive(const RegisterMessage& message, RegisterMessage& answer);
    const Registers& registers() const { return registers_; }
    /// Increases with each change that must be saved before the answer is sent.
    std::uint64_t revision() const { return revision_; }
    /// Merges in the registers of the process that this one replaces, whose storage was intact.
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

    /// Begins a term, in which the lease is held under this token, and reads all registers.
    void begin_term(double now, std::uint64_t fencing_token);
    void end_term();
    /// Changes the acceptors. Within a term, reads are restarted, and values that were read already are
    /// written again so that a majority of the new set stores them.
    void set_acceptors(double now, const AcceptorSet& acceptors);
    void receive(double now, const std::string& acceptor, const RegisterMessage& message);
    void on_timer(double now);
    double next_deadline() const;

    bool has_term() const { return fencing_token_ != 0; }
    std::uint64_t fencing_token() const { return fencing_token_; }
    /// Whether every register has been read in this term.
    bool all_known() const;
    /// Whether some register was read with fewer than a majority of intact answers: committed writes may be
    /// missing, and the value is the newest one that was seen.
    bool may_have_lost_values() const { return may_have_lost_values_; }
    const std::string& text(const std::string& name) const { return registers_.at(name).value.text; }
    /// Requires all_known().
    void write(double now, const std::string& name, std::string text);
    /// Whether a majority has stored the last write.
    bool committed(const std::string& name) const;
    /// Whether an acceptor has seen a higher token; then reads and writes of this term no longer succeed.
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
        std::set<std::string> answered_by, answered_intact_by;
        double retry_at = 1e18, read_started_at = 0;
    };
    void begin_request(double now, const std::string& name, Register& reg);
    void send_request(double now, const std::string& name, Register& reg);
    void begin_write(double now, const std::string& name, Register& reg);
    void on_read_reply(double now, const std::string& acceptor, const RegisterMessage& message,
                       Register& reg);
    void on_write_ack(const std::string& acceptor, Register& reg);
    bool is_read_overdue(double now, const Register& reg) const;

    const LeaseTimes times_;
    AcceptorSet acceptors_;
    std::minstd_rand random_;   // retry jitter only
    std::map<std::string, Register> registers_;
    std::uint64_t fencing_token_ = 0, last_request_id_ = 0;
    bool superseded_ = false, may_have_lost_values_ = false;
    std::vector<OutgoingMessage> outgoing_;
};

}   // namespace slatejunction::lease
