// Many gateways over one fleet, and one gateway that sees only a little of it.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <functional>
#include <memory>

#include "gateway/gateway_harness.hpp"

namespace {

// Independent gateways; requests go to each in turn and are answered after 0.1 s.
struct Fleet {
    Fleet(sj::Settings s, std::size_t count, int backends) : settings(std::move(s)) {
        settings.ingress_count = static_cast<double>(count);
        for (int i = 0; i < backends; ++i) names.push_back("s" + std::to_string(100 + i) + ":1");
        for (std::size_t i = 0; i < count; ++i) gateways.push_back(start(i));
    }
    std::unique_ptr<GatewayDriver> start(std::size_t i) {
        settings.ingress_index = static_cast<std::int64_t>(i);
        auto d = std::make_unique<GatewayDriver>(settings, ++seed, now);
        d->update_endpoints(names);
        return d;
    }
    void run(double seconds, double rate,
             const std::function<void(GatewayDriver&, const std::string&)>& ask) {
        const double until = now + seconds;
        while (now < until) {
            GatewayDriver& d = *gateways[next++ % gateways.size()];
            d.run_to(now);
            answer_pending(d);
            ask(d, "f" + std::to_string(ids++));
            now += 1 / rate;
            if (now < next_visit_at) continue;
            next_visit_at = now + 0.05;
            for (auto& one : gateways) {
                one->run_to(now);
                answer_pending(*one);
            }
        }
        for (auto& d : gateways) {
            d->run_to(now);
            answer_pending(*d);
        }
    }
    void answer_pending(GatewayDriver& d) const {
        while (!d.pending.empty() && now - d.pending[0].started_at_s >= 0.1)
            d.end_attempt(0, sj::AttemptResult::ok, meter_reading);
    }

