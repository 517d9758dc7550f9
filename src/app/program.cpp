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

constexpr char kRolledOut[] = "rolled out";   // instead of a file name in faults
constexpr std::size_t kMaxWarnings = 8;       // of the configuration, in the log
constexpr double kMaxLogFlushS = 0.5;         // at the end, for a slow reader of the log
constexpr double kMinLogFlushS = 0.03;

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

// Checks that need both files, for the start and for check-config. Throws for a fault.
struct CheckedOptions {
    quota::Settings quotas;
    std::vector<std::string> lines;   // the bounds, for check-config

    CheckedOptions(const Files& files, const operator_config::Options& options,
                   const config::Config& config) {
        std::string fault;
        if (options.membership.on()) {
            std::vector<membership::AuthKey> keys;
            const std::string why = membership::load_keys(options.membership, keys);
            if (!why.empty()) throw std::runtime_error(files.options + ": [peers] " + why);
            for (auto& line : membership::describe_bounds(options.membership)) lines.push_back(line);
        }
        if (options.has_fleet_rate_limits())
            for (auto& line :
                 stated(options, ingresses_of(options, config.name).size(), largest_units(config)))
                lines.push_back(line);
        if (options.lease.on())
            for (auto& line : lease::describe_bounds(options.lease)) lines.push_back(line);
        if (std::string why = fault_of_rollout(options, config.name); !why.empty())
            throw std::runtime_error(files.options + ": [rollout] " + why);
        for (auto& line : stated_of_rollout(options)) lines.push_back(line);
        if (options.fleet_counters.on())
            lines.push_back(fleet_counters::describe_bounds(options.fleet_counters, options.lease.times));
        if (!options.quota.on()) return;
        quotas = quota::make_settings(options.quota, config.settings, fault);
        if (!fault.empty()) throw std::runtime_error(files.options + ": [quota] " + fault);
        for (auto& line : quota::error_bound_lines(quotas)) lines.push_back(line);
    }
};

// Logs at most kMaxWarnings, so that other lines of the start remain visible.
void log_warnings(const config::Config& config, Log& log) {
    const std::size_t logged = std::min(kMaxWarnings, config.warnings.size());
    for (std::size_t i = 0; i < logged; ++i)
        log.write(Log::Level::warning, net::now(), "%s", config.warnings[i].c_str());
    if (logged < config.warnings.size())
        log.write(Log::Level::warning, net::now(), "%zu warnings more of the configuration: check-config",
                  config.warnings.size() - logged);
}

