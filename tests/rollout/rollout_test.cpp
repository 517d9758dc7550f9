// The cores of a rollout one by one, and random schedules of faults.
#include <catch2/catch.hpp>

#include "rollout/world.hpp"

using namespace rollout_world;

namespace {

Record put_of(std::uint64_t number, const std::string& key, const std::string& value,
              std::uint64_t term = 1) {
    return {number, term, RecordKind::put, key, value, 0};
}
std::string nothing_wrong(const State&, const Changes&) { return {}; }

struct Disk : FollowerStorage {
    bool append(const std::vector<Record>&) override { return !full; }
    bool replace(const Log&) override { return !full; }
    bool full = false;
};

FollowerSettings settings_of(const std::string& name, std::size_t parents = 3) {
    FollowerSettings settings;
    settings.name = name;
    settings.region = "r1";
    for (std::size_t i = 0; i < parents; ++i)
        settings.parents.push_back({"c" + std::to_string(i), i == 1 ? "r1" : "r2"});
    return settings;
}

// A log of records 1 to `count`.
Log log_of(std::uint64_t count, std::uint64_t term = 1) {
    Log log;
    for (std::uint64_t i = 1; i <= count; ++i)
        log.push(put_of(i, "k" + std::to_string(i % 10), std::to_string(i), term));
    return log;
}
Offer offer_of(const Log& log, std::uint64_t after, std::uint64_t to) {
    Offer offer;
    offer.previous = log.version(after);
    for (std::uint64_t at = after + 1; at <= to; ++at) offer.records.push_back(log.record(at));
    offer.activation_limit = to;
    offer.staging.cleared = to;
    return offer;
}
Pull pull_of(const std::string& name, const Version& have) {
    Pull pull;
    pull.name = name;
    pull.have = have;
    pull.active = have.number;
    return pull;
}

}   // namespace

