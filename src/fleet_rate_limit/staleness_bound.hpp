// Error bound of a limit that holds over the fleet, as pure functions of its settings: units that may be
// admitted beyond burst + rate * t in any window of t seconds. Called by RateLimitNode, the checks of the
// configuration, measures and tests.
#pragma once

#include <algorithm>
#include <cstddef>

namespace slatejunction::fleet_rate_limit {

/// A limit's definition.
struct LimitSpec {
    double rate = 0;                ///< units a second, over all ingresses
    double burst = 1;               ///< units
    double max_request_units = 1;   ///< of one request
    bool operator==(const LimitSpec&) const = default;
};

inline constexpr double kMaxReplyDelayS = 2;   ///< s, that the `late_replies` bound holds for

/// Units that one ingress may have admitted of a key and not reported.
inline double max_unreported(const LimitSpec& s, double wanted) {
    return std::max(wanted, s.max_request_units);
}

/// An even share of rate (units a second) and burst (units), for an ingress whose owner does not answer.
inline double fallback_rate(const LimitSpec& s, std::size_t ingresses) {
    return s.rate / static_cast<double>(ingresses);
}
inline double fallback_burst(const LimitSpec& s, std::size_t ingresses) {
    return std::max(s.burst / static_cast<double>(ingresses), s.max_request_units);
}

/// Units, by what is wrong in the fleet.
struct ErrorBound {
    double healthy = 0;         ///< all replies arrive within kUnresponsiveAfterS
    double late_replies = 0;    ///< replies are lost or late by up to kMaxReplyDelayS; adds to any other
    double partition = 0;       ///< ingresses are cut off or the fleet is split in two, and heals
    double owner_lost = 0;      ///< a key's owner crashes
    double process_pause = 0;   ///< an ingress is suspended and resumes
    double per_restart = 0;     ///< added by each restart of an ingress
};

/// `wanted_credit`: Settings::max_unreported_units; `ingresses`: number of the whole fleet; `apart`: number
/// on the smaller side of a partition; `known_s`: time (s) until all know which members are alive
/// (membership::known_within_s).
///
/// - healthy: each ingress may have max_unreported() units that the owner does not know of.
/// - late_replies: an ingress that waits admits from its fallback bucket and reports that afterwards.
/// - partition: every ingress separated from a key's owner, at most all others, empties its fallback
/// bucket; then the
///   separated ones have an owner of their own. Until the membership has changed, when the partition begins
///   and again when it heals, their fraction of rate and burst is granted twice.
/// - owner_lost: every ingress empties its fallback bucket, and the next owner may start with a full
/// bucket.
/// - process_pause: the same; the process resumes with empty buckets (RateLimitNode::detect_process_pause)
/// and grants the
///   whole rate until its membership has changed.
inline ErrorBound error_bound(const LimitSpec& s, double wanted_credit, std::size_t ingresses,
                              std::size_t apart, double known_s) {
    const double n = static_cast<double>(ingresses);
    const double separated = static_cast<double>(apart);
    const double unreported = n * max_unreported(s, wanted_credit);
    const double fallback = fallback_burst(s, ingresses);
    ErrorBound bound;
    bound.healthy = unreported;
    bound.late_replies = n * fallback + s.rate * kMaxReplyDelayS;
    bound.partition = unreported + n * fallback + 2 * (s.burst + s.rate * known_s) * separated / n;
    bound.owner_lost = unreported + n * fallback + s.burst;
    bound.per_restart = max_unreported(s, wanted_credit) + fallback;
    bound.process_pause = bound.owner_lost + bound.per_restart + s.rate * known_s;
    return bound;
}

}   // namespace slatejunction::fleet_rate_limit
