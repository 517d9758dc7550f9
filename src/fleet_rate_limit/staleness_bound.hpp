// What a limit of the whole fleet promises, as functions of its settings: code, docs, check-config,
// measures and tests call these. Units that may pass beyond burst + rate * t in any window of t seconds.
#pragma once

#include <algorithm>
#include <cstddef>

namespace slatejunction::fleet_rate_limit {

struct LimitSpec {
    double rate = 0;                // units a second, over all ingresses
    double burst = 1;               // units
    double max_request_units = 1;   // units of the largest request
    bool operator==(const LimitSpec&) const = default;
};

inline constexpr double kLateMost = 2;   // s

// Units that one ingress may have let pass without its owner's word on them.
inline double credit(const LimitSpec& s, double wanted) { return std::max(wanted, s.max_request_units); }

// One ingress's own part, while no owner answers it.
inline double share_rate(const LimitSpec& s, std::size_t ingresses) {
    return s.rate / static_cast<double>(ingresses);
}
inline double share_burst(const LimitSpec& s, std::size_t ingresses) {
    return std::max(s.burst / static_cast<double>(ingresses), s.max_request_units);
}

struct ErrorBound {
    double healthy = 0;      // all hear one another within kSilentAfter
    double late = 0;         // answers are lost or late, none longer than kLateMost: beside any other
    double cut_off = 0;      // some are cut off, or the fleet is split in two, and it heals
    double owner_lost = 0;   // a key's owner is killed
    double stopped = 0;      // an ingress stands still, and wakes
    double restarted = 0;    // for each restart of an ingress
};

// `ingresses`: of the whole fleet; `apart`: of them, those on the smaller sides; `known_s`: until all know
// who is gone or back (membership::known_within_s).
//
//   healthy: each ingress may hold a credit that its owner has not heard of.
//
//   late: an ingress that waits spends its share and tells of it afterwards; that is the error.
//
//   cut off: whoever is apart from a key's owner, be it all but the owner, spends a store of its share,
//   then those apart have an owner of their own; until lists have changed, at the fault and again when it
//   heals, their part of the rate and of the store is given twice.
//
//   owner lost: every ingress spends its share's store, and the next owner may begin with a full one.
//
//   stopped: the same; it wakes with empty stores (Room::notice), and gives the whole rate until its list
//   has changed.
inline ErrorBound error_bound(const LimitSpec& s, double wanted_credit, std::size_t ingresses,
                              std::size_t apart, double known_s) {
    const double n = static_cast<double>(ingresses), away = static_cast<double>(apart);
    const double held = n * credit(s, wanted_credit), shares = share_burst(s, ingresses);
    ErrorBound b;
    b.healthy = held;
    b.late = n * shares + s.rate * kLateMost;
    b.cut_off = held + n * shares + 2 * (s.burst + s.rate * known_s) * away / n;
    b.owner_lost = held + n * shares + s.burst;
    b.restarted = credit(s, wanted_credit) + shares;
    b.stopped = b.owner_lost + b.restarted + s.rate * known_s;
    return b;
}

}   // namespace slatejunction::fleet_rate_limit
