#include "rollout/snapshot.hpp"

#include <algorithm>

#include "storage/state_directory.hpp"

namespace slatejunction::rollout {
namespace {

constexpr double kStaleRetryIntervals = 4;   // without a part, until a transfer is stale

void add_to_checksum(std::uint64_t& checksum, std::string_view bytes) {
    const std::uint64_t size = bytes.size();
    checksum = storage::checksum(&size, sizeof size, checksum);
    checksum = storage::checksum(bytes.data(), bytes.size(), checksum);
}

}   // namespace

std::uint64_t snapshot_checksum(const Version& version, std::uint64_t term, const State& state) {
    const std::uint64_t head[] = {version.number, version.chain, term, state.size()};
    std::uint64_t checksum = storage::checksum(head, sizeof head);
    for (const auto& [key, value] : state) {
        add_to_checksum(checksum, key);
        add_to_checksum(checksum, value);
    }
    return checksum;
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
        const bool stale = now - last_part_at_ > kStaleRetryIntervals * kRetryIntervalS;
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
    Received received{version_, term_, {}};
    std::size_t entries = 0;
    for (const auto& part : parts_) {
        for (const auto& [key, value] : *part) received.state.emplace(key, value);
        entries += part->size();
    }
    const bool valid =
        entries == received.state.size() && snapshot_checksum(version_, term_, received.state) == checksum_;
    reset();
    if (valid)
        received_ = std::move(received);
    else
        ++checksum_failures_;
}

void SnapshotReceiver::reset() {
    active_ = false;
    parts_.clear();
    missing_ = 0;
    first_missing_ = 0;
    requested_until_ = 0;
    next_request_at_ = kNever;
}

}   // namespace slatejunction::rollout
