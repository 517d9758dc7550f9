// All timers of the program, and the descriptors that are rarely ready, in one GSource: each separate
// source would add to the cost of every iteration of the loop.
//
// Times are in s (net::now()). Timers fire in the order of their times. Timers is owned by the program and
// outlives every Timer and FdWatch.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <vector>

#include "net/glib.hpp"

namespace slatejunction::net {

class Timers;

/// Calls back once at its time, unless it is armed again, disarmed or destroyed before.
class Timer {
  public:
    Timer(Timers& timers, std::function<void()> callback)
        : timers_(timers), callback_(std::move(callback)) {}
    ~Timer() { disarm(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    /// Sets the time to call back (s, net::now()). A time in the past or NaN fires in the next iteration of
    /// the loop, infinity never.
    void arm(double fire_at);
    void disarm();
    bool armed() const { return armed_; }

  private:
    friend class Timers;
    using Queue = std::multimap<double, Timer*>;
    Timers& timers_;
    std::function<void()> callback_;
    Queue::iterator position_;
    Queue::node_type spare_node_;   // kept so that arming again does not allocate
    bool armed_ = false;
};

/// Calls back whenever the descriptor is readable, until it is destroyed. The descriptor must outlive it.
class FdWatch {
  public:
    FdWatch(Timers& timers, int fd, std::function<void()> callback);
    ~FdWatch();
    FdWatch(const FdWatch&) = delete;
    FdWatch& operator=(const FdWatch&) = delete;

  private:
    friend class Timers;
    Timers& timers_;
    std::function<void()> callback_;
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
    static constexpr double kNever = std::numeric_limits<double>::infinity();   // as a time in s
    // Timers that are armed now fire no earlier than this time (s).
    double min_fire_at_ = -kNever;
    int postponed_iterations_ = 0;
};

}   // namespace slatejunction::net
