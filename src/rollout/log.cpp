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

void Log::trim(std::size_t records, std::size_t bytes, std::uint64_t number) {
    while (!entries_.empty() && base_.number < number && (entries_.size() > records || bytes_ > bytes)) {
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
    for (const Entry& one : entries_) {
        if (one.version.number > number) break;
        apply(state, *one.record);
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
    Record made;
    made.key = refused.key;
    made.reverts = number;
    const auto with = [&](const std::string* value) {
        made.kind = value ? RecordKind::put : RecordKind::erase;
        made.value = value ? *value : std::string();
        return made;
    };
    for (auto at = entries_.rbegin(); at != entries_.rend(); ++at) {
        const Record& one = *at->record;
        if (one.key != refused.key || one.number == number || one.kind == RecordKind::no_op) continue;
        const std::string* value = one.kind == RecordKind::put ? &one.value : nullptr;
        if (one.reverts == 0 && reverted_by(one.number) == 0) return with(value);
        // This one reverts a record in the base, whose state still contains it: the value before that is
        // known from this revert only, and only if the refused record came after it.
        if (one.reverts != 0 && one.reverts <= base_.number) {
            if (number < one.number) return {};
            return with(value);
        }
    }
    const auto at = state_.find(refused.key);
    return with(at == state_.end() ? nullptr : &at->second);
}

std::uint64_t Log::highest_consistent(std::uint64_t number, std::uint64_t seen) const {
    // Stretches may overlap: the number before one may lie in another.
    for (bool again = true; again;) {
        again = false;
        for (auto at = reverts_.begin(); at != reverts_.end() && at->first <= number; ++at) {
            if (at->second <= number || at->second > seen) continue;
            number = at->first - 1;
            again = true;
            break;
        }
    }
    return number;
}

}   // namespace slatejunction::rollout
