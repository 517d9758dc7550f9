#include "rollout/log.hpp"

namespace slatejunction::rollout {

Version Log::version(std::uint64_t number) const {
    return number == base_.number ? base_ : entry(number).version;
}

const Record& Log::record(std::uint64_t number) const { return *entry(number).record; }

bool Log::push(const Record& record) {
    const Version previous = last();
    if (record.number != previous.number + 1 || !valid(record) || record.term < last_term()) return false;
    entries_.push_back({std::make_shared<const Record>(record), next_version(previous, record)});
    if (record.reverts != 0) reverts_.emplace(record.reverts, record.number);
    bytes_ += size_of(record);
    return true;
}

void Log::truncate(std::uint64_t number) {
    while (last().number > number && !entries_.empty()) {
        const Record& record = *entries_.back().record;
        const auto at = reverts_.find(record.reverts);
        if (at != reverts_.end() && at->second == record.number) reverts_.erase(at);
        bytes_ -= size_of(record);
        entries_.pop_back();
    }
}

void Log::trim(std::size_t max_records, std::size_t max_bytes, std::uint64_t number) {
    while (!entries_.empty() && base_.number < number &&
           (entries_.size() > max_records || bytes_ > max_bytes)) {
        const Entry& oldest = entries_.front();
        apply(state_, *oldest.record);
        base_ = oldest.version;
        base_term_ = oldest.record->term;
        bytes_ -= size_of(*oldest.record);
        const auto at = reverts_.find(oldest.record->reverts);
        if (at != reverts_.end() && at->second == base_.number) reverts_.erase(at);
        entries_.pop_front();
    }
}

State Log::state_at(std::uint64_t number) const {
    State state = state_;
    for (const Entry& appended : entries_) {
        if (appended.version.number > number) break;
        apply(state, *appended.record);
    }
    return state;
}

std::uint64_t Log::reverted_by(std::uint64_t number) const {
    const auto at = reverts_.find(number);
    return at == reverts_.end() ? 0 : at->second;
}

std::optional<Record> Log::revert_of(std::uint64_t number) const {
    if (number <= base_.number || number > last().number || reverted_by(number) != 0) return {};
    const Record& refused = record(number);
    if (refused.kind == RecordKind::no_op || refused.reverts != 0) return {};
    Record revert;
    revert.key = refused.key;
    revert.reverts = number;
    const auto revert_to = [&](const std::string* value) {
        revert.kind = value ? RecordKind::put : RecordKind::erase;
        revert.value = value ? *value : std::string();
        return revert;
    };
    for (auto at = entries_.rbegin(); at != entries_.rend(); ++at) {
        const Record& other = *at->record;
        if (other.key != refused.key || other.number == number || other.kind == RecordKind::no_op) continue;
        const std::string* value = other.kind == RecordKind::put ? &other.value : nullptr;
        if (other.reverts == 0 && reverted_by(other.number) == 0) return revert_to(value);
        // `other` reverts a record that is part of the base, whose state still contains the reverted value.
        // The value before that is known from `other` alone, and applies only if the refused record came
        // after it.
        if (other.reverts != 0 && other.reverts <= base_.number) {
            if (number < other.number) return {};
            return revert_to(value);
        }
    }
    const auto at = state_.find(refused.key);
    return revert_to(at == state_.end() ? nullptr : &at->second);
}

std::uint64_t Log::highest_consistent(std::uint64_t number, std::uint64_t log_end) const {
    // Reverted ranges may overlap: the number before one range may lie in another.
    for (bool again = true; again;) {
        again = false;
        for (auto at = reverts_.begin(); at != reverts_.end() && at->first <= number; ++at) {
            if (at->second <= number || at->second > log_end) continue;
            number = at->first - 1;
            again = true;
            break;
        }
    }
    return number;
}

}   // namespace slatejunction::rollout
