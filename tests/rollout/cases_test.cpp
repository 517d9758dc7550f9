// Failure cases of a rollout, each forced by the order of events in a simulated fleet.
#include <catch2/catch.hpp>

#include "rollout/simulation.hpp"

using namespace rollout_simulation;

namespace {

// Three control machines and, by default, four followers on a network without faults.
Scenario stable_scenario(std::size_t followers = 4) {
    Scenario scenario;
    scenario.followers = followers;
    scenario.min_delay_s = 0.005;
    return scenario;
}

// A simulated fleet whose leader is c0, and checks of its followers.
struct Fleet : Simulation {
    explicit Fleet(const Scenario& scenario = stable_scenario(), std::uint64_t seed = 1)
        : Simulation(scenario, seed), followers(scenario.followers) {
        grant_lease("c0");
        for (int i = 0; i < 20 && leader("c0").phase() != Leader::Phase::ready; ++i) run_for(2);
        REQUIRE(leader("c0").phase() == Leader::Phase::ready);
    }
    std::uint64_t put(const std::string& key, const std::string& value, const std::string& at = "c0") {
        return propose(at, key, value).number;
    }
    std::string value(std::size_t i, const std::string& key) const {
        const State& state = follower(follower_name(i)).state();
        const auto found = state.find(key);
        return found == state.end() ? "none" : found->second;
    }
    std::size_t count_with(const std::string& key, const std::string& expected) const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < followers; ++i)
            count += is_running(follower_name(i)) && value(i, key) == expected;
        return count;
    }
    bool has_event(LeaderEvent::Kind kind, std::uint64_t number) const {
        return std::any_of(leader_events().begin(), leader_events().end(), [&](const LeaderEvent& event) {
            return event.kind == kind && event.number == number;
        });
    }
    const std::size_t followers;
};

bool carries_records(const Message& message) {
    const auto* append = std::get_if<Append>(&message);
    return append && !append->records.empty();
}
const double kBoundS = active_within_s({});

}   // namespace

TEST_CASE("a change is committed, activated by the canaries, and then by all followers", "[rollout]") {
    Fleet fleet;
    const double proposed = fleet.now();
    const std::uint64_t number = fleet.put("a", "1");
    REQUIRE(number > 0);
    fleet.run_for(0.9);   // less than canary_s
    CHECK(fleet.leader("c0").commit_index() == number);
    CHECK(fleet.count_with("a", "1") == 2);
    CHECK_FALSE(fleet.has_event(LeaderEvent::Kind::cleared, number));
    fleet.run_until(proposed + kBoundS);
    CHECK(fleet.count_with("a", "1") == 4);
    CHECK(fleet.has_event(LeaderEvent::Kind::cleared, number));
    fleet.run_for(3);
    CHECK(active_everywhere(fleet.fleet_report("c0")) == number);
    CHECK(fleet.fleet_report("c0").counted == 4);
    CHECK(fleet.violation() == "");
}

TEST_CASE("a change that no majority stored before the leader failed is lost, and its number is reused",
          "[rollout]") {
    Fleet fleet;
    fleet.put("a", "before");
    fleet.run_for(5);
    fleet.set_filter([](const std::string& from, const std::string& to, Message& message) {
        return from == "c0" && to != "c0" && carries_records(message);
    });
    const std::uint64_t lost = fleet.put("a", "lost");
    fleet.run_for(0.2);
    CHECK(fleet.replica("c0").log().last().number == lost);
    CHECK(fleet.leader("c0").commit_index() < lost);
    fleet.kill("c0");
    fleet.set_filter({});
    fleet.grant_lease("c1");
    fleet.run_for(1);
    const std::uint64_t next = fleet.put("b", "next", "c1");
    CHECK(next == lost);   // the number is reused for another record
    fleet.start("c0");
    fleet.run_for(kBoundS);
    CHECK(fleet.count_with("a", "before") == 4);
    CHECK(fleet.count_with("b", "next") == 4);
    CHECK(fleet.replica("c0").log().last() == fleet.replica("c1").log().last());
    CHECK(fleet.violation() == "");
}

