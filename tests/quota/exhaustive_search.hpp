// Exhaustive test of SharedQuota: runs every sequence of up to a given number of steps for two ingresses,
// one customer and a counter that replies when a step says so. A sequence that violates the error bound is
// reported by its steps, shortest sequences first.
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
    reply,        // the oldest call is carried out, and the reply arrives
    lose_reply,   // the oldest call is carried out, but its reply is lost
    reject,       // the oldest call is rejected
    lose_state,   // the counter loses its whole state
    pause,        // 0.4 s pass
    restart_a
};
inline constexpr std::array<const char*, 8> kStepNames{"request A", "request B",  "reply", "lose reply",
                                                       "reject",    "lose state", "pause", "restart A"};

class ExhaustiveSearch {
  public:
    ExhaustiveSearch(std::size_t depth, quota::Settings settings)
        : depth_(depth), settings_(std::move(settings)) {}

    // Returns a description of the first sequence that violates the error bound, or nothing if there is
    // none.
    std::optional<std::string> find_violation() {
        for (std::size_t length = 1; length <= depth_; ++length) {
            std::vector<Step> steps(length, Step::request_a);
            for (;;) {
                if (const auto violation = run(steps)) return violation;
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
    // Digest of the ingresses' outputs so far: the retry-after of each request, calls and deadlines.
    std::uint64_t digest() const { return digest_.value(); }

  private:
    struct SentCall {
        unsigned from;
        quota::CounterCall call;
    };

    std::optional<std::string> run(const std::vector<Step>& steps) {
        constexpr double kStart = 1'000'020;
        const auto& plan = settings_.plans[0];
        double now = kStart, level = plan.burst, bound = 0;
        const quota::ErrorBound bounds = quota::error_bound(settings_, plan, 2, 1);
        bound = bounds.healthy;
        std::vector<quota::SharedQuota> ingresses;
        for (unsigned i = 0; i < 2; ++i) {
            quota::Settings settings = settings_;
            settings.ingress_index = i;
            ingresses.emplace_back(settings, i + 1);
        }
        std::map<std::string, double> entries;
        std::deque<SentCall> calls;
        bool was_unreachable = false;
        const auto collect = [&] {
            for (unsigned i = 0; i < 2; ++i) {
                for (auto& call : ingresses[i].take_calls()) {
                    digest_.add(i, call.id, call.shard, call.name, call.amount, call.ttl_ms);
                    calls.push_back({i, std::move(call)});
                }
                digest_.add(ingresses[i].next_deadline(), ingresses[i].counter_losses(),
                            ingresses[i].unreachable(0));
                was_unreachable |= ingresses[i].unreachable(0);
            }
        };
        for (auto& ingress : ingresses) ingress.on_timer(now);
        collect();
        // The first heartbeats get their replies before the first step.
        while (!calls.empty()) {
            const SentCall sent = calls.front();
            calls.pop_front();
            ingresses[sent.from].on_reply(now, sent.call.id, entries[sent.call.name] += sent.call.amount);
        }
        const auto request = [&](unsigned i) {
            const double wait_s = ingresses[i].retry_after_s(now, 7, 0, {0, 2}, 1);
            digest_.add(i, wait_s);
            if (wait_s > 0) return;
            ingresses[i].consume(now, 7, 0, {0, 2}, 1);
            ingresses[i].release(7);
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
                case Step::reply:
                case Step::lose_reply:
                case Step::reject: {
                    if (calls.empty()) break;
                    const SentCall sent = calls.front();
                    calls.pop_front();
                    if (steps[n] == Step::reject) {
                        ingresses[sent.from].on_rejected(now, sent.call.id);
                        break;
                    }
                    const double total = entries[sent.call.name] += sent.call.amount;
                    if (steps[n] == Step::reply)
                        ingresses[sent.from].on_reply(now, sent.call.id, total);
                    else
                        ingresses[sent.from].on_unknown_result(now, sent.call.id);
                    break;
                }
                case Step::lose_state:
                    entries.clear();
                    bound += bounds.counter_state_lost - bounds.healthy;
                    break;
                case Step::pause:
                    now += 0.4;
                    level = std::min(plan.burst, level + plan.rate * 0.4);
                    for (auto& ingress : ingresses) ingress.on_timer(now);
                    break;
                case Step::restart_a: {
                    quota::Settings settings = settings_;
                    ingresses[0] = quota::SharedQuota(settings, 100 + n);
                    ingresses[0].on_timer(now);
                    std::erase_if(calls, [](const SentCall& sent) { return sent.from == 0; });
                    bound += bounds.per_restart;
                    break;
                }
            }
            collect();
            const double total_bound =
                bound + (was_unreachable ? bounds.counter_unreachable - bounds.healthy : 0);
            if (-level > total_bound + 1e-6) {
                std::string violation = std::to_string(-level) + " units beyond the quota, bound " +
                                        std::to_string(total_bound) + ":";
                for (std::size_t k = 0; k <= n; ++k)
                    violation += std::string(" ") + kStepNames[static_cast<std::size_t>(steps[k])] + ";";
                return violation;
            }
        }
        return {};
    }

    std::size_t depth_;
    quota::Settings settings_;
    Digest digest_;
};

}   // namespace quota_simulation
