// Agreement on losses of the counter's state: one ingress's finding counts at all of them, a wrong one's at
// none.
#include "quota/counter_incarnation.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <random>
#include <vector>

#include "quota/shared_quota.hpp"

using namespace slatejunction::quota;

namespace {

// Some ingresses, a counter, and a network that drops part of the messages.
struct Fleet {
    explicit Fleet(std::size_t count, double loss = 0, std::uint64_t seed = 1)
        : all(count, CounterIncarnation(1)), losses(count), loss(loss), random(seed) {
        all[0].on_leadership_change(now, true);
        for (auto& one : all) one.on_timer(now);
        deliver_all();
    }
    bool dropped() { return std::uniform_real_distribution<double>(0, 1)(random) < loss; }
    void deliver_all() {
        for (bool more = true; more;) {
            more = false;
            for (std::size_t i = 0; i < all.size(); ++i) {
                for (const auto& add : all[i].take_adds()) {
                    if (cut == i) continue;
                    more = true;
                    double& value = names[add.generation];
                    value += add.amount * (twice ? 2 : 1);
                    all[i].on_read(now, add.part, add.generation, value);
                }
                for (const auto& message : all[i].take_outgoing())
                    for (std::size_t to = 0; to < all.size(); ++to) {
                        if (to == i || (!message.broadcast && to != leader) || dropped()) continue;
                        const auto parsed = parse_incarnation_message(serialize(message.message));
                        REQUIRE(parsed);
                        all[to].on_message(now, *parsed);
                        more = true;
                    }
                for ([[maybe_unused]] const unsigned part : all[i].take_confirmed_losses()) ++losses[i];
            }
        }
    }
    void run(double s) {
        for (const double end = now + s; now < end; now += 0.05) {
            for (auto& one : all)
                if (one.next_deadline() <= now) one.on_timer(now);
            deliver_all();
        }
    }
    std::vector<CounterIncarnation> all;
    std::vector<int> losses;
    std::map<std::int64_t, double> names;
    std::size_t leader = 0, cut = SIZE_MAX;
    bool twice = false;
    double loss, now = 1000;
    std::mt19937_64 random;
};

}   // namespace

TEST_CASE("a loss counts once at each ingress, within the stated time") {
    Fleet fleet(5);
    fleet.run(7);   // the first epoch is received
    fleet.names.clear();
    fleet.run(loss_propagation_bound_s(0, 0) + 0.1);
    for (const int one : fleet.losses) CHECK(one == 1);
    fleet.run(60);   // the next generation's name is no loss
    for (const int one : fleet.losses) CHECK(one == 1);
    CHECK(fleet.all[0].confirmed_losses() == 1);
}

TEST_CASE(
    "an ingress that is cut off from the counter learns of a loss, also when most messages are dropped") {
    Fleet fleet(5, 0.5, 3);
    fleet.run(30);
    fleet.cut = 4;
    fleet.names.clear();
    fleet.run(6 * kEpochBroadcastPeriodS);
    for (const int one : fleet.losses) CHECK(one == 1);
}

TEST_CASE("one ingress whose check is wrong makes nobody's buckets count as empty") {
    Fleet fleet(5);
    fleet.run(7);
    for (int i = 0; i < 10; ++i) {
        fleet.all[3].on_local_loss(fleet.now, 0);
        fleet.run(1);
    }
    for (const int one : fleet.losses) CHECK(one == 0);
    CHECK(fleet.all[0].false_alarms() == 10);
    CHECK(fleet.all[0].confirmed_losses() == 0);
}

TEST_CASE("calls that are carried out twice, and a new leader, are no loss") {
    Fleet fleet(5);
    fleet.twice = true;
    fleet.run(7);
    fleet.names.clear();
    fleet.run(2);
    fleet.all[0].on_leadership_change(fleet.now, false);
    fleet.leader = 2;
    fleet.all[2].on_leadership_change(fleet.now, true);
    fleet.run(70);
    for (const int one : fleet.losses) CHECK(one == 1);
    fleet.names.clear();
    fleet.run(2);
    for (const int one : fleet.losses) CHECK(one == 2);
    for (const auto& one : fleet.all) CHECK(one.epoch(0) == 3);
}

TEST_CASE("a leader that missed a loss learns of it from the others") {
    Fleet fleet(3);
    fleet.run(7);
    fleet.names.clear();
    fleet.run(2);
    CounterIncarnation fresh(1);   // restarted, it conducts again
    fleet.all[0].on_leadership_change(fleet.now, false);
    fleet.all[1] = fresh;
    fleet.leader = 1;
    fleet.all[1].on_leadership_change(fleet.now, true);
    fleet.run(6);
    CHECK(fleet.all[1].epoch(0) == 2);
    fleet.names.clear();
    fleet.run(2);
    CHECK(fleet.losses[0] == 2);
    CHECK(fleet.losses[1] == 2);   // its own, and not the one before its start
    CHECK(fleet.losses[2] == 2);
}

TEST_CASE("malformed incarnation messages are rejected") {
    for (const char* one : {"", "x", "1", "1 2", "3 0 1", "0 0 1", "1 0 1 ", "1 0 1x"})
        CHECK_FALSE(parse_incarnation_message(one));
    const auto message = parse_incarnation_message("2 1 77");
    REQUIRE(message);
    CHECK(message->epoch == 77);
}
