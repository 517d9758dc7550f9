// The configuration as an ordered, numbered sequence of changes to a map of keys to values, and the state
// that follows from it. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace slatejunction::rollout {

inline constexpr std::size_t kMaxKeyBytes = 80;       // bytes
inline constexpr std::size_t kMaxValueBytes = 700;    // bytes
inline constexpr std::size_t kMaxNameBytes = 80;      // bytes, of a node
inline constexpr std::size_t kMaxReasonBytes = 120;   // bytes, of a refusal as it is told

// A term orders the sources. It is the fencing number of the lease and, in its low bits, a round: the
// holder of one lease begins another round when it has to read the replicas anew.
inline constexpr unsigned kRoundBits = 16;
inline std::uint64_t term_of(std::uint64_t fencing, std::uint64_t round) {
    return (fencing << kRoundBits) | round;
}
inline std::uint64_t fencing_of(std::uint64_t term) { return term >> kRoundBits; }

enum class Kind : std::uint32_t {
    put = 1,     // the key has this value
    erase = 2,   // the key has no value
    none = 3     // changes nothing: the first record of a source's term, which commits those before it
};

// One change. `reverts` is 0, or the number of an earlier change that this one takes back: the record then
// puts or erases the key of that change as if it had never been made.
struct Record {
    std::uint64_t number = 0;   // 1, 2, 3, ... without holes
    std::uint64_t term = 0;     // of the source that wrote it; never falls from one record to the next
    Kind kind = Kind::put;
    std::string key;
    std::string value;
    std::uint64_t reverts = 0;
    bool operator==(const Record&) const = default;
};

// A position in the sequence. Two logs that agree on a version agree on every record up to it: `chain` is
// XXH64 over the chain of the version before and the bytes of the record. Version 0 has chain 0.
struct Version {
    std::uint64_t number = 0;
    std::uint64_t chain = 0;
    bool operator==(const Version&) const = default;
};
Version after(const Version& previous, const Record& record);

// Whether sizes and fields are within what the sequence allows.
bool valid(const Record& record);

using State = std::map<std::string, std::string>;
// By key: the new value; none: the key is gone.
using Changes = std::map<std::string, std::optional<std::string>>;

void apply(State& state, const Record& record);
// Makes the changes and leaves in `changes` what undoes them.
void exchange(State& state, Changes& changes);

// About how many bytes a record takes in memory and in a message.
std::size_t size_of(const Record& record);

// The order by which canaries and parents are chosen: a hash of the name, the same on every node.
std::uint64_t hash_of(std::string_view name);

}   // namespace slatejunction::rollout
