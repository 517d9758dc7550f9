// Single steps of the admission controller, with expected values computed from its equation.
#include "gateway/admission_controller.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace slatejunction::gateway {
namespace {

// Closes a period at `now` with `count` samples of `latency_ratio`.
void close_period(AdmissionController& controller, double now, double latency_ratio, int count = 10) {
    for (int i = 0; i < count; ++i) controller.add_sample(latency_ratio);
    ASSERT_TRUE(controller.period_complete(now));
    controller.close_period(now);
}

TEST(AdmissionController, AdmitsEverythingAtFirst) {
    AdmissionController controller;
    EXPECT_EQ(controller.fraction(), 1);
    for (int i = 0; i < 100; ++i) EXPECT_TRUE(controller.admit(0));
}

TEST(AdmissionController, APeriodEndsWithEnoughSamplesOrAtItsMaximumLength) {
    AdmissionController controller;
    controller.close_period(100);
    controller.add_sample(0.1);
    controller.add_sample(0.1);
    EXPECT_FALSE(controller.period_complete(100.49));
    EXPECT_TRUE(controller.period_complete(100.5));
    controller.close_period(100.5);
    controller.add_sample(0.1);
    EXPECT_FALSE(controller.period_complete(101.4));
    EXPECT_TRUE(controller.period_complete(101.5));
}

TEST(AdmissionController, UsesTheFixedStepUntilBothOperatingPointsAreMeasured) {
    AdmissionController controller;
    controller.close_period(100);
    close_period(controller, 100.5, 0.6);   // error -0.3: a full step down, which is the limit
    EXPECT_NEAR(controller.fraction(), 0.6, 1e-12);
}

TEST(AdmissionController, FewSamplesReduceTheStepDown) {
    AdmissionController controller;
    controller.close_period(100);
    // Two periods; evidence 1 * 1.5 / (2 * 2); the error is half the reference.
    close_period(controller, 101, 0.45, 1);
    EXPECT_NEAR(controller.fraction(), 1 - 2 * 0.4 * 0.5 * (1.5 / 4), 1e-12);
}

TEST(AdmissionController, DerivesTheGainFromTheHighAndTheLowOperatingPoint) {
    AdmissionController controller;
    controller.close_period(100);
    close_period(controller, 100.5, 0.6);   // high point: fraction 1 at ratio 0.6
    ASSERT_NEAR(controller.fraction(), 0.6, 1e-12);
    // Low point: fraction 0.6 at ratio 0.2; gain 0.4 / 0.4, error 0.1, of which the filter passes half.
    close_period(controller, 101, 0.2);
    EXPECT_NEAR(controller.fraction(), 0.6 + 0.5 * 1.0 * 0.1 + 0.06 * 0.1, 1e-12);
}

TEST(AdmissionController, OldOperatingPointsOrAChangedFleetGiveNoGain) {
    for (const bool fleet_changed : {false, true}) {
        AdmissionController controller;
        controller.close_period(100);
        close_period(controller, 100.5, 0.6);
        const double now = fleet_changed ? 101 : 120.6;
        const double periods = fleet_changed ? 1 : 4;
        controller.on_fleet_change(fleet_changed ? 0.16 : 0.15);
        close_period(controller, now, 0.27);   // error 0.03, a tenth of the reference
        EXPECT_NEAR(controller.fraction(), 0.6 + periods * 0.4 * 0.1, 1e-12) << fleet_changed;
    }
}

TEST(AdmissionController, StaysWithinTheLimitsAndIsUnchangedWithoutSamples) {
    AdmissionController controller;
    controller.close_period(100);
    for (int i = 1; i <= 20; ++i) close_period(controller, 100 + 0.5 * i, 5);
    EXPECT_EQ(controller.fraction(), 0.05);
    ASSERT_TRUE(controller.period_complete(120));
    controller.close_period(120);
    EXPECT_EQ(controller.fraction(), 0.05);
    for (int i = 1; i <= 20; ++i) close_period(controller, 120 + 0.5 * i, 0.01);
    EXPECT_EQ(controller.fraction(), 1);
}

// Steps beyond the limit must not accumulate in the filter, where they would delay the next step down.
TEST(AdmissionController, StepsBeyondTheLimitDoNotWindUp) {
    AdmissionController controller;
    controller.close_period(100);
    close_period(controller, 100.5, 0.6);
    double now = 100.5;
    while (controller.fraction() < 1 && now < 110) {
        now += 0.5;
        close_period(controller, now, 0.05);
    }
    ASSERT_EQ(now, 102.5);
    close_period(controller, 103, 0.6);
    EXPECT_NEAR(controller.fraction(), 0.992, 0.001);
}

TEST(AdmissionController, ASingleSlowSampleIsCapped) {
    AdmissionController with_slow_sample;
    AdmissionController at_limit;
    for (AdmissionController* controller : {&with_slow_sample, &at_limit}) controller->close_period(100);
    for (int i = 0; i < 3; ++i) {
        with_slow_sample.add_sample(0.1);
        at_limit.add_sample(0.1);
    }
    with_slow_sample.add_sample(1000);
    at_limit.add_sample(0.6);
    with_slow_sample.close_period(100.5);
    at_limit.close_period(100.5);
    EXPECT_EQ(with_slow_sample.fraction(), at_limit.fraction());
}

TEST(AdmissionController, AdmitsTheFractionAndHigherPrioritiesEarlier) {
    AdmissionController controller;
    controller.close_period(100);
    close_period(controller, 100.5, 0.6);
    ASSERT_NEAR(controller.fraction(), 0.6, 1e-12);
    EXPECT_TRUE(controller.admit(1));    // 0.6 accumulated; 0.5 needed with a credit of 0.5
    EXPECT_FALSE(controller.admit(1));   // 0.2 accumulated
    int admitted = 1;
    for (int i = 0; i < 998; ++i) admitted += controller.admit(0) ? 1 : 0;
    EXPECT_NEAR(admitted, 600, 1);
}

TEST(AdmissionController, SelectsSamplesByResult) {
    EXPECT_TRUE(AdmissionController::is_sample(AttemptResult::ok, false));
    EXPECT_TRUE(AdmissionController::is_sample(AttemptResult::timeout, false));
    EXPECT_TRUE(AdmissionController::is_sample(AttemptResult::cancelled, true));
    EXPECT_FALSE(AdmissionController::is_sample(AttemptResult::cancelled, false));
    EXPECT_FALSE(AdmissionController::is_sample(AttemptResult::error, false));
    EXPECT_FALSE(AdmissionController::is_sample(AttemptResult::rejected, false));
    EXPECT_FALSE(AdmissionController::is_sample_in_flight(1));
    EXPECT_TRUE(AdmissionController::is_sample_in_flight(1.01));
}

TEST(RequestPriority, MultipliesClassAndPlan) {
    ServiceClass service_class;
    Plan plan;
    service_class.priority_weight = 3;
    EXPECT_EQ(request_priority(service_class, plan), 3);
    plan.plan_weight = 2;
    EXPECT_EQ(request_priority(service_class, plan), 6);
    plan.plan_weight = std::numeric_limits<double>::infinity();
    EXPECT_EQ(request_priority(service_class, plan), 3);
    service_class.priority_weight = std::nan("");
    EXPECT_EQ(request_priority(service_class, plan), 0);
    service_class.latency_objective_s = 0.5;
    EXPECT_EQ(latency_ratio(1, service_class), 2);
    service_class.latency_objective_s = 0;
    EXPECT_EQ(latency_ratio(1, service_class), 1000);
}

}   // namespace
}   // namespace slatejunction::gateway
