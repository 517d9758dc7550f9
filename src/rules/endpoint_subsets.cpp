#include "rules/endpoint_subsets.hpp"

#include <algorithm>
#include <bit>
#include <unordered_set>

namespace slatejunction::rules {

std::uint64_t EndpointSubsets::match(double now, const slatejunction::Endpoint& endpoint, Rules* rules) {
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
            serving_[endpoint.backend] = {endpoint, match(now, endpoint, rules)};
        else
            serving_.erase(endpoint.backend);
    }
    apply_min_backends(rules, update);
}

slatejunction::EndpointUpdate EndpointSubsets::reload(double now, Rules* rules) {
    for (auto& [backend, state] : serving_) state.matched = match(now, state.endpoint, rules);
    slatejunction::EndpointUpdate update;
    apply_min_backends(rules, update);
    return update;
}

// Counts the serving endpoints of each subset; returns the subsets, as bits, that have enough.
std::uint64_t EndpointSubsets::count_serving(const Rules* rules) {
    const std::size_t count = rules ? rules->subset_count() : 0;
    serving_counts_.assign(count, 0);
    for (const auto& [backend, state] : serving_)
        for (std::uint64_t bits = state.matched; bits != 0; bits &= bits - 1)
            ++serving_counts_[static_cast<std::size_t>(std::countr_zero(bits))];
    std::uint64_t allowed = 0;
    for (std::size_t i = 0; i < count; ++i)
        if (serving_counts_[i] >= static_cast<std::size_t>(rules->subset(i).min_backends))
            allowed |= std::uint64_t{1} << i;
    return allowed;
}

// Sets the subsets of the update's endpoints and appends the others that have changed, in the order of
// their names.
void EndpointSubsets::apply_min_backends(Rules* rules, slatejunction::EndpointUpdate& update) {
    const std::uint64_t allowed = count_serving(rules);
    std::vector<const EndpointState*> changed;
    for (auto& [backend, state] : serving_) {
        const std::uint64_t subsets = state.matched & allowed;
        if (subsets == state.endpoint.subsets) continue;
        state.endpoint.subsets = subsets;
        changed.push_back(&state);
    }
    std::unordered_set<std::string> in_update;
    for (slatejunction::Endpoint& endpoint : update.endpoints) {
        in_update.insert(endpoint.backend);
        const auto state = serving_.find(endpoint.backend);
        if (state != serving_.end() && endpoint.state == slatejunction::EndpointState::serving)
            endpoint.subsets = state->second.endpoint.subsets;
    }
    std::sort(changed.begin(), changed.end(), [](const EndpointState* left, const EndpointState* right) {
        return left->endpoint.backend < right->endpoint.backend;
    });
    for (const EndpointState* state : changed)
        if (!in_update.contains(state->endpoint.backend)) update.endpoints.push_back(state->endpoint);
}

}   // namespace slatejunction::rules