TEST_CASE("the next leader commits and releases a change that a majority stored before the leader failed",
          "[rollout]") {
    Fleet fleet;
    fleet.set_filter([](const std::string&, const std::string& to, Message& message) {
        return to == "c0" && std::holds_alternative<AppendReply>(message);
    });
    const std::uint64_t number = fleet.put("a", "1");
    fleet.run_for(0.2);
    CHECK(fleet.replica("c1").log().last().number == number);
    CHECK(fleet.leader("c0").commit_index() < number);
    fleet.kill("c0");
    fleet.set_filter({});
    fleet.grant_lease("c2");
    fleet.run_for(kBoundS);
    CHECK(fleet.count_with("a", "1") == 4);
    CHECK(fleet.leader("c2").commit_index() > number);   // followed by a record of its own term
    CHECK(fleet.violation() == "");
}

TEST_CASE("the next leader clears a change that only canaries had activated when the leader failed",
          "[rollout]") {
    Fleet fleet;
    fleet.put("a", "1");
    fleet.run_for(0.7);
    REQUIRE(fleet.count_with("a", "1") == 2);
    fleet.kill("c0");
    fleet.grant_lease("c1");
    fleet.run_for(kBoundS);
    CHECK(fleet.count_with("a", "1") == 4);
    CHECK(fleet.violation() == "");
}

TEST_CASE("a change that half of the followers refuse is reverted, even where the canaries accept it",
          "[rollout]") {
    Fleet fleet(stable_scenario(9));
    fleet.put("a", "good");
    fleet.run_for(6);
    const std::uint64_t bad = fleet.put("a", "bad-odd");
    const std::uint64_t after = fleet.put("b", "after");
    fleet.run_for(12);
    std::set<std::string> activated_by;
    for (const HistoryEvent& event : fleet.history())
        if (event.type == HistoryEvent::Type::activated && event.state.contains("a") &&
            event.state.at("a") == "bad-odd")
            activated_by.insert(event.node);
    const bool refused = fleet.has_event(LeaderEvent::Kind::refused, bad);
    REQUIRE(refused);
    for (const char* odd : {"f1", "f3", "f5", "f7"}) CHECK_FALSE(activated_by.contains(odd));
    CHECK(fleet.has_event(LeaderEvent::Kind::reverted, bad));
    CHECK(fleet.count_with("a", "good") == 9);
    CHECK(fleet.count_with("b", "after") == 9);
    const auto refusal =
        std::find_if(fleet.leader_events().begin(), fleet.leader_events().end(),
                     [](const auto& event) { return event.kind == LeaderEvent::Kind::refused; });
    CHECK(refusal->reason == "odd ones can't use a");
    CHECK((refusal->name.back() - '0') % 2 == 1);
    CHECK(fleet.leader("c0").log().reverted_by(bad) > after);
    CHECK(fleet.violation() == "");
}

TEST_CASE("successive changes that half of the followers refuse are all reverted, for one key or several",
          "[rollout]") {
    for (const std::string& second_key : {std::string("a"), std::string("c")}) {
        CAPTURE(second_key);
        Fleet fleet(stable_scenario(9));
        fleet.put("a", "good");
        fleet.run_for(6);
        // Both are committed before the leader learns of the first refusal.
        const std::uint64_t first = fleet.put("a", "bad-odd-1");
        const std::uint64_t second = fleet.put(second_key, "bad-odd-2");
        const std::uint64_t after = fleet.put("b", "after");
        fleet.run_for(24);
        REQUIRE(fleet.has_event(LeaderEvent::Kind::reverted, first));
        CHECK(fleet.has_event(LeaderEvent::Kind::reverted, second));
        CHECK(fleet.leader("c0").log().reverted_by(first) > after);
        CHECK_FALSE(fleet.has_event(LeaderEvent::Kind::irrevertible, second));
        CHECK(fleet.count_with("a", "good") == 9);
        CHECK(fleet.count_with("b", "after") == 9);
        CHECK(fleet.violation() == "");
    }
}

TEST_CASE("a change that a canary refuses is never active on other followers than canaries", "[rollout]") {
    Fleet fleet(stable_scenario(9));
    fleet.put("a", "good");
    fleet.run_for(6);
    const std::string canary = fleet.fleet_report("c0").canaries.at(0).name;
    fleet.extra_validator = [&](const std::string& name, const State& state) {
        return std::string(name == canary && state.contains("b") ? "no room for b" : "");
    };
    const std::uint64_t bad = fleet.put("b", "1");
    fleet.run_for(kBoundS);
    CHECK(fleet.has_event(LeaderEvent::Kind::reverted, bad));
    std::set<std::string> activated_by;
    for (const HistoryEvent& event : fleet.history())
        if (event.type == HistoryEvent::Type::activated && event.state.contains("b"))
            activated_by.insert(event.node);
    CHECK(activated_by.size() <= 1);   // the other canary
    CHECK(fleet.count_with("b", "none") == 9);
    // The canary that refused the change never had it active.
    for (const HistoryEvent& event : fleet.history())
        if (event.type == HistoryEvent::Type::activated && event.node == canary)
            CHECK_FALSE(event.state.contains("b"));
    CHECK(fleet.violation() == "");
}