    sj::Settings settings;
    std::vector<std::string> names;
    std::vector<std::unique_ptr<GatewayDriver>> gateways;
    std::uint64_t seed = 0;
    std::size_t next = 0;
    std::int64_t ids = 0;
    double now = 100;
    double meter_reading = 0;   // on every answer
    double next_visit_at = 0;
};

// Rule 4 over the fleet: `cold` of 20 backends restart at a load of 0.6; in no span may one of them get
// more than overload_multiple times its capacity.
void cold_budget(std::size_t gateways, int cold) {
    Fleet f(plain_settings(), gateways,
            20);   // slow start from 0.2 over 10 s; fails at 3 times its capacity for 2 s
    const double rate = 240, capacity = rate / 0.6 / 20;
    const auto ask = [](GatewayDriver& d, const std::string& id) { d.request(id, "read", 5); };
    f.run(6, rate, ask);
    const double born = f.now;
    for (auto& d : f.gateways)
        for (int i = 0; i < cold; ++i)
            d->update_endpoint(GatewayDriver::endpoint(f.names[static_cast<std::size_t>(i)],
                                                       sj::EndpointState::serving, born));
    f.run(6, rate, ask);
    std::size_t total = 0;
    for (int i = 0; i < cold; ++i) {
        std::vector<double> at;
        for (const auto& d : f.gateways)
            for (const auto& s : d->started)
                if (s.backend == f.names[static_cast<std::size_t>(i)] && s.started_at_s > born)
                    at.push_back(s.started_at_s);
        std::sort(at.begin(), at.end());
        total += at.size();
        for (std::size_t from = 0, to = 0; to < at.size(); ++to) {
            while (at[to] - at[from] > 2) ++from;
            const double warmth = 0.2 + 0.8 * (at[from] - born) / 10;
            ASSERT_LE(static_cast<double>(to - from + 1), 3 * warmth * capacity * 2)
                << gateways << " gateways, " << cold << " cold, backend " << i;
        }
    }
    EXPECT_GT(total, static_cast<std::size_t>(55 * cold)) << "of 72 each that a warm one would get";
}
TEST(SlowStartFleet, OneGateway) {
    for (const int cold : {1, 7, 20}) cold_budget(1, cold);
}
TEST(SlowStartFleet, ThreeGateways) {
    for (const int cold : {1, 7, 20}) cold_budget(3, cold);
}
TEST(SlowStartFleet, FourHundredGateways) {
    for (const int cold : {1, 7, 20}) cold_budget(400, cold);
}

TEST(HardLimitFleet, HoldsInSumThroughARestartOfHalfTheGateways) {
    for (const std::size_t count : {1u, 3u, 40u}) {
        sj::Settings s = plain_settings();
        s.plans = {{"plan", 1000, 1000, 40, 80, 8}};
        Fleet f(s, count, 5);
        std::size_t sent = 0;
        const double began = f.now;
        for (int turn = 0; turn < 4; ++turn) {
            f.run(2, 400, [&](GatewayDriver& d, const std::string& id) {
                d.request(id, "read", 5, 1, 9, static_cast<double>(count));
            });
            for (std::size_t i = 0; i < count; i += 2) {
                sent += f.gateways[i]->started.size();
                f.gateways[i] = f.start(i);
            }
        }
        for (const auto& d : f.gateways) sent += d->started.size();
        EXPECT_LE(static_cast<double>(sent), 80 + 40 * (f.now - began) + 8) << count;
        EXPECT_GT(sent, 60u) << count;
    }
}

// A customer of 10 units a second behind `count` gateways; the meter sums what all forward and is 1 s late.
double spread(std::size_t count, double asked, double seconds, double tail) {
    sj::Settings s = plain_settings();
    s.plans = {{"plan", 10, 30}};
    s.meter_period_s = 0.5;
    Fleet f(s, count, 5);
    const auto sent = [&] {
        std::size_t n = 0;
        for (const auto& d : f.gateways) n += d->started.size();
        return static_cast<double>(n);
    };
    std::deque<double> late{0, 0};
    double before = 0, mark = 0;
    for (double t = 0; t < seconds; t += 0.5) {
        if (t < seconds - tail) mark = sent();
        f.run(0.5, asked, [&](GatewayDriver& d, const std::string& id) {
            d.request(id, "read", 5, 1, 9, static_cast<double>(count));
        });
        late.push_back(1 + 100 * (sent() - before) / 5);
        before = sent();
        f.meter_reading = late.front();
        late.pop_front();
    }
    return (sent() - mark) / tail;
}
TEST(QuotaFleet, ConvergesOnTheRateWithHundredsOfGateways) {
    for (const std::size_t count : {1u, 3u, 200u}) {
        const double passed = spread(count, 40, 60, 20);
        EXPECT_GT(passed, 5) << count << " gateways, of 40 requests a second, 10 inside the quota";
        EXPECT_LT(passed, 17) << count;
    }
}
TEST(QuotaFleet, ACustomerInsideItsQuotaIsAdmittedWithHundredsOfGateways) {
    for (const std::size_t count : {1u, 3u, 200u}) EXPECT_GT(spread(count, 5, 40, 40), 0.93 * 5) << count;
}
TEST(QuotaFleet, ABurstInsideTheBucketIsAdmitted) {
    sj::Settings s = plain_settings();
    s.plans = {{"plan", 10, 30}};
    s.meter_period_s = 0.5;
    Fleet f(s, 200, 5);
    std::size_t sent = 0;
    f.run(0.5, 48, [](GatewayDriver& d, const std::string& id) { d.request(id, "read", 5, 1, 9, 200); });
    for (const auto& d : f.gateways) sent += d->started.size();
    EXPECT_GE(sent, 22u) << "of 24 requests; the bucket has 30 units";
}

// Unknown customers send one request each, three reads to one write of `relative_weight` times the priority
// weight, through `ingresses` ingresses: what part of the reads and of the writes is admitted.
struct Passed {
    double reads = 0, writes = 0;
};
Passed strangers(std::size_t ingresses, double relative_weight) {
    sj::Settings s = plain_settings();
    s.plans = {{"plan", 0.8, 4}};
    s.plans[0].over_quota_penalty = 0.8;
    s.classes[0].priority_weight = 2, s.classes[2].priority_weight = 2 * relative_weight;
    s.meter_period_s = 2;
    Passed passed;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GatewayDriver d(s, seed);
        d.update_endpoints({"a:1"});
        for (std::uint64_t i = 0; i < 200; ++i) {
            const bool write = i % 4 == 3;
            const std::size_t before = d.started.size();
            d.request("q" + std::to_string(i), write ? "write" : "read", 5, 1, i,
                      static_cast<double>(ingresses));
            if (d.started.size() > before)
                (write ? passed.writes : passed.reads) += 1.0 / (write ? 1000 : 3000);
            while (!d.pending.empty()) d.end_attempt(0, sj::AttemptResult::ok);
        }
    }
    return passed;
}
// With many ingresses they count as heavy, so a part of them is admitted. No later request is likely to
// make up for the credit of a class of more priority, so not all of it is admitted, or it would use the
// bucket alone.
TEST(QuotaFleet, UnknownCustomersOfManyIngressesAreAdmittedInPartWithAPartForEachClass) {
    for (const double relative_weight : {3.0, 5.0, 20.0}) {
        const Passed passed = strangers(100, relative_weight);
        EXPECT_LT(passed.reads, 0.6) << relative_weight;
        EXPECT_GT(passed.reads, 0.08) << relative_weight << ", it may be a light one, which retries";
        EXPECT_LT(passed.writes, 0.85) << relative_weight;
        EXPECT_GT(passed.writes, 1.5 * passed.reads) << relative_weight;
    }
}
TEST(QuotaFleet, UnknownCustomersOfFewIngressesAreAdmitted) {
    const Passed passed = strangers(2, 3);
    EXPECT_DOUBLE_EQ(passed.writes, 1);
    EXPECT_GT(passed.reads, 0.95);
}

