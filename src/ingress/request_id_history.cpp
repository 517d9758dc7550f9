#include "ingress/request_id_history.hpp"

#include <xxhash.h>

#include <algorithm>

namespace slatejunction::ingress {

std::uint64_t hash_request_id(std::string_view id) { return XXH3_64bits(id.data(), id.size()); }

RequestIdHistory::RequestIdHistory(double retention_s, std::size_t max_ids)
    : retention_s_(std::max(retention_s, kMinRetentionS)), max_ids_(max_ids) {}

void RequestIdHistory::add(std::uint64_t id_hash, double now) {
    while (!by_age_.empty() &&
           (by_age_.size() >= max_ids_ || now - by_age_.front().added_at_s > retention_s_))
        forget_oldest();
    added_at_s_[id_hash] = now;
    by_age_.push_back({id_hash, now});
}

// An id that was added again later has a later entry.
void RequestIdHistory::forget_oldest() {
    const Entry oldest = by_age_.front();
    by_age_.pop_front();
    const auto at = added_at_s_.find(oldest.id_hash);
    if (at != added_at_s_.end() && at->second <= oldest.added_at_s) added_at_s_.erase(at);
}

bool RequestIdHistory::contains(std::uint64_t id_hash, double now) const {
    const auto at = added_at_s_.find(id_hash);
    return at != added_at_s_.end() && now - at->second <= retention_s_;
}

std::vector<std::uint64_t> RequestIdHistory::all() const {
    std::vector<std::uint64_t> hashes;
    hashes.reserve(added_at_s_.size());
    for (const auto& [id_hash, added_at_s] : added_at_s_) hashes.push_back(id_hash);
    return hashes;
}

}   // namespace slatejunction::ingress
