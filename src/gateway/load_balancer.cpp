#include "gateway/load_balancer.hpp"

#include <algorithm>

namespace slatejunction::gateway {
namespace {

constexpr int kDraws = 5;                      // backends drawn for one choice
constexpr double kCostNoise = 0.15;            // of a cost, at random: what is known of a backend is rough
constexpr double kOtherZoneCost = 0.15;        // of a cost
constexpr double kFailureCost = 5.0;           // of a cost, at a failure estimate of 1
constexpr double kUnsafeFailureCost = 20.0;    // the same, for requests that are not idempotent
constexpr double kRejectionCost = 5.0;         // of a cost, at a rejection estimate of 1
constexpr double kLatencyWeight = 0.15;        // of one answer, in a backend's mean
constexpr double kFleetLatencyWeight = 0.02;   // of one answer, in the fleet's mean
constexpr double kLatencyMemoryS = 10.0;       // then a backend's latency counts as the fleet's
constexpr double kRecentAnswerS = 2.0;

bool in_scope(const Backend& backend, const BackendRequirements& needed) {
    if (!needed.scope_anchor || needed.scope == IdempotencyScope::all) return true;
    if (needed.scope == IdempotencyScope::zone) return backend.zone == needed.scope_anchor->zone;
    return backend.cell == needed.scope_anchor->cell;
}

Backend* draw_by_weight(const Subset& subset, Random& random) {
    const auto& sums = subset.weight_sums;
    const auto found = std::upper_bound(sums.begin(), sums.end(), random.uniform() * sums.back());
    const auto index = static_cast<std::size_t>(found - sums.begin());
    return subset.backends[std::min(index, sums.size() - 1)];
}

}   // namespace

Backend* LoadBalancer::choose(const BackendRequirements& needed, double now, Random& random) const {
    if (endpoints_.usable(needed.subset) == 0) return nullptr;
    if (needed.scope_anchor && needed.scope != IdempotencyScope::all)
        return choose_in_scope(needed, now, random);
    const Subset& subset = endpoints_.subset(needed.subset);
    Candidates candidates;
    for (int i = 0; i < kDraws; ++i) {
        Backend* backend = draw_by_weight(subset, random);
        if (slow_start_.is_warm(backend->started_at_s, now)) {
            consider(candidates, *backend, needed, now, random);
            continue;
        }
        // A warming backend is chosen by this draw or not at all, so that its cost never wins it more than
        // it may get.
        const bool allowed =
            i == 0 && needed.tried->empty() &&
            random.uniform() < slow_start_.admission_probability(backend->started_at_s, now);
        if (!allowed) continue;
        consider(candidates, *backend, needed, now, random);
        if (candidates.best) return candidates.best;
    }
    const bool no_recent_answer =
        !candidates.best || now - candidates.best->last_answer_at_s > kRecentAnswerS;
    if (!no_recent_answer) return candidates.result();
    for (Backend* backend : endpoints_.recent_responders())
        if (backend && slow_start_.is_warm(backend->started_at_s, now))
            consider(candidates, *backend, needed, now, random);
    return candidates.result();
}

// Few backends may be in the scope of an earlier attempt, so all are considered.
Backend* LoadBalancer::choose_in_scope(const BackendRequirements& needed, double now,
                                       Random& random) const {
    Candidates candidates;
    for (Backend* backend : endpoints_.subset(needed.subset).backends) {
        const double started_at_s = backend->started_at_s;
        if (slow_start_.is_warm(started_at_s, now) ||
            random.uniform() < slow_start_.admission_probability(started_at_s, now))
            consider(candidates, *backend, needed, now, random);
    }
    return candidates.result();
}

void LoadBalancer::consider(Candidates& candidates, Backend& backend, const BackendRequirements& needed,
                            double now, Random& random) const {
    if (!backend.listed || !in_scope(backend, needed) || !EndpointSet::in_subset(backend, needed.subset))
        return;
    const double noise = 1 + kCostNoise * random.uniform();
    const double noisy_cost = noise * cost(backend, needed, now);
    const bool tried =
        std::find(needed.tried->begin(), needed.tried->end(), backend.id) != needed.tried->end();
    const bool avoided = tried || outliers_.is_outlier(backend.health, now) ||
                         outliers_.is_rejecting(backend.health, needed.kind, now);
    if (avoided) {
        if (!candidates.best_avoided || noisy_cost < candidates.best_avoided_cost) {
            candidates.best_avoided = &backend;
            candidates.best_avoided_cost = noisy_cost;
        }
    } else if (!candidates.best || noisy_cost < candidates.best_cost) {
        candidates.best = &backend;
        candidates.best_cost = noisy_cost;
    }
}

void LoadBalancer::on_answer(Backend& backend, double latency, double now) {
    backend.latency_ratio =
        latency_ratio(backend, now) + kLatencyWeight * (latency - latency_ratio(backend, now));
    backend.last_answer_at_s = now;
    mean_latency_ratio_ += kFleetLatencyWeight * (latency - mean_latency_ratio_);
}

double LoadBalancer::latency_ratio(const Backend& backend, double now) const {
    const double retained = std::exp(-(now - backend.last_answer_at_s) / kLatencyMemoryS);
    return mean_latency_ratio_ + (backend.latency_ratio - mean_latency_ratio_) * retained;
}

// Expected latency by unit of weight (the draw has favoured backends of more weight already), times what
// zone, failures and rejections make of it. Silence counts as latency; its seconds are taken as latency
// ratios, as objectives are about a second.
double LoadBalancer::cost(const Backend& backend, const BackendRequirements& needed, double now) const {
    const double queue = 1 + backend.in_flight / backend.weight;
    const double latency = latency_ratio(backend, now);
    const double silence = backend.in_flight > 0 ? now - backend.health.silent_since_s : 0;
    double result = queue * (mean_latency_ratio_ + latency + std::max(0.0, silence - latency));
    if (backend.zone != settings_.zone) result *= 1 + kOtherZoneCost;
    const double failure_cost = needed.idempotent ? kFailureCost : kUnsafeFailureCost;
    return result * (1 + failure_cost * outliers_.failure_estimate(backend.health, now)) *
           (1 + kRejectionCost * outliers_.rejection_estimate(backend.health, needed.kind, now));
}

}   // namespace slatejunction::gateway
