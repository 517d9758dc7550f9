#include "net/timers.hpp"

#include <algorithm>
#include <cmath>

#include "net/callback_boundary.hpp"

namespace slatejunction::net {
namespace {
constexpr double kStoodStill = 0.02;   // s; timers that are later than that
constexpr int kRounds = 2;             // of the loop, in which each socket that is ready is read once
}   // namespace

void Timer::arm(double due) {
    disarm();
    // What is no number has no place in the order, and would keep the loop awake and all timers waiting.
    if (std::isnan(due)) due = now();
    due = std::max(due, timers_.least_);
    if (spare_) {
        spare_.key() = due;
        at_ = timers_.queue_.insert(std::move(spare_));
    } else {
        at_ = timers_.queue_.emplace(due, this);
    }
    armed_ = true;
}

void Timer::disarm() {
    if (!armed_) return;
    spare_ = timers_.queue_.extract(at_);
    armed_ = false;
}

// The source is asked for its time before each poll. Setting a ready time instead would wake the loop by a
// write to its own descriptor each time a timer is armed.
Timers::Timers() {
    static GSourceFuncs calls = {
        [](GSource* source, gint* timeout) -> gboolean {
            const auto& queue = reinterpret_cast<Wake*>(source)->self->queue_;
            *timeout = -1;
            if (queue.empty()) return FALSE;
            const double left =
                queue.begin()->first - 1e-6 * static_cast<double>(g_source_get_time(source));
            *timeout = left > 0 ? static_cast<gint>(std::min(std::ceil(left * 1e3), 1e6)) : 0;
            return left <= 0;
        },
        [](GSource* source) -> gboolean {
            const auto& queue = reinterpret_cast<Wake*>(source)->self->queue_;
            return !queue.empty() &&
                   queue.begin()->first <= 1e-6 * static_cast<double>(g_source_get_time(source));
        },
        [](GSource* source, GSourceFunc, gpointer) -> gboolean {
            return guarded([&] {
                reinterpret_cast<Wake*>(source)->self->look();
                reinterpret_cast<Wake*>(source)->self->run();
                return G_SOURCE_CONTINUE;
            });
        },
        nullptr,
        nullptr,
        nullptr};
    source_.reset(g_source_new(&calls, sizeof(Wake)));
    reinterpret_cast<Wake*>(source_.get())->self = this;
    attach(source_.get());
}

SourceWatch::SourceWatch(Timers& timers, int fd, std::function<void()> call)
    : timers_(timers),
      call_(std::move(call)),
      tag_(g_source_add_unix_fd(timers.source_.get(), fd, G_IO_IN)) {
    timers_.watches_.push_back(this);
}

SourceWatch::~SourceWatch() {
    std::erase(timers_.watches_, this);
    g_source_remove_unix_fd(timers_.source_.get(), tag_);
}

void Timers::look() {
    const std::vector<SourceWatch*> all = watches_;   // a call may end any of them, or begin one
    for (SourceWatch* one : all)
        if (std::find(watches_.begin(), watches_.end(), one) != watches_.end() &&
            g_source_query_unix_fd(source_.get(), one->tag_) != 0)
            one->call_();
}

void Timers::run() {
    const double time = now();
    // Guards against judging time-outs before the answers that wait: a program that stood still looks at
    // its sockets first. A lower priority would do that too, but a peer that sends without end would then
    // stop all timers.
    if (!queue_.empty() && time - queue_.begin()->first > kStoodStill && waited_ < kRounds) {
        ++waited_;
        return;
    }
    waited_ = 0;
    // A timer that its own call arms for the past waits for the next round, or no other one would get its
    // turn.
    least_ = std::nextafter(time, kNever);
    while (!queue_.empty() && queue_.begin()->first <= time) {
        Timer* timer = queue_.begin()->second;
        timer->disarm();
        timer->call_();   // may destroy the timer
    }
    least_ = -kNever;
}

}   // namespace slatejunction::net
