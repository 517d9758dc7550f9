// Suspension laid over the directory's list, by seeded schedules against a checker that knows nothing of
// how it is done: it only follows which ids are suspended and what the module was told last of each.
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

sj::discovery::EndpointList listing(EndpointUpdateKind kind,
                                    std::initializer_list<std::pair<const char*, EndpointState>> entries) {
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

// What the module knows from what it is told, and what the directory says.
struct Checker {
    std::map<std::string, EndpointState> told, listed;
    std::set<std::string> suspended, ever;

    void see(const sj::discovery::EndpointList& as_told, const sj::discovery::EndpointList& as_listed) {
        apply(told, as_told);
        apply(listed, as_listed);
        for (const auto& entry : as_listed.update.endpoints) ever.insert(entry.backend);
    }
    static void apply(std::map<std::string, EndpointState>& states,
                      const sj::discovery::EndpointList& list) {
        if (list.update.kind != EndpointUpdateKind::delta) states.clear();
        for (const auto& entry : list.update.endpoints) states[entry.backend] = entry.state;
    }
    static bool in(const std::map<std::string, EndpointState>& states, const std::string& id) {
        const auto at = states.find(id);
        return at != states.end() && at->second == EndpointState::serving;
    }
    // The first id that is told otherwise than it has to be; empty: none.
    std::string wrong() const {
        for (const std::string& id : ever)
            if (in(told, id) != (in(listed, id) && !suspended.contains(id))) return id;
        return {};
    }
};

// One schedule; `spoil` forgets to lay the suspension over one kind of list.
std::string run(unsigned seed, int spoil) {
    std::mt19937 random(seed);
    const auto pick = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    OperatorOverrides one, other;   // other: takes over in the middle
    OperatorOverrides* now = &one;
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
                const sj::discovery::EndpointList as_listed = list;
                sj::discovery::EndpointList spoilt = list;
                now->apply_to(list);
                checker.see(spoil == 1 && kind == 0 ? spoilt : list, as_listed);
                break;
            }
            case 2:
                if (now->suspend(id, change) == OverrideResult::done) {
                    checker.suspended.insert(id);
                    if (spoil == 2) change = {};
                    Checker::apply(checker.told, change);
                } else if (checker.ever.contains(id)) {
                    return "a no for " + id + ", which was listed";
                }
                break;
            case 3:
                if (now->resume(id, change) == OverrideResult::done) {
                    if (!checker.ever.contains(id)) return "a yes for " + id + ", which never was listed";
                    checker.suspended.erase(id);
                    Checker::apply(checker.told, change);
                } else if (checker.ever.contains(id)) {
                    return "a no for " + id + ", which was listed";
                }
                break;
            case 4:
                if (now == &other || pick(4) > 0) break;
                // Another process takes over: it has the last whole list and what it is handed.
                {
                    sj::discovery::EndpointList whole;
                    whole.update.kind = EndpointUpdateKind::snapshot;
                    for (const auto& [at, state] : checker.listed) {
                        if (state == EndpointState::removed) continue;
                        sj::Endpoint entry;
                        entry.backend = at;
                        entry.state = state;
                        whole.update.endpoints.push_back(entry);
                        whole.addresses.push_back("127.0.0.1:1");
                    }
                    const sj::discovery::EndpointList as_listed = whole;
                    for (const std::string& at : one.ever_listed()) other.remember(at);
                    if (spoil != 3)
                        for (const std::string& at : one.suspended()) other.adopt_suspension(at, change);
                    other.apply_to(whole);
                    now = &other;
                    checker.see(whole, as_listed);
                }
                break;
            default:
                if (now->suspended(id) != checker.suspended.contains(id)) return "suspended: " + id;
        }
        if (const std::string id_wrong = checker.wrong(); !id_wrong.empty())
            return "step " + std::to_string(step) + ": " + id_wrong;
    }
    return now->suspensions() == checker.suspended.size() ? "" : "the number of suspensions";
}

}   // namespace

