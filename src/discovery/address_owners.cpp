#include "discovery/address_owners.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace slatejunction::discovery {

using slatejunction::EndpointState;
using slatejunction::EndpointUpdateKind;

void AddressOwners::resolve(EndpointList& list) {
    ++lists_;
    add_claims(list);
    if (list.update.kind != EndpointUpdateKind::delta) forget_unnamed(list);
    if (contested_.empty()) return;
    drain_named(list);
    drain_unnamed(list);
}

void AddressOwners::add_claims(const EndpointList& list) {
    for (std::size_t i = 0; i < list.update.endpoints.size(); ++i) {
        const slatejunction::Endpoint& entry = list.update.endpoints[i];
        if (entry.state == EndpointState::serving)
            add_claim(list, i);
        else
            remove_claim(entry.backend);
    }
}

void AddressOwners::add_claim(const EndpointList& list, std::size_t index) {
    const slatejunction::Endpoint& entry = list.update.endpoints[index];
    const std::string& address = list.addresses[index];
    const auto known = claims_.find(entry.backend);
    if (known != claims_.end() && known->second.address == address) {
        known->second.up_since_ms = list.up_since_ms[index];
        known->second.last_list = lists_;
        return;
    }
    remove_claim(entry.backend);
    claims_.emplace(entry.backend, Claim{entry, address, list.up_since_ms[index], lists_, lists_, false});
    ids_by_address_.emplace(address, entry.backend);
    if (ids_by_address_.count(address) > 1) contested_.insert(address);
}

void AddressOwners::remove_claim(const std::string& id) {
    const auto claim = claims_.find(id);
    if (claim == claims_.end()) return;
    const std::string address = std::move(claim->second.address);
    claims_.erase(claim);
    const auto [begin, end] = ids_by_address_.equal_range(address);
    ids_by_address_.erase(std::find_if(begin, end, [&](const auto& one) { return one.second == id; }));
    if (ids_by_address_.count(address) < 2) contested_.erase(address);
}

// A whole list removes the backends that it does not name. The state of unparsed entries does not change.
void AddressOwners::forget_unnamed(const EndpointList& list) {
    for (const std::string& id : list.unparsed_ids)
        if (const auto claim = claims_.find(id); claim != claims_.end()) claim->second.last_list = lists_;
    std::vector<std::string> gone;
    for (const auto& [id, claim] : claims_)
        if (claim.last_list != lists_) gone.push_back(id);
    for (const std::string& id : gone) remove_claim(id);
}

void AddressOwners::drain_named(EndpointList& list) {
    for (slatejunction::Endpoint& entry : list.update.endpoints) {
        const auto at = claims_.find(entry.backend);
        if (at == claims_.end()) continue;
        at->second.drained = displaced(at->second);
        if (at->second.drained) entry.state = EndpointState::draining;
    }
}

void AddressOwners::drain_unnamed(EndpointList& list) {
    for (const std::string& address : contested_) {
        const auto [begin, end] = ids_by_address_.equal_range(address);
        for (auto at = begin; at != end; ++at) {
            Claim& claim = claims_.at(at->second);
            if (claim.last_list == lists_ || claim.drained || !displaced(claim)) continue;
            claim.drained = true;
            list.update.endpoints.push_back(claim.entry);
            list.update.endpoints.back().state = EndpointState::draining;
            list.addresses.push_back(claim.address);
            list.up_since_ms.push_back(claim.up_since_ms);
        }
    }
}

bool AddressOwners::displaced(const Claim& claim) const {
    const auto [begin, end] = ids_by_address_.equal_range(claim.address);
    return std::any_of(begin, end,
                       [&](const auto& one) { return claims_.at(one.second).later_than(claim); });
}

}   // namespace slatejunction::discovery
