// The hard limits of a plan at one ingress.
#include "gateway/token_bucket.hpp"

#include <gtest/gtest.h>

namespace slatejunction::gateway {
namespace {

Plan limited_plan() {
    Plan plan;
    plan.hard_limit_rate = 10;
    plan.hard_limit_burst = 40;
    return plan;
}

TEST(TokenBucket, StartsEmptyAndFillsAtItsShareOfTheRateUpToItsShareOfTheBurst) {
    TokenBucket bucket;
    bucket.refill(100, 100, limited_plan(), 2);
    EXPECT_FALSE(bucket.would_admit(0.1));
    bucket.refill(101, 100, limited_plan(), 2);
    EXPECT_TRUE(bucket.would_admit(5));
    EXPECT_FALSE(bucket.would_admit(5.1));
    bucket.refill(200, 100, limited_plan(), 2);
    EXPECT_TRUE(bucket.would_admit(20));
    EXPECT_FALSE(bucket.would_admit(20.1));
}

TEST(TokenBucket, TheBucketOfANewCustomerFillsFromTheStartOfTheGateway) {
    TokenBucket bucket;
    bucket.refill(103, 100, limited_plan(), 1);
    EXPECT_TRUE(bucket.would_admit(30));
    EXPECT_FALSE(bucket.would_admit(30.1));
}

TEST(TokenBucket, ConsumeTakesUnits) {
    TokenBucket bucket;
    bucket.refill(103, 100, limited_plan(), 0);   // an ingress count of 0 counts as 1
    bucket.consume(25);
    EXPECT_TRUE(bucket.would_admit(5));
    EXPECT_FALSE(bucket.would_admit(5.1));
    bucket.refill(102, 100, limited_plan(), 1);   // an earlier time adds nothing
    EXPECT_FALSE(bucket.would_admit(5.1));
    bucket.refill(104, 100, limited_plan(), 1);
    EXPECT_TRUE(bucket.would_admit(15));
    EXPECT_FALSE(bucket.would_admit(15.1));
}

TEST(HardLimits, ApplyOnlyIfThePlanHasThem) {
    const TokenBucket empty;
    Plan plan;
    EXPECT_TRUE(within_hard_limits(plan, empty, 100, 100));
    plan.max_in_flight = 3;
    EXPECT_TRUE(within_hard_limits(plan, empty, 100, 2));
    EXPECT_FALSE(within_hard_limits(plan, empty, 100, 3));
    EXPECT_FALSE(within_hard_limits(limited_plan(), empty, 1, 0));
    TokenBucket full;
    full.refill(200, 100, limited_plan(), 1);
    EXPECT_TRUE(within_hard_limits(limited_plan(), full, 40, 1000));
}

}   // namespace
}   // namespace slatejunction::gateway
