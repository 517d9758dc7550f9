#include "fleet_counters/driver.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "lease/boot_clock.hpp"
#include "net/stream.hpp"

namespace slatejunction::fleet_counters {
namespace {

// Acknowledgements are sent in batches, so that they do not go to all ingresses in one burst.
constexpr std::size_t kAcknowledgementBatch = 8;
constexpr double kAcknowledgementIntervalS = 0.2;
// Longest time between two readings of the wall clock, within which a change of that clock is noticed.
constexpr double kMaxClockCheckIntervalS = 1;
constexpr double kPermitRetryIntervalS = 0.05;   // while the lease does not permit writing pending rows
constexpr double kMinTimerDelayS = 0.001;
constexpr double kNoDeadline = 1e17;    // s; deadlines from this value on need no timer
constexpr int kFinalReportCopies = 2;   // sent without waiting for an acknowledgement

double unix_s() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

struct SeriesName {
    const char *name, *outcome, *help, *unit;
};
constexpr std::array<SeriesName, kCounterCount> kSeries{{
    {"slatejunction_fleet_requests_total", "served", "Finished requests of all ingresses.", "requests"},
    {"slatejunction_fleet_requests_total", "refused", "Finished requests of all ingresses.", "requests"},
    {"slatejunction_fleet_requests_total", "failed", "Finished requests of all ingresses.", "requests"},
    {"slatejunction_fleet_worth_offered_total", "", "Worth offered to all ingresses.", "worth"},
    {"slatejunction_fleet_worth_served_total", "", "Worth earned by all ingresses.", "worth"},
}};

// The series carry the label instance="fleet" instead of an ingress's own, so that they stay the same when
// the holder changes.
std::shared_ptr<remotewrite::Layout> make_layout(const remotewrite::Settings& receiver) {
    auto labels = receiver.labels;
    std::erase_if(labels, [](const auto& label) { return label.first == "instance"; });
    const bool has_job =
        std::any_of(labels.begin(), labels.end(), [](const auto& label) { return label.first == "job"; });
    if (!has_job) labels.emplace_back("job", "slatejunction");
    labels.emplace_back("instance", "fleet");
    auto layout = std::make_shared<remotewrite::Layout>();
    using Type = remotewrite::Layout::Type;
    for (const SeriesName& series : kSeries)
        layout->add(series.name, {{"outcome", series.outcome}}, labels, Type::counter, series.name,
                    series.help, series.unit);
    layout->add("slatejunction_fleet_ingresses", {}, labels, Type::gauge, "slatejunction_fleet_ingresses",
                "Ingresses that are in the period's sums.", "ingresses");
    return layout;
}

// The acceptors store the rows that are not written yet, so the writer needs no backlog on disk.
remotewrite::Settings without_disk_backlog(remotewrite::Settings receiver) {
    receiver.backlog_directory.clear();
    return receiver;
}

}   // namespace

Driver::Driver(const Options& options, const remotewrite::Settings& receiver, std::string name,
               std::uint64_t process, const lease::LeaseTimes& times, const lease::AcceptorSet& acceptors,
               std::uint64_t seed, std::string version, Callbacks callbacks, net::Timers& timers, Log& log)
    : options_(options),
      receiver_(without_disk_backlog(receiver)),
      name_(std::move(name)),
      version_(std::move(version)),
      process_(process),
      seed_(seed),
      callbacks_(std::move(callbacks)),
      timers_(timers),
      log_(log),
      random_(static_cast<std::minstd_rand::result_type>(process)),
      reporter_(process),
      aggregator_(options.settings(), times, acceptors, seed),
      layout_(make_layout(receiver)),
      period_timer_(timers, [this] { record_ended_period(); }),
      report_timer_(timers, [this] { send_report(); }),
      aggregator_timer_(timers, [this] { on_aggregator_timer(); }),
      acknowledgement_timer_(timers, [this] { flush(); }) {}

void Driver::start() {
    last_period_ = static_cast<std::uint64_t>(std::floor(unix_s() / options_.period_s));
    first_period_ = last_period_;
    record_ended_period();
}

// The wall clock may be changed at any time, so the timer checks it often instead of waiting for the end of
// the period.
void Driver::record_ended_period() {
    const double unix_now = unix_s();
    const auto period = static_cast<std::uint64_t>(std::floor(unix_now / options_.period_s));
    if (period > last_period_) {
        last_period_ = period;
        reporter_.record_period(period, callbacks_.counter_values());
        // A random delay, as the period ends for all ingresses at the same time.
        report_timer_.arm(net::now() + options_.grace_s / 4 * draw(0, 1));
    }
    const double remaining_s = (static_cast<double>(last_period_) + 1) * options_.period_s - unix_now;
    const double max_delay_s = std::min(kMaxClockCheckIntervalS, options_.period_s);
    period_timer_.arm(net::now() + std::clamp(remaining_s, kMinTimerDelayS, max_delay_s));
}

// Sends the report, and arms the timer to repeat it until it is acknowledged.
void Driver::send_report() {
    const auto report = reporter_.report();
    if (!report) return;
    const std::string holder = callbacks_.holder();
    if (holder == name_) {
        aggregator_.on_report(lease::boot_clock_s(), unix_s(), name_, *report);
        flush();
    } else if (!holder.empty()) {
        callbacks_.send_report(holder, encode(*report));
    }
    report_timer_.arm(net::now() + options_.grace_s / 3 * draw(0.7, 1.3));
}

void Driver::stop() {
    if (std::exchange(stopped_, true)) return;
    const std::string holder = callbacks_.holder();
    reporter_.record_period(last_period_ + 1, callbacks_.counter_values());
    const auto report = reporter_.report();
    if (report && !holder.empty() && holder != name_)
        for (int i = 0; i < kFinalReportCopies; ++i) callbacks_.send_report(holder, encode(*report));
    on_lease_held(0);
    for (net::Timer* timer : {&period_timer_, &report_timer_, &aggregator_timer_, &acknowledgement_timer_})
        timer->disarm();
}

// Discards pending rows; the acceptors have stored them, and the next holder writes them.
void Driver::on_lease_held(std::uint64_t fencing_token) {
    writer_.reset();
    last_delivered_period_ = 0;
    pending_rows_.clear();
    pending_acknowledgements_.clear();
    if (fencing_token == 0) {
        aggregator_.end_term();
        aggregator_timer_.disarm();
        return;
    }
    writer_ = std::make_unique<remotewrite::Driver>(receiver_, seed_, version_, timers_, log_);
    aggregator_.begin_term(lease::boot_clock_s(), unix_s(), fencing_token);
    flush();
}

void Driver::set_acceptors(const lease::AcceptorSet& acceptors) {
    aggregator_.set_acceptors(lease::boot_clock_s(), acceptors);
    flush();
}

void Driver::on_report_message(const std::string& from, std::string_view body) {
    Report report;
    if (!decode(body, report)) return;
    if (report.period_counters.empty())
        reporter_.acknowledge(report.process, report.acknowledged_period);
    else if (aggregator_.on_report(lease::boot_clock_s(), unix_s(), from, report))
        flush();
}

void Driver::on_register_message(const std::string& from, const lease::RegisterMessage& message) {
    aggregator_.on_register_message(lease::boot_clock_s(), unix_s(), from, message);
    flush();
}

void Driver::on_aggregator_timer() {
    aggregator_.on_timer(lease::boot_clock_s(), unix_s());
    flush();
}

// Passes on all output of the aggregator. A nested call from a callback returns at once, and the outer call
// continues.
void Driver::flush() {
    if (stopped_ || std::exchange(flushing_, true)) return;
    if (writer_ && writer_->sender().empty()) aggregator_.on_rows_delivered(last_delivered_period_);
    take_aggregator_output();
    deliver_rows();
    send_acknowledgements();
    log_reset();
    arm_aggregator_timer();
    flushing_ = false;
}

void Driver::take_aggregator_output() {
    bool messages_sent = true;
    while (messages_sent) {
        messages_sent = false;
        for (const auto& outgoing : aggregator_.take_register_messages()) {
            callbacks_.send_register_message(outgoing.to, lease::encode(outgoing.message));
            messages_sent = true;
        }
        for (const Row& row : aggregator_.take_rows()) pending_rows_.push_back(row);
        for (auto& acknowledgement : aggregator_.take_acknowledgements()) {
            const Report& report = acknowledgement.report;
            if (acknowledgement.to == name_)
                reporter_.acknowledge(report.process, report.acknowledged_period);
            else
                pending_acknowledgements_.push_back(std::move(acknowledgement));
        }
    }
}

// If the process is paused between the check of the lease and the write, the next holder may write the same
// row with the same values, so a late write does no harm.
void Driver::deliver_rows() {
    while (writer_ && !pending_rows_.empty() && callbacks_.may_write_rows()) {
        const Row row = pending_rows_.front();
        pending_rows_.pop_front();
        deliver_row(row);
    }
}

void Driver::deliver_row(const Row& row) {
    remotewrite::Frame frame;
    const double period_end_s = static_cast<double>(row.period) * options_.period_s;
    frame.at_ms = std::llround(period_end_s * 1e3);
    frame.layout = layout_;
    frame.keep = true;
    for (std::size_t i = 0; i < kCounterCount; ++i) {
        const double scale = i >= weight_offered ? kWeightScale : 1;
        frame.values.push_back(static_cast<double>(row.values[i]) / scale);
    }
    frame.values.push_back(static_cast<double>(row.process_count));
    writer_->add(std::move(frame));
    last_delivered_period_ = row.period;
    ++delivered_rows_;
    const std::pair<std::string_view, std::string> fields[] = {
        {"period", std::to_string(row.period)},
        {"served", std::to_string(row.values[served])},
        {"ingresses", std::to_string(row.process_count)}};
    log_.event("row", fields);
}

void Driver::send_acknowledgements() {
    for (std::size_t i = 0; i < kAcknowledgementBatch && !pending_acknowledgements_.empty(); ++i) {
        const Aggregator::Acknowledgement& acknowledgement = pending_acknowledgements_.front();
        callbacks_.send_report(acknowledgement.to, encode(acknowledgement.report));
        pending_acknowledgements_.pop_front();
    }
    if (!pending_acknowledgements_.empty())
        acknowledgement_timer_.arm(net::now() + kAcknowledgementIntervalS);
}

void Driver::log_reset() {
    const std::uint64_t logged = std::exchange(logged_resets_, aggregator_.resets());
    if (aggregator_.resets() == logged || aggregator_.skipped_periods() == 0) return;
    log_.write(
        Log::Level::warning, net::now(),
        "fleet_sums: a majority of the voters has lost the stored counters; they restart at 0, and some "
        "periods are not written");
}

void Driver::arm_aggregator_timer() {
    const double now = lease::boot_clock_s();
    const double next = aggregator_.next_deadline(now, unix_s());
    if (next >= kNoDeadline && pending_rows_.empty()) return aggregator_timer_.disarm();
    const double max_delay_s = pending_rows_.empty() ? kMaxClockCheckIntervalS : kPermitRetryIntervalS;
    aggregator_timer_.arm(net::now() + std::clamp(next - now, kMinTimerDelayS, max_delay_s));
}

}   // namespace slatejunction::fleet_counters
