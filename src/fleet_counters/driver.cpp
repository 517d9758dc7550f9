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
      ways_(std::move(ways)),
      timers_(timers),
      log_(log),
      random_(static_cast<std::minstd_rand::result_type>(process)),
      teller_(process),
      collector_(options.settings(), times, voters, seed),
      layout_(lay_out(receiver)),
      cut_timer_(timers, [this] { cut(); }),
      tell_timer_(timers, [this] { tell(); }),
      due_timer_(timers, [this] { due(); }),
      answer_timer_(timers, [this] { pump(); }) {}

void Driver::start() {
    first_period_ = last_period_ = static_cast<std::uint64_t>(std::floor(unix_s() / options_.every_s));
    cut();
}

// Wall clocks are set now and then, so the timer looks often and the period decides.
void Driver::cut() {
    const double unix = unix_s();
    const auto period = static_cast<std::uint64_t>(std::floor(unix / options_.every_s));
    if (period > last_period_) {
        last_period_ = period;
        teller_.record_period(period, ways_.values());
        // Not all in one moment.
        tell_timer_.arm(net::now() +
                        options_.grace_s / 4 * std::uniform_real_distribution<double>(0, 1)(random_));
    }
    const double left = (static_cast<double>(last_period_) + 1) * options_.every_s - unix;
    cut_timer_.arm(net::now() + std::clamp(left, 0.001, std::min(kLookMost, options_.every_s)));
}

void Driver::tell() {
    const auto report = teller_.report();
    if (!report) return;
    const std::string holder = ways_.holder();
    if (holder == name_) {
        collector_.on_report(lease::boot_s(), unix_s(), name_, *report);
        pump();
    } else if (!holder.empty()) {
        ways_.send_report(holder, write(*report));
    }
    // Until it is answered; after the grace it waits for the next period's end first.
    tell_timer_.arm(net::now() +
                    options_.grace_s / 3 * std::uniform_real_distribution<double>(0.7, 1.3)(random_));
}

void Driver::stop() {
    if (std::exchange(stopped_, true)) return;
    const std::string holder = ways_.holder();
    teller_.record_period(last_period_ + 1, ways_.values());
    if (const auto report = teller_.report(); report && !holder.empty() && holder != name_)
        for (int i = 0; i < kLastWords; ++i) ways_.send_report(holder, write(*report));
    on_lease_held(0);
    for (net::Timer* timer : {&cut_timer_, &tell_timer_, &due_timer_, &answer_timer_}) timer->disarm();
}

void Driver::on_lease_held(std::uint64_t number) {
    // What waits goes out by whoever holds it next: the rows are in the notes.
    writer_.reset();
    handed_ = 0;
    rows_waiting_.clear();
    answers_.clear();
    if (number == 0) {
        collector_.lose();
        due_timer_.disarm();
        return;
    }
    writer_ = std::make_unique<remotewrite::Driver>(receiver_, seed_, version_, timers_, log_);
    collector_.hold(lease::boot_s(), unix_s(), number);
    pump();
}

void Driver::set_acceptors(const lease::AcceptorSet& voters) {
    collector_.set_voters(lease::boot_s(), voters);
    pump();
}

void Driver::on_report_message(const std::string& from, std::string_view body) {
    Report report;
    if (!read(body, report)) return;
    if (report.cuts.empty())
        teller_.acknowledge(report.process, report.counted);
    else if (collector_.on_report(lease::boot_s(), unix_s(), from, report))
        pump();
}

void Driver::on_register_message(const std::string& from, const lease::RegisterMessage& message) {
    collector_.on_note(lease::boot_s(), unix_s(), from, message);
    pump();
}

void Driver::due() {
    collector_.wake(lease::boot_s(), unix_s());
    pump();
}

void Driver::pump() {
    if (stopped_ || std::exchange(pumping_, true)) return;
    if (writer_ && writer_->sender().empty()) collector_.on_sent(handed_);
    for (bool more = true; more;) {
        more = false;
        for (const auto& post : collector_.take_posts()) {
            more = true;
            ways_.send_register_message(post.to, lease::write(post.message));
        }
        for (const Row& row : collector_.take_rows()) rows_waiting_.push_back(row);
        for (auto& answer : collector_.take_answers())
            if (answer.to == name_)
                teller_.acknowledge(answer.report.process, answer.report.counted);
            else
                answers_.push_back(std::move(answer));
    }
    hand_over();
    for (std::size_t i = 0; i < kAnswersAtOnce && !answers_.empty(); ++i) {
        ways_.send_report(answers_.front().to, write(answers_.front().report));
        answers_.pop_front();
    }
    if (!answers_.empty()) answer_timer_.arm(net::now() + kAnswersEvery);
    if (collector_.anew() != std::exchange(told_anew_, collector_.anew()) && collector_.skipped() > 0)
        log_.write(
            Log::Level::warning, net::now(),
            "fleet_sums: a majority of the voters has forgotten them; they begin at 0, and some periods "
            "have no row");
    const double now = lease::boot_s(), next = collector_.due(now, unix_s());
    if (next < 1e17 || !rows_waiting_.empty())
        due_timer_.arm(net::now() +
                       std::clamp(next - now, 0.001, rows_waiting_.empty() ? kLookMost : kAgain));
    else
        due_timer_.disarm();
    pumping_ = false;
}

// Whoever is stopped between the permit and the bytes writes what the next holder writes, too.
void Driver::hand_over() {
    while (writer_ && !rows_waiting_.empty() && ways_.permit()) {
        const Row row = rows_waiting_.front();
        rows_waiting_.pop_front();
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
        handed_ = row.period;
        ++rows_;
        const std::pair<std::string_view, std::string> fields[] = {
            {"period", std::to_string(row.period)},
            {"served", std::to_string(row.values[served])},
            {"ingresses", std::to_string(row.processes)}};
        log_.event("row", fields);
    }
}

}   // namespace slatejunction::fleet_counters
