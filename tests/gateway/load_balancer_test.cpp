// The choice of a backend for an attempt.
#include "gateway/load_balancer.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace slatejunction::gateway {
namespace {

struct LoadBalancerTest : testing::Test {
    Settings settings;
    OutlierDetector outliers{2};
    EndpointSet endpoints;
    SlowStart slow_start{settings};
    LoadBalancer balancer{settings, endpoints, outliers, slow_start};
    Random random{1};
    std::vector<std::string> tried;
    BackendRequirements requirements;

    LoadBalancerTest() {
        settings.zone = "z";
        settings.slow_start_min_capacity = 0.2;
        settings.slow_start_window_s = 10;
        settings.overload_multiple = 2;
        settings.overload_window_s = 4;
        requirements.tried = &tried;
    }
    void list_backends(const std::vector<std::string>& ids) {
        EndpointUpdate update;
        for (const std::string& id : ids) {
            Endpoint endpoint;
            endpoint.backend = id;
            endpoint.zone = "z";
            update.endpoints.push_back(endpoint);
        }
        endpoints.update(update, outliers, 100);
    }
    // The number of choices, of `count`, that each backend gets; "" counts choices without a backend.
    std::map<std::string, int> choose(int count, double now = 100) {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i) {
            const Backend* backend = balancer.choose(requirements, now, random);
            ++counts[backend ? backend->id : ""];
        }
        return counts;
    }
    Backend& backend(const std::string& id) { return *endpoints.find(id); }
    void make_outlier(const std::string& id) {
        AttemptEnded ended;
        ended.result = AttemptResult::error;
        for (int i = 0; i < 2; ++i) outliers.on_result(backend(id).health, 0, ended, 100);
    }
};

TEST_F(LoadBalancerTest, ChoosesNoneWithoutBackends) {
    EXPECT_EQ(balancer.choose(requirements, 100, random), nullptr);
}

TEST_F(LoadBalancerTest, DistributesEvenlyOverEqualBackends) {
    list_backends({"a", "b", "c", "d"});
    auto counts = choose(4000);
    for (const char* id : {"a", "b", "c", "d"}) EXPECT_NEAR(counts[id], 1000, 150) << id;
}

TEST_F(LoadBalancerTest, DrawsByWeight) {
    list_backends({"a", "b", "c", "d"});
    Endpoint heavy;
    heavy.backend = "a";
    heavy.zone = "z";
    heavy.capacity_hint = 1000;
    endpoints.update(EndpointUpdate{EndpointUpdateKind::delta, {heavy}}, outliers, 100);
    EXPECT_GT(choose(1000)["a"], 980);
}

TEST_F(LoadBalancerTest, PrefersFewAttemptsInFlightTheOwnZoneAndLowLatency) {
    list_backends({"a", "b"});
    backend("a").in_flight = 2;
    EXPECT_LT(choose(1000)["a"], 100);
    backend("a").in_flight = 0;
    backend("a").zone = "y";
    EXPECT_LT(choose(1000)["a"], 100);
    backend("a").zone = "z";
    for (int i = 0; i < 20; ++i) balancer.on_answer(backend("a"), 1, 100);
    EXPECT_LT(choose(1000)["a"], 100);
}

TEST_F(LoadBalancerTest, CountsSilenceAsLatency) {
    list_backends({"a", "b"});
    backend("a").in_flight = backend("b").in_flight = 1;
    backend("a").health.silent_since_s = 95;
    backend("b").health.silent_since_s = 100;
    EXPECT_LT(choose(1000)["a"], 100);
}

TEST_F(LoadBalancerTest, AvoidsOutliersRejectingAndTriedBackendsUnlessThereAreNoOthers) {
    list_backends({"a", "b"});
    make_outlier("a");
    EXPECT_LT(choose(1000)["a"], 100);   // only if b is not drawn
    backend("a").health = outliers.new_backend(100);
    tried = {"b"};
    EXPECT_LT(choose(1000)["b"], 100);
    tried = {"a", "b"};
    EXPECT_EQ(choose(100)[""], 0);
    tried.clear();
    AttemptEnded rejected;
    rejected.result = AttemptResult::rejected;
    for (int i = 0; i < 2; ++i) outliers.on_result(backend("b").health, 1, rejected, 100);
    requirements.request_kind = 1;
    EXPECT_LT(choose(1000)["b"], 100);
    requirements.request_kind = 0;
    EXPECT_GT(choose(1000)["b"], 300);
}

TEST_F(LoadBalancerTest, ARejectingBackendIsAvoidedAtAnyCost) {
    list_backends({"a", "b"});
    backend("a").in_flight = 1000;
    backend("a").health.silent_since_s = 100;
    AttemptEnded rejected;
    rejected.result = AttemptResult::rejected;
    for (int i = 0; i < 2; ++i) outliers.on_result(backend("b").health, 0, rejected, 100);
    EXPECT_LT(choose(1000)["b"], 100);   // only if a is not drawn
}

