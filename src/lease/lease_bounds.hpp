// What a lease promises, as functions of its settings: code, docs, check-config, measures and tests call
// these.
#pragma once

#include <algorithm>
#include <cmath>

namespace slatejunction::lease {

struct LeaseTimes {
    double grant_duration_s = 3;    // that a voter keeps a grant, by its own clock
    double drift = 0.02;            // rho: two clocks' rates differ from true time by at most this part
    double safety_margin_s = 0.1;   // that a holder stops early, beyond what drift asks
    double max_action_s = 0.2;      // that an act may take at most
    bool operator==(const LeaseTimes&) const = default;
};

// For how long after it asked a holder may act, by its own clock. A voter's clock of rate 1 + rho runs
// lives_s in lives_s / (1 + rho) of true time; a holder's of rate 1 - rho shows (1 - rho) of that.
inline double usable_duration_s(const LeaseTimes& t) {
    return t.grant_duration_s * (1 - t.drift) / (1 + t.drift) - t.safety_margin_s;
}

// An act that begins now ends before the lease does.
inline bool may_act(const LeaseTimes& t, double now, double until) { return now + t.max_action_s <= until; }

// A voter that lost what it granted takes no part for so long: longer than the longest grant by any clock.
inline double amnesia_s(const LeaseTimes& t) {
    return t.grant_duration_s * (1 + t.drift) / (1 - t.drift) + t.safety_margin_s;
}

// Between two tries of a seeker that was denied, at most.
inline double retry_s(const LeaseTimes& t) { return std::min(1.0, t.grant_duration_s / 6); }

// An ask that has no majority of answers by then has failed.
inline double request_timeout_s(const LeaseTimes& t) { return std::min(1.0, t.grant_duration_s / 6); }

// Renewals begin so long after the last ask that succeeded; several may fail before the lease is lost.
inline double renew_s(const LeaseTimes& t) { return usable_duration_s(t) / 3; }

// How long nobody holds a lease after its holder died or was cut off, while a majority of the voters hears
// a seeker and nobody else seeks: the grant lives out by a slow clock, then a seeker's wait between two
// tries (twice that by jitter), then two rounds of asking. Each further seeker may cost two more tries, as
// votes split.
inline double max_vacancy_s(const LeaseTimes& t, double round_trip_s, int seekers = 1) {
    return t.grant_duration_s / (1 - t.drift) + 2 * retry_s(t) * (1 + t.drift) + 2 * round_trip_s +
           (seekers - 1) * 2 * (request_timeout_s(t) + retry_s(t));
}

}   // namespace slatejunction::lease