TEST_CASE("a refused change is not cleared while its revert cannot be committed", "[rollout]") {
    Fleet fleet(stable_scenario(9));
    fleet.put("a", "good");
    fleet.run_for(6);
    const std::string canary = fleet.fleet_report("c0").canaries.at(0).name;
    fleet.extra_validator = [&](const std::string& name, const State& state) {
        return std::string(name == canary && state.contains("b") ? "no room for b" : "");
    };
    const std::uint64_t bad = fleet.put("b", "1");
    fleet.run_for(0.1);
    REQUIRE(fleet.leader("c0").commit_index() == bad);
    fleet.set_filter([bad](const std::string& from, const std::string& to, Message& message) {
        auto* append = std::get_if<Append>(&message);
        if (append && from != to)
            std::erase_if(append->records, [bad](const Record& record) { return record.number > bad; });
        return false;
    });
    fleet.run_for(10);
    REQUIRE(fleet.leader("c0").log().reverted_by(bad) == bad + 1);
    REQUIRE(fleet.leader("c0").commit_index() == bad);
    CHECK(fleet.leader("c0").staging().cleared == bad - 1);
    fleet.set_filter({});
    fleet.run_for(kBoundS);
    std::set<std::string> activated_by;
    for (const HistoryEvent& event : fleet.history())
        if (event.type == HistoryEvent::Type::activated && event.state.contains("b"))
            activated_by.insert(event.node);
    CHECK(activated_by.size() <= 1);   // the other canary
    CHECK(fleet.leader("c0").staging().cleared == bad + 1);
    CHECK(fleet.violation() == "");
}

TEST_CASE("without canaries, a committed change is cleared after canary_timeout_s", "[rollout]") {
    Scenario scenario = stable_scenario(2);
    scenario.canary_count = 0;
    Fleet fleet(scenario);
    const std::uint64_t number = fleet.put("a", "1");
    fleet.run_for(1.9);
    CHECK_FALSE(fleet.has_event(LeaderEvent::Kind::cleared, number));
    CHECK(fleet.count_with("a", "1") == 0);
    fleet.run_for(1.5);
    CHECK(fleet.has_event(LeaderEvent::Kind::cleared, number));
    CHECK(fleet.count_with("a", "1") == 2);
    CHECK(fleet.violation() == "");
}

TEST_CASE("a paused canary delays the other followers by no more than the bound", "[rollout]") {
    Fleet fleet(stable_scenario(6));
    fleet.put("a", "0");
    fleet.run_for(6);
    fleet.pause(fleet.fleet_report("c0").canaries.at(0).name, 60);
    fleet.put("a", "1");
    fleet.run_for(kBoundS);
    CHECK(fleet.count_with("a", "1") == 5);
    CHECK(fleet.violation() == "");
}

TEST_CASE("of two processes that act as leader, the one with the older term commits nothing", "[rollout]") {
    Fleet fleet;
    fleet.put("a", "1");
    fleet.run_for(5);
    fleet.set_partition("c0", 1);
    fleet.grant_lease("c1");
    fleet.run_for(1);
    const std::uint64_t before = fleet.leader("c0").commit_index();
    const std::uint64_t older = fleet.put("x", "older", "c0");
    const std::uint64_t newer = fleet.put("y", "newer", "c1");
    CHECK(older == newer);
    fleet.run_for(kBoundS);
    CHECK(fleet.leader("c0").phase() == Leader::Phase::ready);   // it cannot know of c1
    CHECK(fleet.leader("c0").commit_index() == before);
    CHECK(fleet.count_with("y", "newer") == 4);
    fleet.heal_partitions();
    fleet.run_for(3);
    CHECK(fleet.has_event(LeaderEvent::Kind::fenced, 0));
    CHECK(fleet.count_with("x", "older") == 0);
    CHECK(fleet.replica("c0").log().last() == fleet.replica("c1").log().last());
    CHECK(fleet.violation() == "");
}

