// Records the counters of one ingress at the end of each period, and reports them to the aggregator until
// they are acknowledged.
//
// Reported periods that are still not acknowledged kForgetPeriods / 2 periods after the first report or the
// latest acknowledgement are dropped for good: the aggregator may or may not have counted them.
//
// - Inputs: counters since the start of the process, periods, acknowledgements.
// - Outputs: reports, dropped_requests().
// - Observability: dropped_requests() and Driver::periods_behind() as metrics.
//
// Invariant: no increment is counted twice. The wall clock only numbers the periods: if clocks differ, an
// increment is counted in a period or in its neighbour, never in two periods or in none.
//
// The code does no I/O and reads no clock. Driver owns it.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace slatejunction::fleet_counters {

/// The counters of an ingress, by their index in CounterValues. Weights are counted in millionths, so that
/// sums are exact.
enum CounterIndex : std::size_t { served, refused, failed, weight_offered, weight_served, kCounterCount };
/// Counters since the start of the process.
using CounterValues = std::array<std::uint64_t, kCounterCount>;
inline constexpr double kWeightScale = 1e6;

/// Recorded periods kept until the first report. Beyond that the oldest is merged into its successor.
inline constexpr std::size_t kMaxUnreportedPeriods = 8;
/// Number of periods after which the aggregator forgets a process that has not reported.
inline constexpr std::uint64_t kForgetPeriods = 24;

/// The counters at the end of a period.
struct PeriodCounters {
    std::uint64_t period = 0;
    CounterValues values{};
};

/// A report, or an acknowledgement if period_counters is empty.
struct Report {
    std::uint64_t process = 0;
    std::uint64_t acknowledged_period = 0;         ///< the last counted period; 0: none yet
    std::vector<PeriodCounters> period_counters;   ///< ascending by period, from acknowledged_period
};
std::string encode(const Report& report);
/// Returns false if `bytes` is not a valid report.
bool decode(std::string_view bytes, Report& report);

class Reporter {
  public:
    /// `process` is the random id of this process, never 0.
    explicit Reporter(std::uint64_t process) : process_(process) {}

    /// Records the counters at the end of `period`. Ignored unless the period is later than the last one.
    void record_period(std::uint64_t period, const CounterValues& values);
    /// Returns the counters that are not acknowledged yet, or nullopt if there are none.
    std::optional<Report> report();
    /// Marks the periods up to `period` as counted. Ignored if `process` is another process.
    void acknowledge(std::uint64_t process, std::uint64_t period);
    std::uint64_t acknowledged_period() const { return acknowledged_.period; }
    /// Number of recorded periods that are not acknowledged.
    std::size_t unacknowledged_periods() const { return unacknowledged_.size(); }
    /// Requests that were dropped without an acknowledgement. They may be missing from all rows.
    std::uint64_t dropped_requests() const { return dropped_requests_; }

  private:
    void drop_unacknowledged(const CounterValues& values);

    const std::uint64_t process_;
    PeriodCounters acknowledged_;
    std::deque<PeriodCounters> unacknowledged_;
    // The newest period at the time of the first report of unacknowledged_; 0: not reported yet.
    std::uint64_t first_reported_period_ = 0;
    std::uint64_t dropped_requests_ = 0;
};

}   // namespace slatejunction::fleet_counters
