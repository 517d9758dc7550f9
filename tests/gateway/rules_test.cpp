// The five rules, each through the public interface.
#include <gtest/gtest.h>

#include "gateway/gateway_harness.hpp"

namespace {

TEST(Answer, ComesByTheDeadlineWhenTheServerStaysSilent) {
    for (const char* cls : {"read", "key", "write"}) {
        Driver d(plain_settings());
        d.list({"a:1"});
        d.ask("r", cls, 2.0);
        ASSERT_EQ(d.sends.size(), 1u);
        d.run_to(102.0);
        ASSERT_EQ(d.ended_at.count("r"), 1u) << cls;
        EXPECT_LE(d.ended_at["r"], 102.0);
        EXPECT_EQ(d.refused.size() + d.aborted.size(), 1u) << cls;
    }
}

TEST(Answer, NothingIsSentAfterIt) {
    sj::Settings s = plain_settings();
    s.hedging_allowed = true;
    Driver d(s);
    d.list({"a:1", "b:1", "c:1"});
    d.ask("r", "read", 2.0);
    d.run_to(102.5);
    ASSERT_EQ(d.ended_at.count("r"), 1u);
    const std::size_t sent = d.sends.size();
    while (!d.pending.empty()) d.end(0, sj::AttemptResult::connect_failed);
    d.run_to(110);
    EXPECT_EQ(d.sends.size(), sent);
    EXPECT_EQ(d.refused.size() + d.aborted.size(), 1u);
    EXPECT_EQ(d.gateway.open_requests(), 0u);
}

// A request given up on is answered in the same call, and a refusal says when to come back.
TEST(Answer, ComesAtOnceWhenFurtherAttemptsAreUsedUp) {
    for (const auto outcome :
         {sj::AttemptResult::error, sj::AttemptResult::rejected, sj::AttemptResult::connect_failed,
          sj::AttemptResult::reset, sj::AttemptResult::timeout}) {
        for (const char* cls : {"read", "key", "write"}) {
            Driver d(plain_settings());
            d.list({"a:1", "b:1", "c:1", "d:1"});
            d.ask("r", cls);
            for (double at = 100.1; !d.pending.empty(); at += 0.1) {
                d.run_to(at);
                EXPECT_EQ(d.ended_at.count("r"), 0u);
                d.end(0, outcome);
            }
            ASSERT_EQ(d.ended_at.count("r"), 1u) << cls;
            EXPECT_EQ(d.ended_at["r"], d.now) << "held back after its last attempt";
            EXPECT_LT(d.now, 100.5);
            if (!d.refused.empty()) {
                EXPECT_GT(d.retry_after, 0) << cls;
            }
        }
    }
}

TEST(Answer, ComesAtOnceWhenACalledOffAttemptCannotBeReplaced) {
    Driver d(plain_settings());
    d.list({"a:1"});
    d.ask("r", "read", 5);
    d.run_to(d.now + 2);
    ASSERT_EQ(d.called_off.size(), 1u);
    d.list({});
    d.end(0, sj::AttemptResult::cancelled);
    ASSERT_EQ(d.refused.size(), 1u) << "given up, yet no answer";
    EXPECT_GT(d.retry_after, 0);
}

TEST(Answer, AnAttemptThatCannotBeReplacedIsNotCalledOff) {
    sj::Settings s = plain_settings();
    s.max_attempts = 1;
    Driver d(s);
    d.list({"a:1", "b:1"});
    d.ask("r", "read", 5);
    d.run_to(d.now + 4.9);
    EXPECT_TRUE(d.called_off.empty());
    EXPECT_EQ(d.ended_at.count("r"), 0u) << "its answer may still come";
}

TEST(Answer, OfTheDeadlineTimerSaysWhenToComeBack) {
    Driver d(plain_settings());
    d.list({"a:1"});
    d.ask("r", "read", 2.0);
    d.run_to(102.0);
    ASSERT_EQ(d.refused.size(), 1u);
    EXPECT_GT(d.retry_after, 0);
}

TEST(Answer, AClientThatLeftLeavesNothingBehind) {
    Driver d(plain_settings());
    d.list({"a:1"});
    d.ask("r");
    d.give(sj::ClientDisconnected{"r"});
    EXPECT_EQ(d.called_off.size(), 1u);
    d.ended_at["r"] = d.now;
    d.end(0, sj::AttemptResult::cancelled);
    EXPECT_EQ(d.gateway.open_requests(), 0u);
    EXPECT_TRUE(d.refused.empty() && d.aborted.empty());
}

TEST(Effect, AnUnsafeRequestThatMayHaveRunIsAbortedNotResent) {
    for (const auto outcome :
         {sj::AttemptResult::error, sj::AttemptResult::reset, sj::AttemptResult::timeout}) {
        Driver d(plain_settings());
        d.list({"a:1", "b:1"});
        d.ask("r", "write");
        d.end(0, outcome);
        EXPECT_EQ(d.sends.size(), 1u);
        EXPECT_EQ(d.aborted.size(), 1u);
        EXPECT_TRUE(d.refused.empty());
    }
}

TEST(Effect, AnUnsafeRequestThatNeverRanIsResentElsewhere) {
    for (const auto outcome : {sj::AttemptResult::rejected, sj::AttemptResult::connect_failed}) {
        Driver d(plain_settings());
        d.list({"a:1", "b:1"});
        d.ask("r", "write");
        d.end(0, outcome);
        ASSERT_EQ(d.sends.size(), 2u);
        EXPECT_NE(d.sends[0].server, d.sends[1].server);
    }
}

TEST(Effect, AKeyedRequestStaysInItsGroupAndWindow) {
    Driver d(plain_settings());
    sj::Endpoint far = Driver::entry("b:1");
    far.zone = "y";
    d.list({"a:1"});
    d.change(far);
    d.ask("r", "key");
    d.end(0, sj::AttemptResult::error);
    for (const auto& send : d.sends) EXPECT_EQ(send.server, d.sends[0].server);
    EXPECT_TRUE(d.refused.empty());

    double begin_by = -1;   // of the further attempt: by the first's time, its window of 3 s and a margin
    for (const sj::Action& a : d.log)
        if (const auto* send = std::get_if<sj::StartAttempt>(&a)) begin_by = send->start_by_s;
    ASSERT_EQ(d.sends.size(), 2u);
    EXPECT_GT(begin_by, d.sends[0].at + 2.9);
    EXPECT_LT(begin_by, d.sends[0].at + 3);

    Driver late(plain_settings());
    late.list({"a:1", "c:1"});
    late.ask("r", "key", 5.0);
    late.run_to(103.5);
    ASSERT_EQ(late.sends.size(), 1u);
    late.end(0, sj::AttemptResult::error);
    EXPECT_EQ(late.sends.size(), 1u) << "the window has passed";
    EXPECT_EQ(late.aborted.size(), 1u);
}

TEST(Effect, AttemptsKeepToTheCapAndToOneAtATime) {
    Driver d(plain_settings());
    d.list({"a:1", "b:1", "c:1", "d:1", "e:1"});
    d.ask("r");
    for (int i = 0; i < 8 && !d.pending.empty(); ++i) {
        EXPECT_EQ(d.pending.size(), 1u);
        d.end(0, sj::AttemptResult::error);
    }
    EXPECT_EQ(d.sends.size(), 3u);
    EXPECT_EQ(d.refused.size() + d.aborted.size(), 1u);
}

TEST(Drain, NothingNewGoesToAServerThatDrainsOrIsGone) {
    Driver d(plain_settings());
    d.list({"a:1", "b:1", "c:1"});
    d.change(Driver::entry("a:1", sj::EndpointState::draining));
    d.list({"b:1", "a:1"}, sj::EndpointUpdateKind::watch_lost);   // a failed call says nothing
    for (int i = 0; i < 30; ++i) d.ask("x" + std::to_string(i));
    EXPECT_EQ(d.sent_to("a:1"), 0u);
    EXPECT_GT(d.sent_to("c:1"), 0u);
    const std::size_t before = d.sent_to("c:1");
    d.list({"b:1"});
    for (int i = 0; i < 30; ++i) d.ask("y" + std::to_string(i));
    EXPECT_EQ(d.sent_to("c:1"), before);
}

TEST(Drain, ARequestIsRefusedWhenNoServerIsLeft) {
    Driver d(plain_settings());
    d.ask("r");
    EXPECT_EQ(d.refused.size(), 1u);
}

TEST(Cold, AFreshServerTakesOnlyItsPartOfTheBudget) {
    sj::Settings s = plain_settings();
    s.ingress_count = 3;
    Driver d(s);
    d.list({"a:1", "b:1", "c:1"});
    int id = 0;
    const auto second = [&] {   // 30 requests a second, each answered after 0.1 s
        const double until = d.now + 1;
        while (d.now < until) {
            d.ask("r" + std::to_string(id++));
            d.run_to(d.now + 1.0 / 30);
            while (!d.pending.empty() && d.now - d.pending[0].at > 0.1) d.end(0, sj::AttemptResult::ok);
        }
    };
    for (int i = 0; i < 10; ++i) second();
    d.change(Driver::entry("n:1", sj::EndpointState::serving, d.now));
    for (int i = 0; i < 2; ++i) second();
    // a warm server takes about 20 in that span; the new one starts at 0.2 of that, times 3 at most
    EXPECT_LE(d.sent_to("n:1"), 12u);
    for (int i = 0; i < 20; ++i) second();
    EXPECT_GE(d.sent_to("n:1"), 50u) << "warm by now";
}

TEST(Ceiling, NoMoreThanThisGatewaysPartIsSentOn) {
    sj::Settings s = plain_settings();
    s.plans = {{"plan", 100, 1000, 20, 40, 4}};
    Driver d(s);
    d.list({"a:1", "b:1"});
    for (int i = 0; i < 4000; ++i) {   // 10 s at 400 a second through one of two doors
        d.ask("r" + std::to_string(i), "read", 5, 1, 9, 2);
        d.run_to(d.now + 0.0025);
        while (!d.pending.empty()) d.end(0, sj::AttemptResult::ok);
    }
    EXPECT_LE(d.sends.size(), 10 * 20 / 2 + 40 / 2);
    EXPECT_GE(d.sends.size(), 50u);
}

TEST(Ceiling, ARestartDoesNotRefillIt) {
    sj::Settings s = plain_settings();
    s.plans = {{"plan", 100, 1000, 20, 40, 4}};
    std::size_t sent = 0;
    double clock = 100;
    for (int life = 0; life < 10; ++life) {   // one second each
        Driver d(s, 1, clock);
        d.list({"a:1"});
        for (int i = 0; i < 100; ++i) {
            d.ask("r" + std::to_string(i), "read", 5, 1, 9, 2);
            d.run_to(d.now + 0.01);
            while (!d.pending.empty()) d.end(0, sj::AttemptResult::ok);
        }
        sent += d.sends.size();
        clock = d.now;
    }
    EXPECT_LE(sent, 10 * 20 / 2 + 40 / 2);
}

}   // namespace
