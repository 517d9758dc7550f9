// What happened in a run of a rollout, and its checker, which reads that alone. It computes each version's
// state on its own, by what a revert means and not by what it carries.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rollout/record.hpp"

namespace rollout_world {

using namespace slatejunction::rollout;

struct Fact {
    enum class What {
        // of a control machine's disk
        disk_new,     // nothing is on it any more
        kept,         // `record` is durable, after all before it
        kept_whole,   // what is durable is the state at `number` and what is kept after it
        // of sources and replicas
        proposed,    // `record` was taken, by its number
        committed,   // `record`, as a source said
        known,       // `record` is committed, as a replica said
        cleared,     // `number`
        // of followers
        begun,      // a process, with `number` and `state` in force
        home_new,   // its disk was lost
        durable,    // `number` is at home
        in_force    // `number` with `state`
    };
    What what = What::begun;
    double time = 0;
    std::string node;
    std::uint64_t number = 0;
    Record record;
    State state;
    bool usable = true;   // by the node, as it judges states
};

class Checker {
  public:
    explicit Checker(std::size_t replicas) : majority_(replicas / 2 + 1) {}

    // The first breach; empty: none.
    std::string judge(const std::vector<Fact>& history) {
        for (const Fact& fact : history) {
            std::string breach = take(fact);
            if (!breach.empty()) {
                char at[32];
                std::snprintf(at, sizeof at, "%.3f s: ", fact.time);
                return at + fact.node + ": " + breach;
            }
        }
        return {};
    }

    const std::map<std::uint64_t, Record>& committed() const { return committed_; }
    std::uint64_t last() const { return committed_.empty() ? 0 : committed_.rbegin()->first; }
    // By follower: what is in force at the end.
    const std::map<std::string, std::uint64_t>& in_force() const { return in_force_; }

    // As if those that are reverted up to there had never been.
    State state_at(std::uint64_t number) const {
        std::set<std::uint64_t> gone;
        for (const auto& [at, record] : committed_)
            if (at <= number && record.reverts != 0) gone.insert(record.reverts);
        State state;
        for (const auto& [at, record] : committed_) {
            if (at > number || record.reverts != 0 || gone.contains(at)) continue;
            if (record.kind == RecordKind::put) state[record.key] = record.value;
            if (record.kind == RecordKind::erase) state.erase(record.key);
        }
        return state;
    }

    // The worst part of `bound_s` that any committed change took from its proposal to any of `followers`.
    // Those proposed after `last_s` are left out. Above 1: late, or never.
    double worst(const std::vector<Fact>& history, std::size_t followers, double bound_s, double last_s,
                 std::string& which) const {
        double worst = 0;
        std::map<std::string, std::vector<std::pair<std::uint64_t, double>>> when;
        for (const Fact& fact : history)
            if (fact.what == Fact::What::in_force) when[fact.node].emplace_back(fact.number, fact.time);
        for (const Fact& fact : history) {
            if (fact.what != Fact::What::proposed || fact.time > last_s) continue;
            const auto at = committed_.find(fact.record.number);
            if (at == committed_.end() || at->second != fact.record) continue;
            std::size_t reached = 0;
            for (const auto& [node, all] : when) {
                const auto first = std::find_if(all.begin(), all.end(), [&](const auto& one) {
                    return one.first >= fact.record.number;
                });
                if (first == all.end()) continue;
                ++reached;
                if ((first->second - fact.time) / bound_s <= worst) continue;
                worst = (first->second - fact.time) / bound_s;
                which = "number " + std::to_string(fact.record.number) + " at " + node;
            }
            if (reached < followers) {
                which = "number " + std::to_string(fact.record.number) + " never came everywhere";
                return 1e9;
            }
        }
        return worst;
    }

  private:
    using What = Fact::What;

    std::string take(const Fact& fact) {
        switch (fact.what) {
            case What::disk_new:
                return {};
            case What::kept:
                return holders_[fact.record.number].push_back({fact.record, fact.node}), "";
            case What::kept_whole:
                return wholes_[fact.node] = std::max(wholes_[fact.node], fact.number), "";
            case What::proposed:
                return {};
            case What::committed:
                return commit(fact);
            case What::known:
                return agree(fact.record);
            case What::cleared:
                return fact.number <= last() ? "" : "cleared what is not committed: " + name(fact.number);
            case What::begun:
                return begin(fact);
            case What::home_new:
                return durable_[fact.node] = in_force_[fact.node] = 0, "";
            case What::durable:
                return durable_[fact.node] = fact.number, "";
            case What::in_force:
                return enter(fact);
        }
        return {};
    }

    static std::string name(std::uint64_t number) { return "number " + std::to_string(number); }

    std::string agree(const Record& record) {
        const auto at = committed_.find(record.number);
        if (at == committed_.end()) return name(record.number) + " is said to be committed, and is not";
        return at->second == record ? "" : name(record.number) + " is committed in two forms";
    }

    std::string commit(const Fact& fact) {
        const std::uint64_t number = fact.record.number;
        const auto [at, made] = committed_.emplace(number, fact.record);
        if (at->second != fact.record) return name(number) + " is committed in two forms";
        if (!made) return {};
        if (number > 1 && !committed_.contains(number - 1)) return name(number) + " leaves a hole";
        std::set<std::string> who;
        for (const auto& [record, node] : holders_[number])
            if (record == fact.record) who.insert(node);
        for (const auto& [node, whole] : wholes_)
            if (whole >= number) who.insert(node);
        if (who.size() < majority_) return name(number) + " is committed without a majority";
        if (fact.record.reverts == 0) return {};
        const auto reverted = committed_.find(fact.record.reverts);
        if (reverted == committed_.end() || reverted->second.reverts != 0)
            return name(number) + " reverts what can't be";
        return reverts_.insert(fact.record.reverts).second
                   ? ""
                   : name(fact.record.reverts) + " is reverted twice";
    }

    std::string begin(const Fact& fact) {
        if (fact.number != in_force_[fact.node])
            return "began with " + name(fact.number) + " after " + name(in_force_[fact.node]);
        return fact.state == state_at(fact.number) ? "" : "began with another state";
    }

    std::string enter(const Fact& fact) {
        std::uint64_t& now = in_force_[fact.node];
        if (fact.number <= now) return "went from " + name(now) + " to " + name(fact.number);
        if (!committed_.contains(fact.number)) return name(fact.number) + " in force, not committed";
        if (durable_[fact.node] < fact.number) return name(fact.number) + " in force, not durable";
        if (fact.state != state_at(fact.number)) return name(fact.number) + " in force with another state";
        if (!fact.usable) return name(fact.number) + " in force, can't be used";
        now = fact.number;
        return {};
    }

    const std::size_t majority_;
    std::map<std::uint64_t, std::vector<std::pair<Record, std::string>>> holders_;
    std::map<std::string, std::uint64_t> wholes_;
    std::map<std::uint64_t, Record> committed_;
    std::set<std::uint64_t> reverts_;
    std::map<std::string, std::uint64_t> in_force_, durable_;
};

}   // namespace rollout_world
