// All timers of the program on one GSource, and the descriptors that are seldom ready: each source of its
// own costs every wake-up of the loop a look (700 instructions a request), a descriptor of this one a tenth
// of that.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <vector>

#include "net/glib.hpp"

namespace slatejunction::net {

class Timers;

// Calls back once at its time unless it is armed anew, disarmed or destroyed before.
class Timer {
  public:
    Timer(Timers& timers, std::function<void()> call) : timers_(timers), call_(std::move(call)) {}
    ~Timer() { disarm(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    // `due`: s, net::now(). The past and NaN mean the loop's next round, infinity never.
    void arm(double due);
    void disarm();
    bool armed() const { return armed_; }

  private:
    friend class Timers;
    using Queue = std::multimap<double, Timer*>;
    Timers& timers_;
    std::function<void()> call_;
    Queue::iterator at_;
    Queue::node_type spare_;   // kept, so that arming again allocates nothing
    bool armed_ = false;
};

// Calls back when the descriptor can be read, until it is destroyed; the descriptor outlives it.
class SourceWatch {
  public:
    SourceWatch(Timers& timers, int fd, std::function<void()> call);
    ~SourceWatch();
    SourceWatch(const SourceWatch&) = delete;
    SourceWatch& operator=(const SourceWatch&) = delete;

  private:
    friend class Timers;
    Timers& timers_;
    std::function<void()> call_;
    gpointer tag_;
};

class Timers {
  public:
    Timers();

  private:
    friend class Timer;
    friend class SourceWatch;
    struct Wake {
        GSource base;
        Timers* self;
    };
    void run();
    void look();
    std::vector<SourceWatch*> watches_;
    std::multimap<double, Timer*> queue_;
    Source source_;
    static constexpr double kNever = std::numeric_limits<double>::infinity();   // s, as a time
    double least_ = -kNever;   // s; what is armed now is due then at the earliest
    int waited_ = 0;
};

}   // namespace slatejunction::net
