// The admission controller and the concurrency limit, tested by what a gateway admits.
#include <gtest/gtest.h>

#include <cmath>
#include <functional>

#include "gateway/gateway_harness.hpp"

namespace {

// Sends 100 requests per second for `seconds`. `latency` gives the latency of answers (s) by the fraction
// admitted recently. Returns the fraction admitted in the last `tail_s`.
double run_load(
    GatewayDriver& driver, double seconds, const std::function<double(double)>& latency, double tail_s = 5,
    const std::function<const char*(int)>& service_class = [](int) { return "read"; }) {
    static int next_id = 0;
    const double until = driver.now + seconds;
    double recent_fraction = 1, requests = 0, forwarded = 0;
    while (driver.now < until) {
        const std::size_t before = driver.started.size();
        const std::string class_name = service_class(next_id);
        driver.request(class_name + std::to_string(next_id++), class_name);
        const double was_forwarded = driver.started.size() > before ? 1 : 0;
        recent_fraction += 0.02 * (was_forwarded - recent_fraction);
        if (until - driver.now < tail_s) {
            requests += 1;
            forwarded += was_forwarded;
        }
        driver.run_to(driver.now + 0.01);
        const double latency_s = latency(recent_fraction);
        for (std::size_t i = 0; i < driver.pending.size();)
            if (driver.now - driver.pending[i].started_at_s >= latency_s)
                driver.end_attempt(i, sj::AttemptResult::ok);
            else
                ++i;
    }
    return forwarded / requests;
}

struct Overload : testing::Test {
    Overload() : driver(plain_settings()) { driver.update_endpoints({"a:1", "b:1", "c:1", "d:1"}); }
    GatewayDriver driver;
};

TEST_F(Overload, AdmitsEverythingWhileLatencyIsLow) {
    EXPECT_DOUBLE_EQ(run_load(driver, 10, [](double) { return 0.1; }), 1.0);
}

TEST_F(Overload, ConvergesToAFractionWhenLatencyGrowsWithLoad) {
    const double fraction = run_load(
        driver, 60, [](double recent) { return 0.1 + 1.2 * recent * recent; }, 30);
    EXPECT_GT(fraction, 0.3);
    EXPECT_LT(fraction, 0.85);
}

// One request in five has three times the priority of the others. It is admitted first, and no more
// requests are admitted in total.
TEST(OverloadPriority, UnderLoadRequestsOfHigherPriorityAreAdmittedFirst) {
    sj::Settings settings = plain_settings();
    settings.classes[0].priority_weight = 2, settings.classes[2].priority_weight = 6;
    GatewayDriver driver(settings);
    driver.update_endpoints({"a:1", "b:1", "c:1", "d:1"});
    const double fraction = run_load(
        driver, 60, [](double recent) { return 0.1 + 1.2 * recent * recent; }, 30,
        [](int id) { return id % 5 == 0 ? "write" : "read"; });
    EXPECT_GT(fraction, 0.3);
    EXPECT_LT(fraction, 0.85);
    const auto high_priority_rejected =
        static_cast<double>(std::count_if(driver.rejected.begin(), driver.rejected.end(),
                                          [](const std::string& id) { return id[0] == 'w'; }));
    const double low_priority_rejected =
        static_cast<double>(driver.rejected.size()) - high_priority_rejected;
    EXPECT_GT(low_priority_rejected, 500) << "of 4800";
    EXPECT_LT(high_priority_rejected / 1200, 0.5 * low_priority_rejected / 4800);
}

TEST(OverloadPriority, AnInvalidPlanWeightCountsAsNone) {
    for (const double plan_weight : {-1.0, std::nan(""), HUGE_VAL}) {
        sj::Settings settings = plain_settings();
        settings.classes[0].priority_weight = 2;
        settings.plans[0].plan_weight = plan_weight;
        GatewayDriver driver(settings);
        driver.update_endpoints({"a:1", "b:1", "c:1", "d:1"});
        run_load(driver, 5, [](double) { return 0.1; });
        const std::size_t before = driver.started.size();
        for (int i = 0; i < 300; ++i) driver.request("f" + std::to_string(i));   // all at once
        EXPECT_LE(driver.started.size() - before, 100u) << plan_weight;
        EXPECT_GE(driver.started.size() - before, 20u) << plan_weight;
    }
}

TEST_F(Overload, FallsToTheMinimumFractionAndNoFurtherUnderLastingOverload) {
    const double fraction = run_load(
        driver, 60, [](double) { return 1.5; }, 20);
    EXPECT_GT(fraction, 0.01);
    EXPECT_LT(fraction, 0.15);
}

TEST_F(Overload, ChangesOfTheFractionAreReportedAndRejectionsHaveItsReason) {
    run_load(driver, 10, [](double) { return 0.1; });
    EXPECT_EQ(driver.admitted_fraction, 1);
    EXPECT_TRUE(driver.reject_reasons.empty());
    run_load(driver, 60, [](double) { return 1.5; });
    EXPECT_GE(driver.admitted_fraction, 0.05);
    EXPECT_LT(driver.admitted_fraction, 0.15);
    ASSERT_EQ(driver.reject_reasons.size(), driver.rejected.size());
    const auto count = [&](sj::RejectReason reason) {
        return std::count(driver.reject_reasons.begin(), driver.reject_reasons.end(), reason);
    };
    EXPECT_GT(count(sj::RejectReason::admitted_fraction), 0);
    // The concurrency limit reacts first, before the fraction has changed.
    EXPECT_GT(count(sj::RejectReason::concurrency_limit), 0);
    EXPECT_EQ(count(sj::RejectReason::admitted_fraction) + count(sj::RejectReason::concurrency_limit) +
                  count(sj::RejectReason::attempts_exhausted),
              static_cast<std::ptrdiff_t>(driver.reject_reasons.size()));
    run_load(driver, 60, [](double) { return 0.1; });
    EXPECT_EQ(driver.admitted_fraction, 1);
}

TEST_F(Overload, RejectionsForUnknownClassExhaustedAttemptsAndNoBackendHaveTheirReasons) {
    driver.request("unknown", "no such class");
    driver.request("errors");
    while (!driver.pending.empty()) driver.end_attempt(0, sj::AttemptResult::error);
    driver.update_endpoints({});
    driver.request("nowhere");
    EXPECT_EQ(driver.reject_reasons, (std::vector<sj::RejectReason>{sj::RejectReason::malformed,
                                                                    sj::RejectReason::attempts_exhausted,
                                                                    sj::RejectReason::no_backend}));
}

// One answer of 25 takes 3 s, the others 0.1 s.
TEST_F(Overload, AFewSlowAnswersDoNotCountAsOverload) {
    int id = 0;
    for (const double until = driver.now + 30; driver.now < until; driver.run_to(driver.now + 0.01)) {
        driver.request("s" + std::to_string(id++));
        for (std::size_t i = 0; i < driver.pending.size();) {
            const bool slow = std::stoi(driver.pending[i].id.substr(1)) % 25 == 0;
            driver.now - driver.pending[i].started_at_s >= (slow ? 3.0 : 0.1)
                ? driver.end_attempt(i, sj::AttemptResult::ok)
                : void(++i);
        }
    }
    EXPECT_LT(static_cast<double>(driver.rejected.size()), 0.05 * id);
}

// Tests the anti-windup of the admission controller.
TEST_F(Overload, AdmitsEverythingSoonAfterALongOverload) {
    run_load(driver, 60, [](double) { return 1.5; });
    EXPECT_GT(run_load(
                  driver, 15, [](double) { return 0.1; }, 2),
              0.95);
}

TEST_F(Overload, RejectionsCarryARetryAfter) {
    run_load(driver, 30, [](double) { return 1.5; });
    ASSERT_FALSE(driver.rejected.empty());
    EXPECT_GT(driver.last_retry_after_s, 0);
}

TEST_F(Overload, OverdueAttemptsCountAsLoadEvenWithoutAnyAnswer) {
    static int id = 0;
    const auto count_rejected = [&](int requests) {
        const std::size_t before = driver.rejected.size();
        for (int i = 0; i < requests; ++i) {
            driver.request("o" + std::to_string(id++), "write", 20);
            driver.run_to(driver.now + 0.01);
        }
        return driver.rejected.size() - before;
    };
    EXPECT_EQ(count_rejected(10), 0u);
    count_rejected(400);
    EXPECT_GT(count_rejected(200), 20u);
}

TEST_F(Overload, TheConcurrencyLimitRejectsABurstBeforeTheNextAdmissionPeriod) {
    run_load(driver, 5, [](double) { return 0.1; });
    const std::size_t before = driver.started.size();
    for (int i = 0; i < 300; ++i)
        driver.request("f" + std::to_string(i));   // all at once; 100 per second are answered
    EXPECT_LE(driver.started.size() - before, 100u);
    EXPECT_GE(driver.started.size() - before, 20u);
}

TEST_F(Overload, TheFractionStaysWhenNothingFinishes) {
    run_load(driver, 30, [](double recent) { return 0.1 + 1.2 * recent * recent; });
    driver.run_to(driver.now + 30);
    EXPECT_LT(run_load(
                  driver, 0.5, [](double) { return 0.1; }, 0.5),
              0.95)
        << "an idle period is not evidence of low latency";
}

}   // namespace
