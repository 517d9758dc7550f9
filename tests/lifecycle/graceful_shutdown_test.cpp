// How a process ends: the bound, the order of its acts, and that health checks and silence do not prolong
// it. Schedules are drawn by seed; the checker looks at the acts and the inputs alone.
#include "lifecycle/graceful_shutdown.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <limits>
#include <random>
#include <vector>

namespace op = slatejunction::lifecycle;
using op::GracefulShutdown;
using Act = GracefulShutdown::Action;

namespace {

constexpr double kStart = 1000;   // s; any time of the clock

struct Done {
    double at = 0;   // s since the process was told, or handed over
    Act act = Act::none;
};

// Runs it as the driver does, until it has ended, and for at most `most_s`. `inputs`: from the time since
// it began.
std::vector<Done> run(GracefulShutdown& shutdown,
                      const std::function<GracefulShutdown::Inputs(double)>& inputs, double most_s = 200) {
    std::vector<Done> all;
    for (double now = kStart; now - kStart < most_s; now = shutdown.advance_again_at(now))
        for (;;) {
            GracefulShutdown::Inputs seen = inputs(now - kStart);
            seen.now = now;
            const Act act = shutdown.advance(seen);
            if (act != Act::none) all.push_back({now - kStart, act});
            if (act == Act::end) return all;
            if (act == Act::none) break;
        }
    return all;
}

std::vector<Act> acts(const std::vector<Done>& all) {
    std::vector<Act> only;
    for (const Done& one : all) only.push_back(one.act);
    return only;
}

}   // namespace

TEST_CASE("the bound lies before the earliest SIGKILL by the margin", "[operations][shutdown]") {
    const double infinite = std::numeric_limits<double>::infinity();
    const auto longest = [](std::vector<double> all) {
        slatejunction::Settings settings;
        for (const double one : all) {
            settings.classes.emplace_back();
            settings.classes.back().deadline_s = one;
        }
        return op::longest_deadline_s(settings);
    };
    REQUIRE(longest({}) == 0);
    REQUIRE(longest({0, 0}) == 0);
    REQUIRE(longest({4, 12, 0}) == 12);
    REQUIRE(longest({1, infinite, std::nan("")}) == 1);
    // SIGKILL: the longest deadline, taken as 3 s where it is longer or not known, plus 0.7 s.
    for (const double deadline : {0.0, 0.1, 0.5, 1.0, 3.0, 4.0, 12.0}) {
        CAPTURE(deadline);
        const double counted = deadline > 0 ? std::min(3.0, deadline) : 3.0;
        REQUIRE(op::earliest_kill_s(deadline) == Approx(counted + 0.7));
        // A process that is held up for 0.15 s as the signal comes is gone before all the same.
        REQUIRE(op::stop_bound_s(deadline) + 0.15 < counted + 0.7);
        // A request that comes 0.4 s after the signal still has its whole time, if it is no longer than 3
        // s.
        REQUIRE(op::force_after_s(deadline) >= counted + 0.4 - 1e-9);
        REQUIRE(op::force_after_s(deadline) + op::kForcedAnswersS + op::kComponentStopS <=
                op::stop_bound_s(deadline) + 1e-9);
        // New connections come for up to 0.4 s.
        REQUIRE(op::close_after_s(deadline) >= 0.4 - 1e-9);
        REQUIRE(op::close_after_s(deadline) + op::kHandshakeDrainS <= op::force_after_s(deadline) + 1e-9);
    }
}

TEST_CASE("nothing to do: it ends once no more connections are expected", "[operations][shutdown]") {
    GracefulShutdown shutdown(12);
    REQUIRE(std::isinf(shutdown.ends_by()));
    REQUIRE(shutdown.advance({kStart}) == Act::none);
    shutdown.request_stop(kStart);
    REQUIRE(shutdown.ends_by() == Approx(kStart + op::stop_bound_s(12)));
    const auto all = run(shutdown, [](double) { return GracefulShutdown::Inputs{}; });
    REQUIRE(acts(all) == std::vector{Act::refuse_handshakes, Act::stop_listening, Act::end});
    REQUIRE(all.back().at > 0.6);
    REQUIRE(all.back().at < 0.75);
}

TEST_CASE("health checks without pause do not prolong it", "[operations][shutdown]") {
    GracefulShutdown shutdown(12);
    shutdown.request_stop(kStart);
    // There is always one, and the listener's end leaves none.
    const auto all = run(shutdown, [&](double) {
        GracefulShutdown::Inputs inputs;
        inputs.connections = shutdown.state() <= GracefulShutdown::State::refusing ? 4 : 0;
        return inputs;
    });
    REQUIRE(acts(all) == std::vector{Act::refuse_handshakes, Act::stop_listening, Act::end});
    REQUIRE(all.back().at < 0.75);
}

