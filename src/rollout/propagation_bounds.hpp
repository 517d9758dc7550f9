// How soon a change is active everywhere, as functions of the settings, in s. The code, the documentation,
// check-config, the measures and the tests use these and no other figures.
#pragma once

#include <algorithm>

#include "lease/lease_bounds.hpp"

namespace slatejunction::rollout {

struct BoundTimes {
    double one_way_s = 0.15;                // of a datagram between any two nodes
    double append_retry_interval_s = 0.3;   // LeaderSettings::retry_interval_s
    double canary_s = 1, canary_timeout_s = 2;
    double batch_delay_s = 0.1;
    double pull_interval_s = 1, jitter_fraction = 0.1;   // FollowerSettings
    double pull_retry_interval_s = 0.5, parent_timeout_s = 2;
    double activation_interval_s = 0.25;   // FollowerSettings::activation_interval_s
    double validation_s = 0.1;             // allowance for validation and storage
    double heartbeat_s = 0.5;
    int hops = 1;         // publishers between the leader and a follower: 1 without relays
    int max_losses = 2;   // datagrams lost in a row on each stage
};

/// From the proposal at a ready leader until a majority has the change.
constexpr double commit_s(const BoundTimes& t) {
    return 2 * t.one_way_s + t.max_losses * t.append_retry_interval_s;
}

/// From the commit until it is cleared for all.
constexpr double staging_s(const BoundTimes& t) { return t.canary_timeout_s + t.canary_s; }

/// From there until the control machines know of the clearance.
constexpr double announce_s(const BoundTimes& t) {
    return t.one_way_s + t.max_losses * t.append_retry_interval_s;
}

/// One hop: the push; if it is lost, the child's next pull; if that or its answer is lost, the repeated
/// pulls, each after a wait longer by half.
constexpr double hop_s(const BoundTimes& t) {
    double s = t.batch_delay_s + t.one_way_s;
    if (t.max_losses > 0) s += t.pull_interval_s * (1 + t.jitter_fraction) + 2 * t.one_way_s;
    double wait = t.pull_retry_interval_s;
    for (int i = 1; i < t.max_losses; ++i, wait *= 1.5) s += wait * (1 + t.jitter_fraction);
    return s;
}

constexpr double activation_s(const BoundTimes& t) { return t.activation_interval_s + t.validation_s; }

/// From the proposal until the change is active at every follower whose link loses no more than that, while
/// the leader lives. Not at a follower that refuses it, has a full disk, or is far behind.
constexpr double active_within_s(const BoundTimes& t) {
    return commit_s(t) + staging_s(t) + announce_s(t) + t.hops * hop_s(t) + activation_s(t);
}

/// Recovery of a term: promises, log status, a fetch; each repeated after a loss.
constexpr double recovery_s(const BoundTimes& t) {
    return 3 * (2 * t.one_way_s + t.max_losses * t.append_retry_interval_s);
}

/// The same if the leader dies at any moment in between: a change that a majority has is released by the
/// next one. `gap_s`: lease::max_vacancy_s(), until another process holds the lease.
constexpr double active_after_leader_failure_s(const BoundTimes& t, double gap_s) {
    return commit_s(t) + staging_s(t) + gap_s + recovery_s(t) + active_within_s(t);
}

inline constexpr double kMaxActiveWithinS = 11;   // s
static_assert(active_within_s(BoundTimes{}) < kMaxActiveWithinS);

}   // namespace slatejunction::rollout
