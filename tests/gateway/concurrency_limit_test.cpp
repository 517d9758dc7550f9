// The concurrency limit against Little's law.
#include "gateway/concurrency_limit.hpp"

#include <gtest/gtest.h>

namespace slatejunction::gateway {
namespace {

// 100 answers a second from 100 to 110 s.
ConcurrencyLimit steady() {
    ConcurrencyLimit limit;
    for (int i = 0; i <= 1000; ++i) limit.on_answer(100 + 0.01 * i);
    return limit;
}

TEST(ConcurrencyLimit, IsTheRateTimesTheExpectedLatency) {
    ConcurrencyLimit limit = steady();   // 100/s x 0.35 objectives of 1 s = 35 in flight
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

TEST(ConcurrencyLimit, ShorterObjectivesCountMore) {
    ConcurrencyLimit limit = steady();
    for (int i = 0; i < 8; ++i) limit.on_attempt_started(0.25);   // 32 of 35
    EXPECT_FALSE(limit.exceeded(1, 1, 110));
    limit.on_attempt_started(0.25);
    EXPECT_TRUE(limit.exceeded(1, 1, 110));
}

TEST(ConcurrencyLimit, PriorityScalesTheAllowanceDownToAMinimum) {
    ConcurrencyLimit limit = steady();
    for (int i = 0; i < 40; ++i) limit.on_attempt_started(1);
    EXPECT_TRUE(limit.exceeded(1, 1, 110));
    EXPECT_FALSE(limit.exceeded(1, 1.5, 110));
    ConcurrencyLimit low = steady();
    for (int i = 0; i < 10; ++i) low.on_attempt_started(1);   // 0.3 of 35 is 10.5
    EXPECT_FALSE(low.exceeded(1, 0, 110));
    low.on_attempt_started(1);
    EXPECT_TRUE(low.exceeded(1, 0, 110));
}

TEST(ConcurrencyLimit, AlwaysAllowsAFewForEachBackend) {
    ConcurrencyLimit limit;   // no answers yet: any attempt would exceed the rate
    for (int i = 0; i < 8; ++i) limit.on_attempt_started(1);
    EXPECT_FALSE(limit.exceeded(2, 1, 110));
    limit.on_attempt_started(1);
    EXPECT_TRUE(limit.exceeded(2, 1, 110));
    ConcurrencyLimit few;
    few.on_attempt_started(1);
    EXPECT_FALSE(few.exceeded(0.01, 1, 110));
    few.on_attempt_started(1);
    EXPECT_TRUE(few.exceeded(0.01, 1, 110));
}

TEST(ConcurrencyLimit, TheRateIsRightSoonAfterTheFirstAnswerAndDecays) {
    ConcurrencyLimit young;
    for (int i = 0; i <= 100; ++i) young.on_answer(100 + 0.01 * i);   // one second at 100/s
    for (int i = 0; i < 34; ++i) young.on_attempt_started(1);
    EXPECT_FALSE(young.exceeded(1, 1, 101));
    EXPECT_TRUE(young.exceeded(1, 1, 104));   // no answers for twice the averaging time
}

}   // namespace
}   // namespace slatejunction::gateway
