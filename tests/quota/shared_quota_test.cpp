// Tests of SharedQuota: the error bound in seeded random fault scenarios and in all short schedules, and
// single cases.
#include <catch2/catch.hpp>

#include "quota/exhaustive_search.hpp"
#include "quota/simulation.hpp"

using namespace slatejunction;
using quota::SharedQuota;
using Fault = quota_simulation::Fault;

namespace {

quota::Settings make_settings(unsigned ingresses, quota::PlanQuota plan) {
    quota::Settings settings;
    settings.ingress_count = ingresses;
    settings.plans = {std::move(plan)};
    return settings;
}

// Makes requests of one unit until one is rejected, at most 1000, and returns how many were admitted.
int drain(SharedQuota& shared_quota, double now, std::uint64_t customer, quota::IngressSet ingresses) {
    int admitted = 0;
    for (; admitted < 1000 && shared_quota.retry_after_s(now, customer, 0, ingresses, 1) == 0; ++admitted) {
        shared_quota.consume(now, customer, 0, ingresses, 1);
        shared_quota.release(customer);
    }
    return admitted;
}

// A counter that replies at once to any number of ingresses. Its entries never expire.
struct Counter {
    std::map<std::string, double> entries;
    std::uint64_t calls = 0;
    void serve(double now, std::vector<SharedQuota*> ingresses) {
        for (bool more = true; more;) {
            more = false;
            for (SharedQuota* ingress : ingresses)
                for (const quota::CounterCall& call : ingress->take_calls()) {
                    ++calls;
                    more = true;
                    ingress->on_reply(now, call.id, entries[call.name] += call.amount);
                }
        }
    }
};

}   // namespace

TEST_CASE("random fault scenarios never exceed the error bound") {
    double largest_ratio = 0;
    std::uint64_t admitted = 0;
    for (std::uint64_t seed = 1; seed <= 3'000; ++seed) {
        const auto result =
            quota_simulation::Simulation(quota_simulation::random_scenario(seed), seed).run();
        INFO("seed " << seed << ": " << result.worst_excess << " units beyond the quota, bound "
                     << result.bound);
        REQUIRE_FALSE(result.violated());
        largest_ratio = std::max(largest_ratio, result.worst_excess / result.bound);
        admitted += result.admitted;
    }
    CHECK(admitted > 50'000);
    CHECK(largest_ratio > 0.6);   // a bound that is never approached would be too loose to test anything
}

TEST_CASE("the simulation reports a violation if the error bound is too small") {
    int violations = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        auto result = quota_simulation::Simulation(quota_simulation::random_scenario(seed), seed).run();
        result.bound *= 0.25;
        violations += result.violated();
    }
    CHECK(violations > 20);
}

TEST_CASE("no schedule of up to five steps exceeds the error bound") {
    quota::Settings settings = make_settings(2, {"p", 2, 3, 0});
    settings.max_unreported_units = 2;
    settings.local_fraction = 0.3;
    quota_simulation::ExhaustiveSearch search(5, settings);
    const auto violation = search.find_violation();
    INFO(violation.value_or(""));
    CHECK_FALSE(violation);
    CHECK(search.schedules == 8 + 64 + 512 + 4096 + 32768);
}

TEST_CASE("the same scenario and seed give the same calls and decisions") {
    const auto run = [] {
        return quota_simulation::Simulation(quota_simulation::random_scenario(77), 77).run();
    };
    const auto a = run(), b = run();
    CHECK(a.calls == b.calls);
    CHECK(a.admitted == b.admitted);
    CHECK(a.worst_excess == b.worst_excess);
}

TEST_CASE("a customer of a single ingress has its whole bucket there, and no calls are made") {
    SharedQuota shared_quota(make_settings(3, {"p", 2, 5, 0}), 1);
    CHECK(drain(shared_quota, 100, 9, {0, 1}) == 5);
    CHECK(shared_quota.retry_after_s(100, 9, 0, {0, 1}, 1) == Approx(0.5));
    CHECK(drain(shared_quota, 101, 9, {0, 1}) == 2);
    CHECK(shared_quota.take_calls().empty());
}

TEST_CASE("usage at one ingress limits another after its first reply") {
    const quota::Settings first = make_settings(2, {"p", 10, 20, 0});
    quota::Settings second = first;
    second.ingress_index = 1;
    SharedQuota a(first, 1), b(second, 2);
    Counter counter;
    a.on_timer(1000);
    b.on_timer(1000);
    counter.serve(1000, {&a, &b});
    int admitted = 0;
    for (int i = 0; i < 200; ++i) {
        if (a.retry_after_s(1000.1, 5, 0, {0, 2}, 1) > 0) continue;
        a.consume(1000.1, 5, 0, {0, 2}, 1);
        ++admitted;
        counter.serve(1000.1, {&a, &b});
    }
    CHECK(admitted >= 14);   // the shared bucket and a's local bucket
    CHECK(admitted <= 18);
    admitted = 0;
    for (int i = 0; i < 200; ++i) {
        if (b.retry_after_s(1000.1, 5, 0, {0, 2}, 1) > 0) continue;
        b.consume(1000.1, 5, 0, {0, 2}, 1);
        ++admitted;
        counter.serve(1000.1, {&a, &b});
    }
    CHECK(admitted <= 5);   // b's local bucket and one unreported unit
    CHECK(b.level(5) < 1);
}