TEST_CASE("a delayed append of an older term changes nothing", "[rollout]") {
    Fleet fleet;
    fleet.put("a", "1");
    fleet.run_for(5);
    // The append of c0 reaches c2 only after c1 is the leader.
    std::optional<Message> delayed;
    fleet.set_filter([&](const std::string& from, const std::string& to, Message& message) {
        if (from != "c0" || to == "c0" || !carries_records(message)) return false;
        if (to == "c2" && !delayed) delayed = message;
        return true;
    });
    fleet.put("x", "late");
    fleet.run_for(0.2);
    REQUIRE(delayed);
    fleet.grant_lease("c1");
    fleet.run_for(1);
    fleet.set_filter({});
    const std::uint64_t newer = fleet.put("y", "newer", "c1");
    fleet.run_for(1);
    const Version last = fleet.replica("c2").log().last();
    CHECK(last.number == newer);
    fleet.inject("c0", "c2", *delayed);
    fleet.run_for(1);
    CHECK(fleet.replica("c2").log().last() == last);
    fleet.run_for(kBoundS);
    CHECK(fleet.count_with("y", "newer") == 4);
    CHECK(fleet.count_with("x", "none") == 4);
    CHECK(fleet.violation() == "");
}

TEST_CASE("a record of an older term is committed only by a later record of the leader's own term",
          "[rollout]") {
    // Figure 8 of the Raft paper: a majority has the record of term 1, which a record of term 2 may still
    // replace.
    Scenario scenario = stable_scenario(2);
    scenario.control_machines = 5;
    Fleet fleet(scenario);
    fleet.put("a", "0");
    fleet.run_for(5);
    const auto send_records_only_to = [&](const std::set<std::string>& names) {
        fleet.set_filter([names](const std::string&, const std::string& to, Message& message) {
            return carries_records(message) && !names.contains(to);
        });
    };
    send_records_only_to({"c0", "c1"});
    const std::uint64_t number = fleet.put("a", "1");
    fleet.run_for(0.2);
    fleet.kill("c0");
    fleet.set_partition("c1", 1);
    send_records_only_to({"c4"});
    fleet.grant_lease("c4");
    fleet.run_for(1);
    REQUIRE(fleet.put("a", "2", "c4") == number);
    fleet.run_for(0.2);
    fleet.kill("c4");
    fleet.heal_partitions();
    // c0 leads again. Its old record also reaches c2, but no record of its new term reaches another node.
    fleet.start("c0");
    fleet.set_partition("c3", 1);
    fleet.set_filter([number](const std::string&, const std::string& to, Message& message) {
        auto* append = std::get_if<Append>(&message);
        if (append && to != "c0")
            std::erase_if(append->records,
                          [number](const Record& record) { return record.number > number; });
        return false;
    });
    fleet.grant_lease("c0");
    fleet.run_for(2);
    for (const char* name : {"c0", "c1", "c2"}) {
        REQUIRE(fleet.replica(name).log().contains_number(number));
        CHECK(fleet.replica(name).log().record(number).value == "1");
    }
    CHECK(fleet.leader("c0").commit_index() < number);
    fleet.kill("c0");
    fleet.heal_partitions();
    fleet.set_filter({});
    fleet.set_partition("c1", 1);
    fleet.start("c4");
    fleet.grant_lease("c4");
    fleet.run_for(kBoundS);
    CHECK(fleet.leader("c4").commit_index() > number);
    CHECK(fleet.count_with("a", "2") == 2);
    fleet.heal_partitions();
    fleet.start("c0");
    fleet.run_for(5);
    CHECK(fleet.replica("c0").log().last() == fleet.replica("c4").log().last());
    CHECK(fleet.violation() == "");
}

