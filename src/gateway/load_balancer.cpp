#include "gateway/load_balancer.hpp"

#include <algorithm>

namespace slatejunction::gateway {
namespace {

/// Backends drawn for one choice.
constexpr int kDrawsPerChoice = 5;
/// Largest random addition to a cost, as a factor: the estimates of a backend are imprecise.
constexpr double kCostNoiseFactor = 0.15;
/// Addition to the cost of a backend in another zone, as a factor.
constexpr double kOtherZoneCostFactor = 0.15;
/// Addition to a cost at a failure estimate of 1, as a factor.
constexpr double kFailureCostFactor = 5.0;
/// The same for requests that are not idempotent.
constexpr double kUnsafeFailureCostFactor = 20.0;
/// Addition to a cost at a rejection estimate of 1, as a factor.
constexpr double kRejectionCostFactor = 5.0;
/// Weight of one answer in the mean latency of a backend.
constexpr double kLatencyWeight = 0.15;
/// Weight of one answer in the mean latency of the fleet.
constexpr double kFleetLatencyWeight = 0.02;
/// Time constant with which a backend's latency decays toward the fleet's.
constexpr double kLatencyDecayS = 10.0;
/// Age up to which an answer is recent.
constexpr double kRecentAnswerS = 2.0;

bool in_scope(const Backend& backend, const BackendRequirements& requirements) {
    if (!requirements.scope_anchor || requirements.scope == IdempotencyScope::all) return true;
    if (requirements.scope == IdempotencyScope::zone)
        return backend.zone == requirements.scope_anchor->zone;
    return backend.cell == requirements.scope_anchor->cell;
}

Backend* draw_by_weight(const Subset& subset, Random& random) {
    const auto& sums = subset.weight_sums;
    const auto found = std::upper_bound(sums.begin(), sums.end(), random.uniform() * sums.back());
    const auto index = static_cast<std::size_t>(found - sums.begin());
    return subset.backends[std::min(index, sums.size() - 1)];
}

}   // namespace

Backend* LoadBalancer::choose(const BackendRequirements& requirements, double now, Random& random) const {
    if (endpoints_.listed_count(requirements.subset) == 0) return nullptr;
    if (requirements.scope_anchor && requirements.scope != IdempotencyScope::all)
        return choose_in_scope(requirements, now, random);
    const Subset& subset = endpoints_.subset(requirements.subset);
    Candidates candidates;
    for (int i = 0; i < kDrawsPerChoice; ++i) {
        Backend* backend = draw_by_weight(subset, random);
        if (slow_start_.is_warm(backend->started_at_s, now)) {
            consider(candidates, *backend, requirements, now, random);
            continue;
        }
        // A warming backend is chosen by the first draw or not at all, so that a low cost never gets it
        // more attempts than slow start allows.
        const bool allowed =
            i == 0 && requirements.tried->empty() &&
            random.uniform() < slow_start_.admission_probability(backend->started_at_s, now);
        if (!allowed) continue;
        consider(candidates, *backend, requirements, now, random);
        if (candidates.best) return candidates.best;
    }
    const bool no_recent_answer =
        !candidates.best || now - candidates.best->last_answer_at_s > kRecentAnswerS;
    if (!no_recent_answer) return candidates.result();
    for (Backend* backend : endpoints_.recent_responders())
        if (backend && slow_start_.is_warm(backend->started_at_s, now))
            consider(candidates, *backend, requirements, now, random);
    return candidates.result();
}

// The scope of an earlier attempt may have few backends, so all of them are considered.
Backend* LoadBalancer::choose_in_scope(const BackendRequirements& requirements, double now,
                                       Random& random) const {
    Candidates candidates;
    for (Backend* backend : endpoints_.subset(requirements.subset).backends) {
        const double started_at_s = backend->started_at_s;
        if (slow_start_.is_warm(started_at_s, now) ||
            random.uniform() < slow_start_.admission_probability(started_at_s, now))
            consider(candidates, *backend, requirements, now, random);
    }
    return candidates.result();
}

void LoadBalancer::consider(Candidates& candidates, Backend& backend,
                            const BackendRequirements& requirements, double now, Random& random) const {
    if (!backend.listed || !in_scope(backend, requirements) ||
        !EndpointSet::in_subset(backend, requirements.subset))
        return;
    const double noise = 1 + kCostNoiseFactor * random.uniform();
    const double noisy_cost = noise * cost(backend, requirements, now);
    const bool tried = std::find(requirements.tried->begin(), requirements.tried->end(), backend.id) !=
                       requirements.tried->end();
    const bool avoided = tried || outliers_.is_outlier(backend.health, now) ||
                         outliers_.is_rejecting(backend.health, requirements.request_kind, now);
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
    const double retained = std::exp(-(now - backend.last_answer_at_s) / kLatencyDecayS);
    return mean_latency_ratio_ + (backend.latency_ratio - mean_latency_ratio_) * retained;
}

// Expected latency per unit of weight (the draw already favors backends of high weight), increased by
// factors for another zone, failures and rejections. Silence counts as latency; its seconds are used as
// latency ratios, as latency objectives are about one second.
double LoadBalancer::cost(const Backend& backend, const BackendRequirements& requirements,
                          double now) const {
    const double queue = 1 + backend.in_flight / backend.weight;
    const double latency = latency_ratio(backend, now);
    const double silence = backend.in_flight > 0 ? now - backend.health.silent_since_s : 0;
    double result = queue * (mean_latency_ratio_ + latency + std::max(0.0, silence - latency));
    if (backend.zone != settings_.zone) result *= 1 + kOtherZoneCostFactor;
    const double failure_cost = requirements.idempotent ? kFailureCostFactor : kUnsafeFailureCostFactor;
    return result * (1 + failure_cost * outliers_.failure_estimate(backend.health, now)) *
           (1 + kRejectionCostFactor *
                    outliers_.rejection_estimate(backend.health, requirements.request_kind, now));
}

}   // namespace slatejunction::gateway
