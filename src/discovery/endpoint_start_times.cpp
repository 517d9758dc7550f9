#include "discovery/endpoint_start_times.hpp"

#include <algorithm>
#include <unordered_set>

namespace slatejunction::discovery {
namespace {

// How long a backend that is no longer listed is remembered, as it may be listed again without a restart.
constexpr double kUnlistedMemoryS = 600.0;

}   // namespace

void EndpointStartTimes::resolve(EndpointList& endpoint_list, double now) {
    for (std::size_t i = endpoint_list.up_since_ms.size(); i < endpoint_list.update.endpoints.size(); ++i) {
        const auto known = starts_.find(endpoint_list.update.endpoints[i].backend);
        endpoint_list.up_since_ms.push_back(known == starts_.end() ? 0 : known->second.up_since_ms);
    }
    std::vector<std::size_t> new_entries;
    for (std::size_t i = 0; i < endpoint_list.update.endpoints.size(); ++i) {
        slatejunction::Endpoint& entry = endpoint_list.update.endpoints[i];
        if (entry.state == slatejunction::EndpointState::removed) continue;
        const double up_since_ms = endpoint_list.up_since_ms[i];
        const auto known = starts_.find(entry.backend);
        if (known != starts_.end() && known->second.up_since_ms == up_since_ms)
            entry.started_at_s = known->second.started_at_s;
        else if (up_since_ms > 0 && has_reference_list_)
            new_entries.push_back(i);
        else
            entry.started_at_s = std::min(entry.started_at_s, now);
    }
    for (const std::size_t i : new_entries)
        min_lag_s_ = std::min(min_lag_s_, now - endpoint_list.update.endpoints[i].started_at_s);
    for (const std::size_t i : new_entries) {
        slatejunction::Endpoint& entry = endpoint_list.update.endpoints[i];
        const double age = now - entry.started_at_s - min_lag_s_;
        entry.started_at_s = now - std::clamp(age, 0.0, std::max(0.0, now - last_list_at_));
    }
    for (std::size_t i = 0; i < endpoint_list.update.endpoints.size(); ++i)
        remember(endpoint_list.update.endpoints[i], endpoint_list.up_since_ms[i], now);
    if (endpoint_list.update.kind != slatejunction::EndpointUpdateKind::delta)
        unlist_unnamed(endpoint_list, now);
    has_reference_list_ =
        has_reference_list_ || endpoint_list.update.kind != slatejunction::EndpointUpdateKind::delta;
    last_list_at_ = now;
    forget_old(now);
}

void EndpointStartTimes::resolve_cached(EndpointList& cached, double now) {
    for (std::size_t i = 0; i < cached.update.endpoints.size(); ++i) {
        slatejunction::Endpoint& entry = cached.update.endpoints[i];
        entry.started_at_s = std::min(entry.started_at_s, now);
        remember(entry, cached.up_since_ms[i], now);
    }
    has_reference_list_ = has_reference_list_ || !cached.update.endpoints.empty();
}

void EndpointStartTimes::adopt(const EndpointList& resolved) {
    for (std::size_t i = 0; i < resolved.update.endpoints.size(); ++i)
        remember(resolved.update.endpoints[i], resolved.up_since_ms[i], last_list_at_);
    has_reference_list_ = has_reference_list_ || !resolved.update.endpoints.empty();
}

void EndpointStartTimes::restore_stated(EndpointList& endpoint_list) const {
    endpoint_list.up_since_ms.clear();
    for (const slatejunction::Endpoint& entry : endpoint_list.update.endpoints) {
        const auto it = starts_.find(entry.backend);
        endpoint_list.up_since_ms.push_back(it == starts_.end() ? 0 : it->second.up_since_ms);
    }
}

void EndpointStartTimes::remember(const slatejunction::Endpoint& entry, double up_since_ms, double now) {
    if (entry.state == slatejunction::EndpointState::removed) {
        if (const auto it = starts_.find(entry.backend); it != starts_.end()) {
            it->second.listed = false;
            it->second.last_named_at = now;
        }
        return;
    }
    starts_[entry.backend] = {up_since_ms, entry.started_at_s, now, true};
}

void EndpointStartTimes::unlist_unnamed(const EndpointList& endpoint_list, double now) {
    std::unordered_set<std::string_view> listed_ids;
    for (const auto& entry : endpoint_list.update.endpoints) listed_ids.insert(entry.backend);
    for (auto& [id, start] : starts_)
        if (start.listed && !listed_ids.contains(id)) {
            start.listed = false;
            start.last_named_at = now;
        }
}

void EndpointStartTimes::forget_old(double now) {
    if (now < next_sweep_at_) return;
    next_sweep_at_ = now + kUnlistedMemoryS / 10;
    std::erase_if(starts_, [now](const auto& start) {
        return !start.second.listed && now - start.second.last_named_at > kUnlistedMemoryS;
    });
}

}   // namespace slatejunction::discovery