TEST_CASE("the children of a paused relay switch to other parents, and return once it resumes",
          "[rollout]") {
    Scenario scenario = stable_scenario(6);
    scenario.relays = 1;
    Fleet fleet(scenario);
    fleet.put("a", "1");
    fleet.run_for(6);
    REQUIRE(fleet.count_with("a", "1") == 6);
    REQUIRE(fleet.follower("f3").parent() == "f0");
    fleet.pause("f0", 25);
    fleet.run_for(0.5);
    fleet.put("a", "2");
    fleet.run_for(kBoundS + 2);   // the children switch parents after 2 s
    CHECK(fleet.count_with("a", "2") == 5);
    CHECK(fleet.follower("f3").parent() != "f0");
    CHECK(fleet.value(0, "a") == "1");
    fleet.run_for(30);
    CHECK(fleet.count_with("a", "2") == 6);
    CHECK(fleet.follower("f3").parent() == "f0");   // back at the preferred parent
    CHECK(fleet.fleet_report("c0").counted == 6);
    CHECK(fleet.fleet_report("c0").silent == 0);
    CHECK(fleet.violation() == "");
}

TEST_CASE("an ingress that was down pulls only the records that it missed", "[rollout]") {
    Fleet fleet;
    fleet.put("a", "0");
    fleet.run_for(6);
    fleet.kill("f1");
    for (int i = 1; i <= 3'000; ++i) {
        fleet.put("k" + std::to_string(i % 50), std::to_string(i));
        fleet.run_for(0.02);
    }
    fleet.run_for(10);
    CHECK(fleet.fleet_report("c0").silent == 1);
    CHECK(fleet.fleet_report("c0").silent_names.at(0).name == "f1");
    fleet.start("f1");
    const std::uint64_t restored = fleet.follower("f1").active_version().number;
    CHECK(restored > 0);
    fleet.run_for(kBoundS);
    CHECK(fleet.count_with("a", "0") == 4);
    CHECK(fleet.follower("f1").active_version() == fleet.follower("f0").active_version());
    CHECK(fleet.follower("f1").counts().records == fleet.leader("c0").log().last().number - restored);
    CHECK(fleet.follower("f1").counts().snapshots == 0);
    CHECK(fleet.follower("f1").counts().versions < 20);   // several records at a time
    CHECK(fleet.violation() == "");
}

TEST_CASE("an ingress that was down for longer than records are kept installs a snapshot", "[rollout]") {
    Scenario scenario = stable_scenario();
    scenario.max_log_records = 100;
    Fleet fleet(scenario);
    fleet.put("a", "0");
    fleet.run_for(6);
    fleet.kill("f1");
    for (int i = 1; i <= 400; ++i) {
        fleet.put("k" + std::to_string(i % 50), std::to_string(i) + std::string(600, 'x'));
        fleet.run_for(0.02);
    }
    fleet.run_for(10);
    SECTION("all parts arrive") {}
    SECTION("missing parts are requested again") {
        int parts = 0;
        fleet.set_filter([parts](const std::string&, const std::string&, Message& message) mutable {
            const auto* part = std::get_if<SnapshotPart>(&message);
            return part && part->index > 20 && ++parts < 30;
        });
    }
    SECTION("a transfer with an altered part is discarded") {
        bool changed = false;
        fleet.set_filter([changed](const std::string&, const std::string&, Message& message) mutable {
            auto* part = std::get_if<SnapshotPart>(&message);
            if (part && part->index == 3 && !changed) {
                part->entries.at(0).second += "!";
                changed = true;
            }
            return false;
        });
    }
    SECTION("its parent fails during the transfer") {
        const std::string parent =
            parent_order(
                {.name = "f1", .region = "r0", .parents = {{"c0", "r1"}, {"c1", "r2"}, {"c2", "r1"}}})
                .front();
        bool begun = false;
        fleet.set_filter(
            [&fleet, parent, begun](const std::string& from, const std::string&, Message& message) mutable {
                const auto* part = std::get_if<SnapshotPart>(&message);
                if (part && from == parent && part->index == 9) begun = true;
                return begun && from == parent && std::holds_alternative<SnapshotPart>(message);
            });
        fleet.at(fleet.now() + 2, [&fleet, parent] { fleet.pause(parent, 100); });
    }
    fleet.start("f1");
    fleet.run_for(20);
    CHECK(fleet.follower("f1").counts().snapshots == 1);
    CHECK(fleet.follower("f1").active_version() == fleet.follower("f0").active_version());
    CHECK(fleet.count_with("a", "0") == 4);
    CHECK(fleet.violation() == "");
}

