#include "fleet_counters/aggregator.hpp"

#include <algorithm>
#include <cmath>

#include "fleet_counters.pb.h"

namespace slatejunction::fleet_counters {
namespace {

template <class Repeated>
bool take_values(const Repeated& from, Values& to) {
    if (from.size() != static_cast<int>(kValues)) return false;
    for (std::size_t i = 0; i < kValues; ++i) to[i] = from.Get(static_cast<int>(i));
    return true;
}

}   // namespace

std::vector<std::string> Aggregator::register_names() {
    std::vector<std::string> all{kTotalsRegister};
    for (std::size_t page = 0; page < kPageCount; ++page) all.push_back(page_name(page));
    return all;
}

double row_delay_bound_s(const Settings& settings, const lease::LeaseTimes& times, double round_trip_s) {
    return settings.grace_s + 3 * (round_trip_s + 1.2 * lease::request_timeout_s(times));
}

double row_delay_bound_after_failover_s(const Settings& settings, const lease::LeaseTimes& times,
                                        double round_trip_s, int seekers) {
    return lease::max_vacancy_s(times, round_trip_s, seekers) +
           row_delay_bound_s(settings, times, round_trip_s);
}

Aggregator::Aggregator(const Settings& settings, const lease::LeaseTimes& times,
                       const lease::AcceptorSet& voters, std::uint64_t seed)
    : settings_(settings), times_(times), registers_(register_names(), times, voters, seed) {}

std::uint64_t Aggregator::last_ended_period(double unix_s) const {
    return static_cast<std::uint64_t>(std::max(0.0, std::floor(unix_s / settings_.period_s)));
}

void Aggregator::begin_term(double now, double unix_s, std::uint64_t number) {
    stage_ = Stage::reading;
    term_began_unix_s_ = unix_s;
    rows_.clear();
    registers_.begin_term(now, number);
}

void Aggregator::end_term() {
    stage_ = Stage::off;
    registers_.end_term();
    reports_.clear();
    rows_.clear();
    acknowledgements_.clear();
}

void Aggregator::on_register_message(double now, double unix_s, const std::string& voter,
                                     const lease::RegisterMessage& message) {
    registers_.receive(now, voter, message);
    advance(now, unix_s);
}

bool Aggregator::on_report(double now, double unix_s, const std::string& from, const Report& report) {
    if (!has_term() || report.cuts.empty()) return false;
    // Guards against one that comes when its process has been forgotten: it would be counted again.
    if (report.cuts.back().period + kForgetPeriods / 2 < last_ended_period(unix_s)) return false;
    const auto at = reports_.find(report.process);
    // Reports may come out of order.
    if (at != reports_.end() && at->second.report.cuts.back().period > report.cuts.back().period)
        return true;
    reports_[report.process] = {from, report, now};
    // It has not heard what is counted of it. While a page is being written nobody knows if it will stand.
    if (stage_ == Stage::idle) acknowledge(report.process, reports_[report.process]);
    advance(now, unix_s);
    return true;
}

void Aggregator::on_timer(double now, double unix_s) {
    registers_.on_timer(now);
    advance(now, unix_s);
}

double Aggregator::next_deadline(double now, double unix_s) const {
    if (!has_term()) return 1e18;
    double next = registers_.next_deadline();
    if (stage_ == Stage::idle) {
        const double ends =
            static_cast<double>(last_committed_period() + 1) * settings_.period_s + settings_.grace_s;
        next = std::min(
            next, now + std::max(0.0, std::max(ends, term_began_unix_s_ + settings_.grace_s) - unix_s));
    }
    return next;
}

bool Aggregator::all_committed() const {
    const auto all = register_names();
    return std::all_of(all.begin(), all.end(),
                       [&](const auto& name) { return registers_.committed(name); });
}

void Aggregator::advance(double now, double unix_s) {
    if (!has_term() || registers_.superseded()) return;
    if (stage_ == Stage::reading && registers_.all_known()) {
        load_registers(unix_s);
        // What was seen may be with a minority only: it counts once a majority has it under this number.
        stage_ = Stage::adopting;
        registers_.write(now, kTotalsRegister, encode_totals());
        for (std::size_t i = 0; i < kPageCount; ++i)
            registers_.write(now, page_name(i), encode_page(pages_[i]));
    }
    if (stage_ == Stage::adopting && all_committed()) {
        publish_rows();
        stage_ = Stage::idle;
    }
    if (stage_ == Stage::idle && unix_s >= term_began_unix_s_ + settings_.grace_s &&
        unix_s >= static_cast<double>(last_committed_period() + 1) * settings_.period_s + settings_.grace_s)
        begin_period(now, last_committed_period() + 1);
    if (stage_ == Stage::writing_pages && all_committed()) {
        Row row;
        row.period = last_committed_period() + 1;
        for (const Page& page : pages_) {
            for (std::size_t i = 0; i < kValues; ++i) row.values[i] += page.values[i];
            row.processes += static_cast<std::uint64_t>(
                std::count_if(page.entries.begin(), page.entries.end(),
                              [&](const auto& one) { return one.second == row.period; }));
        }
        retained_rows_.push_back(row);
        if (retained_rows_.size() > kMaxRetainedRows) retained_rows_.pop_front();
        stage_ = Stage::writing_totals;
        registers_.write(now, kTotalsRegister, encode_totals());
    }
    if (stage_ == Stage::writing_totals && all_committed()) {
        publish_rows();
        stage_ = Stage::idle;
        advance(now, unix_s);   // several periods may wait
    }
}

// As the holder before this one left it.
void Aggregator::load_registers(double unix_s) {
    for (Page& page : pages_) page = {};
    retained_rows_.clear();
    delivered_period_ = published_period_ = 0;
    wire::Totals totals;
    const std::string& text = registers_.text(kTotalsRegister);
    bool good = totals.ParseFromArray(text.data(), static_cast<int>(text.size())) && totals.row_size() > 0;
    for (int i = 0; good && i < totals.row_size(); ++i) {
        const auto& values = totals.row(i).value();
        Row row;
        row.period = totals.period() - static_cast<std::uint64_t>(totals.row_size() - 1 - i);
        good = values.size() == static_cast<int>(kValues) + 1;
        for (std::size_t k = 0; good && k < kValues; ++k) row.values[k] = values.Get(static_cast<int>(k));
        if (good) row.processes = values.Get(static_cast<int>(kValues));
        retained_rows_.push_back(row);
    }
    for (std::size_t i = 0; good && i < kPageCount; ++i) {
        const std::string& note = registers_.text(page_name(i));
        wire::Page in;
        good = in.ParseFromArray(note.data(), static_cast<int>(note.size())) &&
               take_values(in.value(), pages_[i].values);
        pages_[i].period = in.period();
        good = good && in.process_size() == in.behind_size();
        for (int k = 0; good && k < in.process_size(); ++k)
            pages_[i].entries[in.process(k)] =
                in.period() - std::min<std::uint64_t>(in.behind(k), in.period());
        // A page may be one period ahead: its holder ended before the totals had it.
        good = good && pages_[i].period >= last_committed_period() &&
               pages_[i].period <= last_committed_period() + 1;
    }
    const std::uint64_t last = last_ended_period(unix_s);
    if (good && !registers_.lost()) {
        delivered_period_ = published_period_ = totals.sent();
        if (retained_rows_.front().period > delivered_period_ + 1)
            skipped_periods_ += retained_rows_.front().period - delivered_period_ - 1;
        return;
    }
    // Nobody knows which rows were written outside: none before the next whole period is written again.
    if (good && last + 1 > last_committed_period()) skipped_periods_ += last + 1 - last_committed_period();
    ++resets_;
    for (Page& page : pages_) page = {last + 1, {}, {}};
    retained_rows_ = {{last + 1, {}, 0}};
    delivered_period_ = published_period_ = last + 1;
}

void Aggregator::begin_period(double now, std::uint64_t period) {
    stage_ = Stage::writing_pages;
    for (std::size_t i = 0; i < kPageCount; ++i) {
        if (pages_[i].period >= period) continue;   // done by the holder before
        add_reports(pages_[i], period);
        registers_.write(now, page_name(i), encode_page(pages_[i]));
    }
}

// What has come of the page's processes up to that period, and is not counted yet.
void Aggregator::add_reports(Page& page, std::uint64_t period) {
    page.period = period;
    const auto number = static_cast<std::size_t>(&page - pages_.data());
    std::erase_if(page.entries, [&](const auto& one) { return one.second + kForgetPeriods < period; });
    for (const auto& [process, heard] : reports_) {
        if (page_of(process) != number || heard.report.cuts.back().period + kForgetPeriods / 2 < period)
            continue;
        const auto& cuts = heard.report.cuts;
        auto entry = page.entries.find(process);
        // One that is not known here was never counted, or was by a holder whose notes are lost.
        const std::uint64_t counted =
            std::max(entry != page.entries.end() ? entry->second : 0, cuts.front().period);
        const auto from = std::find_if(cuts.begin(), cuts.end(),
                                       [&](const PeriodCounters& one) { return one.period == counted; });
        const auto to = std::find_if(cuts.rbegin(), cuts.rend(),
                                     [&](const PeriodCounters& one) { return one.period <= period; });
        // Not in this report any more: the next one begins where the answer to this one says.
        if (from == cuts.end() || to == cuts.rend() || to->period <= counted) continue;
        if (entry == page.entries.end() && page.entries.size() >= kMaxPageEntries) {
            ++rejected_reports_;
            continue;
        }
        for (std::size_t i = 0; i < kValues; ++i) page.values[i] += to->values[i] - from->values[i];
        page.entries[process] = to->period;
    }
}

std::string Aggregator::encode_page(const Page& page) const {
    wire::Page out;
    out.set_period(page.period);
    for (const std::uint64_t value : page.values) out.add_value(value);
    for (const auto& [process, counted] : page.entries) {
        out.add_process(process);
        out.add_behind(static_cast<std::uint32_t>(page.period - counted));
    }
    return out.SerializeAsString();
}

std::string Aggregator::encode_totals() const {
    wire::Totals out;
    out.set_period(last_committed_period());
    out.set_sent(delivered_period_);
    for (const Row& row : retained_rows_) {
        wire::Row& one = *out.add_row();
        for (const std::uint64_t value : row.values) one.add_value(value);
        one.add_value(row.processes);
    }
    return out.SerializeAsString();
}

void Aggregator::acknowledge(std::uint64_t process, const ReceivedReport& heard) {
    const Page& page = pages_[page_of(process)];
    const auto entry = page.entries.find(process);
    if (entry != page.entries.end() && entry->second > heard.report.acknowledged_period)
        acknowledgements_.push_back({heard.from, {process, entry->second, {}}});
}

// The totals stand with a majority: their rows may go out, and whoever is in them is told so.
void Aggregator::publish_rows() {
    for (const Row& row : retained_rows_)
        if (row.period > published_period_) rows_.push_back(row);
    published_period_ = std::max(published_period_, last_committed_period());
    for (auto at = reports_.begin(); at != reports_.end();) {
        acknowledge(at->first, at->second);
        if (at->second.report.cuts.back().period + kForgetPeriods < last_committed_period())
            at = reports_.erase(at);
        else
            ++at;
    }
}

}   // namespace slatejunction::fleet_counters
