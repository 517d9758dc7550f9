#include "app/program.hpp"

#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <memory>
#include <optional>
#include <stdexcept>
#include <vector>

#include "app/fleet_component.hpp"
#include "app/fleet_rate_limit_component.hpp"
#include "app/process.hpp"
#include "app/quota_component.hpp"
#include "app/random_seed.hpp"
#include "app/rollout_component.hpp"
#include "app/rules_component.hpp"
#include "config/config.hpp"
#include "ingress/ingress.hpp"
#include "ini/ini.hpp"
#include "log/log.hpp"
#include "operator_config/options.hpp"
#include "operator_config/overlay.hpp"
#include "quota/settings.hpp"
#include "telemetry/telemetry.hpp"

namespace slatejunction::app {
namespace {

constexpr char kRolledOut[] = "rolled out";   // in place of a file's name, in faults
constexpr std::size_t kWarningsMost = 8;      // of the configuration, in the log
constexpr double kLastLines = 0.5;            // s; at the end, for a log reader that is slow
// s; of the time that is left for the end, what is kept for the log's last lines
constexpr double kLastLinesLeast = 0.03;

// Prints every fault of the operator's file; false when there is one.
bool load_options(const std::string& path, operator_config::Options& options) {
    if (path.empty()) return true;
    const auto faults = operator_config::load(path, options);
    for (const std::string& fault : faults) std::fprintf(stderr, "error: %s\n", fault.c_str());
    return faults.empty();
}

// Every ingress of the fleet by name, this one too; sorted.
std::vector<std::string> ingresses_of(const operator_config::Options& options, const std::string& name) {
    std::vector<std::string> all{name};
    for (const auto& [other, address] :
         membership::settings_of(options.membership, name, "", "").static_members)
        all.push_back(other);
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

double largest_units(const config::Config& config) {
    return config.settings.max_request_units > 0 ? config.settings.max_request_units : 1;
}

// What needs both files: checked once, for the start and for check-config. Throws for a fault.
struct Promised {
    quota::Settings quotas;
    std::vector<std::string> lines;   // what is promised, for check-config

    Promised(const Files& files, const operator_config::Options& options, const config::Config& config) {
        std::string fault;
        if (options.membership.on()) {
            std::vector<membership::AuthKey> keys;
            const std::string why = membership::load_keys(options.membership, keys);
            if (!why.empty()) throw std::runtime_error(files.options + ": [peers] " + why);
            for (auto& line : membership::stated(options.membership)) lines.push_back(line);
        }
        if (options.has_fleet_rate_limits())
            for (auto& line :
                 stated(options, ingresses_of(options, config.name).size(), largest_units(config)))
                lines.push_back(line);
        if (options.lease.on())
            for (auto& line : lease::stated(options.lease)) lines.push_back(line);
        if (std::string why = fault_of_rollout(options, config.name); !why.empty())
            throw std::runtime_error(files.options + ": [rollout] " + why);
        for (auto& line : stated_of_rollout(options)) lines.push_back(line);
        if (options.fleet_counters.on())
            lines.push_back(fleet_counters::stated(options.fleet_counters, options.lease.times));
        if (!options.quota.on()) return;
        quotas = quota::make_settings(options.quota, config.settings, fault);
        if (!fault.empty()) throw std::runtime_error(files.options + ": [quota] " + fault);
        for (auto& line : quota::error_bound_lines(quotas)) lines.push_back(line);
    }
};

// Not more lines than leave room for what the start has to say beside them.
void tell_warnings(const config::Config& config, Log& log) {
    const std::size_t told = std::min(kWarningsMost, config.warnings.size());
    for (std::size_t i = 0; i < told; ++i)
        log.write(Log::Level::warning, net::now(), "%s", config.warnings[i].c_str());
    if (told < config.warnings.size())
        log.write(Log::Level::warning, net::now(), "%zu warnings more of the configuration: check-config",
                  config.warnings.size() - told);
}

class TelemetryPart final : public Part {
  public:
    TelemetryPart(telemetry::Telemetry& telemetry, ingress::Ingress& ingress)
        : telemetry_(telemetry), ingress_(ingress) {}
    const char* name() const override { return "metrics"; }
    void start() override {
        telemetry_.start([this] { return ingress_.gauges(); });
    }
    void stop(double most_s, std::function<void()> done) override {
        telemetry_.stop(most_s, std::move(done));
    }
    std::string take(const operator_config::Options& fresh) override {
        telemetry_.reload(fresh);
        return {};
    }

  private:
    telemetry::Telemetry& telemetry_;
    ingress::Ingress& ingress_;
};

class Program {
  public:
    Program(const Files& files, sigset_t signals) : files_(files), signals_(signals) {}
    int run();

  private:
    bool load(operator_config::Options& options);
    void make(operator_config::Options& options);
    void make_rollout(const operator_config::Options& options, const config::Config& config,
                      lease::FleetContext* fleet);
    std::vector<std::string> read_options(std::string& text, operator_config::Options& fresh) const;
    std::string check_rollout(const rollout::State& state);
    void take_rollout(const rollout::State& state);
    void stop();
    void ingress_ended();
    void stop_parts();
    void leave_parts();
    void reload();
    bool reload_options(std::string& text, operator_config::Options& fresh);
    void take(const operator_config::Options& fresh);
    void on_signal(int fd);

    const Files& files_;
    const sigset_t signals_;
    const discovery::UnixTimeConverter clock_;
    const net::Loop loop_{g_main_loop_new(nullptr, FALSE)};
    std::unique_ptr<Log> log_;
    net::Timers timers_;   // one for all: each source of the loop costs every wake-up a look
    std::unique_ptr<telemetry::Telemetry> telemetry_;   // lives longer than the ingress that tells it
    std::vector<std::unique_ptr<Part>> parts_;          // in the order of their start
    std::unique_ptr<ingress::Ingress> ingress_;
    std::size_t parts_left_ = 0;   // while stopping: the last of these is being stopped
    double ends_by_ = 0;           // s, net::now(); once the ingress has ended
    net::Timer parts_timer_{timers_, [this] { leave_parts(); }};
    // Of a follower: the operator's own file as it was taken last, and what lies over it.
    std::string text_, left_out_;
    std::unique_ptr<rollout::RolloutStorage> home_;   // until the part has it
    RulesPart* rules_ = nullptr;                      // null: no operator's file
    RolloutPart* rollout_ = nullptr;                  // null: off
    operator_config::Options prepared_;               // with what is rolled out, checked last
    std::optional<rollout::State> prepared_state_;
};

// The operator's own file, with what was in force before the start; false when it has a fault, which is
// printed. What was in force and can't be used any more is left out.
bool Program::load(operator_config::Options& options) {
    if (files_.options.empty()) return true;
    if (!load_options(files_.options, options)) return false;
    if (!options.rollout.on()) return true;
    if (!ini::load(files_.options, text_)) return false;
    home_ = std::make_unique<rollout::RolloutStorage>(options.metrics.directory, options.rollout);
    if (home_->version().number == 0) return true;
    operator_config::Options rolled;
    const auto faults = operator_config::load_text(
        kRolledOut, operator_config::apply_overlay(text_, home_->state()), rolled);
    if (faults.empty())
        options = rolled;
    else
        left_out_ = faults.front();
    return true;
}

void Program::make_rollout(const operator_config::Options& options, const config::Config& config,
                           lease::FleetContext* fleet) {
    if (!left_out_.empty())
        log_->write(
            Log::Level::error, net::now(),
            "rollout: version %llu can't be used with this file or program, the file serves without "
            "it: %s",
            static_cast<unsigned long long>(home_->version().number), left_out_.c_str());
    RolloutPart::Ways ways;
    ways.check = [this](const rollout::State& state) { return check_rollout(state); };
    ways.take = [this](const rollout::State& state) { take_rollout(state); };
    ways.left_out = left_out_;
    auto part = std::make_unique<RolloutPart>(options, config, std::move(home_), std::move(ways), *ingress_,
                                              fleet, telemetry_.get(), timers_, *log_);
    rollout_ = part.get();
    parts_.push_back(std::move(part));
}

// As a reload, but for what is rolled out alone: nothing else of this machine (its key files) may make it
// refuse what all get.
std::string Program::check_rollout(const rollout::State& state) {
    prepared_state_.reset();
    const auto faults =
        operator_config::parse_text(kRolledOut, operator_config::apply_overlay(text_, state), prepared_);
    if (!faults.empty()) return faults.front();
    try {
        rules_->prepare(prepared_);   // compiles them: once is enough, it is all that a version costs
    } catch (const std::exception& bad) {
        return std::string(kRolledOut) + ": " + bad.what();
    }
    prepared_state_ = state;
    return {};
}

void Program::take_rollout(const rollout::State& state) {
    if (prepared_state_ != state)
        if (const std::string why = check_rollout(state); !why.empty()) {
            log_->write(Log::Level::error, net::now(), "rollout: what is in force can't be used: %s",
                        why.c_str());
            return;
        }
    rules_->take(prepared_);
    if (telemetry_) telemetry_->set_rules(prepared_.rules);
    prepared_state_.reset();
}

// Nothing is made, counted or looked at where the operator's file names nothing of it.
void Program::make(operator_config::Options& options) {
    auto config = config::load(files_.config, clock_);
    config::hold_descriptors(config);
    tell_warnings(config, *log_);
    const Promised promised(files_, options, config);
    if (options.quota.on()) config.settings = quota::without_quotas(config.settings);
    if (options.collects() || options.log.requests != 0)
        telemetry_ =
            std::make_unique<telemetry::Telemetry>(options, config, SLATEJUNCTION_VERSION, timers_, *log_);
    ingress_ = std::make_unique<ingress::Ingress>(
        config, clock_, timers_, *log_, [this] { ingress_ended(); }, telemetry_.get());
    if (telemetry_) parts_.push_back(std::make_unique<TelemetryPart>(*telemetry_, *ingress_));
    RulesPart* rules = nullptr;
    if (!files_.options.empty()) {   // rules may come with a reload
        auto part =
            std::make_unique<RulesPart>(options, config, *ingress_, telemetry_.get(), timers_, *log_);
        rules = rules_ = part.get();
        parts_.push_back(std::move(part));
    }
    lease::FleetContext* fleet = nullptr;
    if (options.membership.on()) {
        auto part =
            std::make_unique<FleetPart>(options, config, *ingress_, telemetry_.get(), timers_, *log_);
        if (options.lease.on()) fleet = part.get();
        FleetPart& floor = *part;
        parts_.push_back(std::move(part));
        if (options.has_fleet_rate_limits()) {
            auto limits = std::make_unique<LimitsPart>(config.name, ingresses_of(options, config.name),
                                                       largest_units(config), options, floor,
                                                       draw_process(), timers_);
            rules->share(limits.get());
            parts_.push_back(std::move(limits));
        }
    }
    if (options.rollout.on()) make_rollout(options, config, fleet);
    if (options.quota.on())
        parts_.push_back(std::make_unique<QuotaPart>(options, promised.quotas, config, *ingress_, fleet,
                                                     telemetry_.get(), timers_, *log_));
}

void Program::ingress_ended() {
    ends_by_ = ingress_->ends_by();
    parts_left_ = parts_.size();
    parts_timer_.arm(ends_by_ - kLastLinesLeast);
    stop_parts();
}

// The last one first: what it still has to say goes through those before it.
void Program::stop_parts() {
    if (parts_left_ == 0) return g_main_loop_quit(loop_.get());
    const double most_s = std::max(0.0, ends_by_ - kLastLinesLeast - net::now());
    parts_[parts_left_ - 1]->stop(most_s, [this] {
        --parts_left_;
        stop_parts();
    });
}

// Guards against a part that waits for something outside without end.
void Program::leave_parts() {
    if (parts_left_ > 0)
        log_->write(Log::Level::warning, net::now(), "stopping: the time is up: %s is left unfinished",
                    parts_[parts_left_ - 1]->name());
    g_main_loop_quit(loop_.get());
}

// SIGHUP: the files have changed. Guards against one that is broken or half written: nothing of either
// is taken then, and what is running stays in force.
void Program::reload() {
    const double now = net::now();
    operator_config::Options fresh;
    std::string text;
    try {
        if (!reload_options(text, fresh)) return;
        auto config = config::load(files_.config, clock_, config::LoadTime::reload);
        for (const auto& part : parts_) part->prepare(fresh, config);
        if (!files_.options.empty()) take(fresh);
        ingress_->reload(config);
        if (rollout_) {
            text_ = text;
            prepared_state_.reset();
            rollout_->reloaded();
        }
    } catch (const std::exception& bad) {
        log_->write(Log::Level::error, now, "reload refused, nothing changes: %s", bad.what());
    }
}

// False where it has faults. Guards against one that is a pipe by now, whose writer may never come.
bool Program::reload_options(std::string& text, operator_config::Options& fresh) {
    if (files_.options.empty()) return true;
    std::error_code fault;
    if (std::filesystem::is_fifo(files_.options, fault))
        throw std::runtime_error(files_.options + ": is a pipe, which can't be read again");
    const auto faults = read_options(text, fresh);
    for (const std::string& one : faults)
        log_->write(Log::Level::error, net::now(), "reload refused, nothing changes: %s", one.c_str());
    return faults.empty();
}

// With what is rolled out laid over it; faults.
std::vector<std::string> Program::read_options(std::string& text, operator_config::Options& fresh) const {
    if (!rollout_) return operator_config::load(files_.options, fresh);
    if (!ini::load(files_.options, text)) return {files_.options + ": can't be read"};
    return operator_config::load_text(files_.options,
                                      operator_config::apply_overlay(text, rollout_->state()), fresh);
}

void Program::take(const operator_config::Options& fresh) {
    if (!telemetry_) {
        log_->configure(fresh.log);
        const bool later = fresh.collects() || fresh.log.requests != 0;
        log_->write(Log::Level::info, net::now(), "reloaded: the operator's file%s",
                    later ? "; after the next start: log.requests, metrics, remote_write" : "");
    }
    std::string later;
    const auto waits = [&](const std::string& what) {
        if (!what.empty()) later += (later.empty() ? "" : ", ") + what;
    };
    for (const auto& part : parts_) waits(part->take(fresh));
    const auto there = [&](std::string_view name) {
        return std::any_of(parts_.begin(), parts_.end(),
                           [&](const auto& one) { return one->name() == name; });
    };
    if (fresh.quota.on() && !there("quota")) waits("quota");
    if (fresh.membership.on() && !there("peers")) waits("peers");
    if (fresh.rollout.on() && !there("rollout")) waits("rollout");
    if (fresh.has_fleet_rate_limits() && !there("limits"))
        waits("limits with scope = fleet, kept at each gateway till then");
    if (!later.empty())
        log_->write(Log::Level::info, net::now(), "reloaded: after the next start: %s", later.c_str());
}

void Program::stop() {
    ingress_->stop();
    if (ends_by_ == 0) return;   // after a handover the parts may be stopping already, with more time
    ends_by_ = std::min(ends_by_, ingress_->ends_by());
    parts_timer_.arm(ends_by_ - kLastLinesLeast);
}

void Program::on_signal(int fd) {
    signalfd_siginfo info;
    if (read(fd, &info, sizeof info) != sizeof info) return;
    if (info.ssi_signo == SIGHUP)
        reload();
    else
        stop();
}

// Before the loop runs: false where SIGTERM or SIGINT came. SIGHUP stays for the loop.
bool pause_unless_told(double seconds) {
    sigset_t numbers;
    sigemptyset(&numbers);
    for (const int number : {SIGTERM, SIGINT}) sigaddset(&numbers, number);
    const timespec most{0, static_cast<long>(seconds * 1e9)};   // under a second
    return sigtimedwait(&numbers, nullptr, &most) < 0;
}

int Program::run() {
    operator_config::Options options;
    if (!load(options)) return kBadUse;
    log_ = std::make_unique<Log>(options.log);
    make(options);
    const storage::File signals(signalfd(-1, &signals_, SFD_CLOEXEC | SFD_NONBLOCK));
    if (!signals) return fail("no descriptor for signals: " + std::string(std::strerror(errno)));
    const net::SourceWatch watch(timers_, signals.get(), [this, fd = signals.get()] { on_signal(fd); });
    std::string why;
    if (!ingress_->start(why, pause_unless_told)) return why.empty() ? 0 : fail(why);
    for (std::size_t i = parts_.size(); i-- > 0;) parts_[i]->start();
    g_main_loop_run(loop_.get());
    log_->flush(std::min(kLastLines, std::max(0.0, ends_by_ - net::now())));
    return 0;
}

}   // namespace

int fail(const std::string& why) {
    std::fprintf(stderr, "error: %s\n", why.c_str());
    return kBadUse;
}

int serve(const Files& files) {
    // A descriptor of its own for signals: GLib's way would start a thread, and make every wake-up cost
    // more. Blocked first of all, so that none can end the program while it is starting.
    sigset_t numbers;
    sigemptyset(&numbers);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&numbers, number);
    sigprocmask(SIG_BLOCK, &numbers, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    open_standard_streams();
    return Program(files, numbers).run();
}

int check(const Files& files) {
    operator_config::Options options;
    bool good = load_options(files.options, options);
    try {
        const auto read = config::load(files.config, discovery::UnixTimeConverter());
        for (const std::string& line : read.warnings) std::printf("warning: %s\n", line.c_str());
        if (good) {
            const Promised promised(files, options, read);
            for (const std::string& line : promised.lines) std::printf("%s\n", line.c_str());
            std::printf("configuration of %s is good: %zu classes, %zu plans, %zu providers known\n",
                        read.name.c_str(), read.settings.classes.size(), read.settings.plans.size(),
                        read.known.update.endpoints.size());
        }
    } catch (const std::exception& fault) {
        good = false;
        fail(fault.what());
    }
    return good ? 0 : kBadUse;
}

}   // namespace slatejunction::app
