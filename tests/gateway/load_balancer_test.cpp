// Which backend an attempt goes to.
#include "gateway/load_balancer.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace slatejunction::gateway {
namespace {

struct Balancer : testing::Test {
    Settings settings;
    OutlierDetector outliers{2};
    EndpointSet endpoints;
    SlowStart slow_start{settings};
    LoadBalancer balancer{settings, endpoints, outliers, slow_start};
    Random random{1};
    std::vector<std::string> tried;
    BackendRequirements needed;

    Balancer() {
        settings.zone = "z";
        settings.slow_start_min_capacity = 0.2;
        settings.slow_start_window_s = 10;
        settings.overload_multiple = 2;
        settings.overload_window_s = 4;
        needed.tried = &tried;
    }
    void list(const std::vector<std::string>& ids) {
        EndpointUpdate update;
        for (const std::string& id : ids) {
            Endpoint e;
            e.backend = id;
            e.zone = "z";
            update.endpoints.push_back(e);
        }
        endpoints.update(update, outliers, 100);
    }
    // How many of `count` choices each backend gets; "" is none.
    std::map<std::string, int> choose(int count, double now = 100) {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i) {
            const Backend* backend = balancer.choose(needed, now, random);
            ++counts[backend ? backend->id : ""];
        }
        return counts;
    }
    Backend& backend(const std::string& id) { return *endpoints.find(id); }
    void fail(const std::string& id) {
        AttemptEnded ended;
        ended.result = AttemptResult::error;
        for (int i = 0; i < 2; ++i) outliers.on_result(backend(id).health, 0, ended, 100);
    }
};

TEST_F(Balancer, HasNoneWithoutBackends) { EXPECT_EQ(balancer.choose(needed, 100, random), nullptr); }

TEST_F(Balancer, SpreadsOverEqualBackends) {
    list({"a", "b", "c", "d"});
    auto counts = choose(4000);
    for (const char* id : {"a", "b", "c", "d"}) EXPECT_NEAR(counts[id], 1000, 150) << id;
}

TEST_F(Balancer, DrawsByWeight) {
    list({"a", "b", "c", "d"});
    Endpoint heavy;
    heavy.backend = "a";
    heavy.zone = "z";
    heavy.capacity_hint = 1000;
    endpoints.update(EndpointUpdate{EndpointUpdateKind::delta, {heavy}}, outliers, 100);
    EXPECT_GT(choose(1000)["a"], 980);
}

TEST_F(Balancer, PrefersFewerInFlightThisZoneAndLowLatency) {
    list({"a", "b"});
    backend("a").in_flight = 2;
    EXPECT_LT(choose(1000)["a"], 100);
    backend("a").in_flight = 0;
    backend("a").zone = "y";
    EXPECT_LT(choose(1000)["a"], 100);
    backend("a").zone = "z";
    for (int i = 0; i < 20; ++i) balancer.on_answer(backend("a"), 1, 100);
    EXPECT_LT(choose(1000)["a"], 100);
}

TEST_F(Balancer, CountsSilenceAsLatency) {
    list({"a", "b"});
    backend("a").in_flight = backend("b").in_flight = 1;
    backend("a").health.silent_since_s = 95;
    backend("b").health.silent_since_s = 100;
    EXPECT_LT(choose(1000)["a"], 100);
}

TEST_F(Balancer, AvoidsOutliersRejectingAndTriedBackendsButUsesThemRatherThanNone) {
    list({"a", "b"});
    fail("a");
    EXPECT_LT(choose(1000)["a"], 100);   // only where b is not drawn
    backend("a").health = outliers.new_backend(100);
    tried = {"b"};
    EXPECT_LT(choose(1000)["b"], 100);
    tried = {"a", "b"};
    EXPECT_EQ(choose(100)[""], 0);
    tried.clear();
    AttemptEnded rejected;
    rejected.result = AttemptResult::rejected;
    for (int i = 0; i < 2; ++i) outliers.on_result(backend("b").health, 1, rejected, 100);
    needed.request_kind = 1;
    EXPECT_LT(choose(1000)["b"], 100);
    needed.request_kind = 0;
    EXPECT_GT(choose(1000)["b"], 300);
}

TEST_F(Balancer, ARejectingBackendIsAvoidedAtAnyCost) {
    list({"a", "b"});
    backend("a").in_flight = 1000;
    backend("a").health.silent_since_s = 100;
    AttemptEnded rejected;
    rejected.result = AttemptResult::rejected;
    for (int i = 0; i < 2; ++i) outliers.on_result(backend("b").health, 0, rejected, 100);
    EXPECT_LT(choose(1000)["b"], 100);   // only where a is not drawn
}

