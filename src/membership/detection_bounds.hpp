// Constants of the membership protocol, and the bounds that follow from them.
//
// All times are multiples of the protocol period. The code, check-config, the metrics and the tests use
// these constants and functions instead of figures of their own.
//
// References: SWIM (Das, Gupta, Motivala 2002); Lifeguard (Dadgar, Phillips, Currey 2018).
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace slatejunction::membership {

// Only bench/scale overrides this limit, to measure larger fleets.
#ifndef SLATEJUNCTION_MEMBERS_MOST
#define SLATEJUNCTION_MEMBERS_MOST 300
#endif
inline constexpr std::size_t kMaxMembers = SLATEJUNCTION_MEMBERS_MOST;
inline constexpr std::size_t kMaxDatagramBytes = 1400;   ///< including authentication
inline constexpr std::size_t kMaxMessageBytes = 1000;    ///< of a user message

// Failure detection.

/// Protocol periods until other members are asked to ping.
inline constexpr double kPingTimeoutPeriods = 0.3;
/// Number of members that are asked to ping.
inline constexpr std::size_t kIndirectProbes = 3;
/// Number of further members that are asked if all recent direct pings were missed.
inline constexpr double kExtraIndirectProbes = 8;
/// Weight of one ping in the moving average of missed pings.
inline constexpr double kMissedPingWeight = 0.05;
/// The worst health score. The score plus one multiplies the timeouts of this process.
inline constexpr int kMaxLocalHealthScore = 7;
/// Number of further accusers that shorten a suspicion to the minimum.
inline constexpr std::size_t kConfirmations = 2;
/// Shortest suspicion in protocol periods, times log10 of the number of members.
inline constexpr double kMinSuspicionPeriods = 4;
/// Ratio of the longest suspicion to the shortest.
inline constexpr double kMaxSuspicionFactor = 3;

// Dissemination.

/// Protocol periods between rounds of gossip.
inline constexpr double kGossipPeriods = 0.2;
/// Number of members that a round of gossip is sent to.
inline constexpr std::size_t kGossipFanout = 3;
/// Protocol periods until a member that is gone or departed is forgotten.
inline constexpr double kForgetPeriods = 600;
/// Protocol periods between full syncs.
inline constexpr double kMinSyncPeriods = 10;
/// Additional periods between syncs per member, which keeps the bytes per period constant.
inline constexpr double kSyncPeriodsPerMember = 0.2;
/// Send budget of a member, in datagrams per protocol period.
inline constexpr double kDatagramsPerPeriod = 40;

/// Returns the shortest duration of a suspicion in s.
inline double min_suspicion_s(std::size_t members, double protocol_period_s) {
    const double member_count = static_cast<double>(std::max<std::size_t>(members, 1));
    return kMinSuspicionPeriods * std::max(1.0, std::log10(member_count)) * protocol_period_s;
}

/// Returns the duration in s of a suspicion that `confirmations` further accusers share. It falls
/// logarithmically from the longest to the shortest (Lifeguard, 3.2). If there are too few members to
/// confirm a suspicion, it is the shortest.
inline double suspicion_timeout_s(std::size_t members, std::size_t confirmations,
                                  double protocol_period_s) {
    const double min_s = min_suspicion_s(members, protocol_period_s);
    if (members < kConfirmations + 3) return min_s;
    const double max_s = kMaxSuspicionFactor * min_s;
    const double confirmed_fraction =
        std::log(static_cast<double>(confirmations) + 1) / std::log(kConfirmations + 1.0);
    return std::max(min_s, max_s - (max_s - min_s) * confirmed_fraction);
}

/// Returns the time in s after the failure of a member by which every connected member knows of it, in 999
/// of 1,000 cases, if few datagrams are lost. It is the sum of 7 periods until the member is probed (it is
/// not probed for m periods with probability e^-m), two periods for the probe, the longest suspicion, and
/// the rounds of gossip that reach all members.
inline double detection_bound_s(std::size_t members, double protocol_period_s) {
    const double n = static_cast<double>(std::max<std::size_t>(members, 2));
    const double rounds = 2 * std::log(n) / std::log(1.0 + kGossipFanout) + 2;
    return (9 + rounds * kGossipPeriods) * protocol_period_s +
           suspicion_timeout_s(members, 0, protocol_period_s) + protocol_period_s;
}

}   // namespace slatejunction::membership
