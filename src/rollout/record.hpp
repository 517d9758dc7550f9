// Records of the replicated configuration log, and the state, a map of keys to values, that they produce.
// No I/O and no clock. The bytes that are hashed into a version's chain (record.cpp) must never change,
// because chains are stored and compared between nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace slatejunction::rollout {

/// A deadline that is not set, in s. Negated, it is a time in the distant past.
inline constexpr double kNever = 1e18;

inline constexpr std::size_t kMaxKeyBytes = 80;
inline constexpr std::size_t kMaxValueBytes = 700;
inline constexpr std::size_t kMaxNameBytes = 80;      // of the name of a node
inline constexpr std::size_t kMaxReasonBytes = 120;   // of the reason of a refusal

/// A term orders leaders. It consists of the fencing token of the lease and, in the low kRoundBits bits, a
/// round: a lease holder that has to recover the log again begins another round.
inline constexpr unsigned kRoundBits = 16;
inline std::uint64_t term_of(std::uint64_t fencing_token, std::uint64_t round) {
    return (fencing_token << kRoundBits) | round;
}
inline std::uint64_t fencing_token_of(std::uint64_t term) { return term >> kRoundBits; }

enum class RecordKind : std::uint32_t {
    put = 1,     // sets the value of the key
    erase = 2,   // removes the key
    no_op = 3    // changes nothing: the first record of a leader's term, which commits those before it
};

/// One change to the configuration.
struct Record {
    std::uint64_t number = 0;   // 1, 2, 3, ... without gaps
    std::uint64_t term = 0;     // of the leader that appended it; never falls along the log
    RecordKind kind = RecordKind::put;
    std::string key;
    std::string value;
    // The number of an earlier change that this one reverts, else 0. A revert puts or erases the key of
    // that change as if the change had never been made.
    std::uint64_t reverts = 0;
    bool operator==(const Record&) const = default;
};

/// A position in the log. Two logs that contain the same version have the same records up to it: `chain` is
/// the XXH64 hash of the record's bytes, seeded with the chain of the previous version. Version 0 has
/// chain 0.
struct Version {
    std::uint64_t number = 0;
    std::uint64_t chain = 0;
    bool operator==(const Version&) const = default;
};
/// The version after `record` is appended to `previous`.
Version next_version(const Version& previous, const Record& record);

/// Whether the sizes are within the limits and the fields are consistent with the kind.
bool valid(const Record& record);

using State = std::map<std::string, std::string>;
/// Changes to a state by key: the new value, or nullopt if the key is removed.
using Changes = std::map<std::string, std::optional<std::string>>;

void apply(State& state, const Record& record);
/// Applies `changes` to the state and replaces them with the changes that undo them.
void apply_with_undo(State& state, Changes& changes);

/// Approximate bytes of a record in memory and in a message.
std::size_t size_of(const Record& record);

/// XXH64 hash of a node's name, the same on every node. Orders canaries and parents.
std::uint64_t hash_of(std::string_view name);

}   // namespace slatejunction::rollout
