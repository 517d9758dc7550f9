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

std::uint64_t check_of(const Version& version, std::uint64_t term, const State& state) {
    const std::uint64_t head[] = {version.number, version.chain, term, state.size()};
    std::uint64_t check = storage::checksum(head, sizeof head);
    for (const auto& [key, value] : state) {
        mix(check, key);
        mix(check, value);
    }
    return check;
}

Snapshot::Snapshot(const Version& version, std::uint64_t term, const State& state)
    : version_(version), term_(term), check_(check_of(version, term, state)), parts_(1) {
    std::size_t used = 0;
    for (const auto& [key, value] : state) {
        const std::size_t size = encoded_size(key, value);
        if (used + size > kEntriesRoom && !parts_.back().empty()) {
            parts_.emplace_back();
            used = 0;
        }
        parts_.back().emplace_back(key, value);
        used += size;
    }
}

SnapshotPart Snapshot::part(std::uint32_t index, const Staging& staging) const {
    return {version_, term_, check_, index, parts(), parts_[index], staging};
}

void SnapshotTaker::receive(double now, const SnapshotPart& part) {
    if (part.parts == 0 || part.parts > kPartsMost || part.index >= part.parts) return;
    const bool same = active_ && part.version == version_;
    if (same && (part.check != check_ || part.parts != parts_.size() || part.term != term_)) return;
    if (!same) {
        const bool stale = now - heard_at_ > 4 * kRetry;
        if (active_ && part.version.number <= version_.number && !stale) return;
        drop();
        active_ = true;
        version_ = part.version;
        term_ = part.term;
        check_ = part.check;
        parts_.assign(part.parts, std::nullopt);
        missing_ = part.parts;
        ask_at_ = now;
    }
    heard_at_ = now;
    if (parts_[part.index]) return;
    parts_[part.index] = part.entries;
    if (--missing_ == 0) return finish();
    while (parts_[first_missing_]) ++first_missing_;
    if (first_missing_ >= asked_to_) ask_at_ = now;
}

std::optional<PartPull> SnapshotTaker::ask(double now) {
    if (!active_ || now < ask_at_) return {};
    const std::uint32_t count =
        std::min(kWindow, static_cast<std::uint32_t>(parts_.size()) - first_missing_);
    asked_to_ = first_missing_ + count;
    ask_at_ = now + kRetry;
    return PartPull{version_, first_missing_, count};
}

void SnapshotTaker::finish() {
    Whole whole{version_, term_, {}};
    std::size_t entries = 0;
    for (const auto& part : parts_) {
        for (const auto& [key, value] : *part) whole.state.emplace(key, value);
        entries += part->size();
    }
    const bool good = entries == whole.state.size() && check_of(version_, term_, whole.state) == check_;
    drop();
    if (good)
        whole_ = std::move(whole);
    else
        ++broken_;
}

void SnapshotTaker::drop() {
    active_ = false;
    parts_.clear();
    missing_ = first_missing_ = asked_to_ = 0;
    ask_at_ = 1e18;
}

}   // namespace slatejunction::rollout
