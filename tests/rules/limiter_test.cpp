// Rate limits by key: what is admitted over time, floods of new keys, and what is restored after a restart.
#include "rules/limiter.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <string>

using slatejunction::rules::hash_key;
using slatejunction::rules::Limiter;

namespace {

Limiter::Limits limits(double rate, double burst, std::size_t keys = 1000, std::uint32_t out = 0) {
    return {rate, burst, out, keys};
}

// One request; 0 when it was admitted, else the time to wait (s).
double request(Limiter& limiter, double now, const std::string& key, double count = 1) {
    Limiter::Ticket ticket;
    const double wait = limiter.retry_after_s(now, hash_key(key), count, ticket);
    if (wait == 0) limiter.consume(now, ticket, count), limiter.release(now, ticket);
    return wait;
}

}   // namespace

TEST_CASE("a key takes its burst at once, then its rate, and Retry-After is when a token is available") {
    Limiter limiter(limits(2, 3));
    for (int i = 0; i < 3; ++i) CHECK(request(limiter, 10, "a") == 0);
    const double wait = request(limiter, 10, "a");
    CHECK(wait == Approx(0.5));
    CHECK(request(limiter, 10 + 0.9 * wait, "a") > 0);
    CHECK(request(limiter, 10 + wait, "a") == 0);
    CHECK(request(limiter, 10 + wait, "a") > 0);
    CHECK(request(limiter, 10, "b") == 0);          // each key for itself
    CHECK(request(limiter, 1000, "a", 100) == 0);   // more than the burst takes all of it
    CHECK(request(limiter, 1000, "a") == Approx(0.5));
    // What is looked at is not drawn.
    Limiter::Ticket ticket;
    for (int i = 0; i < 5; ++i) CHECK(limiter.retry_after_s(10, hash_key("c"), 1, ticket) == 0);
}

TEST_CASE("over a long time exactly the rate is admitted, however much is requested") {
    std::mt19937 random(20261201);
    for (const double rate : {0.5, 7.0, 100.0}) {
        Limiter limiter(limits(rate, 5));
        double now = 0, passed = 0;
        std::exponential_distribution<double> gap(rate * 4);
        while (now < 1000 / rate) {
            now += gap(random);
            passed += request(limiter, now, "k") == 0;
        }
        CHECK(passed == Approx(rate * now + 5).epsilon(0.01));
    }
}

TEST_CASE("requests of a key in flight are limited by max_in_flight, and release frees a place") {
    Limiter limiter(limits(0, 1, 100, 2));
    Limiter::Ticket one, two, three;
    const auto key = hash_key("a");
    REQUIRE(limiter.retry_after_s(0, key, 1, one) == 0);
    limiter.consume(0, one, 1);
    REQUIRE(limiter.retry_after_s(0, key, 1, two) == 0);
    limiter.consume(0, two, 1);
    CHECK(limiter.retry_after_s(0, key, 1, three) > 0);
    CHECK(limiter.retry_after_s(0, hash_key("b"), 1, three) == 0);
    limiter.release(1, one);
    limiter.release(1, one);   // a second release has no effect
    CHECK(limiter.retry_after_s(1, key, 1, three) == 0);
    limiter.consume(1, three, 1);
    CHECK(limiter.retry_after_s(1, key, 1, one) > 0);
}

