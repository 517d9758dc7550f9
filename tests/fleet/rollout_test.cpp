// Configuration in force on a fleet of started processes: control machines and followers, faults between
// them, judged by their records alone. Seeded schedules by hand:
//
//   ROLLOUT_SEED=17 [ROLLOUT_COUNT=1] [KEEP_RECORDS=FOLDER] slatejunction_fleet_tests "[rollout_schedule]"
#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <thread>

#include "fleet/rig.hpp"
#include "fleet/rollout_records.hpp"
#include "rollout/propagation_bounds.hpp"

namespace {

namespace rollout = slatejunction::rollout;

std::int64_t raw_ns() {
    timespec at{};
    clock_gettime(CLOCK_MONOTONIC_RAW, &at);
    return static_cast<std::int64_t>(at.tv_sec) * 1'000'000'000 + at.tv_nsec;
}

rig::Plan plan_of(std::size_t control, std::size_t followers) {
    rig::Plan plan;
    plan.ingresses = control + followers;
    plan.control = plan.voters = control;
    plan.sites = 1;
    plan.announce_s = 0;
    return plan;
}

std::string limit(int rate) { return "key = request.customer\nrate = " + std::to_string(rate) + "\n"; }

bool taken(const std::string& answer) { return answer.starts_with("HTTP/1.1 200"); }

std::vector<records::Record> records_of(const rig::Fleet& fleet) {
    std::vector<std::vector<records::Record>> files;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        files.push_back(records::read(fleet.records_file(i), fleet.name(i)));
    return records::merged(files);
}

std::set<std::string> followers_of(const rig::Fleet& fleet) {
    std::set<std::string> names;
    for (std::size_t i = fleet.plan.control; i < fleet.size(); ++i) names.insert(fleet.name(i));
    return names;
}

bool all_have(const rig::Fleet& fleet, std::uint64_t number, const std::set<std::size_t>& but = {}) {
    for (std::size_t i = fleet.plan.control; i < fleet.size(); ++i)
        if (!but.contains(i) && fleet.rollout(i, "in_force") < number) return false;
    return true;
}

// The number of the change that is committed; 0: it is not.
std::uint64_t number_of(const std::string& answer) {
    const std::string body = rig::body_of(answer);
    return taken(answer) && body.starts_with("number ") ? std::stoull(body.substr(7)) : 0;
}

records::RolloutVerdict judge(const rig::Fleet& fleet) {
    auto verdict = records::judge_rollout(records_of(fleet));
    for (const std::string& one : verdict.breaches) UNSCOPED_INFO(one);
    CHECK(verdict.breaches.empty());
    return verdict;
}

bool event(const std::vector<records::Record>& all, const std::string& who, const std::string& what,
           std::uint64_t number = 0) {
    return std::any_of(all.begin(), all.end(), [&](const records::Record& one) {
        return (who.empty() || one.who == who) && one.event == what &&
               (number == 0 || one.number() == number);
    });
}

}   // namespace

