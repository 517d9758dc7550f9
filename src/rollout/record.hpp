// Records of the replicated configuration log, and the state (a map of keys to values) that follows from
// them. Pure: no I/O, no clock. The bytes under a version's chain (record.cpp) never change.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace slatejunction::rollout {

inline constexpr double kNever = 1e18;   // s; a deadline that is not set; negated: a time long ago

inline constexpr std::size_t kMaxKeyBytes = 80;       // bytes
inline constexpr std::size_t kMaxValueBytes = 700;    // bytes
inline constexpr std::size_t kMaxNameBytes = 80;      // bytes, of a node
inline constexpr std::size_t kMaxReasonBytes = 120;   // bytes, of a refusal

/// A term orders leaders. It is the fencing token of the lease and, in the low bits, a round: the holder of
/// one lease begins another round when it has to recover the log again.
inline constexpr unsigned kRoundBits = 16;
inline std::uint64_t term_of(std::uint64_t fencing, std::uint64_t round) {
    return (fencing << kRoundBits) | round;
}
inline std::uint64_t fencing_token_of(std::uint64_t term) { return term >> kRoundBits; }

enum class RecordKind : std::uint32_t {
    put = 1,     // the key has this value
    erase = 2,   // the key has no value
    no_op = 3    // changes nothing: the first record of a leader's term, which commits those before it
};

/// One change. `reverts`: 0, or the number of an earlier change that this one reverts: the record then puts
/// or erases the key of that change as if it had never been made.
struct Record {
    std::uint64_t number = 0;   // 1, 2, 3, ... without gaps
    std::uint64_t term = 0;     // of the leader that wrote it; never falls along the log
    RecordKind kind = RecordKind::put;
    std::string key;
    std::string value;
    std::uint64_t reverts = 0;
    bool operator==(const Record&) const = default;
};

/// A position in the log. Two logs with the same version have the same records up to it: `chain` is
/// XXH64 over the chain of the version before and the bytes of the record. Version 0 has chain 0.
struct Version {
    std::uint64_t number = 0;
    std::uint64_t chain = 0;
    bool operator==(const Version&) const = default;
};
Version next_version(const Version& previous, const Record& record);

/// Whether sizes and fields are within the limits.
bool valid(const Record& record);

using State = std::map<std::string, std::string>;
/// By key: the new value; nullopt: the key is removed.
using Changes = std::map<std::string, std::optional<std::string>>;

void apply(State& state, const Record& record);
/// Applies the changes and leaves in `changes` what undoes them.
void apply_with_undo(State& state, Changes& changes);

/// Approximate bytes of a record in memory and in a message.
std::size_t size_of(const Record& record);

/// Hash of a node's name, the same on every node: orders canaries and parents.
std::uint64_t hash_of(std::string_view name);

}   // namespace slatejunction::rollout
