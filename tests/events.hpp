// What happens when, in a model's own time: calls in the order of their times, those of one time as they
// came.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

class Events {
  public:
    double now() const { return now_; }   // s
    void at(double time, std::function<void()> call) {
        queue_.push_back({time, ++order_, std::move(call)});
        std::push_heap(queue_.begin(), queue_.end());
    }
    void run_until(double time) {
        while (!queue_.empty() && queue_.front().time <= time) {
            std::pop_heap(queue_.begin(), queue_.end());
            const Event event = std::move(queue_.back());
            queue_.pop_back();
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
    std::vector<Event> queue_;   // a heap
    std::uint64_t order_ = 0;
    double now_ = 0;
};