TEST_CASE("an open request keeps it listening, for its whole time", "[operations][shutdown]") {
    GracefulShutdown shutdown(3);
    shutdown.request_stop(kStart);
    const auto all = run(shutdown, [](double since) {
        GracefulShutdown::Inputs inputs;
        inputs.connections = inputs.in_use = since < 2.5 ? 1 : 0;
        return inputs;
    });
    REQUIRE(acts(all) == std::vector{Act::refuse_handshakes, Act::stop_listening, Act::end});
    REQUIRE(all.back().at >= 2.5);
    REQUIRE(all.back().at < 2.65);
}

TEST_CASE("a request that may take 12 s is answered before SIGKILL", "[operations][shutdown]") {
    GracefulShutdown shutdown(12);
    shutdown.request_stop(kStart);
    const auto all = run(shutdown, [](double since) {
        GracefulShutdown::Inputs inputs;
        inputs.connections = inputs.in_use = since < 11.5 ? 1 : 0;
        return inputs;
    });
    REQUIRE(acts(all) ==
            std::vector{Act::refuse_handshakes, Act::stop_listening, Act::answer_open_requests, Act::end});
    REQUIRE(all[2].at >= 3.4 - 1e-9);
    REQUIRE(all.back().at < 3.7 - 0.15);
}

TEST_CASE("whatever does not cease, it ends within the bound", "[operations][shutdown]") {
    const double deadline = GENERATE(0.0, 0.1, 0.5, 1.0, 4.0, 12.0);
    const int kind = GENERATE(0, 1, 2);
    GracefulShutdown shutdown(deadline);
    shutdown.request_stop(kStart);
    const auto all = run(shutdown, [&](double since) {
        GracefulShutdown::Inputs inputs;
        inputs.connections = 1;
        if (kind == 0) inputs.in_use = 1;                               // never done
        if (kind == 1) inputs.last_request_at = kStart + since - 0.1;   // new requests, each done at once
        if (kind == 2) inputs.last_unused_at = kStart + since - 0.1;    // new connections that say nothing
        return inputs;
    });
    REQUIRE(acts(all) ==
            std::vector{Act::refuse_handshakes, Act::stop_listening, Act::answer_open_requests, Act::end});
    REQUIRE(all[0].at >= op::close_after_s(deadline) - 1e-9);
    REQUIRE(all[1].at >= all[0].at + op::kHandshakeDrainS - 1e-9);
    REQUIRE(all[2].at >= op::force_after_s(deadline) - 1e-9);
    REQUIRE(all[2].at < op::force_after_s(deadline) + 0.02);
    REQUIRE(all[3].at <= op::stop_bound_s(deadline) + 1e-9);
    REQUIRE(shutdown.rejects_new_requests());
}

TEST_CASE("told twice: the first time counts", "[operations][shutdown]") {
    GracefulShutdown shutdown(3);
    shutdown.request_stop(kStart);
    shutdown.request_stop(kStart + 2);
    REQUIRE(shutdown.ends_by() == Approx(kStart + op::stop_bound_s(3)));
}

TEST_CASE("a process that stood still beyond its bound goes on in order", "[operations][shutdown]") {
    GracefulShutdown shutdown(3);
    shutdown.request_stop(kStart);
    GracefulShutdown::Inputs inputs;
    inputs.now = kStart + 100;
    inputs.connections = inputs.in_use = 1;
    REQUIRE(shutdown.advance(inputs) == Act::refuse_handshakes);
    REQUIRE(shutdown.advance(inputs) == Act::none);
    inputs.now = shutdown.advance_again_at(inputs.now);
    REQUIRE(shutdown.advance(inputs) == Act::stop_listening);
    REQUIRE(shutdown.advance(inputs) == Act::answer_open_requests);
    REQUIRE(shutdown.advance(inputs) == Act::none);   // what it took at last is read meanwhile
    inputs.now = shutdown.advance_again_at(inputs.now) + op::kForcedAnswersS;
    REQUIRE(shutdown.advance(inputs) == Act::end);
    REQUIRE(shutdown.advance(inputs) == Act::none);
}

TEST_CASE("handed over: it listens on nothing and ends with its last connection",
          "[operations][shutdown]") {
    GracefulShutdown shutdown(12);
    shutdown.hand_over(kStart);
    REQUIRE_FALSE(shutdown.stop_requested());
    SECTION("the last one goes") {
        const auto all = run(shutdown, [](double since) {
            GracefulShutdown::Inputs inputs;
            inputs.another_process_accepts = true;
            inputs.connections = since < 3 ? 1 : 0;
            inputs.last_request_at = kStart + since;
            return inputs;
        });
        REQUIRE(acts(all) == std::vector{Act::end});
        REQUIRE(all.back().at < 3.1);
    }
    SECTION("one never goes") {
        const auto all = run(shutdown, [](double) {
            GracefulShutdown::Inputs inputs;
            inputs.another_process_accepts = true;
            inputs.connections = inputs.in_use = 1;
            return inputs;
        });
        REQUIRE(acts(all) == std::vector{Act::answer_open_requests, Act::end});
        REQUIRE(all.back().at <= 12 + 0.4 + op::kForcedAnswersS + op::kDrainingExtraS);
    }
    SECTION("told to end beside: the bound counts from there") {
        shutdown.request_stop(kStart + 5);
        REQUIRE(shutdown.ends_by() == Approx(kStart + 5 + op::stop_bound_s(12)));
    }
    SECTION("the new process goes: it serves as before") {
        shutdown.cancel_hand_over();
        REQUIRE_FALSE(shutdown.draining());
        REQUIRE(shutdown.state() == GracefulShutdown::State::serving);
        REQUIRE_FALSE(shutdown.max_idle_s(kStart + 50));
        REQUIRE(shutdown.advance({kStart + 50}) == Act::none);
    }
    SECTION("told beside, and the new process goes: it listens until it ends") {
        shutdown.request_stop(kStart);
        shutdown.cancel_hand_over();
        REQUIRE(acts(run(shutdown, [](double) { return GracefulShutdown::Inputs{}; })) ==
                std::vector{Act::refuse_handshakes, Act::stop_listening, Act::end});
    }
}

