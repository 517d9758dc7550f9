// The five rules, each through the public interface.
#include <gtest/gtest.h>

#include "gateway/gateway_harness.hpp"

namespace {

TEST(FinalAnswer, IsGivenByTheDeadlineWhenTheBackendStaysSilent) {
    for (const char* cls : {"read", "key", "write"}) {
        GatewayDriver d(plain_settings());
        d.update_endpoints({"a:1"});
        d.request("r", cls, 2.0);
        ASSERT_EQ(d.started.size(), 1u);
        d.run_to(102.0);
        ASSERT_EQ(d.ended_at.count("r"), 1u) << cls;
        EXPECT_LE(d.ended_at["r"], 102.0);
        EXPECT_EQ(d.rejected.size() + d.failed.size(), 1u) << cls;
    }
}

TEST(FinalAnswer, NoAttemptStartsAfterIt) {
    sj::Settings s = plain_settings();
    s.hedging_allowed = true;
    GatewayDriver d(s);
    d.update_endpoints({"a:1", "b:1", "c:1"});
    d.request("r", "read", 2.0);
    d.run_to(102.5);
    ASSERT_EQ(d.ended_at.count("r"), 1u);
    const std::size_t sent = d.started.size();
    while (!d.pending.empty()) d.end_attempt(0, sj::AttemptResult::connect_failed);
    d.run_to(110);
    EXPECT_EQ(d.started.size(), sent);
    EXPECT_EQ(d.rejected.size() + d.failed.size(), 1u);
    EXPECT_EQ(d.gateway.open_requests(), 0u);
}

// A request whose attempts are exhausted is answered in the same call, and a rejection carries a
// retry-after.
TEST(FinalAnswer, IsGivenAtOnceWhenAttemptsAreExhausted) {
    for (const auto outcome :
         {sj::AttemptResult::error, sj::AttemptResult::rejected, sj::AttemptResult::connect_failed,
          sj::AttemptResult::reset, sj::AttemptResult::timeout}) {
        for (const char* cls : {"read", "key", "write"}) {
            GatewayDriver d(plain_settings());
            d.update_endpoints({"a:1", "b:1", "c:1", "d:1"});
            d.request("r", cls);
            for (double at = 100.1; !d.pending.empty(); at += 0.1) {
                d.run_to(at);
                EXPECT_EQ(d.ended_at.count("r"), 0u);
                d.end_attempt(0, outcome);
            }
            ASSERT_EQ(d.ended_at.count("r"), 1u) << cls;
            EXPECT_EQ(d.ended_at["r"], d.now) << "delayed after its last attempt";
            EXPECT_LT(d.now, 100.5);
            if (!d.rejected.empty()) {
                EXPECT_GT(d.last_retry_after_s, 0) << cls;
            }
        }
    }
}

TEST(FinalAnswer, IsGivenAtOnceWhenACancelledAttemptCannotBeRetried) {
    GatewayDriver d(plain_settings());
    d.update_endpoints({"a:1"});
    d.request("r", "read", 5);
    d.run_to(d.now + 2);
    ASSERT_EQ(d.cancelled.size(), 1u);
    d.update_endpoints({});
    d.end_attempt(0, sj::AttemptResult::cancelled);
    ASSERT_EQ(d.rejected.size(), 1u) << "cancelled, yet no answer";
    EXPECT_GT(d.last_retry_after_s, 0);
}

TEST(FinalAnswer, AnAttemptThatCannotBeRetriedIsNotCancelled) {
    sj::Settings s = plain_settings();
    s.max_attempts = 1;
    GatewayDriver d(s);
    d.update_endpoints({"a:1", "b:1"});
    d.request("r", "read", 5);
    d.run_to(d.now + 4.9);
    EXPECT_TRUE(d.cancelled.empty());
    EXPECT_EQ(d.ended_at.count("r"), 0u) << "it may still be answered";
}

TEST(FinalAnswer, OfTheDeadlineTimerCarriesARetryAfter) {
    GatewayDriver d(plain_settings());
    d.update_endpoints({"a:1"});
    d.request("r", "read", 2.0);
    d.run_to(102.0);
    ASSERT_EQ(d.rejected.size(), 1u);
    EXPECT_GT(d.last_retry_after_s, 0);
}

TEST(FinalAnswer, ADisconnectedClientLeavesNoOpenRequest) {
    GatewayDriver d(plain_settings());
    d.update_endpoints({"a:1"});
    d.request("r");
    d.handle(sj::ClientDisconnected{"r"});
    EXPECT_EQ(d.cancelled.size(), 1u);
    d.ended_at["r"] = d.now;
    d.end_attempt(0, sj::AttemptResult::cancelled);
    EXPECT_EQ(d.gateway.open_requests(), 0u);
    EXPECT_TRUE(d.rejected.empty() && d.failed.empty());
}

TEST(Idempotency, ANonIdempotentRequestThatMayHaveRunFailsAndIsNotRetried) {
    for (const auto outcome :
         {sj::AttemptResult::error, sj::AttemptResult::reset, sj::AttemptResult::timeout}) {
        GatewayDriver d(plain_settings());
        d.update_endpoints({"a:1", "b:1"});
        d.request("r", "write");
        d.end_attempt(0, outcome);
        EXPECT_EQ(d.started.size(), 1u);
        EXPECT_EQ(d.failed.size(), 1u);
        EXPECT_TRUE(d.rejected.empty());
    }
}

TEST(Idempotency, ANonIdempotentRequestThatNeverRanIsRetriedElsewhere) {
    for (const auto outcome : {sj::AttemptResult::rejected, sj::AttemptResult::connect_failed}) {
        GatewayDriver d(plain_settings());
        d.update_endpoints({"a:1", "b:1"});
        d.request("r", "write");
        d.end_attempt(0, outcome);
        ASSERT_EQ(d.started.size(), 2u);
        EXPECT_NE(d.started[0].backend, d.started[1].backend);
    }
}

TEST(Idempotency, ARequestWithAKeyStaysInItsScopeAndWindow) {
    GatewayDriver d(plain_settings());
    sj::Endpoint far = GatewayDriver::endpoint("b:1");
    far.zone = "y";
    d.update_endpoints({"a:1"});
    d.update_endpoint(far);
    d.request("r", "key");
    d.end_attempt(0, sj::AttemptResult::error);
    for (const auto& send : d.started) EXPECT_EQ(send.backend, d.started[0].backend);
    EXPECT_TRUE(d.rejected.empty());

    double begin_by = -1;   // of the retry: by the first attempt's time, its window of 3 s and a margin
    for (const sj::Action& a : d.action_log)
        if (const auto* send = std::get_if<sj::StartAttempt>(&a)) begin_by = send->start_by_s;
    ASSERT_EQ(d.started.size(), 2u);
    EXPECT_GT(begin_by, d.started[0].started_at_s + 2.9);
    EXPECT_LT(begin_by, d.started[0].started_at_s + 3);

    GatewayDriver late(plain_settings());
    late.update_endpoints({"a:1", "c:1"});
    late.request("r", "key", 5.0);
    late.run_to(103.5);
    ASSERT_EQ(late.started.size(), 1u);
    late.end_attempt(0, sj::AttemptResult::error);
    EXPECT_EQ(late.started.size(), 1u) << "the window has passed";
    EXPECT_EQ(late.failed.size(), 1u);
}

TEST(Idempotency, AttemptsStayWithinMaxAttemptsAndOneAtATime) {
    GatewayDriver d(plain_settings());
    d.update_endpoints({"a:1", "b:1", "c:1", "d:1", "e:1"});
    d.request("r");
    for (int i = 0; i < 8 && !d.pending.empty(); ++i) {
        EXPECT_EQ(d.pending.size(), 1u);
        d.end_attempt(0, sj::AttemptResult::error);
    }
    EXPECT_EQ(d.started.size(), 3u);
    EXPECT_EQ(d.rejected.size() + d.failed.size(), 1u);
}

TEST(Draining, NoAttemptGoesToADrainingOrRemovedBackend) {
    GatewayDriver d(plain_settings());
    d.update_endpoints({"a:1", "b:1", "c:1"});
    d.update_endpoint(GatewayDriver::endpoint("a:1", sj::EndpointState::draining));
    d.update_endpoints({"b:1", "a:1"}, sj::EndpointUpdateKind::watch_lost);   // a failed call lists nothing
    for (int i = 0; i < 30; ++i) d.request("x" + std::to_string(i));
    EXPECT_EQ(d.attempts_to("a:1"), 0u);
    EXPECT_GT(d.attempts_to("c:1"), 0u);
    const std::size_t before = d.attempts_to("c:1");
    d.update_endpoints({"b:1"});
    for (int i = 0; i < 30; ++i) d.request("y" + std::to_string(i));
    EXPECT_EQ(d.attempts_to("c:1"), before);
}

TEST(Draining, ARequestIsRejectedWhenNoBackendIsServing) {
    GatewayDriver d(plain_settings());
    d.request("r");
    EXPECT_EQ(d.rejected.size(), 1u);
}

TEST(SlowStart, ANewBackendGetsOnlyItsPartOfTheBudget) {
    sj::Settings s = plain_settings();
    s.ingress_count = 3;
    GatewayDriver d(s);
    d.update_endpoints({"a:1", "b:1", "c:1"});
    int id = 0;
    const auto second = [&] {   // 30 requests a second, each answered after 0.1 s
        const double until = d.now + 1;
        while (d.now < until) {
            d.request("r" + std::to_string(id++));
            d.run_to(d.now + 1.0 / 30);
            while (!d.pending.empty() && d.now - d.pending[0].started_at_s > 0.1)
                d.end_attempt(0, sj::AttemptResult::ok);
        }
    };
    for (int i = 0; i < 10; ++i) second();
    d.update_endpoint(GatewayDriver::endpoint("n:1", sj::EndpointState::serving, d.now));
    for (int i = 0; i < 2; ++i) second();
    // a warm backend gets about 20 in that span; the new one starts at 0.2 of that, times 3 at most
    EXPECT_LE(d.attempts_to("n:1"), 12u);
    for (int i = 0; i < 20; ++i) second();
    EXPECT_GE(d.attempts_to("n:1"), 50u) << "warm by now";
}

TEST(HardLimit, NoMoreThanThisGatewaysPartIsForwarded) {
    sj::Settings s = plain_settings();
    s.plans = {{"plan", 100, 1000, 20, 40, 4}};
    GatewayDriver d(s);
    d.update_endpoints({"a:1", "b:1"});
    for (int i = 0; i < 4000; ++i) {   // 10 s at 400 a second through one of two ingresses
        d.request("r" + std::to_string(i), "read", 5, 1, 9, 2);
        d.run_to(d.now + 0.0025);
        while (!d.pending.empty()) d.end_attempt(0, sj::AttemptResult::ok);
    }
    EXPECT_LE(d.started.size(), 10 * 20 / 2 + 40 / 2);
    EXPECT_GE(d.started.size(), 50u);
}

TEST(HardLimit, ARestartDoesNotRefillIt) {
    sj::Settings s = plain_settings();
    s.plans = {{"plan", 100, 1000, 20, 40, 4}};
    std::size_t sent = 0;
    double clock = 100;
    for (int incarnation = 0; incarnation < 10; ++incarnation) {   // one second each
        GatewayDriver d(s, 1, clock);
        d.update_endpoints({"a:1"});
        for (int i = 0; i < 100; ++i) {
            d.request("r" + std::to_string(i), "read", 5, 1, 9, 2);
            d.run_to(d.now + 0.01);
            while (!d.pending.empty()) d.end_attempt(0, sj::AttemptResult::ok);
        }
        sent += d.started.size();
        clock = d.now;
    }
    EXPECT_LE(sent, 10 * 20 / 2 + 40 / 2);
}

}   // namespace