TEST(QuotaFleet, ClientRetriesThroughManyIngressesAreAdmittedLess) {
    const auto passed = [](bool repeat) {
        sj::Settings s = plain_settings();
        s.plans = {{"plan", 2, 6}};
        s.meter_period_s = 0.5;
        Fleet f(s, 60, 5);
        f.run(20, 30, [&](GatewayDriver& d, const std::string& id) {
            d.handle(sj::Request{id, "read", "plan", 1, 9, d.now + 5, 60, repeat});
        });
        std::size_t sent = 0;
        for (const auto& d : f.gateways) sent += d->started.size();
        return static_cast<double>(sent);
    };
    EXPECT_LT(passed(true), 0.7 * passed(false));
}

struct Sparse : testing::Test {   // one of 400 gateways: a request a second, 20 backends
    Sparse() : d(settings()) {
        for (int i = 0; i < 20; ++i) names.push_back("s" + std::to_string(100 + i) + ":1");
        d.update_endpoints(names);
    }
    static sj::Settings settings() {
        sj::Settings s = plain_settings();
        s.ingress_count = 400;
        s.plans = {{"plan"}, {"other"}};
        return s;
    }
    // Answers after 0.15 s with the result of `outcome`; a backend with `timeout` stays silent.
    void play(
        double seconds, double every,
        const std::function<sj::AttemptResult(const std::string& backend, const std::string& id)>& outcome,
        const std::function<const char*(int)>& plan = [](int) { return "plan"; }) {
        const double until = d.now + seconds;
        while (d.now < until) {
            const std::string p = plan(ids);
            d.request(p + std::to_string(ids++), "read", 5, 1, 1, 1, p);
            for (double left = every; left > 0.02; left -= 0.05) {
                d.run_to(d.now + std::min(0.05, left));
                for (std::size_t i = 0; i < d.pending.size();) {
                    const auto& p = d.pending[i];
                    const sj::AttemptResult o = outcome(p.backend, p.id);
                    const bool off = std::find(d.cancelled.begin(), d.cancelled.end(),
                                               std::pair{p.id, p.attempt}) != d.cancelled.end();
                    if (off)
                        d.end_attempt(i, sj::AttemptResult::cancelled);
                    else if (d.now - p.started_at_s >= (o == sj::AttemptResult::timeout ? 5 : 0.15))
                        d.end_attempt(i, o);
                    else
                        ++i;
                }
            }
        }
    }
    GatewayDriver d;
    std::vector<std::string> names;
    int ids = 0;
};
const auto kAllGood = [](const std::string&, const std::string&) { return sj::AttemptResult::ok; };

