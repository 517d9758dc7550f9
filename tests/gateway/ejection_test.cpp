// Ejection of outliers through the public interface: backends that fail, are silent or answer slowly, their
// return to use, and failures of the whole fleet.
#include <gtest/gtest.h>

#include <functional>

#include "gateway/gateway_harness.hpp"

namespace {

// The result of an attempt, and after how long it ends (s; below 0: never).
struct Answer {
    sj::AttemptResult result;
    double after_s;
};
// Sends `rate` requests per second for `seconds`; `answer` gives the answer of a backend.
void send_requests(GatewayDriver& driver, double seconds, double rate,
                   const std::function<Answer(const std::string&)>& answer,
                   const char* service_class = "read") {
    static int next_id = 0;
    const double until = driver.now + seconds;
    while (driver.now < until) {
        driver.request("p" + std::to_string(next_id++), service_class);
        driver.run_to(driver.now + 1 / rate);
        for (std::size_t i = 0; i < driver.pending.size();) {
            const Answer expected = answer(driver.pending[i].backend);
            const std::pair<std::string, std::int64_t> attempt{driver.pending[i].id,
                                                               driver.pending[i].attempt};
            if (std::find(driver.cancelled.begin(), driver.cancelled.end(), attempt) !=
                driver.cancelled.end())
                driver.end_attempt(i, sj::AttemptResult::cancelled);
            else if (driver.now - driver.pending[i].started_at_s >= 5)
                driver.end_attempt(i, sj::AttemptResult::timeout);
            else if (expected.after_s >= 0 &&
                     driver.now - driver.pending[i].started_at_s >= expected.after_s)
                driver.end_attempt(i, expected.result);
            else
                ++i;
        }
    }
}
const Answer kOkAnswer{sj::AttemptResult::ok, 0.1};
const std::vector<std::string> kFiveBackends{"a:1", "b:1", "c:1", "d:1", "e:1"};

// One of five backends answers as `failing` for 10 s. It may get at most `max_attempts` of 400 requests in
// that time and is used again afterwards. The attempts afterwards are summed over seeds, because it is
// random how soon an ejected backend gets an attempt.
void expect_ejected_and_used_again(const Answer& failing, std::size_t max_attempts) {
    std::size_t attempts_afterwards = 0;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        GatewayDriver driver(plain_settings(), seed);
        driver.update_endpoints(kFiveBackends);
        send_requests(driver, 3, 40, [](const auto&) { return kOkAnswer; });
        const std::size_t before = driver.attempts_to("a:1");
        send_requests(driver, 10, 40,
                      [&](const auto& backend) { return backend == "a:1" ? failing : kOkAnswer; });
        EXPECT_LE(driver.attempts_to("a:1") - before, max_attempts) << "of 400; an even share would be 80";
        const std::size_t before_recovery = driver.attempts_to("a:1");
        send_requests(driver, 30, 40, [](const auto&) { return kOkAnswer; });
        attempts_afterwards += driver.attempts_to("a:1") - before_recovery;
    }
    EXPECT_GE(attempts_afterwards, 8 * 100u) << "of 8 * 1200";
}

TEST(OutlierDetection, ABackendThatFailsFastIsEjectedAndUsedAgain) {
    expect_ejected_and_used_again({sj::AttemptResult::error, 0.01}, 20);
}

TEST(OutlierDetection, ASilentBackendIsEjectedAndUsedAgain) {
    expect_ejected_and_used_again({sj::AttemptResult::ok, -1}, 25);
}

TEST(OutlierDetection, ASlowBackendGetsFewerAttempts) {
    GatewayDriver driver(plain_settings());
    driver.update_endpoints(kFiveBackends);
    send_requests(driver, 20, 40, [](const auto& backend) {
        return backend == "a:1" ? Answer{sj::AttemptResult::ok, 0.6} : kOkAnswer;
    });
    EXPECT_LT(driver.attempts_to("a:1") * 2, driver.attempts_to("b:1"));
    EXPECT_GT(driver.attempts_to("a:1"), 0u);
}

TEST(OutlierDetection, NonIdempotentRequestsAreNotSentToAnOutlier) {
    GatewayDriver driver(plain_settings());
    driver.update_endpoints(kFiveBackends);
    send_requests(
        driver, 10, 40,
        [](const auto& backend) {
            return backend == "a:1" ? Answer{sj::AttemptResult::error, 0.01} : kOkAnswer;
        },
        "write");
    EXPECT_LE(driver.attempts_to("a:1"), 4u);
}

TEST(OutlierDetection, AttemptsAreStillStartedWhenTheWholeFleetFails) {
    GatewayDriver driver(plain_settings());
    driver.update_endpoints(kFiveBackends);
    send_requests(driver, 10, 40, [](const auto&) { return Answer{sj::AttemptResult::error, 0.01}; });
    const std::size_t before = driver.started.size();
    send_requests(driver, 2, 40, [](const auto&) { return Answer{sj::AttemptResult::error, 0.01}; });
    EXPECT_GT(driver.started.size(), before + 10);
}

TEST(OutlierDetection, TheOnlyBackendIsUsedEvenAsAnOutlier) {
    GatewayDriver driver(plain_settings());
    driver.update_endpoints({"a:1"});
    for (int i = 0; i < 10; ++i) {
        driver.request("r" + std::to_string(i));
        while (!driver.pending.empty()) driver.end_attempt(0, sj::AttemptResult::error);
    }
    const std::size_t before = driver.started.size();
    driver.request("last", "write");
    EXPECT_EQ(driver.started.size(), before + 1);
}

TEST(OutlierDetection, AnOverdueAttemptIsRetriedWhereTheClassAllowsIt) {
    GatewayDriver driver(plain_settings());
    driver.update_endpoints({"a:1", "b:1"});
    driver.request("r", "read", 5);
    driver.run_to(driver.now + 2);
    ASSERT_EQ(driver.cancelled.size(), 1u)
        << "only one attempt at a time is allowed, so it is cancelled and not hedged";
    EXPECT_EQ(driver.started.size(), 1u);
    driver.end_attempt(0, sj::AttemptResult::cancelled);
    ASSERT_EQ(driver.started.size(), 2u);
    EXPECT_NE(driver.started[0].backend, driver.started[1].backend);
}

}   // namespace
