// Several gateways that share one fleet of backends, and a gateway that gets only a small share of the
// requests.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <functional>
#include <memory>

#include "gateway/gateway_harness.hpp"

namespace {

// Independent gateways. Requests go to each in turn, and attempts are answered after 0.1 s.
struct Fleet {
    Fleet(sj::Settings base_settings, std::size_t count, int backend_count)
        : settings(std::move(base_settings)) {
        settings.ingress_count = static_cast<double>(count);
        for (int i = 0; i < backend_count; ++i) backend_ids.push_back("s" + std::to_string(100 + i) + ":1");
        for (std::size_t i = 0; i < count; ++i) gateways.push_back(start(i));
    }
    std::unique_ptr<GatewayDriver> start(std::size_t i) {
        settings.ingress_index = static_cast<std::int64_t>(i);
        auto driver = std::make_unique<GatewayDriver>(settings, ++seed, now);
        driver->update_endpoints(backend_ids);
        return driver;
    }
    void run(double seconds, double rate,
             const std::function<void(GatewayDriver&, const std::string&)>& send) {
        const double until = now + seconds;
        while (now < until) {
            GatewayDriver& driver = *gateways[next_gateway++ % gateways.size()];
            driver.run_to(now);
            answer_pending(driver);
            send(driver, "f" + std::to_string(next_request_id++));
            now += 1 / rate;
            if (now < next_update_at_s) continue;
            next_update_at_s = now + 0.05;
            for (auto& gateway : gateways) {
                gateway->run_to(now);
                answer_pending(*gateway);
            }
        }
        for (auto& driver : gateways) {
            driver->run_to(now);
            answer_pending(*driver);
        }
    }
    void answer_pending(GatewayDriver& driver) const {
        while (!driver.pending.empty() && now - driver.pending[0].started_at_s >= 0.1)
            driver.end_attempt(0, sj::AttemptResult::ok, meter_reading);
    }

