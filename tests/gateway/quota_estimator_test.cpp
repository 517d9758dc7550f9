// Unit tests of the quota estimator: one customer, its bucket, the meter and client retries.
#include "gateway/quota_estimator.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace slatejunction::gateway {
namespace {

struct QuotaEstimatorTest : testing::Test {
    Settings settings;
    Plan plan;
    Random random{1};

    QuotaEstimatorTest() {
        settings.meter_period_s = 1;
        settings.classes.resize(1);
        settings.classes[0].priority_weight = 1;
        plan.rate = 10;
        plan.burst = 30;
        plan.over_quota_penalty = 1;
    }
    // Sends `rate` requests of one unit per second for 20 s, all through this ingress; the meter reports
    // the use of the last second, or always `reading` if that is above 0. Returns the number admitted in
    // the last 10 s.
    int run(QuotaEstimator& quotas, double rate, bool client_retries = false, double reading = 0) {
        quotas.start(100);
        int admitted = 0;
        double period_end = 101, units = 0, use = 0;
        for (double now = 100; now < 120; now += 1 / rate) {
            if (now >= period_end) {
                use = 1 + 100 * units / plan.rate;
                units = 0;
                period_end += 1;
            }
            CustomerUsage& usage = quotas.find_or_add(7, now, plan, 1);
            if (!quotas.admit(usage, plan, 1, client_retries, 1, random)) continue;
            quotas.on_forwarded(usage, 1);
            units += 1;
            admitted += now >= 110 ? 1 : 0;
            quotas.on_meter_reading(usage, plan, reading > 0 ? reading : use, now);
        }
        return admitted;
    }
};

TEST_F(QuotaEstimatorTest, APlanWithoutRateAdmitsEverything) {
    plan.rate = 0;
    QuotaEstimator quotas(settings);
    EXPECT_EQ(run(quotas, 100), 1000);
}

TEST_F(QuotaEstimatorTest, UseWithinTheRateIsAdmitted) {
    QuotaEstimator quotas(settings);
    EXPECT_GE(run(quotas, 6), 58);
}

TEST_F(QuotaEstimatorTest, UseBeyondTheRateIsReducedToTheRate) {
    QuotaEstimator quotas(settings);
    const int admitted = run(quotas, 40);   // 100 are within the quota
    EXPECT_GT(admitted, 25);
    EXPECT_LT(admitted, 110);
}

TEST_F(QuotaEstimatorTest, WithAnEmptyBucketTheProbabilityFallsWithTheCostOfExcess) {
    const auto probability = [&](double penalty, double weight) {
        plan.over_quota_penalty = penalty;
        plan.over_quota_weight = weight;
        QuotaEstimator quotas(settings);
        quotas.start(100);
        CustomerUsage& usage = quotas.find_or_add(7, 100, plan, 1);
        usage.bucket_s = 0;
        usage.unmetered_units = 1000;
        usage.unmetered_requests = 1000;
        quotas.admit(usage, plan, 1, false, 1, random);
        return usage.probability;
    };
    const double at_rate = probability(0, 0);
    ASSERT_GT(at_rate, 0);
    ASSERT_LT(at_rate, 1);
    EXPECT_NEAR(probability(1, 0), 0.15 * at_rate, 1e-12);
    EXPECT_NEAR(probability(0.8, 0.3), (1 - 0.85 * 0.5) * at_rate, 1e-12);
    EXPECT_NEAR(probability(0.2, 0.9), at_rate, 1e-12);
}

TEST_F(QuotaEstimatorTest, AClientRetryGetsNothingFromTheBucket) {
    const auto probability = [&](double bucket_s, bool is_client_retry) {
        QuotaEstimator quotas(settings);
        quotas.start(100);
        CustomerUsage& usage = quotas.find_or_add(7, 100, plan, 1);
        usage.bucket_s = bucket_s;
        usage.unmetered_requests = 1000;
        quotas.admit(usage, plan, 1, is_client_retry, 1, random);
        return usage.probability;
    };
    EXPECT_EQ(probability(3, true), probability(0, true));
    EXPECT_GT(probability(3, false), probability(0, false));
}

TEST_F(QuotaEstimatorTest, UseAtOtherIngressesCounts) {
    QuotaEstimator alone(settings);
    const int before = run(alone, 9);
    QuotaEstimator shared(settings);
    EXPECT_LT(run(shared, 9, false, 1 + 400), before / 2);
}

TEST_F(QuotaEstimatorTest, ClientRetriesAreAdmittedLess) {
    QuotaEstimator without_retries(settings);
    const int before = run(without_retries, 20);
    QuotaEstimator with_retries(settings);
    EXPECT_LT(run(with_retries, 20, true), before);
}

TEST_F(QuotaEstimatorTest, ABurstUpToTheBucketsCapacityIsAdmitted) {
    QuotaEstimator quotas(settings);
    quotas.start(100);
    CustomerUsage& usage = quotas.find_or_add(7, 100, plan, 1);
    int admitted = 0;
    for (int i = 0; i < 25; ++i) {
        if (!quotas.admit(usage, plan, 1, false, 1, random)) continue;
        quotas.on_forwarded(usage, 1);
        ++admitted;
    }
    EXPECT_GE(admitted, 24);
    for (int i = 0; i < 75; ++i) {
        if (!quotas.admit(usage, plan, 1, false, 1, random)) continue;
        quotas.on_forwarded(usage, 1);
        ++admitted;
    }
    EXPECT_LT(admitted, 60);
}

TEST_F(QuotaEstimatorTest, ARepeatedReadingCountsOncePerPeriodAndAnotherAfterHalf) {
    QuotaEstimator quotas(settings);
    quotas.start(100);
    CustomerUsage& usage = quotas.find_or_add(7, 100, plan, 1);
    quotas.admit(usage, plan, 1, false, 1, random);
    quotas.on_meter_reading(usage, plan, 0, 100);
    EXPECT_EQ(usage.metered_requests, 0);
    quotas.on_meter_reading(usage, plan, 151, 100);
    EXPECT_DOUBLE_EQ(usage.metered_requests, 15);   // 1.5 times 10 requests at the plan's rate
    EXPECT_DOUBLE_EQ(usage.metered_at_rate, 10);
    EXPECT_LT(usage.bucket_s, 3);   // more was used than estimated
    quotas.on_meter_reading(usage, plan, 151, 100.9);
    EXPECT_EQ(usage.last_reading_at_s, 100);
    quotas.on_meter_reading(usage, plan, 121, 100.4);
    EXPECT_EQ(usage.last_reading_at_s, 100);
    quotas.on_meter_reading(usage, plan, 121, 100.6);
    EXPECT_EQ(usage.last_reading_at_s, 100.6);
    quotas.on_meter_reading(usage, plan, 121, 101.7);
    EXPECT_EQ(usage.last_reading_at_s, 101.7);
}

TEST_F(QuotaEstimatorTest, ReadingsDecayOverTwelveSecondsAndUnmeteredUseFaster) {
    QuotaEstimator quotas(settings);
    quotas.start(100);
    CustomerUsage& usage = quotas.find_or_add(7, 100, plan, 1);
    quotas.admit(usage, plan, 1, false, 1, random);
    quotas.on_forwarded(usage, 1);
    quotas.on_meter_reading(usage, plan, 101, 100);
    quotas.find_or_add(7, 112, plan, 1);
    EXPECT_NEAR(usage.metered_requests, 10 * std::exp(-1), 1e-9);
    EXPECT_NEAR(usage.metered_at_rate, 10 * std::exp(-1), 1e-9);
    EXPECT_NEAR(usage.local_requests, std::exp(-1), 1e-9);
    EXPECT_NEAR(usage.unmetered_units, std::exp(-8), 1e-9);
    EXPECT_NEAR(usage.unmetered_requests, std::exp(-8), 1e-9);
    EXPECT_LE(usage.bucket_s, 3);   // the bucket's capacity over the rate
}

TEST_F(QuotaEstimatorTest, IdleCustomersAreRemovedUnlessAttemptsAreInFlight) {
    QuotaEstimator quotas(settings);
    quotas.start(100);
    quotas.find_or_add(7, 100, plan, 3).in_flight = 1;
    quotas.find_or_add(8, 100, plan, 1);
    quotas.forget_idle(160);
    EXPECT_NE(quotas.find(8), nullptr);
    quotas.forget_idle(160.1);
    EXPECT_EQ(quotas.find(8), nullptr);
    ASSERT_NE(quotas.find(7), nullptr);
    EXPECT_EQ(quotas.find_or_add(7, 161, plan, 2).ingress_count, 3);   // never decreases
}

TEST_F(QuotaEstimatorTest, HigherPriorityIsAdmittedOnCredit) {
    settings.classes.resize(2);
    settings.classes[1].priority_weight = 4;
    QuotaEstimator quotas(settings);
    quotas.start(100);
    int low = 0, high = 0;
    for (int i = 0; i < 1200; ++i) {
        const double now = 100 + i / 60.0;   // 60 per second, 10 of them within the quota
        CustomerUsage& usage = quotas.find_or_add(7, now, plan, 1);
        const bool is_high = i % 5 == 0;
        if (!quotas.admit(usage, plan, 1, false, is_high ? 4 : 1, random)) continue;
        quotas.on_forwarded(usage, 1);
        (is_high ? high : low) += 1;
    }
    EXPECT_GT(4 * high, 3 * low);   // there are four times as many requests of low priority
}

}   // namespace
}   // namespace slatejunction::gateway
