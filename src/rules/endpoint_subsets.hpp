// Keeps the subsets of each endpoint as the rules give them, and sets them in endpoint updates on their
// way to the gateway.
//
// Rule: an endpoint is in a subset if the subset's condition holds for it and at least `min_backends`
// serving endpoints match; else the subset has none.
// Inputs: endpoint updates, the rules in force, the time (s; for provider.age_s).
// Output: the update, with endpoints added whose subsets have changed with it.
// Where to see it: the measure of serving endpoints by subset. Owned by app::RulesComponent.
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
    /// Sets the subsets of the update's endpoints, and adds the other endpoints whose subsets change with
    /// it. `rules`: null: no subsets.
    void update(double now, slatejunction::EndpointUpdate& update, Rules* rules);
    /// An update of all endpoints whose subsets differ under these rules.
    slatejunction::EndpointUpdate reload(double now, Rules* rules);
    /// Number of serving endpoints that match the subset.
    std::size_t serving_count(std::size_t subset) const {
        return subset < serving_counts_.size() ? serving_counts_[subset] : 0;
    }

  private:
    struct EndpointState {
        slatejunction::Endpoint endpoint;
        std::uint64_t matched = 0;   // subsets whose condition holds, as bits
    };
    static std::uint64_t match(double now, const slatejunction::Endpoint& endpoint, Rules* rules);
    std::uint64_t count_serving(const Rules* rules);
    void apply_min_backends(Rules* rules, slatejunction::EndpointUpdate& update);

    std::unordered_map<std::string, EndpointState> serving_;   // by backend
    std::vector<std::size_t> serving_counts_;                  // by subset
};

}   // namespace slatejunction::rules