TEST_CASE("a change is in force everywhere within the bound, also over kills, and laid over at the start",
          "[fleet][rollout]") {
    rig::Plan plan = plan_of(3, 4);
    plan.more = "[limit own]\nkey = request.customer\nrate = 3\n";
    rig::Fleet fleet(plan);
    const std::size_t source = fleet.wait_source();
    const std::int64_t from = raw_ns();
    std::uint64_t last = 0;
    for (int i = 1; i <= 5; ++i) {
        last = number_of(fleet.propose(source, "limit a" + std::to_string(i), limit(i)));
        REQUIRE(last > 0);
    }
    // In place of one that the file has, and one that is no section for this.
    last = number_of(fleet.propose(source, "limit own", limit(9)));
    REQUIRE(last > 0);
    CHECK(fleet.propose(source, "limit bad", "rate = fast\n").starts_with("HTTP/1.1 400"));
    CHECK(fleet.propose(source, "peers", "interval_s = 9\n").starts_with("HTTP/1.1 400"));
    CHECK(fleet.propose(source, "limit a", "key = \"" + std::string(800, 'x') + "\"\n")
              .starts_with("HTTP/1.1 413"));
    CHECK(fleet.propose((source + 1) % 3, "limit a", limit(1)).starts_with("HTTP/1.1 409"));
    CHECK(fleet.propose(fleet.size() - 1, "limit a", limit(1)).starts_with("HTTP/1.1 409"));
    REQUIRE(wait_for([&] { return all_have(fleet, last); }));
    REQUIRE(wait_for([&] {
        const auto json = fleet.rollout(source);
        return json && (*json)["fleet"]["everywhere"].GetUint64() >= last &&
               (*json)["fleet"]["counted"].GetUint64() == 4;
    }));
    CHECK(fleet.rollout(source, "committed") == last);
    // A follower that is away asks only for what came since.
    fleet.kill(5);
    for (int i = 1; i <= 4; ++i) {
        last = number_of(fleet.propose(source, "limit a" + std::to_string(i), limit(10 * i)));
        REQUIRE(last > 0);
    }
    REQUIRE(taken(ask(fleet.admin_port(source), "DELETE", "/v1/rollout/limit%20a5")));
    last = fleet.rollout(source, "committed");
    REQUIRE(wait_for([&] { return all_have(fleet, last, {5}); }));
    fleet.start(5);
    REQUIRE(fleet.ready(5));
    REQUIRE(wait_for([&] { return all_have(fleet, last); }));
    CHECK(fleet.rollout(5, "records_taken") == 5);
    CHECK(fleet.rollout(5, "snapshots_taken") == 0);
    // A reload keeps what was rolled out over the file, which is taken anew.
    fleet.plan.more_of[4] = "[limit more]\nkey = true\nrate = 1\n";
    fleet.write_files(4);
    fleet.process(4).signal(SIGHUP);
    REQUIRE(wait_for([&] { return fleet.log(4).find("reloaded: discovery") != std::string::npos; }));
    CHECK(fleet.log(4).find("refused") == std::string::npos);
    // A file that what is in force does not fit: refused as a whole.
    fleet.write_files(4);
    std::ofstream(fleet.folder.file("operator4"), std::ios::app) << "[limit x]\nrate = fast\n";
    fleet.process(4).signal(SIGHUP);
    REQUIRE(wait_for([&] { return fleet.log(4).find("reload refused") != std::string::npos; }));
    const auto verdict = judge(fleet);
    CHECK(verdict.restarts == 1);
    std::size_t judged = 0;
    const auto late = records::judge_bound(verdict, {"n3", "n4", "n6"}, from, raw_ns(),
                                           rollout::active_within_s({}), &judged);
    for (const std::string& one : late) UNSCOPED_INFO(one);
    CHECK(late.empty());
}

TEST_CASE("a change that half of the fleet can't use is taken back, and told", "[fleet][rollout]") {
    rig::Plan plan = plan_of(3, 5);
    for (const std::size_t i : {4U, 6U})
        plan.more_of[i] = "[subset north]\nproviders = provider.id.startsWith(\"n\")\n";
    rig::Fleet fleet(plan);
    const std::size_t source = fleet.wait_source();
    const std::uint64_t good = number_of(fleet.propose(source, "limit a", limit(1)));
    REQUIRE(good > 0);
    REQUIRE(wait_for([&] { return all_have(fleet, good); }));
    const std::uint64_t bad = number_of(fleet.propose(source, "route r", "when = true\nsubset = north\n"));
    REQUIRE(bad > good);
    REQUIRE(wait_for([&] { return event(records_of(fleet), "", "source_reverted", bad); }));
    const std::uint64_t after = number_of(fleet.propose(source, "limit b", limit(2)));
    REQUIRE(after > bad + 1);
    REQUIRE(wait_for([&] { return all_have(fleet, after); }));
    for (std::size_t i = 3; i < fleet.size(); ++i) {
        const auto json = fleet.rollout(i);
        REQUIRE(json);
        CHECK((*json)["keys"].Size() == 2);
        CHECK((*json)["refused"].GetUint64() == 0);
    }
    const auto all = records_of(fleet);
    CHECK(event(all, "", "refuses", bad));
    CHECK(fleet.log(source).find("refuses change " + std::to_string(bad)) != std::string::npos);
    // Those that can't use it never had it in force.
    const auto verdict = judge(fleet);
    for (const char* who : {"n3", "n5", "n7"})
        for (const auto& [at, number] : verdict.in_force.at(who)) CHECK(number != bad);
}