TEST_CASE("idle connections are kept while more may come on them", "[operations][shutdown]") {
    GracefulShutdown shutdown(12);
    REQUIRE_FALSE(shutdown.max_idle_s(kStart));
    shutdown.hand_over(kStart);
    REQUIRE_FALSE(shutdown.max_idle_s(kStart + 1.1));
    REQUIRE(shutdown.max_idle_s(kStart + 1.3) == GracefulShutdown::kDrainingMaxIdleS);
    shutdown.request_stop(kStart + 2);
    REQUIRE(shutdown.max_idle_s(kStart + 2.5) == GracefulShutdown::kDrainingMaxIdleS);
    REQUIRE(shutdown.max_idle_s(kStart + 2.7) == GracefulShutdown::kMaxIdleS);
}

TEST_CASE("by seed: each act once and in order, none too early, all within the bound",
          "[operations][shutdown]") {
    for (unsigned seed = 1; seed <= 500; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        const auto drawn = [&](double most) { return std::uniform_real_distribution<>(0, most)(random); };
        const double deadline = drawn(15), busy_until = drawn(20), asks_until = drawn(20);
        const double silence_until = drawn(20), stands_at = drawn(20),
                     stands_s = seed % 5 == 0 ? drawn(5) : 0;
        GracefulShutdown shutdown(deadline);
        shutdown.request_stop(kStart);
        bool stood = false;
        double now = kStart;
        std::vector<Done> all;
        while (shutdown.state() != GracefulShutdown::State::ended && now < kStart + 100) {
            GracefulShutdown::Inputs inputs;
            const double since = now - kStart;
            inputs.now = now;
            inputs.in_use = since < busy_until ? 1 : 0;
            inputs.connections = inputs.in_use + (drawn(1) < 0.5 ? 1 : 0);
            inputs.last_request_at = kStart + std::min(since, asks_until) - drawn(0.1);
            inputs.last_unused_at = kStart + std::min(since, silence_until) - drawn(0.1);
            const Act act = shutdown.advance(inputs);
            if (act != Act::none) all.push_back({since, act});
            // Not too early: it listens on while anything is going on that is no health check.
            if (act == Act::refuse_handshakes && since < op::close_after_s(deadline) - 1e-9) {
                REQUIRE(since > 0.6);
                REQUIRE(inputs.in_use == 0);
                REQUIRE(now - inputs.last_request_at > 0.15);
                REQUIRE(now - inputs.last_unused_at > 0.15);
            }
            if (act == Act::answer_open_requests) REQUIRE(since >= op::force_after_s(deadline) - 1e-9);
            if (act == Act::end && inputs.connections > 0) {
                REQUIRE(all.size() >= 3);
                REQUIRE(all[all.size() - 2].act == Act::answer_open_requests);
            }
            if (act != Act::none) continue;
            now = shutdown.advance_again_at(now);
            if (stands_s > 0 && !stood && now - kStart > stands_at) stood = true, now += stands_s;
        }
        REQUIRE(shutdown.state() == GracefulShutdown::State::ended);
        REQUIRE(all.size() >= 3);
        REQUIRE(all[0].act == Act::refuse_handshakes);
        REQUIRE(all[1].act == Act::stop_listening);
        REQUIRE(all[1].at - all[0].at >= op::kHandshakeDrainS - 1e-9);
        REQUIRE(all.back().act == Act::end);
        REQUIRE(all.size() <= 4);
        if (all.size() == 4) REQUIRE(all[2].act == Act::answer_open_requests);
        // The components have kComponentStopS then; less only where deadlines are shorter than the
        // handshakes' time.
        const double least = op::close_after_s(deadline) + op::kHandshakeDrainS + op::kForcedAnswersS;
        const double bound = std::max(op::stop_bound_s(deadline) - op::kComponentStopS, least);
        REQUIRE(bound <= op::stop_bound_s(deadline) + 1e-9);
        REQUIRE(all.back().at <= bound + 0.01 + stands_s);
    }
}
