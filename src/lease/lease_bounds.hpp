// Durations of the lease protocol, derived from its settings.
//
// A holder may act for the grant duration, shortened by the drift of the clocks and a safety margin. An
// acceptor that lost its state stays silent for the grant duration, lengthened by the same amounts. All
// times are in s; `drift` is a ratio.
//
// Invariants, for any two clocks within `drift`:
// - No acceptor's grant expires within usable_duration_s() after the request was sent.
// - Every grant that an acceptor may have given has expired once recovery_wait_s() has passed.
//
// The daemon, check-config, the metrics and the tests all call these functions, so that each duration has
// one definition. The protocol is PaxosLease (Trencseni, Gazso, Reinhardt 2012); see docs/design/fleet.md.
#pragma once

#include <algorithm>
#include <cmath>

namespace slatejunction::lease {

struct LeaseTimes {
    double grant_duration_s = 3;   ///< time that an acceptor keeps a grant, by its own clock
    double drift = 0.02;           ///< ratio (rho) by which a clock may run faster or slower than true time
    double safety_margin_s = 0.1;   ///< time that a holder stops earlier than drift requires
    double max_action_s = 0.2;      ///< longest time that one action under the lease may take
    bool operator==(const LeaseTimes&) const = default;
};

/// Time in s after sending a request during which the holder may use the grant, by the holder's clock. An
/// acceptor's clock of rate 1 + rho passes grant_duration_s in grant_duration_s / (1 + rho) of true time; a
/// holder's clock of rate 1 - rho shows (1 - rho) of that.
inline double usable_duration_s(const LeaseTimes& t) {
    return t.grant_duration_s * (1 - t.drift) / (1 + t.drift) - t.safety_margin_s;
}

/// Whether an action that begins at `now` ends by `valid_until`; both are in s by the holder's clock.
inline bool may_act(const LeaseTimes& t, double now, double valid_until) {
    return now + t.max_action_s <= valid_until;
}

/// Time in s that an acceptor without its state stays silent: longer than a grant lasts by any clock.
inline double recovery_wait_s(const LeaseTimes& t) {
    return t.grant_duration_s * (1 + t.drift) / (1 - t.drift) + t.safety_margin_s;
}

/// Upper bound in s of the random part of a candidate's backoff between two attempts.
inline double retry_delay_s(const LeaseTimes& t) { return std::min(1.0, t.grant_duration_s / 6); }

/// Time in s after which a round without a majority has failed.
inline double request_timeout_s(const LeaseTimes& t) { return std::min(1.0, t.grant_duration_s / 6); }

/// Time in s from the start of the last successful round to the first renewal. It is a third of the usable
/// duration, so that several renewals may fail before the lease is lost.
inline double renew_delay_s(const LeaseTimes& t) { return usable_duration_s(t) / 3; }

/// Upper bound in s of the time without a holder after the holder died or was partitioned away, as long as
/// a majority of the acceptors can communicate with a candidate. It is the sum of a grant's expiry by a
/// slow clock, a candidate's backoff (up to twice retry_delay_s with jitter), and two rounds. Each further
/// candidate may cost two more attempts because of split votes.
inline double max_vacancy_s(const LeaseTimes& t, double round_trip_s, int candidates = 1) {
    return t.grant_duration_s / (1 - t.drift) + 2 * retry_delay_s(t) * (1 + t.drift) + 2 * round_trip_s +
           (candidates - 1) * 2 * (request_timeout_s(t) + retry_delay_s(t));
}

}   // namespace slatejunction::lease
