// Rate limits by key: what is admitted over time, floods of new keys, and restored buckets.
#include "rules/limiter.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <string>

using slatejunction::rules::hash_key;
using slatejunction::rules::Limiter;

namespace {

Limiter::Limits limits(double rate, double burst, std::size_t max_keys = 1000,
                       std::uint32_t max_in_flight = 0) {
    return {rate, burst, max_in_flight, max_keys};
}

// Sends one request that ends at once. Returns 0 if it is admitted, else the time to wait (s).
double request(Limiter& limiter, double now, const std::string& key, double count = 1) {
    Limiter::Ticket ticket;
    const double wait = limiter.retry_after_s(now, hash_key(key), count, ticket);
    if (wait == 0) limiter.consume(now, ticket, count), limiter.release(now, ticket);
    return wait;
}

}   // namespace

TEST_CASE("a key gets its burst at once, then its rate, and Retry-After is when a token is available") {
    Limiter limiter(limits(2, 3));
    for (int i = 0; i < 3; ++i) CHECK(request(limiter, 10, "a") == 0);
    const double wait = request(limiter, 10, "a");
    CHECK(wait == Approx(0.5));
    CHECK(request(limiter, 10 + 0.9 * wait, "a") > 0);
    CHECK(request(limiter, 10 + wait, "a") == 0);
    CHECK(request(limiter, 10 + wait, "a") > 0);
    CHECK(request(limiter, 10, "b") == 0);          // each key has its own bucket
    CHECK(request(limiter, 1000, "a", 100) == 0);   // a count over the burst consumes the burst
    CHECK(request(limiter, 1000, "a") == Approx(0.5));
    // retry_after_s() consumes nothing.
    Limiter::Ticket ticket;
    for (int i = 0; i < 5; ++i) CHECK(limiter.retry_after_s(10, hash_key("c"), 1, ticket) == 0);
}

TEST_CASE("over a long time exactly the rate is admitted, however much is requested") {
    std::mt19937 random(20261201);
    for (const double rate : {0.5, 7.0, 100.0}) {
        Limiter limiter(limits(rate, 5));
        double now = 0, admitted = 0;
        std::exponential_distribution<double> gap(rate * 4);
        while (now < 1000 / rate) {
            now += gap(random);
            admitted += request(limiter, now, "k") == 0;
        }
        CHECK(admitted == Approx(rate * now + 5).epsilon(0.01));
    }
}

TEST_CASE("requests of a key in flight are limited by max_in_flight, and release() admits another") {
    Limiter limiter(limits(0, 1, 100, 2));
    Limiter::Ticket first, second, third;
    const auto key = hash_key("a");
    REQUIRE(limiter.retry_after_s(0, key, 1, first) == 0);
    limiter.consume(0, first, 1);
    REQUIRE(limiter.retry_after_s(0, key, 1, second) == 0);
    limiter.consume(0, second, 1);
    CHECK(limiter.retry_after_s(0, key, 1, third) > 0);
    CHECK(limiter.retry_after_s(0, hash_key("b"), 1, third) == 0);
    limiter.release(1, first);
    limiter.release(1, first);   // a second release has no effect
    CHECK(limiter.retry_after_s(1, key, 1, third) == 0);
    limiter.consume(1, third, 1);
    CHECK(limiter.retry_after_s(1, key, 1, first) > 0);
}