TEST_CASE("a million new keys in a second against 10,000 slots: 100 hot keys keep their limits") {
    constexpr double kRate = 5, kBurst = 10;
    Limiter limiter(limits(kRate, kBurst, 10'000));
    std::mt19937_64 random(20261201);
    std::vector<double> passed(100), asked(100);
    // A second before, in which the hot keys are known; then the flood, with hot keys 20 times over their
    // rate.
    double now = 0;
    std::uint64_t fresh = 0, fresh_passed = 0;
    const auto hot = [&] {
        const std::size_t one = random() % 100;
        ++asked[one];
        passed[one] += request(limiter, now, "hot" + std::to_string(one)) == 0;
    };
    for (int i = 0; i < 10'000; ++i) now += 1e-4, hot();
    for (int i = 0; i < 1'000'000; ++i) {
        now += 1e-6;
        fresh_passed += request(limiter, now, "new" + std::to_string(random())) == 0;
        ++fresh;
        if (i % 100 == 0) hot();
    }
    CHECK(now == Approx(2));
    for (int i = 0; i < 100; ++i) {
        INFO(i << " asked " << asked[i]);
        CHECK(passed[i] <= kRate * now + kBurst + 1);
    }
    CHECK(fresh_passed == fresh);   // none of them is over its own limit
    CHECK(limiter.tracked_keys() == 10'000);
    CHECK(limiter.untracked_requests() > 0);
    CHECK(limiter.memory_bytes() / 10'000 < 80);
}

TEST_CASE("at 10,000 keys under a skewed load every tracked key gets its rate, within 1%") {
    constexpr double kRate = 2, kBurst = 4;
    constexpr std::size_t kKeys = 10'000;
    Limiter limiter(limits(kRate, kBurst, kKeys));
    std::mt19937_64 random(7);
    // Asks fall off as 1 / (1 + number / 50): from 100 times a key's rate to under it.
    std::vector<double> upto, asked(kKeys), passed(kKeys);
    for (std::size_t i = 0; i < kKeys; ++i)
        upto.push_back((i ? upto.back() : 0) + 1.0 / (1.0 + double(i) / 50.0));
    std::uniform_real_distribution<double> pick(0, upto.back());
    const double a_second = 200 * upto.back();
    double now = 0;
    std::exponential_distribution<double> gap(a_second);
    while (now < 50) {
        now += gap(random);
        const auto one = static_cast<std::size_t>(std::lower_bound(upto.begin(), upto.end(), pick(random)) -
                                                  upto.begin());
        ++asked[one];
        passed[one] += request(limiter, now, std::to_string(one)) == 0;
    }
    const double allowed = kRate * now + kBurst;
    double over = 0, short_of = 0, got = 0;
    int keen = 0;   // keys that request far more than their rate
    for (std::size_t i = 0; i < kKeys; ++i) {
        over = std::max(over, passed[i] / allowed);
        if (asked[i] < 5 * allowed) continue;
        ++keen;
        got += passed[i];
        short_of = std::max(short_of, allowed - passed[i]);
    }
    CHECK(keen > 100);
    CHECK(over <= 1.001);
    CHECK(got / (keen * allowed) > 0.99);
    CHECK(short_of <= 0.01 * allowed + 1);   // and what the last one had not yet in full
    CHECK(limiter.lossy_evictions() == 0);
}

TEST_CASE("a key that is open is never forgotten, and the index survives any order of keys") {
    Limiter limiter(limits(1000, 1, 64));
    std::mt19937 random(3);
    Limiter::Ticket open;
    REQUIRE(limiter.retry_after_s(0, hash_key("open"), 1, open) == 0);
    limiter.consume(0, open, 1);
    double now = 0;
    for (int i = 0; i < 20'000; ++i) {
        now += 0.0005;
        const std::string key = std::to_string(random() % 500);
        Limiter::Ticket ticket;
        const double wait = limiter.retry_after_s(now, hash_key(key), 1, ticket);
        if (wait > 0 || ticket.slot == Limiter::kNone) continue;
        limiter.consume(now, ticket, 1);
        limiter.release(now, ticket);
        Limiter::Ticket again;   // the same slot, now without a token
        REQUIRE(limiter.retry_after_s(now, hash_key(key), 1, again) > 0);
        REQUIRE(again.slot == ticket.slot);
    }
    CHECK(limiter.tracked_keys() == 64);
    Limiter::Ticket still;
    limiter.retry_after_s(now, hash_key("open"), 1, still);
    CHECK(still.slot == open.slot);
}

TEST_CASE("saved buckets are restored as they were, and never beyond a full bucket") {
    Limiter limiter(limits(1, 10));
    for (int i = 0; i < 10; ++i) request(limiter, 100, "empty");
    for (int i = 0; i < 4; ++i) request(limiter, 100, "some");
    std::size_t from = 0;
    std::vector<Limiter::SavedBucket> all;
    do
        for (const auto& one : limiter.save(100, from, 1)) all.push_back(one);
    while (from != 0);
    REQUIRE(all.size() == 2);
    Limiter fresh(limits(1, 10));
    for (const auto& one : all) fresh.restore(5, one);   // another clock
    fresh.restore(5, {hash_key("broken"), 1e9});
    CHECK(request(fresh, 5, "empty") == Approx(1));
    for (int i = 0; i < 6; ++i) CHECK(request(fresh, 5, "some") == 0);
    CHECK(request(fresh, 5, "some") > 0);
    CHECK(request(fresh, 5, "broken") == Approx(1));
    CHECK(request(fresh, 6, "empty") == 0);
}
