#include "fleet_counters/driver.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "lease/boot_clock.hpp"
#include "net/stream.hpp"

namespace slatejunction::fleet_counters {
namespace {

constexpr std::size_t kAnswersAtOnce = 8;
constexpr double kAnswersEvery = 0.2;   // s
constexpr double kLookMost = 1;         // s; a wall clock that is set is seen within that
constexpr double kAgain = 0.05;         // s; until the lease permits rows that wait
constexpr int kLastWords = 2;           // copies of what a process that ends has still to tell

double unix_s() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

struct Told {
    const char *name, *outcome, *help, *unit;
};
constexpr std::array<Told, kValues> kTold{{
    {"slatejunction_fleet_requests_total", "served", "Finished requests of all ingresses.", "requests"},
    {"slatejunction_fleet_requests_total", "refused", "Finished requests of all ingresses.", "requests"},
    {"slatejunction_fleet_requests_total", "failed", "Finished requests of all ingresses.", "requests"},
    {"slatejunction_fleet_worth_offered_total", "", "Worth offered to all ingresses.", "worth"},
    {"slatejunction_fleet_worth_served_total", "", "Worth earned by all ingresses.", "worth"},
}};

// Of whom they are is the fleet: no instance of their own, so that a change of holder changes no series.
std::shared_ptr<remotewrite::Layout> lay_out(const remotewrite::Settings& receiver) {
    auto labels = receiver.labels;
    std::erase_if(labels, [](const auto& one) { return one.first == "instance"; });
    if (std::none_of(labels.begin(), labels.end(), [](const auto& one) { return one.first == "job"; }))
        labels.emplace_back("job", "slatejunction");
    labels.emplace_back("instance", "fleet");
    auto layout = std::make_shared<remotewrite::Layout>();
    using Type = remotewrite::Layout::Type;
    for (const Told& one : kTold)
        layout->add(one.name, {{"outcome", one.outcome}}, labels, Type::counter, one.name, one.help,
                    one.unit);
    layout->add("slatejunction_fleet_ingresses", {}, labels, Type::gauge, "slatejunction_fleet_ingresses",
                "Ingresses that are in the period's sums.", "ingresses");
    return layout;
}

remotewrite::Settings in_memory(remotewrite::Settings receiver) {
    receiver.backlog_directory.clear();   // what waits is in the voters' notes
    return receiver;
}

}   // namespace

Driver::Driver(const Options& options, const remotewrite::Settings& receiver, std::string name,
               std::uint64_t process, const lease::LeaseTimes& times, const lease::AcceptorSet& voters,
               std::uint64_t seed, std::string version, Callbacks ways, net::Timers& timers, Log& log)
    : options_(options),
      receiver_(in_memory(receiver)),
      name_(std::move(name)),
      version_(std::move(version)),
      process_(process),
      seed_(seed),
      callbacks_(std::move(ways)),
      timers_(timers),
      log_(log),
      random_(static_cast<std::minstd_rand::result_type>(process)),
      reporter_(process),
      aggregator_(options.settings(), times, voters, seed),
      layout_(lay_out(receiver)),
      period_timer_(timers, [this] { record_ended_period(); }),
      report_timer_(timers, [this] { send_report(); }),
      aggregator_timer_(timers, [this] { on_aggregator_timer(); }),
      acknowledgement_timer_(timers, [this] { flush(); }) {}

void Driver::start() {
    first_period_ = last_period_ = static_cast<std::uint64_t>(std::floor(unix_s() / options_.every_s));
    record_ended_period();
}

// Wall clocks are set now and then, so the timer looks often and the period decides.
void Driver::record_ended_period() {
    const double unix = unix_s();
    const auto period = static_cast<std::uint64_t>(std::floor(unix / options_.every_s));
    if (period > last_period_) {
        last_period_ = period;
        reporter_.record_period(period, callbacks_.values());
        // Not all in one moment.
        report_timer_.arm(net::now() +
                          options_.grace_s / 4 * std::uniform_real_distribution<double>(0, 1)(random_));
    }
    const double left = (static_cast<double>(last_period_) + 1) * options_.every_s - unix;
    period_timer_.arm(net::now() + std::clamp(left, 0.001, std::min(kLookMost, options_.every_s)));
}

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
    // Until it is answered; after the grace it waits for the next period's end first.
    report_timer_.arm(net::now() +
                      options_.grace_s / 3 * std::uniform_real_distribution<double>(0.7, 1.3)(random_));
}

