#include "fleet_counters/aggregator.hpp"

#include <algorithm>
#include <cmath>

#include "fleet_counters.pb.h"

namespace slatejunction::fleet_counters {
namespace {

constexpr double kNever = 1e18;                 // s
constexpr double kRegisterRounds = 3;           // pages, totals, and one more after a change of holder
constexpr double kMaxRetryJitterFactor = 1.2;   // of the retry interval of RegisterClient

template <class Repeated>
bool decode_values(const Repeated& from, CounterValues& values) {
    if (from.size() != static_cast<int>(kCounterCount)) return false;
    for (std::size_t i = 0; i < kCounterCount; ++i) values[i] = from.Get(static_cast<int>(i));
    return true;
}

// Decodes a row: the counter values, followed by the number of processes.
bool decode_row(const wire::Row& in, Row& row) {
    if (in.value_size() != static_cast<int>(kCounterCount) + 1) return false;
    for (std::size_t i = 0; i < kCounterCount; ++i) row.values[i] = in.value(static_cast<int>(i));
    row.process_count = in.value(static_cast<int>(kCounterCount));
    return true;
}

}   // namespace

double row_delay_bound_s(const Settings& settings, const lease::LeaseTimes& times, double round_trip_s) {
    const double round_s = round_trip_s + kMaxRetryJitterFactor * lease::request_timeout_s(times);
    return settings.grace_s + kRegisterRounds * round_s;
}

double row_delay_bound_after_failover_s(const Settings& settings, const lease::LeaseTimes& times,
                                        double round_trip_s, int candidates) {
    return lease::max_vacancy_s(times, round_trip_s, candidates) +
           row_delay_bound_s(settings, times, round_trip_s);
}

std::vector<std::string> Aggregator::register_names() {
    std::vector<std::string> names{kTotalsRegister};
    for (std::size_t page = 0; page < kPageCount; ++page) names.push_back(page_name(page));
    return names;
}

Aggregator::Aggregator(const Settings& settings, const lease::LeaseTimes& times,
                       const lease::AcceptorSet& acceptors, std::uint64_t seed)
    : settings_(settings), registers_(register_names(), times, acceptors, seed) {}

std::uint64_t Aggregator::last_ended_period(double unix_s) const {
    return static_cast<std::uint64_t>(std::max(0.0, std::floor(unix_s / settings_.period_s)));
}

// The next period is due a grace time after its end, but not before a grace time after the start of the
// term: the ingresses need that time to report to a new holder.
double Aggregator::next_period_due_at_unix_s() const {
    const double ends = static_cast<double>(last_committed_period() + 1) * settings_.period_s;
    return std::max(ends + settings_.grace_s, term_began_unix_s_ + settings_.grace_s);
}

void Aggregator::begin_term(double now, double unix_s, std::uint64_t fencing_token) {
    stage_ = Stage::reading;
    term_began_unix_s_ = unix_s;
    rows_.clear();
    registers_.begin_term(now, fencing_token);
}

void Aggregator::end_term() {
    stage_ = Stage::off;
    registers_.end_term();
    reports_.clear();
    rows_.clear();
    acknowledgements_.clear();
}

void Aggregator::on_register_message(double now, double unix_s, const std::string& acceptor,
                                     const lease::RegisterMessage& message) {
    registers_.receive(now, acceptor, message);
    advance(now, unix_s);
}

bool Aggregator::on_report(double now, double unix_s, const std::string& from, const Report& report) {
    if (!has_term() || report.period_counters.empty()) return false;
    const std::uint64_t last_period = report.period_counters.back().period;
    // The process of an old report may have been forgotten by now, and would be counted a second time.
    if (last_period + kForgetPeriods / 2 < last_ended_period(unix_s)) return false;
    const auto previous = reports_.find(report.process);
    const bool is_outdated =
        previous != reports_.end() && previous->second.report.period_counters.back().period > last_period;
    if (is_outdated) return true;
    reports_[report.process] = {from, report};
    // Repeats an acknowledgement that the reporter may have missed, but not while pages are being written:
    // it is not yet known whether they will be committed.
    if (stage_ == Stage::idle) acknowledge(report.process, reports_[report.process]);
    advance(now, unix_s);
    return true;
}

void Aggregator::on_timer(double now, double unix_s) {
    registers_.on_timer(now);
    advance(now, unix_s);
}

double Aggregator::next_deadline(double now, double unix_s) const {
    if (!has_term()) return kNever;
    const double registers_at = registers_.next_deadline();
    if (stage_ != Stage::idle) return registers_at;
    const double period_at = now + std::max(0.0, next_period_due_at_unix_s() - unix_s);
    return std::min(registers_at, period_at);
}

bool Aggregator::all_committed() const {
    const auto names = register_names();
    return std::all_of(names.begin(), names.end(),
                       [&](const auto& name) { return registers_.committed(name); });
}

void Aggregator::advance(double now, double unix_s) {
    if (!has_term() || registers_.superseded()) return;
    if (stage_ == Stage::reading && registers_.all_known()) adopt_registers(now, unix_s);
    if (stage_ == Stage::adopting && all_committed()) publish_rows();
    if (stage_ == Stage::idle && unix_s >= next_period_due_at_unix_s()) begin_period(now);
    if (stage_ == Stage::writing_pages && all_committed()) write_totals(now);
    if (stage_ == Stage::writing_totals && all_committed()) {
        publish_rows();
        advance(now, unix_s);   // more periods may be due
    }
}

// Writes the values that were read back under the token of this term: a minority of the acceptors may be
// all that stores them, and they are committed only when a majority does.
void Aggregator::adopt_registers(double now, double unix_s) {
    load_registers(unix_s);
    stage_ = Stage::adopting;
    registers_.write(now, kTotalsRegister, encode_totals());
    for (std::size_t i = 0; i < kPageCount; ++i)
        registers_.write(now, page_name(i), encode_page(pages_[i]));
}

void Aggregator::begin_period(double now) {
    const std::uint64_t period = last_committed_period() + 1;
    stage_ = Stage::writing_pages;
    for (std::size_t i = 0; i < kPageCount; ++i) {
        if (pages_[i].period >= period) continue;   // already written by the previous holder
        add_reports(i, period);
        registers_.write(now, page_name(i), encode_page(pages_[i]));
    }
}

void Aggregator::write_totals(double now) {
    Row row;
    row.period = last_committed_period() + 1;
    for (const Page& page : pages_) {
        for (std::size_t i = 0; i < kCounterCount; ++i) row.values[i] += page.values[i];
        for (const auto& [process, counted_period] : page.entries)
            if (counted_period == row.period) ++row.process_count;
    }
    retained_rows_.push_back(row);
    if (retained_rows_.size() > kMaxRetainedRows) retained_rows_.pop_front();
    stage_ = Stage::writing_totals;
    registers_.write(now, kTotalsRegister, encode_totals());
}

// Hands out the new rows and acknowledges the reports in them. Requires that a majority of the acceptors
// has stored the totals.
void Aggregator::publish_rows() {
    stage_ = Stage::idle;
    for (const Row& row : retained_rows_)
        if (row.period > published_period_) rows_.push_back(row);
    published_period_ = std::max(published_period_, last_committed_period());
    for (const auto& [process, received] : reports_) acknowledge(process, received);
    std::erase_if(reports_, [&](const auto& entry) {
        return entry.second.report.period_counters.back().period + kForgetPeriods < last_committed_period();
    });
}

// Continues from the state that the previous holder has stored, or resets the counters if that state is
// lost or invalid.
void Aggregator::load_registers(double unix_s) {
    for (Page& page : pages_) page = {};
    retained_rows_.clear();
    std::uint64_t delivered_period = 0;
    bool is_valid = load_totals(delivered_period);
    for (std::size_t i = 0; is_valid && i < kPageCount; ++i) is_valid = load_page(i);
    if (is_valid && !registers_.may_have_lost_values()) {
        delivered_period_ = delivered_period;
        published_period_ = delivered_period;
        const std::uint64_t first_row = retained_rows_.front().period;
        if (first_row > delivered_period + 1) skipped_periods_ += first_row - delivered_period - 1;
        return;
    }
    // It is not known which rows the receiver has, so the counters restart with the next whole period.
    const std::uint64_t first_period = last_ended_period(unix_s) + 1;
    if (is_valid && first_period > last_committed_period())
        skipped_periods_ += first_period - last_committed_period();
    reset(first_period);
}

void Aggregator::reset(std::uint64_t period) {
    ++resets_;
    for (Page& page : pages_) page = {period, {}, {}};
    retained_rows_ = {{period, {}, 0}};
    delivered_period_ = period;
    published_period_ = period;
}

bool Aggregator::load_totals(std::uint64_t& delivered_period) {
    wire::Totals totals;
    const std::string& text = registers_.text(kTotalsRegister);
    if (!totals.ParseFromArray(text.data(), static_cast<int>(text.size()))) return false;
    if (totals.row_size() == 0) return false;
    for (int i = 0; i < totals.row_size(); ++i) {
        Row row;
        row.period = totals.period() - static_cast<std::uint64_t>(totals.row_size() - 1 - i);
        if (!decode_row(totals.row(i), row)) return false;
        retained_rows_.push_back(row);
    }
    delivered_period = totals.sent();
    return true;
}

bool Aggregator::load_page(std::size_t index) {
    wire::Page in;
    const std::string& text = registers_.text(page_name(index));
    if (!in.ParseFromArray(text.data(), static_cast<int>(text.size()))) return false;
    Page& page = pages_[index];
    if (!decode_values(in.value(), page.values)) return false;
    page.period = in.period();
    if (in.process_size() != in.behind_size()) return false;
    for (int i = 0; i < in.process_size(); ++i) {
        const std::uint64_t behind = std::min<std::uint64_t>(in.behind(i), page.period);
        page.entries[in.process(i)] = page.period - behind;
    }
    // A page may be one period ahead of the totals: the previous holder's term ended in between.
    return page.period >= last_committed_period() && page.period <= last_committed_period() + 1;
}

// Adds the increments up to `period` that the processes of the page have reported and that are not counted
// yet.
void Aggregator::add_reports(std::size_t index, std::uint64_t period) {
    Page& page = pages_[index];
    page.period = period;
    std::erase_if(page.entries, [&](const auto& entry) { return entry.second + kForgetPeriods < period; });
    for (const auto& [process, received] : reports_) {
        const auto& reported = received.report.period_counters;
        const bool is_old = reported.back().period + kForgetPeriods / 2 < period;
        if (page_of(process) == index && !is_old) add_report(page, process, reported);
    }
}

void Aggregator::add_report(Page& page, std::uint64_t process,
                            const std::vector<PeriodCounters>& reported) {
    const auto entry = page.entries.find(process);
    const bool is_known = entry != page.entries.end();
    // A process without an entry was never counted, or it was counted by a holder whose registers are lost.
    const std::uint64_t counted = std::max(is_known ? entry->second : 0, reported.front().period);
    const auto from = std::find_if(reported.begin(), reported.end(), [&](const PeriodCounters& counters) {
        return counters.period == counted;
    });
    const auto to = std::find_if(reported.rbegin(), reported.rend(), [&](const PeriodCounters& counters) {
        return counters.period <= page.period;
    });
    // A report without the last counted period is not added. It is acknowledged up to that period, and the
    // next report begins at that acknowledgement.
    if (from == reported.end() || to == reported.rend() || to->period <= counted) return;
    if (!is_known && page.entries.size() >= kMaxPageEntries) {
        ++rejected_reports_;
        return;
    }
    for (std::size_t i = 0; i < kCounterCount; ++i) page.values[i] += to->values[i] - from->values[i];
    page.entries[process] = to->period;
}

std::string Aggregator::encode_page(const Page& page) const {
    wire::Page out;
    out.set_period(page.period);
    for (const std::uint64_t value : page.values) out.add_value(value);
    for (const auto& [process, counted_period] : page.entries) {
        out.add_process(process);
        out.add_behind(static_cast<std::uint32_t>(page.period - counted_period));
    }
    return out.SerializeAsString();
}

std::string Aggregator::encode_totals() const {
    wire::Totals out;
    out.set_period(last_committed_period());
    out.set_sent(delivered_period_);
    for (const Row& row : retained_rows_) {
        wire::Row& entry = *out.add_row();
        for (const std::uint64_t value : row.values) entry.add_value(value);
        entry.add_value(row.process_count);
    }
    return out.SerializeAsString();
}

void Aggregator::acknowledge(std::uint64_t process, const ReceivedReport& received) {
    const Page& page = pages_[page_of(process)];
    const auto entry = page.entries.find(process);
    if (entry != page.entries.end() && entry->second > received.report.acknowledged_period)
        acknowledgements_.push_back({received.from, {process, entry->second, {}}});
}

}   // namespace slatejunction::fleet_counters
