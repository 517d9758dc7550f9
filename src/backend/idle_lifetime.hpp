// How long a connection may have stood idle and still carry a call. Providers may end idle connections long
// before the time that the settings state, and a call that crosses such an end counts as one that may have
// run: what became of earlier calls tells from which idle time on that is likely.
#pragma once

#include <array>
#include <cstddef>

namespace slatejunction::backend {

class IdleLifetime {
  public:
    // A call went out on a connection that had been idle so long (below 0: a new one). `broke`: it was
    // reset at once, before any of an answer.
    void record_use(double idle_s, bool broke, double now);
    // s; idle connections older than that break more often than new ones do, by more than a dial is worth.
    double limit_s(double now) const;

  private:
    struct Count {
        double calls = 0, broke = 0, at = 0;
        Count faded(double now) const;
        double rate(double now) const;
    };
    static constexpr std::size_t kSteps = 11;   // each twice as old as the one before, the last is open
    std::array<Count, kSteps> by_age_;
    Count new_;
};

}   // namespace slatejunction::backend
