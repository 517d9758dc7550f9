// The concurrency limit, compared with Little's law.
#include "gateway/concurrency_limit.hpp"

#include <gtest/gtest.h>

namespace slatejunction::gateway {
namespace {

// A limit that had 100 answers per second from 100 to 110 s.
ConcurrencyLimit limit_at_steady_rate() {
    ConcurrencyLimit limit;
    for (int i = 0; i <= 1000; ++i) limit.on_answer(100 + 0.01 * i);
    return limit;
}

TEST(ConcurrencyLimit, IsTheAnswerRateTimesTheMaximumExpectedLatency) {
    ConcurrencyLimit limit = limit_at_steady_rate();   // 100/s x 0.35 x an objective of 1 s = 35 in flight
    int in_flight = 0;
    while (!limit.exceeded(1, 1, 110) && in_flight < 1000) {
        limit.on_attempt_started(1);
        ++in_flight;
    }
    EXPECT_NEAR(in_flight, 36, 1);
    limit.on_attempt_removed(1);
    limit.on_attempt_removed(1);
    EXPECT_FALSE(limit.exceeded(1, 1, 110));
}

TEST(ConcurrencyLimit, AttemptsOfShorterObjectivesCountMore) {
    ConcurrencyLimit limit = limit_at_steady_rate();
    for (int i = 0; i < 8; ++i) limit.on_attempt_started(0.25);   // counts as 32 of 35
    EXPECT_FALSE(limit.exceeded(1, 1, 110));
    limit.on_attempt_started(0.25);
    EXPECT_TRUE(limit.exceeded(1, 1, 110));
}

TEST(ConcurrencyLimit, PriorityScalesTheAllowanceDownToAMinimum) {
    ConcurrencyLimit limit = limit_at_steady_rate();
    for (int i = 0; i < 40; ++i) limit.on_attempt_started(1);
    EXPECT_TRUE(limit.exceeded(1, 1, 110));
    EXPECT_FALSE(limit.exceeded(1, 1.5, 110));
    ConcurrencyLimit low_priority = limit_at_steady_rate();
    for (int i = 0; i < 10; ++i)
        low_priority.on_attempt_started(1);   // the limit is 0.3 of 35, which is 10.5
    EXPECT_FALSE(low_priority.exceeded(1, 0, 110));
    low_priority.on_attempt_started(1);
    EXPECT_TRUE(low_priority.exceeded(1, 0, 110));
}

TEST(ConcurrencyLimit, AlwaysAllowsTheMinimumInFlight) {
    ConcurrencyLimit limit;   // no answers yet, so that the rate is 0
    for (int i = 0; i < 8; ++i) limit.on_attempt_started(1);
    EXPECT_FALSE(limit.exceeded(2, 1, 110));
    limit.on_attempt_started(1);
    EXPECT_TRUE(limit.exceeded(2, 1, 110));
    ConcurrencyLimit few_backends;
    few_backends.on_attempt_started(1);
    EXPECT_FALSE(few_backends.exceeded(0.01, 1, 110));
    few_backends.on_attempt_started(1);
    EXPECT_TRUE(few_backends.exceeded(0.01, 1, 110));
}

TEST(ConcurrencyLimit, TheRateIsCorrectSoonAfterTheFirstAnswerAndDecays) {
    ConcurrencyLimit recently_started;
    for (int i = 0; i <= 100; ++i) recently_started.on_answer(100 + 0.01 * i);   // one second at 100/s
    for (int i = 0; i < 34; ++i) recently_started.on_attempt_started(1);
    EXPECT_FALSE(recently_started.exceeded(1, 1, 101));
    EXPECT_TRUE(recently_started.exceeded(1, 1, 104));   // no answers for twice the averaging time
}

}   // namespace
}   // namespace slatejunction::gateway
