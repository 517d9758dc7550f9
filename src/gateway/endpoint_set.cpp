#include "gateway/endpoint_set.hpp"

#include <algorithm>
#include <cmath>

#include "gateway/numeric.hpp"

namespace slatejunction::gateway {

double EndpointSet::update(const EndpointUpdate& update, const OutlierDetector& outliers, double now) {
    const double previous_count = std::max<double>(1.0, static_cast<double>(listed_count()));
    if (update.kind != EndpointUpdateKind::delta)
        for (auto& [id, backend] : backends_) backend.listed = false;
    double changed = 0;
    for (const Endpoint& endpoint : update.endpoints) apply(endpoint, outliers, now, changed);
    rebuild();
    return std::max(changed, std::abs(static_cast<double>(listed_count()) - previous_count)) /
           previous_count;
}

// A backend that has restarted counts as new, except for its attempts in flight.
void EndpointSet::apply(const Endpoint& endpoint, const OutlierDetector& outliers, double now,
                        double& changed) {
    if (endpoint.state != EndpointState::serving) {
        if (Backend* backend = find(endpoint.backend)) {
            backend->listed = false;
            changed += 1;
        }
        return;
    }
    const auto [found, added] = backends_.try_emplace(endpoint.backend);
    Backend& backend = found->second;
    const double started_at_s = positive_or_zero(endpoint.started_at_s);
    if (added || started_at_s != backend.started_at_s) {
        const int in_flight = backend.in_flight;
        backend = Backend{};
        backend.in_flight = in_flight;
        backend.id = endpoint.backend;
        backend.started_at_s = started_at_s;
        backend.health = outliers.new_backend(now);
        changed += 1;
    }
    backend.listed = true;
    backend.zone = endpoint.zone;
    backend.cell = endpoint.cell;
    backend.subsets = endpoint.subsets;
    const double hint = positive_or_zero(endpoint.capacity_hint);
    backend.weight = hint > 0 ? hint : 1.0;
}

void EndpointSet::on_answer(Backend& backend) {
    const auto known = std::find(recent_responders_.begin(), recent_responders_.end(), &backend);
    if (known != recent_responders_.end()) return;
    recent_responders_[next_recent_ % recent_responders_.size()] = &backend;
    ++next_recent_;
}

std::ptrdiff_t EndpointSet::count_outliers(const OutlierDetector& outliers, double now) const {
    const auto& backends = subsets_[kWholeFleet].backends;
    return std::count_if(backends.begin(), backends.end(),
                         [&](const Backend* backend) { return outliers.is_outlier(backend->health, now); });
}

// Removes the backends that are neither listed nor have attempts in flight, and rebuilds the subsets.
void EndpointSet::rebuild() {
    recent_responders_.fill(nullptr);
    subsets_.assign(1, {});
    for (auto it = backends_.begin(); it != backends_.end();) {
        Backend& backend = it->second;
        if (!backend.listed && backend.in_flight == 0) {
            it = backends_.erase(it);
            continue;
        }
        ++it;
        if (backend.listed) add_to_subsets(backend);
    }
}

void EndpointSet::add_to_subsets(Backend& backend) {
    subsets_[kWholeFleet].add(backend);
    for (std::uint64_t remaining = backend.subsets; remaining != 0; remaining &= remaining - 1) {
        const SubsetIndex subset = subset_index(remaining);
        if (subset >= subsets_.size()) subsets_.resize(subset + 1);
        subsets_[subset].add(backend);
    }
}

}   // namespace slatejunction::gateway
