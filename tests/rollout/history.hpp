// The history of a simulated rollout, and a checker that verifies the safety properties of the rollout from
// the history alone. The checker computes the state of each version independently of the cores: it leaves
// out reverted records instead of applying the values that reverts carry.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rollout/record.hpp"

namespace rollout_simulation {

using namespace slatejunction::rollout;

/// One event of a simulated run. The comments of Type name the fields that are set besides `time` and
/// `node`.
struct HistoryEvent {
    enum class Type {
        // On the disk of a control machine.
        replica_disk_lost,
        record_stored,   // `record` is durable, after all records before it
        log_replaced,    // the state at `number` is durable, with the records stored after it
        // Reported by leaders and replicas.
        proposed,         // a leader accepted `record`
        committed,        // a leader committed `record`
        commit_learned,   // a replica learned that `record` is committed
        cleared,          // a leader cleared `number`
        // On followers.
        follower_started,   // a process started with `number` and `state` active
        follower_disk_lost,
        version_stored,   // `number` is durable
        activated         // `number` became active with `state`
    };
    Type type = Type::follower_started;
    double time = 0;   // s
    std::string node;
    std::uint64_t number = 0;
    Record record;
    State state;
    bool valid = true;   // whether the node's validator accepts `state`
};

/// Checks the history of one run.
class Checker {
  public:
    explicit Checker(std::size_t replicas) : majority_(replicas / 2 + 1) {}

    /// Returns a description of the first violation, or an empty text.
    std::string check(const std::vector<HistoryEvent>& history) {
        for (const HistoryEvent& event : history) {
            std::string violation = check_event(event);
            if (!violation.empty()) {
                char time[32];
                std::snprintf(time, sizeof time, "%.3f s: ", event.time);
                return time + event.node + ": " + violation;
            }
        }
        return {};
    }

    const std::map<std::uint64_t, Record>& committed() const { return committed_; }
    std::uint64_t last() const { return committed_.empty() ? 0 : committed_.rbegin()->first; }
    /// The active number of each follower at the end.
    const std::map<std::string, std::uint64_t>& active_numbers() const { return active_numbers_; }

    /// The state at a number, as if the records that are reverted up to there had never been committed.
    State state_at(std::uint64_t number) const {
        std::set<std::uint64_t> reverted;
        for (const auto& [at, record] : committed_)
            if (at <= number && record.reverts != 0) reverted.insert(record.reverts);
        State state;
        for (const auto& [at, record] : committed_) {
            if (at > number || record.reverts != 0 || reverted.contains(at)) continue;
            if (record.kind == RecordKind::put) state[record.key] = record.value;
            if (record.kind == RecordKind::erase) state.erase(record.key);
        }
        return state;
    }

    /// Returns the longest time from the proposal of a committed change until it was active at one of
    /// `followers` followers, as a fraction of `bound_s`: above 1 if the bound was exceeded, and very large
    /// if the change never became active somewhere. Ignores changes proposed after `last_s`. Sets `change`
    /// to a description of that change.
    double worst_bound_fraction(const std::vector<HistoryEvent>& history, std::size_t followers,
                                double bound_s, double last_s, std::string& change) const {
        double worst = 0;
        std::map<std::string, std::vector<std::pair<std::uint64_t, double>>> activations;
        for (const HistoryEvent& event : history)
            if (event.type == HistoryEvent::Type::activated)
                activations[event.node].emplace_back(event.number, event.time);
        for (const HistoryEvent& event : history) {
            if (event.type != HistoryEvent::Type::proposed || event.time > last_s) continue;
            const auto committed = committed_.find(event.record.number);
            if (committed == committed_.end() || committed->second != event.record) continue;
            std::size_t reached = 0;
            for (const auto& [node, numbers] : activations) {
                const auto activation =
                    std::find_if(numbers.begin(), numbers.end(),
                                 [&](const auto& entry) { return entry.first >= event.record.number; });
                if (activation == numbers.end()) continue;
                ++reached;
                if ((activation->second - event.time) / bound_s <= worst) continue;
                worst = (activation->second - event.time) / bound_s;
                change = "number " + std::to_string(event.record.number) + " at " + node;
            }
            if (reached < followers) {
                change =
                    "number " + std::to_string(event.record.number) + " never became active everywhere";
                return 1e9;
            }
        }
        return worst;
    }

