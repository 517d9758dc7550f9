// Tests of the agreement on losses of the counter's state: a loss that one ingress finds takes effect on
// all of them, and a wrong suspicion on none.
#include "quota/counter_incarnation.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <random>
#include <vector>

#include "quota/shared_quota.hpp"

using namespace slatejunction::quota;

namespace {

// Ingresses, a counter with one shard, and a network that drops a fraction of the messages.
struct Fleet {
    explicit Fleet(std::size_t count, double drop_fraction = 0, std::uint64_t seed = 1)
        : all(count, CounterIncarnation(1)), losses(count), drop_fraction(drop_fraction), random(seed) {
        all[0].on_leadership_change(now, true);
        for (auto& ingress : all) ingress.on_timer(now);
        deliver_all();
    }
    bool dropped() { return std::uniform_real_distribution<double>(0, 1)(random) < drop_fraction; }
    void deliver_all() {
        for (bool more = true; more;) {
            more = false;
            for (std::size_t i = 0; i < all.size(); ++i) {
                for (const auto& add : all[i].take_adds()) {
                    if (cut_off_ingress == i) continue;
                    more = true;
                    double& value = entries[add.generation];
                    value += add.amount * (calls_run_twice ? 2 : 1);
                    all[i].on_read(now, add.shard, add.generation, value);
                }
                for (const auto& message : all[i].take_outgoing())
                    for (std::size_t to = 0; to < all.size(); ++to) {
                        if (to == i || (!message.broadcast && to != leader) || dropped()) continue;
                        const auto parsed = parse_incarnation_message(serialize(message.message));
                        REQUIRE(parsed);
                        all[to].on_message(now, *parsed);
                        more = true;
                    }
                for ([[maybe_unused]] const unsigned shard : all[i].take_confirmed_losses()) ++losses[i];
            }
        }
    }
    void run(double duration_s) {
        for (const double end = now + duration_s; now < end; now += 0.05) {
            for (auto& ingress : all)
                if (ingress.next_deadline() <= now) ingress.on_timer(now);
            deliver_all();
        }
    }
    std::vector<CounterIncarnation> all;
    std::vector<int> losses;                  // by ingress: losses that were confirmed to it
    std::map<std::int64_t, double> entries;   // totals of the incarnation entries, by generation
    std::size_t leader = 0;
    std::size_t cut_off_ingress = SIZE_MAX;   // cannot reach the counter; SIZE_MAX if all can
    bool calls_run_twice = false;
    double drop_fraction, now = 1000;
    std::mt19937_64 random;
};

}   // namespace

TEST_CASE("each ingress learns of a loss exactly once, within the propagation bound") {
    Fleet fleet(5);
    fleet.run(7);   // until all have received the first incarnation
    fleet.entries.clear();
    fleet.run(loss_propagation_bound_s(0, 0) + 0.1);
    for (const int loss_count : fleet.losses) CHECK(loss_count == 1);
    fleet.run(60);   // the missing entry of the next generation is not a loss
    for (const int loss_count : fleet.losses) CHECK(loss_count == 1);
    CHECK(fleet.all[0].confirmed_losses() == 1);
}

TEST_CASE(
    "an ingress that is cut off from the counter learns of a loss although half of the messages are "
    "dropped") {
    Fleet fleet(5, 0.5, 3);
    fleet.run(30);
    fleet.cut_off_ingress = 4;
    fleet.entries.clear();
    fleet.run(6 * kIncarnationBroadcastPeriodS);
    for (const int loss_count : fleet.losses) CHECK(loss_count == 1);
}

TEST_CASE("a wrong suspicion of one ingress empties no buckets") {
    Fleet fleet(5);
    fleet.run(7);
    for (int i = 0; i < 10; ++i) {
        fleet.all[3].on_local_loss(fleet.now, 0);
        fleet.run(1);
    }
    for (const int loss_count : fleet.losses) CHECK(loss_count == 0);
    CHECK(fleet.all[0].false_alarms() == 10);
    CHECK(fleet.all[0].confirmed_losses() == 0);
}

TEST_CASE("calls that run twice and a change of leader do not count as losses") {
    Fleet fleet(5);
    fleet.calls_run_twice = true;
    fleet.run(7);
    fleet.entries.clear();
    fleet.run(2);
    fleet.all[0].on_leadership_change(fleet.now, false);
    fleet.leader = 2;
    fleet.all[2].on_leadership_change(fleet.now, true);
    fleet.run(70);
    for (const int loss_count : fleet.losses) CHECK(loss_count == 1);
    fleet.entries.clear();
    fleet.run(2);
    for (const int loss_count : fleet.losses) CHECK(loss_count == 2);
    for (const auto& ingress : fleet.all) CHECK(ingress.incarnation(0) == 3);
}

TEST_CASE("a new leader that missed a loss of the counter's state learns of it from the others") {
    Fleet fleet(3);
    fleet.run(7);
    fleet.entries.clear();
    fleet.run(2);
    CounterIncarnation restarted(1);
    fleet.all[0].on_leadership_change(fleet.now, false);
    fleet.all[1] = restarted;
    fleet.leader = 1;
    fleet.all[1].on_leadership_change(fleet.now, true);
    fleet.run(6);
    CHECK(fleet.all[1].incarnation(0) == 2);
    fleet.entries.clear();
    fleet.run(2);
    CHECK(fleet.losses[0] == 2);
    CHECK(fleet.losses[1] == 2);   // one before its restart and one after it, none twice
    CHECK(fleet.losses[2] == 2);
}

TEST_CASE("malformed incarnation messages are rejected") {
    for (const char* text : {"", "x", "1", "1 2", "3 0 1", "0 0 1", "1 0 1 ", "1 0 1x"})
        CHECK_FALSE(parse_incarnation_message(text));
    const auto message = parse_incarnation_message("2 1 77");
    REQUIRE(message);
    CHECK(message->incarnation == 77);
}
