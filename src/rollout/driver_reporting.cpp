// Driver: writes log lines and records of the event log. Readers of the event log match the names in its
// records.
#include <algorithm>
#include <cstdio>
#include <utility>

#include "rollout/driver.hpp"

namespace slatejunction::rollout {
namespace {

constexpr double kVersionLogIntervalS = 60;          // minimum time between log lines about active versions
constexpr std::uint64_t kMaxCommittedLogged = 256;   // committed records written to the event log at once
constexpr const char* kLeaderEventNames[] = {"ready",    "committed",    "cleared", "refused",
                                             "reverted", "irrevertible", "fenced",  "majority_lost",
                                             "admitted", "diverged"};

std::string hexadecimal(std::uint64_t number) {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

unsigned long long as_ull(std::uint64_t number) { return number; }

}   // namespace

std::string state_digest(const State& state) { return hexadecimal(snapshot_checksum({}, 0, state)); }

void Driver::log_replica_start() {
    if (!replica_->storage_intact())
        log_.write(Logger::Level::warning, net::now(),
                   "rollout: the stored log is missing or incomplete; this control machine counts in no "
                   "majority until it has caught up");
    last_committed_logged_ = replica_->commit_index();
    const std::pair<std::string_view, std::string> fields[] = {
        {"number", std::to_string(last_committed_logged_)},
        {"chain", hexadecimal(replica_->log().version(last_committed_logged_).chain)},
        {"remembers", replica_->storage_intact() ? "yes" : "no"}};
    log_.event("replica_begins", fields);
}

// Limits the rate of log lines, as there can be tens of thousands of versions a day.
void Driver::log_active_version(const Version& version) {
    ++versions_since_logged_;
    const double now = net::now();
    if (now - version_logged_at_ < kVersionLogIntervalS) return;
    version_logged_at_ = now;
    log_.write(Logger::Level::info, now,
               "rollout: version %llu is active; %llu versions since the last such line",
               as_ull(version.number), as_ull(std::exchange(versions_since_logged_, 0)));
}

// Logs a refused change once, and a divergence when it is first seen.
void Driver::log_follower_faults() {
    const std::uint64_t refused = follower_->refused();
    if (refused != std::exchange(logged_refusal_, refused) && refused != 0) {
        log_.write(Logger::Level::warning, net::now(), "rollout: change %llu is refused here: %s",
                   as_ull(refused), follower_->reason().c_str());
        const std::pair<std::string_view, std::string> fields[] = {{"number", std::to_string(refused)},
                                                                   {"reason", follower_->reason()}};
        log_.event("refuses", fields);
    }
    const bool diverged = follower_->fault() == FollowerFault::diverged;
    if (diverged && !std::exchange(divergence_logged_, true))
        log_.write(Logger::Level::error, net::now(),
                   "rollout: the active version %llu has diverged from the log of parent %s",
                   as_ull(follower_->active_version().number), follower_->parent().c_str());
    divergence_logged_ = diverged;
}

void Driver::on_leader_event(const LeaderEvent& event) {
    using Kind = LeaderEvent::Kind;
    ++event_counts_[static_cast<std::size_t>(event.kind)];
    const char* const event_name = kLeaderEventNames[static_cast<std::size_t>(event.kind)];
    const std::pair<std::string_view, std::string> fields[] = {{"number", std::to_string(event.number)},
                                                               {"term", std::to_string(leader_->term())},
                                                               {"name", event.name},
                                                               {"reason", event.reason}};
    log_.event(std::string("source_") + event_name, fields);
    const double now = net::now();
    const auto number = as_ull(event.number);
    switch (event.kind) {
        case Kind::ready:
            log_.write(Logger::Level::info, now,
                       "rollout: this process is the leader, changes up to %llu are committed", number);
            break;
        case Kind::refused:
            log_.write(Logger::Level::warning, now, "rollout: %s refuses change %llu: %s",
                       event.name.c_str(), number, event.reason.c_str());
            break;
        case Kind::reverted:
            log_.write(Logger::Level::warning, now, "rollout: change %llu is reverted", number);
            break;
        case Kind::irrevertible:
            log_.write(
                Logger::Level::error, now,
                "rollout: change %llu is refused and cannot be reverted; propose a change that corrects it",
                number);
            break;
        case Kind::fenced:
            log_.write(Logger::Level::warning, now, "rollout: this leader is fenced and has stopped");
            break;
        case Kind::majority_lost:
            log_.write(
                Logger::Level::error, now,
                "rollout: fewer than a majority of the control machines had intact storage; committed "
                "changes may be missing (none are on the first start)");
            break;
        case Kind::learner_admitted:
            log_.write(Logger::Level::info, now, "rollout: %s has caught up and counts in majorities again",
                       event.name.c_str());
            break;
        case Kind::committed:
        case Kind::cleared:
            break;
        default:
            log_.write(Logger::Level::error, now, "rollout: %s: %s", event_name, event.name.c_str());
    }
}

void Driver::log_committed() {
    const std::uint64_t committed = replica_->commit_index();
    const Log& log = replica_->log();
    std::uint64_t from = std::max(last_committed_logged_, log.base().number);
    if (committed - from > kMaxCommittedLogged) from = committed - kMaxCommittedLogged;
    while (from < committed) {
        const Record& record = log.record(++from);
        const std::pair<std::string_view, std::string> fields[] = {
            {"number", std::to_string(record.number)},
            {"term", std::to_string(record.term)},
            {"chain", hexadecimal(log.version(record.number).chain)},
            {"kind", std::to_string(static_cast<unsigned>(record.kind))},
            {"key", record.key},
            {"value", record.value},
            {"reverts", std::to_string(record.reverts)}};
        log_.event("committed", fields);
    }
    last_committed_logged_ = std::max(last_committed_logged_, committed);
}

void Driver::record_active_state(const char* event, const Version& version, const State& state) {
    const std::pair<std::string_view, std::string> fields[] = {{"number", std::to_string(version.number)},
                                                               {"chain", hexadecimal(version.chain)},
                                                               {"state", state_digest(state)}};
    log_.event(event, fields);
}

const std::string& Driver::disk_error() const {
    return storage_->follower_ ? storage_->follower_->file().last_error()
                               : storage_->replica_->last_error();
}

// Logs when writes to the state directory begin to fail, and when they succeed again.
void Driver::log_disk_fault() {
    const bool failed = follower_ ? follower_->fault() == FollowerFault::disk : replica_->disk_failed();
    if (failed == std::exchange(disk_fault_logged_, failed)) return;
    if (failed)
        log_.write(Logger::Level::error, net::now(),
                   "rollout: cannot write to the state directory, this process accepts no changes: %s",
                   disk_error().c_str());
    else
        log_.write(Logger::Level::info, net::now(), "rollout: the state directory can be written again");
    log_.event(failed ? "disk_failed" : "disk_written", {});
}

}   // namespace slatejunction::rollout