TEST_CASE("a source killed before a majority has a change, and after", "[fleet][rollout]") {
    rig::Fleet fleet(plan_of(3, 3));
    std::size_t source = fleet.wait_source();
    const std::uint64_t first = number_of(fleet.propose(source, "limit a", limit(1)));
    REQUIRE(first > 0);
    REQUIRE(wait_for([&] { return all_have(fleet, first); }));

    // Before: nobody else hears of it.
    const std::string name = fleet.name(source);
    fleet.link(name + "-n?", "cut/there");
    std::string lost;
    std::thread waits([&, asked = source] { lost = fleet.propose(asked, "limit lost", limit(2)); });
    CHECK(wait_for([&] { return fleet.rollout(source, "last") > first; }));
    CHECK(fleet.rollout(source, "committed") == first);
    fleet.kill(source);
    waits.join();
    CHECK(lost.empty());
    fleet.heal();
    const std::size_t second = fleet.wait_source({source});
    const std::uint64_t next = number_of(fleet.propose(second, "limit b", limit(3)));
    REQUIRE(next > first);
    fleet.start(source);
    REQUIRE(wait_for([&] { return all_have(fleet, next); }));
    // The one that came back drops what nobody else had.
    REQUIRE(wait_for([&] { return fleet.rollout(source, "committed") >= next; }));
    for (const auto& one : records_of(fleet))
        if (one.event == "committed") CHECK(one.field("key") != "limit lost");

    // After: the others have it, their answers are lost.
    source = fleet.wait_source();
    const std::uint64_t before = fleet.rollout(source, "last");
    const std::string its = fleet.name(source);
    for (std::size_t i = 0; i < 3; ++i)
        if (i != source) fleet.link(fleet.name(i) + "-" + its, "cut/there");
    std::thread again([&, asked = source] { lost = fleet.propose(asked, "limit kept", limit(4)); });
    CHECK(wait_for([&] {
        for (std::size_t i = 0; i < 3; ++i)
            if (fleet.rollout(i, "last") <= before) return false;
        return true;
    }));
    fleet.kill(source);
    again.join();
    fleet.heal();
    fleet.wait_source({source});
    REQUIRE(wait_for([&] {
        const auto all = records_of(fleet);
        return std::any_of(all.begin(), all.end(), [](const records::Record& one) {
            return one.event == "committed" && one.field("key") == "limit kept";
        });
    }));
    std::uint64_t kept = 0;
    for (const auto& one : records_of(fleet))
        if (one.event == "committed" && one.field("key") == "limit kept") kept = one.number();
    REQUIRE(wait_for([&] { return all_have(fleet, kept); }));
    judge(fleet);
}

TEST_CASE("a full disk: a process stays at what it has and says so, and goes on with room",
          "[fleet][rollout]") {
    rig::Plan plan = plan_of(3, 3);
    for (const std::size_t i : {2U, 4U})
        plan.environment[i].push_back("RIG_FULL=/tmp/slatejunction-full-" + std::to_string(::getpid()) +
                                      "-" + std::to_string(i));
    const auto full = [&](std::size_t i) { return plan.environment[i].front().substr(9); };
    rig::Fleet fleet(plan);
    std::size_t source = fleet.wait_source();
    const std::uint64_t first = number_of(fleet.propose(source, "limit a", limit(1)));
    REQUIRE(first > 0);
    REQUIRE(wait_for([&] { return all_have(fleet, first); }));
    for (const std::size_t i : {2U, 4U}) std::ofstream(full(i)) << "x";
    std::uint64_t next = 0;
    CHECK(wait_for([&] {
        source = fleet.wait_source();
        return (next = number_of(fleet.propose(source, "limit b", limit(2)))) > 0;
    }));
    CHECK(wait_for([&] { return all_have(fleet, next, {4}); }));
    CHECK(wait_for([&] {
        const auto json = fleet.rollout(4);
        return json && (*json)["trouble"] == "disk";
    }));
    CHECK(fleet.rollout(4, "in_force") == first);
    CHECK(fleet.log(4).find("cannot write to the state directory") != std::string::npos);
    for (const std::size_t i : {2U, 4U}) std::filesystem::remove(full(i));
    REQUIRE(wait_for([&] { return all_have(fleet, next); }));
    REQUIRE(wait_for([&] { return fleet.rollout(2, "committed") >= next; }));
    judge(fleet);
}