TEST_CASE("a flood of a million new keys in a second lifts no limit of 100 hot keys in 10,000 slots") {
    constexpr double kRate = 5, kBurst = 10;
    Limiter limiter(limits(kRate, kBurst, 10'000));
    std::mt19937_64 random(20261201);
    std::vector<double> admitted(100), requested(100);
    // One second with requests of the hot keys only, so that they are tracked. Then the flood, while the
    // hot keys request 20 times their rate.
    double now = 0;
    std::uint64_t new_keys = 0, new_keys_admitted = 0;
    const auto request_hot_key = [&] {
        const std::size_t key = random() % 100;
        ++requested[key];
        admitted[key] += request(limiter, now, "hot" + std::to_string(key)) == 0;
    };
    for (int i = 0; i < 10'000; ++i) now += 1e-4, request_hot_key();
    for (int i = 0; i < 1'000'000; ++i) {
        now += 1e-6;
        new_keys_admitted += request(limiter, now, "new" + std::to_string(random())) == 0;
        ++new_keys;
        if (i % 100 == 0) request_hot_key();
    }
    CHECK(now == Approx(2));
    for (int i = 0; i < 100; ++i) {
        INFO("hot key " << i << ": " << requested[i] << " requests");
        CHECK(admitted[i] <= kRate * now + kBurst + 1);
    }
    CHECK(new_keys_admitted == new_keys);   // no new key exceeds its own limit
    CHECK(limiter.tracked_keys() == 10'000);
    CHECK(limiter.untracked_requests() > 0);
    CHECK(limiter.memory_bytes() / 10'000 < 80);
}

TEST_CASE("at 10,000 keys under a skewed load every tracked key gets its rate, within 1%") {
    constexpr double kRate = 2, kBurst = 4;
    constexpr std::size_t kKeys = 10'000;
    Limiter limiter(limits(kRate, kBurst, kKeys));
    std::mt19937_64 random(7);
    // The request rates of the keys are proportional to 1 / (1 + key / 50): from 100 times the limit down
    // to less than it.
    std::vector<double> cumulative_weights, requested(kKeys), admitted(kKeys);
    for (std::size_t i = 0; i < kKeys; ++i)
        cumulative_weights.push_back((i ? cumulative_weights.back() : 0) + 1.0 / (1.0 + double(i) / 50.0));
    std::uniform_real_distribution<double> pick(0, cumulative_weights.back());
    const double requests_per_s = 200 * cumulative_weights.back();
    double now = 0;
    std::exponential_distribution<double> gap(requests_per_s);
    while (now < 50) {
        now += gap(random);
        const auto key = static_cast<std::size_t>(
            std::lower_bound(cumulative_weights.begin(), cumulative_weights.end(), pick(random)) -
            cumulative_weights.begin());
        ++requested[key];
        admitted[key] += request(limiter, now, std::to_string(key)) == 0;
    }
    const double allowed = kRate * now + kBurst;
    double max_ratio = 0, max_shortfall = 0, total_admitted = 0;
    int saturated_keys = 0;   // keys that request far more than their rate
    for (std::size_t i = 0; i < kKeys; ++i) {
        max_ratio = std::max(max_ratio, admitted[i] / allowed);
        if (requested[i] < 5 * allowed) continue;
        ++saturated_keys;
        total_admitted += admitted[i];
        max_shortfall = std::max(max_shortfall, allowed - admitted[i]);
    }
    CHECK(saturated_keys > 100);
    CHECK(max_ratio <= 1.001);
    CHECK(total_admitted / (saturated_keys * allowed) > 0.99);
    CHECK(max_shortfall <= 0.01 * allowed + 1);   // 1: the token that is not complete yet
    CHECK(limiter.lossy_evictions() == 0);
}

TEST_CASE("a key with a request in flight is never evicted, and lookups work after any evictions") {
    Limiter limiter(limits(1000, 1, 64));
    std::mt19937 random(3);
    Limiter::Ticket in_flight;
    REQUIRE(limiter.retry_after_s(0, hash_key("in flight"), 1, in_flight) == 0);
    limiter.consume(0, in_flight, 1);
    double now = 0;
    for (int i = 0; i < 20'000; ++i) {
        now += 0.0005;
        const std::string key = std::to_string(random() % 500);
        Limiter::Ticket ticket;
        const double wait = limiter.retry_after_s(now, hash_key(key), 1, ticket);
        if (wait > 0 || ticket.slot == Limiter::kNone) continue;
        limiter.consume(now, ticket, 1);
        limiter.release(now, ticket);
        Limiter::Ticket again;   // the same slot, whose bucket is empty now
        REQUIRE(limiter.retry_after_s(now, hash_key(key), 1, again) > 0);
        REQUIRE(again.slot == ticket.slot);
    }
    CHECK(limiter.tracked_keys() == 64);
    Limiter::Ticket same_key;
    limiter.retry_after_s(now, hash_key("in flight"), 1, same_key);
    CHECK(same_key.slot == in_flight.slot);
}

TEST_CASE("buckets are restored with the saved level, and a level below empty restores an empty bucket") {
    Limiter limiter(limits(1, 10));
    for (int i = 0; i < 10; ++i) request(limiter, 100, "empty");
    for (int i = 0; i < 4; ++i) request(limiter, 100, "some");
    std::size_t from = 0;
    std::vector<Limiter::SavedBucket> saved;
    do
        for (const auto& bucket : limiter.save(100, from, 1)) saved.push_back(bucket);
    while (from != 0);
    REQUIRE(saved.size() == 2);
    Limiter restored(limits(1, 10));
    for (const auto& bucket : saved) restored.restore(5, bucket);   // another time on the clock
    restored.restore(5, {hash_key("broken"), 1e9});
    CHECK(request(restored, 5, "empty") == Approx(1));
    for (int i = 0; i < 6; ++i) CHECK(request(restored, 5, "some") == 0);
    CHECK(request(restored, 5, "some") > 0);
    CHECK(request(restored, 5, "broken") == Approx(1));
    CHECK(request(restored, 6, "empty") == 0);
}
