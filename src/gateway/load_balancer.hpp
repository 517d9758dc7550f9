// Load balancing: an attempt goes to the backend of least cost among a few that are drawn by weight.
// Outliers, backends that reject its kind of request, and backends that the request has already tried rank
// last.
//
// - Inputs: the subset's backends with weights, attempts in flight, latency ratios (latency over latency
//   objective), health and slow start; the request's kind, idempotency scope and tried backends; the zone
//   of this ingress.
// - Output: a backend, or none.
// - Limits: it never chooses a backend outside of the subset or of the idempotency scope. A warming backend
//   is not chosen for a retry, unless the retry has to stay in an idempotency scope.
// - Visible in: action StartAttempt; RejectReason::no_backend (metric slatejunction_refusals_total).
//
// Only a few backends are drawn because many ingresses with the same outdated information would otherwise
// all send to the backend that looks best. Where none of the drawn ones answered recently, the last
// responders of this ingress are considered as well.
#pragma once

#include <cmath>
#include <cstddef>
#include <string>
#include <vector>

#include "gateway/endpoint_set.hpp"
#include "gateway/outlier_detection.hpp"
#include "gateway/random.hpp"
#include "gateway/slow_start.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

/// What an attempt needs of its backend.
struct BackendRequirements {
    bool idempotent = true;
    std::size_t request_kind = 0;                      // class and plan
    const std::vector<std::string>* tried = nullptr;   // backends of earlier attempts; must not be null
    IdempotencyScope scope = IdempotencyScope::all;
    const Backend* scope_anchor = nullptr;   // a backend in the zone or cell to stay in, or null
    SubsetIndex subset = kWholeFleet;
};

/// Chooses backends, and maintains the latencies that it compares.
class LoadBalancer {
  public:
    /// All arguments must outlive this object.
    LoadBalancer(const Settings& settings, EndpointSet& endpoints, const OutlierDetector& outliers,
                 const SlowStart& slow_start)
        : settings_(settings), endpoints_(endpoints), outliers_(outliers), slow_start_(slow_start) {}

    /// nullptr if no backend of the subset is available that meets the requirements.
    Backend* choose(const BackendRequirements& requirements, double now, Random& random) const;

    /// An attempt was answered.
    void on_answer(Backend& backend, double latency_ratio, double now);

    /// The mean latency ratio of the fleet.
    double mean_latency_ratio() const { return mean_latency_ratio_; }

  private:
    // The cheapest backend so far, and the cheapest of those that should be avoided.
    struct Candidates {
        Backend* best = nullptr;
        Backend* best_avoided = nullptr;
        double best_cost = 0;
        double best_avoided_cost = 0;

        Backend* result() const { return best ? best : best_avoided; }
    };

    Backend* choose_in_scope(const BackendRequirements& requirements, double now, Random& random) const;
    void consider(Candidates& candidates, Backend& backend, const BackendRequirements& requirements,
                  double now, Random& random) const;
    double latency_ratio(const Backend& backend, double now) const;
    double cost(const Backend& backend, const BackendRequirements& requirements, double now) const;

    const Settings& settings_;
    EndpointSet& endpoints_;
    const OutlierDetector& outliers_;
    const SlowStart& slow_start_;
    double mean_latency_ratio_ = 0.1;
};

}   // namespace slatejunction::gateway