    sj::Settings settings;
    std::vector<std::string> backend_ids;
    std::vector<std::unique_ptr<GatewayDriver>> gateways;
    std::uint64_t seed = 0;
    std::size_t next_gateway = 0;
    std::int64_t next_request_id = 0;
    double now = 100;
    double meter_reading = 0;   // in every answer
    double next_update_at_s = 0;
};

// Slow start over the fleet: `restarted` of 20 backends restart at a load of 0.6. In no span of
// overload_window_s may one of them get more than overload_multiple times its capacity.
void expect_slow_start_budget(std::size_t gateways, int restarted) {
    // Slow start from a capacity of 0.2 over 10 s; a backend fails at 3 times its capacity for 2 s.
    Fleet fleet(plain_settings(), gateways, 20);
    const double rate = 240, capacity = rate / 0.6 / 20;
    const auto send = [](GatewayDriver& driver, const std::string& id) { driver.request(id, "read", 5); };
    fleet.run(6, rate, send);
    const double restarted_at_s = fleet.now;
    for (auto& driver : fleet.gateways)
        for (int i = 0; i < restarted; ++i)
            driver->update_endpoint(GatewayDriver::endpoint(fleet.backend_ids[static_cast<std::size_t>(i)],
                                                            sj::EndpointState::serving, restarted_at_s));
    fleet.run(6, rate, send);
    std::size_t total = 0;
    for (int i = 0; i < restarted; ++i) {
        std::vector<double> times;
        for (const auto& driver : fleet.gateways)
            for (const auto& attempt : driver->started)
                if (attempt.backend == fleet.backend_ids[static_cast<std::size_t>(i)] &&
                    attempt.started_at_s > restarted_at_s)
                    times.push_back(attempt.started_at_s);
        std::sort(times.begin(), times.end());
        total += times.size();
        for (std::size_t from = 0, to = 0; to < times.size(); ++to) {
            while (times[to] - times[from] > 2) ++from;
            const double slow_start_capacity = 0.2 + 0.8 * (times[from] - restarted_at_s) / 10;
            ASSERT_LE(static_cast<double>(to - from + 1), 3 * slow_start_capacity * capacity * 2)
                << gateways << " gateways, " << restarted << " restarted, backend " << i;
        }
    }
    EXPECT_GT(total, static_cast<std::size_t>(55 * restarted))
        << "warm backends would get 72 attempts each";
}
TEST(SlowStartFleet, OneGateway) {
    for (const int restarted : {1, 7, 20}) expect_slow_start_budget(1, restarted);
}
TEST(SlowStartFleet, ThreeGateways) {
    for (const int restarted : {1, 7, 20}) expect_slow_start_budget(3, restarted);
}
TEST(SlowStartFleet, FourHundredGateways) {
    for (const int restarted : {1, 7, 20}) expect_slow_start_budget(400, restarted);
}

TEST(HardLimitFleet, HoldsInSumThroughARestartOfHalfTheGateways) {
    for (const std::size_t count : {1u, 3u, 40u}) {
        sj::Settings settings = plain_settings();
        settings.plans = {{"plan", 1000, 1000, 40, 80, 8}};
        Fleet fleet(settings, count, 5);
        std::size_t attempts = 0;
        const double started_at_s = fleet.now;
        for (int round = 0; round < 4; ++round) {
            fleet.run(2, 400, [&](GatewayDriver& driver, const std::string& id) {
                driver.request(id, "read", 5, 1, 9, static_cast<double>(count));
            });
            for (std::size_t i = 0; i < count; i += 2) {
                attempts += fleet.gateways[i]->started.size();
                fleet.gateways[i] = fleet.start(i);
            }
        }
        for (const auto& driver : fleet.gateways) attempts += driver->started.size();
        EXPECT_LE(static_cast<double>(attempts), 80 + 40 * (fleet.now - started_at_s) + 8) << count;
        EXPECT_GT(attempts, 60u) << count;
    }
}

// Sends `request_rate` requests per second of a customer with a quota of 10 units per second through
// `count` gateways for `seconds`. The meter sums what all gateways forward and is 1 s late. Returns the
// attempts per second in the last `tail_s`.
double forwarded_rate(std::size_t count, double request_rate, double seconds, double tail_s) {
    sj::Settings settings = plain_settings();
    settings.plans = {{"plan", 10, 30}};
    settings.meter_period_s = 0.5;
    Fleet fleet(settings, count, 5);
    const auto count_attempts = [&] {
        std::size_t total = 0;
        for (const auto& driver : fleet.gateways) total += driver->started.size();
        return static_cast<double>(total);
    };
    std::deque<double> delayed_readings{0, 0};
    double attempts_before = 0, attempts_before_tail = 0;
    for (double elapsed_s = 0; elapsed_s < seconds; elapsed_s += 0.5) {
        if (elapsed_s < seconds - tail_s) attempts_before_tail = count_attempts();
        fleet.run(0.5, request_rate, [&](GatewayDriver& driver, const std::string& id) {
            driver.request(id, "read", 5, 1, 9, static_cast<double>(count));
        });
        delayed_readings.push_back(1 + 100 * (count_attempts() - attempts_before) / 5);
        attempts_before = count_attempts();
        fleet.meter_reading = delayed_readings.front();
        delayed_readings.pop_front();
    }
    return (count_attempts() - attempts_before_tail) / tail_s;
}
TEST(QuotaFleet, ConvergesOnTheRateWithHundredsOfGateways) {
    for (const std::size_t count : {1u, 3u, 200u}) {
        const double rate = forwarded_rate(count, 40, 60, 20);
        EXPECT_GT(rate, 5) << count << " gateways; 40 requests per second, 10 of them within the quota";
        EXPECT_LT(rate, 17) << count;
    }
}
TEST(QuotaFleet, ACustomerWithinItsQuotaIsAdmittedWithHundredsOfGateways) {
    for (const std::size_t count : {1u, 3u, 200u})
        EXPECT_GT(forwarded_rate(count, 5, 40, 40), 0.93 * 5) << count;
}
TEST(QuotaFleet, ABurstWithinTheBucketIsAdmitted) {
    sj::Settings settings = plain_settings();
    settings.plans = {{"plan", 10, 30}};
    settings.meter_period_s = 0.5;
    Fleet fleet(settings, 200, 5);
    std::size_t attempts = 0;
    fleet.run(0.5, 48, [](GatewayDriver& driver, const std::string& id) {
        driver.request(id, "read", 5, 1, 9, 200);
    });
    for (const auto& driver : fleet.gateways) attempts += driver->started.size();
    EXPECT_GE(attempts, 22u) << "of 24 requests; the bucket holds 30 units";
}

struct AdmittedFractions {
    double reads = 0, writes = 0;
};
// Sends one request from each of many unknown customers through one of `ingresses` ingresses. Of four
// requests one is a write, with `relative_weight` times the priority weight of a read. Returns the
// fractions that are admitted.
AdmittedFractions admitted_of_unknown_customers(std::size_t ingresses, double relative_weight) {
    sj::Settings settings = plain_settings();
    settings.plans = {{"plan", 0.8, 4}};
    settings.plans[0].over_quota_penalty = 0.8;
    settings.classes[0].priority_weight = 2, settings.classes[2].priority_weight = 2 * relative_weight;
    settings.meter_period_s = 2;
    AdmittedFractions admitted;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GatewayDriver driver(settings, seed);
        driver.update_endpoints({"a:1"});
        for (std::uint64_t i = 0; i < 200; ++i) {
            const bool write = i % 4 == 3;
            const std::size_t before = driver.started.size();
            driver.request("q" + std::to_string(i), write ? "write" : "read", 5, 1, i,
                           static_cast<double>(ingresses));
            if (driver.started.size() > before)
                (write ? admitted.writes : admitted.reads) += 1.0 / (write ? 1000 : 3000);
            while (!driver.pending.empty()) driver.end_attempt(0, sj::AttemptResult::ok);
        }
    }
    return admitted;
}
// Unknown customers whose requests arrive through many ingresses are assumed to have high demand, so only a
// fraction of their requests is admitted. A later request that would make up for the credit of a class of
// higher priority is unlikely, so that class is not admitted in full either; otherwise it would use the
// whole bucket.
TEST(QuotaFleet, UnknownCustomersThroughManyIngressesAreAdmittedInPartInEachClass) {
    for (const double relative_weight : {3.0, 5.0, 20.0}) {
        const AdmittedFractions admitted = admitted_of_unknown_customers(100, relative_weight);
        EXPECT_LT(admitted.reads, 0.6) << relative_weight;
        EXPECT_GT(admitted.reads, 0.08)
            << relative_weight << ": an unknown customer may have low demand and retry";
        EXPECT_LT(admitted.writes, 0.85) << relative_weight;
        EXPECT_GT(admitted.writes, 1.5 * admitted.reads) << relative_weight;
    }
}
TEST(QuotaFleet, UnknownCustomersThroughFewIngressesAreAdmitted) {
    const AdmittedFractions admitted = admitted_of_unknown_customers(2, 3);
    EXPECT_DOUBLE_EQ(admitted.writes, 1);
    EXPECT_GT(admitted.reads, 0.95);
}

