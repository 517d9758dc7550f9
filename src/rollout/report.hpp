// What is known of the followers below a node, added up on its way to the source: how many there are, what
// they have in force, who is behind, silent or refuses. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rollout/record.hpp"

namespace slatejunction::rollout {

inline constexpr std::size_t kMaxReportedNames = 16;     // of those behind, and of those silent
inline constexpr std::size_t kMaxCanaries = 8;           // standings told one by one, for staging
inline constexpr std::size_t kMaxReportedRefusals = 4;   // told in one report
inline constexpr std::size_t kMaxReportBytes = 800;   // of a report in a message; names are left out beyond

// Why a follower stays where it is.
enum class FollowerFault : std::uint32_t { none = 0, disk = 1, diverged = 2, refused = 3 };
inline constexpr const char* kFollowerFaults[] = {"none", "disk", "diverged", "refused"};

struct FollowerStatus {
    std::string name;
    std::uint64_t active = 0;
    FollowerFault fault = FollowerFault::none;
    bool operator==(const FollowerStatus&) const = default;
};

// A follower can't use the version of this number.
struct Refusal {
    std::uint64_t number = 0;
    std::string name, reason;
    bool operator==(const Refusal&) const = default;
};

struct Report {
    std::uint64_t counted = 0;   // followers heard of within the lease of silence
    std::uint64_t lowest = 0;    // in force among them; no meaning where none is counted
    std::uint64_t behind = 0;    // of them: behind what was cleared longer ago than the bound
    std::uint64_t silent = 0;    // not heard of within the lease of silence, but within a day
    std::uint64_t refused = 0;   // of those counted: refuse some version
    std::vector<FollowerStatus> behind_names;   // kNamesMost at most, the lowest first
    std::vector<FollowerStatus> silent_names;   // kNamesMost at most
    std::vector<FollowerStatus> canaries;       // the kCanariesMost lowest by hash_of(name)
    std::vector<Refusal> refusals;              // kRefusalsMost at most, one a number, the lowest numbers
    bool operator==(const Report&) const = default;
};

// Adds one follower that is heard of.
void add(Report& to, const FollowerStatus& standing, bool behind, const Refusal* refusal);
void add_silent(Report& to, const FollowerStatus& standing);
void add(Report& to, const Report& from);
// Leaves out names until it takes at most so many bytes in a message. Counts stay exact.
void shrink_to(Report& report, std::size_t bytes);

// The highest number that every counted follower has in force; 0: none is counted.
inline std::uint64_t active_everywhere(const Report& report) {
    return report.counted > 0 ? report.lowest : 0;
}

}   // namespace slatejunction::rollout
