// Open requests, their attempts and the tags of their timers; also the modules timing, watch_retry and
// rejection_log.
#include "gateway/request_table.hpp"

#include <gtest/gtest.h>

#include <utility>

#include "gateway/rejection_log.hpp"
#include "gateway/timing.hpp"
#include "gateway/watch_retry.hpp"

namespace slatejunction::gateway {
namespace {

TEST(RequestTable, FindsByIdAndNumberUntilErased) {
    RequestTable table;
    for (const char* id : {"a", "b"}) {
        OpenRequest open;
        open.number = table.allocate_number();
        open.request.id = id;
        table.insert(std::move(open));
    }
    EXPECT_EQ(table.size(), 2u);
    ASSERT_NE(table.find("b"), nullptr);
    EXPECT_EQ(table.find("b")->number, 2u);
    EXPECT_EQ(table.find(std::uint64_t{1})->request.id, "a");
    EXPECT_TRUE(table.contains("a"));
    table.erase(*table.find("a"));
    EXPECT_FALSE(table.contains("a"));
    EXPECT_EQ(table.find("a"), nullptr);
    EXPECT_EQ(table.find(std::uint64_t{1}), nullptr);
    EXPECT_EQ(table.by_number().begin()->second.request.id, "b");
    EXPECT_EQ(table.allocate_number(), 3u);
}

TEST(OpenRequest, FindsAttempts) {
    OpenRequest open;
    EXPECT_EQ(open.first_that_may_have_run(), nullptr);
    open.attempts.push_back({"a", 1, false, false, false, kWholeFleet});
    open.attempts.push_back({"b", 2, true, true, false, kWholeFleet});
    open.attempts.push_back({"c", 3, true, true, false, kWholeFleet});
    EXPECT_EQ(open.first_that_may_have_run()->backend, "b");
    EXPECT_EQ(open.attempt_in_flight(0), nullptr);
    EXPECT_EQ(open.attempt_in_flight(2)->backend, "c");
    EXPECT_EQ(open.attempt_in_flight(3), nullptr);
    EXPECT_EQ(open.attempt_in_flight(-1), nullptr);
}

TEST(TimerTag, EncodesKindAndRequest) {
    OpenRequest open;
    open.number = 21;
    EXPECT_EQ(TimerTag::kind(TimerTag::kTick), TimerTag::Kind::tick);
    EXPECT_EQ(TimerTag::kind(TimerTag::request_deadline(open)), TimerTag::Kind::request_deadline);
    EXPECT_EQ(TimerTag::kind(TimerTag::attempt_overdue(open)), TimerTag::Kind::attempt_overdue);
    EXPECT_EQ(TimerTag::request_number(TimerTag::request_deadline(open)), 21u);
    EXPECT_EQ(TimerTag::request_number(TimerTag::attempt_overdue(open)), 21u);
}

TEST(PauseDetector, DurationsAcrossAPauseAreInvalidForOneTick) {
    PauseDetector pauses;
    pauses.on_event(100, 0.2);
    EXPECT_FALSE(pauses.just_resumed(100));
    pauses.on_event(100, 0.21);
    EXPECT_TRUE(pauses.just_resumed(100.04));
    EXPECT_FALSE(pauses.just_resumed(100.06));
    EXPECT_TRUE(pauses.spans_pause(99.9, 100.04));
    EXPECT_FALSE(pauses.spans_pause(100, 100.04));
    EXPECT_FALSE(pauses.spans_pause(99.9, 100.06));
}

TEST(WatchRetry, IsDueAfterALossAndAfterHalfTheAllowedTime) {
    Settings settings;
    settings.watch_retry_within_s = 10;
    WatchRetry watch;
    watch.on_requested(100);
    EXPECT_FALSE(watch.should_retry(settings, 105));
    EXPECT_TRUE(watch.should_retry(settings, 105.1));
    watch.on_lost(101);
    EXPECT_FALSE(watch.should_retry(settings, 101.4));
    EXPECT_TRUE(watch.should_retry(settings, 101.5));
    watch.on_retried(101.5);
    EXPECT_FALSE(watch.should_retry(settings, 106.5));
    EXPECT_TRUE(watch.should_retry(settings, 106.6));
    settings.watch_retry_within_s = 0;
    EXPECT_FALSE(watch.should_retry(settings, 101.54));
    EXPECT_TRUE(watch.should_retry(settings, 101.56));
}

TEST(RejectionLog, SummarizesAnIntervalWithRejectionsOrOutliers) {
    RejectionLog log;
    EXPECT_FALSE(log.interval_elapsed(5));
    EXPECT_TRUE(log.interval_elapsed(5.01));
    EXPECT_EQ(log.close_interval(1, 0, 100), "");
    EXPECT_FALSE(log.interval_elapsed(105));
    log.count(RejectReason::quota);
    log.count(RejectReason::no_backend);
    log.count(RejectReason::no_backend);
    log.count(RejectReason::attempts_exhausted);
    EXPECT_EQ(log.close_interval(0.479, 3, 105.1),
              "refused: share 1, ceiling or cap 0, fraction 0, open work 0, no server 2; admitted fraction "
              "47%; suspect servers 3");
    EXPECT_EQ(log.close_interval(0.5, 0, 111), "");
    EXPECT_NE(log.close_interval(1, 1, 117), "");
}

}   // namespace
}   // namespace slatejunction::gateway