TEST(QuotaFleet, ClientRetriesThroughManyIngressesAreAdmittedLess) {
    const auto attempts_sent = [](bool is_client_retry) {
        sj::Settings settings = plain_settings();
        settings.plans = {{"plan", 2, 6}};
        settings.meter_period_s = 0.5;
        Fleet fleet(settings, 60, 5);
        fleet.run(20, 30, [&](GatewayDriver& driver, const std::string& id) {
            driver.handle(sj::Request{id, "read", "plan", 1, 9, driver.now + 5, 60, is_client_retry});
        });
        std::size_t attempts = 0;
        for (const auto& driver : fleet.gateways) attempts += driver->started.size();
        return static_cast<double>(attempts);
    };
    EXPECT_LT(attempts_sent(true), 0.7 * attempts_sent(false));
}

// One of 400 gateways, which gets few requests for 20 backends.
struct LowTrafficGateway : testing::Test {
    LowTrafficGateway() : driver(settings()) {
        for (int i = 0; i < 20; ++i) backend_ids.push_back("s" + std::to_string(100 + i) + ":1");
        driver.update_endpoints(backend_ids);
    }
    static sj::Settings settings() {
        sj::Settings settings = plain_settings();
        settings.ingress_count = 400;
        settings.plans = {{"plan"}, {"other"}};
        return settings;
    }
    // Sends a request every `interval_s` for `seconds`. Attempts end after 0.15 s with the result that
    // `result` gives; for `timeout` the backend is silent.
    void send_requests(
        double seconds, double interval_s,
        const std::function<sj::AttemptResult(const std::string& backend, const std::string& id)>& result,
        const std::function<const char*(int)>& plan = [](int) { return "plan"; }) {
        const double until = driver.now + seconds;
        while (driver.now < until) {
            const std::string plan_name = plan(next_id);
            driver.request(plan_name + std::to_string(next_id++), "read", 5, 1, 1, 1, plan_name);
            for (double left = interval_s; left > 0.02; left -= 0.05) {
                driver.run_to(driver.now + std::min(0.05, left));
                for (std::size_t i = 0; i < driver.pending.size();) {
                    const auto& attempt = driver.pending[i];
                    const sj::AttemptResult ended = result(attempt.backend, attempt.id);
                    const bool cancelled =
                        std::find(driver.cancelled.begin(), driver.cancelled.end(),
                                  std::pair{attempt.id, attempt.attempt}) != driver.cancelled.end();
                    if (cancelled)
                        driver.end_attempt(i, sj::AttemptResult::cancelled);
                    else if (driver.now - attempt.started_at_s >=
                             (ended == sj::AttemptResult::timeout ? 5 : 0.15))
                        driver.end_attempt(i, ended);
                    else
                        ++i;
                }
            }
        }
    }
    GatewayDriver driver;
    std::vector<std::string> backend_ids;
    int next_id = 0;
};
const auto kAllOk = [](const std::string&, const std::string&) { return sj::AttemptResult::ok; };

