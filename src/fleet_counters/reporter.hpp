// One ingress's part in the fleet's counters: records its counters at the end of each period and
// reports them to the aggregator until they are acknowledged.
//
// Rule: a recorded period is reported until an acknowledgement covers it; what stays unacknowledged
// for kForgetPeriods / 2 periods after its first report is dropped for good, as it may or may not be
// counted.
// Inputs: counters since the process began, periods, acknowledgements.
// Output: reports, dropped_requests().
// Invariant: no increment is counted twice. Periods are numbered by the wall clock, which names them
// and nothing else: clocks that differ put an increment into one period or its neighbour, never into
// two or none.
// Seen in: dropped_requests() and Driver::periods_behind() as measures.
// Never does: I/O, reading a clock. Driver owns it.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace slatejunction::fleet_counters {

/// Counters since the process began. Weights are in millionths, so that sums are exact.
enum CounterIndex : std::size_t { served, refused, failed, weight_offered, weight_served, kCounterCount };
using CounterValues = std::array<std::uint64_t, kCounterCount>;
inline constexpr double kWeightScale = 1e6;

/// Recorded periods that wait for a first report; older ones are merged into their successor.
inline constexpr std::size_t kMaxUnreportedPeriods = 8;
/// Periods after which the aggregator forgets a process that does not report.
inline constexpr std::uint64_t kForgetPeriods = 24;

/// The counters as they stood at the end of a period.
struct PeriodCounters {
    std::uint64_t period = 0;
    CounterValues values{};
};

/// A report (with cuts), or an acknowledgement (without).
struct Report {
    std::uint64_t process = 0;
    std::uint64_t acknowledged_period = 0;         ///< the last one that is counted; 0: none yet
    std::vector<PeriodCounters> period_counters;   ///< rising periods; the first is acknowledged_period
};
std::string encode(const Report& report);
/// False: `bytes` are no valid report.
bool decode(std::string_view bytes, Report& report);

class Reporter {
  public:
    /// `process`: identity drawn for this process, never 0.
    explicit Reporter(std::uint64_t process) : process_(process) {}

    /// Records the counters at the end of `period`; without effect if it is not later than the last one.
    void record_period(std::uint64_t period, const CounterValues& values);
    /// What is not acknowledged yet; empty: nothing.
    std::optional<Report> report();
    /// Periods up to `period` are counted; ignored for another process.
    void acknowledge(std::uint64_t process, std::uint64_t period);
    std::uint64_t acknowledged_period() const { return base_.period; }
    /// Recorded periods that are not acknowledged.
    std::size_t unacknowledged_periods() const { return cuts_.size(); }
    /// Requests that are in no row.
    std::uint64_t dropped_requests() const { return dropped_requests_; }

  private:
    void drop_unacknowledged(const CounterValues& values);

    const std::uint64_t process_;
    PeriodCounters base_;               // acknowledged
    std::deque<PeriodCounters> cuts_;   // not acknowledged
    // The newest period when what waits was reported first; 0: it was not.
    std::uint64_t first_reported_period_ = 0;
    std::uint64_t dropped_requests_ = 0;
};

}   // namespace slatejunction::fleet_counters
