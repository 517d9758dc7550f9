#include "net/timers.hpp"

#include <algorithm>
#include <cmath>

#include "net/callback_boundary.hpp"

namespace slatejunction::net {
namespace {
// A first timer that is later than this shows that the process was paused.
constexpr double kMaxLatenessS = 0.02;
// For how many iterations of the loop the timers are postponed after a pause.
constexpr int kMaxPostponedIterations = 2;
}   // namespace

void Timer::arm(double fire_at) {
    disarm();
    // The queue cannot order NaN.
    if (std::isnan(fire_at)) fire_at = now();
    fire_at = std::max(fire_at, timers_.min_fire_at_);
    if (spare_node_) {
        spare_node_.key() = fire_at;
        position_ = timers_.queue_.insert(std::move(spare_node_));
    } else {
        position_ = timers_.queue_.emplace(fire_at, this);
    }
    armed_ = true;
}

void Timer::disarm() {
    if (!armed_) return;
    spare_node_ = timers_.queue_.extract(position_);
    armed_ = false;
}

// Implements prepare and check, as g_source_set_ready_time() would write to the loop's wake-up descriptor
// whenever a timer is armed.
Timers::Timers() {
    static GSourceFuncs functions = {
        [](GSource* source, gint* timeout) -> gboolean {
            const auto& queue = reinterpret_cast<TimerSource*>(source)->self->queue_;
            *timeout = -1;
            if (queue.empty()) return FALSE;
            const double remaining_s =
                queue.begin()->first - 1e-6 * static_cast<double>(g_source_get_time(source));
            *timeout = remaining_s > 0 ? static_cast<gint>(std::min(std::ceil(remaining_s * 1e3), 1e6)) : 0;
            return remaining_s <= 0;
        },
        [](GSource* source) -> gboolean {
            const auto& queue = reinterpret_cast<TimerSource*>(source)->self->queue_;
            return !queue.empty() &&
                   queue.begin()->first <= 1e-6 * static_cast<double>(g_source_get_time(source));
        },
        [](GSource* source, GSourceFunc, gpointer) -> gboolean {
            return exit_on_exception([&] {
                reinterpret_cast<TimerSource*>(source)->self->dispatch_watches();
                reinterpret_cast<TimerSource*>(source)->self->fire_timers();
                return G_SOURCE_CONTINUE;
            });
        },
        nullptr,
        nullptr,
        nullptr};
    source_.reset(g_source_new(&functions, sizeof(TimerSource)));
    reinterpret_cast<TimerSource*>(source_.get())->self = this;
    attach(source_.get());
}

FdWatch::FdWatch(Timers& timers, int fd, std::function<void()> callback)
    : timers_(timers),
      callback_(std::move(callback)),
      tag_(g_source_add_unix_fd(timers.source_.get(), fd, G_IO_IN)) {
    timers_.watches_.push_back(this);
}

FdWatch::~FdWatch() {
    std::erase(timers_.watches_, this);
    g_source_remove_unix_fd(timers_.source_.get(), tag_);
}

void Timers::dispatch_watches() {
    const std::vector<FdWatch*> all = watches_;   // a copy, as a callback may destroy or add watches
    for (FdWatch* watch : all)
        if (std::find(watches_.begin(), watches_.end(), watch) != watches_.end() &&
            g_source_query_unix_fd(source_.get(), watch->tag_) != 0)
            watch->callback_();
}

void Timers::fire_timers() {
    const double time = now();
    // After a pause of the process, sockets are read before timeouts fire, for at most
    // kMaxPostponedIterations iterations of the loop.
    if (!queue_.empty() && time - queue_.begin()->first > kMaxLatenessS &&
        postponed_iterations_ < kMaxPostponedIterations) {
        ++postponed_iterations_;
        return;
    }
    postponed_iterations_ = 0;
    // A timer that a callback arms for the past fires in the next iteration.
    min_fire_at_ = std::nextafter(time, kNever);
    while (!queue_.empty() && queue_.begin()->first <= time) {
        Timer* timer = queue_.begin()->second;
        timer->disarm();
        timer->callback_();   // may destroy the timer
    }
    min_fire_at_ = -kNever;
}

}   // namespace slatejunction::net
