// Quota estimates and the meter; the limit on attempts in flight; determinism.
#include <gtest/gtest.h>

#include <deque>

#include "gateway/gateway_harness.hpp"

namespace {

sj::Settings quota_settings() {
    sj::Settings s = plain_settings();
    s.plans = {{"plan", 10, 20}};
    s.meter_period_s = 0.5;
    s.max_request_units = 1;
    return s;
}

// Customer 1 requests `mine` units a second here while `theirs` are forwarded elsewhere. The meter sums
// both by periods and is read 0.8 s later, on every answer. Returns the attempts here in the last `tail`
// seconds.
std::size_t metered(GatewayDriver& d, double seconds, double mine, double theirs, double tail,
                    bool silent = false) {
    static int id = 0;
    std::deque<std::pair<double, double>> readings;   // when read, use
    const double until = d.now + seconds;
    double period = d.now, used = 0;
    std::size_t counted = d.started.size(), mark = d.started.size();
    while (d.now < until) {
        d.request("q" + std::to_string(id++), "read", 5, 1, 1, 2);
        d.run_to(d.now + 1 / mine);
        if (d.now - period >= 0.5) {
            const double units = static_cast<double>(d.started.size() - counted) + theirs * 0.5;
            readings.emplace_back(d.now + 0.8, 1 + 100 * units / (10 * 0.5));
            counted = d.started.size();
            period = d.now;
        }
        while (!readings.empty() && readings.front().first <= d.now) {
            used = readings.front().second;
            readings.pop_front();
        }
        while (!d.pending.empty()) d.end_attempt(0, sj::AttemptResult::ok, silent ? 0 : used);
        if (until - d.now > tail) mark = d.started.size();
    }
    return d.started.size() - mark;
}

TEST(Quota, ARejectionOverTheQuotaNamesTheReason) {
    GatewayDriver d(quota_settings());
    d.update_endpoints({"a:1", "b:1"});
    metered(d, 20, 40, 30, 1);
    ASSERT_GT(d.reject_reasons.size(), 100u);
    for (const sj::RejectReason reason : d.reject_reasons) EXPECT_EQ(reason, sj::RejectReason::quota);
}

TEST(Quota, ACustomerInsideItsQuotaIsNotRejected) {
    GatewayDriver d(quota_settings());
    d.update_endpoints({"a:1", "b:1"});
    metered(d, 20, 4, 3, 1);
    EXPECT_LE(d.rejected.size(), 4u) << "of 80";
}

TEST(Quota, ExcessIsRejectedDownToTheQuotaAndNotBelow) {
    GatewayDriver d(quota_settings());
    d.update_endpoints({"a:1", "b:1"});
    const std::size_t sent = metered(d, 40, 40, 0, 20);   // all of it comes through this gateway
    EXPECT_LE(sent, 20 * 10 * 1.3);
    EXPECT_GE(sent, 20 * 10 * 0.7);
    EXPECT_GT(d.last_retry_after_s, 0);
}

TEST(Quota, UseAtOtherIngressesCounts) {
    GatewayDriver d(quota_settings());
    d.update_endpoints({"a:1", "b:1"});
    const std::size_t sent = metered(d, 40, 20, 8, 20);
    EXPECT_LE(sent, 20 * 10 * 0.75) << "8 of the 10 units a second are used elsewhere";
    EXPECT_GE(sent, 20u);
}

TEST(Quota, ABurstWithinTheBucketIsAdmitted) {
    GatewayDriver d(quota_settings());
    d.update_endpoints({"a:1", "b:1"});
    for (int i = 0; i < 8; ++i) {   // 8 units at once, seen here only: the bucket has 20
        d.request("b" + std::to_string(i), "read", 5, 1, 1, 2);
        if (!d.pending.empty()) d.end_attempt(0, sj::AttemptResult::ok);
    }
    EXPECT_LE(d.rejected.size(), 1u);
}

TEST(Quota, ACustomerWhoseMeterFallsSilentRecovers) {
    GatewayDriver d(quota_settings());
    d.update_endpoints({"a:1", "b:1"});
    metered(d, 20, 40, 0, 1);
    d.run_to(d.now + 20);
    const std::size_t before = d.rejected.size();
    metered(d, 10, 4, 0, 1, true);
    EXPECT_LE(d.rejected.size() - before, 8u) << "of 40; the last reading decays slowly";
}

TEST(Quota, ARepeatedReadingCountsOnce) {
    const auto refused = [](int repeats) {
        GatewayDriver d(quota_settings());
        d.update_endpoints({"a:1", "b:1"});
        for (int i = 0; i < 60; ++i) {
            d.request("r" + std::to_string(i), "read", 5, 0.1, 1, 2);
            if (!d.pending.empty()) d.end_attempt(0, sj::AttemptResult::ok, i % 60 < repeats ? 301 : 0);
        }
        return d.rejected.size();
    };
    EXPECT_EQ(refused(1), refused(50));
}

TEST(MaxInFlight, ACustomerIsLimitedToItsAttemptsInFlight) {
    sj::Settings s = plain_settings();
    s.plans = {{"plan", 0, 0, 0, 0, 0, 3}};
    GatewayDriver d(s);
    d.update_endpoints({"a:1", "b:1"});
    for (int i = 0; i < 6; ++i) d.request("m" + std::to_string(i));
    EXPECT_EQ(d.started.size(), 3u);
    d.end_attempt(0, sj::AttemptResult::ok);
    d.request("again");
    EXPECT_EQ(d.started.size(), 4u);
}

TEST(Determinism, EqualEventsGiveEqualActionsHoweverInstancesInterleave) {
    const auto drive = [](GatewayDriver& d, int i) {
        d.request("i" + std::to_string(i), i % 3 ? "read" : "write", 3, 1,
                  static_cast<std::uint64_t>(i % 7), 2);
        d.run_to(d.now + 0.02);
        while (d.pending.size() > 3)
            d.end_attempt(0, i % 5 ? sj::AttemptResult::ok : sj::AttemptResult::error,
                          static_cast<double>(i % 400));
    };
    GatewayDriver alone(quota_settings(), 42), first(quota_settings(), 42), second(quota_settings(), 43);
    for (GatewayDriver* d : {&alone, &first, &second}) d->update_endpoints({"a:1", "b:1", "c:1"});
    for (int i = 0; i < 500; ++i) drive(alone, i);
    for (int i = 0; i < 500; ++i) {
        drive(first, i);
        drive(second, i);
    }
    ASSERT_EQ(alone.started.size(), first.started.size());
    for (std::size_t i = 0; i < alone.started.size(); ++i) {
        EXPECT_EQ(alone.started[i].id, first.started[i].id);
        EXPECT_EQ(alone.started[i].backend, first.started[i].backend);
    }
    EXPECT_EQ(alone.rejected, first.rejected);
}

}   // namespace
