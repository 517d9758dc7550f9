// All small schedules: every order of a few steps for two shared_quotas, one customer and a counter that
// answers when the schedule says so. Depth first; what breaks the stated error is reported as the steps
// that lead there.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "digest.hpp"
#include "quota/shared_quota.hpp"

namespace quota_simulation {

using namespace slatejunction;

enum class Step {
    request_a,
    request_b,
    answer,   // the oldest call is done and answered
    drop,     // the oldest call is done, its answer is lost
    refuse,   // the oldest call is turned away
    empty,    // the counter loses all
    pause,    // 0.4 s
    restart_a
};
inline constexpr std::array<const char*, 8> kSteps{"ask A",  "ask B", "answer", "drop",
                                                   "refuse", "empty", "pause",  "restart A"};

class ExhaustiveSearch {
  public:
    ExhaustiveSearch(std::size_t depth, quota::Settings settings)
        : depth_(depth), settings_(std::move(settings)) {}

    // The shortest schedule that breaks the stated error; nothing when none does.
    std::optional<std::string> find_violation() {
        for (std::size_t length = 1; length <= depth_; ++length) {
            std::vector<Step> steps(length, Step::request_a);
            for (;;) {
                if (const auto breach = run(steps)) return breach;
                ++schedules;
                std::size_t at = length;
                while (at > 0 && steps[at - 1] == Step::restart_a) steps[--at] = Step::request_a;
                if (at == 0) break;
                steps[at - 1] = static_cast<Step>(static_cast<int>(steps[at - 1]) + 1);
            }
        }
        return {};
    }
    std::uint64_t schedules = 0;
    // Of all that the ingresses have put out so far: how long each request is to wait, and calls to the
    // counter.
    std::uint64_t digest() const { return digest_.value(); }

  private:
    struct Sent {
        unsigned from;
        quota::CounterCall call;
    };

    std::optional<std::string> run(const std::vector<Step>& steps) {
        constexpr double kStart = 1'000'020;
        const auto& plan = settings_.plans[0];
        double now = kStart, level = plan.burst, allowed = 0;
        const quota::ErrorBound error = quota::error_bound(settings_, plan, 2, 1);
        allowed = error.healthy;
        std::vector<quota::SharedQuota> shared_quotas;
        for (unsigned i = 0; i < 2; ++i) {
            quota::Settings settings = settings_;
            settings.ingress_index = i;
            shared_quotas.emplace_back(settings, i + 1);
        }
        std::map<std::string, double> names;
        std::deque<Sent> calls;
        bool lost = false;
        const auto collect = [&] {
            for (unsigned i = 0; i < 2; ++i) {
                for (auto& call : shared_quotas[i].take_calls()) {
                    digest_.add(i, call.id, call.part, call.name, call.amount, call.ttl_ms);
                    calls.push_back({i, std::move(call)});
                }
                digest_.add(shared_quotas[i].next_deadline(), shared_quotas[i].counter_losses(),
                            shared_quotas[i].unreachable(0));
                lost |= shared_quotas[i].unreachable(0);
            }
        };
        for (auto& shared_quota : shared_quotas) shared_quota.on_timer(now);
        collect();
        // The first heartbeats are answered: the schedule is of what follows.
        while (!calls.empty()) {
            const Sent sent = calls.front();
            calls.pop_front();
            shared_quotas[sent.from].on_reply(now, sent.call.id, names[sent.call.name] += sent.call.amount);
        }
        const auto request = [&](unsigned i) {
            const double wait_s = shared_quotas[i].retry_after_s(now, 7, 0, {0, 2}, 1);
            digest_.add(i, wait_s);
            if (wait_s > 0) return;
            shared_quotas[i].consume(now, 7, 0, {0, 2}, 1);
            shared_quotas[i].release(7);
            level -= 1;
        };
        for (std::size_t n = 0; n < steps.size(); ++n) {
            now += 0.003;
            level = std::min(plan.burst, level + plan.rate * 0.003);
            switch (steps[n]) {
                case Step::request_a:
                case Step::request_b:
                    for (int i = 0; i < 3; ++i) request(steps[n] == Step::request_a ? 0 : 1);
                    break;
                case Step::answer:
                case Step::drop:
                case Step::refuse: {
                    if (calls.empty()) break;
                    const Sent sent = calls.front();
                    calls.pop_front();
                    if (steps[n] == Step::refuse) {
                        shared_quotas[sent.from].on_rejected(now, sent.call.id);
                        break;
                    }
                    const double total = names[sent.call.name] += sent.call.amount;
                    if (steps[n] == Step::answer)
                        shared_quotas[sent.from].on_reply(now, sent.call.id, total);
                    else
                        shared_quotas[sent.from].on_unknown_result(now, sent.call.id);
                    break;
                }
                case Step::empty:
                    names.clear();
                    allowed += error.counter_state_lost - error.healthy;
                    break;
                case Step::pause:
                    now += 0.4;
                    level = std::min(plan.burst, level + plan.rate * 0.4);
                    for (auto& shared_quota : shared_quotas) shared_quota.on_timer(now);
                    break;
                case Step::restart_a: {
                    quota::Settings settings = settings_;
                    shared_quotas[0] = quota::SharedQuota(settings, 100 + n);
                    shared_quotas[0].on_timer(now);
                    std::erase_if(calls, [](const Sent& sent) { return sent.from == 0; });
                    allowed += error.per_restart;
                    break;
                }
            }
            collect();
            const double most = allowed + (lost ? error.counter_unreachable - error.healthy : 0);
            if (-level > most + 1e-6) {
                std::string breach =
                    std::to_string(-level) + " units over, stated " + std::to_string(most) + ":";
                for (std::size_t k = 0; k <= n; ++k)
                    breach += std::string(" ") + kSteps[static_cast<std::size_t>(steps[k])] + ";";
                return breach;
            }
        }
        return {};
    }

    std::size_t depth_;
    quota::Settings settings_;
    Digest digest_;
};

}   // namespace quota_simulation
