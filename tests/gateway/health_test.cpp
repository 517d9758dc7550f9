// Servers that fail, stay silent or answer late; the way back; a fleet that is bad as a whole.
#include <gtest/gtest.h>

#include <functional>

#include "gateway/gateway_harness.hpp"

namespace {

// Asks `rate` times a second; `answer` says how an attempt on a server ends and after how long (below 0:
// never).
struct Answer {
    sj::AttemptResult outcome;
    double after;
};
void play(Driver& d, double seconds, double rate, const std::function<Answer(const std::string&)>& answer,
          const char* cls = "read") {
    static int id = 0;
    const double until = d.now + seconds;
    while (d.now < until) {
        d.ask("p" + std::to_string(id++), cls);
        d.run_to(d.now + 1 / rate);
        for (std::size_t i = 0; i < d.pending.size();) {
            const Answer a = answer(d.pending[i].server);
            const std::pair<std::string, std::int64_t> name{d.pending[i].id, d.pending[i].attempt};
            if (std::find(d.called_off.begin(), d.called_off.end(), name) != d.called_off.end())
                d.end(i, sj::AttemptResult::cancelled);
            else if (d.now - d.pending[i].at >= 5)
                d.end(i, sj::AttemptResult::timeout);
            else if (a.after >= 0 && d.now - d.pending[i].at >= a.after)
                d.end(i, a.outcome);
            else
                ++i;
        }
    }
}
const Answer kGood{sj::AttemptResult::ok, 0.1};
const std::vector<std::string> kFive{"a:1", "b:1", "c:1", "d:1", "e:1"};

// One of five answers as `sick` says for 10 s: it may get `most` of 400 requests then, and is used again
// after. Summed over seeds, as how soon it is tried again is left to chance.
void loses_and_gets_back(const Answer& sick, std::size_t most) {
    std::size_t back = 0;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        Driver d(plain_settings(), seed);
        d.list(kFive);
        play(d, 3, 40, [](const auto&) { return kGood; });
        const std::size_t before = d.sent_to("a:1");
        play(d, 10, 40, [&](const auto& s) { return s == "a:1" ? sick : kGood; });
        EXPECT_LE(d.sent_to("a:1") - before, most) << "of 400, a fifth would be 80";
        const std::size_t bad = d.sent_to("a:1");
        play(d, 30, 40, [](const auto&) { return kGood; });
        back += d.sent_to("a:1") - bad;
    }
    EXPECT_GE(back, 8 * 100u) << "of 8 * 1200";
}

TEST(Health, AServerThatFailsFastLosesItsTrafficAndGetsItBack) {
    loses_and_gets_back({sj::AttemptResult::error, 0.01}, 20);
}

TEST(Health, ASilentServerLosesItsTrafficAndGetsItBack) {
    loses_and_gets_back({sj::AttemptResult::ok, -1}, 25);
}

TEST(Health, ASlowServerGetsLess) {
    Driver d(plain_settings());
    d.list(kFive);
    play(d, 20, 40, [](const auto& s) { return s == "a:1" ? Answer{sj::AttemptResult::ok, 0.6} : kGood; });
    EXPECT_LT(d.sent_to("a:1") * 2, d.sent_to("b:1"));
    EXPECT_GT(d.sent_to("a:1"), 0u);
}

TEST(Health, UnsafeRequestsAreNotUsedAsTrials) {
    Driver d(plain_settings());
    d.list(kFive);
    play(
        d, 10, 40,
        [](const auto& s) {
            return s == "a:1" ? Answer{sj::AttemptResult::error, 0.01} : kGood;
        },
        "write");
    EXPECT_LE(d.sent_to("a:1"), 4u);
}

TEST(Health, AFleetThatAllFailsIsStillUsed) {
    Driver d(plain_settings());
    d.list(kFive);
    play(d, 10, 40, [](const auto&) { return Answer{sj::AttemptResult::error, 0.01}; });
    const std::size_t before = d.sends.size();
    play(d, 2, 40, [](const auto&) { return Answer{sj::AttemptResult::error, 0.01}; });
    EXPECT_GT(d.sends.size(), before + 10);
}

TEST(Health, OneServerLeftIsUsedEvenWhenItLooksBad) {
    Driver d(plain_settings());
    d.list({"a:1"});
    for (int i = 0; i < 10; ++i) {
        d.ask("r" + std::to_string(i));
        while (!d.pending.empty()) d.end(0, sj::AttemptResult::error);
    }
    const std::size_t before = d.sends.size();
    d.ask("last", "write");
    EXPECT_EQ(d.sends.size(), before + 1);
}

TEST(Health, ASilentAttemptIsReplacedWhereTheClassAllowsIt) {
    Driver d(plain_settings());
    d.list({"a:1", "b:1"});
    d.ask("r", "read", 5);
    d.run_to(d.now + 2);
    ASSERT_EQ(d.called_off.size(), 1u) << "one at a time: called off, not doubled";
    EXPECT_EQ(d.sends.size(), 1u);
    d.end(0, sj::AttemptResult::cancelled);
    ASSERT_EQ(d.sends.size(), 2u);
    EXPECT_NE(d.sends[0].server, d.sends[1].server);
}

}   // namespace
