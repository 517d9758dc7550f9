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

std::vector<std::string> Aggregator::names() {
    std::vector<std::string> all{kTotals};
    for (std::size_t page = 0; page < kPages; ++page) all.push_back(page_name(page));
    return all;
}

double row_within_s(const Settings& settings, const lease::LeaseTimes& times, double round_trip_s) {
    return settings.grace_s + 3 * (round_trip_s + 1.2 * lease::request_timeout_s(times));
}

double row_within_after_death_s(const Settings& settings, const lease::LeaseTimes& times,
                                double round_trip_s, int seekers) {
    return lease::max_vacancy_s(times, round_trip_s, seekers) + row_within_s(settings, times, round_trip_s);
}

Aggregator::Aggregator(const Settings& settings, const lease::LeaseTimes& times,
                       const lease::AcceptorSet& voters, std::uint64_t seed)
    : settings_(settings), times_(times), book_(names(), times, voters, seed) {}

std::uint64_t Aggregator::period_at(double unix_s) const {
    return static_cast<std::uint64_t>(std::max(0.0, std::floor(unix_s / settings_.every_s)));
}

void Aggregator::hold(double now, double unix_s, std::uint64_t number) {
    stage_ = Stage::reading;
    held_unix_ = unix_s;
    rows_.clear();
    book_.begin_term(now, number);
}

void Aggregator::lose() {
    stage_ = Stage::off;
    book_.end_term();
    heard_.clear();
    rows_.clear();
    answers_.clear();
}

void Aggregator::on_note(double now, double unix_s, const std::string& voter,
                         const lease::RegisterMessage& message) {
    book_.receive(now, voter, message);
    step(now, unix_s);
}

bool Aggregator::on_report(double now, double unix_s, const std::string& from, const Report& report) {
    if (!holds() || report.cuts.empty()) return false;
    // Guards against one that comes when its process has been forgotten: it would be counted again.
    if (report.cuts.back().period + kForget / 2 < period_at(unix_s)) return false;
    const auto at = heard_.find(report.process);
    // Reports may come out of order.
    if (at != heard_.end() && at->second.report.cuts.back().period > report.cuts.back().period) return true;
    heard_[report.process] = {from, report, now};
    // It has not heard what is counted of it. While a page is being written nobody knows if it will stand.
    if (stage_ == Stage::idle) answer(report.process, heard_[report.process]);
    step(now, unix_s);
    return true;
}

void Aggregator::wake(double now, double unix_s) {
    book_.on_timer(now);
    step(now, unix_s);
}

double Aggregator::due(double now, double unix_s) const {
    if (!holds()) return 1e18;
    double next = book_.next_deadline();
    if (stage_ == Stage::idle) {
        const double ends = static_cast<double>(done() + 1) * settings_.every_s + settings_.grace_s;
        next = std::min(next, now + std::max(0.0, std::max(ends, held_unix_ + settings_.grace_s) - unix_s));
    }
    return next;
}

bool Aggregator::all_settled() const {
    const auto all = names();
    return std::all_of(all.begin(), all.end(), [&](const auto& name) { return book_.committed(name); });
}

void Aggregator::step(double now, double unix_s) {
    if (!holds() || book_.superseded()) return;
    if (stage_ == Stage::reading && book_.read()) {
        load(unix_s);
        // What was seen may be with a minority only: it counts once a majority has it under this number.
        stage_ = Stage::taking;
        book_.write(now, kTotals, pack_totals());
        for (std::size_t i = 0; i < kPages; ++i) book_.write(now, page_name(i), pack(pages_[i]));
    }
    if (stage_ == Stage::taking && all_settled()) {
        finish();
        stage_ = Stage::idle;
    }
    if (stage_ == Stage::idle && unix_s >= held_unix_ + settings_.grace_s &&
        unix_s >= static_cast<double>(done() + 1) * settings_.every_s + settings_.grace_s)
        begin(now, done() + 1);
    if (stage_ == Stage::pages && all_settled()) {
        Row row;
        row.period = done() + 1;
        for (const Page& page : pages_) {
            for (std::size_t i = 0; i < kValues; ++i) row.values[i] += page.values[i];
            row.processes += static_cast<std::uint64_t>(
                std::count_if(page.entries.begin(), page.entries.end(),
                              [&](const auto& one) { return one.second == row.period; }));
        }
        rows_kept_.push_back(row);
        if (rows_kept_.size() > kRowsKept) rows_kept_.pop_front();
        stage_ = Stage::totals;
        book_.write(now, kTotals, pack_totals());
    }
    if (stage_ == Stage::totals && all_settled()) {
        finish();
        stage_ = Stage::idle;
        step(now, unix_s);   // several periods may wait
    }
}

