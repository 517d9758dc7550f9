// GracefulShutdown: the time bound, the order of the actions, and that neither health checks nor silent
// connections prolong a stop. Schedules are random by seed; the checker uses only the inputs and the
// actions.
#include "lifecycle/graceful_shutdown.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <limits>
#include <random>
#include <vector>

namespace lifecycle = slatejunction::lifecycle;
using lifecycle::GracefulShutdown;
using Action = GracefulShutdown::Action;

namespace {

constexpr double kStart = 1000;   // s; an arbitrary time of the clock

struct TimedAction {
    double at = 0;   // s since kStart
    Action action = Action::none;
};

// Advances `shutdown` as Ingress does, until it has ended, for at most `max_duration_s`. `inputs` returns
// the inputs at a time since kStart (s).
std::vector<TimedAction> run(GracefulShutdown& shutdown,
                             const std::function<GracefulShutdown::Inputs(double)>& inputs,
                             double max_duration_s = 200) {
    std::vector<TimedAction> actions;
    for (double now = kStart; now - kStart < max_duration_s; now = shutdown.advance_again_at(now))
        for (;;) {
            GracefulShutdown::Inputs current = inputs(now - kStart);
            current.now = now;
            const Action action = shutdown.advance(current);
            if (action != Action::none) actions.push_back({now - kStart, action});
            if (action == Action::end) return actions;
            if (action == Action::none) break;
        }
    return actions;
}

std::vector<Action> without_times(const std::vector<TimedAction>& actions) {
    std::vector<Action> result;
    for (const TimedAction& timed : actions) result.push_back(timed.action);
    return result;
}

}   // namespace

TEST_CASE("a stop is bounded to end before the earliest SIGKILL", "[operations][shutdown]") {
    const double infinite = std::numeric_limits<double>::infinity();
    const auto longest = [](std::vector<double> deadlines) {
        slatejunction::Settings settings;
        for (const double deadline : deadlines) {
            settings.classes.emplace_back();
            settings.classes.back().deadline_s = deadline;
        }
        return lifecycle::longest_deadline_s(settings);
    };
    REQUIRE(longest({}) == 0);
    REQUIRE(longest({0, 0}) == 0);
    REQUIRE(longest({4, 12, 0}) == 12);
    REQUIRE(longest({1, infinite, std::nan("")}) == 1);
    // SIGKILL comes after the longest deadline, which counts as 3 s if it is longer or unknown, plus 0.7 s.
    for (const double deadline : {0.0, 0.1, 0.5, 1.0, 3.0, 4.0, 12.0}) {
        CAPTURE(deadline);
        const double counted = deadline > 0 ? std::min(3.0, deadline) : 3.0;
        REQUIRE(lifecycle::earliest_kill_s(deadline) == Approx(counted + 0.7));
        // A process that does not run for 0.15 s after the signal still exits before SIGKILL.
        REQUIRE(lifecycle::stop_bound_s(deadline) + 0.15 < counted + 0.7);
        // A request that arrives 0.4 s after the signal has its full deadline, if that is at most 3 s.
        REQUIRE(lifecycle::force_after_s(deadline) >= counted + 0.4 - 1e-9);
        REQUIRE(lifecycle::force_after_s(deadline) + lifecycle::kForcedAnswersS +
                    lifecycle::kComponentStopS <=
                lifecycle::stop_bound_s(deadline) + 1e-9);
        // New connections arrive for up to 0.4 s.
        REQUIRE(lifecycle::close_after_s(deadline) >= 0.4 - 1e-9);
        REQUIRE(lifecycle::close_after_s(deadline) + lifecycle::kHandshakeDrainS <=
                lifecycle::force_after_s(deadline) + 1e-9);
    }
}