TEST_CASE("suspension holds through every list, change, return and takeover") {
    for (unsigned seed = 0; seed < 20000; ++seed) {
        INFO("seed " << seed);
        REQUIRE(run(seed, 0) == "");
    }
}

TEST_CASE("the checker of suspensions finds faults put in") {
    for (int spoil = 1; spoil <= 3; ++spoil) {
        int found = 0;
        for (unsigned seed = 0; seed < 200; ++seed) found += run(seed, spoil) != "";
        INFO("fault " << spoil);
        REQUIRE(found > 0);
    }
}

TEST_CASE("a resumed provider comes back as it is listed now: restarted, and at its new address") {
    OperatorOverrides operations;
    auto first = listing(EndpointUpdateKind::cached_snapshot, {{"a", EndpointState::serving}});
    operations.apply_to(first);
    sj::discovery::EndpointList change;
    REQUIRE(operations.suspend("a", change) == OverrideResult::done);
    REQUIRE(change.update.endpoints.at(0).state == EndpointState::draining);
    auto moved = listing(EndpointUpdateKind::delta, {{"a", EndpointState::serving}});
    moved.update.endpoints[0].started_at_s = 7;
    moved.addresses[0] = "127.0.0.1:2";
    operations.apply_to(moved);
    REQUIRE(moved.update.endpoints[0].state == EndpointState::draining);
    change = {};
    REQUIRE(operations.resume("a", change) == OverrideResult::done);
    REQUIRE(change.update.endpoints.at(0).state == EndpointState::serving);
    REQUIRE(change.update.endpoints.at(0).started_at_s == 7);
    REQUIRE(change.addresses.at(0) == "127.0.0.1:2");
    REQUIRE(operations.suspend("never", change) == OverrideResult::never_listed);
    REQUIRE(operations.resume("never", change) == OverrideResult::never_listed);
}

TEST_CASE("ids that are gone are forgotten beyond a bound, suspended ones never") {
    OperatorOverrides operations;
    auto first = listing(EndpointUpdateKind::snapshot, {{"kept", EndpointState::serving}});
    operations.apply_to(first);
    sj::discovery::EndpointList change;
    REQUIRE(operations.suspend("kept", change) == OverrideResult::done);
    for (std::size_t i = 0; i < sj::admin::kMaxUnlistedBackends + 500; ++i) {
        const std::string id = "x" + std::to_string(i);
        auto comes = listing(EndpointUpdateKind::snapshot, {{id.c_str(), EndpointState::serving}});
        operations.apply_to(comes);
    }
    REQUIRE(operations.ever_listed().size() <= sj::admin::kMaxUnlistedBackends + 3);
    REQUIRE(operations.suspend("x0", change) == OverrideResult::never_listed);
    auto back = listing(EndpointUpdateKind::snapshot, {{"kept", EndpointState::serving}});
    operations.apply_to(back);
    REQUIRE(back.update.endpoints[0].state == EndpointState::draining);
    REQUIRE(operations.suspended("kept"));
}

TEST_CASE("as many may be suspended as are remembered, and a no is given to more") {
    OperatorOverrides operations;
    sj::discovery::EndpointList all, change;
    all.update.kind = EndpointUpdateKind::snapshot;
    for (std::size_t i = 0; i <= sj::admin::kMaxSuspendedBackends; ++i) {
        sj::Endpoint entry;
        entry.backend = std::to_string(i);
        all.update.endpoints.push_back(entry);
        all.addresses.push_back("127.0.0.1:1");
    }
    operations.apply_to(all);
    for (std::size_t i = 0; i < sj::admin::kMaxSuspendedBackends; ++i)
        REQUIRE(operations.suspend(std::to_string(i), change) == OverrideResult::done);
    REQUIRE(operations.suspend(std::to_string(sj::admin::kMaxSuspendedBackends), change) ==
            OverrideResult::too_many);
    REQUIRE(operations.resume("0", change) == OverrideResult::done);
    REQUIRE(operations.suspend(std::to_string(sj::admin::kMaxSuspendedBackends), change) ==
            OverrideResult::done);
}
