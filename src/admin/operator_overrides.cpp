#include "admin/operator_overrides.hpp"

#include <unordered_set>
#include <utility>

namespace slatejunction::admin {

using slatejunction::ListKind;
using slatejunction::ServerState;

OperatorOverrides::Known& OperatorOverrides::known(const std::string& id) {
    const auto [at, fresh] = known_.try_emplace(id);
    if (fresh) {
        at->second.entry.server = id;
        at->second.entry.state = ServerState::out;
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

void OperatorOverrides::restore_unread(discovery::Listing& listing) const {
    for (const std::string& id : listing.unread) {
        const auto at = known_.find(id);
        if (at == known_.end() || at->second.gone != 0) continue;
        listing.update.entries.push_back(at->second.entry);
        listing.addresses.push_back(at->second.address);
    }
}

void OperatorOverrides::lay_over(discovery::Listing& listing) {
    std::unordered_set<std::string_view> named;
    const bool whole = listing.update.kind != ListKind::changes;
    for (std::size_t i = 0; i < listing.update.entries.size(); ++i) {
        slatejunction::ListEntry& entry = listing.update.entries[i];
        Known& one = known(entry.server);
        one.entry = entry;
        one.address = listing.addresses[i];
        list(entry.server, one, entry.state != ServerState::out);
        if (whole) named.insert(entry.server);
        if (one.suspended && entry.state == ServerState::in) entry.state = ServerState::lame;
    }
    if (whole)   // what it does not name is gone
        for (auto& [id, one] : known_)
            if (one.gone == 0 && !named.contains(id)) {
                one.entry.state = ServerState::out;
                list(id, one, false);
            }
    forget_some();
}

Verdict OperatorOverrides::suspend(Known& one, discovery::Listing& change) {
    if (one.suspended) return Verdict::done;
    if (suspensions_ >= kSuspendedMost) return Verdict::too_many;
    one.suspended = true;
    ++suspensions_;
    if (one.entry.state == ServerState::in) {
        change.update.entries.push_back(one.entry);
        change.update.entries.back().state = ServerState::lame;
        change.addresses.push_back(one.address);
    }
    return Verdict::done;
}

Verdict OperatorOverrides::suspend(std::string_view id, discovery::Listing& change) {
    const auto at = known_.find(std::string(id));
    return at == known_.end() ? Verdict::never_listed : suspend(at->second, change);
}

Verdict OperatorOverrides::impose(std::string_view id, discovery::Listing& change) {
    return suspend(known(std::string(id)), change);
}

void OperatorOverrides::remember(std::string_view id) {
    known(std::string(id));
    forget_some();
}

Verdict OperatorOverrides::resume(std::string_view id, discovery::Listing& change) {
    const auto at = known_.find(std::string(id));
    if (at == known_.end()) return Verdict::never_listed;
    Known& one = at->second;
    if (!std::exchange(one.suspended, false)) return Verdict::done;
    --suspensions_;
    if (one.entry.state == ServerState::in) {
        change.update.entries.push_back(one.entry);
        change.addresses.push_back(one.address);
    }
    forget_some();
    return Verdict::done;
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

discovery::Listing OperatorOverrides::listed() const {
    discovery::Listing listing;
    listing.update.kind = ListKind::total;
    for (const auto& [id, one] : known_) {
        if (one.gone != 0) continue;
        listing.update.entries.push_back(one.entry);
        listing.addresses.push_back(one.address);
    }
    return listing;
}

}   // namespace slatejunction::admin
