#include "fleet_counters/reporter.hpp"

#include <algorithm>

#include "fleet_counters.pb.h"

namespace slatejunction::fleet_counters {

std::string encode(const Report& report) {
    wire::Message out;
    out.set_process(report.process);
    out.set_counted(report.acknowledged_period);
    for (const PeriodCounters& cut : report.cuts) {
        wire::Cut& one = *out.add_cut();
        one.set_period(cut.period);
        for (const std::uint64_t value : cut.values) one.add_value(value);
    }
    return out.SerializeAsString();
}

bool decode(std::string_view bytes, Report& report) {
    wire::Message in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.process() == 0) return false;
    report = {in.process(), in.counted(), {}};
    for (const wire::Cut& one : in.cut()) {
        PeriodCounters& cut = report.cuts.emplace_back();
        cut.period = one.period();
        if (one.value_size() != static_cast<int>(kValues)) return false;
        for (std::size_t i = 0; i < kValues; ++i) cut.values[i] = one.value(static_cast<int>(i));
        // Guards against a program that counts down: sums would run back.
        if (report.cuts.size() == 1) continue;
        const PeriodCounters& before = report.cuts[report.cuts.size() - 2];
        if (cut.period <= before.period) return false;
        for (std::size_t i = 0; i < kValues; ++i)
            if (cut.values[i] < before.values[i]) return false;
    }
    return report.cuts.empty() || report.cuts.front().period == report.acknowledged_period;
}

void Reporter::record_period(std::uint64_t period, const Values& values) {
    if (period <= (cuts_.empty() ? base_.period : cuts_.back().period)) return;
    cuts_.push_back({period, values});
    // Nobody can have counted what was never told: the oldest become one.
    if (first_reported_period_ == 0) {
        if (cuts_.size() > kMaxUnreportedCuts) cuts_.pop_front();
        return;
    }
    if (period < std::max(base_.period, first_reported_period_) + kForgetPeriods / 2) return;
    for (const Value one : {served, refused, failed}) dropped_requests_ += values[one] - base_.values[one];
    base_ = cuts_.back();
    cuts_.clear();
    first_reported_period_ = 0;
}

std::optional<Report> Reporter::report() {
    if (cuts_.empty()) return {};
    Report made{process_, base_.period, {}};
    made.cuts.push_back(base_);
    for (const PeriodCounters& cut : cuts_) made.cuts.push_back(cut);
    if (first_reported_period_ == 0) first_reported_period_ = cuts_.back().period;
    return made;
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