TEST_CASE("a corrupted snapshot is never activated", "[rollout]") {
    Scenario scenario = stable_scenario();
    scenario.max_log_records = 10;
    Fleet fleet(scenario);
    for (int i = 1; i <= 60; ++i) {
        fleet.put("k" + std::to_string(i), std::to_string(i));
        fleet.run_for(0.2);
    }
    fleet.run_for(10);
    fleet.kill("f1");
    fleet.erase_disk("f1");
    fleet.set_filter([](const std::string&, const std::string&, Message& message) {
        auto* part = std::get_if<SnapshotPart>(&message);
        if (part) part->entries.at(0).second += "!";
        return false;
    });
    fleet.start("f1");
    fleet.run_for(10);
    CHECK(fleet.follower("f1").active_version().number == 0);
    CHECK(fleet.follower("f1").counts().broken_snapshots > 1);
    fleet.set_filter({});
    fleet.run_for(5);
    CHECK(fleet.follower("f1").active_version() == fleet.follower("f0").active_version());
    CHECK(fleet.violation() == "");
}

TEST_CASE("a zone in a network partition keeps its versions, and catches up afterwards", "[rollout]") {
    Fleet fleet(stable_scenario(6));
    fleet.put("a", "1");
    fleet.run_for(6);
    for (const char* name : {"c2", "f0", "f1"}) fleet.set_partition(name, 1);
    fleet.put("a", "2");
    fleet.run_for(kBoundS + 4);
    CHECK(fleet.count_with("a", "2") == 4);
    CHECK(fleet.count_with("a", "1") == 2);   // the partitioned followers keep their version
    CHECK(fleet.fleet_report("c0").counted == 4);
    fleet.heal_partitions();
    fleet.run_for(12);
    CHECK(fleet.count_with("a", "2") == 6);
    fleet.run_for(30);
    CHECK(fleet.fleet_report("c0").counted == 6);
    CHECK(fleet.fleet_report("c0").silent == 0);
    CHECK(fleet.violation() == "");
}

TEST_CASE("followers converge when messages are reordered, duplicated and lost", "[rollout]") {
    Scenario scenario = stable_scenario();
    scenario.max_delay_s = 1.2;
    scenario.duplicate_probability = 0.5;
    scenario.loss_probability = 0.2;
    Fleet fleet(scenario, 3);
    for (int i = 1; i <= 100; ++i) {
        fleet.put("k" + std::to_string(i % 7), std::to_string(i));
        fleet.run_for(0.1);
    }
    fleet.run_for(30);
    CHECK(fleet.count_with("k2", "100") == 4);
    CHECK(fleet.violation() == "");
}

TEST_CASE("changes are rolled out while all nodes are restarted one by one", "[rollout]") {
    Scenario scenario = stable_scenario(8);
    Fleet fleet(scenario);
    int value = 0;
    for (int i = 0; i < 11; ++i) {
        const std::string name =
            i < 8 ? Simulation::follower_name(i) : Simulation::control_name(10 - i);   // c0 last
        for (int k = 0; k < 10; ++k) {
            const std::string at = fleet.leader("c0").phase() == Leader::Phase::ready ? "c0" : "c1";
            fleet.put("k" + std::to_string(k % 3), std::to_string(++value), at);
            fleet.run_for(0.1);
        }
        fleet.kill(name);
        fleet.run_for(0.7);
        if (name == "c0") fleet.grant_lease("c1");
        fleet.start(name);
        fleet.run_for(1);
    }
    fleet.put("last", "1", "c1");
    fleet.run_for(kBoundS);
    CHECK(fleet.count_with("last", "1") == 8);
    CHECK(fleet.violation() == "");
}

TEST_CASE("a follower with a full disk keeps its version and reports the fault", "[rollout]") {
    Fleet fleet;
    fleet.put("a", "1");
    fleet.run_for(6);
    fleet.set_disk_full("f2", true);
    const std::uint64_t number = fleet.put("a", "2");
    fleet.run_for(20);
    CHECK(fleet.value(2, "a") == "1");
    CHECK(fleet.count_with("a", "2") == 3);
    const Report report = fleet.fleet_report("c0");
    REQUIRE(report.behind_names.size() == 1);
    CHECK(report.behind_names.at(0) == FollowerStatus{"f2", number - 1, FollowerFault::disk});
    CHECK(active_everywhere(report) == number - 1);
    fleet.set_disk_full("f2", false);
    fleet.run_for(4);
    CHECK(fleet.count_with("a", "2") == 4);
    CHECK(fleet.fleet_report("c0").behind == 0);
    CHECK(fleet.violation() == "");
}

