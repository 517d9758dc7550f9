// Outlier detection: backends that fail, stay silent or answer late; their return; a fleet that fails as a
// whole.
#include <gtest/gtest.h>

#include <functional>

#include "gateway/gateway_harness.hpp"

namespace {

// Sends `rate` requests a second; `answer` gives the result of an attempt by its backend, and after how
// long (s; below 0: never).
struct Answer {
    sj::AttemptResult result;
    double after_s;
};
void play(GatewayDriver& d, double seconds, double rate,
          const std::function<Answer(const std::string&)>& answer, const char* cls = "read") {
    static int id = 0;
    const double until = d.now + seconds;
    while (d.now < until) {
        d.request("p" + std::to_string(id++), cls);
        d.run_to(d.now + 1 / rate);
        for (std::size_t i = 0; i < d.pending.size();) {
            const Answer a = answer(d.pending[i].backend);
            const std::pair<std::string, std::int64_t> name{d.pending[i].id, d.pending[i].attempt};
            if (std::find(d.cancelled.begin(), d.cancelled.end(), name) != d.cancelled.end())
                d.end_attempt(i, sj::AttemptResult::cancelled);
            else if (d.now - d.pending[i].started_at_s >= 5)
                d.end_attempt(i, sj::AttemptResult::timeout);
            else if (a.after_s >= 0 && d.now - d.pending[i].started_at_s >= a.after_s)
                d.end_attempt(i, a.result);
            else
                ++i;
        }
    }
}
const Answer kGood{sj::AttemptResult::ok, 0.1};
const std::vector<std::string> kFive{"a:1", "b:1", "c:1", "d:1", "e:1"};

// One of five backends answers as `failing` for 10 s: it may get `most` of 400 requests then, and is used
// again afterwards. Summed over seeds, as it is random how soon an ejected backend gets an attempt.
void expect_ejected_and_used_again(const Answer& failing, std::size_t most) {
    std::size_t back = 0;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        GatewayDriver d(plain_settings(), seed);
        d.update_endpoints(kFive);
        play(d, 3, 40, [](const auto&) { return kGood; });
        const std::size_t before = d.attempts_to("a:1");
        play(d, 10, 40, [&](const auto& s) { return s == "a:1" ? failing : kGood; });
        EXPECT_LE(d.attempts_to("a:1") - before, most) << "of 400, a fifth would be 80";
        const std::size_t bad = d.attempts_to("a:1");
        play(d, 30, 40, [](const auto&) { return kGood; });
        back += d.attempts_to("a:1") - bad;
    }
    EXPECT_GE(back, 8 * 100u) << "of 8 * 1200";
}

TEST(OutlierDetection, ABackendThatFailsFastIsEjectedAndUsedAgain) {
    expect_ejected_and_used_again({sj::AttemptResult::error, 0.01}, 20);
}

TEST(OutlierDetection, ASilentBackendIsEjectedAndUsedAgain) {
    expect_ejected_and_used_again({sj::AttemptResult::ok, -1}, 25);
}

TEST(OutlierDetection, ASlowBackendGetsLess) {
    GatewayDriver d(plain_settings());
    d.update_endpoints(kFive);
    play(d, 20, 40, [](const auto& s) { return s == "a:1" ? Answer{sj::AttemptResult::ok, 0.6} : kGood; });
    EXPECT_LT(d.attempts_to("a:1") * 2, d.attempts_to("b:1"));
    EXPECT_GT(d.attempts_to("a:1"), 0u);
}

TEST(OutlierDetection, NonIdempotentRequestsAreNotUsedToTestAnOutlier) {
    GatewayDriver d(plain_settings());
    d.update_endpoints(kFive);
    play(
        d, 10, 40,
        [](const auto& s) {
            return s == "a:1" ? Answer{sj::AttemptResult::error, 0.01} : kGood;
        },
        "write");
    EXPECT_LE(d.attempts_to("a:1"), 4u);
}

TEST(OutlierDetection, AFleetThatFailsAsAWholeIsStillUsed) {
    GatewayDriver d(plain_settings());
    d.update_endpoints(kFive);
    play(d, 10, 40, [](const auto&) { return Answer{sj::AttemptResult::error, 0.01}; });
    const std::size_t before = d.started.size();
    play(d, 2, 40, [](const auto&) { return Answer{sj::AttemptResult::error, 0.01}; });
    EXPECT_GT(d.started.size(), before + 10);
}

TEST(OutlierDetection, TheOnlyBackendIsUsedEvenAsAnOutlier) {
    GatewayDriver d(plain_settings());
    d.update_endpoints({"a:1"});
    for (int i = 0; i < 10; ++i) {
        d.request("r" + std::to_string(i));
        while (!d.pending.empty()) d.end_attempt(0, sj::AttemptResult::error);
    }
    const std::size_t before = d.started.size();
    d.request("last", "write");
    EXPECT_EQ(d.started.size(), before + 1);
}

TEST(OutlierDetection, AnOverdueAttemptIsRetriedWhereTheClassAllowsIt) {
    GatewayDriver d(plain_settings());
    d.update_endpoints({"a:1", "b:1"});
    d.request("r", "read", 5);
    d.run_to(d.now + 2);
    ASSERT_EQ(d.cancelled.size(), 1u) << "one at a time: cancelled, not hedged";
    EXPECT_EQ(d.started.size(), 1u);
    d.end_attempt(0, sj::AttemptResult::cancelled);
    ASSERT_EQ(d.started.size(), 2u);
    EXPECT_NE(d.started[0].backend, d.started[1].backend);
}

}   // namespace