TEST_F(LowTrafficGateway, AdmitsEverythingWhileTheBackendsAreHealthy) {
    send_requests(120, 1, kAllOk);
    EXPECT_LE(driver.rejected.size(), 2u) << "of 120";
}

// 40 gateways with two requests per second each.
TEST(LowTrafficFleet, ShedsLoadWithinSecondsOfAQueueAndRecovers) {
    double requests = 0, attempts = 0;
    const auto send_requests = [&](GatewayDriver& driver, double until, double latency, double from) {
        static int next_id = 0;
        for (; driver.now < until; driver.run_to(driver.now + 0.05)) {
            for (std::size_t i = 0; i < driver.pending.size();)
                driver.now - driver.pending[i].started_at_s >= latency
                    ? driver.end_attempt(i, sj::AttemptResult::ok)
                    : void(++i);
            if (std::fmod(driver.now + 0.025, 0.5) >= 0.05) continue;
            const std::size_t before = driver.started.size();
            driver.request("q" + std::to_string(next_id++));
            if (driver.now > from) requests += 1, attempts += driver.started.size() > before;
        }
    };
    std::vector<std::unique_ptr<GatewayDriver>> fleet;
    for (std::uint64_t i = 0; i < 40; ++i) {
        fleet.push_back(std::make_unique<GatewayDriver>(LowTrafficGateway::settings(), 7 + i));
        fleet.back()->update_endpoints({"a:1", "b:1", "c:1", "d:1", "e:1"});
        send_requests(*fleet.back(), 104.5, 0.45, 102.5);
    }
    EXPECT_LT(attempts, 0.55 * requests) << "latencies have been above the reference for 2.5 to 4.5 s";
    requests = attempts = 0;
    for (const auto& driver : fleet) send_requests(*driver, 140, 0.1, 130);
    EXPECT_GT(attempts, 0.9 * requests);
}

TEST_F(LowTrafficGateway, AvoidsDeadBackends) {
    send_requests(20, 0.5, kAllOk);
    const auto is_dead = [&](const std::string& backend) { return backend < backend_ids[6]; };   // 6 of 20
    send_requests(20, 0.5, [&](const auto& backend, const auto&) {
        return is_dead(backend) ? sj::AttemptResult::timeout : sj::AttemptResult::ok;
    });
    const std::size_t from = driver.started.size();
    send_requests(60, 0.5, [&](const auto& backend, const auto&) {
        return is_dead(backend) ? sj::AttemptResult::timeout : sj::AttemptResult::ok;
    });
    std::size_t dead_attempts = 0;
    for (std::size_t i = from; i < driver.started.size(); ++i)
        dead_attempts += is_dead(driver.started[i].backend);
    EXPECT_LT(static_cast<double>(dead_attempts), 0.2 * static_cast<double>(driver.started.size() - from))
        << "an even share would be 0.3";
}