TEST_CASE("an idle process exits once no more connections are expected", "[operations][shutdown]") {
    GracefulShutdown shutdown(12);
    REQUIRE(std::isinf(shutdown.ends_by()));
    REQUIRE(shutdown.advance({kStart}) == Action::none);
    shutdown.request_stop(kStart);
    REQUIRE(shutdown.ends_by() == Approx(kStart + lifecycle::stop_bound_s(12)));
    const auto actions = run(shutdown, [](double) { return GracefulShutdown::Inputs{}; });
    REQUIRE(without_times(actions) ==
            std::vector{Action::refuse_handshakes, Action::stop_listening, Action::end});
    REQUIRE(actions.back().at > 0.6);
    REQUIRE(actions.back().at < 0.75);
}

TEST_CASE("continuous health checks do not prolong a stop", "[operations][shutdown]") {
    GracefulShutdown shutdown(12);
    shutdown.request_stop(kStart);
    // Health checks always have connections open, until the process stops listening.
    const auto actions = run(shutdown, [&](double) {
        GracefulShutdown::Inputs inputs;
        inputs.connections = shutdown.state() <= GracefulShutdown::State::refusing ? 4 : 0;
        return inputs;
    });
    REQUIRE(without_times(actions) ==
            std::vector{Action::refuse_handshakes, Action::stop_listening, Action::end});
    REQUIRE(actions.back().at < 0.75);
}

TEST_CASE("an open request keeps the process listening until it ends", "[operations][shutdown]") {
    GracefulShutdown shutdown(3);
    shutdown.request_stop(kStart);
    const auto actions = run(shutdown, [](double since) {
        GracefulShutdown::Inputs inputs;
        inputs.connections = inputs.in_use = since < 2.5 ? 1 : 0;
        return inputs;
    });
    REQUIRE(without_times(actions) ==
            std::vector{Action::refuse_handshakes, Action::stop_listening, Action::end});
    REQUIRE(actions.back().at >= 2.5);
    REQUIRE(actions.back().at < 2.65);
}

TEST_CASE("a request with a deadline of 12 s is answered before SIGKILL", "[operations][shutdown]") {
    GracefulShutdown shutdown(12);
    shutdown.request_stop(kStart);
    const auto actions = run(shutdown, [](double since) {
        GracefulShutdown::Inputs inputs;
        inputs.connections = inputs.in_use = since < 11.5 ? 1 : 0;
        return inputs;
    });
    REQUIRE(without_times(actions) == std::vector{Action::refuse_handshakes, Action::stop_listening,
                                                  Action::answer_open_requests, Action::end});
    REQUIRE(actions[2].at >= 3.4 - 1e-9);
    REQUIRE(actions.back().at < 3.7 - 0.15);
}

TEST_CASE("a process exits within the bound under endless requests, new requests or silent connections",
          "[operations][shutdown]") {
    const double deadline = GENERATE(0.0, 0.1, 0.5, 1.0, 4.0, 12.0);
    const int kind = GENERATE(0, 1, 2);
    GracefulShutdown shutdown(deadline);
    shutdown.request_stop(kStart);
    const auto actions = run(shutdown, [&](double since) {
        GracefulShutdown::Inputs inputs;
        inputs.connections = 1;
        if (kind == 0) inputs.in_use = 1;                               // a request that never ends
        if (kind == 1) inputs.last_request_at = kStart + since - 0.1;   // new requests, each short
        if (kind == 2) inputs.last_unused_at = kStart + since - 0.1;    // new silent connections
        return inputs;
    });
    REQUIRE(without_times(actions) == std::vector{Action::refuse_handshakes, Action::stop_listening,
                                                  Action::answer_open_requests, Action::end});
    REQUIRE(actions[0].at >= lifecycle::close_after_s(deadline) - 1e-9);
    REQUIRE(actions[1].at >= actions[0].at + lifecycle::kHandshakeDrainS - 1e-9);
    REQUIRE(actions[2].at >= lifecycle::force_after_s(deadline) - 1e-9);
    REQUIRE(actions[2].at < lifecycle::force_after_s(deadline) + 0.02);
    REQUIRE(actions[3].at <= lifecycle::stop_bound_s(deadline) + 1e-9);
    REQUIRE(shutdown.rejects_new_requests());
}

