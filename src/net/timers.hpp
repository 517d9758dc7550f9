// All timers of the program on one GSource.
#pragma once

#include <functional>
#include <map>

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

class Timers {
  public:
    Timers();

  private:
    friend class Timer;
    struct Wake {
        GSource base;
        Timers* self;
    };
    void run();
    std::multimap<double, Timer*> queue_;
    Source source_;
    int waited_ = 0;
};

}   // namespace slatejunction::net
