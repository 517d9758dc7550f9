// One voter: which lease it has granted to whom, until when by its own clock, and the highest fencing
// number it knows of each. A decision room; the clock is one that also runs while the machine sleeps.
//
// What it keeps to, and what the proof rests on (docs/design/fleet.md):
//  1. While a grant lives it grants that lease to nobody else.
//  2. It takes a number only if that is higher than any it knows, or its own holder's again.
//  3. A round that is older than one it has seen of that holder changes nothing.
//  4. Without its state it takes no part for amnesia_s(), and its numbers begin at `floor`.
//  5. It refuses asks of an earlier step of the voter set than its own, for good.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lease/lease_bounds.hpp"

namespace slatejunction::lease {

enum class Kind : std::uint32_t { ask = 1, granted, denied, release, stale };

struct Message {
    Kind kind = Kind::ask;
    std::string lease;
    std::uint64_t holder = 0, round = 0, number = 0;
    double lives_s = 0;
    std::uint32_t step = 0;
    std::string name;
    bool operator==(const Message&) const = default;
};

std::string write(const Message& message);
bool read(std::string_view bytes, Message& message);   // false: it is none

// What a voter keeps of one lease, for people and for its home.
struct Grant {
    std::uint64_t holder = 0, round = 0, number = 0, number_of = 0;
    double until = 0;   // by the voter's clock; in the past: free
    std::string name;
};

class Acceptor {
  public:
    static constexpr std::size_t kLeasesMost = 256;

    // `floor`: numbers begin above it. `remembers`: `kept` is all that was granted before, and it may take
    // part at once, each grant counted as if it were given now; else it waits.
    Acceptor(const LeaseTimes& times, double now, std::uint64_t floor, bool remembers,
             const std::map<std::string, Grant>& kept = {}, std::uint32_t step = 0);

    // The answer; false: there is none. `ours`: the message's sender is in the set.
    bool receive(double now, const Message& message, Message& answer);
    bool may_vote(double now) const { return now >= waits_until_; }
    double waits_until() const { return waits_until_; }
    std::uint32_t step() const { return step_; }
    void set_step(std::uint32_t step) { step_ = std::max(step_, step); }
    const std::map<std::string, Grant>& grants() const { return grants_; }
    std::uint64_t changes() const { return changes_; }   // goes up when what must be kept has changed

  private:
    const LeaseTimes times_;
    const std::uint64_t floor_;
    double waits_until_ = 0;
    std::uint32_t step_ = 0;
    std::map<std::string, Grant> grants_;
    std::uint64_t changes_ = 0;
};

}   // namespace slatejunction::lease
