// Seeded random events, well formed and not. The rules must hold as invariants on the actions.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <random>
#include <set>

#include "gateway/gateway_harness.hpp"

namespace {

struct Track {
    std::string cls;
    double due = 0;
    double retired = -1;                                          // when its final answer went out
    std::map<std::int64_t, std::pair<std::string, double>> out;   // attempts out: server, sent
    std::vector<std::pair<std::string, double>> ran;              // those that may have run: server, sent
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

    const auto give = [&](const sj::Event& event) {
        std::vector<sj::Action> actions;
        gateway.handle(now, event, actions);
        for (const sj::Action& a : actions) {
            if (const auto* send = std::get_if<sj::StartAttempt>(&a)) {
                ASSERT_TRUE(jobs.count(send->id));
                Track& t = jobs[send->id];
                ASSERT_LT(t.retired, 0) << "sent after its end";
                ASSERT_TRUE(listed.count(send->backend)) << "sent to a server that drains or is gone";
                ASSERT_LT(t.attempts, s.max_attempts);
                ASSERT_TRUE(s.hedging_allowed || t.out.empty()) << "two at once";
                if (!t.ran.empty() || !t.out.empty()) {
                    ASSERT_NE(t.cls, "write") << "an unsafe request sent twice";
                    if (t.cls == "key") {
                        const auto& [server, at] = t.ran.empty() ? t.out.begin()->second : t.ran.front();
                        ASSERT_LE(now, at + s.classes[1].idempotency_window_s);
                        const auto first = known.find(server);
                        const sj::Endpoint& to = listed[send->backend];
                        if (s.classes[1].idempotency_scope == sj::IdempotencyScope::zone) {
                            ASSERT_EQ(to.zone, first->second.zone);
                        }
                        if (s.classes[1].idempotency_scope == sj::IdempotencyScope::cell) {
                            ASSERT_EQ(to.cell, first->second.cell);
                        }
                    }
                }
                t.out[t.attempts++] = {send->backend, now};
            } else if (const auto* refuse = std::get_if<sj::RejectRequest>(&a)) {
                if (!jobs.count(refuse->id)) continue;
                Track& t = jobs[refuse->id];
                ASSERT_LT(t.retired, 0) << "answered twice";
                ASSERT_LE(now, t.due + 0.008);
                if (!t.ran.empty() || !t.out.empty()) {
                    ASSERT_NE(t.cls, "write") << "refused though it may have run";
                    if (t.cls == "key") {
                        ASSERT_EQ(s.classes[1].idempotency_scope, sj::IdempotencyScope::all);
                    }
                }
                t.retired = now;
            } else if (const auto* abort = std::get_if<sj::FailRequest>(&a)) {
                Track& t = jobs[abort->id];
                ASSERT_LT(t.retired, 0) << "answered twice";
                ASSERT_LE(now, t.due + 0.008);
                t.retired = now;
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
        const auto [server, at] = t.out[attempt];
        t.out.erase(attempt);
        const bool never =
            outcome == sj::AttemptResult::rejected || outcome == sj::AttemptResult::connect_failed;
        if (!never) t.ran.emplace_back(server, at);
        std::sort(t.ran.begin(), t.ran.end(), [](auto& a, auto& b) { return a.second < b.second; });
        if (outcome == sj::AttemptResult::ok && t.retired < 0) t.retired = now;
        sj::AttemptEnded e{id,
                           attempt,
                           outcome,
                           now - at,
                           t.retired >= 0,
                           static_cast<double>(pick(500)),
                           0,
                           {static_cast<double>(pick(9)), 0.5}};
        give(e);
        if (pick(20) == 0) give(e);   // a repeated outcome
    };

    give(sj::Start{});
    for (int step = 0; step < 3000 && !testing::Test::HasFatalFailure(); ++step) {
        const double next = now + 0.001 * pick(30);
        while (!timers.empty() && timers.begin()->first <= next) {
            const auto [due, tag] = *timers.begin();
            timers.erase(timers.begin());
            now = std::max(now, due);
            give(sj::TimerFired{tag});
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
                e.zone = known.emplace(some, e).first->second.zone;   // a server keeps its place
                if (e.state == sj::EndpointState::serving)
                    listed[some] = e;
                else
                    listed.erase(some);
                give(sj::EndpointUpdate{sj::EndpointUpdateKind::delta, {e}});
                break;
            }
            case 1:
                if (pick(40) == 0) {
                    listed.clear();
                    give(sj::EndpointUpdate{sj::EndpointUpdateKind::snapshot, {}});
                }
                break;
            case 2:
                give(sj::ClientDisconnected{"nobody"});
                give(sj::TimerFired{static_cast<std::uint64_t>(pick(100000))});
                give(sj::AttemptEnded{"nobody", pick(3), sj::AttemptResult::ok, 0, true, 0, 0, {}});
                give(sj::HealthCheckEnded{some, sj::AttemptResult::ok, 0.01, {1}});
                break;
            case 3:
                for (auto& [id, t] : jobs)
                    if (t.retired < 0 && pick(30) == 0) {
                        t.retired = now;
                        give(sj::ClientDisconnected{id});
                        break;
                    }
                break;
            case 4:
            case 5:
            case 6:
            case 7: {
                const std::string id = "j" + std::to_string(ids++);
                Track t;
                t.cls = pick(30) == 0 ? "unknown" : s.classes[static_cast<std::size_t>(pick(3))].name;
                t.due = now + 0.05 * (1 + pick(60));
                jobs[id] = t;
                const double units = pick(50) ? 1 + pick(3) : std::numeric_limits<double>::quiet_NaN();
                const auto customer = static_cast<std::uint64_t>(pick(4));
                const char* plan = customer < 3 ? "plan" : (pick(2) ? "zero" : "none");
                give(sj::Request{id, t.cls, plan, units, customer, t.due, pick(9) ? doors : 0});
                if (jobs[id].attempts > 0 && std::isfinite(units)) {
                    drawn[customer] += units;
                    if (customer < 3) {
                        ASSERT_LE(drawn[customer], (30 * (now - start) + 60) / doors + 1e-6)
                            << "the ceiling";
                    }
                }
                break;
            }
            default:
                for (auto& [id, t] : jobs)
                    if (!t.out.empty() && pick(3) == 0) {
                        static const sj::AttemptResult kinds[] = {
                            sj::AttemptResult::ok,    sj::AttemptResult::ok,
                            sj::AttemptResult::error, sj::AttemptResult::rejected,
                            sj::AttemptResult::reset, sj::AttemptResult::connect_failed};
                        finish(id, t.out.begin()->first, kinds[pick(6)]);
                        break;
                    }
        }
        for (const auto& [id, t] : jobs)
            ASSERT_TRUE(t.retired >= 0 || now <= t.due + 0.008) << id << " is unanswered";
    }
    for (int round = 0; round < 10; ++round)
        for (auto& [id, t] : jobs)
            while (!t.out.empty()) finish(id, t.out.begin()->first, sj::AttemptResult::ok);
    EXPECT_EQ(gateway.open_requests(), 0u);
}

TEST(RandomEvents, TheRulesHoldAndNothingIsLeftBehind) {
    for (std::uint32_t seed = 1; seed <= 40 && !testing::Test::HasFatalFailure(); ++seed) storm(seed);
}

}   // namespace
