#include "fleet_counters/reporter.hpp"

#include <algorithm>

#include "fleet_counters.pb.h"

namespace slatejunction::fleet_counters {
namespace {

bool decode_cut(const wire::Cut& in, PeriodCounters& cut) {
    if (in.value_size() != static_cast<int>(kCounterCount)) return false;
    cut.period = in.period();
    for (std::size_t i = 0; i < kCounterCount; ++i) cut.values[i] = in.value(static_cast<int>(i));
    return true;
}

// Counters that ran back would let the fleet's counters run back.
bool continues(const PeriodCounters& previous, const PeriodCounters& next) {
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
    for (const PeriodCounters& cut : report.period_counters) {
        wire::Cut& entry = *out.add_cut();
        entry.set_period(cut.period);
        for (const std::uint64_t value : cut.values) entry.add_value(value);
    }
    return out.SerializeAsString();
}

bool decode(std::string_view bytes, Report& report) {
    wire::Message in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.process() == 0) return false;
    report = {in.process(), in.counted(), {}};
    for (const wire::Cut& entry : in.cut()) {
        PeriodCounters cut;
        if (!decode_cut(entry, cut)) return false;
        if (!report.period_counters.empty() && !continues(report.period_counters.back(), cut)) return false;
        report.period_counters.push_back(cut);
    }
    return report.period_counters.empty() ||
           report.period_counters.front().period == report.acknowledged_period;
}

void Reporter::record_period(std::uint64_t period, const CounterValues& values) {
    const std::uint64_t last_period = cuts_.empty() ? base_.period : cuts_.back().period;
    if (period <= last_period) return;
    cuts_.push_back({period, values});
    if (first_reported_period_ == 0) {
        // Nobody can have counted what was never reported, so the oldest may be merged.
        if (cuts_.size() > kMaxUnreportedPeriods) cuts_.pop_front();
        return;
    }
    const std::uint64_t since = std::max(base_.period, first_reported_period_);
    if (period >= since + kForgetPeriods / 2) drop_unacknowledged(values);
}

void Reporter::drop_unacknowledged(const CounterValues& values) {
    for (const CounterIndex outcome : {served, refused, failed})
        dropped_requests_ += values[outcome] - base_.values[outcome];
    base_ = cuts_.back();
    cuts_.clear();
    first_reported_period_ = 0;
}

std::optional<Report> Reporter::report() {
    if (cuts_.empty()) return {};
    Report report{process_, base_.period, {}};
    report.period_counters.push_back(base_);
    for (const PeriodCounters& cut : cuts_) report.period_counters.push_back(cut);
    if (first_reported_period_ == 0) first_reported_period_ = cuts_.back().period;
    return report;
}

void Reporter::acknowledge(std::uint64_t process, std::uint64_t period) {
    if (process != process_) return;
    while (!cuts_.empty() && cuts_.front().period <= period) {
        base_ = cuts_.front();
        cuts_.pop_front();
    }
    if (cuts_.empty()) first_reported_period_ = 0;
}

}   // namespace slatejunction::fleet_counters
