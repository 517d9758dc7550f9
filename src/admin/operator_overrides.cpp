#include "admin/operator_overrides.hpp"

#include <unordered_set>
#include <utility>

namespace slatejunction::admin {

using slatejunction::EndpointState;
using slatejunction::EndpointUpdateKind;

OperatorOverrides::KnownBackend& OperatorOverrides::find_or_add(const std::string& id) {
    const auto [at, added] = backends_.try_emplace(id);
    if (added) {
        at->second.entry.backend = id;
        at->second.entry.state = EndpointState::removed;
        set_listed(id, at->second, false);
    }
    return at->second;
}

void OperatorOverrides::set_listed(const std::string& id, KnownBackend& backend, bool listed) {
    if (listed == (backend.unlisted_sequence == 0)) return;
    if (listed) {
        unlisted_.erase(std::exchange(backend.unlisted_sequence, 0));
    } else {
        backend.unlisted_sequence = ++last_unlisted_sequence_;
        unlisted_.emplace(backend.unlisted_sequence, id);
    }
}

void OperatorOverrides::forget_oldest_unlisted() {
    for (auto at = unlisted_.begin();
         unlisted_.size() > kMaxUnlistedBackends + suspensions_ && at != unlisted_.end();) {
        const auto known = backends_.find(at->second);
        if (known->second.suspended) {
            ++at;
            continue;
        }
        backends_.erase(known);
        at = unlisted_.erase(at);
    }
}

void OperatorOverrides::restore_unparsed(discovery::EndpointList& endpoint_list) const {
    for (const std::string& id : endpoint_list.unparsed_ids) {
        const auto at = backends_.find(id);
        if (at == backends_.end() || at->second.unlisted_sequence != 0) continue;
        endpoint_list.update.endpoints.push_back(at->second.entry);
        endpoint_list.addresses.push_back(at->second.address);
    }
}

void OperatorOverrides::apply_to(discovery::EndpointList& endpoint_list) {
    std::unordered_set<std::string_view> named;
    const bool whole = endpoint_list.update.kind != EndpointUpdateKind::delta;
    for (std::size_t i = 0; i < endpoint_list.update.endpoints.size(); ++i) {
        slatejunction::Endpoint& entry = endpoint_list.update.endpoints[i];
        KnownBackend& backend = find_or_add(entry.backend);
        backend.entry = entry;
        backend.address = endpoint_list.addresses[i];
        set_listed(entry.backend, backend, entry.state != EndpointState::removed);
        if (whole) named.insert(entry.backend);
        if (backend.suspended && entry.state == EndpointState::serving)
            entry.state = EndpointState::draining;
    }
    // A backend that a whole list does not name is not listed any more.
    if (whole)
        for (auto& [id, backend] : backends_)
            if (backend.unlisted_sequence == 0 && !named.contains(id)) {
                backend.entry.state = EndpointState::removed;
                set_listed(id, backend, false);
            }
    forget_oldest_unlisted();
}

OverrideResult OperatorOverrides::suspend(KnownBackend& backend, discovery::EndpointList& change) {
    if (backend.suspended) return OverrideResult::done;
    if (suspensions_ >= kMaxSuspendedBackends) return OverrideResult::too_many;
    backend.suspended = true;
    ++suspensions_;
    if (backend.entry.state == EndpointState::serving) {
        change.update.endpoints.push_back(backend.entry);
        change.update.endpoints.back().state = EndpointState::draining;
        change.addresses.push_back(backend.address);
    }
    return OverrideResult::done;
}

OverrideResult OperatorOverrides::suspend(std::string_view id, discovery::EndpointList& change) {
    const auto at = backends_.find(std::string(id));
    return at == backends_.end() ? OverrideResult::never_listed : suspend(at->second, change);
}

OverrideResult OperatorOverrides::adopt_suspension(std::string_view id, discovery::EndpointList& change) {
    return suspend(find_or_add(std::string(id)), change);
}

void OperatorOverrides::remember(std::string_view id) {
    find_or_add(std::string(id));
    forget_oldest_unlisted();
}

OverrideResult OperatorOverrides::resume(std::string_view id, discovery::EndpointList& change) {
    const auto at = backends_.find(std::string(id));
    if (at == backends_.end()) return OverrideResult::never_listed;
    KnownBackend& backend = at->second;
    if (!std::exchange(backend.suspended, false)) return OverrideResult::done;
    --suspensions_;
    if (backend.entry.state == EndpointState::serving) {
        change.update.endpoints.push_back(backend.entry);
        change.addresses.push_back(backend.address);
    }
    forget_oldest_unlisted();
    return OverrideResult::done;
}

bool OperatorOverrides::is_suspended(std::string_view id) const {
    const auto at = backends_.find(std::string(id));
    return at != backends_.end() && at->second.suspended;
}

std::vector<std::string> OperatorOverrides::suspended_ids() const {
    std::vector<std::string> ids;
    for (const auto& [id, backend] : backends_)
        if (backend.suspended) ids.push_back(id);
    return ids;
}

std::vector<std::string> OperatorOverrides::ever_listed_ids() const {
    std::vector<std::string> ids;
    for (const auto& [id, backend] : backends_) ids.push_back(id);
    return ids;
}

discovery::EndpointList OperatorOverrides::current_list() const {
    discovery::EndpointList endpoint_list;
    endpoint_list.update.kind = EndpointUpdateKind::snapshot;
    for (const auto& [id, backend] : backends_) {
        if (backend.unlisted_sequence != 0) continue;
        endpoint_list.update.endpoints.push_back(backend.entry);
        endpoint_list.addresses.push_back(backend.address);
    }
    return endpoint_list;
}

}   // namespace slatejunction::admin
