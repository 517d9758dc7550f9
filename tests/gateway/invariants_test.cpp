// Invariants of the gateway through the public interface: final answers, idempotency, draining, slow start
// and hard limits.
#include <gtest/gtest.h>

#include "gateway/gateway_harness.hpp"

namespace {

TEST(FinalAnswer, IsGivenByTheDeadlineWhenTheBackendIsSilent) {
    for (const char* service_class : {"read", "key", "write"}) {
        GatewayDriver driver(plain_settings());
        driver.update_endpoints({"a:1"});
        driver.request("r", service_class, 2.0);
        ASSERT_EQ(driver.started.size(), 1u);
        driver.run_to(102.0);
        ASSERT_EQ(driver.ended_at.count("r"), 1u) << service_class;
        EXPECT_LE(driver.ended_at["r"], 102.0);
        EXPECT_EQ(driver.rejected.size() + driver.failed.size(), 1u) << service_class;
    }
}

TEST(FinalAnswer, IsNotFollowedByAnotherAttempt) {
    sj::Settings settings = plain_settings();
    settings.hedging_allowed = true;
    GatewayDriver driver(settings);
    driver.update_endpoints({"a:1", "b:1", "c:1"});
    driver.request("r", "read", 2.0);
    driver.run_to(102.5);
    ASSERT_EQ(driver.ended_at.count("r"), 1u);
    const std::size_t started_before = driver.started.size();
    while (!driver.pending.empty()) driver.end_attempt(0, sj::AttemptResult::connect_failed);
    driver.run_to(110);
    EXPECT_EQ(driver.started.size(), started_before);
    EXPECT_EQ(driver.rejected.size() + driver.failed.size(), 1u);
    EXPECT_EQ(driver.gateway.open_requests(), 0u);
}

// A request whose attempts are exhausted is answered in the same call, and a rejection has a Retry-After.
TEST(FinalAnswer, IsGivenAtOnceWhenAttemptsAreExhausted) {
    for (const auto result :
         {sj::AttemptResult::error, sj::AttemptResult::rejected, sj::AttemptResult::connect_failed,
          sj::AttemptResult::reset, sj::AttemptResult::timeout}) {
        for (const char* service_class : {"read", "key", "write"}) {
            GatewayDriver driver(plain_settings());
            driver.update_endpoints({"a:1", "b:1", "c:1", "d:1"});
            driver.request("r", service_class);
            for (double time = 100.1; !driver.pending.empty(); time += 0.1) {
                driver.run_to(time);
                EXPECT_EQ(driver.ended_at.count("r"), 0u);
                driver.end_attempt(0, result);
            }
            ASSERT_EQ(driver.ended_at.count("r"), 1u) << service_class;
            EXPECT_EQ(driver.ended_at["r"], driver.now) << "the answer was delayed after the last attempt";
            EXPECT_LT(driver.now, 100.5);
            if (!driver.rejected.empty()) {
                EXPECT_GT(driver.last_retry_after_s, 0) << service_class;
            }
        }
    }
}

TEST(FinalAnswer, IsGivenAtOnceWhenACancelledAttemptCannotBeRetried) {
    GatewayDriver driver(plain_settings());
    driver.update_endpoints({"a:1"});
    driver.request("r", "read", 5);
    driver.run_to(driver.now + 2);
    ASSERT_EQ(driver.cancelled.size(), 1u);
    driver.update_endpoints({});
    driver.end_attempt(0, sj::AttemptResult::cancelled);
    ASSERT_EQ(driver.rejected.size(), 1u) << "the attempt was cancelled, but the request has no answer";
    EXPECT_GT(driver.last_retry_after_s, 0);
}

TEST(FinalAnswer, AnAttemptThatCannotBeRetriedIsNotCancelled) {
    sj::Settings settings = plain_settings();
    settings.max_attempts = 1;
    GatewayDriver driver(settings);
    driver.update_endpoints({"a:1", "b:1"});
    driver.request("r", "read", 5);
    driver.run_to(driver.now + 4.9);
    EXPECT_TRUE(driver.cancelled.empty());
    EXPECT_EQ(driver.ended_at.count("r"), 0u) << "the attempt may still be answered";
}

TEST(FinalAnswer, AtTheDeadlineHasARetryAfter) {
    GatewayDriver driver(plain_settings());
    driver.update_endpoints({"a:1"});
    driver.request("r", "read", 2.0);
    driver.run_to(102.0);
    ASSERT_EQ(driver.rejected.size(), 1u);
    EXPECT_GT(driver.last_retry_after_s, 0);
}

TEST(FinalAnswer, ADisconnectedClientLeavesNoOpenRequest) {
    GatewayDriver driver(plain_settings());
    driver.update_endpoints({"a:1"});
    driver.request("r");
    driver.handle(sj::ClientDisconnected{"r"});
    EXPECT_EQ(driver.cancelled.size(), 1u);
    driver.ended_at["r"] = driver.now;
    driver.end_attempt(0, sj::AttemptResult::cancelled);
    EXPECT_EQ(driver.gateway.open_requests(), 0u);
    EXPECT_TRUE(driver.rejected.empty() && driver.failed.empty());
}

TEST(Idempotency, ANonIdempotentRequestThatMayHaveRunFailsAndIsNotRetried) {
    for (const auto result :
         {sj::AttemptResult::error, sj::AttemptResult::reset, sj::AttemptResult::timeout}) {
        GatewayDriver driver(plain_settings());
        driver.update_endpoints({"a:1", "b:1"});
        driver.request("r", "write");
        driver.end_attempt(0, result);
        EXPECT_EQ(driver.started.size(), 1u);
        EXPECT_EQ(driver.failed.size(), 1u);
        EXPECT_TRUE(driver.rejected.empty());
    }
}

TEST(Idempotency, ANonIdempotentRequestThatNeverRanIsRetriedElsewhere) {
    for (const auto result : {sj::AttemptResult::rejected, sj::AttemptResult::connect_failed}) {
        GatewayDriver driver(plain_settings());
        driver.update_endpoints({"a:1", "b:1"});
        driver.request("r", "write");
        driver.end_attempt(0, result);
        ASSERT_EQ(driver.started.size(), 2u);
        EXPECT_NE(driver.started[0].backend, driver.started[1].backend);
    }
}

TEST(Idempotency, ARequestWithAKeyStaysInItsScopeAndWindow) {
    GatewayDriver driver(plain_settings());
    sj::Endpoint other_zone = GatewayDriver::endpoint("b:1");
    other_zone.zone = "y";
    driver.update_endpoints({"a:1"});
    driver.update_endpoint(other_zone);
    driver.request("r", "key");
    driver.end_attempt(0, sj::AttemptResult::error);
    for (const auto& attempt : driver.started) EXPECT_EQ(attempt.backend, driver.started[0].backend);
    EXPECT_TRUE(driver.rejected.empty());

    // The retry has to start within the window of 3 s from the first attempt, minus a margin.
    double start_by_s = -1;
    for (const sj::Action& action : driver.action_log)
        if (const auto* start = std::get_if<sj::StartAttempt>(&action)) start_by_s = start->start_by_s;
    ASSERT_EQ(driver.started.size(), 2u);
    EXPECT_GT(start_by_s, driver.started[0].started_at_s + 2.9);
    EXPECT_LT(start_by_s, driver.started[0].started_at_s + 3);

    GatewayDriver late_driver(plain_settings());
    late_driver.update_endpoints({"a:1", "c:1"});
    late_driver.request("r", "key", 5.0);
    late_driver.run_to(103.5);
    ASSERT_EQ(late_driver.started.size(), 1u);
    late_driver.end_attempt(0, sj::AttemptResult::error);
    EXPECT_EQ(late_driver.started.size(), 1u) << "the idempotency window has passed";
    EXPECT_EQ(late_driver.failed.size(), 1u);
}

TEST(Idempotency, AttemptsStayWithinMaxAttemptsAndOneAtATime) {
    GatewayDriver driver(plain_settings());
    driver.update_endpoints({"a:1", "b:1", "c:1", "d:1", "e:1"});
    driver.request("r");
    for (int i = 0; i < 8 && !driver.pending.empty(); ++i) {
        EXPECT_EQ(driver.pending.size(), 1u);
        driver.end_attempt(0, sj::AttemptResult::error);
    }
    EXPECT_EQ(driver.started.size(), 3u);
    EXPECT_EQ(driver.rejected.size() + driver.failed.size(), 1u);
}

TEST(Draining, NoAttemptGoesToADrainingOrRemovedBackend) {
    GatewayDriver driver(plain_settings());
    driver.update_endpoints({"a:1", "b:1", "c:1"});
    driver.update_endpoint(GatewayDriver::endpoint("a:1", sj::EndpointState::draining));
    // A lost watch must not change the list.
    driver.update_endpoints({"b:1", "a:1"}, sj::EndpointUpdateKind::watch_lost);
    for (int i = 0; i < 30; ++i) driver.request("x" + std::to_string(i));
    EXPECT_EQ(driver.attempts_to("a:1"), 0u);
    EXPECT_GT(driver.attempts_to("c:1"), 0u);
    const std::size_t before = driver.attempts_to("c:1");
    driver.update_endpoints({"b:1"});
    for (int i = 0; i < 30; ++i) driver.request("y" + std::to_string(i));
    EXPECT_EQ(driver.attempts_to("c:1"), before);
}

TEST(Draining, ARequestIsRejectedWhenNoBackendIsServing) {
    GatewayDriver driver(plain_settings());
    driver.request("r");
    EXPECT_EQ(driver.rejected.size(), 1u);
}

TEST(SlowStart, ANewBackendGetsOnlyItsShareOfTheBudget) {
    sj::Settings settings = plain_settings();
    settings.ingress_count = 3;
    GatewayDriver driver(settings);
    driver.update_endpoints({"a:1", "b:1", "c:1"});
    int next_id = 0;
    // Runs one second with 30 requests, each answered after 0.1 s.
    const auto run_one_second = [&] {
        const double until = driver.now + 1;
        while (driver.now < until) {
            driver.request("r" + std::to_string(next_id++));
            driver.run_to(driver.now + 1.0 / 30);
            while (!driver.pending.empty() && driver.now - driver.pending[0].started_at_s > 0.1)
                driver.end_attempt(0, sj::AttemptResult::ok);
        }
    };
    for (int i = 0; i < 10; ++i) run_one_second();
    driver.update_endpoint(GatewayDriver::endpoint("n:1", sj::EndpointState::serving, driver.now));
    for (int i = 0; i < 2; ++i) run_one_second();
    // A warm backend gets about 20 attempts in that time; the new one starts at 0.2 of that, times 3 at
    // most.
    EXPECT_LE(driver.attempts_to("n:1"), 12u);
    for (int i = 0; i < 20; ++i) run_one_second();
    EXPECT_GE(driver.attempts_to("n:1"), 50u) << "the backend is warm by now";
}

TEST(HardLimit, NoMoreThanThisGatewaysShareIsForwarded) {
    sj::Settings settings = plain_settings();
    settings.plans = {{"plan", 100, 1000, 20, 40, 4}};
    GatewayDriver driver(settings);
    driver.update_endpoints({"a:1", "b:1"});
    for (int i = 0; i < 4000; ++i) {   // 10 s at 400 per second, through one of two ingresses
        driver.request("r" + std::to_string(i), "read", 5, 1, 9, 2);
        driver.run_to(driver.now + 0.0025);
        while (!driver.pending.empty()) driver.end_attempt(0, sj::AttemptResult::ok);
    }
    EXPECT_LE(driver.started.size(), 10 * 20 / 2 + 40 / 2);
    EXPECT_GE(driver.started.size(), 50u);
}

TEST(HardLimit, IsNotRefilledByARestart) {
    sj::Settings settings = plain_settings();
    settings.plans = {{"plan", 100, 1000, 20, 40, 4}};
    std::size_t attempts = 0;
    double start_time_s = 100;
    for (int incarnation = 0; incarnation < 10; ++incarnation) {   // one second each
        GatewayDriver driver(settings, 1, start_time_s);
        driver.update_endpoints({"a:1"});
        for (int i = 0; i < 100; ++i) {
            driver.request("r" + std::to_string(i), "read", 5, 1, 9, 2);
            driver.run_to(driver.now + 0.01);
            while (!driver.pending.empty()) driver.end_attempt(0, sj::AttemptResult::ok);
        }
        attempts += driver.started.size();
        start_time_s = driver.now;
    }
    EXPECT_LE(attempts, 10 * 20 / 2 + 40 / 2);
}

}   // namespace
