// One process's try for one lease, and its hold: asks all voters, holds with a majority, renews, stops in
// time. A decision room. Time is that of a clock that also runs while the machine sleeps.
//
// A hold is two rounds: the first learns the highest number of a majority, the second has the next number
// taken by a majority while the first still counts. Each later round renews both.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lease/acceptor.hpp"

namespace slatejunction::lease {

// Who votes. While the set changes it has two: a majority of each is wanted (lease.md, "Change of voters").
struct AcceptorSet {
    std::vector<std::string> names, before;   // before: those of the last step; empty: the same
    std::uint32_t epoch = 1;
    bool operator==(const AcceptorSet&) const = default;
    std::set<std::string> all() const;
    // Whether these are a majority of each set.
    bool majority(const std::set<std::string>& of) const;
};

struct Outgoing {
    std::string to;
    Message message;
};

class Candidate {
  public:
    enum class State { idle, waiting, learning, taking, held };

    Candidate(std::string lease, std::string name, std::uint64_t holder, const LeaseTimes& times,
              const AcceptorSet& voters, std::uint64_t seed);

    void seek(double now);      // wanted from now on
    void release(double now);   // not wanted; what is held ends now
    // An answer of that voter.
    void receive(double now, const std::string& voter, const Message& answer);
    void wake(double now);
    double due() const;
    void set_voters(double now, const AcceptorSet& voters);
    std::vector<Outgoing> take() { return std::exchange(out_, {}); }

    State state() const { return state_; }
    // Held, and an act that begins now ends before another can hold it.
    bool may_act(double now) const { return state_ == State::held && lease::may_act(times_, now, until_); }
    bool holds(double now) const { return state_ == State::held && now < until_; }
    std::uint64_t number() const { return state_ == State::held ? number_ : 0; }
    double until() const { return until_; }   // of a hold, by this clock
    double held_since() const { return since_; }
    const std::string& lease() const { return lease_; }
    std::uint64_t holder() const { return holder_; }
    // Denied: by whom's hold, as a voter told last, and when that was.
    const std::string& other() const { return other_; }
    double denied_at() const { return denied_at_; }
    std::uint64_t gained() const { return gained_; }
    std::uint64_t lost() const { return lost_; }          // holds that ended unwanted
    double majority_at() const { return majority_at_; }   // a majority answered, be it by a denial

    // All that its future depends on, times as they are from now: for explorations of every schedule.
    std::string digest(double now) const;

    // The whole hold, for another process of this ingress on this machine; this one holds nothing after it.
    struct HeldLease {
        std::string lease;
        std::uint64_t holder = 0, round = 0, fencing_token = 0;
        double until = 0, since = 0;
    };
    HeldLease give(double now);
    void adopt(double now, const HeldLease& hold);

  private:
    void ask(double now, std::uint64_t number);
    void fail(double now, double wait_s);
    void give_back();
    void lose(bool wanted);
    bool has_majority() const;

    const std::string lease_, name_;
    std::uint64_t holder_;
    const LeaseTimes times_;
    AcceptorSet voters_;
    std::minstd_rand random_;   // of waits only
    State state_ = State::idle;
    bool wanted_ = false;
    std::uint64_t round_ = 0, number_ = 0, highest_ = 0, asked_number_ = 0;
    double asked_at_ = 0, learnt_at_ = 0, until_ = 0, since_ = 0, next_ = 0, majority_at_ = -1e18;
    bool asking_ = false;   // a round is out
    std::set<std::string> granted_, answered_;
    std::vector<Outgoing> out_;
    std::string other_;
    double denied_at_ = -1e18;
    double denied_for_ = 0;
    std::uint64_t gained_ = 0, lost_ = 0;
};

}   // namespace slatejunction::lease
