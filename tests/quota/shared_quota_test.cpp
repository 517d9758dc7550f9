// Quotas by a shared counter: the error bound over random and over all small schedules of faults, and
// single cases.
#include <catch2/catch.hpp>

#include "quota/exhaustive_search.hpp"
#include "quota/simulation.hpp"

using namespace slatejunction;
using quota::SharedQuota;
using Fault = quota_simulation::Fault;

namespace {

quota::Settings settings(unsigned ingresses, quota::PlanQuota plan) {
    quota::Settings made;
    made.ingress_count = ingresses;
    made.plans = {std::move(plan)};
    return made;
}

// Requests until one is rejected; returns how many were admitted.
int drain(SharedQuota& shared_quota, double now, std::uint64_t customer, quota::IngressSet ingresses) {
    int passed = 0;
    for (; passed < 1000 && shared_quota.retry_after_s(now, customer, 0, ingresses, 1) == 0; ++passed) {
        shared_quota.consume(now, customer, 0, ingresses, 1);
        shared_quota.release(customer);
    }
    return passed;
}

// A counter that replies at once to any number of ingresses.
struct Counter {
    std::map<std::string, double> names;
    std::uint64_t calls = 0;
    void serve(double now, std::vector<SharedQuota*> shared_quotas) {
        for (bool more = true; more;) {
            more = false;
            for (SharedQuota* shared_quota : shared_quotas)
                for (const quota::CounterCall& call : shared_quota->take_calls()) {
                    ++calls;
                    more = true;
                    shared_quota->on_reply(now, call.id, names[call.name] += call.amount);
                }
        }
    }
};

}   // namespace

TEST_CASE("random schedules of faults never exceed the error bound") {
    double closest = 0;
    std::uint64_t passed = 0;
    for (std::uint64_t seed = 1; seed <= 3'000; ++seed) {
        const auto result =
            quota_simulation::Simulation(quota_simulation::random_scenario(seed), seed).run();
        INFO("seed " << seed << ": " << result.worst_excess << " units over, stated " << result.bound);
        REQUIRE_FALSE(result.violated());
        closest = std::max(closest, result.worst_excess / result.bound);
        passed += result.admitted;
    }
    CHECK(passed > 50'000);
    CHECK(closest > 0.6);   // the statement is no idle one
}

TEST_CASE("the model reports a breach: an error bound that is too small is exceeded") {
    int breaches = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        auto result = quota_simulation::Simulation(quota_simulation::random_scenario(seed), seed).run();
        result.bound *= 0.25;
        breaches += result.violated();
    }
    CHECK(breaches > 20);
}

TEST_CASE("all schedules of up to five steps keep the error bound") {
    quota::Settings one = settings(2, {"p", 2, 3, 0});
    one.max_unreported_units = 2;
    one.local_fraction = 0.3;
    quota_simulation::ExhaustiveSearch search(5, one);
    const auto found = search.find_violation();
    INFO(found.value_or(""));
    CHECK_FALSE(found);
    CHECK(search.schedules == 8 + 64 + 512 + 4096 + 32768);
}

TEST_CASE("equal facts give equal calls") {
    const auto run = [] {
        return quota_simulation::Simulation(quota_simulation::random_scenario(77), 77).run();
    };
    const auto a = run(), b = run();
    CHECK(a.calls == b.calls);
    CHECK(a.admitted == b.admitted);
    CHECK(a.worst_excess == b.worst_excess);
}

TEST_CASE("a customer with one ingress has its whole bucket there, without a call") {
    SharedQuota shared_quota(settings(3, {"p", 2, 5, 0}), 1);
    CHECK(drain(shared_quota, 100, 9, {0, 1}) == 5);
    CHECK(shared_quota.retry_after_s(100, 9, 0, {0, 1}, 1) == Approx(0.5));
    CHECK(drain(shared_quota, 101, 9, {0, 1}) == 2);
    CHECK(shared_quota.take_calls().empty());
}

