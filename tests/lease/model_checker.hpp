// A bounded model checker for the lease code with 3 acceptors and 2 candidates. It explores every schedule
// of these steps up to a depth:
// - Time advances by one time step. The acceptors' clocks run fast and the candidates' clocks slow, by the
//   full drift.
// - A candidate whose deadline has passed handles its timer, now or later.
// - A message of a candidate is sent. It is delivered and answered at once, or it is lost, or its answer is
//   lost, or it is delayed, or its answer is delayed. Lost and delayed messages are limited.
// - A delayed message arrives, once or twice. Duplicates are limited.
// - An acceptor is killed and loses its state. This is limited, too.
//
// Within one time step, messages to different acceptors commute, so treating a round as one step omits no
// schedule; two rounds that overlap are covered by delayed messages. A state that was explored before with
// at least the same remaining depth is not explored again.
//
// After each step it checks that the two candidates never hold the lease at once, and that each acquired
// fencing token is higher than all earlier ones.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lease/acceptor.hpp"
#include "lease/candidate.hpp"
#include "storage/state_directory.hpp"

namespace lease_model {

using namespace slatejunction::lease;

/// Limits of the search; the max_ members apply to a whole schedule.
struct Bounds {
    int depth = 12;
    int max_lost = 1, max_delayed = 2, max_duplicates = 1, max_amnesias = 1;
    double time_step_s = 0.25;   // a grant lasts 1 s
};

struct Report {
    std::string violation;   // with the steps that lead to it; empty if there was none
    std::uint64_t states = 0, steps = 0, both_sought = 0, acquisitions = 0;
};

class ModelChecker {
  public:
    explicit ModelChecker(const Bounds& bounds) : bounds_(bounds) {}

    Report run() {
        State start;
        for (int i = 0; i < 3; ++i) start.acceptors.emplace_back(times_, -10.0, 0, true);
        const AcceptorSet set{{"v0", "v1", "v2"}, {}, 1};
        for (std::uint64_t i = 0; i < 2; ++i) {
            start.candidates.emplace_back("job", "s", i + 1, times_, set, i + 1);
            start.candidates.back().campaign(0);
        }
        start.lost_left = bounds_.max_lost;
        start.delayed_left = bounds_.max_delayed;
        start.duplicates_left = bounds_.max_duplicates;
        start.amnesias_left = bounds_.max_amnesias;
        explore(start, bounds_.depth);
        return report_;
    }

  private:
    struct DelayedMessage {
        int candidate = 0, acceptor = 0;
        bool is_answer = false;
        Message message;
    };
    struct State {
        std::vector<Acceptor> acceptors;
        std::vector<Candidate> candidates;
        std::vector<DelayedMessage> delayed;
        std::vector<AddressedMessage> unsent[2];
        double now = 0;   // s of true time
        int lost_left = 0, delayed_left = 0, duplicates_left = 0, amnesias_left = 0;
        std::uint64_t highest_token = 0;   // highest token acquired so far
        int highest_token_owner = -1;
        bool held[2] = {false, false};
    };

    static constexpr double kDrift = 0.1;
    static double acceptor_clock(double now) { return now * (1 + kDrift); }
    static double candidate_clock(double now) { return now * (1 - kDrift); }

    std::string state_key(const State& s) const {
        std::string key;
        const auto put = [&](std::uint64_t value) { key.append(reinterpret_cast<const char*>(&value), 8); };
        const double acceptor_now = acceptor_clock(s.now);
        for (const Acceptor& one : s.acceptors) {
            put(static_cast<std::uint64_t>(std::max(0.0, one.recovery_ends_at() - acceptor_now) * 1e3));
            for (const auto& [lease, grant] : one.grants()) {
                put(grant.holder);
                put(grant.round);
                put(grant.fencing_token);
                put(grant.token_owner);
                put(static_cast<std::uint64_t>(std::max(0.0, grant.expires_at - acceptor_now) * 1e3));
            }
            key += '|';
        }
        for (const Candidate& one : s.candidates) key += one.state_digest(candidate_clock(s.now)) + '|';
        std::vector<std::string> delayed;
        for (const DelayedMessage& one : s.delayed)
            delayed.push_back(std::to_string(one.candidate) + std::to_string(one.acceptor) +
                              (one.is_answer ? 'a' : 'q') + encode(one.message));
        std::sort(delayed.begin(), delayed.end());
        for (const auto& one : delayed) key += one + '|';
        for (const auto& unsent : s.unsent)
            for (const AddressedMessage& one : unsent) key += one.to + encode(one.message);
        put(static_cast<std::uint64_t>(s.lost_left | s.delayed_left << 4 | s.duplicates_left << 8 |
                                       s.amnesias_left << 12));
        put(s.highest_token);
        put(static_cast<std::uint64_t>(s.highest_token_owner + 1));
        return key;
    }

    // Returns false if an invariant is violated, so that the search ends.
    bool check_invariants(State& s) {
        const double clock = candidate_clock(s.now);
        for (int i = 0; i < 2; ++i) {
            Candidate& one = s.candidates[static_cast<std::size_t>(i)];
            auto& unsent = s.unsent[i];
            for (auto& outgoing : one.take_outgoing()) unsent.push_back(outgoing);
            if (one.state() == Candidate::State::held && one.fencing_token() != 0 && !s.held[i]) {
                ++report_.acquisitions;
                if (one.fencing_token() <= s.highest_token)
                    return report_violation("fencing token " + std::to_string(one.fencing_token()) +
                                            " acquired after " + std::to_string(s.highest_token));
                s.highest_token = one.fencing_token();
                s.highest_token_owner = i;
            }
            s.held[i] = one.state() == Candidate::State::held;
        }
        if (s.candidates[0].holds(clock) && s.candidates[1].holds(clock))
            return report_violation("both candidates hold the lease");
        return true;
    }
    bool report_violation(const std::string& what) {
        if (!report_.violation.empty()) return false;
        report_.violation = what + ":";
        for (const std::string& one : path_) report_.violation += " " + one;
        return false;
    }

