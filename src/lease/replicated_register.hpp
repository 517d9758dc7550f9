// Notes: what the holder of a lease leaves for those who hold it after it, kept by the voters. A register a
// name, fenced by the lease's numbers: a write counts once a majority has taken it, and whoever reads under
// a higher number is told of it and shuts out all writes under lower ones (as in Gilbert, Lynch,
// Shvartsman's RAMBO and in Disk Paxos, with the fencing number as the ballot: no two holders have the
// same).
//
// Both are decision rooms: messages and the time in, messages out. Safety rests on the numbers alone, but
// for voters that forget: they take no part while their votes wait (Voter::takes_part), and what they have
// forgotten they say (`knows`). A name that fewer than a majority know, though a majority answers, is
// `lost` once kLostAfter times a grant's life have passed: its reader goes on from the highest that was
// seen.
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

inline constexpr std::size_t kMaxValueBytes = 860;   // bytes, so that it fits into one datagram
inline constexpr std::size_t kMaxRegisters = 64;     // names that a voter keeps
inline constexpr double kLostAfter = 4;              // times a grant's life

struct RegisterValue {
    std::uint64_t fencing_token = 0, sequence = 0;   // of its writer: the lease's number, its own count
    std::string text;
    bool operator==(const RegisterValue&) const = default;
    bool before(const RegisterValue& other) const {
        return fencing_token != other.fencing_token ? fencing_token < other.fencing_token
                                                    : sequence < other.sequence;
    }
};

struct RegisterMessage {
    enum class Kind { read = 1, found, write, taken, passed } kind = Kind::read;
    std::string name;
    std::uint64_t number = 0;   // of who asks
    std::uint64_t ask = 0;      // of the asker; an answer repeats it
    RegisterValue note;         // of a write and of what was found
    bool knows = false;         // of what was found: nothing of this name was forgotten
    std::uint32_t epoch = 0;    // of the voter set
};
std::string write(const RegisterMessage& message);
bool read(std::string_view bytes, RegisterMessage& message);   // false: it is none

// A voter's side.
class RegisterAcceptor {
  public:
    struct StoredRegister {
        std::uint64_t promised = 0;   // writes under lower numbers are shut out
        RegisterValue note;
        bool operator==(const StoredRegister&) const = default;
    };
    using Registers = std::map<std::string, StoredRegister>;

    // `remembers`: `kept` is all that was ever taken here.
    RegisterAcceptor(bool remembers, Registers kept) : remembers_(remembers), kept_(std::move(kept)) {}
    // False: there is nothing to answer.
    bool receive(const RegisterMessage& message, RegisterMessage& answer);
    const Registers& registers() const { return kept_; }
    std::uint64_t changes() const { return changes_; }   // to be kept before an answer leaves
    // As the process before this one had them, if it remembered.
    void restore(const Registers& kept);
    bool remembers() const { return remembers_; }

  private:
    bool remembers_;
    Registers kept_;
    std::uint64_t changes_ = 0;
};

// The holder's side: all notes of one lease.
class RegisterClient {
  public:
    RegisterClient(std::vector<std::string> names, const LeaseTimes& times, const AcceptorSet& voters,
                   std::uint64_t seed);

    void begin_term(double now, std::uint64_t number);   // held under it from now on: all are read anew
    void end_term();
    void set_acceptors(double now,
                       const AcceptorSet& voters);   // what a majority of the old took is written again
    void receive(double now, const std::string& voter, const RegisterMessage& message);
    void on_timer(double now);
    double next_deadline() const;

    bool has_term() const { return number_ != 0; }
    std::uint64_t number() const { return number_; }
    bool read() const;   // all are known
    // Fewer than a majority remembered something; what is told is the highest of what was seen.
    bool lost() const { return lost_; }
    const std::string& text(const std::string& name) const { return pages_.at(name).note.text; }
    void write(double now, const std::string& name, std::string text);   // wants read()
    bool committed(const std::string& name) const;   // a majority has what was written last
    // Somebody holds a higher number: nothing that is written here counts any more.
    bool superseded() const { return passed_; }

    struct OutgoingMessage {
        std::string to;
        RegisterMessage message;
    };
    std::vector<OutgoingMessage> take_outgoing() { return std::exchange(posts_, {}); }

  private:
    enum class State { unread, reading, known, writing };
    struct Page {
        State state = State::unread;
        RegisterValue note;
        std::uint64_t ask = 0;
        std::set<std::string> answered, knowing;
        double again_at = 1e18, asked_first = 0;
    };
    void ask(double now, const std::string& name, Page& page, bool first);
    void begin_write(double now, const std::string& name, Page& page);

    const LeaseTimes times_;
    AcceptorSet voters_;
    std::minstd_rand random_;   // of waits only
    std::map<std::string, Page> pages_;
    std::uint64_t number_ = 0, asks_ = 0;
    bool passed_ = false, lost_ = false;
    std::vector<OutgoingMessage> posts_;
};

}   // namespace slatejunction::lease