TEST_F(LowTrafficGateway, APauseOfTheProcessIsNotCountedAgainstTheBackends) {
    send_requests(30, 0.25, kAllOk);
    for (int i = 0; i < 3; ++i) driver.request("stall" + std::to_string(i), "read", 5);
    const std::size_t pending_count = driver.pending.size();
    ASSERT_GE(pending_count, 1u);
    // All events of the next 2 s are handled at once, timers first.
    std::vector<std::uint64_t> due;
    while (!driver.timers.empty() && driver.timers.begin()->first <= driver.now + 2) {
        due.push_back(driver.timers.begin()->second);
        driver.timers.erase(driver.timers.begin());
    }
    driver.now += 2;
    for (const std::uint64_t tag : due) driver.handle(sj::TimerFired{tag});
    EXPECT_TRUE(driver.cancelled.empty()) << "the answers are queued behind the timers";
    while (!driver.pending.empty()) driver.end_attempt(0, sj::AttemptResult::ok);
    const std::size_t rejected_before = driver.rejected.size();
    send_requests(10, 0.25, kAllOk);
    EXPECT_LE(driver.rejected.size() - rejected_before, 4u) << "of 40";
}

TEST_F(LowTrafficGateway, ABackendThatRejectsOnePlanStillServesTheOthers) {
    const auto rejects_one_plan = [&](const std::string& backend, const std::string& id) {
        return backend < backend_ids[10] && id.starts_with("plan") ? sj::AttemptResult::rejected
                                                                   : sj::AttemptResult::ok;
    };
    send_requests(120, 0.1, rejects_one_plan, [](int i) { return i % 2 ? "plan" : "other"; });
    std::size_t plan_to_rejecting = 0, plan = 0, other_to_rejecting = 0, other = 0;
    for (std::size_t i = driver.started.size() / 2; i < driver.started.size(); ++i) {
        const bool to_rejecting = driver.started[i].backend < backend_ids[10],
                   of_plan = driver.started[i].id.starts_with("plan");
        (of_plan ? plan : other) += 1;
        if (to_rejecting) (of_plan ? plan_to_rejecting : other_to_rejecting) += 1;
    }
    EXPECT_LT(static_cast<double>(plan_to_rejecting), 0.25 * static_cast<double>(plan))
        << "an even share would be 0.5";
    EXPECT_GT(static_cast<double>(other_to_rejecting), 0.3 * static_cast<double>(other));
}

TEST_F(LowTrafficGateway, FleetWideSilenceCountsAsOverloadAndCancelsFewAttempts) {
    send_requests(20, 0.2, kAllOk);
    send_requests(20, 0.2, [](const auto&, const auto&) { return sj::AttemptResult::timeout; });
    const std::size_t cancelled_before = driver.cancelled.size(), rejected_before = driver.rejected.size();
    send_requests(20, 0.2, [](const auto&, const auto&) { return sj::AttemptResult::timeout; });
    EXPECT_LE(driver.cancelled.size() - cancelled_before, 8u);
    EXPECT_GT(driver.rejected.size() - rejected_before, 50u) << "of 100";
}

TEST(BadSettings, ExtremeSizesAndReportsAreHandled) {
    for (const double fleet_size : {0.0, 1.0, -3.0, 1e12, std::nan("")}) {
        sj::Settings settings = plain_settings();
        settings.plans = {{"plan", 10, 20, 20, 40, 4}, {"free"}, {"still", 0, 5}};
        settings.ingress_count = fleet_size;
        settings.ingress_index = 1 << 30;
        settings.meter_period_s = 0.5;
        settings.report_fields = {"rif", "busy", "q", "unheard"};
        GatewayDriver driver(settings);
        driver.update_endpoints({"a:1", "b:1"});
        std::size_t served = 0;
        for (int i = 0; i < 200; ++i) {
            const double ingresses = i % 3 == 0 ? 0 : i % 3 == 1 ? 1 : std::nan("");
            driver.request("b" + std::to_string(i), "read", 5, i % 5 ? 0.1 : -1,
                           static_cast<std::uint64_t>(i), ingresses,
                           i % 2   ? "free"
                           : i % 4 ? "still"
                                   : "plan");
            while (!driver.pending.empty()) {
                const auto attempt = driver.pending[0];
                driver.pending.erase(driver.pending.begin());
                sj::AttemptEnded ended{attempt.id, attempt.attempt, sj::AttemptResult::ok, -1, true, 1e9, 0,
                                       {}};
                ended.report = {std::nan(""), -5, 1e300};
                driver.handle(ended);
                ++served;
            }
            driver.run_to(driver.now + (i == 100 ? 30 : 0.05));
        }
        EXPECT_GT(served, 100u) << fleet_size;
        driver.run_to(driver.now + 20);
        EXPECT_EQ(driver.gateway.open_requests(), 0u);
    }
}

}   // namespace
