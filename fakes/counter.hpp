// A counter (PROTOCOL, "The counter"): numbers by name, each with a life, that calls add to. Speaks HTTP
// and, to whoever begins with '*', version 2 of RESP (its public definition): PING, MULTI, EXEC, SET NAME
// VALUE PX MS NX, INCRBYFLOAT, GET. Several addresses lead to the same numbers, so that one ingress can be
// cut off from them.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "net/listener.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"

namespace fakes {

struct CounterSettings {
    std::vector<std::string> listen;
    double call_ms = 0.8;   // of work, one call after the other
    std::uint64_t seed = 1;
};

class Counter {
  public:
    Counter(slatejunction::net::Timers& timers, const CounterSettings& settings);
    ~Counter();
    Counter(const Counter&) = delete;
    Counter& operator=(const Counter&) = delete;
    bool start(std::string& why);
    // none; silent: connections stay, nothing is done; lost: all is done, nothing is answered; refuse: 503;
    // down: no connections; slow N: N times the work; noise: totals that are none; twice: a third of the
    // calls are done twice.
    bool set_fault(const std::string& words);
    // The address of that number (from 0) is silent; or no longer.
    bool cut(std::size_t address, bool on);
    void empty() { names_.clear(); }
    void save() { saved_ = names_; }
    void restore() { names_ = saved_; }
    std::string summary() const;

  private:
    struct Caller;
    struct Named {
        double value = 0, dies = 0;
    };
    struct Answer {
        double due;
        std::weak_ptr<Caller> to;
        std::string bytes;
    };
    bool open_all(std::string& why);
    double add(const std::string& name, double by, double life_ms);
    const Named* find(const std::string& name);
    void answer_later(const std::shared_ptr<Caller>& to, std::string bytes, std::size_t calls);
    void send_due();

    slatejunction::net::Timers& timers_;
    const CounterSettings settings_;
    slatejunction::net::Timer timer_;
    std::vector<std::unique_ptr<slatejunction::net::Listener>> listeners_;
    std::vector<bool> cut_;
    std::unordered_set<std::shared_ptr<Caller>> callers_;
    std::deque<Answer> answers_;
    std::map<std::string, Named> names_, saved_;
    std::string fault_ = "none";
    double factor_ = 1, free_at_ = 0;
    std::mt19937_64 random_;
    std::size_t calls_ = 0, refused_ = 0, unanswered_ = 0, bad_ = 0, twice_ = 0, most_callers_ = 0;
};

}   // namespace fakes