  private:
    using Type = HistoryEvent::Type;

    std::string check_event(const HistoryEvent& event) {
        switch (event.type) {
            case Type::replica_disk_lost:
                return {};
            case Type::record_stored:
                return stored_by_[event.record.number].push_back({event.record, event.node}), "";
            case Type::log_replaced:
                return snapshot_numbers_[event.node] =
                           std::max(snapshot_numbers_[event.node], event.number),
                       "";
            case Type::proposed:
                return {};
            case Type::committed:
                return check_commit(event);
            case Type::commit_learned:
                return check_learned_commit(event.record);
            case Type::cleared:
                return event.number <= last() ? "" : name(event.number) + " is cleared but not committed";
            case Type::follower_started:
                return check_start(event);
            case Type::follower_disk_lost:
                return stored_numbers_[event.node] = active_numbers_[event.node] = 0, "";
            case Type::version_stored:
                return stored_numbers_[event.node] = event.number, "";
            case Type::activated:
                return check_activation(event);
        }
        return {};
    }

    static std::string name(std::uint64_t number) { return "number " + std::to_string(number); }

    std::string check_learned_commit(const Record& record) {
        const auto at = committed_.find(record.number);
        if (at == committed_.end())
            return name(record.number) + " is committed on a replica, but no leader committed it";
        return at->second == record ? "" : name(record.number) + " is committed with two different records";
    }

    std::string check_commit(const HistoryEvent& event) {
        const std::uint64_t number = event.record.number;
        const auto [at, added] = committed_.emplace(number, event.record);
        if (at->second != event.record) return name(number) + " is committed with two different records";
        if (!added) return {};
        if (number > 1 && !committed_.contains(number - 1))
            return name(number) + " is committed before its predecessor";
        std::set<std::string> replicas;
        for (const auto& [record, node] : stored_by_[number])
            if (record == event.record) replicas.insert(node);
        for (const auto& [node, snapshot_number] : snapshot_numbers_)
            if (snapshot_number >= number) replicas.insert(node);
        if (replicas.size() < majority_) return name(number) + " is committed without a majority";
        if (event.record.reverts == 0) return {};
        const auto reverted = committed_.find(event.record.reverts);
        if (reverted == committed_.end() || reverted->second.reverts != 0)
            return name(number) + " reverts a record that cannot be reverted";
        return reverted_numbers_.insert(event.record.reverts).second
                   ? ""
                   : name(event.record.reverts) + " is reverted twice";
    }

    std::string check_start(const HistoryEvent& event) {
        if (event.number != active_numbers_[event.node])
            return "started with " + name(event.number) + " active after " +
                   name(active_numbers_[event.node]) + " was active";
        return event.state == state_at(event.number) ? "" : "started with a wrong state";
    }

    std::string check_activation(const HistoryEvent& event) {
        std::uint64_t& active = active_numbers_[event.node];
        if (event.number <= active)
            return "the active version went from " + name(active) + " to " + name(event.number);
        if (!committed_.contains(event.number)) return name(event.number) + " is active but not committed";
        if (stored_numbers_[event.node] < event.number)
            return name(event.number) + " is active but not durable";
        if (event.state != state_at(event.number))
            return name(event.number) + " is active with a wrong state";
        if (!event.valid) return name(event.number) + " is active but invalid";
        active = event.number;
        return {};
    }

    const std::size_t majority_;
    // By number: the stored records and the replicas that stored them.
    std::map<std::uint64_t, std::vector<std::pair<Record, std::string>>> stored_by_;
    std::map<std::string, std::uint64_t> snapshot_numbers_;   // by replica: the highest stored snapshot
    std::map<std::uint64_t, Record> committed_;
    std::set<std::uint64_t> reverted_numbers_;
    std::map<std::string, std::uint64_t> active_numbers_, stored_numbers_;   // by follower
};

}   // namespace rollout_simulation
