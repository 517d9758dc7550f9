// Every schedule of a small world, by the lease code: 3 acceptors, 2 candidates. A step is one of
//  - the time goes on by a quantum, all clocks by their rates (acceptors fast, candidates slow, as far as
//  drift says);
//  - a candidate whose time has come wakes, or wakes later;
//  - what a candidate has to say goes out: to each acceptor it comes now and the answer comes now, it is
//  lost, the
//    answer is lost, the message comes late, or the answer does (budgets of lost and late ones);
//  - a late message comes, or comes twice (a budget);
//  - an acceptor is killed and forgets (a budget).
// Within one quantum messages to different acceptors commute, so that nothing is left out by taking a round
// as one step; two rounds that cross are made of late messages. States that were seen before with as much
// left of depth are not gone on from. After each step: never two hold at once, and no number is gained that
// is not higher than all before.
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

struct Bounds {
    int depth = 12;
    int max_lost = 1, max_late = 2, max_duplicates = 1, max_amnesias = 1;
    double time_step_s = 0.25;   // s; a grant lives 1 s
};

struct Report {
    std::string violation;   // with the steps that lead there; empty: none
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
        start.lost = bounds_.max_lost;
        start.late_left = bounds_.max_late;
        start.twice = bounds_.max_duplicates;
        start.forget = bounds_.max_amnesias;
        go(start, bounds_.depth);
        return report_;
    }

  private:
    struct Late {
        int candidate = 0, acceptor = 0;
        bool answer = false;
        Message message;
    };
    struct State {
        std::vector<Acceptor> acceptors;
        std::vector<Candidate> candidates;
        std::vector<Late> late;
        std::vector<AddressedMessage> pending[2];
        double now = 0;   // s, true time
        int lost = 0, late_left = 0, twice = 0, forget = 0;
        std::uint64_t gained = 0;   // the highest number
        int gained_by = -1;
        bool held[2] = {false, false};
    };

    static constexpr double kDrift = 0.1;
    static double acceptor_clock(double now) { return now * (1 + kDrift); }
    static double candidate_clock(double now) { return now * (1 - kDrift); }

    std::string key(const State& s) const {
        std::string all;
        const auto put = [&](std::uint64_t value) { all.append(reinterpret_cast<const char*>(&value), 8); };
        const double v = acceptor_clock(s.now);
        for (const Acceptor& one : s.acceptors) {
            put(static_cast<std::uint64_t>(std::max(0.0, one.recovery_ends_at() - v) * 1e3));
            for (const auto& [lease, grant] : one.grants()) {
                put(grant.holder);
                put(grant.round);
                put(grant.fencing_token);
                put(grant.token_owner);
                put(static_cast<std::uint64_t>(std::max(0.0, grant.expires_at - v) * 1e3));
            }
            all += '|';
        }
        for (const Candidate& one : s.candidates) all += one.state_digest(candidate_clock(s.now)) + '|';
        std::vector<std::string> late;
        for (const Late& one : s.late)
            late.push_back(std::to_string(one.candidate) + std::to_string(one.acceptor) +
                           (one.answer ? 'a' : 'q') + encode(one.message));
        std::sort(late.begin(), late.end());
        for (const auto& one : late) all += one + '|';
        for (const auto& pending : s.pending)
            for (const AddressedMessage& one : pending) all += one.to + encode(one.message);
        put(static_cast<std::uint64_t>(s.lost | s.late_left << 4 | s.twice << 8 | s.forget << 12));
        put(s.gained);
        put(static_cast<std::uint64_t>(s.gained_by + 1));
        return all;
    }

    // False: nothing more is to be looked at.
    bool check(State& s) {
        const double clock = candidate_clock(s.now);
        for (int i = 0; i < 2; ++i) {
            Candidate& one = s.candidates[static_cast<std::size_t>(i)];
            auto& pending = s.pending[i];
            for (auto& out : one.take_outgoing()) pending.push_back(out);
            if (one.state() == Candidate::State::held && one.fencing_token() != 0 && !s.held[i]) {
                ++report_.acquisitions;
                if (one.fencing_token() <= s.gained)
                    return breach("number " + std::to_string(one.fencing_token()) + " after " +
                                  std::to_string(s.gained));
                s.gained = one.fencing_token();
                s.gained_by = i;
            }
            s.held[i] = one.state() == Candidate::State::held;
        }
        if (s.candidates[0].holds(clock) && s.candidates[1].holds(clock)) return breach("two hold at once");
        return true;
    }
    bool breach(const std::string& what) {
        if (!report_.violation.empty()) return false;
        report_.violation = what + ":";
        for (const std::string& one : path_) report_.violation += " " + one;
        return false;
    }

    void step(State next, int depth, std::string name) {
        if (!report_.violation.empty()) return;
        ++report_.steps;
        path_.push_back(std::move(name));
        if (check(next)) go(next, depth - 1);
        path_.pop_back();
    }

    void go(const State& s, int depth) {
        if (depth <= 0) return;
        const std::string text = key(s);
        const std::uint64_t hash = slatejunction::storage::checksum(text.data(), text.size());
        int& left = seen_[hash];
        if (left >= depth) return;
        if (left == 0) ++report_.states;
        left = depth;
        // What has to be said goes out before all else: the time in which it would wait counts as late.
        for (int i = 0; i < 2; ++i)
            if (!s.pending[i].empty()) return flush(s, i, depth);
        for (int i = 0; i < 2; ++i) {
            const Candidate& one = s.candidates[static_cast<std::size_t>(i)];
            if (one.next_deadline() > candidate_clock(s.now) + 1e-9) continue;
            State next = s;
            next.candidates[static_cast<std::size_t>(i)].on_timer(candidate_clock(s.now));
            step(std::move(next), depth, "wake" + std::to_string(i));
        }
        for (std::size_t k = 0; k < s.late.size(); ++k)
            for (int twice = 0; twice <= (s.twice > 0 ? 1 : 0); ++twice) {
                State next = s;
                const Late late = s.late[k];
                if (twice == 0)
                    next.late.erase(next.late.begin() + static_cast<std::ptrdiff_t>(k));
                else
                    --next.twice;
                bring(next, late);
                step(std::move(next), depth,
                     (late.answer ? "late-answer" : "late-ask") + std::to_string(late.candidate));
            }
        if (s.forget > 0)
            for (std::size_t v = 0; v < 3; ++v) {
                State next = s;
                --next.forget;
                replace(next, v);
                step(std::move(next), depth, "forget" + std::to_string(v));
            }
        State next = s;
        next.now += bounds_.time_step_s;
        step(std::move(next), depth, "tick");
    }
    void replace(State& s, std::size_t v) {
        std::vector<Acceptor> all;
        for (std::size_t i = 0; i < 3; ++i)
            i == v ? all.emplace_back(times_, acceptor_clock(s.now),
                                      static_cast<std::uint64_t>(1000 * (1 + s.now / bounds_.time_step_s)),
                                      false)
                   : all.emplace_back(s.acceptors[i]);
        s.acceptors.swap(all);
    }
    void bring(State& s, const Late& late) {
        const auto candidate = static_cast<std::size_t>(late.candidate),
                   acceptor = static_cast<std::size_t>(late.acceptor);
        if (late.answer)
            return s.candidates[candidate].receive(candidate_clock(s.now),
                                                   "v" + std::to_string(late.acceptor), late.message);
        Message answer;
        if (s.acceptors[acceptor].receive(acceptor_clock(s.now), late.message, answer))
            s.candidates[candidate].receive(candidate_clock(s.now), "v" + std::to_string(late.acceptor),
                                            answer);
    }

    // The first message that waits, in each way it may fare; then the next.
    void flush(const State& s, int i, int depth) {
        State base = s;
        const AddressedMessage out = base.pending[i].front();
        base.pending[i].erase(base.pending[i].begin());
        const int acceptor = out.to[1] - '0';
        const Late ask{i, acceptor, false, out.message};
        const auto more = [&](State next, const char* how) {
            // One round is one step of depth.
            const int after = next.pending[i].empty() ? depth : depth + 1;
            step(std::move(next), after, std::string(how) + std::to_string(i) + std::to_string(acceptor));
        };
        {
            State next = base;
            bring(next, ask);
            more(std::move(next), "both");
        }
        if (s.lost > 0) {
            State next = base;
            --next.lost;
            more(next, "lost");
            Message answer;
            next.acceptors[static_cast<std::size_t>(acceptor)].receive(acceptor_clock(s.now), out.message,
                                                                       answer);
            more(std::move(next), "answer-lost");
        }
        if (s.late_left > 0) {
            State next = base;
            --next.late_left;
            next.late.push_back(ask);
            more(next, "late");
            next.late.pop_back();
            Message answer;
            if (next.acceptors[static_cast<std::size_t>(acceptor)].receive(acceptor_clock(s.now),
                                                                           out.message, answer)) {
                next.late.push_back({i, acceptor, true, answer});
                more(std::move(next), "answer-late");
            }
        }
    }

    const Bounds bounds_;
    const LeaseTimes times_{1, kDrift, 0.01, 0.05};
    std::unordered_map<std::uint64_t, int> seen_;
    std::vector<std::string> path_;
    Report report_;
};

}   // namespace lease_model
