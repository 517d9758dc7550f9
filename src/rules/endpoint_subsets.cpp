#include "rules/endpoint_subsets.hpp"

#include <algorithm>
#include <bit>
#include <unordered_set>

namespace slatejunction::rules {

std::uint64_t EndpointSubsets::matching_subsets(double now, const slatejunction::Endpoint& endpoint,
                                                Rules* rules) {
    if (!rules) return 0;
    BackendFacts facts;
    facts.id = endpoint.backend;
    facts.locality = endpoint.zone;
    facts.flavor = endpoint.flavor;
    facts.cell = endpoint.cell;
    facts.size = endpoint.capacity_hint;
    facts.age_s = endpoint.started_at_s > 0 ? std::max(0.0, now - endpoint.started_at_s) : 0;
    return rules->subsets_of(facts);
}

void EndpointSubsets::update(double now, slatejunction::EndpointUpdate& update, Rules* rules) {
    if (update.kind == slatejunction::EndpointUpdateKind::watch_lost) return;
    if (update.kind != slatejunction::EndpointUpdateKind::delta) serving_.clear();
    for (const slatejunction::Endpoint& endpoint : update.endpoints) {
        if (endpoint.state == slatejunction::EndpointState::serving)
            serving_[endpoint.backend] = {endpoint, matching_subsets(now, endpoint, rules)};
        else
            serving_.erase(endpoint.backend);
    }
    apply_min_backends(rules, update);
}

slatejunction::EndpointUpdate EndpointSubsets::reload(double now, Rules* rules) {
    for (auto& [backend, entry] : serving_)
        entry.matched_subsets = matching_subsets(now, entry.endpoint, rules);
    slatejunction::EndpointUpdate update;
    apply_min_backends(rules, update);
    return update;
}

// Counts the serving endpoints that match each subset. Returns the subsets, as bits, with at least
// min_backends of them.
std::uint64_t EndpointSubsets::count_serving(const Rules* rules) {
    const std::size_t count = rules ? rules->subset_count() : 0;
    serving_counts_.assign(count, 0);
    for (const auto& [backend, entry] : serving_)
        for (std::uint64_t bits = entry.matched_subsets; bits != 0; bits &= bits - 1)
            ++serving_counts_[static_cast<std::size_t>(std::countr_zero(bits))];
    std::uint64_t nonempty = 0;
    for (std::size_t i = 0; i < count; ++i)
        if (serving_counts_[i] >= static_cast<std::size_t>(rules->subset(i).min_backends))
            nonempty |= std::uint64_t{1} << i;
    return nonempty;
}

// Sets the subsets of the update's endpoints, then appends the other endpoints whose subsets have changed,
// sorted by backend id.
void EndpointSubsets::apply_min_backends(Rules* rules, slatejunction::EndpointUpdate& update) {
    const std::uint64_t nonempty = count_serving(rules);
    std::vector<const ServingEndpoint*> changed;
    for (auto& [backend, entry] : serving_) {
        const std::uint64_t subsets = entry.matched_subsets & nonempty;
        if (subsets == entry.endpoint.subsets) continue;
        entry.endpoint.subsets = subsets;
        changed.push_back(&entry);
    }
    std::unordered_set<std::string> in_update;
    for (slatejunction::Endpoint& endpoint : update.endpoints) {
        in_update.insert(endpoint.backend);
        const auto entry = serving_.find(endpoint.backend);
        if (entry != serving_.end() && endpoint.state == slatejunction::EndpointState::serving)
            endpoint.subsets = entry->second.endpoint.subsets;
    }
    std::sort(changed.begin(), changed.end(),
              [](const ServingEndpoint* left, const ServingEndpoint* right) {
                  return left->endpoint.backend < right->endpoint.backend;
              });
    for (const ServingEndpoint* entry : changed)
        if (!in_update.contains(entry->endpoint.backend)) update.endpoints.push_back(entry->endpoint);
}

}   // namespace slatejunction::rules
