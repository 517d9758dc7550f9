// The aggregated status of the followers below a node, on its way to the leader: how many there are, which
// versions they have active, and which of them are behind, silent or refuse a change. No I/O and no clock.
// Counts are exact; lists keep the most relevant entries, up to the limits below. Called by Publisher and
// Leader; shown by GET /v1/rollout.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rollout/record.hpp"

namespace slatejunction::rollout {

inline constexpr std::size_t kMaxReportedNames = 16;   // in each list of names
inline constexpr std::size_t kMaxCanaries = 8;   // canaries whose status is reported for the staged release
inline constexpr std::size_t kMaxReportedRefusals = 4;
inline constexpr std::size_t kMaxReportBytes = 800;   // of an encoded report, see shrink_to()

/// Why a follower cannot activate newer versions. The values are part of the wire format.
enum class FollowerFault : std::uint32_t { none = 0, disk = 1, diverged = 2, refused = 3 };
/// The names of FollowerFault in the admin interface.
inline constexpr const char* kFollowerFaults[] = {"none", "disk", "diverged", "refused"};

struct FollowerStatus {
    std::string name;
    std::uint64_t active = 0;   // number of the active version
    FollowerFault fault = FollowerFault::none;
    bool operator==(const FollowerStatus&) const = default;
};

/// The follower `name` found the change of this number invalid.
struct Refusal {
    std::uint64_t number = 0;
    std::string name, reason;
    bool operator==(const Refusal&) const = default;
};

struct Report {
    std::uint64_t counted = 0;   // followers with a message within PublisherSettings::child_timeout_s
    std::uint64_t lowest = 0;   // lowest active number of the counted followers; undefined if there is none
    // Counted followers that lack a version cleared more than PublisherSettings::behind_s ago.
    std::uint64_t behind = 0;
    // Followers without a message within child_timeout_s, but with one within child_retention_s.
    std::uint64_t silent = 0;
    std::uint64_t refused = 0;                  // counted followers that refuse a change
    std::vector<FollowerStatus> behind_names;   // the kMaxReportedNames lowest by active number
    std::vector<FollowerStatus> silent_names;   // the same
    std::vector<FollowerStatus> canaries;       // the kMaxCanaries lowest by hash_of(name)
    std::vector<Refusal> refusals;              // the kMaxReportedRefusals lowest by number, one per number
    bool operator==(const Report&) const = default;
};

/// Adds one follower that is not silent. `refusal`: null if it refuses no change.
void add(Report& to, const FollowerStatus& status, bool behind, const Refusal* refusal);
void add_silent(Report& to, const FollowerStatus& status);
/// Adds all followers of another report.
void add(Report& to, const Report& from);
/// Drops entries of the lists until the report takes at most `bytes` in a message. Counts stay exact.
void shrink_to(Report& report, std::size_t bytes);

/// The highest number that is active at every counted follower, or 0 if none is counted.
inline std::uint64_t active_everywhere(const Report& report) {
    return report.counted > 0 ? report.lowest : 0;
}

}   // namespace slatejunction::rollout
