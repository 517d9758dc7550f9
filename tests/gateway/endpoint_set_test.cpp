// Endpoint updates, subsets and the removal of backends.
#include "gateway/endpoint_set.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace slatejunction::gateway {
namespace {

Endpoint endpoint(const std::string& backend, std::uint64_t subsets = 0,
                  EndpointState state = EndpointState::serving) {
    Endpoint endpoint;
    endpoint.backend = backend;
    endpoint.subsets = subsets;
    endpoint.state = state;
    return endpoint;
}

struct EndpointSetTest : testing::Test {
    OutlierDetector outliers{1};
    EndpointSet set;

    double update(EndpointUpdateKind kind, std::vector<Endpoint> endpoints, double now = 100) {
        return set.update(EndpointUpdate{kind, std::move(endpoints)}, outliers, now);
    }
    std::string ids(SubsetIndex subset) const {
        std::string text;
        if (set.listed_count(subset) == 0) return text;
        for (const Backend* backend : set.subset(subset).backends) text += backend->id;
        return text;
    }
};

TEST_F(EndpointSetTest, ASnapshotReplacesTheListAndADeltaChangesIt) {
    update(EndpointUpdateKind::snapshot, {endpoint("b"), endpoint("a"), endpoint("c")});
    EXPECT_EQ(ids(kWholeFleet), "abc");
    update(EndpointUpdateKind::delta, {endpoint("d"), endpoint("a", 0, EndpointState::removed)});
    EXPECT_EQ(ids(kWholeFleet), "bcd");
    update(EndpointUpdateKind::delta, {endpoint("b", 0, EndpointState::draining)});
    EXPECT_EQ(ids(kWholeFleet), "cd");
    update(EndpointUpdateKind::cached_snapshot, {endpoint("e")});
    EXPECT_EQ(ids(kWholeFleet), "e");
    EXPECT_EQ(set.find("c"), nullptr);
}

TEST_F(EndpointSetTest, ReturnsTheChangedFractionOfTheFleet) {
    EXPECT_EQ(
        update(EndpointUpdateKind::snapshot, {endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d")}),
        4);
    EXPECT_EQ(update(EndpointUpdateKind::delta, {endpoint("a")}), 0);
    EXPECT_EQ(update(EndpointUpdateKind::delta, {endpoint("a", 0, EndpointState::draining)}), 0.25);
    EXPECT_DOUBLE_EQ(update(EndpointUpdateKind::snapshot, {endpoint("b")}), 2.0 / 3);
}

TEST_F(EndpointSetTest, SubsetsListTheirBackendsWithSumsOfWeights) {
    Endpoint heavy = endpoint("b", 0b101);
    heavy.capacity_hint = 3;
    update(EndpointUpdateKind::snapshot, {endpoint("a", 0b1), heavy, endpoint("c")});
    EXPECT_EQ(ids(kWholeFleet), "abc");
    EXPECT_EQ(ids(subset_index(0b1)), "ab");
    EXPECT_EQ(ids(subset_index(0b100)), "b");
    EXPECT_EQ(set.listed_count(subset_index(0b10)), 0u);
    EXPECT_EQ(set.listed_count(subset_index(0b1000)), 0u);
    EXPECT_EQ(set.subset(subset_index(0b1)).weight_sums, (std::vector<double>{1, 4}));
    EXPECT_TRUE(EndpointSet::in_subset(*set.find("b"), subset_index(0b100)));
    EXPECT_FALSE(EndpointSet::in_subset(*set.find("a"), subset_index(0b100)));
    EXPECT_TRUE(EndpointSet::in_subset(*set.find("c"), kWholeFleet));
}

TEST_F(EndpointSetTest, AnUnlistedBackendIsRemovedOnceNothingIsInFlight) {
    update(EndpointUpdateKind::snapshot, {endpoint("a"), endpoint("b")});
    Backend* a = set.find("a");
    a->in_flight = 1;
    update(EndpointUpdateKind::snapshot, {endpoint("b")});
    ASSERT_EQ(set.find("a"), a);
    EXPECT_EQ(ids(kWholeFleet), "b");
    set.on_answer(*set.find("b"));
    set.on_attempt_ended(*a);
    ASSERT_EQ(set.find("a"), a);
    EXPECT_EQ(set.recent_responders()[0], set.find("b"));   // the set was not rebuilt
    a->in_flight = 0;
    set.on_attempt_ended(*a);
    EXPECT_EQ(set.find("a"), nullptr);
}

TEST_F(EndpointSetTest, ARestartedBackendIsNewExceptForItsAttemptsInFlight) {
    update(EndpointUpdateKind::snapshot, {endpoint("a")});
    Backend* a = set.find("a");
    a->in_flight = 2;
    a->latency_ratio = 5;
    outliers.on_silence(a->health, 100);
    Endpoint restarted = endpoint("a");
    restarted.started_at_s = 99;
    EXPECT_EQ(update(EndpointUpdateKind::delta, {restarted}, 101), 1);
    EXPECT_EQ(a->in_flight, 2);
    EXPECT_EQ(a->latency_ratio, 0);
    EXPECT_EQ(a->started_at_s, 99);
    EXPECT_EQ(a->health.silent_since_s, 101);
    EXPECT_EQ(a->health.rejections.size(), 1u);
    a->latency_ratio = 5;
    update(EndpointUpdateKind::delta, {restarted}, 102);
    EXPECT_EQ(a->latency_ratio, 5);
}

TEST_F(EndpointSetTest, RecentRespondersAreTheLastFourAndAreClearedByARebuild) {
    update(EndpointUpdateKind::snapshot,
           {endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d"), endpoint("e")});
    for (const char* id : {"a", "b", "b", "c", "d", "e"}) set.on_answer(*set.find(id));
    std::string ids;
    for (const Backend* backend : set.recent_responders()) ids += backend->id;
    EXPECT_EQ(ids, "ebcd");
    update(EndpointUpdateKind::delta, {});
    for (const Backend* backend : set.recent_responders()) EXPECT_EQ(backend, nullptr);
}

TEST_F(EndpointSetTest, CountsListedOutliers) {
    update(EndpointUpdateKind::snapshot, {endpoint("a"), endpoint("b")});
    EXPECT_EQ(set.count_outliers(outliers, 100), 0);
    for (int i = 0; i < 3; ++i) outliers.on_silence(set.find("a")->health, 100);
    EXPECT_EQ(set.count_outliers(outliers, 100), 1);
}

TEST(SubsetIndex, IsTheBitPositionPlusOneOrZeroForTheWholeFleet) {
    EXPECT_EQ(subset_index(0), 0u);
    EXPECT_EQ(subset_index(1), 1u);
    EXPECT_EQ(subset_index(std::uint64_t{1} << 62), 63u);
    for (const std::uint64_t bit : {std::uint64_t{0}, std::uint64_t{1}, std::uint64_t{1} << 62})
        EXPECT_EQ(subset_bit(subset_index(bit)), bit);
}

TEST(SubsetFallback, AppliesByStageAndListedBackends) {
    EXPECT_FALSE(falls_back_at_arrival(SubsetFallback::never, 0));
    EXPECT_TRUE(falls_back_at_arrival(SubsetFallback::when_empty, 0));
    EXPECT_TRUE(falls_back_at_arrival(SubsetFallback::when_overloaded, 0));
    EXPECT_FALSE(falls_back_at_arrival(SubsetFallback::when_overloaded, 1));
    EXPECT_FALSE(falls_back_when_overloaded(SubsetFallback::when_empty));
    EXPECT_TRUE(falls_back_when_overloaded(SubsetFallback::when_overloaded));
    EXPECT_FALSE(falls_back_without_backend(SubsetFallback::never, 0));
    EXPECT_FALSE(falls_back_without_backend(SubsetFallback::when_empty, 1));
    EXPECT_TRUE(falls_back_without_backend(SubsetFallback::when_empty, 0));
    EXPECT_TRUE(falls_back_without_backend(SubsetFallback::when_overloaded, 1));
}

}   // namespace
}   // namespace slatejunction::gateway
