// Seeded schedules of faults over whole fleets of started processes, judged from their records. By hand:
//
//   FLEET_SEED=17 [FLEET_COUNT=1] [KEEP_RECORDS=FOLDER] slatejunction_fleet_tests "[schedule]"
//
// Times in a schedule are drawn; no verdict hangs on them.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "fleet/records.hpp"
#include "fleet/rig.hpp"

namespace {

// What is drawn from the seed before anything is started.
rig::Plan plan_of(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    rig::Plan plan;
    plan.seed = seed;
    plan.ingresses = random() % 2 == 0 ? 5 : 9;
    plan.sites = 1 + random() % 3;
    plan.voters = random() % 3 == 0 ? 5 : 3;
    plan.kept = random() % 3 == 0;
    plan.drift = 0.02;
    // Some clocks run at other rates, as far apart as drift allows; one wall clock is set back by an hour.
    for (std::size_t i = 0; i < plan.ingresses; ++i) {
        const auto kind = random() % 4;
        if (kind == 0) plan.environment[i].push_back(i < plan.voters ? "RIG_RATE=1.02" : "RIG_RATE=0.98");
        if (kind == 1 && random() % 2 == 0)
            plan.environment[i].push_back("RIG_STEP=" + std::to_string(1 + random() % 5) + ",-3600");
    }
    return plan;
}

struct AttemptResult {
    records::Verdict verdict;
    std::string story;
};

AttemptResult play(std::uint64_t seed, double seconds) {
    rig::Fleet fleet(plan_of(seed));
    std::mt19937_64 random(seed * 31 + 1);
    const auto upto = [&](std::size_t most) { return static_cast<std::size_t>(random() % (most + 1)); };
    const auto draw = [&](double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random);
    };
    AttemptResult out;
    std::set<std::size_t> down, stopped;
    const auto tell = [&](const std::string& what) { out.story += "\n  " + what; };
    fleet.wait_holder();
    const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (std::chrono::steady_clock::now() < until) {
        // Half of the faults meet whoever holds the lease.
        std::size_t who = upto(fleet.size() - 1);
        if (upto(1) == 0)
            if (const std::size_t now = fleet.holder({stopped.begin(), stopped.end()}); now < fleet.size())
                who = now;
        const std::string name = fleet.name(who);
        switch (upto(14)) {
            case 0:
                if (down.contains(who)) break;
                tell("kill " + name);
                fleet.kill(who);
                stopped.erase(who);
                down.insert(who);
                break;
            case 1:
                if (down.contains(who)) break;
                tell("kill " + name + ", its state is lost");
                fleet.kill(who, true);
                stopped.erase(who);
                down.insert(who);
                break;
            case 2:
            case 3:
                if (down.contains(who) || !stopped.insert(who).second) break;
                tell("stop " + name);
                fleet.stop(who);
                break;
            case 4:
                tell("cut off " + name);
                fleet.cut_off(who);
                break;
            case 5:
                tell("cut what " + name + " says");
                fleet.link(name + "-*", "cut/there");
                break;
            case 6:
                tell("cut what " + name + " hears");
                fleet.link("*-" + name, "cut/there");
                break;
            case 7:
                tell("half is lost, and comes twice and late");
                fleet.link("*", "loss/50");
                fleet.link("*", "duplicate/20");
                fleet.link("*", "jitter/80");
                fleet.link("*", "reorder/20");
                break;
            case 8: {   // a majority of the voters forgets within one grant, or all are killed at once
                const bool all = upto(1) == 0;
                tell(all ? "all voters are killed" : "a majority of the voters is killed and forgets");
                for (std::size_t i = 0; i < (all ? fleet.plan.voters : fleet.plan.voters / 2 + 1); ++i) {
                    fleet.kill(i, !all);
                    stopped.erase(i);
                    fleet.start(i);
                    down.erase(i);
                }
                break;
            }
            default:
                tell("heal, start and go on");
                fleet.heal();
                for (const std::size_t i : std::exchange(stopped, {})) fleet.go_on(i);
                for (const std::size_t i : std::exchange(down, {})) fleet.start(i);
        }
        sleep_s(draw(0.05, 1.2));
    }
    fleet.heal();
    for (const std::size_t i : stopped) fleet.go_on(i);
    for (const std::size_t i : down) fleet.start(i);
    // What was broken is whole again: somebody holds and acts.
    fleet.wait_holder();
    const std::size_t before = fleet.acts();
    CHECK(wait_for([&] { return fleet.acts() >= before + 3; }, 30));
    std::vector<std::vector<records::Record>> files{records::read(fleet.folder.file("ledger"), "ledger")};
    for (std::size_t i = 0; i < fleet.size(); ++i)
        files.push_back(records::read(fleet.records_file(i), fleet.name(i)));
    out.verdict = records::judge_acts(records::merged(files));
    if (!out.verdict.breaches.empty()) {
        const std::string kept = "/tmp/slatejunction-schedule-" + std::to_string(seed);
        fleet.keep(kept);
        out.story += "\n  records: " + kept;
    }
    return out;
}

}   // namespace