TEST_CASE("random schedules of faults: one sequence, whole versions, nothing back, bounds kept",
          "[rollout]") {
    Result all;
    std::uint64_t bounded = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        const Plan plan = random_plan(seed);
        const auto result = World(plan, seed).run();
        INFO("seed " << seed << "; again: slatejunction-rollout-model 1 " << seed);
        REQUIRE(result.violation == "");
        all.committed += result.committed;
        all.versions += result.versions;
        all.reverts += result.reverts;
        all.leader_changes += result.leader_changes;
        all.snapshots += result.snapshots;
        all.kills += result.kills;
        all.admitted_learners += result.admitted_learners;
        all.worst_bound_fraction = std::max(all.worst_bound_fraction, result.worst_bound_fraction);
        bounded += plan.bound_s > 0;
    }
    // The schedules did what they are for.
    CHECK(all.committed > 10'000);
    CHECK(all.versions > 20'000);
    CHECK(all.reverts > 100);
    CHECK(all.leader_changes > 1'000);
    CHECK(all.kills > 500);
    CHECK(all.snapshots > 100);
    CHECK(all.admitted_learners > 900);   // three or five at each first start
    CHECK(bounded > 50);
    CHECK(all.worst_bound_fraction > 0.5);
}

TEST_CASE("the bound for its defaults is below 11 s, and adds up", "[rollout]") {
    const BoundTimes times;
    CHECK(active_within_s(times) == Approx(7.2));
    CHECK(active_within_s(times) < kMaxActiveWithinS);
    BoundTimes two = times;
    two.hops = 2;
    CHECK(active_within_s(two) == Approx(active_within_s(times) + hop_s(times)));
    CHECK(active_within_s(two) < kMaxActiveWithinS);
    CHECK(active_after_leader_failure_s(times, 4.7) > active_within_s(times) + 4.7);
    // What the bound is made of is what the parts do.
    CHECK(times.canary_s == LeaderSettings{}.canary_s);
    CHECK(times.canary_timeout_s == LeaderSettings{}.canary_timeout_s);
    CHECK(times.append_retry_interval_s == LeaderSettings{}.retry_interval_s);
    CHECK(times.batch_delay_s == PublisherSettings{}.batch_s);
    CHECK(times.pull_interval_s == FollowerSettings{}.pull_interval_s);
    CHECK(times.pull_retry_interval_s == FollowerSettings{}.retry_interval_s);
    CHECK(times.jitter_fraction == FollowerSettings{}.jitter_fraction);
    CHECK(times.activation_interval_s == FollowerSettings{}.activation_interval_s);
}

TEST_CASE("the chain tells logs apart, and never changes its form", "[rollout]") {
    const Record one = put_of(1, "a", "1");
    CHECK(next_version({}, one) == next_version({}, one));
    for (const Record& other : {put_of(1, "a", "2"), put_of(1, "b", "1"), put_of(1, "a", "1", 2),
                                Record{1, 1, RecordKind::erase, "a", "", 0}, put_of(1, "a1", "")})
        CHECK(next_version({}, other).chain != next_version({}, one).chain);
    CHECK(next_version({0, 1}, one).chain != next_version({0, 0}, one).chain);
    CHECK(next_version({}, one).chain == 0xa9239d58fa3abde0ULL);
}

TEST_CASE("a log takes only what follows", "[rollout]") {
    Log log = log_of(3, 5);
    CHECK_FALSE(log.push(put_of(3, "a", "1", 5)));
    CHECK_FALSE(log.push(put_of(5, "a", "1", 5)));
    CHECK_FALSE(log.push(put_of(4, "a", "1", 4)));   // an older term after a newer one
    CHECK_FALSE(log.push(put_of(4, "", "1", 5)));
    CHECK_FALSE(log.push(put_of(4, "a", std::string(kMaxValueBytes + 1, 'x'), 5)));
    CHECK_FALSE(log.push({4, 5, RecordKind::put, "a", "1", 4}));   // reverts itself
    CHECK(log.push(put_of(4, "a", "1", 6)));
    const Version last = log.last();
    log.truncate(2);
    CHECK(log.last().number == 2);
    CHECK(log.bytes() == log_of(2).bytes());
    CHECK(log.push(log_of(3, 5).record(3)));
    CHECK(log.push(put_of(4, "a", "1", 6)));
    CHECK(log.last() == last);
    log.trim(1, 1 << 20, 3);
    CHECK(log.base().number == 3);
    CHECK(log.state_at(3) == State{{"k1", "1"}, {"k2", "2"}, {"k3", "3"}});
    log.trim(0, 0, 3);
    CHECK(log.last().number == 4);   // not beyond what may go
}

TEST_CASE("a revert leaves the state as if the change had never been", "[rollout]") {
    Log log;
    std::uint64_t number = 0;
    const auto put = [&](const std::string& key, const std::string& value) {
        REQUIRE(log.push(put_of(++number, key, value)));
        return number;
    };
    const auto revert = [&](std::uint64_t which) {
        auto record = log.revert_of(which);
        REQUIRE(record);
        record->number = ++number;
        record->term = 1;
        REQUIRE(log.push(*record));
        CHECK(log.reverted_by(which) == number);
        CHECK_FALSE(log.revert_of(which));    // once
        CHECK_FALSE(log.revert_of(number));   // and not itself
        return log.state_at(number);
    };
    const auto first = put("a", "1"), second = put("a", "2"), third = put("b", "1");
    CHECK(revert(second) == State{{"a", "1"}, {"b", "1"}});
    CHECK(revert(first) == State{{"b", "1"}});   // what was before both
    const auto fourth = put("b", "2"), fifth = put("b", "3");
    CHECK(revert(fourth) == State{{"b", "3"}});   // the later one stands
    CHECK(revert(fifth) == State{{"b", "1"}});
    CHECK(log.highest_consistent(third, number) == first - 1);   // 1 and 2 are taken back after 3
    CHECK(log.highest_consistent(number, number) == number);
    CHECK(log.highest_consistent(second, second) == second);   // its revert isn't seen yet
    // What lies behind the base is not known any more.
    const auto sixth = put("c", "1");
    log.trim(0, 0, sixth);
    CHECK_FALSE(log.revert_of(sixth));
    const auto seventh = put("c", "2");
    CHECK(revert(seventh).at("c") == "1");
}

TEST_CASE("messages: at most 1000 bytes, read as written, and nothing else is read", "[rollout]") {
    const std::string name(kMaxNameBytes, 'n');
    const Version version{1ull << 60, ~0ull};
    const Record large{version.number + 1,
                       1ull << 60,
                       RecordKind::put,
                       std::string(kMaxKeyBytes, 'k'),
                       std::string(kMaxValueBytes, 'v'),
                       version.number};
    const Staging staging{1ull << 60, 1ull << 60, ~0ull};
    Report report;
    for (int i = 0; i < 40; ++i) {
        const std::string one = std::string(60, 'a') + std::to_string(100 + i);
        const Refusal refusal{version.number + i % 9, one, std::string(kMaxReasonBytes, 'r')};
        add(report, {one, version.number + i, FollowerFault::disk}, true, &refusal);
        add_silent(report, {one + "s", version.number + i, FollowerFault::none});
    }
    CHECK(report.counted == 40);
    CHECK(report.behind_names.size() == kMaxReportedNames);
    CHECK(report.canaries.size() == kMaxCanaries);
    CHECK(report.refusals.size() == kMaxReportedRefusals);
    Report told = report, below = report;
    shrink_to(told, kMaxReportBytes);
    shrink_to(below, 600);
    CHECK(told.counted == 40);
    CHECK(told.behind == 40);
    CHECK(told.silent == 40);
    const Snapshot snapshot(version, 1,
                            {{std::string(kMaxKeyBytes, 'k'), std::string(kMaxValueBytes, 'v')}});
    const std::vector<Message> all{
        Pull{name, version, version.number, version.number, std::string(kMaxReasonBytes, 'r'),
             FollowerFault::refused, true, below},
        Offer{staging, version, {large}, 1ull << 60, true, true, true},
        SnapshotPartRequest{version, 7, 8},
        snapshot.part(0, staging),
        Prepare{1ull << 60, ~0ull},
        Promise{1ull << 60, 1ull << 60, ~0ull, true, true},
        LogStatusRequest{1ull << 60},
        LogStatus{1ull << 60, ~0ull, true, version, 1ull << 60, 1ull << 60, 1ull << 60, 1ull << 60},
        FetchRequest{1ull << 60, 1ull << 60},
        FetchReply{1ull << 60, version, {large}, true},
        Append{1ull << 60, version, {large}, 1ull << 60, staging, true},
        AppendReply{1ull << 60, 1ull << 60, ~0ull, true, true, version, 1ull << 60, true},
        FollowerReport{told}};
    std::mt19937_64 random(7);
    for (const Message& one : all) {
        const std::string bytes = encode(one);
        INFO("kind " << one.index());
        CHECK(bytes.size() <= kMaxBodyBytes);
        const auto again = decode(bytes);
        REQUIRE(again);
        CHECK(*again == one);
        // Cut and changed bytes are read as none, or as something else that is allowed.
        for (int i = 0; i < 2'000; ++i) {
            std::string broken = bytes.substr(0, 1 + random() % bytes.size());
            broken[random() % broken.size()] = static_cast<char>(random());
            const auto read = decode(broken);
            if (read) CHECK(encode(*read).size() <= 2 * kMaxBodyBytes);
        }
    }
    CHECK_FALSE(decode(""));
    CHECK_FALSE(decode(std::string(kMaxBodyBytes + 1, 'x')));
    CHECK_FALSE(decode(encode(pull_of("", {}))));
    CHECK_FALSE(decode(encode(pull_of("a b", {}))));
    CHECK_FALSE(decode(encode(Prepare{})));
    Offer hole;
    hole.previous.number = 4;
    hole.records = {put_of(6, "a", "1")};
    CHECK_FALSE(decode(encode(hole)));
}

TEST_CASE("an idle follower costs one pull a second, below 150 bytes each way", "[rollout]") {
    const Log log = log_of(50);
    Publisher feeder({}, log);
    feeder.advance(0, 50, {term_of(1'800'000'000'000, 3), 50, ~0ull / 3});
    Disk disk;
    Follower follower(settings_of("ingress-eu-west-1a-0042"), {log}, disk, nothing_wrong, 1);
    follower.start(0);
    std::size_t pulls = 0, most = 0;
    for (double now = 0; now < 100; now += 0.01) {
        if (follower.next_deadline() <= now) follower.on_timer(now);
        for (const OutgoingMessage& post : follower.take_outgoing()) {
            ++pulls;
            most = std::max(most, post.body->size());
            feeder.receive(now, "ingress-eu-west-1a-0042", 1, *decode(*post.body));
            for (const OutgoingMessage& answer : feeder.take_outgoing()) {
                most = std::max(most, answer.body->size());
                follower.receive(now, follower.parent(), *decode(*answer.body));
            }
        }
    }
    constexpr std::size_t kSeal = 44;
    CHECK(most + kSeal < 150);
    CHECK(pulls > 95);
    CHECK(pulls < 105);
    CHECK(follower.counts().parent_switches == 0);
}

TEST_CASE("a replica keeps what it has acknowledged, whatever snapshot comes late", "[rollout]") {
    struct ReplicaDisk : ReplicaStorage {
        bool save_promise(std::uint64_t, bool) override { return true; }
        bool append(const std::vector<Record>&) override { return true; }
        bool truncate(std::uint64_t) override { return true; }
        bool replace(const Log&, std::uint64_t) override { return ++replaced, true; }
        void save_commit_index(std::uint64_t) override {}
        int replaced = 0;
    } disk;
    const Log log = log_of(12);
    Replica replica({}, 1, {true, 1, 8, log}, disk);
    const Snapshot snapshot(log.version(10), 1, log.state_at(10));   // committed, which it was not told of
    for (std::uint32_t i = 0; i < snapshot.parts(); ++i) replica.receive(1, "c0", snapshot.part(i, {}));
    CHECK(replica.log().last() == log.last());
    CHECK(replica.log().base().number == 0);
    CHECK(disk.replaced == 0);
    // One that goes beyond what it has is taken.
    const Log more = log_of(20);
    const Snapshot newer(more.version(20), 1, more.state_at(20));
    for (std::uint32_t i = 0; i < newer.parts(); ++i) replica.receive(2, "c0", newer.part(i, {}));
    CHECK(replica.log().last() == more.last());
    CHECK(replica.commit_index() == 20);
    CHECK(disk.replaced == 1);
}

TEST_CASE("a feeder encodes a batch once for all children at one version", "[rollout]") {
    Log log;
    Publisher feeder({}, log);
    feeder.on_timer(0);
    for (int i = 0; i < 2'000; ++i)
        feeder.receive(0.5, "f" + std::to_string(i), 1, pull_of("f" + std::to_string(i), {}));
    feeder.take_outgoing();
    double now = 1;
    for (std::uint64_t i = 1; i <= 50; ++i, now += 0.02) {   // 50 a second
        log.push(put_of(i, "k" + std::to_string(i), std::string(250, 'v')));
        feeder.advance(now, i, {1, i, 0});
        if (feeder.next_deadline() <= now) feeder.on_timer(now);
    }
    feeder.on_timer(now + 1);
    const auto posts = feeder.take_outgoing();
    CHECK(feeder.counts().batches_encoded < 40);
    CHECK(posts.size() == 2'000 * feeder.counts().batches_encoded);
    std::set<const std::string*> bodies;
    for (const OutgoingMessage& one : posts) bodies.insert(one.body.get());
    CHECK(bodies.size() == feeder.counts().batches_encoded);
}

TEST_CASE("a feeder keeps to its children's number and its bytes", "[rollout]") {
    const Log log = log_of(1'000);
    PublisherSettings settings;
    settings.max_children = 2;
    settings.bytes_per_s = 20'000;
    Publisher feeder(settings, log);
    feeder.advance(0, 1'000, {1, 1'000, 0});
    std::size_t bytes = 0;
    for (double now = 0; now < 10; now += 0.01) {
        feeder.receive(now, "f0", 1, pull_of("f0", {}));
        for (const OutgoingMessage& post : feeder.take_outgoing())
            if (post.body->size() > 200) bytes += post.body->size();
    }
    CHECK(bytes < 11 * 20'000);
    CHECK(bytes > 5 * 20'000);
    feeder.receive(10, "f1", 1, pull_of("f1", log.last()));
    CHECK(feeder.take_outgoing().size() == 1);
    feeder.receive(10, "f2", 1, pull_of("f2", log.last()));
    CHECK(feeder.take_outgoing().empty());
    CHECK(feeder.counts().rejected_pulls == 1);
    feeder.receive(15, "f2", 1, pull_of("f2", log.last()));   // the others are silent by now
    CHECK(feeder.take_outgoing().size() == 1);
}

TEST_CASE("a follower takes records in order, once, whatever the order they come in", "[rollout]") {
    const Log log = log_of(6);
    Disk disk;
    Follower follower(settings_of("f"), {}, disk, nothing_wrong, 1);
    follower.start(0);
    const std::string parent = follower.parent();
    follower.receive(1, parent, offer_of(log, 4, 6));
    follower.receive(1.3, parent, offer_of(log, 2, 4));
    CHECK(follower.active_version().number == 0);
    follower.receive(1.6, parent, offer_of(log, 2, 4));
    follower.receive(1.9, parent, offer_of(log, 0, 2));
    CHECK(follower.active_version() == log.last());
    CHECK(follower.counts().versions == 1);   // in one step
    CHECK(follower.counts().records == 6);
    follower.receive(3, parent, offer_of(log, 0, 6));
    CHECK(follower.counts().records == 6);
    CHECK(follower.fault() == FollowerFault::none);
    CHECK(follower.state() == log.state_at(6));
}

TEST_CASE("a follower never merges another sequence", "[rollout]") {
    const Log log = log_of(6), other = log_of(8, 2);
    Disk disk;
    Follower follower(settings_of("f"), {log}, disk, nothing_wrong, 1);
    follower.start(0);
    const std::string parent = follower.parent();
    follower.receive(1, parent, offer_of(other, 6, 8));
    CHECK(follower.fault() == FollowerFault::diverged);
    follower.receive(2, parent, offer_of(other, 4, 8));   // whose records go over what it has
    CHECK(follower.active_version() == log.last());
    CHECK(follower.log().last() == log.last());
    // It says so, and its feeder does as well.
    Publisher feeder({}, other);
    feeder.advance(0, 8, {1, 8, 0});
    feeder.receive(1, "f", 1, pull_of("f", log.last()));
    const auto posts = feeder.take_outgoing();
    REQUIRE(posts.size() == 1);
    CHECK(std::get<Offer>(*decode(*posts[0].body)).diverged);
    // A term that falls is no sequence at all.
    Log falling = log;
    Offer bad = offer_of(log, 5, 6);
    bad.previous = log.last();
    bad.records = {put_of(7, "a", "1", 0)};
    bad.activation_limit = 7;
    follower.receive(3, parent, bad);
    CHECK(follower.active_version() == log.last());
}

TEST_CASE("a follower does not go back by a lower cleared number", "[rollout]") {
    const Log log = log_of(6);
    Disk disk;
    Follower follower(settings_of("f"), {log}, disk, nothing_wrong, 1);
    follower.start(0);
    Offer lower = offer_of(log, 3, 3);
    lower.staging = {99, 3, 0};
    follower.receive(1, follower.parent(), lower);
    CHECK(follower.active_version() == log.last());
    CHECK(follower.take_activations().empty());
    follower.receive(2, follower.parent(), offer_of(log, 2, 5));
    CHECK(follower.active_version() == log.last());
}

TEST_CASE("what can't be kept is not in force", "[rollout]") {
    const Log log = log_of(6);
    Disk disk;
    Follower follower(settings_of("f"), {}, disk, nothing_wrong, 1);
    follower.start(0);
    disk.full = true;
    follower.receive(1, follower.parent(), offer_of(log, 0, 6));
    CHECK(follower.active_version().number == 0);
    CHECK(follower.state().empty());
    CHECK(follower.take_activations().empty());
    CHECK(follower.fault() == FollowerFault::disk);
    disk.full = false;
    follower.on_timer(1.5);
    CHECK(follower.active_version().number == 0);   // tried again after a while
    follower.on_timer(3.1);
    CHECK(follower.active_version() == log.last());
    CHECK(follower.fault() == FollowerFault::none);
}

TEST_CASE("a follower finds the first change that can't be used, in few checks", "[rollout]") {
    const Log log = log_of(1'000);
    Disk disk;
    const auto check = [](const State& state, const Changes&) {
        const auto at = state.find("k7");
        return std::string(at != state.end() && std::stoi(at->second) >= 617 ? "too high" : "");
    };
    Follower follower(settings_of("f"), {}, disk, check, 1);
    follower.start(0);
    for (std::uint64_t at = 0; at < 1'000; at += 20) {
        Offer offer = offer_of(log, at, at + 20);
        offer.activation_limit = 1'000;
        follower.receive(1, follower.parent(), offer);
    }
    CHECK(follower.active_version().number == 616);
    CHECK(follower.refused() == 617);
    CHECK(follower.reason() == "too high");
    CHECK(follower.state() == log.state_at(616));
    CHECK(follower.counts().validations < 15);
    const auto checks = follower.counts().validations;
    for (double now = 2; now < 60; now += 0.1) follower.on_timer(now);
    CHECK(follower.counts().validations == checks);   // not again while nothing has changed
    follower.revalidate(60);
    CHECK(follower.counts().validations == checks + 1);
}

TEST_CASE("followers spread over parents, their own region's first", "[rollout]") {
    std::map<std::string, int> second;
    for (int i = 0; i < 1'000; ++i) {
        const auto order = parent_order(settings_of("f" + std::to_string(i), 5));
        REQUIRE(order.size() == 5);
        CHECK(order[0] == "c1");
        ++second[order[1]];
    }
    CHECK(second.size() == 4);
    for (const auto& [name, count] : second) CHECK(count > 200);
}

TEST_CASE("followers that come back do not ask in step", "[rollout]") {
    // Nobody answers for a minute; all began at one moment.
    constexpr int kFollowers = 2'000;
    std::map<int, int> by_tenth;
    Disk disk;
    std::uint64_t pulls = 0;
    for (int i = 0; i < kFollowers; ++i) {
        Follower follower(settings_of("f" + std::to_string(i)), {}, disk, nothing_wrong, i);
        follower.start(0);
        for (double now = 0; now < 60; now = std::max(now + 0.001, follower.next_deadline())) {
            follower.on_timer(now);
            for (const OutgoingMessage& post : follower.take_outgoing()) {
                if (std::get<Pull>(*decode(*post.body)).leaving) continue;
                ++pulls;
                if (now >= 30) ++by_tenth[static_cast<int>(now * 10)];
            }
        }
    }
    int most = 0;
    for (const auto& [tenth, count] : by_tenth) most = std::max(most, count);
    CHECK(most < kFollowers / 10);       // an even spread of one pull a second is a tenth
    CHECK(pulls < 60ull * kFollowers);   // less than when they are answered
}

TEST_CASE("a snapshot is put together from parts in any order, and only whole", "[rollout]") {
    State state;
    for (int i = 0; i < 200; ++i) state["k" + std::to_string(i)] = std::string(i, 'v');
    const Snapshot snapshot({7, 70}, 3, state);
    REQUIRE(snapshot.parts() > 20);
    const auto feed = [&](SnapshotReceiver& taker, const Snapshot& from) {
        for (std::uint32_t i = from.parts(); i-- > 0;) taker.receive(1, from.part(i, {}));
    };
    SnapshotReceiver taker;
    feed(taker, snapshot);
    const auto whole = taker.take_snapshot();
    REQUIRE(whole);
    CHECK(whole->state == state);
    CHECK(whole->version == Version{7, 70});
    CHECK_FALSE(taker.take_snapshot());
    // Asks for what is missing, a window at a time, and again after a while.
    taker.receive(1, snapshot.part(0, {}));
    const auto ask = taker.next_request(1);
    REQUIRE(ask);
    CHECK(ask->from == 1);
    CHECK(ask->count == SnapshotReceiver::kWindowParts);
    CHECK_FALSE(taker.next_request(1.1));
    CHECK(taker.next_request(1 + SnapshotReceiver::kRetryIntervalS));
    // A higher version is begun instead; a lower one is not.
    const Snapshot newer({9, 90}, 3, state), older({5, 50}, 3, state);
    taker.receive(2, newer.part(1, {}));
    taker.receive(2, older.part(0, {}));
    CHECK(taker.next_request(2)->version == newer.version());
    // Empty states are snapshots too.
    taker.reset();
    feed(taker, Snapshot({1, 2}, 1, {}));
    CHECK(taker.take_snapshot()->state.empty());
    // A part of the same number and another check is not mixed in.
    State changed = state;
    changed["k3"] = "other";
    const Snapshot mixed({7, 70}, 3, changed);
    taker.receive(3, snapshot.part(0, {}));
    for (std::uint32_t i = 0; i < mixed.parts(); ++i) taker.receive(3, mixed.part(i, {}));
    CHECK_FALSE(taker.take_snapshot());
}

TEST_CASE("reports add up", "[rollout]") {
    Report a, b, sum;
    add(a, {"f1", 7, FollowerFault::none}, false, nullptr);
    const Refusal refusal{9, "f2", "why"};
    add(a, {"f2", 8, FollowerFault::refused}, true, &refusal);
    add(b, {"f3", 5, FollowerFault::disk}, true, nullptr);
    add_silent(b, {"f4", 3, FollowerFault::none});
    CHECK(active_everywhere(sum) == 0);
    add(sum, a);
    CHECK(sum == a);
    add(sum, b);
    CHECK(sum.counted == 3);
    CHECK(active_everywhere(sum) == 5);
    CHECK(sum.behind == 2);
    CHECK(sum.behind_names.at(0).name == "f3");
    CHECK(sum.silent_names.at(0).name == "f4");
    CHECK(sum.refusals.at(0) == refusal);
    CHECK(sum.canaries.size() == 3);
    add(sum, Report{});
    CHECK(active_everywhere(sum) == 5);
}
