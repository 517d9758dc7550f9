// The status of the followers below a node, aggregated on its way to the leader: how many there are, what
// they have active, who is behind, silent or refuses a change. Pure functions over values; no clock, no
// I/O. Merging is commutative for counts; lists keep the entries that matter most, up to the limits below.
// Called by Publisher and Leader. Seen in: GET /v1/rollout.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rollout/record.hpp"

namespace slatejunction::rollout {

inline constexpr std::size_t kMaxReportedNames = 16;   // of those behind, and of those silent
inline constexpr std::size_t kMaxCanaries = 8;   // statuses reported one by one, for the staged release
inline constexpr std::size_t kMaxReportedRefusals = 4;   // in one report
inline constexpr std::size_t kMaxReportBytes = 800;   // of a report in a message; names are dropped beyond

/// Why a follower cannot activate newer versions. Numbers are those on the wire.
enum class FollowerFault : std::uint32_t { none = 0, disk = 1, diverged = 2, refused = 3 };
inline constexpr const char* kFollowerFaults[] = {"none", "disk", "diverged", "refused"};

struct FollowerStatus {
    std::string name;
    std::uint64_t active = 0;
    FollowerFault fault = FollowerFault::none;
    bool operator==(const FollowerStatus&) const = default;
};

/// A follower found the change of this number invalid.
struct Refusal {
    std::uint64_t number = 0;
    std::string name, reason;
    bool operator==(const Refusal&) const = default;
};

struct Report {
    std::uint64_t counted = 0;   // followers with a pull within the child timeout
    std::uint64_t lowest = 0;    // active among them; undefined if none is counted
    std::uint64_t behind = 0;    // of them: without what was cleared longer ago than the bound
    std::uint64_t silent = 0;    // without a pull within the child timeout, but within a day
    std::uint64_t refused = 0;   // of those counted: refuse some change
    std::vector<FollowerStatus> behind_names;   // at most kMaxReportedNames, the lowest first
    std::vector<FollowerStatus> silent_names;   // at most kMaxReportedNames
    std::vector<FollowerStatus> canaries;       // the kMaxCanaries lowest by hash_of(name)
    std::vector<Refusal> refusals;              // at most kMaxReportedRefusals, one a number, the lowest
    bool operator==(const Report&) const = default;
};

/// Adds one follower that is not silent. `refusal`: null if it refuses nothing.
void add(Report& to, const FollowerStatus& standing, bool behind, const Refusal* refusal);
void add_silent(Report& to, const FollowerStatus& standing);
void add(Report& to, const Report& from);
/// Drops names until the report takes at most `bytes` in a message. Counts stay exact.
void shrink_to(Report& report, std::size_t bytes);

/// The highest number that is active at every counted follower; 0: none is counted.
inline std::uint64_t active_everywhere(const Report& report) {
    return report.counted > 0 ? report.lowest : 0;
}

}   // namespace slatejunction::rollout