TEST_F(Balancer, ARequestThatIsNotIdempotentWeighsFailuresMore) {
    list({"a", "b"});
    AttemptEnded stale;
    stale.result = AttemptResult::reset;
    stale.stale_connection = true;
    outliers.on_result(backend("a").health, 0, stale, 100);   // estimate 0.03: cost 1.15 or 1.6
    backend("b").in_flight = 0;
    const int idempotent = choose(2000)["a"];
    needed.idempotent = false;
    const int not_idempotent = choose(2000)["a"];
    EXPECT_GT(idempotent, 60);
    EXPECT_LT(not_idempotent, 2000 / 32 + 60);
    EXPECT_LE(not_idempotent, idempotent);
}

TEST_F(Balancer, StaysInTheScopeOfTheAnchor) {
    list({"a", "b", "c", "d"});
    for (const char* id : {"c", "d"}) {
        backend(id).zone = "y";
        backend(id).cell = 7;
    }
    backend("d").cell = 8;
    needed.scope = IdempotencyScope::zone;
    needed.scope_anchor = &backend("c");
    auto counts = choose(200);
    EXPECT_EQ(counts["c"] + counts["d"], 200);
    EXPECT_GT(counts["d"], 0);
    needed.scope = IdempotencyScope::cell;
    EXPECT_EQ(choose(200)["c"], 200);
    needed.scope = IdempotencyScope::all;
    EXPECT_GT(choose(200)["a"], 0);
}

TEST_F(Balancer, StaysInTheSubset) {
    list({"a", "b", "c"});
    Endpoint member;
    member.backend = "b";
    member.zone = "z";
    member.subsets = 1;
    endpoints.update(EndpointUpdate{EndpointUpdateKind::delta, {member}}, outliers, 100);
    needed.subset = subset_index(1);
    EXPECT_EQ(choose(100)["b"], 100);
    for (const char* id : {"a", "b", "c"}) endpoints.on_answer(backend(id));
    fail("b");
    EXPECT_EQ(choose(100)["b"], 100);
}

TEST_F(Balancer, AWarmingBackendGetsItsProbabilityOfItsDrawsAndNoRetry) {
    list({"a", "b"});
    Endpoint started;
    started.backend = "a";
    started.zone = "z";
    started.started_at_s = 100;
    endpoints.update(EndpointUpdate{EndpointUpdateKind::delta, {started}}, outliers, 100);
    const double probability = slow_start.admission_probability(100, 100);
    EXPECT_NEAR(choose(20000)["a"], 20000 * 0.5 * probability, 300);
    endpoints.on_answer(backend("a"));
    EXPECT_NEAR(choose(20000)["a"], 20000 * 0.5 * probability, 300);
    tried = {"b"};
    EXPECT_EQ(choose(1000)["a"], 0);
    tried.clear();
    EXPECT_GT(choose(1000, 110)["a"], 400);
}

TEST_F(Balancer, InScopeAWarmingBackendIsConsideredByItsProbability) {
    list({"a", "b"});
    Endpoint started;
    started.backend = "a";
    started.zone = "z";
    started.started_at_s = 100;
    endpoints.update(EndpointUpdate{EndpointUpdateKind::delta, {started}}, outliers, 100);
    needed.scope = IdempotencyScope::zone;
    needed.scope_anchor = &backend("a");
    tried = {"a"};
    endpoints.find("b")->zone = "y";
    auto counts = choose(20000);
    EXPECT_EQ(counts["b"], 0);
    EXPECT_NEAR(counts["a"], 20000 * slow_start.admission_probability(100, 100), 300);
}

TEST_F(Balancer, RecentRespondersJoinDrawsWithoutARecentAnswer) {
    std::vector<std::string> ids;
    for (int i = 0; i < 200; ++i) ids.push_back("b" + std::to_string(100 + i));
    list(ids);
    balancer.on_answer(backend("b150"), 0.001, 100);
    endpoints.on_answer(backend("b150"));
    for (const std::string& id : ids) backend(id).latency_ratio = 0.1;
    backend("b150").latency_ratio = 0.001;
    EXPECT_GT(choose(100, 101)["b150"], 90);
}

TEST_F(Balancer, MeansMoveByTheWeightOfOneAnswer) {
    list({"a"});
    EXPECT_DOUBLE_EQ(balancer.mean_latency_ratio(), 0.1);
    balancer.on_answer(backend("a"), 1.1, 100);
    EXPECT_NEAR(balancer.mean_latency_ratio(), 0.12, 1e-12);
    EXPECT_NEAR(backend("a").latency_ratio, 0.1 + 0.15, 1e-12);
    balancer.on_answer(backend("a"), 1.1, 110);   // decayed to the fleet's by exp(-1) meanwhile
    const double decayed = 0.12 + (0.25 - 0.12) * std::exp(-1);
    EXPECT_NEAR(backend("a").latency_ratio, decayed + 0.15 * (1.1 - decayed), 1e-12);
}

}   // namespace
}   // namespace slatejunction::gateway
