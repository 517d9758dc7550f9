// Pass shares and the meter; the cap on requests open at once; determinism.
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

// Customer 1 asks `mine` units a second here while `theirs` pass elsewhere. The meter sums both by periods
// and is heard 0.8 s later, on every answer. Returns own sends of the last `tail` seconds.
std::size_t metered(Driver& d, double seconds, double mine, double theirs, double tail,
                    bool silent = false) {
    static int id = 0;
    std::deque<std::pair<double, double>> heard;   // when heard, used
    const double until = d.now + seconds;
    double period = d.now, used = 0;
    std::size_t counted = d.sends.size(), mark = d.sends.size();
    while (d.now < until) {
        d.ask("q" + std::to_string(id++), "read", 5, 1, 1, 2);
        d.run_to(d.now + 1 / mine);
        if (d.now - period >= 0.5) {
            const double units = static_cast<double>(d.sends.size() - counted) + theirs * 0.5;
            heard.emplace_back(d.now + 0.8, 1 + 100 * units / (10 * 0.5));
            counted = d.sends.size();
            period = d.now;
        }
        while (!heard.empty() && heard.front().first <= d.now) {
            used = heard.front().second;
            heard.pop_front();
        }
        while (!d.pending.empty()) d.end(0, sj::AttemptResult::ok, silent ? 0 : used);
        if (until - d.now > tail) mark = d.sends.size();
    }
    return d.sends.size() - mark;
}

TEST(Shares, ARefusalBeyondTheQuotaSaysSo) {
    Driver d(quota_settings());
    d.list({"a:1", "b:1"});
    metered(d, 20, 40, 30, 1);
    ASSERT_GT(d.reasons.size(), 100u);
    for (const sj::RejectReason reason : d.reasons) EXPECT_EQ(reason, sj::RejectReason::quota);
}

TEST(Shares, ACustomerInsideItsQuotaIsNotRefused) {
    Driver d(quota_settings());
    d.list({"a:1", "b:1"});
    metered(d, 20, 4, 3, 1);
    EXPECT_LE(d.refused.size(), 4u) << "of 80";
}

TEST(Shares, SurplusIsRefusedDownToTheQuotaAndNotBelow) {
    Driver d(quota_settings());
    d.list({"a:1", "b:1"});
    const std::size_t sent = metered(d, 40, 40, 0, 20);   // all of it comes through this gateway
    EXPECT_LE(sent, 20 * 10 * 1.3);
    EXPECT_GE(sent, 20 * 10 * 0.7);
    EXPECT_GT(d.retry_after, 0);
}

TEST(Shares, WhatPassesElsewhereIsTakenIntoAccount) {
    Driver d(quota_settings());
    d.list({"a:1", "b:1"});
    const std::size_t sent = metered(d, 40, 20, 8, 20);
    EXPECT_LE(sent, 20 * 10 * 0.75) << "8 of the 10 units a second are used elsewhere";
    EXPECT_GE(sent, 20u);
}

TEST(Shares, ABurstWithinTheStoreIsNotCut) {
    Driver d(quota_settings());
    d.list({"a:1", "b:1"});
    for (int i = 0; i < 8; ++i) {   // 8 units at once, seen here only: the store holds 20
        d.ask("b" + std::to_string(i), "read", 5, 1, 1, 2);
        if (!d.pending.empty()) d.end(0, sj::AttemptResult::ok);
    }
    EXPECT_LE(d.refused.size(), 1u);
}

TEST(Shares, ACustomerWhoseMeterFallsSilentRecovers) {
    Driver d(quota_settings());
    d.list({"a:1", "b:1"});
    metered(d, 20, 40, 0, 1);
    d.run_to(d.now + 20);
    const std::size_t before = d.refused.size();
    metered(d, 10, 4, 0, 1, true);
    EXPECT_LE(d.refused.size() - before, 8u) << "of 40; what was told last fades slowly";
}

TEST(Shares, ARepeatedReadingCountsOnce) {
    const auto refused = [](int repeats) {
        Driver d(quota_settings());
        d.list({"a:1", "b:1"});
        for (int i = 0; i < 60; ++i) {
            d.ask("r" + std::to_string(i), "read", 5, 0.1, 1, 2);
            if (!d.pending.empty()) d.end(0, sj::AttemptResult::ok, i % 60 < repeats ? 301 : 0);
        }
        return d.refused.size();
    };
    EXPECT_EQ(refused(1), refused(50));
}

TEST(MaxOut, ACustomerIsHeldToItsCapOnAttemptsOut) {
    sj::Settings s = plain_settings();
    s.plans = {{"plan", 0, 0, 0, 0, 0, 3}};
    Driver d(s);
    d.list({"a:1", "b:1"});
    for (int i = 0; i < 6; ++i) d.ask("m" + std::to_string(i));
    EXPECT_EQ(d.sends.size(), 3u);
    d.end(0, sj::AttemptResult::ok);
    d.ask("again");
    EXPECT_EQ(d.sends.size(), 4u);
}

TEST(Determinism, EqualEventsGiveEqualActionsHoweverInstancesInterleave) {
    const auto drive = [](Driver& d, int i) {
        d.ask("i" + std::to_string(i), i % 3 ? "read" : "write", 3, 1, static_cast<std::uint64_t>(i % 7),
              2);
        d.run_to(d.now + 0.02);
        while (d.pending.size() > 3)
            d.end(0, i % 5 ? sj::AttemptResult::ok : sj::AttemptResult::error,
                  static_cast<double>(i % 400));
    };
    Driver alone(quota_settings(), 42), first(quota_settings(), 42), second(quota_settings(), 43);
    for (Driver* d : {&alone, &first, &second}) d->list({"a:1", "b:1", "c:1"});
    for (int i = 0; i < 500; ++i) drive(alone, i);
    for (int i = 0; i < 500; ++i) {
        drive(first, i);
        drive(second, i);
    }
    ASSERT_EQ(alone.sends.size(), first.sends.size());
    for (std::size_t i = 0; i < alone.sends.size(); ++i) {
        EXPECT_EQ(alone.sends[i].id, first.sends[i].id);
        EXPECT_EQ(alone.sends[i].server, first.sends[i].server);
    }
    EXPECT_EQ(alone.refused, first.refused);
}

}   // namespace
