// What happens when, in a model's own time: calls in the order of their times, those of one time as they
// came.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

class Events {
  public:
    double now() const { return now_; }   // s
    void at(double time, std::function<void()> call) { queue_.push({time, ++order_, std::move(call)}); }
    void run_until(double time) {
        while (!queue_.empty() && queue_.top().time <= time) {
            const Event event = queue_.top();
            queue_.pop();
            now_ = event.time;
            event.call();
        }
        now_ = time;
    }

  private:
    struct Event {
        double time;
        std::uint64_t order;
        std::function<void()> call;
        bool operator<(const Event& other) const {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    std::priority_queue<Event> queue_;
    std::uint64_t order_ = 0;
    double now_ = 0;
};
