// Error bound of a fleet-wide limit: the units that may be admitted beyond burst + rate * t in any window
// of t seconds. All functions are pure functions of the settings. RateLimitNode, the configuration check
// and tests use them.
#pragma once

#include <algorithm>
#include <cstddef>

namespace slatejunction::fleet_rate_limit {

/// Definition of a limit.
struct LimitSpec {
    double rate = 0;                ///< units per second, across all ingresses
    double burst = 1;               ///< units, across all ingresses
    double max_request_units = 1;   ///< most units of a single request
    bool operator==(const LimitSpec&) const = default;
};

/// Longest delay of a reply (s) for which ErrorBound::late_replies holds.
inline constexpr double kMaxReplyDelayS = 2;

/// Units of one key that an ingress may admit before the owner knows of them; at least one request.
inline double max_unreported(const LimitSpec& spec, double max_unreported_units) {
    return std::max(max_unreported_units, spec.max_request_units);
}

/// Rate (units per second) of the fallback bucket: an even share of the limit's rate. An ingress uses this
/// bucket while the key's owner does not reply.
inline double fallback_rate(const LimitSpec& spec, std::size_t ingresses) {
    return spec.rate / static_cast<double>(ingresses);
}
/// Burst (units) of the fallback bucket: an even share of the limit's burst, and at least one request.
inline double fallback_burst(const LimitSpec& spec, std::size_t ingresses) {
    return std::max(spec.burst / static_cast<double>(ingresses), spec.max_request_units);
}

/// Error bound in units, for each state of the fleet.
struct ErrorBound {
    double healthy = 0;        ///< all replies arrive within kUnresponsiveAfterS
    double late_replies = 0;   ///< added to the others while replies are lost or up to kMaxReplyDelayS late
    double partition = 0;      ///< ingresses are cut off, or the fleet splits in two, and it heals
    double owner_lost = 0;     ///< the owner of a key crashes
    double process_pause = 0;   ///< the process of an ingress is suspended and resumes
    double per_restart = 0;     ///< added by each restart of an ingress
};

/// Error bound of `spec` in a fleet of `ingresses` ingresses.
///
/// - `max_unreported_units` is Settings::max_unreported_units.
/// - `cut_off` is the number of ingresses on the smaller side of a partition.
/// - `detection_s` is the time (s) until all ingresses know which members are alive
///   (membership::detection_bound_s).
///
/// How each bound comes about:
/// - healthy: each ingress may have admitted max_unreported() units that the owner does not know of.
/// - late_replies: an ingress that waits for a reply admits from its fallback bucket and reports those
///   units afterwards.
/// - partition: every ingress that is cut off from the owner of a key, at most all others, empties its
///   fallback bucket. Then the ingresses on the far side have an owner of their own. Their fraction of rate
///   and burst is granted twice until the membership has changed, once when the partition begins and once
///   when it heals.
/// - owner_lost: every ingress empties its fallback bucket, and the next owner may start with a full
///   bucket.
/// - process_pause: as owner_lost and a restart. The process resumes with empty buckets
///   (RateLimitNode::detect_process_pause) and grants the whole rate until its membership has changed.
inline ErrorBound error_bound(const LimitSpec& spec, double max_unreported_units, std::size_t ingresses,
                              std::size_t cut_off, double detection_s) {
    const double ingress_count = static_cast<double>(ingresses);
    const double cut_off_count = static_cast<double>(cut_off);
    const double unreported = ingress_count * max_unreported(spec, max_unreported_units);
    const double fallback = fallback_burst(spec, ingresses);
    ErrorBound bound;
    bound.healthy = unreported;
    bound.late_replies = ingress_count * fallback + spec.rate * kMaxReplyDelayS;
    bound.partition = unreported + ingress_count * fallback +
                      2 * (spec.burst + spec.rate * detection_s) * cut_off_count / ingress_count;
    bound.owner_lost = unreported + ingress_count * fallback + spec.burst;
    bound.per_restart = max_unreported(spec, max_unreported_units) + fallback;
    bound.process_pause = bound.owner_lost + bound.per_restart + spec.rate * detection_s;
    return bound;
}

}   // namespace slatejunction::fleet_rate_limit
