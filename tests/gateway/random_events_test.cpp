// Seeded random events, well formed and not. The rules must hold as invariants on the actions.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <random>
#include <set>

#include "gateway/gateway_harness.hpp"

namespace {

struct Track {
    std::string service_class;
    double deadline_at_s = 0;
    double answered_at_s = -1;                                          // when its final answer went out
    std::map<std::int64_t, std::pair<std::string, double>> in_flight;   // attempts: backend, started at
    std::vector<std::pair<std::string, double>> may_have_run;           // attempts: backend, started at
    std::int64_t attempts = 0;
};

void storm(std::uint32_t seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 rng(seed);
    const auto pick = [&](int n) { return static_cast<int>(rng() % static_cast<std::uint32_t>(n)); };
    sj::Settings s = plain_settings();
    s.ingress_count = 1 + pick(4);
    s.max_attempts = 1 + pick(6);
    s.hedging_allowed = pick(2);
    s.cancellation_allowed = pick(2);
    s.meter_period_s = pick(3) * 0.5;
    s.report_fields = {"rif", "busy"};
    s.classes[1].idempotency_scope = static_cast<sj::IdempotencyScope>(pick(3));
    s.plans = {{"plan", 20, 40, 30, 60, 6, static_cast<double>(pick(2) * 4)}, {"zero"}};
    if (pick(4) == 0) {
        s.plans[1].rate = std::numeric_limits<double>::quiet_NaN();
        s.slow_start_window_s = s.overload_window_s = 0;
        s.max_request_units = -5;
    }
    const double doors = s.ingress_count;
    sj::Gateway gateway(s, seed);
    double now = 50;
    const double start = now;
    std::map<std::string, Track> jobs;
    std::map<std::string, sj::Endpoint> listed, known;
    std::multimap<double, std::uint64_t> timers;
    std::map<std::uint64_t, double> drawn;
    int ids = 0;

    const auto handle = [&](const sj::Event& event) {
        std::vector<sj::Action> actions;
        gateway.handle(now, event, actions);
        for (const sj::Action& a : actions) {
            if (const auto* send = std::get_if<sj::StartAttempt>(&a)) {
                ASSERT_TRUE(jobs.count(send->id));
                Track& t = jobs[send->id];
                ASSERT_LT(t.answered_at_s, 0) << "sent after its end";
                ASSERT_TRUE(listed.count(send->backend)) << "sent to a draining or removed backend";
                ASSERT_LT(t.attempts, s.max_attempts);
                ASSERT_TRUE(s.hedging_allowed || t.in_flight.empty()) << "two at once";
                if (!t.may_have_run.empty() || !t.in_flight.empty()) {
                    ASSERT_NE(t.service_class, "write") << "a request that is not idempotent sent twice";
                    if (t.service_class == "key") {
                        const auto& [backend, at] =
                            t.may_have_run.empty() ? t.in_flight.begin()->second : t.may_have_run.front();
                        ASSERT_LE(now, at + s.classes[1].idempotency_window_s);
                        const auto first = known.find(backend);
                        const sj::Endpoint& to = listed[send->backend];
                        if (s.classes[1].idempotency_scope == sj::IdempotencyScope::zone) {
                            ASSERT_EQ(to.zone, first->second.zone);
                        }
                        if (s.classes[1].idempotency_scope == sj::IdempotencyScope::cell) {
                            ASSERT_EQ(to.cell, first->second.cell);
                        }
                    }
                }
                t.in_flight[t.attempts++] = {send->backend, now};
            } else if (const auto* refuse = std::get_if<sj::RejectRequest>(&a)) {
                if (!jobs.count(refuse->id)) continue;
                Track& t = jobs[refuse->id];
                ASSERT_LT(t.answered_at_s, 0) << "answered twice";
                ASSERT_LE(now, t.deadline_at_s + 0.008);
                if (!t.may_have_run.empty() || !t.in_flight.empty()) {
                    ASSERT_NE(t.service_class, "write") << "rejected though it may have run";
                    if (t.service_class == "key") {
                        ASSERT_EQ(s.classes[1].idempotency_scope, sj::IdempotencyScope::all);
                    }
                }
                t.answered_at_s = now;
            } else if (const auto* abort = std::get_if<sj::FailRequest>(&a)) {
                Track& t = jobs[abort->id];
                ASSERT_LT(t.answered_at_s, 0) << "answered twice";
                ASSERT_LE(now, t.deadline_at_s + 0.008);
                t.answered_at_s = now;
            } else if (const auto* timer = std::get_if<sj::SetTimer>(&a)) {
                timers.emplace(timer->fire_at_s, timer->tag);
            } else if (const auto* off = std::get_if<sj::CancelAttempt>(&a)) {
                ASSERT_TRUE(s.cancellation_allowed);
                ASSERT_LT(off->attempt, jobs[off->id].attempts);
            }
        }
    };
    const auto finish = [&](const std::string& id, std::int64_t attempt, sj::AttemptResult outcome) {
        Track& t = jobs[id];
        const auto [backend, at] = t.in_flight[attempt];
        t.in_flight.erase(attempt);
        const bool never =
            outcome == sj::AttemptResult::rejected || outcome == sj::AttemptResult::connect_failed;
        if (!never) t.may_have_run.emplace_back(backend, at);
        std::sort(t.may_have_run.begin(), t.may_have_run.end(),
                  [](auto& a, auto& b) { return a.second < b.second; });
        if (outcome == sj::AttemptResult::ok && t.answered_at_s < 0) t.answered_at_s = now;
        sj::AttemptEnded e{id,
                           attempt,
                           outcome,
                           now - at,
                           t.answered_at_s >= 0,
                           static_cast<double>(pick(500)),
                           0,
                           {static_cast<double>(pick(9)), 0.5}};
        handle(e);
        if (pick(20) == 0) handle(e);   // a repeated result
    };

    handle(sj::Start{});
    for (int step = 0; step < 3000 && !testing::Test::HasFatalFailure(); ++step) {
        const double next = now + 0.001 * pick(30);
        while (!timers.empty() && timers.begin()->first <= next) {
            const auto [due, tag] = *timers.begin();
            timers.erase(timers.begin());
            now = std::max(now, due);
            handle(sj::TimerFired{tag});
        }
        now = next;
        const std::string some = "s" + std::to_string(pick(6));
        switch (pick(12)) {
            case 0: {
                sj::Endpoint e{static_cast<sj::EndpointState>(pick(3)),
                               some,
                               "k",
                               pick(2) ? "z" : "y",
                               1.0 * pick(3),
                               1,
                               pick(3) ? 0 : now};
                e.zone = known.emplace(some, e).first->second.zone;   // a backend stays in its zone
                if (e.state == sj::EndpointState::serving)
                    listed[some] = e;
                else
                    listed.erase(some);
                handle(sj::EndpointUpdate{sj::EndpointUpdateKind::delta, {e}});
                break;
            }
            case 1:
                if (pick(40) == 0) {
                    listed.clear();
                    handle(sj::EndpointUpdate{sj::EndpointUpdateKind::snapshot, {}});
                }
                break;
            case 2:
                handle(sj::ClientDisconnected{"nobody"});
                handle(sj::TimerFired{static_cast<std::uint64_t>(pick(100000))});
                handle(sj::AttemptEnded{"nobody", pick(3), sj::AttemptResult::ok, 0, true, 0, 0, {}});
                handle(sj::HealthCheckEnded{some, sj::AttemptResult::ok, 0.01, {1}});
                break;
            case 3:
                for (auto& [id, t] : jobs)
                    if (t.answered_at_s < 0 && pick(30) == 0) {
                        t.answered_at_s = now;
                        handle(sj::ClientDisconnected{id});
                        break;
                    }
                break;
            case 4:
            case 5:
            case 6:
            case 7: {
                const std::string id = "j" + std::to_string(ids++);
                Track t;
                t.service_class =
                    pick(30) == 0 ? "unknown" : s.classes[static_cast<std::size_t>(pick(3))].name;
                t.deadline_at_s = now + 0.05 * (1 + pick(60));
                jobs[id] = t;
                const double units = pick(50) ? 1 + pick(3) : std::numeric_limits<double>::quiet_NaN();
                const auto customer = static_cast<std::uint64_t>(pick(4));
                const char* plan = customer < 3 ? "plan" : (pick(2) ? "zero" : "none");
                handle(sj::Request{id, t.service_class, plan, units, customer, t.deadline_at_s,
                                   pick(9) ? doors : 0});
                if (jobs[id].attempts > 0 && std::isfinite(units)) {
                    drawn[customer] += units;
                    if (customer < 3) {
                        ASSERT_LE(drawn[customer], (30 * (now - start) + 60) / doors + 1e-6)
                            << "the hard limit";
                    }
                }
                break;
            }
            default:
                for (auto& [id, t] : jobs)
                    if (!t.in_flight.empty() && pick(3) == 0) {
                        static const sj::AttemptResult kinds[] = {
                            sj::AttemptResult::ok,    sj::AttemptResult::ok,
                            sj::AttemptResult::error, sj::AttemptResult::rejected,
                            sj::AttemptResult::reset, sj::AttemptResult::connect_failed};
                        finish(id, t.in_flight.begin()->first, kinds[pick(6)]);
                        break;
                    }
        }
        for (const auto& [id, t] : jobs)
            ASSERT_TRUE(t.answered_at_s >= 0 || now <= t.deadline_at_s + 0.008) << id << " is unanswered";
    }
    for (int round = 0; round < 10; ++round)
        for (auto& [id, t] : jobs)
            while (!t.in_flight.empty()) finish(id, t.in_flight.begin()->first, sj::AttemptResult::ok);
    EXPECT_EQ(gateway.open_requests(), 0u);
}

TEST(RandomEvents, TheRulesHoldAndNoRequestStaysOpen) {
    for (std::uint32_t seed = 1; seed <= 40 && !testing::Test::HasFatalFailure(); ++seed) storm(seed);
}

}   // namespace
