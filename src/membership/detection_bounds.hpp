// The times of membership, each a multiple of one interval, and what is promised of them: code, docs,
// check-config, the measure and the tests call these. SWIM (Das, Gupta, Motivala 2002), Lifeguard
// (Dadgar, Phillips, Currey 2018).
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace slatejunction::membership {

// bench/scale builds this core with a higher cap, to measure what lies beyond it; nothing else does.
#ifndef SLATEJUNCTION_MEMBERS_MOST
#define SLATEJUNCTION_MEMBERS_MOST 300
#endif
inline constexpr std::size_t kMembersMost = SLATEJUNCTION_MEMBERS_MOST;
inline constexpr std::size_t kDatagramMost = 1400;   // bytes, sealed
inline constexpr std::size_t kBodyMost = 1000;       // bytes, of what a room above sends in one datagram
inline constexpr double kTimeoutPart = 0.3;          // of the interval, until others are asked to probe
inline constexpr std::size_t kIndirect = 3;          // others that are asked
inline constexpr double kIndirectMore = 8;         // asked beside, times the part of own probes that failed
inline constexpr double kMissedWeight = 0.05;      // of one probe in that part
inline constexpr int kHealthMost = 7;              // added to the factor on own timings
inline constexpr std::size_t kConfirmations = 2;   // of others that bring a suspicion to its least time
inline constexpr double kSuspicionLeast = 4, kSuspicionMost = 3;   // intervals x log10(n); times the least
inline constexpr double kSpreadPart = 0.2;      // of the interval, between rounds of news
inline constexpr std::size_t kSpreadTo = 3;     // members a round
inline constexpr double kForget = 600;          // intervals for which one that is gone is remembered
inline constexpr double kSyncLeast = 10;        // intervals between full exchanges
inline constexpr double kSyncPerMember = 0.2;   // intervals more for each member, so that bytes stay flat
// Beyond what probes need: datagrams a second at an interval of 1 s, and as many bytes as fit in them.
inline constexpr double kDatagramsPerInterval = 40;

inline double suspicion_least(std::size_t members, double interval_s) {
    return kSuspicionLeast *
           std::max(1.0, std::log10(static_cast<double>(std::max<std::size_t>(members, 1)))) * interval_s;
}

// A suspicion's time by the number of others that have confirmed it: falls from the most to the least by
// the logarithm (Lifeguard, 3.2). With too few others to confirm it is the least at once.
inline double suspicion_s(std::size_t members, std::size_t confirmed, double interval_s) {
    const double least = suspicion_least(members, interval_s);
    if (members < kConfirmations + 3) return least;
    const double most = kSuspicionMost * least;
    const double part = std::log(static_cast<double>(confirmed) + 1) / std::log(kConfirmations + 1.0);
    return std::max(least, most - (most - least) * part);
}

// How long after a death every member that hears the others knows of it, in 999 of 1,000 cases, while few
// datagrams are lost: 7 intervals until somebody probes it (nobody does for m intervals with a chance of
// e^-m), two for the probe, the longest suspicion, and rounds of news that reach all.
inline double detection_bound_s(std::size_t members, double interval_s) {
    const double n = static_cast<double>(std::max<std::size_t>(members, 2));
    const double rounds = 2 * std::log(n) / std::log(1.0 + kSpreadTo) + 2;
    return (9 + rounds * kSpreadPart) * interval_s + suspicion_s(members, 0, interval_s) + interval_s;
}

}   // namespace slatejunction::membership