TEST_CASE("only the first stop request counts", "[operations][shutdown]") {
    GracefulShutdown shutdown(3);
    shutdown.request_stop(kStart);
    shutdown.request_stop(kStart + 2);
    REQUIRE(shutdown.ends_by() == Approx(kStart + lifecycle::stop_bound_s(3)));
}

TEST_CASE("a process that did not run until after its bound takes the remaining steps in order",
          "[operations][shutdown]") {
    GracefulShutdown shutdown(3);
    shutdown.request_stop(kStart);
    GracefulShutdown::Inputs inputs;
    inputs.now = kStart + 100;
    inputs.connections = inputs.in_use = 1;
    REQUIRE(shutdown.advance(inputs) == Action::refuse_handshakes);
    REQUIRE(shutdown.advance(inputs) == Action::none);
    inputs.now = shutdown.advance_again_at(inputs.now);
    REQUIRE(shutdown.advance(inputs) == Action::stop_listening);
    REQUIRE(shutdown.advance(inputs) == Action::answer_open_requests);
    REQUIRE(shutdown.advance(inputs) == Action::none);   // the last accepted connections are read meanwhile
    inputs.now = shutdown.advance_again_at(inputs.now) + lifecycle::kForcedAnswersS;
    REQUIRE(shutdown.advance(inputs) == Action::end);
    REQUIRE(shutdown.advance(inputs) == Action::none);
}

TEST_CASE("a process that has handed over exits with its last connection", "[operations][shutdown]") {
    GracefulShutdown shutdown(12);
    shutdown.hand_over(kStart);
    REQUIRE_FALSE(shutdown.stop_requested());
    SECTION("the last connection ends") {
        const auto actions = run(shutdown, [](double since) {
            GracefulShutdown::Inputs inputs;
            inputs.another_process_accepts = true;
            inputs.connections = since < 3 ? 1 : 0;
            inputs.last_request_at = kStart + since;
            return inputs;
        });
        REQUIRE(without_times(actions) == std::vector{Action::end});
        REQUIRE(actions.back().at < 3.1);
    }
    SECTION("a connection never ends") {
        const auto actions = run(shutdown, [](double) {
            GracefulShutdown::Inputs inputs;
            inputs.another_process_accepts = true;
            inputs.connections = inputs.in_use = 1;
            return inputs;
        });
        REQUIRE(without_times(actions) == std::vector{Action::answer_open_requests, Action::end});
        REQUIRE(actions.back().at <= 12 + 0.4 + lifecycle::kForcedAnswersS + lifecycle::kDrainingExtraS);
    }
    SECTION("a stop is requested as well: the bound counts from there") {
        shutdown.request_stop(kStart + 5);
        REQUIRE(shutdown.ends_by() == Approx(kStart + 5 + lifecycle::stop_bound_s(12)));
    }
    SECTION("the new process exits: this one serves as before") {
        shutdown.cancel_hand_over();
        REQUIRE_FALSE(shutdown.draining());
        REQUIRE(shutdown.state() == GracefulShutdown::State::serving);
        REQUIRE_FALSE(shutdown.max_idle_s(kStart + 50));
        REQUIRE(shutdown.advance({kStart + 50}) == Action::none);
    }
    SECTION("a stop is requested as well, and the new process exits: this one listens until its end") {
        shutdown.request_stop(kStart);
        shutdown.cancel_hand_over();
        REQUIRE(without_times(run(shutdown, [](double) { return GracefulShutdown::Inputs{}; })) ==
                std::vector{Action::refuse_handshakes, Action::stop_listening, Action::end});
    }
}