TEST_CASE("changes are committed while one replica's disk is full, but not while two are", "[rollout]") {
    Fleet fleet;
    fleet.set_disk_full("c1", true);
    const std::uint64_t first = fleet.put("a", "1");
    fleet.run_for(1);
    CHECK(fleet.leader("c0").commit_index() == first);
    CHECK(fleet.replica("c1").log().last().number < first);
    CHECK(fleet.replica("c1").disk_failed());
    fleet.set_disk_full("c0", true);
    const std::uint64_t second = fleet.put("a", "2");
    fleet.run_for(5);
    CHECK(fleet.leader("c0").commit_index() == first);
    CHECK(fleet.count_with("a", "2") == 0);
    fleet.set_disk_full("c0", false);
    fleet.set_disk_full("c1", false);
    fleet.run_for(kBoundS);
    CHECK(fleet.leader("c0").commit_index() == second);
    CHECK(fleet.count_with("a", "2") == 4);
    CHECK(fleet.violation() == "");
}

TEST_CASE("a replica that lost its disk counts in no majority until it is admitted", "[rollout]") {
    Fleet fleet;
    fleet.put("a", "1");
    fleet.run_for(5);
    fleet.kill("c1");
    fleet.erase_disk("c1");
    fleet.set_partition("c2", 1);   // c0 and c1, which has lost its disk, are no majority
    fleet.start("c1");
    const std::uint64_t number = fleet.put("a", "2");
    fleet.run_for(5);
    CHECK(fleet.leader("c0").commit_index() < number);
    CHECK_FALSE(fleet.replica("c1").storage_intact());
    fleet.heal_partitions();
    fleet.run_for(10);
    CHECK(fleet.replica("c1").storage_intact());
    CHECK(fleet.count_with("a", "2") == 4);
    fleet.set_partition("c2", 1);
    const std::uint64_t next = fleet.put("a", "3");
    fleet.run_for(1);
    CHECK(fleet.leader("c0").commit_index() == next);
    CHECK(fleet.violation() == "");
}

TEST_CASE("a promise that was lost with a disk does not count", "[rollout]") {
    // c2 becomes leader. c1 promises its term, and loses its disk before c2 has its log status. Meanwhile
    // c0, which does not know of c2, replicates to c1 again. c2 must find everything that c0 commits by
    // then.
    Fleet fleet;
    fleet.put("a", "1");
    fleet.run_for(5);
    bool hold_back = true, disk_lost = false;
    fleet.set_filter([&](const std::string& from, const std::string& to, Message& message) {
        // c0 and c2 cannot reach each other, c0 does not learn of the promise of c1, and c2 receives no log
        // status.
        if (!hold_back) return false;
        if ((from == "c2" && to == "c0") || (from == "c0" && to == "c2")) return true;
        if (from == "c1" && to == "c0" && !disk_lost && std::holds_alternative<AppendReply>(message))
            return true;
        return to == "c2" && std::holds_alternative<LogStatus>(message);
    });
    fleet.grant_lease("c2");
    fleet.run_for(0.2);
    REQUIRE(fleet.leader("c2").phase() == Leader::Phase::collecting_status);
    fleet.kill("c1");
    fleet.erase_disk("c1");
    disk_lost = true;
    fleet.start("c1");
    const std::uint64_t number = fleet.put("b", "1");
    REQUIRE(number > 0);
    fleet.run_for(3);
    CHECK(fleet.leader("c0").commit_index() < number);   // c1 does not count, and c2 promised its own term
    hold_back = false;
    fleet.run_for(20);
    CHECK(fleet.replica("c1").storage_intact());
    CHECK(fleet.leader("c2").phase() == Leader::Phase::ready);
    CHECK(fleet.violation() == "");
}

