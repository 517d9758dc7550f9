// Slow start: while a backend warms up, all ingresses together send it no more of its even share of the
// traffic than its present capacity allows (settings overload_multiple, overload_window_s).
//
// - Inputs: when the backend started (s, clock of the events; 0: long ago);
//   Settings::slow_start_min_capacity (fraction of full capacity), slow_start_window_s, overload_multiple,
//   overload_window_s; attempts and answers of the fleet.
// - Output: the capacity of the backend (0.01 to 1), and the probability with which it may be chosen.
// - Limits: it does not depend on messages or on the number of ingresses: each ingress limits its own share
//   by a probability, so that the sum is right for any number of them.
// - Visible in: nothing directly; the backends' own request counts show the recovery ramp.
#pragma once

#include <algorithm>

#include "gateway/numeric.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

/// Fraction of overload_multiple that is used at most.
constexpr double kSlowStartMarginFraction = 0.68;
/// Weight of one attempt in the answered fraction.
constexpr double kAnsweredWeight = 0.1;
/// Fraction held back at first, as not all ingresses may have learned of the backend yet.
constexpr double kPropagationReserveFraction = 0.2;
constexpr double kMinSlowStartCapacity = 0.01;

/// Slow start of all backends of a gateway.
class SlowStart {
  public:
    /// `settings` must outlive this object.
    explicit SlowStart(const Settings& settings) : settings_(settings) {}

    void on_attempt_started() { answered_fraction_ -= kAnsweredWeight * answered_fraction_; }
    void on_answer() {
        answered_fraction_ = std::min(1 + kAnsweredWeight, answered_fraction_ + kAnsweredWeight);
    }

    /// Whether a backend that started at `started_at_s` has its full capacity.
    bool is_warm(double started_at_s, double now) const { return capacity(started_at_s, now) >= 1; }

    /// The least fraction of its full capacity that the backend can have at `now`.
    double capacity(double started_at_s, double now) const {
        if (started_at_s <= 0 || settings_.slow_start_window_s <= 0 || settings_.overload_window_s <= 0)
            return 1;
        const double elapsed_windows = std::max(0.0, now - started_at_s) / settings_.slow_start_window_s;
        const double min_capacity = clamped(settings_.slow_start_min_capacity, kMinSlowStartCapacity, 1.0);
        return elapsed_windows >= 1 ? 1 : min_capacity + (1 - min_capacity) * elapsed_windows;
    }

    /// The probability with which a warming backend that was drawn may be chosen.
    double admission_probability(double started_at_s, double now) const {
        const double elapsed_overload_windows =
            clamped((now - started_at_s) / std::max(settings_.overload_window_s, 1e-3), 0.0, 1.0);
        const double allowed = std::min(
            1.0, kSlowStartMarginFraction * settings_.overload_multiple * capacity(started_at_s, now));
        return allowed * answered_fraction_ *
               (1 - kPropagationReserveFraction * (1 - elapsed_overload_windows));
    }

  private:
    const Settings& settings_;
    double answered_fraction_ = 1;   // of all attempts: how much the fleet can serve
};

}   // namespace slatejunction::gateway
