// All small schedules: every order of a few steps for two banks, one customer and a counter that answers
// when the schedule says so. Depth first; what breaks the stated error is told as the steps that lead
// there.
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

namespace model {

using namespace slatejunction;

enum class Step {
    ask_a,
    ask_b,
    answer,   // the oldest call is done and answered
    drop,     // the oldest call is done, its answer is lost
    refuse,   // the oldest call is turned away
    empty,    // the counter loses all
    pause,    // 0.4 s
    restart_a
};
inline constexpr std::array<const char*, 8> kSteps{"ask A",  "ask B", "answer", "drop",
                                                   "refuse", "empty", "pause",  "restart A"};

class Small {
  public:
    Small(std::size_t depth, quota::Settings settings) : depth_(depth), settings_(std::move(settings)) {}

    // The shortest schedule that breaks the stated error; nothing when none does.
    std::optional<std::string> find() {
        for (std::size_t length = 1; length <= depth_; ++length) {
            std::vector<Step> steps(length, Step::ask_a);
            for (;;) {
                if (const auto told = run(steps)) return told;
                ++schedules;
                std::size_t at = length;
                while (at > 0 && steps[at - 1] == Step::restart_a) steps[--at] = Step::ask_a;
                if (at == 0) break;
                steps[at - 1] = static_cast<Step>(static_cast<int>(steps[at - 1]) + 1);
            }
        }
        return {};
    }
    std::uint64_t schedules = 0;
    // Of all that the banks have put out so far: how long each request is to wait, and calls to the
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
        const quota::StatedError error = quota::stated_error(settings_, plan, 2, 1);
        allowed = error.healthy;
        std::vector<quota::SharedQuota> banks;
        for (unsigned i = 0; i < 2; ++i) {
            quota::Settings settings = settings_;
            settings.ingress_index = i;
            banks.emplace_back(settings, i + 1);
        }
        std::map<std::string, double> names;
        std::deque<Sent> calls;
        bool lost = false;
        const auto collect = [&] {
            for (unsigned i = 0; i < 2; ++i) {
                for (auto& call : banks[i].take_calls()) {
                    digest_.add(i, call.id, call.part, call.name, call.by, call.ttl_ms);
                    calls.push_back({i, std::move(call)});
                }
                digest_.add(banks[i].next_deadline(), banks[i].counter_losses(), banks[i].lost(0));
                lost |= banks[i].lost(0);
            }
        };
        for (auto& bank : banks) bank.on_timer(now);
        collect();
        // The first beats are answered: the schedule is of what follows.
        while (!calls.empty()) {
            const Sent sent = calls.front();
            calls.pop_front();
            banks[sent.from].on_reply(now, sent.call.id, names[sent.call.name] += sent.call.by);
        }
        const auto ask = [&](unsigned i) {
            const double wait_s = banks[i].retry_after_s(now, 7, 0, {0, 2}, 1);
            digest_.add(i, wait_s);
            if (wait_s > 0) return;
            banks[i].consume(now, 7, 0, {0, 2}, 1);
            banks[i].release(7);
            level -= 1;
        };
        for (std::size_t n = 0; n < steps.size(); ++n) {
            now += 0.003;
            level = std::min(plan.burst, level + plan.rate * 0.003);
            switch (steps[n]) {
                case Step::ask_a:
                case Step::ask_b:
                    for (int i = 0; i < 3; ++i) ask(steps[n] == Step::ask_a ? 0 : 1);
                    break;
                case Step::answer:
                case Step::drop:
                case Step::refuse: {
                    if (calls.empty()) break;
                    const Sent sent = calls.front();
                    calls.pop_front();
                    if (steps[n] == Step::refuse) {
                        banks[sent.from].on_rejected(now, sent.call.id);
                        break;
                    }
                    const double total = names[sent.call.name] += sent.call.by;
                    if (steps[n] == Step::answer)
                        banks[sent.from].on_reply(now, sent.call.id, total);
                    else
                        banks[sent.from].on_unknown_result(now, sent.call.id);
                    break;
                }
                case Step::empty:
                    names.clear();
                    allowed += error.empty - error.healthy;
                    break;
                case Step::pause:
                    now += 0.4;
                    level = std::min(plan.burst, level + plan.rate * 0.4);
                    for (auto& bank : banks) bank.on_timer(now);
                    break;
                case Step::restart_a: {
                    quota::Settings settings = settings_;
                    banks[0] = quota::SharedQuota(settings, 100 + n);
                    banks[0].on_timer(now);
                    std::erase_if(calls, [](const Sent& sent) { return sent.from == 0; });
                    allowed += error.restarted;
                    break;
                }
            }
            collect();
            const double most = allowed + (lost ? error.lost - error.healthy : 0);
            if (-level > most + 1e-6) {
                std::string told =
                    std::to_string(-level) + " units over, stated " + std::to_string(most) + ":";
                for (std::size_t k = 0; k <= n; ++k)
                    told += std::string(" ") + kSteps[static_cast<std::size_t>(steps[k])] + ";";
                return told;
            }
        }
        return {};
    }

    std::size_t depth_;
    quota::Settings settings_;
    Digest digest_;
};

}   // namespace model
