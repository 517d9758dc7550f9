#include "telemetry/telemetry.hpp"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace slatejunction::telemetry {

using metrics::Id;

namespace {

// Time for sending the last samples; the platform kills a process that takes longer to stop.
constexpr double kMaxStopS = 1.0;

std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

double resident_bytes() {
    long size = 0, resident = 0;
    if (std::FILE* file = std::fopen("/proc/self/statm", "r")) {
        if (std::fscanf(file, "%ld %ld", &size, &resident) != 2) resident = 0;
        std::fclose(file);
    }
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

metrics::Measures::Shape shape_of(const config::Config& config, const rules::Settings& rules) {
    metrics::Measures::Shape shape{config.settings.classes, config.settings.plans, {}, {}, {}, {}, {}};
    const auto add = [&](const char* kind, const std::string& name, std::vector<std::string>& names) {
        shape.rules.push_back(std::string(kind) + " " + name);
        names.push_back(name);
    };
    std::vector<std::string> tags;
    for (const auto& one : rules.subsets) add("subset", one.name, shape.subsets);
    for (const auto& one : rules.routes) add("route", one.name, shape.routes);
    for (const auto& one : rules.limits) add("limit", one.name, shape.limits);
    for (const auto& one : rules.tags) {
        add("tag", one.name, tags);
        shape.tags.emplace_back(one.name, rules::split_words(one.values));
    }
    return shape;
}

}   // namespace

Telemetry::Telemetry(const operator_config::Options& options, const config::Config& config,
                     std::string version, net::Timers& timers, Log& log)
    : options_(options),
      name_(config.name),
      version_(std::move(version)),
      seed_(config.seed),
      log_(log),
      timers_(timers),
      timer_(timers_, [this] { on_timer(); }) {
    started_ = quota_report_at_ = net::now();
    std::string path;
    if (options_.collects() && !options_.metrics.directory.empty()) {
        directory_.emplace(options_.metrics.directory);
        path = directory_->file("counters");
    }
    shape_ = shape_of(config, options_.rules);
    measures_.emplace(shape_, unix_ms(), path);
    if (!measures_->counters().broken().empty())
        log_.write(Log::Level::error, started_,
                   "state: a damaged file was set aside as %s; counters start at 0",
                   measures_->counters().broken().c_str());
    if (measures_->counters().dropped() > 0)
        log_.write(Log::Level::warning, started_,
                   "state: dropped %zu counters of classes or plans that no longer exist",
                   measures_->counters().dropped());
    measures_->add(Id::starts);
    measures_->set(Id::start_time, static_cast<double>(unix_ms()) / 1e3);
    measures_->set(Id::admitted_fraction, 1);
    measures_->set(Id::memory_limit, config.memory_mb * 1024 * 1024);
    last_sample_ms_ = measures_->last_sample_ms();
    if (!options_.remote_write.url.empty())
        driver_ =
            std::make_unique<remotewrite::Driver>(options_.remote_write, seed_, version_, timers_, log_);
    if (driver_ && !driver_->sender().empty())
        last_sample_ms_ = std::max(last_sample_ms_, driver_->sender().newest_ms());
    build_layout();
}

Telemetry::~Telemetry() = default;

void Telemetry::build_layout() {
    auto labels = options_.remote_write.labels;
    const auto add_default = [&](const char* name, const std::string& value) {
        if (std::none_of(labels.begin(), labels.end(), [&](const auto& one) { return one.first == name; }))
            labels.emplace_back(name, value);
    };
    add_default("job", "slatejunction");
    add_default("instance", name_);
    auto layout = std::make_shared<remotewrite::Layout>();
    layout->created_ms = measures_->counters().created_ms();
    for (const metrics::Series& one : measures_->series()) {
        const metrics::Family& family = metrics::family(one.family);
        using Type = remotewrite::Layout::Type;
        const Type type = family.type == metrics::Type::counter ? Type::counter
                          : family.type == metrics::Type::gauge ? Type::gauge
                                                                : Type::histogram;
        layout->add(one.name, one.labels, labels, type, std::string(family.name), std::string(family.help),
                    std::string(family.unit));
    }
    layout_ = std::move(layout);
}

void Telemetry::start(std::function<ingress::Gauges()> gauges) {
    gauges_ = std::move(gauges);
    next_sample_at_ = net::now();
    on_timer();
}

void Telemetry::on_timer() {
    const double now = net::now();
    if (driver_ && now >= next_sample_at_) {
        sample();
        // Missed intervals are skipped, as counters are cumulative.
        next_sample_at_ = std::max(next_sample_at_ + options_.remote_write.interval_s, now);
    }
    if (driver_) timer_.arm(next_sample_at_);
}

void Telemetry::sample() {
    const double now = net::now();
    const ingress::Gauges g = gauges_();
    auto& m = *measures_;
    const auto set = [&](Id id, auto value, std::size_t label = 0) {
        m.set(id, static_cast<double>(value), label);
    };
    set(Id::open_requests, g.open_requests);
    set(Id::quota_report_age, now - quota_report_at_);
    set(Id::backends, g.serving_backends, 0);
    set(Id::backends, g.draining_backends, 1);
    set(Id::directory_age, now - (g.last_discovery_answer_at > 0 ? g.last_discovery_answer_at : started_));
    set(Id::connections, g.client_connections, 0);
    set(Id::connections, g.backend_connections, 1);
    set(Id::bytes_held, g.client_bytes, 0);
    set(Id::bytes_held, g.backend_bytes, 1);
    set(Id::bytes_budget, g.client_bytes_limit, 0);
    set(Id::bytes_budget, g.backend_bytes_limit, 1);
    set(Id::descriptors, g.descriptors);
    set(Id::descriptors_limit, g.descriptors_limit);
    set(Id::resident, resident_bytes());
    update_delivery_metrics();
    for (const auto& collector : collectors_) collector(m);
    std::vector<double> values;
    m.sample(values);
    add_frame(std::move(values), false);
}

// Adds the increases of the counts that the log and the sender keep, and sets the gauges of the backlog.
void Telemetry::update_delivery_metrics() {
    auto& m = *measures_;
    const auto add_increase = [&](Id id, std::size_t label, std::uint64_t& seen, std::uint64_t now) {
        if (now != seen) m.add(id, label, static_cast<double>(now - std::exchange(seen, now)));
    };
    add_increase(Id::log_left_out, 0, suppressed_, log_.suppressed());
    add_increase(Id::log_left_out, 1, lost_, log_.lost());
    if (!driver_) return;
    const remotewrite::Sender& sender = driver_->sender();
    const remotewrite::Tally& t = sender.tally();
    add_increase(Id::rw_sent, 0, tally_.sent, t.sent);
    add_increase(Id::rw_retried, 0, tally_.retried, t.retried);
    add_increase(Id::rw_dropped, 0, tally_.thinned, t.thinned);
    add_increase(Id::rw_dropped, 1, tally_.backlog_full, t.backlog_full);
    add_increase(Id::rw_dropped, 2, tally_.rejected, t.rejected);
    add_increase(Id::rw_dropped, 3, tally_.stopped, t.stopped);
    add_increase(Id::rw_batches, 0, tally_.accepted_batches, t.accepted_batches);
    add_increase(Id::rw_batches, 1, tally_.deferred_batches, t.deferred_batches);
    add_increase(Id::rw_batches, 2, tally_.rejected_batches, t.rejected_batches);
    add_increase(Id::rw_batches, 3, tally_.failed_batches, t.failed_batches);
    add_increase(Id::rw_batches, 4, tally_.timed_out_batches, t.timed_out_batches);
    add_increase(Id::rw_batches, 5, tally_.protocol_fallbacks, t.protocol_fallbacks);
    m.set(Id::rw_backlog_bytes, static_cast<double>(sender.bytes()));
    m.set(Id::rw_backlog_limit, static_cast<double>(sender.limit()));
    m.set(Id::rw_backlog_age,
          sender.empty() ? 0 : std::max(0.0, static_cast<double>(unix_ms() - sender.oldest_ms()) / 1e3));
    m.set(Id::rw_last_success, driver_->last_success_unix_s());
}

// The times of a series strictly increase, even if the clock steps back or two samples are taken within one
// millisecond; with a state directory this also holds across a restart.
void Telemetry::add_frame(std::vector<double> values, bool keep) {
    remotewrite::Frame frame;
    frame.at_ms = last_sample_ms_ = std::max(unix_ms(), last_sample_ms_ + 1);
    frame.layout = layout_;
    frame.values = std::move(values);
    frame.keep = keep;
    measures_->set_last_sample_ms(last_sample_ms_);
    driver_->add(std::move(frame));
}

void Telemetry::reload(const operator_config::Options& options) {
    std::string after_restart;
    const auto add_pending = [&](bool changed, const char* field) {
        if (changed) after_restart += std::string(after_restart.empty() ? "" : ", ") + field;
    };
    add_pending(options.metrics.directory != options_.metrics.directory, "state.directory");
    add_pending(options.collects() != options_.collects(), "metrics.collect");
    add_pending(options.remote_write.backlog_directory != options_.remote_write.backlog_directory,
                "remote_write.backlog_directory");
    add_pending(options.remote_write.url.empty() != options_.remote_write.url.empty(), "remote_write.url");
    log_.configure(options.log);
    const bool labels_changed = options.remote_write.labels != options_.remote_write.labels;
    auto remote_write = options.remote_write;
    if (remote_write.url.empty()) remote_write.url = options_.remote_write.url;
    const bool sending = driver_ != nullptr;
    if (sending && labels_changed && gauges_)   // marks the series of the old labels as ended
        add_frame(std::vector<double>(layout_->series.size(), remotewrite::stale_marker()), true);
    if (sending) {
        options_.remote_write = remote_write;
        build_layout();
        driver_->configure(remote_write);
        next_sample_at_ = std::min(next_sample_at_, net::now() + remote_write.interval_s);
        on_timer();
    }
    options_.log = options.log;
    options_.rules = options.rules;
    log_.write(Log::Level::info, net::now(), "reloaded: the operator's file%s%s",
               after_restart.empty() ? "" : "; after the next start: ", after_restart.c_str());
}

void Telemetry::stop(double max_wait_s, std::function<void()> done) {
    timer_.disarm();
    if (!driver_ || !gauges_) return done();
    sample();
    // Without a state directory the counters do not survive the process, so their series end here.
    if (!directory_)
        add_frame(std::vector<double>(layout_->series.size(), remotewrite::stale_marker()), true);
    driver_->finish(std::min(kMaxStopS, max_wait_s), std::move(done));
}

void Telemetry::on_request_end(const ingress::RequestSummary& summary) {
    const client::ClientRequest& request = summary.request;
    metrics::FinishedRequest finished;
    finished.service_class = measures_->find_class(request.service_class);
    finished.plan = measures_->find_plan(request.plan);
    finished.result = static_cast<metrics::RequestResult>(summary.result);
    finished.reason = summary.reject_reason_index;
    finished.seconds = summary.seconds;
    finished.units = request.units;
    const double earned_weight = measures_->count_request(finished);
    for (const auto& [index, value] : summary.tags) count_tag(index, value);
    if (!log_.wants_record(summary.result == ingress::RequestSummary::Result::served)) return;
    RequestRecord record;
    record.id = request.request_id;
    record.service_class = request.service_class;
    record.plan = request.plan;
    record.result = metrics::kRequestResults[static_cast<std::size_t>(summary.result)];
    record.reason = summary.reason;
    record.backend = summary.backend;
    record.customer = request.customer;
    record.attempts = summary.attempts;
    record.seconds = summary.seconds;
    record.earned_weight = earned_weight;
    std::vector<std::pair<std::string_view, std::string_view>> tags;
    for (const auto& [index, value] : summary.tags)
        if (index < options_.rules.tags.size()) tags.emplace_back(options_.rules.tags[index].name, value);
    record.tags = tags;
    log_.record(record);
}

void Telemetry::count_tag(std::size_t index, std::string_view value) {
    if (index >= options_.rules.tags.size()) return;
    std::size_t label = 0;
    for (const auto& [name, values] : shape_.tags) {
        if (name != options_.rules.tags[index].name) {
            label += values.size() + 1;
            continue;
        }
        const auto at = std::find(values.begin(), values.end(), value) - values.begin();
        return measures_->add(Id::tagged, label + static_cast<std::size_t>(at));
    }
}

void Telemetry::on_attempt_end(slatejunction::AttemptResult result) {
    measures_->add(Id::attempts, static_cast<std::size_t>(result));
}
void Telemetry::on_response_event(const backend::ResponseEvent& event) {
    using Kind = backend::ResponseEvent::Kind;
    if (event.kind == Kind::stalled) measures_->add(Id::responses_stalled);
    if (event.kind == Kind::forwarded) measures_->add(Id::responses_forwarded, event.at_deadline ? 1 : 0);
    if (event.kind < Kind::cut_stalled) return;
    const auto reason = static_cast<std::size_t>(event.kind) - static_cast<std::size_t>(Kind::cut_stalled);
    measures_->add(Id::responses_cut, reason);
}
void Telemetry::on_quota_report() { quota_report_at_ = net::now(); }
void Telemetry::on_admitted_fraction(double fraction) { measures_->set(Id::admitted_fraction, fraction); }
void Telemetry::on_bad_request() { measures_->add(Id::bad_requests); }

}   // namespace slatejunction::telemetry