TEST_CASE("seeded schedules of faults: two never act at once", "[schedule]") {
    const std::uint64_t first = rig::setting("FLEET_SEED", 1), count = rig::setting("FLEET_COUNT", 6);
    const auto seconds = static_cast<double>(rig::setting("FLEET_SECONDS", 5));
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const AttemptResult out = play(seed, seconds);
        INFO("seed " << seed << "; again: FLEET_SEED=" << seed
                     << " slatejunction_fleet_tests \"[schedule]\"" << out.story);
        for (const std::string& one : out.verdict.breaches) UNSCOPED_INFO(one);
        CHECK(out.verdict.breaches.empty());
        CHECK(out.verdict.taken > 10);
        if (std::getenv("FLEET_TELL"))
            std::cout << "seed " << seed << ": " << out.verdict.acts << " acts, " << out.verdict.fenced
                      << " turned down, " << out.verdict.holders << " holders, "
                      << out.verdict.breaches.size() << " breaches" << std::endl;
    }
}

// The judge can fail: each of these is a breach that it must see.
TEST_CASE("the judge of acts finds what it is there for", "[schedule]") {
    using records::Record;
    const auto ledger = [](std::int64_t at, const std::string& holder, std::uint64_t number) {
        return Record{at,
                      "ledger",
                      "ledger",
                      {{"holder", holder}, {"number", std::to_string(number)}, {"taken", "yes"}}};
    };
    const auto act = [](std::int64_t at, const std::string& who, std::uint64_t number) {
        return Record{at, who, "act_begin", {{"lease", "conductor"}, {"number", std::to_string(number)}}};
    };
    const auto gained = [](std::int64_t at, const std::string& who, std::uint64_t number) {
        return Record{at, who, "gained", {{"lease", "conductor"}, {"number", std::to_string(number)}}};
    };
    CHECK(records::judge_acts({gained(1, "a", 1), act(2, "a", 1), ledger(3, "a", 1), gained(4, "b", 2),
                               act(5, "b", 2), ledger(6, "b", 2)})
              .breaches.empty());
    CHECK(records::judge_acts({ledger(1, "b", 2), ledger(2, "a", 1)}).breaches.size() == 1);
    CHECK(records::judge_acts({ledger(1, "b", 2), ledger(2, "a", 2)}).breaches.size() == 1);
    CHECK(records::judge_acts({act(1, "b", 2), act(2, "a", 1)}).breaches.size() == 1);
    CHECK(records::judge_acts({gained(1, "b", 2), gained(2, "a", 2)}).breaches.size() == 1);
    CHECK(records::judge_drains({Record{1, "a", "drained", {}}, Record{2, "b", "drained", {}}},
                                {{"a", "x"}, {"b", "x"}}, 1)
              .size() == 1);
    CHECK(records::judge_drains({Record{1, "a", "drained", {}}, Record{2, "a", "undrained", {}},
                                 Record{3, "b", "drained", {}}},
                                {{"a", "x"}, {"b", "x"}}, 1)
              .empty());
}