namespace {

struct AttemptResult {
    std::string story;
    std::size_t proposed = 0, committed = 0, versions = 0, restarts = 0, judged = 0;
    std::vector<std::string> breaches, late;
};

// What changes are made of: ten limits, now and then one is erased, and one that half can't use.
std::string change(rig::Fleet& fleet, std::size_t source, std::mt19937_64& random, int number,
                   bool usable) {
    const std::string key = "limit%20k" + std::to_string(random() % 10);
    switch (random() % 12) {
        case 0:
            return ask(fleet.admin_port(source), "DELETE", "/v1/rollout/" + key);
        case 1:
            if (usable)
                return ask(fleet.admin_port(source), "POST", "/v1/rollout/" + key, "", limit(number));
            return ask(fleet.admin_port(source), "POST", "/v1/rollout/route%20r", "",
                       "when = true\nsubset = north\norder = " + std::to_string(number) + "\n");
        default:
            return ask(fleet.admin_port(source), "POST", "/v1/rollout/" + key, "", limit(number));
    }
}

// 12 processes, faults for some seconds, then as long without any as the bound takes.
AttemptResult play(std::uint64_t seed, double seconds) {
    std::mt19937_64 random(seed);
    rig::Plan plan = plan_of(random() % 2 == 0 ? 3 : 5, 0);
    plan.ingresses = 12;
    plan.seed = seed;
    for (std::size_t i = plan.control; i < plan.ingresses; i += 2)
        plan.more_of[i] = "[subset north]\nproviders = provider.id.startsWith(\"n\")\n";
    rig::Fleet fleet(plan);
    AttemptResult out;
    fleet.wait_source();
    std::atomic<bool> over = false, calm = false;
    std::array<std::atomic<bool>, 12> away{};
    std::atomic<std::size_t> proposed = 0;
    std::thread proposer([&] {
        std::mt19937_64 own(seed * 7 + 3);
        for (int number = 1; !over; ++number) {
            std::set<std::size_t> but;
            for (std::size_t i = 0; i < plan.control; ++i)
                if (away[i]) but.insert(i);
            const std::size_t source = fleet.source(but);
            if (source < fleet.size()) {
                change(fleet, source, own, number, calm);
                ++proposed;
            }
            sleep_s(std::uniform_real_distribution<double>(0.02, 0.4)(own));
        }
    });
    const auto tell = [&](const std::string& what) { out.story += "\n  " + what; };
    const auto draw = [&](double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random);
    };
    std::set<std::size_t> down, stopped;
    const auto mend = [&] {
        fleet.heal();
        for (const std::size_t i : std::exchange(stopped, {})) fleet.go_on(i), away[i] = false;
        for (const std::size_t i : std::exchange(down, {})) fleet.start(i), away[i] = false;
    };
    const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (std::chrono::steady_clock::now() < until) {
        std::size_t who = random() % fleet.size();
        if (random() % 3 == 0) who = random() % plan.control;
        const std::string name = fleet.name(who);
        const bool there = !down.contains(who) && !stopped.contains(who);
        switch (random() % 10) {
            case 0:
            case 1:
            case 2:
                if (!there) break;
                tell("kill " + name);
                away[who] = true;
                fleet.kill(who);
                down.insert(who);
                break;
            case 3:
                if (!there) break;
                tell("stop " + name);
                away[who] = true;
                fleet.stop(who);
                stopped.insert(who);
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
                tell("a third is lost, and comes twice and late");
                fleet.link("*", "loss/30");
                fleet.link("*", "duplicate/20");
                fleet.link("*", "jitter/80");
                break;
            default:
                tell("heal, start and go on");
                mend();
        }
        sleep_s(draw(0.05, 1.2));
    }
    mend();
    for (std::size_t i = 0; i < fleet.size(); ++i) CHECK(fleet.ready(i));
    fleet.wait_source();
    // No more that somebody can't use: what follows such a one waits until it is taken back.
    calm = true;
    // Everything runs again; a follower may wait for as long as its back-off before it asks.
    sleep_s(rollout::FollowerSettings{}.max_backoff_s);
    const std::int64_t from = raw_ns();
    const double bound = rollout::active_within_s({});
    sleep_s(3);
    over = true;
    proposer.join();
    sleep_s(bound);
    const std::int64_t end = raw_ns();
    const auto verdict = records::judge_rollout(records_of(fleet));
    out.breaches = verdict.breaches;
    out.late = records::judge_bound(verdict, followers_of(fleet), from, end, bound, &out.judged);
    out.proposed = proposed;
    out.committed = verdict.committed.size();
    out.versions = verdict.versions;
    out.restarts = verdict.restarts;
    if (!out.breaches.empty() || !out.late.empty()) {
        const std::string kept = "/tmp/slatejunction-rollout-" + std::to_string(seed);
        fleet.keep(kept);
        out.story += "\n  records: " + kept;
    }
    return out;
}

}   // namespace

