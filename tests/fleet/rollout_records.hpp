// What processes of a rollout wrote, and what may be said of it. Reads records alone.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/records.hpp"
#include "rollout/driver.hpp"

namespace records {

// A change as some control machine told that it is committed.
struct Committed {
    std::int64_t at_ns = 0;   // when it was told first
    std::string chain, kind, key, value, reverts;
};

struct RolloutVerdict {
    std::vector<std::string> breaches;
    std::map<std::uint64_t, Committed> committed;
    std::map<std::string, std::vector<std::pair<std::int64_t, std::uint64_t>>> in_force;   // by who
    std::size_t versions = 0, restarts = 0;
};

//  1. No two processes tell different changes of one number as committed.
//  2. Each version in force is one whole state: that of the committed changes up to its number.
//  3. Nothing is in force before it was committed.
//  4. The number in force only grows; a process that begins anew begins with the last that it had.
inline RolloutVerdict judge_rollout(const std::vector<Record>& all) {
    RolloutVerdict verdict;
    const auto breach = [&](const Record& at, const std::string& what) {
        verdict.breaches.push_back(std::to_string(at.at_ns) + " " + at.who + ": " + what);
    };
    for (const Record& one : all) {
        if (one.event != "committed") continue;
        const Committed told{one.at_ns,        one.field("chain"), one.field("kind"),
                             one.field("key"), one.field("value"), one.field("reverts")};
        const auto [at, made] = verdict.committed.emplace(one.number(), told);
        if (!made && (at->second.chain != told.chain || at->second.key != told.key ||
                      at->second.value != told.value || at->second.kind != told.kind))
            breach(one, "another change is committed as number " + std::to_string(one.number()));
    }
    // States by number, as far as every change up to it was told.
    std::map<std::uint64_t, std::string> digests;
    slatejunction::rollout::State state;
    digests[0] = slatejunction::rollout::state_digest(state);
    for (std::uint64_t number = 1; verdict.committed.contains(number); ++number) {
        const Committed& one = verdict.committed.at(number);
        if (one.kind == "1") state[one.key] = one.value;
        if (one.kind == "2") state.erase(one.key);
        digests[number] = slatejunction::rollout::state_digest(state);
    }
    std::map<std::string, std::uint64_t> last;
    for (const Record& one : all) {
        const bool begins = one.event == "begins_with";
        if (!begins && one.event != "in_force") continue;
        const std::uint64_t number = one.number();
        const std::string told = "number " + std::to_string(number);
        if (!digests.contains(number)) {
            breach(one, told + " is in force, and was never told as committed");
            continue;
        }
        if (digests[number] != one.field("state")) breach(one, told + " is not the whole state");
        if (number > 0) {
            const Committed& made = verdict.committed.at(number);
            if (made.chain != one.field("chain")) breach(one, told + " is of another sequence");
            if (made.at_ns > one.at_ns) breach(one, told + " is in force before it was committed");
        }
        const auto before = last.find(one.who);
        if (before != last.end()) {
            verdict.restarts += begins;
            // A kill may come between what is done and its record, so it may begin with one more.
            if (number < before->second) breach(one, told + " after " + std::to_string(before->second));
            if (!begins && number == before->second) breach(one, told + " twice");
        } else if (!begins) {
            breach(one, told + " before it told what it begins with");
        }
        last[one.who] = number;
        verdict.in_force[one.who].emplace_back(one.at_ns, number);
        verdict.versions += !begins;
    }
    return verdict;
}

// Changes committed from `from_ns` on that were not in force at one of `who` within `bound_s`; those whose
// time is not over at `until_ns` are not judged.
inline std::vector<std::string> judge_bound(const RolloutVerdict& verdict, const std::set<std::string>& who,
                                            std::int64_t from_ns, std::int64_t until_ns, double bound_s,
                                            std::size_t* judged = nullptr) {
    std::vector<std::string> late;
    const auto bound_ns = static_cast<std::int64_t>(bound_s * 1e9);
    for (const auto& [number, one] : verdict.committed) {
        if (one.at_ns < from_ns || one.at_ns + bound_ns > until_ns || one.kind == "3") continue;
        for (const std::string& name : who) {
            if (judged) ++*judged;
            const auto at = verdict.in_force.find(name);
            const bool there = at != verdict.in_force.end() &&
                               std::any_of(at->second.begin(), at->second.end(), [&](const auto& each) {
                                   return each.second >= number && each.first <= one.at_ns + bound_ns;
                               });
            if (!there) late.push_back(name + " lacks number " + std::to_string(number));
        }
    }
    return late;
}

}   // namespace records
