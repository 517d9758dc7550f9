// Times of a lease, derived from its settings.
//
// Rule: a holder may act for the grant's duration, shortened by the clocks' drift and a margin; an
// acceptor that lost its state stays silent for the grant's duration, lengthened by the same.
// Inputs: LeaseTimes, all in s but `drift` (a ratio).
// Output: durations in s.
// Invariant: usable_duration_s() ends, by any two clocks within `drift`, before any acceptor's grant
// does, and recovery_wait_s() ends after every grant that the acceptor may have given.
// From: PaxosLease (Trencseni, Gazso, Reinhardt 2012); docs/design/fleet.md. Code, check-config,
// measures and tests call these functions; nobody keeps the figures a second time.
#pragma once

#include <algorithm>
#include <cmath>

namespace slatejunction::lease {

struct LeaseTimes {
    double grant_duration_s = 3;   ///< s that an acceptor keeps a grant, by its own clock
    double drift = 0.02;           ///< ratio (rho) by which a clock's rate may be off true time, either way
    double safety_margin_s = 0.1;   ///< s by which a holder stops earlier than drift requires
    double max_action_s = 0.2;      ///< s that one action under the lease may take
    bool operator==(const LeaseTimes&) const = default;
};

/// s after sending a request for which its holder may use the grant, by the holder's clock. An acceptor's
/// clock of rate 1 + rho passes grant_duration_s in grant_duration_s / (1 + rho) of true time; a holder's
/// clock of rate 1 - rho shows (1 - rho) of that.
inline double usable_duration_s(const LeaseTimes& t) {
    return t.grant_duration_s * (1 - t.drift) / (1 + t.drift) - t.safety_margin_s;
}

/// Whether an action that begins at `now` ends before `valid_until` (s, holder's clock).
inline bool may_act(const LeaseTimes& t, double now, double valid_until) {
    return now + t.max_action_s <= valid_until;
}

/// s for which an acceptor without its state stays silent: longer than the longest grant by any clock.
inline double recovery_wait_s(const LeaseTimes& t) {
    return t.grant_duration_s * (1 + t.drift) / (1 - t.drift) + t.safety_margin_s;
}

/// Longest backoff in s of a candidate between two attempts.
inline double retry_delay_s(const LeaseTimes& t) { return std::min(1.0, t.grant_duration_s / 6); }

/// s after which a round without a majority has failed.
inline double request_timeout_s(const LeaseTimes& t) { return std::min(1.0, t.grant_duration_s / 6); }

/// s from the last successful round to the first renewal; several renewals may fail before the lease is
/// lost.
inline double renew_delay_s(const LeaseTimes& t) { return usable_duration_s(t) / 3; }

/// Longest vacancy in s: without a holder after it died or was cut off, while a majority of the acceptors
/// hears a candidate. The grant expires by a slow clock, then a candidate's backoff (twice retry_delay_s by
/// jitter), then two rounds. Each further candidate may cost two more attempts, as votes split.
inline double max_vacancy_s(const LeaseTimes& t, double round_trip_s, int candidates = 1) {
    return t.grant_duration_s / (1 - t.drift) + 2 * retry_delay_s(t) * (1 + t.drift) + 2 * round_trip_s +
           (candidates - 1) * 2 * (request_timeout_s(t) + retry_delay_s(t));
}

}   // namespace slatejunction::lease
