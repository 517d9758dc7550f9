#include "rollout/snapshot.hpp"

#include <algorithm>

#include "storage/state_directory.hpp"

namespace slatejunction::rollout {
namespace {

void mix(std::uint64_t& check, std::string_view bytes) {
    const std::uint64_t size = bytes.size();
    check = storage::checksum(&size, sizeof size, check);
    check = storage::checksum(bytes.data(), bytes.size(), check);
}

}   // namespace

std::uint64_t snapshot_checksum(const Version& version, std::uint64_t term, const State& state) {
    const std::uint64_t head[] = {version.number, version.chain, term, state.size()};
    std::uint64_t check = storage::checksum(head, sizeof head);
    for (const auto& [key, value] : state) {
        mix(check, key);
        mix(check, value);
    }
    return check;
}

Snapshot::Snapshot(const Version& version, std::uint64_t term, const State& state)
    : version_(version), term_(term), checksum_(snapshot_checksum(version, term, state)), parts_(1) {
    std::size_t used = 0;
    for (const auto& [key, value] : state) {
        const std::size_t size = encoded_size(key, value);
        if (used + size > kEntriesBudgetBytes && !parts_.back().empty()) {
            parts_.emplace_back();
            used = 0;
        }
        parts_.back().emplace_back(key, value);
        used += size;
    }
}

SnapshotPart Snapshot::part(std::uint32_t index, const Staging& staging) const {
    return {version_, term_, checksum_, index, parts(), parts_[index], staging};
}

void SnapshotReceiver::receive(double now, const SnapshotPart& part) {
    if (part.parts == 0 || part.parts > kMaxParts || part.index >= part.parts) return;
    const bool same = active_ && part.version == version_;
    if (same && (part.checksum != checksum_ || part.parts != parts_.size() || part.term != term_)) return;
    if (!same) {
        const bool stale = now - last_part_at_ > 4 * kRetryIntervalS;
        if (active_ && part.version.number <= version_.number && !stale) return;
        reset();
        active_ = true;
        version_ = part.version;
        term_ = part.term;
        checksum_ = part.checksum;
        parts_.assign(part.parts, std::nullopt);
        missing_ = part.parts;
        next_request_at_ = now;
    }
    last_part_at_ = now;
    if (parts_[part.index]) return;
    parts_[part.index] = part.entries;
    if (--missing_ == 0) return finish();
    while (parts_[first_missing_]) ++first_missing_;
    if (first_missing_ >= requested_until_) next_request_at_ = now;
}

std::optional<SnapshotPartRequest> SnapshotReceiver::next_request(double now) {
    if (!active_ || now < next_request_at_) return {};
    const std::uint32_t count =
        std::min(kWindowParts, static_cast<std::uint32_t>(parts_.size()) - first_missing_);
    requested_until_ = first_missing_ + count;
    next_request_at_ = now + kRetryIntervalS;
    return SnapshotPartRequest{version_, first_missing_, count};
}

void SnapshotReceiver::finish() {
    Received whole{version_, term_, {}};
    std::size_t entries = 0;
    for (const auto& part : parts_) {
        for (const auto& [key, value] : *part) whole.state.emplace(key, value);
        entries += part->size();
    }
    const bool good =
        entries == whole.state.size() && snapshot_checksum(version_, term_, whole.state) == checksum_;
    reset();
    if (good)
        received_ = std::move(whole);
    else
        ++checksum_failures_;
}

void SnapshotReceiver::reset() {
    active_ = false;
    parts_.clear();
    missing_ = first_missing_ = requested_until_ = 0;
    next_request_at_ = 1e18;
}

}   // namespace slatejunction::rollout
