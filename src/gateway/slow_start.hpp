// Rule: while a backend warms up, all ingresses together send it no more of its even part of the traffic
// than its present capacity allows (settings overload_multiple, overload_window_s). Inputs: when it started
// (s, clock of the events; 0: long ago), Settings::slow_start_min_capacity (part of full capacity),
// slow_start_window_s, overload_multiple, overload_window_s; attempts and answers of the fleet. Output: its
// capacity (0.01 to 1) and the probability with which it may be chosen. It never depends on messages or on
// a count of ingresses: each ingress limits its own part by chance, so that the sum holds for any number of
// them. Seen in: nothing of its own; the backends' own counts of requests show the ramp.
#pragma once

#include <algorithm>

#include "gateway/numeric.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

constexpr double kSlowStartMargin = 0.68;    // part of overload_multiple that is used at most
constexpr double kAnsweredWeight = 0.1;      // of one attempt, in the part that is answered
constexpr double kUninformedReserve = 0.2;   // at first, as not all ingresses may know the backend yet
constexpr double kMinSlowStartCapacity = 0.01;

/// The rule for all backends of a gateway.
class SlowStart {
  public:
    /// `settings` must outlive this.
    explicit SlowStart(const Settings& settings) : settings_(settings) {}

    void on_attempt_started() { answered_part_ -= kAnsweredWeight * answered_part_; }
    void on_answer() { answered_part_ = std::min(1 + kAnsweredWeight, answered_part_ + kAnsweredWeight); }

    /// Whether a backend that started at `started_at_s` has its full capacity.
    bool is_warm(double started_at_s, double now) const { return capacity(started_at_s, now) >= 1; }

    /// The least part of its full capacity that the backend can have at `now`.
    double capacity(double started_at_s, double now) const {
        if (started_at_s <= 0 || settings_.slow_start_window_s <= 0 || settings_.overload_window_s <= 0)
            return 1;
        const double age = std::max(0.0, now - started_at_s) / settings_.slow_start_window_s;   // windows
        const double from = limited(settings_.slow_start_min_capacity, kMinSlowStartCapacity, 1.0);
        return age >= 1 ? 1 : from + (1 - from) * age;
    }

    /// The probability with which a warming backend that was drawn may be chosen.
    double admission_probability(double started_at_s, double now) const {
        const double age =
            limited((now - started_at_s) / std::max(settings_.overload_window_s, 1e-3), 0.0, 1.0);
        const double allowed =
            std::min(1.0, kSlowStartMargin * settings_.overload_multiple * capacity(started_at_s, now));
        return allowed * answered_part_ * (1 - kUninformedReserve * (1 - age));
    }

  private:
    const Settings& settings_;
    double answered_part_ = 1;   // of the attempts: what the fleet bears
};

}   // namespace slatejunction::gateway
