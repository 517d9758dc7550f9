// How soon a change is in force everywhere, as a function of settings: code, docs, check-config, measures
// and tests call these. Seconds.
#pragma once

#include <algorithm>

#include "lease/lease_bounds.hpp"

namespace slatejunction::rollout {

struct BoundTimes {
    double one_way_s = 0.15;       // of a datagram between any two nodes
    double append_retry_s = 0.3;   // SourceSettings::retry_s
    double canary_s = 1, canary_wait_s = 2;
    double batch_s = 0.1;
    double pull_s = 1, jitter = 0.1;   // FollowerSettings
    double pull_retry_s = 0.5, move_s = 2;
    double prepare_s = 0.25;   // the least time between two versions
    double check_s = 0.1;      // that the consumer's check and the home may take
    double heartbeat_s = 0.5;
    int hops = 1;     // feeders between the source and a follower: 1 without relays
    int losses = 2;   // datagrams lost one after another on each stage's way
};

// From a change's proposal at a ready source until a majority has it.
constexpr double commit_s(const BoundTimes& t) { return 2 * t.one_way_s + t.losses * t.append_retry_s; }

// From there until it is cleared for all.
constexpr double staging_s(const BoundTimes& t) { return t.canary_wait_s + t.canary_s; }

// Until the control machines know of it.
constexpr double announce_s(const BoundTimes& t) { return t.one_way_s + t.losses * t.append_retry_s; }

// One hop: the push; where it is lost the child's next pull, and where that or its answer is lost the ones
// repeated, each later by half.
constexpr double hop_s(const BoundTimes& t) {
    double s = t.batch_s + t.one_way_s;
    if (t.losses > 0) s += t.pull_s * (1 + t.jitter) + 2 * t.one_way_s;
    double wait = t.pull_retry_s;
    for (int i = 1; i < t.losses; ++i, wait *= 1.5) s += wait * (1 + t.jitter);
    return s;
}

constexpr double prepare_within_s(const BoundTimes& t) { return t.prepare_s + t.check_s; }

// A change is in force at every follower whose link works but for those losses, while the source lives, so
// long after it was proposed. Not for one that refuses it, has a full disk, or is far behind.
constexpr double in_force_within_s(const BoundTimes& t) {
    return commit_s(t) + staging_s(t) + announce_s(t) + t.hops * hop_s(t) + prepare_within_s(t);
}

// Reading: promises, holdings, a fetch; each repeated after a loss.
constexpr double reading_s(const BoundTimes& t) {
    return 3 * (2 * t.one_way_s + t.losses * t.append_retry_s);
}

// The same where the source dies at any moment in between: a change that a majority had is rolled out by
// the next one. `gap_s`: lease::gap_s(), until somebody else holds the lease.
constexpr double in_force_after_death_s(const BoundTimes& t, double gap_s) {
    return commit_s(t) + staging_s(t) + gap_s + reading_s(t) + in_force_within_s(t);
}

inline constexpr double kInForceMost = 11;   // s
static_assert(in_force_within_s(BoundTimes{}) < kInForceMost);

}   // namespace slatejunction::rollout