TEST_CASE("log status counts only from the process that promised the term", "[rollout]") {
    // c3 becomes leader and c1 promises its term; c1 loses its disk, and c0 admits it again. c2 promises
    // and sends c3 its log status, loses its disk as well, and c0 admits it with the help of c1. The log
    // status that c3 has by then misses what c0 commits afterwards.
    Scenario scenario = stable_scenario(2);
    scenario.control_machines = 5;
    Fleet fleet(scenario);
    fleet.put("a", "1");
    fleet.run_for(5);
    std::set<std::string> reached_by_c3{"c1", "c3"},
        hidden{"c1", "c3"};   // nodes whose replies, and so their promises, do not reach c0
    bool status_request_to_c1 = false, records_to_c1 = true, done = false;
    fleet.set_filter([&](const std::string& from, const std::string& to, Message& message) {
        if (done) return false;
        if (from == "c0" && to == "c3") return true;
        if (from == "c3" && !reached_by_c3.contains(to)) return true;
        if (from == "c3" && to == "c1" && std::holds_alternative<LogStatusRequest>(message))
            return !status_request_to_c1;
        if (from == "c0" && to == "c1" && carries_records(message)) return !records_to_c1;
        return to == "c0" && hidden.contains(from);
    });
    fleet.grant_lease("c3");
    fleet.run_for(0.2);
    fleet.kill("c1");
    fleet.erase_disk("c1");
    hidden.erase("c1");
    fleet.start("c1");
    fleet.run_for(8);
    REQUIRE(fleet.replica("c1").storage_intact());
    REQUIRE(fleet.leader("c3").phase() == Leader::Phase::collecting_promises);
    hidden.insert("c2");
    reached_by_c3.insert("c2");
    for (int i = 0; i < 100 && fleet.leader("c3").phase() == Leader::Phase::collecting_promises; ++i)
        fleet.run_for(0.01);
    REQUIRE(fleet.leader("c3").phase() == Leader::Phase::collecting_status);
    fleet.run_for(0.1);
    fleet.kill("c2");
    fleet.erase_disk("c2");
    hidden.erase("c2");
    reached_by_c3.erase("c2");
    fleet.start("c2");
    records_to_c1 = false;
    for (int i = 0; i < 100 && !fleet.replica("c2").storage_intact(); ++i) fleet.run_for(0.01);
    REQUIRE(fleet.replica("c2").storage_intact());
    const std::uint64_t number = fleet.put("b", "1");
    fleet.run_for(0.1);
    REQUIRE(fleet.leader("c0").commit_index() == number);
    REQUIRE(fleet.leader("c3").phase() == Leader::Phase::collecting_status);
    status_request_to_c1 = true;
    for (int i = 0; i < 60 && fleet.leader("c3").phase() == Leader::Phase::collecting_status; ++i)
        fleet.run_for(0.01);
    CHECK(fleet.leader("c3").phase() == Leader::Phase::collecting_promises);   // in another round
    done = true;
    fleet.run_for(20);
    CHECK(fleet.leader("c3").phase() == Leader::Phase::ready);
    CHECK(fleet.count_with("b", "1") == 2);
    CHECK(fleet.violation() == "");
}

TEST_CASE("the first start of a fleet needs all replicas", "[rollout]") {
    Simulation simulation(stable_scenario(2), 1);
    simulation.kill("c2");
    simulation.grant_lease("c0");
    simulation.run_for(5);
    CHECK(simulation.leader("c0").phase() == Leader::Phase::collecting_promises);
    CHECK(simulation.propose("c0", "a", "1").error == ProposeError::not_ready);
    simulation.start("c2");
    simulation.run_for(3);
    CHECK(simulation.leader("c0").phase() == Leader::Phase::ready);
    for (const char* name : {"c0", "c1", "c2"}) CHECK(simulation.replica(name).storage_intact());
    CHECK(simulation.propose("c1", "a", "1").error == ProposeError::not_leader);
    CHECK(simulation.propose("c0", "", "1").error == ProposeError::too_large);
    CHECK(simulation.propose("c0", std::string(kMaxKeyBytes + 1, 'k'), "1").error ==
          ProposeError::too_large);
    CHECK(simulation.propose("c0", "a", std::string(kMaxValueBytes + 1, 'v')).error ==
          ProposeError::too_large);
    CHECK(
        simulation.propose("c0", std::string(kMaxKeyBytes, 'k'), std::string(kMaxValueBytes, 'v')).number ==
        1);
}

TEST_CASE("a leader without a majority accepts a bounded number of proposals", "[rollout]") {
    Fleet fleet;
    fleet.set_partition("c0", 1);
    const std::size_t backlog = LeaderSettings{}.max_uncommitted;
    for (std::size_t i = 0; i < backlog; ++i) REQUIRE(fleet.put("a", "1") > 0);
    CHECK(fleet.propose("c0", "a", "1").error == ProposeError::backlog_full);
}
