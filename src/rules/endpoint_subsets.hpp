// Computes the subsets of each endpoint by the rules, and sets them in endpoint updates before those
// reach the gateway.
//
// - Rule: an endpoint is in a subset if the subset's condition holds for it and at least `min_backends`
//   serving endpoints match the condition; with fewer the subset is empty.
// - Inputs: endpoint updates, the rules in force, the time (s; for provider.age_s).
// - Output: the update, to which all other endpoints are added whose subsets it changes.
// - Visible in: the metric of serving endpoints by subset.
//
// Owned by app::RulesComponent.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "rules/rules.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::rules {

class EndpointSubsets {
  public:
    /// Sets the subsets of the update's endpoints, and adds the other endpoints whose subsets change
    /// because of it. `rules` may be null: there are no subsets then.
    void update(double now, slatejunction::EndpointUpdate& update, Rules* rules);
    /// Returns an update with all endpoints whose subsets change under these rules.
    slatejunction::EndpointUpdate reload(double now, Rules* rules);
    /// The number of serving endpoints for which the subset's condition holds.
    std::size_t serving_count(std::size_t subset) const {
        return subset < serving_counts_.size() ? serving_counts_[subset] : 0;
    }

  private:
    struct ServingEndpoint {
        slatejunction::Endpoint endpoint;
        std::uint64_t matched_subsets = 0;   // subsets whose condition holds, as bits
    };
    static std::uint64_t matching_subsets(double now, const slatejunction::Endpoint& endpoint,
                                          Rules* rules);
    std::uint64_t count_serving(const Rules* rules);
    void apply_min_backends(Rules* rules, slatejunction::EndpointUpdate& update);

    std::unordered_map<std::string, ServingEndpoint> serving_;   // by backend
    std::vector<std::size_t> serving_counts_;                    // by subset
};

}   // namespace slatejunction::rules
