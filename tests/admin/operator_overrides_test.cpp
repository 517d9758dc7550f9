// OperatorOverrides under seeded random schedules, against a checker that does not depend on its
// implementation: it tracks only which ids are suspended and which state of each the gateway got last.
#include "admin/operator_overrides.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

namespace sj = slatejunction;
using sj::EndpointState;
using sj::EndpointUpdateKind;
using sj::admin::OperatorOverrides;
using sj::admin::OverrideResult;

namespace {

sj::discovery::EndpointList make_list(
    EndpointUpdateKind kind, std::initializer_list<std::pair<const char*, EndpointState>> entries) {
    sj::discovery::EndpointList list;
    list.update.kind = kind;
    for (const auto& [id, state] : entries) {
        sj::Endpoint entry;
        entry.backend = id;
        entry.state = state;
        list.update.endpoints.push_back(entry);
        list.addresses.push_back("127.0.0.1:1");
    }
    return list;
}

// The backends' states as the gateway got them and as discovery states them, and the ids that are suspended
// and that were ever listed.
struct Checker {
    std::map<std::string, EndpointState> at_gateway, stated;
    std::set<std::string> suspended, ever_listed;

    void observe(const sj::discovery::EndpointList& passed, const sj::discovery::EndpointList& as_stated) {
        apply(at_gateway, passed);
        apply(stated, as_stated);
        for (const auto& entry : as_stated.update.endpoints) ever_listed.insert(entry.backend);
    }
    static void apply(std::map<std::string, EndpointState>& states,
                      const sj::discovery::EndpointList& list) {
        if (list.update.kind != EndpointUpdateKind::delta) states.clear();
        for (const auto& entry : list.update.endpoints) states[entry.backend] = entry.state;
    }
    static bool is_serving(const std::map<std::string, EndpointState>& states, const std::string& id) {
        const auto at = states.find(id);
        return at != states.end() && at->second == EndpointState::serving;
    }
    // The first id whose state at the gateway is wrong; empty: none.
    std::string violation() const {
        for (const std::string& id : ever_listed)
            if (is_serving(at_gateway, id) != (is_serving(stated, id) && !suspended.contains(id)))
                return id;
        return {};
    }
};

// Runs one schedule. Returns the first violation; empty: none. `fault`, injected to test the checker:
// - 1: snapshots are passed on without the suspensions.
// - 2: the change of a new suspension is lost.
// - 3: suspensions are not taken over by the other process.
std::string run_schedule(unsigned seed, int fault) {
    std::mt19937 random(seed);
    const auto pick = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    OperatorOverrides old_process, new_process;   // the new one takes over during the schedule
    OperatorOverrides* current = &old_process;
    Checker checker;
    for (int step = 0; step < 60; ++step) {
        const std::string id = "s-" + std::to_string(pick(6));
        sj::discovery::EndpointList change;
        switch (pick(6)) {
            case 0:
            case 1: {
                sj::discovery::EndpointList list;
                const int kind = pick(3);
                list.update.kind = kind == 0   ? EndpointUpdateKind::snapshot
                                   : kind == 1 ? EndpointUpdateKind::delta
                                               : EndpointUpdateKind::cached_snapshot;
                for (int i = 0; i < 6; ++i) {
                    if (pick(2) == 0) continue;
                    sj::Endpoint entry;
                    entry.backend = "s-" + std::to_string(i);
                    entry.state = static_cast<EndpointState>(
                        list.update.kind == EndpointUpdateKind::delta ? pick(3) : pick(2));
                    entry.started_at_s = pick(3);
                    list.update.endpoints.push_back(entry);
                    list.addresses.push_back("127.0.0.1:" + std::to_string(1 + pick(3)));
                }
                const sj::discovery::EndpointList as_stated = list;
                sj::discovery::EndpointList unchanged = list;
                current->apply_to(list);
                checker.observe(fault == 1 && kind == 0 ? unchanged : list, as_stated);
                break;
            }
            case 2:
                if (current->suspend(id, change) == OverrideResult::done) {
                    checker.suspended.insert(id);
                    if (fault == 2) change = {};
                    Checker::apply(checker.at_gateway, change);
                } else if (checker.ever_listed.contains(id)) {
                    return "rejected for " + id + ", which was listed";
                }
                break;
            case 3:
                if (current->resume(id, change) == OverrideResult::done) {
                    if (!checker.ever_listed.contains(id))
                        return "accepted for " + id + ", which was never listed";
                    checker.suspended.erase(id);
                    Checker::apply(checker.at_gateway, change);
                } else if (checker.ever_listed.contains(id)) {
                    return "rejected for " + id + ", which was listed";
                }
                break;
            case 4:
                if (current == &new_process || pick(4) > 0) break;
                // The new process takes over: it has the whole list in force and the old one's overrides.
                {
                    sj::discovery::EndpointList whole;
                    whole.update.kind = EndpointUpdateKind::snapshot;
                    for (const auto& [at, state] : checker.stated) {
                        if (state == EndpointState::removed) continue;
                        sj::Endpoint entry;
                        entry.backend = at;
                        entry.state = state;
                        whole.update.endpoints.push_back(entry);
                        whole.addresses.push_back("127.0.0.1:1");
                    }
                    const sj::discovery::EndpointList as_stated = whole;
                    for (const std::string& at : old_process.ever_listed_ids()) new_process.remember(at);
                    if (fault != 3)
                        for (const std::string& at : old_process.suspended_ids())
                            new_process.adopt_suspension(at, change);
                    new_process.apply_to(whole);
                    current = &new_process;
                    checker.observe(whole, as_stated);
                }
                break;
            default:
                if (current->is_suspended(id) != checker.suspended.contains(id))
                    return "is_suspended() is wrong for " + id;
        }
        if (const std::string wrong_id = checker.violation(); !wrong_id.empty())
            return "step " + std::to_string(step) + ": wrong state of " + wrong_id;
    }
    return current->suspensions() == checker.suspended.size() ? "" : "suspensions() is wrong";
}

}   // namespace