TEST_CASE("what one ingress has spent another sees in its first answer") {
    const quota::Settings both = settings(2, {"p", 10, 20, 0});
    quota::Settings second = both;
    second.ingress_index = 1;
    SharedQuota a(both, 1), b(second, 2);
    Counter counter;
    a.on_timer(1000);
    b.on_timer(1000);
    counter.serve(1000, {&a, &b});
    int passed = 0;
    for (int i = 0; i < 200; ++i) {
        if (a.retry_after_s(1000.1, 5, 0, {0, 2}, 1) > 0) continue;
        a.consume(1000.1, 5, 0, {0, 2}, 1);
        ++passed;
        counter.serve(1000.1, {&a, &b});
    }
    CHECK(passed >= 14);   // the counter's part of the burst, and a's own
    CHECK(passed <= 18);
    passed = 0;
    for (int i = 0; i < 200; ++i) {
        if (b.retry_after_s(1000.1, 5, 0, {0, 2}, 1) > 0) continue;
        b.consume(1000.1, 5, 0, {0, 2}, 1);
        ++passed;
        counter.serve(1000.1, {&a, &b});
    }
    CHECK(passed <= 5);   // its local bucket, and one unreported unit
    CHECK(b.level(5) < 1);
}

TEST_CASE("a counter that lost its state gives no customer a full bucket") {
    const quota::Settings both = settings(2, {"p", 1, 20, 0});
    quota::Settings second = both;
    second.ingress_index = 1;
    SharedQuota a(both, 1), b(second, 2);
    Counter counter;
    double now = 1000;
    const auto serve = [&] {
        for (SharedQuota* one : {&a, &b})
            if (one->next_deadline() <= now) one->on_timer(now);
        counter.serve(now, {&a, &b});
    };
    serve();
    for (std::uint64_t customer = 1; customer <= 50; ++customer)
        for (int i = 0; i < 100; ++i, serve()) drain(i % 2 ? a : b, now, customer, {0, 2});
    now += 0.5;
    counter.names.clear();
    int passed = 0;
    for (std::uint64_t customer = 1; customer <= 50; ++customer)
        for (int i = 0; i < 40; ++i, serve()) passed += drain(i % 2 ? a : b, now, customer, {0, 2});
    CHECK(a.counter_losses() + b.counter_losses() >= 1);
    CHECK(passed <= 50 * 2);   // half a second of the rate, and rounding
}

TEST_CASE("implausible totals are no replies, and many of them make the counter unreachable") {
    SharedQuota shared_quota(settings(2, {"p", 1, 4, 0}), 1);
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

TEST_CASE("customers that request once take no lasting memory") {
    quota::Settings one = settings(2, {"p", 1, 4, 0});
    one.max_customers = 1'000;
    SharedQuota shared_quota(one, 1);
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
    CHECK(counter.calls < 1'000);   // the free part does for them
}

TEST_CASE("the limit of attempts in flight is split evenly") {
    SharedQuota shared_quota(settings(3, {"p", 0, 0, 6}), 1);
    for (int i = 0; i < 2; ++i) {
        CHECK(shared_quota.retry_after_s(10, 4, 0, {0, 3}, 1) == 0);
        shared_quota.consume(10, 4, 0, {0, 3}, 1);
    }
    CHECK(shared_quota.retry_after_s(10, 4, 0, {0, 3}, 1) > 0);
    shared_quota.release(4);
    CHECK(shared_quota.retry_after_s(10, 4, 0, {0, 3}, 1) == 0);
}

TEST_CASE("impossible settings are rejected, and an unknown plan has no quota") {
    quota::Settings one = settings(12, {"p", 1, 4, 0});
    CHECK_THROWS_AS(SharedQuota(one, 1), std::invalid_argument);
    one.ingress_count = 3;
    one.ingress_index = 3;
    CHECK_THROWS_AS(SharedQuota(one, 1), std::invalid_argument);
    one.ingress_index = 0;
    SharedQuota shared_quota(one, 1);
    CHECK(shared_quota.retry_after_s(1, 4, 7, {0, 3}, 1) == 0);
    shared_quota.consume(1, 4, 7, {0, 3}, 1);
    CHECK(shared_quota.customers() == 0);
}

TEST_CASE("the error bound grows with unreported units, ingresses and faults") {
    quota::Settings one = settings(3, {"p", 1.8, 8, 0});
    const auto bound = quota::error_bound(one, one.plans[0], 3, 1);
    CHECK(bound.counter_unreachable > bound.healthy);
    CHECK(bound.partition > bound.healthy);
    CHECK(bound.counter_state_lost > bound.healthy);
    CHECK(bound.counter_state_rolled_back > bound.counter_state_lost);
    one.max_unreported_units *= 2;
    CHECK(quota::error_bound(one, one.plans[0], 3, 1).healthy == Approx(bound.healthy + 12));
    CHECK(quota::error_bound(one, one.plans[0], 1, 0).healthy == 0);
}