    void explore_step(State next, int depth, std::string name) {
        if (!report_.violation.empty()) return;
        ++report_.steps;
        path_.push_back(std::move(name));
        if (check_invariants(next)) explore(next, depth - 1);
        path_.pop_back();
    }

    void explore(const State& s, int depth) {
        if (depth <= 0) return;
        const std::string key = state_key(s);
        const std::uint64_t hash = slatejunction::storage::checksum(key.data(), key.size());
        int& explored_depth = explored_depths_[hash];
        if (explored_depth >= depth) return;
        if (explored_depth == 0) ++report_.states;
        explored_depth = depth;
        // Unsent messages are sent before any other step; a message that is sent later counts as delayed.
        for (int i = 0; i < 2; ++i)
            if (!s.unsent[i].empty()) return send_next(s, i, depth);
        for (int i = 0; i < 2; ++i) {
            const Candidate& one = s.candidates[static_cast<std::size_t>(i)];
            if (one.next_deadline() > candidate_clock(s.now) + 1e-9) continue;
            State next = s;
            next.candidates[static_cast<std::size_t>(i)].on_timer(candidate_clock(s.now));
            explore_step(std::move(next), depth, "timer" + std::to_string(i));
        }
        for (std::size_t k = 0; k < s.delayed.size(); ++k)
            for (int keep_copy = 0; keep_copy <= (s.duplicates_left > 0 ? 1 : 0); ++keep_copy) {
                State next = s;
                const DelayedMessage message = s.delayed[k];
                if (keep_copy == 0)
                    next.delayed.erase(next.delayed.begin() + static_cast<std::ptrdiff_t>(k));
                else
                    --next.duplicates_left;
                deliver(next, message);
                explore_step(std::move(next), depth,
                             (message.is_answer ? "delayed-answer" : "delayed-request") +
                                 std::to_string(message.candidate));
            }
        if (s.amnesias_left > 0)
            for (std::size_t acceptor = 0; acceptor < 3; ++acceptor) {
                State next = s;
                --next.amnesias_left;
                restart_without_state(next, acceptor);
                explore_step(std::move(next), depth, "amnesia" + std::to_string(acceptor));
            }
        State next = s;
        next.now += bounds_.time_step_s;
        explore_step(std::move(next), depth, "tick");
    }
    void restart_without_state(State& s, std::size_t acceptor) {
        std::vector<Acceptor> all;
        for (std::size_t i = 0; i < 3; ++i)
            i == acceptor ? all.emplace_back(
                                times_, acceptor_clock(s.now),
                                static_cast<std::uint64_t>(1000 * (1 + s.now / bounds_.time_step_s)), false)
                          : all.emplace_back(s.acceptors[i]);
        s.acceptors.swap(all);
    }
    void deliver(State& s, const DelayedMessage& message) {
        const auto candidate = static_cast<std::size_t>(message.candidate),
                   acceptor = static_cast<std::size_t>(message.acceptor);
        if (message.is_answer)
            return s.candidates[candidate].receive(candidate_clock(s.now),
                                                   "v" + std::to_string(message.acceptor), message.message);
        Message answer;
        if (s.acceptors[acceptor].receive(acceptor_clock(s.now), message.message, answer))
            s.candidates[candidate].receive(candidate_clock(s.now), "v" + std::to_string(message.acceptor),
                                            answer);
    }

    // Explores every outcome of the first unsent message. The resulting states send the remaining ones.
    void send_next(const State& s, int i, int depth) {
        State base = s;
        const AddressedMessage outgoing = base.unsent[i].front();
        base.unsent[i].erase(base.unsent[i].begin());
        const int acceptor = outgoing.to[1] - '0';
        const DelayedMessage request{i, acceptor, false, outgoing.message};
        const auto explore_outcome = [&](State next, const char* outcome) {
            // All messages of a round together count as one step of depth.
            const int depth_left = next.unsent[i].empty() ? depth : depth + 1;
            explore_step(std::move(next), depth_left,
                         std::string(outcome) + std::to_string(i) + std::to_string(acceptor));
        };
        {
            State next = base;
            deliver(next, request);
            explore_outcome(std::move(next), "delivered");
        }
        if (s.lost_left > 0) {
            State next = base;
            --next.lost_left;
            explore_outcome(next, "request-lost");
            Message answer;
            next.acceptors[static_cast<std::size_t>(acceptor)].receive(acceptor_clock(s.now),
                                                                       outgoing.message, answer);
            explore_outcome(std::move(next), "answer-lost");
        }
        if (s.delayed_left > 0) {
            State next = base;
            --next.delayed_left;
            next.delayed.push_back(request);
            explore_outcome(next, "request-delayed");
            next.delayed.pop_back();
            Message answer;
            if (next.acceptors[static_cast<std::size_t>(acceptor)].receive(acceptor_clock(s.now),
                                                                           outgoing.message, answer)) {
                next.delayed.push_back({i, acceptor, true, answer});
                explore_outcome(std::move(next), "answer-delayed");
            }
        }
    }

    const Bounds bounds_;
    const LeaseTimes times_{1, kDrift, 0.01, 0.05};
    std::unordered_map<std::uint64_t, int> explored_depths_;
    std::vector<std::string> path_;
    Report report_;
};

}   // namespace lease_model
