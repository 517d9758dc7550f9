// Rule: an attempt goes to the cheapest of a few backends drawn by weight; outliers, backends that reject
// its kind, and those that the request has attempted on already, rank last.
// Inputs: the subset's backends with weights, attempts in flight, latency ratios (latency over latency
// objective), health, slow start; the request's kind, idempotency scope and tried backends; the zone of
// this ingress.
// Output: a backend, or none.
// It never chooses a backend outside of the subset or the idempotency scope, nor a warming one for a retry,
// but where the scope leaves it no other way.
// Seen in: action StartAttempt; RejectReason::no_backend where it has none (slatejunction_refusals_total).
//
// Few are drawn, as many ingresses with the same late knowledge would herd on the one that looks best.
// Draws in which no backend answered lately are joined by the last responders of this ingress.
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
    std::size_t kind = 0;                              // of request: class and plan
    const std::vector<std::string>* tried = nullptr;   // backends of earlier attempts; never null
    IdempotencyScope scope = IdempotencyScope::all;
    const Backend* scope_anchor = nullptr;   // a backend in the zone or cell to stay in; or null
    SubsetIndex subset = kWholeFleet;
};

/// Chooses backends, and owns the latencies that it compares.
class LoadBalancer {
  public:
    /// All of these must outlive this.
    LoadBalancer(const Settings& settings, EndpointSet& endpoints, const OutlierDetector& outliers,
                 const SlowStart& slow_start)
        : settings_(settings), endpoints_(endpoints), outliers_(outliers), slow_start_(slow_start) {}

    /// nullptr where the subset has no backend that meets the requirements.
    Backend* choose(const BackendRequirements& needed, double now, Random& random) const;

    /// An attempt was answered.
    void on_answer(Backend& backend, double latency_ratio, double now);

    /// The fleet's mean latency ratio.
    double mean_latency_ratio() const { return mean_latency_ratio_; }

  private:
    // The cheapest backend seen so far, and the cheapest of those that are avoided.
    struct Candidates {
        Backend* best = nullptr;
        Backend* best_avoided = nullptr;
        double best_cost = 0;
        double best_avoided_cost = 0;

        Backend* result() const { return best ? best : best_avoided; }
    };

    Backend* choose_in_scope(const BackendRequirements& needed, double now, Random& random) const;
    void consider(Candidates& candidates, Backend& backend, const BackendRequirements& needed, double now,
                  Random& random) const;
    double latency_ratio(const Backend& backend, double now) const;
    double cost(const Backend& backend, const BackendRequirements& needed, double now) const;

    const Settings& settings_;
    EndpointSet& endpoints_;
    const OutlierDetector& outliers_;
    const SlowStart& slow_start_;
    double mean_latency_ratio_ = 0.1;
};

}   // namespace slatejunction::gateway