// As the holder before this one left it.
void Aggregator::load(double unix_s) {
    for (Page& page : pages_) page = {};
    rows_kept_.clear();
    sent_ = told_ = 0;
    wire::Totals totals;
    const std::string& text = book_.text(kTotals);
    bool good = totals.ParseFromArray(text.data(), static_cast<int>(text.size())) && totals.row_size() > 0;
    for (int i = 0; good && i < totals.row_size(); ++i) {
        const auto& values = totals.row(i).value();
        Row row;
        row.period = totals.period() - static_cast<std::uint64_t>(totals.row_size() - 1 - i);
        good = values.size() == static_cast<int>(kValues) + 1;
        for (std::size_t k = 0; good && k < kValues; ++k) row.values[k] = values.Get(static_cast<int>(k));
        if (good) row.processes = values.Get(static_cast<int>(kValues));
        rows_kept_.push_back(row);
    }
    for (std::size_t i = 0; good && i < kPages; ++i) {
        const std::string& note = book_.text(page_name(i));
        wire::Page in;
        good = in.ParseFromArray(note.data(), static_cast<int>(note.size())) &&
               take_values(in.value(), pages_[i].values);
        pages_[i].period = in.period();
        good = good && in.process_size() == in.behind_size();
        for (int k = 0; good && k < in.process_size(); ++k)
            pages_[i].entries[in.process(k)] =
                in.period() - std::min<std::uint64_t>(in.behind(k), in.period());
        // A page may be one period ahead: its holder ended before the totals had it.
        good = good && pages_[i].period >= done() && pages_[i].period <= done() + 1;
    }
    const std::uint64_t last = period_at(unix_s);
    if (good && !book_.lost()) {
        sent_ = told_ = totals.sent();
        if (rows_kept_.front().period > sent_ + 1) skipped_ += rows_kept_.front().period - sent_ - 1;
        return;
    }
    // Nobody knows which rows were written outside: none before the next whole period is written again.
    if (good && last + 1 > done()) skipped_ += last + 1 - done();
    ++anew_;
    for (Page& page : pages_) page = {last + 1, {}, {}};
    rows_kept_ = {{last + 1, {}, 0}};
    sent_ = told_ = last + 1;
}

void Aggregator::begin(double now, std::uint64_t period) {
    stage_ = Stage::pages;
    for (std::size_t i = 0; i < kPages; ++i) {
        if (pages_[i].period >= period) continue;   // done by the holder before
        add(pages_[i], period);
        book_.write(now, page_name(i), pack(pages_[i]));
    }
}

// What has come of the page's processes up to that period, and is not counted yet.
void Aggregator::add(Page& page, std::uint64_t period) {
    page.period = period;
    const auto number = static_cast<std::size_t>(&page - pages_.data());
    std::erase_if(page.entries, [&](const auto& one) { return one.second + kForget < period; });
    for (const auto& [process, heard] : heard_) {
        if (page_of(process) != number || heard.report.cuts.back().period + kForget / 2 < period) continue;
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
        if (entry == page.entries.end() && page.entries.size() >= kEntriesMost) {
            ++turned_away_;
            continue;
        }
        for (std::size_t i = 0; i < kValues; ++i) page.values[i] += to->values[i] - from->values[i];
        page.entries[process] = to->period;
    }
}

std::string Aggregator::pack(const Page& page) const {
    wire::Page out;
    out.set_period(page.period);
    for (const std::uint64_t value : page.values) out.add_value(value);
    for (const auto& [process, counted] : page.entries) {
        out.add_process(process);
        out.add_behind(static_cast<std::uint32_t>(page.period - counted));
    }
    return out.SerializeAsString();
}

std::string Aggregator::pack_totals() const {
    wire::Totals out;
    out.set_period(done());
    out.set_sent(sent_);
    for (const Row& row : rows_kept_) {
        wire::Row& one = *out.add_row();
        for (const std::uint64_t value : row.values) one.add_value(value);
        one.add_value(row.processes);
    }
    return out.SerializeAsString();
}

void Aggregator::answer(std::uint64_t process, const Heard& heard) {
    const Page& page = pages_[page_of(process)];
    const auto entry = page.entries.find(process);
    if (entry != page.entries.end() && entry->second > heard.report.counted)
        answers_.push_back({heard.from, {process, entry->second, {}}});
}

// The totals stand with a majority: their rows may go out, and whoever is in them is told so.
void Aggregator::finish() {
    for (const Row& row : rows_kept_)
        if (row.period > told_) rows_.push_back(row);
    told_ = std::max(told_, done());
    for (auto at = heard_.begin(); at != heard_.end();) {
        answer(at->first, at->second);
        if (at->second.report.cuts.back().period + kForget < done())
            at = heard_.erase(at);
        else
            ++at;
    }
}

}   // namespace slatejunction::fleet_counters
