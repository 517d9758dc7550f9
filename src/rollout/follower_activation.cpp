// Follower: selects, validates and activates versions, refuses faulty changes, and installs snapshots.
#include <algorithm>
#include <set>

#include "rollout/follower.hpp"

namespace slatejunction::rollout {
namespace {

constexpr double kRefusedSnapshotRetryS = 30;   // until snapshot parts are accepted again after a refusal

}   // namespace

// Returns the number of the next version to activate, or that of the active version if there is none.
std::uint64_t Follower::next_target() {
    const std::uint64_t log_end = log_.last().number;
    if (target_number_ <= active_version_.number) target_number_ = activation_limit_;
    std::uint64_t top = log_end;
    if (log_end >= activation_limit_)
        top = std::max(activation_limit_, active_version_.number);
    else if (log_end >= target_number_)
        top = target_number_;
    else if (log_end - active_version_.number < settings_.max_pending_records / 2)
        return active_version_.number;
    return std::max(active_version_.number, log_.highest_consistent(top, log_end));
}

void Follower::try_activate(double now) {
    activation_at_ = kNever;
    const std::uint64_t top = next_target();
    if (top <= active_version_.number) return;
    // A version was refused and no record has arrived since.
    if (refused_number_ != 0 && refused_at_log_end_ == log_.last().number) return;
    const double wait = disk_failed_ ? settings_.disk_retry_s : settings_.activation_interval_s;
    if (now < last_activation_at_ + wait) {
        activation_at_ = last_activation_at_ + wait;
        return;
    }
    last_activation_at_ = now;
    activate_highest_valid(now, top);
}

// Activates version `top` if it is valid. Otherwise activates the last valid version below it, found by
// binary search over the consistent versions, and refuses the change that makes the next version invalid.
void Follower::activate_highest_valid(double now, std::uint64_t top) {
    std::string error;
    const std::uint64_t log_end = log_.last().number;
    const ActivationResult result = activate(now, top, error);
    if (result == ActivationResult::disk_failed) activation_at_ = now + settings_.disk_retry_s;
    if (result != ActivationResult::refused) return;
    const bool already_refused = refused_version_ > active_version_.number &&
                                 log_.highest_consistent(refused_version_, log_end) == refused_version_;
    refused_at_log_end_ = log_end;
    if (already_refused) return;
    const std::vector<std::uint64_t> candidates = consistent_versions(top);
    // Versions before candidates[first_unknown] are valid; candidates[first_invalid] is invalid.
    std::size_t first_unknown = 0, first_invalid = candidates.size() - 1;
    std::uint64_t last_valid = 0;
    while (first_unknown < first_invalid) {
        const std::size_t middle = (first_unknown + first_invalid) / 2;
        Changes changes = changes_up_to(candidates[middle]);
        const std::string middle_error = apply_and_validate(changes);
        apply_with_undo(state_, changes);
        if (middle_error.empty()) {
            last_valid = candidates[middle];
            first_unknown = middle + 1;
        } else {
            error = middle_error;
            first_invalid = middle;
        }
    }
    std::string unused;
    if (last_valid != 0 && activate(now, last_valid, unused) == ActivationResult::disk_failed) {
        activation_at_ = now + settings_.disk_retry_s;
        return;
    }
    refused_version_ = candidates[first_invalid];
    refused_number_ = find_faulty_change(refused_version_, error);
    refused_at_log_end_ = log_end;
    activation_at_ = kNever;
    refusal_reason_ = error;
    ++counts_.refusals;
    schedule_pull(now);
}

// Returns the consistent versions after the active one up to `top`.
std::vector<std::uint64_t> Follower::consistent_versions(std::uint64_t top) const {
    const std::uint64_t log_end = log_.last().number;
    std::vector<std::uint64_t> numbers;
    for (std::uint64_t number = active_version_.number + 1; number <= top; ++number)
        if (log_.highest_consistent(number, log_end) == number) numbers.push_back(number);
    return numbers;
}

// Returns the change that makes version `number` invalid, which is the first consistent version after the
// active one. If that version ends a reverted range, it contains every change of the range that is still in
// effect; one of those is returned in preference to the revert, because a revert cannot be reverted.
std::uint64_t Follower::find_faulty_change(std::uint64_t number, std::string& error) {
    if (log_.record(number).reverts == 0) return number;
    std::map<std::string, std::uint64_t> latest;   // by key: the last change in effect
    for (std::uint64_t at = active_version_.number + 1; at < number; ++at) {
        const Record& record = log_.record(at);
        const std::uint64_t by = log_.reverted_by(at);
        const bool in_effect =
            record.kind != RecordKind::no_op && record.reverts == 0 && (by == 0 || by > number);
        if (in_effect) latest[record.key] = at;
    }
    std::set<std::uint64_t> suspects;
    for (const auto& [key, at] : latest) suspects.insert(at);
    Changes candidate;
    for (const std::uint64_t at : suspects) {
        const Record& record = log_.record(at);
        candidate[record.key] = record.kind == RecordKind::put ? std::optional(record.value) : std::nullopt;
        Changes changes = candidate;
        const std::string candidate_error = apply_and_validate(changes);
        apply_with_undo(state_, changes);
        if (candidate_error.empty()) continue;
        error = candidate_error;
        return at;
    }
    return number;
}

Changes Follower::changes_up_to(std::uint64_t number) const {
    Changes changes;
    for (std::uint64_t at = active_version_.number + 1; at <= number; ++at) {
        const Record& record = log_.record(at);
        if (record.kind == RecordKind::put) changes[record.key] = record.value;
        if (record.kind == RecordKind::erase) changes[record.key].reset();
    }
    std::erase_if(changes, [&](const auto& change) {
        const auto old = state_.find(change.first);
        return old == state_.end() ? !change.second : change.second && *change.second == old->second;
    });
    return changes;
}

// Applies the changes to the state and replaces them with the changes that undo them. Returns an empty text
// if the new state is valid, else the error.
std::string Follower::apply_and_validate(Changes& changes) {
    ++counts_.validations;
    const Changes applied = changes;
    apply_with_undo(state_, changes);
    return applied.empty() ? std::string() : validator_(state_, applied);
}

Follower::ActivationResult Follower::activate(double now, std::uint64_t number, std::string& error) {
    Changes changes = changes_up_to(number);
    Changes undo = changes;
    error = apply_and_validate(undo);
    if (!error.empty()) {
        apply_with_undo(state_, undo);
        return ActivationResult::refused;
    }
    std::vector<Record> records;
    for (std::uint64_t at = active_version_.number + 1; at <= number; ++at)
        records.push_back(log_.record(at));
    disk_failed_ = !storage_.append(records);
    if (disk_failed_) {
        ++counts_.disk_failures;
        apply_with_undo(state_, undo);
        schedule_pull(now);
        return ActivationResult::disk_failed;
    }
    records_since_compaction_ += records.size();
    finish_activation(now, log_.version(number), std::move(changes));
    return ActivationResult::activated;
}

void Follower::finish_activation(double now, const Version& version, Changes changes) {
    active_version_ = version;
    ++counts_.versions;
    activations_.push_back({version, std::move(changes)});
    log_.trim(settings_.max_log_records, settings_.max_log_bytes, version.number);
    refused_number_ = 0;
    refused_version_ = 0;
    refused_at_log_end_ = 0;
    snapshot_refused_ = false;
    if (records_since_compaction_ >= settings_.compact_after_records) compact();
    // The leader waits for canaries to report that they have activated the version.
    if (staging_.canary(settings_.name)) schedule_pull(now);
    if (next_target() > active_version_.number) activation_at_ = now + settings_.activation_interval_s;
}

void Follower::compact() {
    // A failure leaves the stored log unchanged; the next compaction tries again.
    records_since_compaction_ = 0;
    Log active = log_;
    active.truncate(active_version_.number);
    storage_.replace(active);
}

void Follower::install_snapshot(double now) {
    counts_.broken_snapshots = snapshot_receiver_.checksum_failures();
    auto snapshot = snapshot_receiver_.take_snapshot();
    if (!snapshot || snapshot->version.number <= log_.last().number) return;
    Changes changes;
    for (const auto& [key, value] : state_)
        if (!snapshot->state.contains(key)) changes[key].reset();
    for (const auto& [key, value] : snapshot->state) {
        const auto old = state_.find(key);
        if (old == state_.end() || old->second != value) changes[key] = value;
    }
    Changes undo = changes;
    const std::string error = apply_and_validate(undo);
    Log log(snapshot->version, snapshot->term, std::move(snapshot->state));
    if (!error.empty()) {
        apply_with_undo(state_, undo);
        snapshot_refused_ = true;
        refusal_reason_ = error;
        ++counts_.snapshots_refused;
        snapshot_not_before_ = now + kRefusedSnapshotRetryS;
        schedule_pull(now);
        return;
    }
    disk_failed_ = !storage_.replace(log);
    if (disk_failed_) {
        ++counts_.disk_failures;
        apply_with_undo(state_, undo);
        snapshot_not_before_ = now + settings_.disk_retry_s;
        schedule_pull(now);
        return;
    }
    ++counts_.snapshots;
    log_ = std::move(log);
    early_announcements_.clear();
    records_since_compaction_ = 0;
    activation_limit_ = std::max(activation_limit_, log_.last().number);
    finish_activation(now, log_.last(), std::move(changes));
    schedule_pull(now);
}

void Follower::revalidate(double now) {
    refused_at_log_end_ = 0;
    snapshot_not_before_ = -kNever;
    try_activate(now);
}

}   // namespace slatejunction::rollout
