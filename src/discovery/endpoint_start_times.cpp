#include "discovery/endpoint_start_times.hpp"

#include <algorithm>
#include <unordered_set>

namespace slatejunction::discovery {
namespace {

// s; a backend that no list names is remembered for so long: it may have been cut off and not restarted.
constexpr double kRemembered = 600.0;

}   // namespace

void EndpointStartTimes::resolve(EndpointList& listing, double now) {
    for (std::size_t i = listing.up_since_ms.size(); i < listing.update.endpoints.size(); ++i) {
        const auto known = starts_.find(listing.update.endpoints[i].backend);
        listing.up_since_ms.push_back(known == starts_.end() ? 0 : known->second.up_since_ms);
    }
    std::vector<std::size_t> newcomers;
    for (std::size_t i = 0; i < listing.update.endpoints.size(); ++i) {
        slatejunction::Endpoint& entry = listing.update.endpoints[i];
        if (entry.state == slatejunction::EndpointState::removed) continue;
        const double stated = listing.up_since_ms[i];
        const auto known = starts_.find(entry.backend);
        if (known != starts_.end() && known->second.up_since_ms == stated)
            entry.started_at_s = known->second.born_s;
        else if (stated > 0 && compares_)
            newcomers.push_back(i);
        else
            entry.started_at_s = std::min(entry.started_at_s, now);
    }
    for (const std::size_t i : newcomers)
        least_lag_s_ = std::min(least_lag_s_, now - listing.update.endpoints[i].started_at_s);
    for (const std::size_t i : newcomers) {
        slatejunction::Endpoint& entry = listing.update.endpoints[i];
        const double age = now - entry.started_at_s - least_lag_s_;
        entry.started_at_s = now - std::clamp(age, 0.0, std::max(0.0, now - last_list_at_));
    }
    for (std::size_t i = 0; i < listing.update.endpoints.size(); ++i)
        remember(listing.update.endpoints[i], listing.up_since_ms[i], now);
    if (listing.update.kind != slatejunction::EndpointUpdateKind::delta) unlist_unnamed(listing, now);
    compares_ = compares_ || listing.update.kind != slatejunction::EndpointUpdateKind::delta;
    last_list_at_ = now;
    forget_old(now);
}

void EndpointStartTimes::resolve_cached(EndpointList& copy, double now) {
    for (std::size_t i = 0; i < copy.update.endpoints.size(); ++i) {
        slatejunction::Endpoint& entry = copy.update.endpoints[i];
        entry.started_at_s = std::min(entry.started_at_s, now);
        remember(entry, copy.up_since_ms[i], now);
    }
    compares_ = compares_ || !copy.update.endpoints.empty();
}

void EndpointStartTimes::adopt(const EndpointList& settled) {
    for (std::size_t i = 0; i < settled.update.endpoints.size(); ++i)
        remember(settled.update.endpoints[i], settled.up_since_ms[i], last_list_at_);
    compares_ = compares_ || !settled.update.endpoints.empty();
}

void EndpointStartTimes::restore_stated(EndpointList& listing) const {
    listing.up_since_ms.clear();
    for (const slatejunction::Endpoint& entry : listing.update.endpoints) {
        const auto at = starts_.find(entry.backend);
        listing.up_since_ms.push_back(at == starts_.end() ? 0 : at->second.up_since_ms);
    }
}

void EndpointStartTimes::remember(const slatejunction::Endpoint& entry, double up_since_ms, double now) {
    if (entry.state == slatejunction::EndpointState::removed) {
        if (const auto at = starts_.find(entry.backend); at != starts_.end()) {
            at->second.listed = false;
            at->second.named_at = now;
        }
        return;
    }
    starts_[entry.backend] = {up_since_ms, entry.started_at_s, now, true};
}

void EndpointStartTimes::unlist_unnamed(const EndpointList& listing, double now) {
    std::unordered_set<std::string_view> named;
    for (const auto& entry : listing.update.endpoints) named.insert(entry.backend);
    for (auto& [id, start] : starts_)
        if (start.listed && !named.contains(id)) start.listed = false, start.named_at = now;
}

void EndpointStartTimes::forget_old(double now) {
    if (now < next_sweep_at_) return;
    next_sweep_at_ = now + kRemembered / 10;
    std::erase_if(starts_, [now](const auto& one) {
        return !one.second.listed && now - one.second.named_at > kRemembered;
    });
}

}   // namespace slatejunction::discovery