TEST_CASE("a suspension stays in force over endpoint lists, restarts of the backend and a hot restart") {
    for (unsigned seed = 0; seed < 20000; ++seed) {
        INFO("seed " << seed);
        REQUIRE(run_schedule(seed, 0) == "");
    }
}

TEST_CASE("the checker of suspensions finds injected faults") {
    for (int fault = 1; fault <= 3; ++fault) {
        int found = 0;
        for (unsigned seed = 0; seed < 200; ++seed) found += run_schedule(seed, fault) != "";
        INFO("fault " << fault);
        REQUIRE(found > 0);
    }
}

TEST_CASE("a resumed backend has the start time and the address of the latest list") {
    OperatorOverrides overrides;
    auto first = make_list(EndpointUpdateKind::cached_snapshot, {{"a", EndpointState::serving}});
    overrides.apply_to(first);
    sj::discovery::EndpointList change;
    REQUIRE(overrides.suspend("a", change) == OverrideResult::done);
    REQUIRE(change.update.endpoints.at(0).state == EndpointState::draining);
    auto moved = make_list(EndpointUpdateKind::delta, {{"a", EndpointState::serving}});
    moved.update.endpoints[0].started_at_s = 7;
    moved.addresses[0] = "127.0.0.1:2";
    overrides.apply_to(moved);
    REQUIRE(moved.update.endpoints[0].state == EndpointState::draining);
    change = {};
    REQUIRE(overrides.resume("a", change) == OverrideResult::done);
    REQUIRE(change.update.endpoints.at(0).state == EndpointState::serving);
    REQUIRE(change.update.endpoints.at(0).started_at_s == 7);
    REQUIRE(change.addresses.at(0) == "127.0.0.1:2");
    REQUIRE(overrides.suspend("never", change) == OverrideResult::never_listed);
    REQUIRE(overrides.resume("never", change) == OverrideResult::never_listed);
}

TEST_CASE("unlisted backends are forgotten beyond a bound, suspended ones never") {
    OperatorOverrides overrides;
    auto first = make_list(EndpointUpdateKind::snapshot, {{"kept", EndpointState::serving}});
    overrides.apply_to(first);
    sj::discovery::EndpointList change;
    REQUIRE(overrides.suspend("kept", change) == OverrideResult::done);
    for (std::size_t i = 0; i < sj::admin::kMaxUnlistedBackends + 500; ++i) {
        const std::string id = "x" + std::to_string(i);
        auto next = make_list(EndpointUpdateKind::snapshot, {{id.c_str(), EndpointState::serving}});
        overrides.apply_to(next);
    }
    REQUIRE(overrides.ever_listed_ids().size() <= sj::admin::kMaxUnlistedBackends + 3);
    REQUIRE(overrides.suspend("x0", change) == OverrideResult::never_listed);
    auto back = make_list(EndpointUpdateKind::snapshot, {{"kept", EndpointState::serving}});
    overrides.apply_to(back);
    REQUIRE(back.update.endpoints[0].state == EndpointState::draining);
    REQUIRE(overrides.is_suspended("kept"));
}

TEST_CASE("suspensions beyond the bound are rejected until one is resumed") {
    OperatorOverrides overrides;
    sj::discovery::EndpointList all, change;
    all.update.kind = EndpointUpdateKind::snapshot;
    for (std::size_t i = 0; i <= sj::admin::kMaxSuspendedBackends; ++i) {
        sj::Endpoint entry;
        entry.backend = std::to_string(i);
        all.update.endpoints.push_back(entry);
        all.addresses.push_back("127.0.0.1:1");
    }
    overrides.apply_to(all);
    for (std::size_t i = 0; i < sj::admin::kMaxSuspendedBackends; ++i)
        REQUIRE(overrides.suspend(std::to_string(i), change) == OverrideResult::done);
    REQUIRE(overrides.suspend(std::to_string(sj::admin::kMaxSuspendedBackends), change) ==
            OverrideResult::too_many);
    REQUIRE(overrides.resume("0", change) == OverrideResult::done);
    REQUIRE(overrides.suspend(std::to_string(sj::admin::kMaxSuspendedBackends), change) ==
            OverrideResult::done);
}
