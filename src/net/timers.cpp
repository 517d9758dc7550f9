#include "net/timers.hpp"

#include <cmath>

namespace slatejunction::net {

void Timer::arm(double due) {
    disarm();
    if (spare_) {
        spare_.key() = due;
        at_ = timers_.queue_.insert(std::move(spare_));
    } else {
        at_ = timers_.queue_.emplace(due, this);
    }
    armed_ = true;
    timers_.set_ready();
}

void Timer::disarm() {
    if (!armed_) return;
    spare_ = timers_.queue_.extract(at_);
    armed_ = false;
}

Timers::Timers() {
    static GSourceFuncs calls = {nullptr,
                                 nullptr,
                                 [](GSource* source, GSourceFunc, gpointer) -> gboolean {
                                     reinterpret_cast<Wake*>(source)->self->run();
                                     return G_SOURCE_CONTINUE;
                                 },
                                 nullptr,
                                 nullptr,
                                 nullptr};
    source_.reset(g_source_new(&calls, sizeof(Wake)));
    reinterpret_cast<Wake*>(source_.get())->self = this;
    g_source_set_ready_time(source_.get(), -1);
    g_source_attach(source_.get(), nullptr);
}

// An early wake-up for a timer disarmed meanwhile is harmless, so only an earlier time is set at once.
void Timers::set_ready() {
    const double due = queue_.empty() ? -1 : queue_.begin()->first;
    if (due < 0 || (ready_ >= 0 && due >= ready_)) return;
    ready_ = due;
    g_source_set_ready_time(source_.get(), static_cast<gint64>(std::ceil(due * 1e6)));
}

void Timers::run() {
    const double time = now();
    while (!queue_.empty() && queue_.begin()->first <= time) {
        Timer* timer = queue_.begin()->second;
        timer->disarm();
        timer->call_();   // may destroy the timer
    }
    ready_ = -1;
    if (queue_.empty())
        g_source_set_ready_time(source_.get(), -1);
    else
        set_ready();
}

}   // namespace slatejunction::net
