// Failure estimates, ejection and silence of backends.
#include "gateway/outlier_detection.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace slatejunction::gateway {
namespace {

AttemptEnded attempt_ended(AttemptResult result, bool stale_connection = false) {
    AttemptEnded event;
    event.result = result;
    event.stale_connection = stale_connection;
    return event;
}

struct OutlierDetectorTest : testing::Test {
    OutlierDetector detector{2};
    BackendHealth health = detector.new_backend(100);
    double failure_estimate(double now) const { return detector.failure_estimate(health, now); }
};

TEST_F(OutlierDetectorTest, TwoFailuresEjectAndOneDoesNot) {
    detector.on_result(health, 0, attempt_ended(AttemptResult::error), 100);
    EXPECT_FALSE(detector.is_outlier(health, 100));
    detector.on_result(health, 0, attempt_ended(AttemptResult::reset), 100.5);
    EXPECT_TRUE(detector.is_outlier(health, 100.5));
    EXPECT_FALSE(detector.latency_counts_as_load(health, 100.5));
    EXPECT_FALSE(detector.is_outlier(health, 110));   // the estimate has decayed, so that it is used again
}

TEST_F(OutlierDetectorTest, AFailureHasWeightHalfAndDecaysWithEightSeconds) {
    detector.on_result(health, 0, attempt_ended(AttemptResult::timeout), 100);
    EXPECT_DOUBLE_EQ(failure_estimate(100), 0.5);
    const double fleet = 0.05 * 0.4;
    EXPECT_NEAR(failure_estimate(108), fleet + (0.5 - fleet) * std::exp(-1), 1e-12);
}

TEST_F(OutlierDetectorTest, FurtherConsecutiveFailuresDoNotLengthenTheDecay) {
    detector.on_result(health, 0, attempt_ended(AttemptResult::error), 100);
    detector.on_result(health, 0, attempt_ended(AttemptResult::error), 100);
    const double fleet = 0.02 + 0.05 * (0.4 - 0.02);
    EXPECT_NEAR(failure_estimate(108), fleet + (0.75 - fleet) * std::exp(-1), 1e-12);
}

TEST_F(OutlierDetectorTest, ASuccessRetainsThreeTenthsAndRestoresTheShorterDecay) {
    detector.on_result(health, 0, attempt_ended(AttemptResult::error), 100);
    detector.on_result(health, 0, attempt_ended(AttemptResult::ok), 100);
    const double fleet = 0.05 * 0.4 * 0.95;
    EXPECT_NEAR(failure_estimate(100), 0.3 * 0.5, 1e-12);
    EXPECT_NEAR(failure_estimate(104), fleet + (0.15 - fleet) * std::exp(-1), 1e-12);
}

TEST_F(OutlierDetectorTest, StaleConnectionsAndSilenceHaveLessWeight) {
    detector.on_result(health, 0, attempt_ended(AttemptResult::reset, true), 100);
    EXPECT_NEAR(failure_estimate(100), 0.03, 1e-12);
    BackendHealth other = detector.new_backend(100);
    const double before = detector.failure_estimate(other, 100);
    detector.on_silence(other, 100);
    EXPECT_NEAR(detector.failure_estimate(other, 100), before + 0.3 * (1 - before), 1e-12);
}

TEST_F(OutlierDetectorTest, CancelledAndNotStartedAttemptsAreIgnored) {
    detector.on_result(health, 0, attempt_ended(AttemptResult::cancelled), 101);
    detector.on_result(health, 0, attempt_ended(AttemptResult::not_started), 101);
    EXPECT_EQ(failure_estimate(101), 0);
    EXPECT_EQ(health.silent_since_s, 100);
}

TEST_F(OutlierDetectorTest, RejectionsCountForTheirKindOfRequestOnly) {
    detector.on_result(health, 1, attempt_ended(AttemptResult::rejected), 100);
    detector.on_result(health, 1, attempt_ended(AttemptResult::rejected), 100);
    EXPECT_TRUE(detector.is_rejecting(health, 1, 100));
    EXPECT_FALSE(detector.is_rejecting(health, 0, 100));
    EXPECT_EQ(failure_estimate(100), 0);
    detector.on_result(health, 1, attempt_ended(AttemptResult::ok), 100);
    EXPECT_FALSE(detector.is_rejecting(health, 1, 100));
}

TEST_F(OutlierDetectorTest, FleetWideFailuresCountAsLoadAndEjectNoNewBackend) {
    for (int i = 0; i < 13; ++i) {
        BackendHealth other = detector.new_backend(100);
        detector.on_result(other, 0, attempt_ended(AttemptResult::error), 100);
    }
    EXPECT_FALSE(detector.fleet_wide_failure());
    detector.on_result(health, 0, attempt_ended(AttemptResult::error), 100);
    detector.on_result(health, 0, attempt_ended(AttemptResult::error), 100);
    EXPECT_TRUE(detector.fleet_wide_failure());
    EXPECT_TRUE(detector.is_outlier(health, 100));
    EXPECT_TRUE(detector.latency_counts_as_load(health, 100));
    for (int i = 0; i < 500; ++i) {
        BackendHealth other = detector.new_backend(100);
        detector.on_result(other, 0, attempt_ended(AttemptResult::error), 100);
    }
    EXPECT_FALSE(detector.is_outlier(detector.new_backend(100), 100));
}

TEST_F(OutlierDetectorTest, SilenceStartsAtTheFirstAttemptOrTheLastAnswer) {
    detector.on_attempt_started(health, true, 105);
    EXPECT_EQ(health.silent_since_s, 105);
    detector.on_attempt_started(health, false, 106);
    EXPECT_EQ(health.silent_since_s, 105);
    EXPECT_TRUE(OutlierDetector::is_silent_since(health, 105));
    detector.on_result(health, 0, attempt_ended(AttemptResult::rejected), 107);
    EXPECT_FALSE(OutlierDetector::is_silent_since(health, 105));
    EXPECT_EQ(health.silent_since_s, 107);
    detector.on_result(health, 0, attempt_ended(AttemptResult::ok), 108);
    EXPECT_EQ(health.silent_since_s, 108);
}

TEST(SilenceLimit, IsFourMeanLatenciesAndAtLeastAFractionOfTheObjective) {
    EXPECT_DOUBLE_EQ(OutlierDetector::silence_limit_s(0.2, 2), 1.6);
    EXPECT_DOUBLE_EQ(OutlierDetector::silence_limit_s(0.01, 2), 0.6);
    EXPECT_DOUBLE_EQ(OutlierDetector::silence_limit_s(0.2, 0), 0.008);
    EXPECT_TRUE(OutlierDetector::is_overdue(0.91, 1));
    EXPECT_FALSE(OutlierDetector::is_overdue(0.89, 1));
}

}   // namespace
}   // namespace slatejunction::gateway