TEST_F(LoadBalancerTest, FailuresCostMoreForARequestThatIsNotIdempotent) {
    list_backends({"a", "b"});
    AttemptEnded stale;
    stale.result = AttemptResult::reset;
    stale.stale_connection = true;
    // Failure estimate 0.03: cost factor 1.15 or 1.6.
    outliers.on_result(backend("a").health, 0, stale, 100);
    backend("b").in_flight = 0;
    const int idempotent = choose(2000)["a"];
    requirements.idempotent = false;
    const int not_idempotent = choose(2000)["a"];
    EXPECT_GT(idempotent, 60);
    EXPECT_LT(not_idempotent, 2000 / 32 + 60);
    EXPECT_LE(not_idempotent, idempotent);
}

TEST_F(LoadBalancerTest, StaysInTheScopeOfTheAnchor) {
    list_backends({"a", "b", "c", "d"});
    for (const char* id : {"c", "d"}) {
        backend(id).zone = "y";
        backend(id).cell = 7;
    }
    backend("d").cell = 8;
    requirements.scope = IdempotencyScope::zone;
    requirements.scope_anchor = &backend("c");
    auto counts = choose(200);
    EXPECT_EQ(counts["c"] + counts["d"], 200);
    EXPECT_GT(counts["d"], 0);
    requirements.scope = IdempotencyScope::cell;
    EXPECT_EQ(choose(200)["c"], 200);
    requirements.scope = IdempotencyScope::all;
    EXPECT_GT(choose(200)["a"], 0);
}

TEST_F(LoadBalancerTest, StaysInTheSubset) {
    list_backends({"a", "b", "c"});
    Endpoint member;
    member.backend = "b";
    member.zone = "z";
    member.subsets = 1;
    endpoints.update(EndpointUpdate{EndpointUpdateKind::delta, {member}}, outliers, 100);
    requirements.subset = subset_index(1);
    EXPECT_EQ(choose(100)["b"], 100);
    for (const char* id : {"a", "b", "c"}) endpoints.on_answer(backend(id));
    make_outlier("b");
    EXPECT_EQ(choose(100)["b"], 100);
}

TEST_F(LoadBalancerTest, AWarmingBackendIsChosenWithItsAdmissionProbabilityAndNotForRetries) {
    list_backends({"a", "b"});
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

TEST_F(LoadBalancerTest, AWarmingBackendInTheScopeIsChosenWithItsAdmissionProbability) {
    list_backends({"a", "b"});
    Endpoint started;
    started.backend = "a";
    started.zone = "z";
    started.started_at_s = 100;
    endpoints.update(EndpointUpdate{EndpointUpdateKind::delta, {started}}, outliers, 100);
    requirements.scope = IdempotencyScope::zone;
    requirements.scope_anchor = &backend("a");
    tried = {"a"};
    endpoints.find("b")->zone = "y";
    auto counts = choose(20000);
    EXPECT_EQ(counts["b"], 0);
    EXPECT_NEAR(counts["a"], 20000 * slow_start.admission_probability(100, 100), 300);
}

TEST_F(LoadBalancerTest, RecentRespondersAreConsideredIfNoDrawnBackendAnsweredRecently) {
    std::vector<std::string> ids;
    for (int i = 0; i < 200; ++i) ids.push_back("b" + std::to_string(100 + i));
    list_backends(ids);
    balancer.on_answer(backend("b150"), 0.001, 100);
    endpoints.on_answer(backend("b150"));
    for (const std::string& id : ids) backend(id).latency_ratio = 0.1;
    backend("b150").latency_ratio = 0.001;
    EXPECT_GT(choose(100, 101)["b150"], 90);
}

TEST_F(LoadBalancerTest, MeansMoveByTheWeightOfOneAnswer) {
    list_backends({"a"});
    EXPECT_DOUBLE_EQ(balancer.mean_latency_ratio(), 0.1);
    balancer.on_answer(backend("a"), 1.1, 100);
    EXPECT_NEAR(balancer.mean_latency_ratio(), 0.12, 1e-12);
    EXPECT_NEAR(backend("a").latency_ratio, 0.1 + 0.15, 1e-12);
    balancer.on_answer(backend("a"), 1.1, 110);   // in between it decays toward the fleet's mean by exp(-1)
    const double decayed = 0.12 + (0.25 - 0.12) * std::exp(-1);
    EXPECT_NEAR(backend("a").latency_ratio, decayed + 0.15 * (1.1 - decayed), 1e-12);
}

}   // namespace
}   // namespace slatejunction::gateway
