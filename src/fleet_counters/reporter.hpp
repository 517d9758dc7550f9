// One ingress's part in the fleet's sums: cuts its counters at the end of each period and tells them to
// whoever sums, until they are counted. A decision room: figures, times and answers in, reports out.
//
// Periods are numbered by the wall clock, which names them and nothing else: two clocks that differ put an
// increment into one period or its neighbour, never into two or none.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace slatejunction::fleet_counters {

// Counters since the process began. Worth is in millionths, so that sums are exact.
enum Value : std::size_t { served, refused, failed, weight_offered, weight_served, kValues };
using Values = std::array<std::uint64_t, kValues>;
inline constexpr double kWeightScale = 1e6;

inline constexpr std::size_t kMaxUnreportedCuts =
    8;   // that wait for somebody to tell them to; older ones become one
// Periods after which the sums forget a process that is silent. One that has told and was not answered for
// half of them leaves that out for good, as it can't know whether it was counted.
inline constexpr std::uint64_t kForgetPeriods = 24;

struct PeriodCounters {
    std::uint64_t period = 0;
    Values values{};
};

struct Report {
    std::uint64_t process = 0;
    std::uint64_t acknowledged_period = 0;   // 0: nothing yet
    std::vector<PeriodCounters> cuts;   // the first is that of `counted`; empty: it says what was counted
};
std::string encode(const Report& report);
bool decode(std::string_view bytes, Report& report);   // false: it is none

class Reporter {
  public:
    explicit Reporter(std::uint64_t process) : process_(process) {}

    // The period has ended, the counters stand so. A period that is not later than the last changes
    // nothing.
    void record_period(std::uint64_t period, const Values& values);
    // What is still to be counted; none: nothing.
    std::optional<Report> report();
    void acknowledge(std::uint64_t process, std::uint64_t period);
    std::uint64_t acknowledged_period() const { return base_.period; }
    std::size_t waiting() const { return cuts_.size(); }
    std::uint64_t dropped_requests() const {
        return dropped_requests_;
    }   // requests that are in no sum, see kForget

  private:
    const std::uint64_t process_;
    PeriodCounters base_;
    std::deque<PeriodCounters> cuts_;
    std::uint64_t first_reported_period_ =
        0;   // the newest period when what waits was first told; 0: it was not
    std::uint64_t dropped_requests_ = 0;
};

}   // namespace slatejunction::fleet_counters
