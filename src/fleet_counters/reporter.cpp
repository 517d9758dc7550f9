#include "fleet_counters/reporter.hpp"

#include <algorithm>

#include "fleet_counters.pb.h"

namespace slatejunction::fleet_counters {
namespace {

bool decode_counters(const wire::Cut& in, PeriodCounters& counters) {
    if (in.value_size() != static_cast<int>(kCounterCount)) return false;
    counters.period = in.period();
    for (std::size_t i = 0; i < kCounterCount; ++i) counters.values[i] = in.value(static_cast<int>(i));
    return true;
}

// Whether `next` may follow `previous` in a report: a counter that decreases would make the counters of the
// fleet decrease.
bool is_valid_successor(const PeriodCounters& previous, const PeriodCounters& next) {
    if (next.period <= previous.period) return false;
    for (std::size_t i = 0; i < kCounterCount; ++i)
        if (next.values[i] < previous.values[i]) return false;
    return true;
}

}   // namespace

std::string encode(const Report& report) {
    wire::Message out;
    out.set_process(report.process);
    out.set_counted(report.acknowledged_period);
    for (const PeriodCounters& counters : report.period_counters) {
        wire::Cut& entry = *out.add_cut();
        entry.set_period(counters.period);
        for (const std::uint64_t value : counters.values) entry.add_value(value);
    }
    return out.SerializeAsString();
}

bool decode(std::string_view bytes, Report& report) {
    wire::Message in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.process() == 0) return false;
    report = {in.process(), in.counted(), {}};
    for (const wire::Cut& entry : in.cut()) {
        PeriodCounters counters;
        if (!decode_counters(entry, counters)) return false;
        if (!report.period_counters.empty() && !is_valid_successor(report.period_counters.back(), counters))
            return false;
        report.period_counters.push_back(counters);
    }
    return report.period_counters.empty() ||
           report.period_counters.front().period == report.acknowledged_period;
}

void Reporter::record_period(std::uint64_t period, const CounterValues& values) {
    const std::uint64_t last_period =
        unacknowledged_.empty() ? acknowledged_.period : unacknowledged_.back().period;
    if (period <= last_period) return;
    unacknowledged_.push_back({period, values});
    if (first_reported_period_ == 0) {
        // Counters that were never reported cannot have been counted, so the oldest period may be merged.
        if (unacknowledged_.size() > kMaxUnreportedPeriods) unacknowledged_.pop_front();
        return;
    }
    const std::uint64_t waiting_since = std::max(acknowledged_.period, first_reported_period_);
    if (period >= waiting_since + kForgetPeriods / 2) drop_unacknowledged(values);
}

void Reporter::drop_unacknowledged(const CounterValues& values) {
    for (const CounterIndex outcome : {served, refused, failed})
        dropped_requests_ += values[outcome] - acknowledged_.values[outcome];
    acknowledged_ = unacknowledged_.back();
    unacknowledged_.clear();
    first_reported_period_ = 0;
}

std::optional<Report> Reporter::report() {
    if (unacknowledged_.empty()) return {};
    Report report{process_, acknowledged_.period, {}};
    report.period_counters.push_back(acknowledged_);
    for (const PeriodCounters& counters : unacknowledged_) report.period_counters.push_back(counters);
    if (first_reported_period_ == 0) first_reported_period_ = unacknowledged_.back().period;
    return report;
}

void Reporter::acknowledge(std::uint64_t process, std::uint64_t period) {
    if (process != process_) return;
    while (!unacknowledged_.empty() && unacknowledged_.front().period <= period) {
        acknowledged_ = unacknowledged_.front();
        unacknowledged_.pop_front();
    }
    if (unacknowledged_.empty()) first_reported_period_ = 0;
}

}   // namespace slatejunction::fleet_counters