TEST_CASE("seeded schedules of faults: whole versions that never go back, the bound kept after them",
          "[rollout_schedule]") {
    const std::uint64_t first = rig::setting("ROLLOUT_SEED", 1), count = rig::setting("ROLLOUT_COUNT", 2);
    const auto seconds = static_cast<double>(rig::setting("ROLLOUT_SECONDS", 8));
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const AttemptResult out = play(seed, seconds);
        INFO("seed " << seed << "; again: ROLLOUT_SEED=" << seed
                     << " slatejunction_fleet_tests \"[rollout_schedule]\"" << out.story);
        for (const std::string& one : out.breaches) UNSCOPED_INFO(one);
        for (const std::string& one : out.late) UNSCOPED_INFO(one);
        CHECK(out.breaches.empty());
        CHECK(out.late.empty());
        CHECK(out.committed > 10);
        CHECK(out.judged > 10);
        if (std::getenv("FLEET_TELL"))
            std::cout << "seed " << seed << ": " << out.proposed << " proposed, " << out.committed
                      << " committed, " << out.versions << " versions in force, " << out.restarts
                      << " restarts, " << out.judged << " judged by the bound, " << out.late.size()
                      << " late, " << out.breaches.size() << " breaches" << std::endl;
    }
}

// The judge can fail: each of these is a breach that it must see.
TEST_CASE("the judge of rollouts finds what it is there for", "[rollout_schedule]") {
    using records::Record;
    const rollout::State one{{"limit a", "v"}}, two{{"limit a", "w"}};
    const auto committed = [](std::int64_t at, const std::string& who, const std::string& number,
                              const std::string& value) {
        return Record{at,
                      who,
                      "committed",
                      {{"number", number},
                       {"chain", "c" + number},
                       {"kind", "1"},
                       {"key", "limit a"},
                       {"value", value},
                       {"reverts", "0"}}};
    };
    const auto version = [](std::int64_t at, const char* event, const std::string& number,
                            const rollout::State& state) {
        return Record{at,
                      "f",
                      event,
                      {{"number", number},
                       {"chain", number == "0" ? "0" : "c" + number},
                       {"state", rollout::state_digest(state)}}};
    };
    const std::vector<Record> good{committed(1, "a", "1", "v"),         version(2, "begins_with", "0", {}),
                                   version(3, "in_force", "1", one),    committed(4, "a", "2", "w"),
                                   version(5, "begins_with", "1", one), version(6, "in_force", "2", two)};
    const auto breaches = [&](std::size_t instead, const Record& record) {
        auto all = good;
        all[instead] = record;
        return records::judge_rollout(all).breaches.size();
    };
    CHECK(records::judge_rollout(good).breaches.empty());
    CHECK(breaches(2, version(3, "in_force", "1", two)) == 1);     // not the whole state
    CHECK(breaches(4, version(5, "begins_with", "0", {})) == 1);   // goes back
    CHECK(breaches(5, version(6, "in_force", "1", one)) == 1);     // twice
    CHECK(breaches(5, version(6, "in_force", "3", one)) == 1);     // never committed
    CHECK(breaches(3, committed(7, "a", "2", "w")) == 1);          // in force before it was committed
    auto two_of_one = good;
    two_of_one.push_back(committed(7, "b", "1", "x"));
    CHECK(records::judge_rollout(two_of_one).breaches.size() == 1);
    const auto verdict = records::judge_rollout(good);
    CHECK(records::judge_bound(verdict, {"f"}, 0, 1'000'000'000, 0.5).empty());
    CHECK(records::judge_bound(verdict, {"f", "g"}, 0, 1'000'000'000, 0.5).size() == 2);
    CHECK(records::judge_bound(verdict, {"f"}, 0, 1'000'000'000, 1e-9).size() == 2);
}
