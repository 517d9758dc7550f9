#include "admin/operator_overrides.hpp"

#include <unordered_set>
#include <utility>

namespace slatejunction::admin {

using slatejunction::EndpointState;
using slatejunction::EndpointUpdateKind;

OperatorOverrides::Known& OperatorOverrides::known(const std::string& id) {
    const auto [at, fresh] = known_.try_emplace(id);
    if (fresh) {
        at->second.entry.backend = id;
        at->second.entry.state = EndpointState::removed;
        list(id, at->second, false);
    }
    return at->second;
}

void OperatorOverrides::list(const std::string& id, Known& known, bool listed) {
    if (listed == (known.gone == 0)) return;
    if (listed) {
        gone_.erase(std::exchange(known.gone, 0));
    } else {
        known.gone = ++goings_;
        gone_.emplace(known.gone, id);
    }
}

void OperatorOverrides::forget_some() {
    for (auto at = gone_.begin(); gone_.size() > kGoneMost + suspensions_ && at != gone_.end();) {
        const auto known = known_.find(at->second);
        if (known->second.suspended) {
            ++at;
            continue;
        }
        known_.erase(known);
        at = gone_.erase(at);
    }
}

void OperatorOverrides::restore_unread(discovery::EndpointList& listing) const {
    for (const std::string& id : listing.unparsed_ids) {
        const auto at = known_.find(id);
        if (at == known_.end() || at->second.gone != 0) continue;
        listing.update.endpoints.push_back(at->second.entry);
        listing.addresses.push_back(at->second.address);
    }
}

void OperatorOverrides::apply_to(discovery::EndpointList& listing) {
    std::unordered_set<std::string_view> named;
    const bool whole = listing.update.kind != EndpointUpdateKind::delta;
    for (std::size_t i = 0; i < listing.update.endpoints.size(); ++i) {
        slatejunction::Endpoint& entry = listing.update.endpoints[i];
        Known& one = known(entry.backend);
        one.entry = entry;
        one.address = listing.addresses[i];
        list(entry.backend, one, entry.state != EndpointState::removed);
        if (whole) named.insert(entry.backend);
        if (one.suspended && entry.state == EndpointState::serving) entry.state = EndpointState::draining;
    }
    if (whole)   // what it does not name is gone
        for (auto& [id, one] : known_)
            if (one.gone == 0 && !named.contains(id)) {
                one.entry.state = EndpointState::removed;
                list(id, one, false);
            }
    forget_some();
}

OverrideResult OperatorOverrides::suspend(Known& one, discovery::EndpointList& change) {
    if (one.suspended) return OverrideResult::done;
    if (suspensions_ >= kSuspendedMost) return OverrideResult::too_many;
    one.suspended = true;
    ++suspensions_;
    if (one.entry.state == EndpointState::serving) {
        change.update.endpoints.push_back(one.entry);
        change.update.endpoints.back().state = EndpointState::draining;
        change.addresses.push_back(one.address);
    }
    return OverrideResult::done;
}

OverrideResult OperatorOverrides::suspend(std::string_view id, discovery::EndpointList& change) {
    const auto at = known_.find(std::string(id));
    return at == known_.end() ? OverrideResult::never_listed : suspend(at->second, change);
}

OverrideResult OperatorOverrides::adopt_suspension(std::string_view id, discovery::EndpointList& change) {
    return suspend(known(std::string(id)), change);
}

void OperatorOverrides::remember(std::string_view id) {
    known(std::string(id));
    forget_some();
}

OverrideResult OperatorOverrides::resume(std::string_view id, discovery::EndpointList& change) {
    const auto at = known_.find(std::string(id));
    if (at == known_.end()) return OverrideResult::never_listed;
    Known& one = at->second;
    if (!std::exchange(one.suspended, false)) return OverrideResult::done;
    --suspensions_;
    if (one.entry.state == EndpointState::serving) {
        change.update.endpoints.push_back(one.entry);
        change.addresses.push_back(one.address);
    }
    forget_some();
    return OverrideResult::done;
}

bool OperatorOverrides::suspended(std::string_view id) const {
    const auto at = known_.find(std::string(id));
    return at != known_.end() && at->second.suspended;
}

std::vector<std::string> OperatorOverrides::suspended() const {
    std::vector<std::string> ids;
    for (const auto& [id, one] : known_)
        if (one.suspended) ids.push_back(id);
    return ids;
}

std::vector<std::string> OperatorOverrides::ever_listed() const {
    std::vector<std::string> ids;
    for (const auto& [id, one] : known_) ids.push_back(id);
    return ids;
}

discovery::EndpointList OperatorOverrides::current_list() const {
    discovery::EndpointList listing;
    listing.update.kind = EndpointUpdateKind::snapshot;
    for (const auto& [id, one] : known_) {
        if (one.gone != 0) continue;
        listing.update.endpoints.push_back(one.entry);
        listing.addresses.push_back(one.address);
    }
    return listing;
}

}   // namespace slatejunction::admin
