// Upper bounds, in s, of the time until a change is active on the whole fleet, as functions of the
// settings. The code, check-config, the metrics, the tests and the documentation all take their figures
// from here.
#pragma once

#include <algorithm>

#include "lease/lease_bounds.hpp"

namespace slatejunction::rollout {

/// The times that the bounds depend on; the defaults are those of the settings named beside them.
struct BoundTimes {
    double one_way_s = 0.15;                             // of a datagram between any two nodes
    double append_retry_interval_s = 0.3;                // LeaderSettings::retry_interval_s
    double canary_s = 1, canary_timeout_s = 2;           // LeaderSettings
    double batch_delay_s = 0.1;                          // PublisherSettings::batch_s
    double pull_interval_s = 1, jitter_fraction = 0.1;   // FollowerSettings
    // FollowerSettings::retry_interval_s and parent_timeout_s
    double pull_retry_interval_s = 0.5, parent_timeout_s = 2;
    double activation_interval_s = 0.25;   // FollowerSettings::activation_interval_s
    double validation_s = 0.1;             // allowance for validation and storage
    double heartbeat_s = 0.5;
    int hops = 1;         // publishers between the leader and a follower: 1 without relays
    int max_losses = 2;   // datagrams lost in a row in each step
};

/// Time from the proposal at a ready leader until a majority has stored the change.
constexpr double commit_s(const BoundTimes& t) {
    return 2 * t.one_way_s + t.max_losses * t.append_retry_interval_s;
}

/// Time from the commit until the change is cleared for all followers.
constexpr double staging_s(const BoundTimes& t) { return t.canary_timeout_s + t.canary_s; }

/// Time from the clearance until the control machines know of it.
constexpr double announce_s(const BoundTimes& t) {
    return t.one_way_s + t.max_losses * t.append_retry_interval_s;
}

/// Time for one hop from a publisher to a child: the push; if it is lost, the child's next pull; if that or
/// its answer is lost, the repeated pulls, each after a wait that is longer by half.
constexpr double hop_s(const BoundTimes& t) {
    double s = t.batch_delay_s + t.one_way_s;
    if (t.max_losses > 0) s += t.pull_interval_s * (1 + t.jitter_fraction) + 2 * t.one_way_s;
    double wait = t.pull_retry_interval_s;
    for (int i = 1; i < t.max_losses; ++i, wait *= 1.5) s += wait * (1 + t.jitter_fraction);
    return s;
}

/// Time from the arrival of the change at a follower until it is active there.
constexpr double activation_s(const BoundTimes& t) { return t.activation_interval_s + t.validation_s; }

/// Time from the proposal until the change is active at every follower whose link loses at most
/// `max_losses` datagrams in a row in each step, while the leader keeps running. Does not hold for a
/// follower that refuses the change, has a full disk, or is far behind.
constexpr double active_within_s(const BoundTimes& t) {
    return commit_s(t) + staging_s(t) + announce_s(t) + t.hops * hop_s(t) + activation_s(t);
}

/// Time to recover a term: promises, log status and a fetch, each repeated after a loss.
constexpr double recovery_s(const BoundTimes& t) {
    return 3 * (2 * t.one_way_s + t.max_losses * t.append_retry_interval_s);
}

/// As active_within_s() if the leader fails at any moment in between: the next leader releases a change
/// that a majority has stored. `vacancy_s`: the time until another process holds the lease,
/// lease::max_vacancy_s().
constexpr double active_after_leader_failure_s(const BoundTimes& t, double vacancy_s) {
    return commit_s(t) + staging_s(t) + vacancy_s + recovery_s(t) + active_within_s(t);
}

inline constexpr double kMaxActiveWithinS = 11;
static_assert(active_within_s(BoundTimes{}) < kMaxActiveWithinS);

}   // namespace slatejunction::rollout
