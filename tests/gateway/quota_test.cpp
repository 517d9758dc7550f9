// Quotas and the meter, the limit on attempts in flight, and determinism, through the public interface.
#include <gtest/gtest.h>

#include <deque>

#include "gateway/gateway_harness.hpp"

namespace {

sj::Settings quota_settings() {
    sj::Settings settings = plain_settings();
    settings.plans = {{"plan", 10, 20}};
    settings.meter_period_s = 0.5;
    settings.max_request_units = 1;
    return settings;
}

// Customer 1 requests `local_rate` units per second at this ingress, while other ingresses forward
// `remote_rate` units per second. The meter sums what all of them forward in each period; the sum is in
// every answer from 0.8 s after the period on. If `silent`, answers have no reading. Returns the attempts
// from this ingress in the last `tail_s` seconds.
std::size_t run_metered(GatewayDriver& driver, double seconds, double local_rate, double remote_rate,
                        double tail_s, bool silent = false) {
    static int next_id = 0;
    std::deque<std::pair<double, double>> readings;   // when it becomes visible, and its value
    const double until = driver.now + seconds;
    double period_started_at_s = driver.now, reading = 0;
    std::size_t metered_attempts = driver.started.size(), attempts_before_tail = driver.started.size();
    while (driver.now < until) {
        driver.request("q" + std::to_string(next_id++), "read", 5, 1, 1, 2);
        driver.run_to(driver.now + 1 / local_rate);
        if (driver.now - period_started_at_s >= 0.5) {
            const double units =
                static_cast<double>(driver.started.size() - metered_attempts) + remote_rate * 0.5;
            readings.emplace_back(driver.now + 0.8, 1 + 100 * units / (10 * 0.5));
            metered_attempts = driver.started.size();
            period_started_at_s = driver.now;
        }
        while (!readings.empty() && readings.front().first <= driver.now) {
            reading = readings.front().second;
            readings.pop_front();
        }
        while (!driver.pending.empty()) driver.end_attempt(0, sj::AttemptResult::ok, silent ? 0 : reading);
        if (until - driver.now > tail_s) attempts_before_tail = driver.started.size();
    }
    return driver.started.size() - attempts_before_tail;
}

TEST(Quota, ARejectionOverTheQuotaHasItsReason) {
    GatewayDriver driver(quota_settings());
    driver.update_endpoints({"a:1", "b:1"});
    run_metered(driver, 20, 40, 30, 1);
    ASSERT_GT(driver.reject_reasons.size(), 100u);
    for (const sj::RejectReason reason : driver.reject_reasons) EXPECT_EQ(reason, sj::RejectReason::quota);
}

TEST(Quota, ACustomerWithinItsQuotaIsNotRejected) {
    GatewayDriver driver(quota_settings());
    driver.update_endpoints({"a:1", "b:1"});
    run_metered(driver, 20, 4, 3, 1);
    EXPECT_LE(driver.rejected.size(), 4u) << "of 80";
}

TEST(Quota, ExcessIsRejectedDownToTheQuotaAndNotBelow) {
    GatewayDriver driver(quota_settings());
    driver.update_endpoints({"a:1", "b:1"});
    const std::size_t attempts =
        run_metered(driver, 40, 40, 0, 20);   // all requests arrive at this gateway
    EXPECT_LE(attempts, 20 * 10 * 1.3);
    EXPECT_GE(attempts, 20 * 10 * 0.7);
    EXPECT_GT(driver.last_retry_after_s, 0);
}

TEST(Quota, UseAtOtherIngressesCounts) {
    GatewayDriver driver(quota_settings());
    driver.update_endpoints({"a:1", "b:1"});
    const std::size_t attempts = run_metered(driver, 40, 20, 8, 20);
    EXPECT_LE(attempts, 20 * 10 * 0.75) << "8 of the 10 units per second are used at other ingresses";
    EXPECT_GE(attempts, 20u);
}

TEST(Quota, ABurstWithinTheBucketIsAdmitted) {
    GatewayDriver driver(quota_settings());
    driver.update_endpoints({"a:1", "b:1"});
    for (int i = 0; i < 8; ++i) {   // 8 units at once at this ingress only; the bucket holds 20
        driver.request("b" + std::to_string(i), "read", 5, 1, 1, 2);
        if (!driver.pending.empty()) driver.end_attempt(0, sj::AttemptResult::ok);
    }
    EXPECT_LE(driver.rejected.size(), 1u);
}

TEST(Quota, ACustomerWhoseMeterStopsReportingRecovers) {
    GatewayDriver driver(quota_settings());
    driver.update_endpoints({"a:1", "b:1"});
    run_metered(driver, 20, 40, 0, 1);
    driver.run_to(driver.now + 20);
    const std::size_t before = driver.rejected.size();
    run_metered(driver, 10, 4, 0, 1, true);
    EXPECT_LE(driver.rejected.size() - before, 8u) << "of 40; the last reading decays slowly";
}

TEST(Quota, ARepeatedReadingCountsOnce) {
    const auto count_rejected = [](int repeats) {
        GatewayDriver driver(quota_settings());
        driver.update_endpoints({"a:1", "b:1"});
        for (int i = 0; i < 60; ++i) {
            driver.request("r" + std::to_string(i), "read", 5, 0.1, 1, 2);
            if (!driver.pending.empty())
                driver.end_attempt(0, sj::AttemptResult::ok, i % 60 < repeats ? 301 : 0);
        }
        return driver.rejected.size();
    };
    EXPECT_EQ(count_rejected(1), count_rejected(50));
}

TEST(MaxInFlight, ACustomerIsLimitedToItsAttemptsInFlight) {
    sj::Settings settings = plain_settings();
    settings.plans = {{"plan", 0, 0, 0, 0, 0, 3}};
    GatewayDriver driver(settings);
    driver.update_endpoints({"a:1", "b:1"});
    for (int i = 0; i < 6; ++i) driver.request("m" + std::to_string(i));
    EXPECT_EQ(driver.started.size(), 3u);
    driver.end_attempt(0, sj::AttemptResult::ok);
    driver.request("again");
    EXPECT_EQ(driver.started.size(), 4u);
}

TEST(Determinism, EqualEventsGiveEqualActionsWithInterleavedInstances) {
    const auto run_step = [](GatewayDriver& driver, int i) {
        driver.request("i" + std::to_string(i), i % 3 ? "read" : "write", 3, 1,
                       static_cast<std::uint64_t>(i % 7), 2);
        driver.run_to(driver.now + 0.02);
        while (driver.pending.size() > 3)
            driver.end_attempt(0, i % 5 ? sj::AttemptResult::ok : sj::AttemptResult::error,
                               static_cast<double>(i % 400));
    };
    GatewayDriver reference(quota_settings(), 42), first(quota_settings(), 42),
        second(quota_settings(), 43);
    for (GatewayDriver* driver : {&reference, &first, &second})
        driver->update_endpoints({"a:1", "b:1", "c:1"});
    for (int i = 0; i < 500; ++i) run_step(reference, i);
    for (int i = 0; i < 500; ++i) {
        run_step(first, i);
        run_step(second, i);
    }
    ASSERT_EQ(reference.started.size(), first.started.size());
    for (std::size_t i = 0; i < reference.started.size(); ++i) {
        EXPECT_EQ(reference.started[i].id, first.started[i].id);
        EXPECT_EQ(reference.started[i].backend, first.started[i].backend);
    }
    EXPECT_EQ(reference.rejected, first.rejected);
}

}   // namespace