TEST_F(Sparse, AdmitsEverythingWhileTheBackendsAreHealthy) {
    play(120, 1, kAllGood);
    EXPECT_LE(d.rejected.size(), 2u) << "of 120";
}

TEST(SparseFleet,
     ShedsWithinSecondsOfAQueueAndOpensAgain) {   // 40 gateways with two requests a second each
    double asked = 0, sent = 0;
    const auto play = [&](GatewayDriver& d, double until, double latency, double from) {
        static int ids = 0;
        for (; d.now < until; d.run_to(d.now + 0.05)) {
            for (std::size_t i = 0; i < d.pending.size();)
                d.now - d.pending[i].started_at_s >= latency ? d.end_attempt(i, sj::AttemptResult::ok)
                                                             : void(++i);
            if (std::fmod(d.now + 0.025, 0.5) >= 0.05) continue;
            const std::size_t before = d.started.size();
            d.request("q" + std::to_string(ids++));
            if (d.now > from) asked += 1, sent += d.started.size() > before;
        }
    };
    std::vector<std::unique_ptr<GatewayDriver>> fleet;
    for (std::uint64_t i = 0; i < 40; ++i) {
        fleet.push_back(std::make_unique<GatewayDriver>(Sparse::settings(), 7 + i));
        fleet.back()->update_endpoints({"a:1", "b:1", "c:1", "d:1", "e:1"});
        play(*fleet.back(), 104.5, 0.45, 102.5);
    }
    EXPECT_LT(sent, 0.55 * asked) << "latencies over the reference since the start, 2.5 to 4.5 s ago";
    asked = sent = 0;
    for (const auto& d : fleet) play(*d, 140, 0.1, 130);
    EXPECT_GT(sent, 0.9 * asked);
}

TEST_F(Sparse, AvoidsDeadBackends) {
    play(20, 0.5, kAllGood);
    const auto dead = [&](const std::string& s) { return s < names[6]; };   // 6 of 20
    play(20, 0.5, [&](const auto& s, const auto&) {
        return dead(s) ? sj::AttemptResult::timeout : sj::AttemptResult::ok;
    });
    const std::size_t from = d.started.size();
    play(60, 0.5, [&](const auto& s, const auto&) {
        return dead(s) ? sj::AttemptResult::timeout : sj::AttemptResult::ok;
    });
    std::size_t lost = 0;
    for (std::size_t i = from; i < d.started.size(); ++i) lost += dead(d.started[i].backend);
    EXPECT_LT(static_cast<double>(lost), 0.2 * static_cast<double>(d.started.size() - from))
        << "an even part would be 0.3";
}