void Driver::stop() {
    if (std::exchange(stopped_, true)) return;
    const std::string holder = callbacks_.holder();
    reporter_.record_period(last_period_ + 1, callbacks_.values());
    if (const auto report = reporter_.report(); report && !holder.empty() && holder != name_)
        for (int i = 0; i < kLastWords; ++i) callbacks_.send_report(holder, encode(*report));
    on_lease_held(0);
    for (net::Timer* timer : {&period_timer_, &report_timer_, &aggregator_timer_, &acknowledgement_timer_})
        timer->disarm();
}

void Driver::on_lease_held(std::uint64_t number) {
    // What waits goes out by whoever holds it next: the rows are in the notes.
    writer_.reset();
    last_delivered_period_ = 0;
    pending_rows_.clear();
    pending_acknowledgements_.clear();
    if (number == 0) {
        aggregator_.end_term();
        aggregator_timer_.disarm();
        return;
    }
    writer_ = std::make_unique<remotewrite::Driver>(receiver_, seed_, version_, timers_, log_);
    aggregator_.begin_term(lease::boot_clock_s(), unix_s(), number);
    flush();
}

void Driver::set_acceptors(const lease::AcceptorSet& voters) {
    aggregator_.set_acceptors(lease::boot_clock_s(), voters);
    flush();
}

void Driver::on_report_message(const std::string& from, std::string_view body) {
    Report report;
    if (!decode(body, report)) return;
    if (report.cuts.empty())
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

void Driver::flush() {
    if (stopped_ || std::exchange(flushing_, true)) return;
    if (writer_ && writer_->sender().empty()) aggregator_.on_rows_delivered(last_delivered_period_);
    for (bool more = true; more;) {
        more = false;
        for (const auto& post : aggregator_.take_register_messages()) {
            more = true;
            callbacks_.send_register_message(post.to, lease::encode(post.message));
        }
        for (const Row& row : aggregator_.take_rows()) pending_rows_.push_back(row);
        for (auto& answer : aggregator_.take_acknowledgements())
            if (answer.to == name_)
                reporter_.acknowledge(answer.report.process, answer.report.acknowledged_period);
            else
                pending_acknowledgements_.push_back(std::move(answer));
    }
    deliver_rows();
    for (std::size_t i = 0; i < kAnswersAtOnce && !pending_acknowledgements_.empty(); ++i) {
        callbacks_.send_report(pending_acknowledgements_.front().to,
                               encode(pending_acknowledgements_.front().report));
        pending_acknowledgements_.pop_front();
    }
    if (!pending_acknowledgements_.empty()) acknowledgement_timer_.arm(net::now() + kAnswersEvery);
    if (aggregator_.resets() != std::exchange(logged_resets_, aggregator_.resets()) &&
        aggregator_.skipped_periods() > 0)
        log_.write(
            Log::Level::warning, net::now(),
            "fleet_sums: a majority of the voters has forgotten them; they begin at 0, and some periods "
            "have no row");
    const double now = lease::boot_clock_s(), next = aggregator_.next_deadline(now, unix_s());
    if (next < 1e17 || !pending_rows_.empty())
        aggregator_timer_.arm(net::now() +
                              std::clamp(next - now, 0.001, pending_rows_.empty() ? kLookMost : kAgain));
    else
        aggregator_timer_.disarm();
    flushing_ = false;
}

// Whoever is stopped between the permit and the bytes writes what the next holder writes, too.
void Driver::deliver_rows() {
    while (writer_ && !pending_rows_.empty() && callbacks_.permit()) {
        const Row row = pending_rows_.front();
        pending_rows_.pop_front();
        remotewrite::Frame frame;
        const double end = static_cast<double>(row.period) * options_.every_s;
        frame.at_ms = std::llround(end * 1e3);
        frame.layout = layout_;
        frame.keep = true;
        for (std::size_t i = 0; i < kValues; ++i)
            frame.values.push_back(static_cast<double>(row.values[i]) /
                                   (i >= weight_offered ? kWeightScale : 1));
        frame.values.push_back(static_cast<double>(row.processes));
        writer_->add(std::move(frame));
        last_delivered_period_ = row.period;
        ++delivered_rows_;
        const std::pair<std::string_view, std::string> fields[] = {
            {"period", std::to_string(row.period)},
            {"served", std::to_string(row.values[served])},
            {"ingresses", std::to_string(row.processes)}};
        log_.event("row", fields);
    }
}

}   // namespace slatejunction::fleet_counters
