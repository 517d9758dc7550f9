// All timers of the program, and the descriptors that are seldom ready, on one GSource: each source of its
// own would cost every round of the loop.
//
// Input: times in s (net::now()). Output: the callbacks of Timer and FdWatch, in the order of time.
// Owned by the program; lives longer than every Timer and FdWatch.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <vector>

#include "net/glib.hpp"

namespace slatejunction::net {

class Timers;

/// Calls back once at its time, unless it is armed anew, disarmed or destroyed before.
class Timer {
  public:
    Timer(Timers& timers, std::function<void()> call) : timers_(timers), call_(std::move(call)) {}
    ~Timer() { disarm(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    // `due`: s, net::now(). The past and NaN mean the loop's next round, infinity never.
    void arm(double fire_at);
    void disarm();
    bool armed() const { return armed_; }

  private:
    friend class Timers;
    using Queue = std::multimap<double, Timer*>;
    Timers& timers_;
    std::function<void()> call_;
    Queue::iterator position_;
    Queue::node_type spare_node_;   // so that arming again allocates nothing
    bool armed_ = false;
};

/// Calls back when the descriptor is readable, until it is destroyed. The descriptor lives longer.
class FdWatch {
  public:
    FdWatch(Timers& timers, int fd, std::function<void()> call);
    ~FdWatch();
    FdWatch(const FdWatch&) = delete;
    FdWatch& operator=(const FdWatch&) = delete;

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
    friend class FdWatch;
    struct TimerSource {
        GSource base;
        Timers* self;
    };
    void fire_timers();
    void dispatch_watches();
    std::vector<FdWatch*> watches_;
    std::multimap<double, Timer*> queue_;
    Source source_;
    static constexpr double kNever = std::numeric_limits<double>::infinity();   // s, as a time
    double earliest_due_ = -kNever;   // s; of timers that are armed now
    int postponed_rounds_ = 0;
};

}   // namespace slatejunction::net
