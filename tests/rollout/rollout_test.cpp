// Tests of the cores of a rollout one by one, and of a simulated fleet under random schedules of faults.
#include <catch2/catch.hpp>

#include "rollout/simulation.hpp"

using namespace rollout_simulation;

namespace {

Record put_of(std::uint64_t number, const std::string& key, const std::string& value,
              std::uint64_t term = 1) {
    return {number, term, RecordKind::put, key, value, 0};
}
std::string accept_all(const State&, const Changes&) { return {}; }

// Storage that keeps nothing and fails while `full` is set.
struct TestStorage : FollowerStorage {
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

// Returns a log of records 1 to `count`.
Log log_of(std::uint64_t count, std::uint64_t term = 1) {
    Log log;
    for (std::uint64_t i = 1; i <= count; ++i)
        log.push(put_of(i, "k" + std::to_string(i % 10), std::to_string(i), term));
    return log;
}
Announcement announcement_of(const Log& log, std::uint64_t after, std::uint64_t to) {
    Announcement announcement;
    announcement.previous = log.version(after);
    for (std::uint64_t at = after + 1; at <= to; ++at) announcement.records.push_back(log.record(at));
    announcement.activation_limit = to;
    announcement.staging.cleared = to;
    return announcement;
}
Pull pull_of(const std::string& name, const Version& have) {
    Pull pull;
    pull.name = name;
    pull.have = have;
    pull.active = have.number;
    return pull;
}

}   // namespace

TEST_CASE("random schedules of faults: one log, consistent versions, rising numbers, bounds kept",
          "[rollout]") {
    Result all;
    std::uint64_t bounded = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        const Scenario scenario = random_scenario(seed);
        const auto result = Simulation(scenario, seed).run();
        INFO("seed " << seed << "; to repeat: slatejunction-rollout-model 1 " << seed);
        REQUIRE(result.violation == "");
        all.committed += result.committed;
        all.versions += result.versions;
        all.reverts += result.reverts;
        all.leader_changes += result.leader_changes;
        all.snapshots += result.snapshots;
        all.kills += result.kills;
        all.admitted_learners += result.admitted_learners;
        all.worst_bound_fraction = std::max(all.worst_bound_fraction, result.worst_bound_fraction);
        bounded += scenario.bound_s > 0;
    }
    // The schedules exercised what they are meant to.
    CHECK(all.committed > 10'000);
    CHECK(all.versions > 20'000);
    CHECK(all.reverts > 100);
    CHECK(all.leader_changes > 1'000);
    CHECK(all.kills > 500);
    CHECK(all.snapshots > 100);
    CHECK(all.admitted_learners > 900);   // all replicas, three or five, at each first start
    CHECK(bounded > 50);
    CHECK(all.worst_bound_fraction > 0.5);
}

TEST_CASE("the propagation bound is 7.2 s by default and stays below 11 s with two hops", "[rollout]") {
    const BoundTimes times;
    CHECK(active_within_s(times) == Approx(7.2));
    CHECK(active_within_s(times) < kMaxActiveWithinS);
    BoundTimes two_hops = times;
    two_hops.hops = 2;
    CHECK(active_within_s(two_hops) == Approx(active_within_s(times) + hop_s(times)));
    CHECK(active_within_s(two_hops) < kMaxActiveWithinS);
    CHECK(active_after_leader_failure_s(times, 4.7) > active_within_s(times) + 4.7);
    // The times of the bound are the default settings.
    CHECK(times.canary_s == LeaderSettings{}.canary_s);
    CHECK(times.canary_timeout_s == LeaderSettings{}.canary_timeout_s);
    CHECK(times.append_retry_interval_s == LeaderSettings{}.retry_interval_s);
    CHECK(times.batch_delay_s == PublisherSettings{}.batch_s);
    CHECK(times.pull_interval_s == FollowerSettings{}.pull_interval_s);
    CHECK(times.pull_retry_interval_s == FollowerSettings{}.retry_interval_s);
    CHECK(times.jitter_fraction == FollowerSettings{}.jitter_fraction);
    CHECK(times.activation_interval_s == FollowerSettings{}.activation_interval_s);
}

TEST_CASE("the chain distinguishes logs, and its encoding does not change", "[rollout]") {
    const Record record = put_of(1, "a", "1");
    CHECK(next_version({}, record) == next_version({}, record));
    for (const Record& other : {put_of(1, "a", "2"), put_of(1, "b", "1"), put_of(1, "a", "1", 2),
                                Record{1, 1, RecordKind::erase, "a", "", 0}, put_of(1, "a1", "")})
        CHECK(next_version({}, other).chain != next_version({}, record).chain);
    CHECK(next_version({0, 1}, record).chain != next_version({0, 0}, record).chain);
    CHECK(next_version({}, record).chain == 0xa9239d58fa3abde0ULL);
}

TEST_CASE("a log accepts only valid records that follow the last one", "[rollout]") {
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
    CHECK(log.last().number == 4);   // trim() stops at the given number
}

TEST_CASE("a revert leaves the state as if the change had never been made", "[rollout]") {
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
        CHECK_FALSE(log.revert_of(which));    // a change is reverted once
        CHECK_FALSE(log.revert_of(number));   // a revert cannot be reverted
        return log.state_at(number);
    };
    const auto first = put("a", "1"), second = put("a", "2"), third = put("b", "1");
    CHECK(revert(second) == State{{"a", "1"}, {"b", "1"}});
    CHECK(revert(first) == State{{"b", "1"}});   // the state before both changes
    const auto fourth = put("b", "2"), fifth = put("b", "3");
    CHECK(revert(fourth) == State{{"b", "3"}});   // the later change remains
    CHECK(revert(fifth) == State{{"b", "1"}});
    CHECK(log.highest_consistent(third, number) == first - 1);   // 1 and 2 are reverted after 3
    CHECK(log.highest_consistent(number, number) == number);
    CHECK(log.highest_consistent(second, second) == second);   // its revert is after the end of the log
    // The values before the base are no longer known.
    const auto sixth = put("c", "1");
    log.trim(0, 0, sixth);
    CHECK_FALSE(log.revert_of(sixth));
    const auto seventh = put("c", "2");
    CHECK(revert(seventh).at("c") == "1");
}

TEST_CASE("messages have at most 1000 bytes, decode to what was encoded, and are validated", "[rollout]") {
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
        const std::string follower = std::string(60, 'a') + std::to_string(100 + i);
        const Refusal refusal{version.number + i % 9, follower, std::string(kMaxReasonBytes, 'r')};
        add(report, {follower, version.number + i, FollowerFault::disk}, true, &refusal);
        add_silent(report, {follower + "s", version.number + i, FollowerFault::none});
    }
    CHECK(report.counted == 40);
    CHECK(report.behind_names.size() == kMaxReportedNames);
    CHECK(report.canaries.size() == kMaxCanaries);
    CHECK(report.refusals.size() == kMaxReportedRefusals);
    Report upstream = report, subtree = report;
    shrink_to(upstream, kMaxReportBytes);
    shrink_to(subtree, 600);
    CHECK(upstream.counted == 40);
    CHECK(upstream.behind == 40);
    CHECK(upstream.silent == 40);
    const Snapshot snapshot(version, 1,
                            {{std::string(kMaxKeyBytes, 'k'), std::string(kMaxValueBytes, 'v')}});
    const std::vector<Message> all{
        Pull{name, version, version.number, version.number, std::string(kMaxReasonBytes, 'r'),
             FollowerFault::refused, true, subtree},
        Announcement{staging, version, {large}, 1ull << 60, true, true, true},
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
        FollowerReport{upstream}};
    std::mt19937_64 random(7);
    for (const Message& message : all) {
        const std::string bytes = encode(message);
        INFO("kind " << message.index());
        CHECK(bytes.size() <= kMaxBodyBytes);
        const auto decoded = decode(bytes);
        REQUIRE(decoded);
        CHECK(*decoded == message);
        // Truncated and altered bytes are rejected, or decode to another valid message.
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
    Announcement gap;
    gap.previous.number = 4;
    gap.records = {put_of(6, "a", "1")};
    CHECK_FALSE(decode(encode(gap)));
}

TEST_CASE("an idle follower pulls once a second, with less than 150 bytes in each direction", "[rollout]") {
    const Log log = log_of(50);
    Publisher publisher({}, log);
    publisher.advance(0, 50, {term_of(1'800'000'000'000, 3), 50, ~0ull / 3});
    TestStorage storage;
    Follower follower(settings_of("ingress-eu-west-1a-0042"), {log}, storage, accept_all, 1);
    follower.start(0);
    std::size_t pulls = 0, max_bytes = 0;
    for (double now = 0; now < 100; now += 0.01) {
        if (follower.next_deadline() <= now) follower.on_timer(now);
        for (const OutgoingMessage& message : follower.take_outgoing()) {
            ++pulls;
            max_bytes = std::max(max_bytes, message.body->size());
            publisher.receive(now, "ingress-eu-west-1a-0042", 1, *decode(*message.body));
            for (const OutgoingMessage& answer : publisher.take_outgoing()) {
                max_bytes = std::max(max_bytes, answer.body->size());
                follower.receive(now, follower.parent(), *decode(*answer.body));
            }
        }
    }
    constexpr std::size_t kAuthenticationBytes = 44;
    CHECK(max_bytes + kAuthenticationBytes < 150);
    CHECK(pulls > 95);
    CHECK(pulls < 105);
    CHECK(follower.counts().parent_switches == 0);
}

TEST_CASE("a late snapshot does not replace records that a replica has acknowledged", "[rollout]") {
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
    const Snapshot snapshot(log.version(10), 1,
                            log.state_at(10));   // committed, which the replica does not know
    for (std::uint32_t i = 0; i < snapshot.parts(); ++i) replica.receive(1, "c0", snapshot.part(i, {}));
    CHECK(replica.log().last() == log.last());
    CHECK(replica.log().base().number == 0);
    CHECK(disk.replaced == 0);
    // A snapshot beyond the end of the log is installed.
    const Log longer = log_of(20);
    const Snapshot newer(longer.version(20), 1, longer.state_at(20));
    for (std::uint32_t i = 0; i < newer.parts(); ++i) replica.receive(2, "c0", newer.part(i, {}));
    CHECK(replica.log().last() == longer.last());
    CHECK(replica.commit_index() == 20);
    CHECK(disk.replaced == 1);
}

TEST_CASE("a publisher encodes a batch once for all children at one version", "[rollout]") {
    Log log;
    Publisher publisher({}, log);
    publisher.on_timer(0);
    for (int i = 0; i < 2'000; ++i)
        publisher.receive(0.5, "f" + std::to_string(i), 1, pull_of("f" + std::to_string(i), {}));
    publisher.take_outgoing();
    double now = 1;
    for (std::uint64_t i = 1; i <= 50; ++i, now += 0.02) {   // 50 changes a second
        log.push(put_of(i, "k" + std::to_string(i), std::string(250, 'v')));
        publisher.advance(now, i, {1, i, 0});
        if (publisher.next_deadline() <= now) publisher.on_timer(now);
    }
    publisher.on_timer(now + 1);
    const auto messages = publisher.take_outgoing();
    CHECK(publisher.counts().batches_encoded < 40);
    CHECK(messages.size() == 2'000 * publisher.counts().batches_encoded);
    std::set<const std::string*> bodies;
    for (const OutgoingMessage& message : messages) bodies.insert(message.body.get());
    CHECK(bodies.size() == publisher.counts().batches_encoded);
}

TEST_CASE("a publisher limits the number of its children and the bytes it sends", "[rollout]") {
    const Log log = log_of(1'000);
    PublisherSettings settings;
    settings.max_children = 2;
    settings.bytes_per_s = 20'000;
    Publisher publisher(settings, log);
    publisher.advance(0, 1'000, {1, 1'000, 0});
    std::size_t bytes = 0;
    for (double now = 0; now < 10; now += 0.01) {
        publisher.receive(now, "f0", 1, pull_of("f0", {}));
        for (const OutgoingMessage& message : publisher.take_outgoing())
            if (message.body->size() > 200) bytes += message.body->size();
    }
    CHECK(bytes < 11 * 20'000);
    CHECK(bytes > 5 * 20'000);
    publisher.receive(10, "f1", 1, pull_of("f1", log.last()));
    CHECK(publisher.take_outgoing().size() == 1);
    publisher.receive(10, "f2", 1, pull_of("f2", log.last()));
    CHECK(publisher.take_outgoing().empty());
    CHECK(publisher.counts().rejected_pulls == 1);
    publisher.receive(15, "f2", 1, pull_of("f2", log.last()));   // the other children are silent by now
    CHECK(publisher.take_outgoing().size() == 1);
}

TEST_CASE("a follower accepts each record once and in order, in whatever order offers arrive",
          "[rollout]") {
    const Log log = log_of(6);
    TestStorage storage;
    Follower follower(settings_of("f"), {}, storage, accept_all, 1);
    follower.start(0);
    const std::string parent = follower.parent();
    follower.receive(1, parent, announcement_of(log, 4, 6));
    follower.receive(1.3, parent, announcement_of(log, 2, 4));
    CHECK(follower.active_version().number == 0);
    follower.receive(1.6, parent, announcement_of(log, 2, 4));
    follower.receive(1.9, parent, announcement_of(log, 0, 2));
    CHECK(follower.active_version() == log.last());
    CHECK(follower.counts().versions == 1);   // all records in one step
    CHECK(follower.counts().records == 6);
    follower.receive(3, parent, announcement_of(log, 0, 6));
    CHECK(follower.counts().records == 6);
    CHECK(follower.fault() == FollowerFault::none);
    CHECK(follower.state() == log.state_at(6));
}

TEST_CASE("a follower never merges records of a diverged log", "[rollout]") {
    const Log log = log_of(6), other = log_of(8, 2);
    TestStorage storage;
    Follower follower(settings_of("f"), {log}, storage, accept_all, 1);
    follower.start(0);
    const std::string parent = follower.parent();
    follower.receive(1, parent, announcement_of(other, 6, 8));
    CHECK(follower.fault() == FollowerFault::diverged);
    follower.receive(2, parent, announcement_of(other, 4, 8));   // its records conflict with the log
    CHECK(follower.active_version() == log.last());
    CHECK(follower.log().last() == log.last());
    // The publisher detects the divergence as well.
    Publisher publisher({}, other);
    publisher.advance(0, 8, {1, 8, 0});
    publisher.receive(1, "f", 1, pull_of("f", log.last()));
    const auto messages = publisher.take_outgoing();
    REQUIRE(messages.size() == 1);
    CHECK(std::get<Announcement>(*decode(*messages[0].body)).diverged);
    // Records whose term falls are rejected.
    Log falling = log;
    Announcement bad = announcement_of(log, 5, 6);
    bad.previous = log.last();
    bad.records = {put_of(7, "a", "1", 0)};
    bad.activation_limit = 7;
    follower.receive(3, parent, bad);
    CHECK(follower.active_version() == log.last());
}

TEST_CASE("an offer with a lower cleared number does not return a follower to an earlier version",
          "[rollout]") {
    const Log log = log_of(6);
    TestStorage storage;
    Follower follower(settings_of("f"), {log}, storage, accept_all, 1);
    follower.start(0);
    Announcement lower = announcement_of(log, 3, 3);
    lower.staging = {99, 3, 0};
    follower.receive(1, follower.parent(), lower);
    CHECK(follower.active_version() == log.last());
    CHECK(follower.take_activations().empty());
    follower.receive(2, follower.parent(), announcement_of(log, 2, 5));
    CHECK(follower.active_version() == log.last());
}

TEST_CASE("a version that cannot be stored is not activated", "[rollout]") {
    const Log log = log_of(6);
    TestStorage storage;
    Follower follower(settings_of("f"), {}, storage, accept_all, 1);
    follower.start(0);
    storage.full = true;
    follower.receive(1, follower.parent(), announcement_of(log, 0, 6));
    CHECK(follower.active_version().number == 0);
    CHECK(follower.state().empty());
    CHECK(follower.take_activations().empty());
    CHECK(follower.fault() == FollowerFault::disk);
    storage.full = false;
    follower.on_timer(1.5);
    CHECK(follower.active_version().number == 0);   // before the next attempt
    follower.on_timer(3.1);
    CHECK(follower.active_version() == log.last());
    CHECK(follower.fault() == FollowerFault::none);
}

TEST_CASE("a follower finds the first invalid change in few validations", "[rollout]") {
    const Log log = log_of(1'000);
    TestStorage storage;
    const auto validate = [](const State& state, const Changes&) {
        const auto at = state.find("k7");
        return std::string(at != state.end() && std::stoi(at->second) >= 617 ? "too high" : "");
    };
    Follower follower(settings_of("f"), {}, storage, validate, 1);
    follower.start(0);
    for (std::uint64_t at = 0; at < 1'000; at += 20) {
        Announcement announcement = announcement_of(log, at, at + 20);
        announcement.activation_limit = 1'000;
        follower.receive(1, follower.parent(), announcement);
    }
    CHECK(follower.active_version().number == 616);
    CHECK(follower.refused() == 617);
    CHECK(follower.reason() == "too high");
    CHECK(follower.state() == log.state_at(616));
    CHECK(follower.counts().validations < 15);
    const auto validations = follower.counts().validations;
    for (double now = 2; now < 60; now += 0.1) follower.on_timer(now);
    CHECK(follower.counts().validations == validations);   // not repeated while nothing has changed
    follower.revalidate(60);
    CHECK(follower.counts().validations == validations + 1);
}

TEST_CASE("followers prefer a parent of their region and spread over the others", "[rollout]") {
    std::map<std::string, int> second_choices;
    for (int i = 0; i < 1'000; ++i) {
        const auto order = parent_order(settings_of("f" + std::to_string(i), 5));
        REQUIRE(order.size() == 5);
        CHECK(order[0] == "c1");
        ++second_choices[order[1]];
    }
    CHECK(second_choices.size() == 4);
    for (const auto& [name, count] : second_choices) CHECK(count > 200);
}

TEST_CASE("followers do not pull in step while no parent answers", "[rollout]") {
    // All followers start at the same time, and no parent answers for a minute.
    constexpr int kFollowers = 2'000;
    std::map<int, int> pulls_by_tenth;   // of a second
    TestStorage storage;
    std::uint64_t pulls = 0;
    for (int i = 0; i < kFollowers; ++i) {
        Follower follower(settings_of("f" + std::to_string(i)), {}, storage, accept_all, i);
        follower.start(0);
        for (double now = 0; now < 60; now = std::max(now + 0.001, follower.next_deadline())) {
            follower.on_timer(now);
            for (const OutgoingMessage& message : follower.take_outgoing()) {
                if (std::get<Pull>(*decode(*message.body)).leaving) continue;
                ++pulls;
                if (now >= 30) ++pulls_by_tenth[static_cast<int>(now * 10)];
            }
        }
    }
    int max_pulls = 0;
    for (const auto& [tenth, count] : pulls_by_tenth) max_pulls = std::max(max_pulls, count);
    // If one pull a second of each follower were spread evenly, a tenth of them would pull in each tenth.
    CHECK(max_pulls < kFollowers / 10);
    CHECK(pulls < 60ull * kFollowers);   // fewer than when a parent answers
}

TEST_CASE("a snapshot is assembled from parts in any order, and accepted only if it is complete",
          "[rollout]") {
    State state;
    for (int i = 0; i < 200; ++i) state["k" + std::to_string(i)] = std::string(i, 'v');
    const Snapshot snapshot({7, 70}, 3, state);
    REQUIRE(snapshot.parts() > 20);
    const auto send_parts = [&](SnapshotReceiver& receiver, const Snapshot& from) {
        for (std::uint32_t i = from.parts(); i-- > 0;) receiver.receive(1, from.part(i, {}));
    };
    SnapshotReceiver receiver;
    send_parts(receiver, snapshot);
    const auto received = receiver.take_snapshot();
    REQUIRE(received);
    CHECK(received->state == state);
    CHECK(received->version == Version{7, 70});
    CHECK_FALSE(receiver.take_snapshot());
    // Missing parts are requested a window at a time, and again after the retry interval.
    receiver.receive(1, snapshot.part(0, {}));
    const auto request = receiver.next_request(1);
    REQUIRE(request);
    CHECK(request->from == 1);
    CHECK(request->count == SnapshotReceiver::kWindowParts);
    CHECK_FALSE(receiver.next_request(1.1));
    CHECK(receiver.next_request(1 + SnapshotReceiver::kRetryIntervalS));
    // A part of a higher version restarts the transfer; a part of a lower one does not.
    const Snapshot newer({9, 90}, 3, state), older({5, 50}, 3, state);
    receiver.receive(2, newer.part(1, {}));
    receiver.receive(2, older.part(0, {}));
    CHECK(receiver.next_request(2)->version == newer.version());
    // A snapshot may be empty.
    receiver.reset();
    send_parts(receiver, Snapshot({1, 2}, 1, {}));
    CHECK(receiver.take_snapshot()->state.empty());
    // Parts with the same version but another checksum are ignored.
    State changed = state;
    changed["k3"] = "other";
    const Snapshot mixed({7, 70}, 3, changed);
    receiver.receive(3, snapshot.part(0, {}));
    for (std::uint32_t i = 0; i < mixed.parts(); ++i) receiver.receive(3, mixed.part(i, {}));
    CHECK_FALSE(receiver.take_snapshot());
}

TEST_CASE("reports are aggregated", "[rollout]") {
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
