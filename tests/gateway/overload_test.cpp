// The admission controller and the concurrency limit, through what a gateway admits.
#include <gtest/gtest.h>

#include <cmath>
#include <functional>

#include "gateway/gateway_harness.hpp"

namespace {

// Sends 100 requests a second; `latency` gives the answers' latency (s) by the part admitted lately.
// Returns the part admitted at the end.
double admitted(
    GatewayDriver& d, double seconds, const std::function<double(double)>& latency, double tail = 5,
    const std::function<const char*(int)>& cls = [](int) { return "read"; }) {
    static int id = 0;
    const double until = d.now + seconds;
    double lately = 1, asked = 0, sent = 0;
    while (d.now < until) {
        const std::size_t before = d.started.size();
        const std::string name = cls(id);
        d.request(name + std::to_string(id++), name);
        const double passed = d.started.size() > before ? 1 : 0;
        lately += 0.02 * (passed - lately);
        if (until - d.now < tail) {
            asked += 1;
            sent += passed;
        }
        d.run_to(d.now + 0.01);
        const double after = latency(lately);
        for (std::size_t i = 0; i < d.pending.size();)
            if (d.now - d.pending[i].started_at_s >= after)
                d.end_attempt(i, sj::AttemptResult::ok);
            else
                ++i;
    }
    return sent / asked;
}

struct Load : testing::Test {
    Load() : d(plain_settings()) { d.update_endpoints({"a:1", "b:1", "c:1", "d:1"}); }
    GatewayDriver d;
};

TEST_F(Load, ANewGatewayAdmitsEverythingAndContinuesWhileLatencyIsLow) {
    EXPECT_DOUBLE_EQ(admitted(d, 10, [](double) { return 0.1; }), 1.0);
}

TEST_F(Load, ConvergesBetweenTheLimitsWhenLatencyGrowsWithLoad) {
    const double share = admitted(
        d, 60, [](double f) { return 0.1 + 1.2 * f * f; }, 30);
    EXPECT_GT(share, 0.3);
    EXPECT_LT(share, 0.85);
}

// One in five has three times the priority of the others: it is admitted first, and no more are admitted in
// all.
TEST(LoadPriority, UnderLoadRequestsOfHigherPriorityAreAdmittedFirst) {
    sj::Settings s = plain_settings();
    s.classes[0].priority_weight = 2, s.classes[2].priority_weight = 6;
    GatewayDriver d(s);
    d.update_endpoints({"a:1", "b:1", "c:1", "d:1"});
    const double share = admitted(
        d, 60, [](double f) { return 0.1 + 1.2 * f * f; }, 30,
        [](int id) { return id % 5 == 0 ? "write" : "read"; });
    EXPECT_GT(share, 0.3);
    EXPECT_LT(share, 0.85);
    const auto dear = static_cast<double>(std::count_if(
        d.rejected.begin(), d.rejected.end(), [](const std::string& id) { return id[0] == 'w'; }));
    const double cheap = static_cast<double>(d.rejected.size()) - dear;
    EXPECT_GT(cheap, 500) << "of 4800";
    EXPECT_LT(dear / 1200, 0.5 * cheap / 4800);
}

TEST(LoadPriority, APlanWeightThatIsNotFiniteCountsAsNone) {
    for (const double price : {-1.0, std::nan(""), HUGE_VAL}) {
        sj::Settings s = plain_settings();
        s.classes[0].priority_weight = 2;
        s.plans[0].plan_weight = price;
        GatewayDriver d(s);
        d.update_endpoints({"a:1", "b:1", "c:1", "d:1"});
        admitted(d, 5, [](double) { return 0.1; });
        const std::size_t before = d.started.size();
        for (int i = 0; i < 300; ++i) d.request("f" + std::to_string(i));   // at once
        EXPECT_LE(d.started.size() - before, 100u) << price;
        EXPECT_GE(d.started.size() - before, 20u) << price;
    }
}

TEST_F(Load, FallsToTheMinimumFractionAndNoFurtherUnderLastingOverload) {
    const double share = admitted(
        d, 60, [](double) { return 1.5; }, 20);
    EXPECT_GT(share, 0.01);
    EXPECT_LT(share, 0.15);
}

TEST_F(Load, TheFractionIsReportedAsItChangesAndItsRejectionsNameIt) {
    admitted(d, 10, [](double) { return 0.1; });
    EXPECT_EQ(d.admitted_fraction, 1);
    EXPECT_TRUE(d.reject_reasons.empty());
    admitted(d, 60, [](double) { return 1.5; });
    EXPECT_GE(d.admitted_fraction, 0.05);
    EXPECT_LT(d.admitted_fraction, 0.15);
    ASSERT_EQ(d.reject_reasons.size(), d.rejected.size());
    const auto of = [&](sj::RejectReason reason) {
        return std::count(d.reject_reasons.begin(), d.reject_reasons.end(), reason);
    };
    EXPECT_GT(of(sj::RejectReason::admitted_fraction), 0);
    EXPECT_GT(of(sj::RejectReason::concurrency_limit),
              0);   // the first sign, before the fraction has moved
    EXPECT_EQ(of(sj::RejectReason::admitted_fraction) + of(sj::RejectReason::concurrency_limit) +
                  of(sj::RejectReason::attempts_exhausted),
              static_cast<std::ptrdiff_t>(d.reject_reasons.size()));
    admitted(d, 60, [](double) { return 0.1; });
    EXPECT_EQ(d.admitted_fraction, 1);
}

TEST_F(Load, ARejectionWithoutBackendClassOrAttemptsNamesTheReason) {
    d.request("unknown", "no such class");
    d.request("errors");
    while (!d.pending.empty()) d.end_attempt(0, sj::AttemptResult::error);
    d.update_endpoints({});
    d.request("nowhere");
    EXPECT_EQ(d.reject_reasons, (std::vector<sj::RejectReason>{sj::RejectReason::malformed,
                                                               sj::RejectReason::attempts_exhausted,
                                                               sj::RejectReason::no_backend}));
}

TEST_F(Load, AFewSlowAnswersAreNoQueue) {   // one of 25 takes 3 s, the rest 0.1 s
    int id = 0;
    for (const double until = d.now + 30; d.now < until; d.run_to(d.now + 0.01)) {
        d.request("s" + std::to_string(id++));
        for (std::size_t i = 0; i < d.pending.size();) {
            const bool slow = std::stoi(d.pending[i].id.substr(1)) % 25 == 0;
            d.now - d.pending[i].started_at_s >= (slow ? 3.0 : 0.1)
                ? d.end_attempt(i, sj::AttemptResult::ok)
                : void(++i);
        }
    }
    EXPECT_LT(static_cast<double>(d.rejected.size()), 0.05 * id);
}

TEST_F(Load, AdmitsEverythingSoonAfterALongOverload) {   // anti-windup
    admitted(d, 60, [](double) { return 1.5; });
    EXPECT_GT(admitted(
                  d, 15, [](double) { return 0.1; }, 2),
              0.95);
}

TEST_F(Load, RejectionsCarryARetryAfter) {
    admitted(d, 30, [](double) { return 1.5; });
    ASSERT_FALSE(d.rejected.empty());
    EXPECT_GT(d.last_retry_after_s, 0);
}

TEST_F(Load, OverdueAttemptsCountThoughNothingHasAnswered) {
    static int id = 0;
    const auto ask = [&](int n) {
        const std::size_t before = d.rejected.size();
        for (int i = 0; i < n; ++i) {
            d.request("o" + std::to_string(id++), "write", 20);
            d.run_to(d.now + 0.01);
        }
        return d.rejected.size() - before;
    };
    EXPECT_EQ(ask(10), 0u);
    ask(400);
    EXPECT_GT(ask(200), 20u);
}

TEST_F(Load, TheConcurrencyLimitRejectsBeforeAnyPeriodHasClosed) {
    admitted(d, 5, [](double) { return 0.1; });
    const std::size_t before = d.started.size();
    for (int i = 0; i < 300; ++i)
        d.request("f" + std::to_string(i));   // at once; 100 a second are answered
    EXPECT_LE(d.started.size() - before, 100u);
    EXPECT_GE(d.started.size() - before, 20u);
}

TEST_F(Load, TheFractionStaysWhenNothingFinishes) {
    admitted(d, 30, [](double f) { return 0.1 + 1.2 * f * f; });
    d.run_to(d.now + 30);
    EXPECT_LT(admitted(
                  d, 0.5, [](double) { return 0.1; }, 0.5),
              0.95)
        << "an idle period shows nothing";
}

}   // namespace
