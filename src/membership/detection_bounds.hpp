// Constants of membership, and the bounds that follow from them.
//
// All times are multiples of one protocol period. Code, docs, check-config, the measure and the tests
// use these constants and functions; nobody keeps the figures a second time.
// From: SWIM (Das, Gupta, Motivala 2002); Lifeguard (Dadgar, Phillips, Currey 2018).
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace slatejunction::membership {

// bench/scale builds this core with a higher bound, to measure larger fleets; nothing else does.
#ifndef SLATEJUNCTION_MEMBERS_MOST
#define SLATEJUNCTION_MEMBERS_MOST 300
#endif
inline constexpr std::size_t kMaxMembers = SLATEJUNCTION_MEMBERS_MOST;
inline constexpr std::size_t kMaxDatagramBytes = 1400;   ///< authenticated
inline constexpr std::size_t kMaxMessageBytes = 1000;    ///< of one user message

// Failure detection.
inline constexpr double kPingTimeoutPeriods = 0.3;   ///< until others are asked to ping
inline constexpr std::size_t kIndirectProbes = 3;    ///< others that are asked
inline constexpr double kExtraIndirectProbes = 8;    ///< asked in addition, times the missed-ping ratio
inline constexpr double kMissedPingWeight = 0.05;    ///< of one ping in that ratio's moving average
inline constexpr int kMaxLocalHealthScore = 7;       ///< added to the multiplier of own timeouts
inline constexpr std::size_t kConfirmations = 2;     ///< further accusers that end a suspicion soonest
inline constexpr double kMinSuspicionPeriods = 4;    ///< times log10 of the members
inline constexpr double kMaxSuspicionFactor = 3;     ///< longest suspicion over the shortest

// Dissemination.
inline constexpr double kGossipPeriods = 0.2;          ///< between rounds of gossip
inline constexpr std::size_t kGossipFanout = 3;        ///< members a round
inline constexpr double kForgetPeriods = 600;          ///< for which a gone member is remembered
inline constexpr double kMinSyncPeriods = 10;          ///< between full syncs
inline constexpr double kSyncPeriodsPerMember = 0.2;   ///< more for each member: bytes per period stay flat
inline constexpr double kDatagramsPerPeriod = 40;      ///< send budget of one member

/// Shortest suspicion in s.
inline double min_suspicion_s(std::size_t members, double protocol_period_s) {
    const double counted = static_cast<double>(std::max<std::size_t>(members, 1));
    return kMinSuspicionPeriods * std::max(1.0, std::log10(counted)) * protocol_period_s;
}

/// s until a suspicion that `confirmations` further accusers share ends: falls from the longest to the
/// shortest by the logarithm (Lifeguard, 3.2). With too few members to confirm it is the shortest at once.
inline double suspicion_timeout_s(std::size_t members, std::size_t confirmations,
                                  double protocol_period_s) {
    const double least = min_suspicion_s(members, protocol_period_s);
    if (members < kConfirmations + 3) return least;
    const double most = kMaxSuspicionFactor * least;
    const double part = std::log(static_cast<double>(confirmations) + 1) / std::log(kConfirmations + 1.0);
    return std::max(least, most - (most - least) * part);
}

/// s after a death by which every member that hears the others knows of it, in 999 of 1,000 cases, while
/// few datagrams are lost: 7 periods until somebody probes it (nobody does for m periods with probability
/// e^-m), two for the probe, the longest suspicion, and rounds of gossip that reach all.
inline double detection_bound_s(std::size_t members, double protocol_period_s) {
    const double n = static_cast<double>(std::max<std::size_t>(members, 2));
    const double rounds = 2 * std::log(n) / std::log(1.0 + kGossipFanout) + 2;
    return (9 + rounds * kGossipPeriods) * protocol_period_s +
           suspicion_timeout_s(members, 0, protocol_period_s) + protocol_period_s;
}

}   // namespace slatejunction::membership