class TelemetryComponent final : public Component {
  public:
    TelemetryComponent(telemetry::Telemetry& telemetry, ingress::Ingress& ingress)
        : telemetry_(telemetry), ingress_(ingress) {}
    const char* name() const override { return "metrics"; }
    void start() override {
        telemetry_.start([this] { return ingress_.gauges(); });
    }
    void stop(double most_s, std::function<void()> done) override {
        telemetry_.stop(most_s, std::move(done));
    }
    std::string apply(const operator_config::Options& fresh) override {
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
    std::string validate_rollout(const rollout::State& state);
    void apply_rollout(const rollout::State& state);
    void stop();
    void ingress_ended();
    void stop_components();
    void abandon_components();
    void reload();
    bool reload_options(std::string& text, operator_config::Options& fresh);
    void apply(const operator_config::Options& fresh);
    void on_signal(int fd);

    const Files& files_;
    const sigset_t signals_;
    const discovery::UnixTimeConverter clock_;
    const net::Loop loop_{g_main_loop_new(nullptr, FALSE)};
    std::unique_ptr<Log> log_;
    net::Timers timers_;   // one for all, as every source of the loop is polled in each iteration
    std::unique_ptr<telemetry::Telemetry> telemetry_;      // outlives the ingress, which reports to it
    std::vector<std::unique_ptr<Component>> components_;   // in the order of their start
    std::unique_ptr<ingress::Ingress> ingress_;
    std::size_t components_running_ = 0;   // while stopping: the last of these is being stopped
    double ends_by_ = 0;                   // s, net::now(); set once the ingress has ended
    net::Timer stop_timer_{timers_, [this] { abandon_components(); }};
    // Of a follower: the operator's own file as last loaded, and why the overlay is not applied at the
    // start.
    std::string options_text_, overlay_fault_;
    std::unique_ptr<rollout::RolloutStorage> rollout_storage_;   // until the component owns it
    RulesComponent* rules_ = nullptr;                            // null: no operator's file
    RolloutComponent* rollout_ = nullptr;                        // null: off
    operator_config::Options prepared_;                          // with the overlay, as last validated
    std::optional<rollout::State> prepared_state_;
};

// Loads the operator's own file with the stored active version as overlay. False: it has a fault, which is
// printed. An overlay that can't be used any more is not applied.
bool Program::load(operator_config::Options& options) {
    if (files_.options.empty()) return true;
    if (!load_options(files_.options, options)) return false;
    if (!options.rollout.on()) return true;
    if (!ini::load(files_.options, options_text_)) return false;
    rollout_storage_ =
        std::make_unique<rollout::RolloutStorage>(options.metrics.directory, options.rollout);
    if (rollout_storage_->version().number == 0) return true;
    operator_config::Options rolled;
    const auto faults = operator_config::load_text(
        kRolledOut, operator_config::apply_overlay(options_text_, rollout_storage_->state()), rolled);
    if (faults.empty())
        options = rolled;
    else
        overlay_fault_ = faults.front();
    return true;
}

void Program::make_rollout(const operator_config::Options& options, const config::Config& config,
                           lease::FleetContext* fleet) {
    if (!overlay_fault_.empty())
        log_->write(
            Log::Level::error, net::now(),
            "rollout: version %llu can't be used with this file or program, the file serves without "
            "it: %s",
            static_cast<unsigned long long>(rollout_storage_->version().number), overlay_fault_.c_str());
    RolloutComponent::Callbacks callbacks;
    callbacks.validate = [this](const rollout::State& state) { return validate_rollout(state); };
    callbacks.apply = [this](const rollout::State& state) { apply_rollout(state); };
    callbacks.overlay_fault = overlay_fault_;
    auto component = std::make_unique<RolloutComponent>(options, config, std::move(rollout_storage_),
                                                        std::move(callbacks), *ingress_, fleet,
                                                        telemetry_.get(), timers_, *log_);
    rollout_ = component.get();
    components_.push_back(std::move(component));
}

// Like a reload, but of the overlay alone: other files of this machine (keys) must not make it refuse a
// version.
std::string Program::validate_rollout(const rollout::State& state) {
    prepared_state_.reset();
    const auto faults = operator_config::parse_text(
        kRolledOut, operator_config::apply_overlay(options_text_, state), prepared_);
    if (!faults.empty()) return faults.front();
    try {
        rules_->prepare(prepared_);   // compiles the rules, once for a version
    } catch (const std::exception& bad) {
        return std::string(kRolledOut) + ": " + bad.what();
    }
    prepared_state_ = state;
    return {};
}

void Program::apply_rollout(const rollout::State& state) {
    if (prepared_state_ != state)
        if (const std::string why = validate_rollout(state); !why.empty()) {
            log_->write(Log::Level::error, net::now(), "rollout: what is in force can't be used: %s",
                        why.c_str());
            return;
        }
    rules_->apply(prepared_);
    if (telemetry_) telemetry_->set_rules(prepared_.rules);
    prepared_state_.reset();
}

// Creates only the components that the operator's file enables.
void Program::make(operator_config::Options& options) {
    auto config = config::load(files_.config, clock_);
    config::hold_descriptors(config);
    log_warnings(config, *log_);
    const CheckedOptions checked(files_, options, config);
    if (options.quota.on()) config.settings = quota::without_quotas(config.settings);
    if (options.collects() || options.log.requests != 0)
        telemetry_ =
            std::make_unique<telemetry::Telemetry>(options, config, SLATEJUNCTION_VERSION, timers_, *log_);
    ingress_ = std::make_unique<ingress::Ingress>(
        config, clock_, timers_, *log_, [this] { ingress_ended(); }, telemetry_.get());
    if (telemetry_) components_.push_back(std::make_unique<TelemetryComponent>(*telemetry_, *ingress_));
    RulesComponent* rules = nullptr;
    if (!files_.options.empty()) {   // a reload may add rules
        auto component =
            std::make_unique<RulesComponent>(options, config, *ingress_, telemetry_.get(), timers_, *log_);
        rules = rules_ = component.get();
        components_.push_back(std::move(component));
    }
    lease::FleetContext* fleet = nullptr;
    if (options.membership.on()) {
        auto component =
            std::make_unique<FleetComponent>(options, config, *ingress_, telemetry_.get(), timers_, *log_);
        if (options.lease.on()) fleet = component.get();
        FleetComponent& fleet_component = *component;
        components_.push_back(std::move(component));
        if (options.has_fleet_rate_limits()) {
            auto limits = std::make_unique<FleetRateLimitComponent>(
                config.name, ingresses_of(options, config.name), largest_units(config), options,
                fleet_component, draw_process(), timers_);
            rules->set_fleet_rate_limits(limits.get());
            components_.push_back(std::move(limits));
        }
    }
    if (options.rollout.on()) make_rollout(options, config, fleet);
    if (options.quota.on())
        components_.push_back(std::make_unique<QuotaComponent>(options, checked.quotas, config, *ingress_,
                                                               fleet, telemetry_.get(), timers_, *log_));
}

void Program::ingress_ended() {
    ends_by_ = ingress_->ends_by();
    components_running_ = components_.size();
    stop_timer_.arm(ends_by_ - kMinLogFlushS);
    stop_components();
}

// In reverse order: a component's last messages need those before it.
void Program::stop_components() {
    if (components_running_ == 0) return g_main_loop_quit(loop_.get());
    const double most_s = std::max(0.0, ends_by_ - kMinLogFlushS - net::now());
    components_[components_running_ - 1]->stop(most_s, [this] {
        --components_running_;
        stop_components();
    });
}

// Abandons a component that does not stop in time.
void Program::abandon_components() {
    if (components_running_ > 0)
        log_->write(Log::Level::warning, net::now(), "stopping: the time is up: %s is left unfinished",
                    components_[components_running_ - 1]->name());
    g_main_loop_quit(loop_.get());
}

// SIGHUP: reloads both files. A fault in either of them changes nothing.
void Program::reload() {
    const double now = net::now();
    operator_config::Options fresh;
    std::string text;
    try {
        if (!reload_options(text, fresh)) return;
        auto config = config::load(files_.config, clock_, config::LoadTime::reload);
        for (const auto& component : components_) component->prepare(fresh, config);
        if (!files_.options.empty()) apply(fresh);
        ingress_->reload(config);
        if (rollout_) {
            options_text_ = text;
            prepared_state_.reset();
            rollout_->on_reloaded();
        }
    } catch (const std::exception& bad) {
        log_->write(Log::Level::error, now, "reload refused, nothing changes: %s", bad.what());
    }
}

// False: the file has faults, which are logged. A pipe is rejected, as its writer may never come.
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

// Reads the operator's file with the overlay; returns the faults.
std::vector<std::string> Program::read_options(std::string& text, operator_config::Options& fresh) const {
    if (!rollout_) return operator_config::load(files_.options, fresh);
    if (!ini::load(files_.options, text)) return {files_.options + ": can't be read"};
    return operator_config::load_text(files_.options,
                                      operator_config::apply_overlay(text, rollout_->state()), fresh);
}

void Program::apply(const operator_config::Options& fresh) {
    if (!telemetry_) {
        log_->configure(fresh.log);
        const bool later = fresh.collects() || fresh.log.requests != 0;
        log_->write(Log::Level::info, net::now(), "reloaded: the operator's file%s",
                    later ? "; after the next start: log.requests, metrics, remote_write" : "");
    }
    std::string later;
    const auto defer = [&](const std::string& what) {
        if (!what.empty()) later += (later.empty() ? "" : ", ") + what;
    };
    for (const auto& component : components_) defer(component->apply(fresh));
    const auto running = [&](std::string_view name) {
        return std::any_of(components_.begin(), components_.end(),
                           [&](const auto& one) { return one->name() == name; });
    };
    if (fresh.quota.on() && !running("quota")) defer("quota");
    if (fresh.membership.on() && !running("peers")) defer("peers");
    if (fresh.rollout.on() && !running("rollout")) defer("rollout");
    if (fresh.has_fleet_rate_limits() && !running("limits"))
        defer("limits with scope = fleet, kept at each gateway till then");
    if (!later.empty())
        log_->write(Log::Level::info, net::now(), "reloaded: after the next start: %s", later.c_str());
}

void Program::stop() {
    ingress_->stop();
    if (ends_by_ == 0)
        return;   // after a hot restart the components may be stopping already, with more time
    ends_by_ = std::min(ends_by_, ingress_->ends_by());
    stop_timer_.arm(ends_by_ - kMinLogFlushS);
}

void Program::on_signal(int fd) {
    signalfd_siginfo info;
    if (read(fd, &info, sizeof info) != sizeof info) return;
    if (info.ssi_signo == SIGHUP)
        reload();
    else
        stop();
}

// Before the loop runs. False: SIGTERM or SIGINT arrived. SIGHUP stays pending for the loop.
bool sleep_unless_signalled(double seconds) {
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
    const net::FdWatch watch(timers_, signals.get(), [this, fd = signals.get()] { on_signal(fd); });
    std::string why;
    if (!ingress_->start(why, sleep_unless_signalled)) return why.empty() ? 0 : fail(why);
    for (std::size_t i = components_.size(); i-- > 0;) components_[i]->start();
    g_main_loop_run(loop_.get());
    log_->flush(std::min(kMaxLogFlushS, std::max(0.0, ends_by_ - net::now())));
    return 0;
}

}   // namespace

int fail(const std::string& why) {
    std::fprintf(stderr, "error: %s\n", why.c_str());
    return kBadUse;
}

int serve(const Files& files) {
    // A signalfd: GLib's own sources would start a thread and make each iteration more expensive. Blocked
    // first, so that no signal ends the program while it starts.
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
    bool valid = load_options(files.options, options);
    try {
        const auto config = config::load(files.config, discovery::UnixTimeConverter());
        for (const std::string& line : config.warnings) std::printf("warning: %s\n", line.c_str());
        if (valid) {
            const CheckedOptions checked(files, options, config);
            for (const std::string& line : checked.lines) std::printf("%s\n", line.c_str());
            std::printf("configuration of %s is good: %zu classes, %zu plans, %zu providers known\n",
                        config.name.c_str(), config.settings.classes.size(), config.settings.plans.size(),
                        config.known.update.endpoints.size());
        }
    } catch (const std::exception& fault) {
        valid = false;
        fail(fault.what());
    }
    return valid ? 0 : kBadUse;
}

}   // namespace slatejunction::app