TEST_CASE("idle connections are kept while more requests may arrive on them", "[operations][shutdown]") {
    GracefulShutdown shutdown(12);
    REQUIRE_FALSE(shutdown.max_idle_s(kStart));
    shutdown.hand_over(kStart);
    REQUIRE_FALSE(shutdown.max_idle_s(kStart + 1.1));
    REQUIRE(shutdown.max_idle_s(kStart + 1.3) == GracefulShutdown::kDrainingMaxIdleS);
    shutdown.request_stop(kStart + 2);
    REQUIRE(shutdown.max_idle_s(kStart + 2.5) == GracefulShutdown::kDrainingMaxIdleS);
    REQUIRE(shutdown.max_idle_s(kStart + 2.7) == GracefulShutdown::kMaxIdleS);
}

TEST_CASE("random schedules: each action occurs once and in order, none too early, all within the bound",
          "[operations][shutdown]") {
    for (unsigned seed = 1; seed <= 500; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        const auto draw = [&](double max) { return std::uniform_real_distribution<>(0, max)(random); };
        const double deadline = draw(15), busy_until = draw(20), requests_until = draw(20);
        const double silent_until = draw(20), suspended_at = draw(20),
                     suspended_s = seed % 5 == 0 ? draw(5) : 0;
        GracefulShutdown shutdown(deadline);
        shutdown.request_stop(kStart);
        bool was_suspended = false;
        double now = kStart;
        std::vector<TimedAction> actions;
        while (shutdown.state() != GracefulShutdown::State::ended && now < kStart + 100) {
            GracefulShutdown::Inputs inputs;
            const double since = now - kStart;
            inputs.now = now;
            inputs.in_use = since < busy_until ? 1 : 0;
            inputs.connections = inputs.in_use + (draw(1) < 0.5 ? 1 : 0);
            inputs.last_request_at = kStart + std::min(since, requests_until) - draw(0.1);
            inputs.last_unused_at = kStart + std::min(since, silent_until) - draw(0.1);
            const Action action = shutdown.advance(inputs);
            if (action != Action::none) actions.push_back({since, action});
            // It keeps listening as long as there is any activity besides health checks.
            if (action == Action::refuse_handshakes && since < lifecycle::close_after_s(deadline) - 1e-9) {
                REQUIRE(since > 0.6);
                REQUIRE(inputs.in_use == 0);
                REQUIRE(now - inputs.last_request_at > 0.15);
                REQUIRE(now - inputs.last_unused_at > 0.15);
            }
            if (action == Action::answer_open_requests)
                REQUIRE(since >= lifecycle::force_after_s(deadline) - 1e-9);
            if (action == Action::end && inputs.connections > 0) {
                REQUIRE(actions.size() >= 3);
                REQUIRE(actions[actions.size() - 2].action == Action::answer_open_requests);
            }
            if (action != Action::none) continue;
            now = shutdown.advance_again_at(now);
            if (suspended_s > 0 && !was_suspended && now - kStart > suspended_at)
                was_suspended = true, now += suspended_s;
        }
        REQUIRE(shutdown.state() == GracefulShutdown::State::ended);
        REQUIRE(actions.size() >= 3);
        REQUIRE(actions[0].action == Action::refuse_handshakes);
        REQUIRE(actions[1].action == Action::stop_listening);
        REQUIRE(actions[1].at - actions[0].at >= lifecycle::kHandshakeDrainS - 1e-9);
        REQUIRE(actions.back().action == Action::end);
        REQUIRE(actions.size() <= 4);
        if (actions.size() == 4) REQUIRE(actions[2].action == Action::answer_open_requests);
        // The components then have kComponentStopS; less only if deadlines are shorter than the handshake
        // drain.
        const double shortest =
            lifecycle::close_after_s(deadline) + lifecycle::kHandshakeDrainS + lifecycle::kForcedAnswersS;
        const double bound =
            std::max(lifecycle::stop_bound_s(deadline) - lifecycle::kComponentStopS, shortest);
        REQUIRE(bound <= lifecycle::stop_bound_s(deadline) + 1e-9);
        REQUIRE(actions.back().at <= bound + 0.01 + suspended_s);
    }
}
