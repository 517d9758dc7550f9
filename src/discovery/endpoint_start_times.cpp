#include "discovery/endpoint_start_times.hpp"

#include <algorithm>
#include <unordered_set>

namespace slatejunction::discovery {
namespace {

// s; a backend that no list names is remembered for so long: it may have been cut off and not restarted.
constexpr double kRemembered = 600.0;

}   // namespace

void StartTimes::settle(Listing& listing, double now) {
    for (std::size_t i = listing.up_since_ms.size(); i < listing.update.entries.size(); ++i) {
        const auto known = starts_.find(listing.update.entries[i].server);
        listing.up_since_ms.push_back(known == starts_.end() ? 0 : known->second.up_since_ms);
    }
    std::vector<std::size_t> newcomers;
    for (std::size_t i = 0; i < listing.update.entries.size(); ++i) {
        slatejunction::ListEntry& entry = listing.update.entries[i];
        if (entry.state == slatejunction::ServerState::out) continue;
        const double stated = listing.up_since_ms[i];
        const auto known = starts_.find(entry.server);
        if (known != starts_.end() && known->second.up_since_ms == stated)
            entry.born_s = known->second.born_s;
        else if (stated > 0 && compares_)
            newcomers.push_back(i);
        else
            entry.born_s = std::min(entry.born_s, now);
    }
    for (const std::size_t i : newcomers)
        least_lag_s_ = std::min(least_lag_s_, now - listing.update.entries[i].born_s);
    for (const std::size_t i : newcomers) {
        slatejunction::ListEntry& entry = listing.update.entries[i];
        const double age = now - entry.born_s - least_lag_s_;
        entry.born_s = now - std::clamp(age, 0.0, std::max(0.0, now - last_list_at_));
    }
    for (std::size_t i = 0; i < listing.update.entries.size(); ++i)
        remember(listing.update.entries[i], listing.up_since_ms[i], now);
    if (listing.update.kind != slatejunction::ListKind::changes) unlist_unnamed(listing, now);
    compares_ = compares_ || listing.update.kind != slatejunction::ListKind::changes;
    last_list_at_ = now;
    forget_old(now);
}

void StartTimes::settle_copy(Listing& copy, double now) {
    for (std::size_t i = 0; i < copy.update.entries.size(); ++i) {
        slatejunction::ListEntry& entry = copy.update.entries[i];
        entry.born_s = std::min(entry.born_s, now);
        remember(entry, copy.up_since_ms[i], now);
    }
    compares_ = compares_ || !copy.update.entries.empty();
}

void StartTimes::adopt(const Listing& settled) {
    for (std::size_t i = 0; i < settled.update.entries.size(); ++i)
        remember(settled.update.entries[i], settled.up_since_ms[i], last_list_at_);
    compares_ = compares_ || !settled.update.entries.empty();
}

void StartTimes::state(Listing& listing) const {
    listing.up_since_ms.clear();
    for (const slatejunction::ListEntry& entry : listing.update.entries) {
        const auto at = starts_.find(entry.server);
        listing.up_since_ms.push_back(at == starts_.end() ? 0 : at->second.up_since_ms);
    }
}

void StartTimes::remember(const slatejunction::ListEntry& entry, double up_since_ms, double now) {
    if (entry.state == slatejunction::ServerState::out) {
        if (const auto at = starts_.find(entry.server); at != starts_.end()) {
            at->second.listed = false;
            at->second.named_at = now;
        }
        return;
    }
    starts_[entry.server] = {up_since_ms, entry.born_s, now, true};
}

void StartTimes::unlist_unnamed(const Listing& listing, double now) {
    std::unordered_set<std::string_view> named;
    for (const auto& entry : listing.update.entries) named.insert(entry.server);
    for (auto& [id, start] : starts_)
        if (start.listed && !named.contains(id)) start.listed = false, start.named_at = now;
}

void StartTimes::forget_old(double now) {
    if (now < next_sweep_at_) return;
    next_sweep_at_ = now + kRemembered / 10;
    std::erase_if(starts_, [now](const auto& one) {
        return !one.second.listed && now - one.second.named_at > kRemembered;
    });
}

}   // namespace slatejunction::discovery
