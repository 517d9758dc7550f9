// Leader: handles reports of followers, selects canaries, clears numbers and reverts refused changes.
#include <algorithm>
#include <limits>

#include "rollout/leader.hpp"

namespace slatejunction::rollout {
namespace {

constexpr double kContactChecksPerRetry = 4;   // checks of the contact to a majority per retry interval

}   // namespace

void Leader::handle(double now, const std::string& from, const FollowerReport& message) {
    reports_[from] = {now, message.report};
    advance_staging(now);
}

Report Leader::fleet_report(double now) const {
    Report total;
    for (const auto& [name, timed] : reports_)
        if (now - timed.received_at <= settings_.report_timeout_s) add(total, timed.report);
    return total;
}

void Leader::revert_refused(double now, const Refusal& refusal) {
    if (refusal.number > commit_index_ || !refused_numbers_.insert(refusal.number).second) return;
    events_.push_back({LeaderEvent::Kind::refused, refusal.number, refusal.name, refusal.reason});
    if (log_.reverted_by(refusal.number) != 0) return;   // reverted by an earlier leader
    const auto revert = log_.revert_of(refusal.number);
    const bool appended = revert && append_record(now, *revert);
    events_.push_back(
        {appended ? LeaderEvent::Kind::reverted : LeaderEvent::Kind::irrevertible, refusal.number, {}, {}});
}

// Makes the reporting followers with the lowest name hashes the canaries, and records when each of them
// activated which number.
void Leader::update_canaries(double now, const Report& fleet) {
    const std::size_t count = std::min(settings_.canary_count, fleet.canaries.size());
    std::map<std::string, Canary> current;
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const FollowerStatus& status = fleet.canaries[i];
        Canary& canary = current[status.name];
        const auto known = canaries_.find(status.name);
        if (known != canaries_.end()) canary = std::move(known->second);
        if (canary.activations.empty() || status.active > canary.activations.back().second)
            canary.activations.emplace_back(now, status.active);
        // Of the activations older than canary_s only the latest matters.
        while (canary.activations.size() > 1 && canary.activations[1].first + settings_.canary_s <= now)
            canary.activations.pop_front();
        const std::uint64_t hash = hash_of(status.name);
        below = hash == std::numeric_limits<std::uint64_t>::max() ? hash : hash + 1;
    }
    canaries_ = std::move(current);
    staging_.canary_below = below;
}

// Returns the time, in s, at which a number may be cleared according to the canaries.
double Leader::clearance_time(double committed_at, std::uint64_t number) const {
    const double timeout_at = committed_at + settings_.canary_timeout_s;
    if (canaries_.empty()) return timeout_at;
    double clear_at = committed_at;
    for (const auto& [name, canary] : canaries_) {
        const auto activation = std::find_if(canary.activations.begin(), canary.activations.end(),
                                             [&](const auto& entry) { return entry.second >= number; });
        const double canary_clear_at =
            activation == canary.activations.end() ? timeout_at : activation->first + settings_.canary_s;
        clear_at = std::max(clear_at, canary_clear_at);
    }
    return std::min(clear_at, timeout_at + settings_.canary_s);
}

void Leader::advance_staging(double now) {
    if (phase_ != Phase::ready) return;
    const Report fleet = this->fleet_report(now);
    const Staging before = staging_;
    update_canaries(now, fleet);
    for (const Refusal& refusal : fleet.refusals) revert_refused(now, refusal);
    staging_deadline_ = kNever;
    std::uint64_t cleared = staging_.cleared;
    for (const auto& [committed_at, number] : uncleared_commits_) {
        // Clears nothing unless a majority has acknowledged an append since the commit.
        const bool in_contact = majority_contact_time() >= committed_at;
        const double clear_at =
            std::max(clearance_time(committed_at, number),
                     in_contact ? committed_at : now + settings_.retry_interval_s / kContactChecksPerRetry);
        if (clear_at > now) {
            staging_deadline_ = std::min(staging_deadline_, clear_at);
            continue;
        }
        cleared = std::max(cleared, log_.highest_consistent(number, log_.last().number));
    }
    if (cleared > staging_.cleared) {
        staging_.cleared = cleared;
        events_.push_back({LeaderEvent::Kind::cleared, cleared, {}, {}});
    }
    while (!uncleared_commits_.empty() && uncleared_commits_.front().second <= staging_.cleared)
        uncleared_commits_.pop_front();
    if (staging_ != before) replicate_all(now);
}

// Returns the latest time, in s, since which a majority of replicas has acknowledged an append.
double Leader::majority_contact_time() const {
    std::vector<double> times;
    for (const auto& [name, replica] : replicas_) times.push_back(replica.last_ack_at);
    std::sort(times.rbegin(), times.rend());
    return times[quorum_size() - 1];
}

}   // namespace slatejunction::rollout