TEST_CASE("a counter that lost its state gives no customer a full bucket") {
    const quota::Settings first = make_settings(2, {"p", 1, 20, 0});
    quota::Settings second = first;
    second.ingress_index = 1;
    SharedQuota a(first, 1), b(second, 2);
    Counter counter;
    double now = 1000;
    const auto serve = [&] {
        for (SharedQuota* ingress : {&a, &b})
            if (ingress->next_deadline() <= now) ingress->on_timer(now);
        counter.serve(now, {&a, &b});
    };
    serve();
    for (std::uint64_t customer = 1; customer <= 50; ++customer)
        for (int i = 0; i < 100; ++i, serve()) drain(i % 2 ? a : b, now, customer, {0, 2});
    now += 0.5;
    counter.entries.clear();
    int admitted = 0;
    for (std::uint64_t customer = 1; customer <= 50; ++customer)
        for (int i = 0; i < 40; ++i, serve()) admitted += drain(i % 2 ? a : b, now, customer, {0, 2});
    CHECK(a.counter_losses() + b.counter_losses() >= 1);
    CHECK(admitted <= 50 * 2);   // half a second of the rate, with rounding
}

TEST_CASE("implausible totals count as failed calls, and repeated ones make the counter unreachable") {
    SharedQuota shared_quota(make_settings(2, {"p", 1, 4, 0}), 1);
    shared_quota.on_timer(1000);
    for (const double total : {-5.0, 1e12, std::nan("")}) {
        const auto calls = shared_quota.take_calls();
        for (const auto& call : calls) shared_quota.on_reply(1000, call.id, total);
        for (std::uint64_t customer = 1; customer < 4; ++customer)
            drain(shared_quota, 1000, customer, {0, 2});
    }
    for (const auto& call : shared_quota.take_calls()) shared_quota.on_reply(1000, call.id, std::nan(""));
    CHECK(shared_quota.unreachable(0));
    CHECK(drain(shared_quota, 1000, 50, {0, 2}) <= 4);
    shared_quota.on_timer(1001);
    for (const auto& call : shared_quota.take_calls()) shared_quota.on_reply(1001, call.id, 1);
    CHECK_FALSE(shared_quota.unreachable(0));
}

TEST_CASE("a flood of new customers stays within max_customers and needs few calls") {
    quota::Settings settings = make_settings(2, {"p", 1, 4, 0});
    settings.max_customers = 1'000;
    SharedQuota shared_quota(settings, 1);
    Counter counter;
    for (std::uint64_t customer = 1; customer <= 100'000; ++customer) {
        const double now = 1000 + static_cast<double>(customer) * 0.001;
        REQUIRE(shared_quota.retry_after_s(now, customer, 0, {0, 2}, 1) == 0);
        shared_quota.consume(now, customer, 0, {0, 2}, 1);
        shared_quota.release(customer);
        if (shared_quota.next_deadline() <= now) shared_quota.on_timer(now);
        counter.serve(now, {&shared_quota});
    }
    CHECK(shared_quota.customers() <= 1'000);
    CHECK(counter.calls < 1'000);   // the local buckets suffice
}

TEST_CASE("the limit of attempts in flight is split evenly over the ingresses") {
    SharedQuota shared_quota(make_settings(3, {"p", 0, 0, 6}), 1);
    for (int i = 0; i < 2; ++i) {
        CHECK(shared_quota.retry_after_s(10, 4, 0, {0, 3}, 1) == 0);
        shared_quota.consume(10, 4, 0, {0, 3}, 1);
    }
    CHECK(shared_quota.retry_after_s(10, 4, 0, {0, 3}, 1) > 0);
    shared_quota.release(4);
    CHECK(shared_quota.retry_after_s(10, 4, 0, {0, 3}, 1) == 0);
}

TEST_CASE("invalid settings are rejected, and an unknown plan has no quota") {
    quota::Settings settings = make_settings(12, {"p", 1, 4, 0});
    CHECK_THROWS_AS(SharedQuota(settings, 1), std::invalid_argument);
    settings.ingress_count = 3;
    settings.ingress_index = 3;
    CHECK_THROWS_AS(SharedQuota(settings, 1), std::invalid_argument);
    settings.ingress_index = 0;
    SharedQuota shared_quota(settings, 1);
    CHECK(shared_quota.retry_after_s(1, 4, 7, {0, 3}, 1) == 0);
    shared_quota.consume(1, 4, 7, {0, 3}, 1);
    CHECK(shared_quota.customers() == 0);
}

TEST_CASE("the error bound grows with unreported units, ingresses and faults") {
    quota::Settings settings = make_settings(3, {"p", 1.8, 8, 0});
    const auto bound = quota::error_bound(settings, settings.plans[0], 3, 1);
    CHECK(bound.counter_unreachable > bound.healthy);
    CHECK(bound.partition > bound.healthy);
    CHECK(bound.counter_state_lost > bound.healthy);
    CHECK(bound.counter_state_rolled_back > bound.counter_state_lost);
    settings.max_unreported_units *= 2;
    CHECK(quota::error_bound(settings, settings.plans[0], 3, 1).healthy == Approx(bound.healthy + 12));
    CHECK(quota::error_bound(settings, settings.plans[0], 1, 0).healthy == 0);
}