TEST_F(Sparse, APauseOfItsOwnShowsNothingAboutTheBackends) {
    play(30, 0.25, kAllGood);
    for (int i = 0; i < 3; ++i) d.request("stall" + std::to_string(i), "read", 5);
    const std::size_t held = d.pending.size();
    ASSERT_GE(held, 1u);
    std::vector<std::uint64_t> due;   // all events of the next 2 s are handled at once, timers first
    while (!d.timers.empty() && d.timers.begin()->first <= d.now + 2) {
        due.push_back(d.timers.begin()->second);
        d.timers.erase(d.timers.begin());
    }
    d.now += 2;
    for (const std::uint64_t tag : due) d.handle(sj::TimerFired{tag});
    EXPECT_TRUE(d.cancelled.empty()) << "their answers are queued behind the timers";
    while (!d.pending.empty()) d.end_attempt(0, sj::AttemptResult::ok);
    const std::size_t refused = d.rejected.size();
    play(10, 0.25, kAllGood);
    EXPECT_LE(d.rejected.size() - refused, 4u) << "of 40";
}

TEST_F(Sparse, ABackendThatRejectsOnePlanStillServesTheOthers) {
    const auto one = [&](const std::string& s, const std::string& id) {
        return s < names[10] && id.starts_with("plan") ? sj::AttemptResult::rejected
                                                       : sj::AttemptResult::ok;
    };
    play(120, 0.1, one, [](int i) { return i % 2 ? "plan" : "other"; });
    std::size_t full = 0, plan = 0, here = 0, other = 0;
    for (std::size_t i = d.started.size() / 2; i < d.started.size(); ++i) {
        const bool first = d.started[i].backend < names[10], narrow = d.started[i].id.starts_with("plan");
        (narrow ? plan : other) += 1;
        if (first) (narrow ? full : here) += 1;
    }
    EXPECT_LT(static_cast<double>(full), 0.25 * static_cast<double>(plan)) << "an even part would be 0.5";
    EXPECT_GT(static_cast<double>(here), 0.3 * static_cast<double>(other));
}

TEST_F(Sparse, FleetWideSilenceIsAQueueAndIsNotCancelled) {
    play(20, 0.2, kAllGood);
    play(20, 0.2, [](const auto&, const auto&) { return sj::AttemptResult::timeout; });
    const std::size_t off = d.cancelled.size(), refused = d.rejected.size();
    play(20, 0.2, [](const auto&, const auto&) { return sj::AttemptResult::timeout; });
    EXPECT_LE(d.cancelled.size() - off, 8u);
    EXPECT_GT(d.rejected.size() - refused, 50u) << "of 100";
}

TEST(BadSettings, ExtremeSizesAndReportsAreHandled) {
    for (const double ingresses : {0.0, 1.0, -3.0, 1e12, std::nan("")}) {
        sj::Settings s = plain_settings();
        s.plans = {{"plan", 10, 20, 20, 40, 4}, {"free"}, {"still", 0, 5}};
        s.ingress_count = ingresses;
        s.ingress_index = 1 << 30;
        s.meter_period_s = 0.5;
        s.report_fields = {"rif", "busy", "q", "unheard"};
        GatewayDriver d(s);
        d.update_endpoints({"a:1", "b:1"});
        std::size_t served = 0;
        for (int i = 0; i < 200; ++i) {
            const double ingresses = i % 3 == 0 ? 0 : i % 3 == 1 ? 1 : std::nan("");
            d.request("b" + std::to_string(i), "read", 5, i % 5 ? 0.1 : -1, static_cast<std::uint64_t>(i),
                      ingresses,
                      i % 2   ? "free"
                      : i % 4 ? "still"
                              : "plan");
            while (!d.pending.empty()) {
                const auto p = d.pending[0];
                d.pending.erase(d.pending.begin());
                sj::AttemptEnded e{p.id, p.attempt, sj::AttemptResult::ok, -1, true, 1e9, 0, {}};
                e.report = {std::nan(""), -5, 1e300};
                d.handle(e);
                ++served;
            }
            d.run_to(d.now + (i == 100 ? 30 : 0.05));
        }
        EXPECT_GT(served, 100u) << ingresses;
        d.run_to(d.now + 20);
        EXPECT_EQ(d.gateway.open_requests(), 0u);
    }
}

}   // namespace
