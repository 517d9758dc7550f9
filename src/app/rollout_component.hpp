// The rollout in the program: takes what is rolled out into force, answers operators and counts.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app/component.hpp"
#include "ingress/ingress.hpp"
#include "lease/fleet_context.hpp"
#include "log/log.hpp"
#include "net/glib.hpp"
#include "rollout/driver.hpp"
#include "telemetry/telemetry.hpp"

namespace slatejunction::app {

class RolloutPart final : public Part, ingress::AdminCallExtension {
  public:
    // How the program takes what is rolled out: the whole state is laid over the operator's own file.
    struct Ways {
        // Why it can't be used, in a line; empty: it can.
        std::function<std::string(const rollout::State& state)> check;
        std::function<void(const rollout::State& state)> take;
        // Why what was in force at the start is not; empty: it is.
        std::string left_out;
    };
    // `fleet`: null for a follower or relay. The options have been checked. Throws std::runtime_error for a
    // key file that can't be used.
    RolloutPart(const operator_config::Options& options, const config::Config& config,
                std::unique_ptr<rollout::RolloutStorage> home, Ways ways, ingress::Ingress& ingress,
                lease::FleetContext* fleet, telemetry::Telemetry* telemetry, net::Timers& timers, Log& log);

    const char* name() const override { return "rollout"; }
    void start() override { driver_.start(); }
    void stop(double most_s, std::function<void()> done) override;
    void prepare(const operator_config::Options& fresh, config::Config& config) override;
    std::string take(const operator_config::Options& fresh) override;

    // What is in force; laid over a file that is read anew.
    const rollout::State& state() const;
    // The operator's own file was taken with what is in force laid over: what was refused is tried again.
    void reloaded();

  private:
    bool on_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)>& reply) override;
    void propose(const admin::AdminCall& call, std::function<void(admin::AdminReply)> reply);
    admin::AdminReply reply_to(const rollout::Driver::ProposeResult& answer) const;
    void count(metrics::Measures& measures);
    std::string source() const;     // by name, as far as known; empty: nobody
    std::string describe() const;   // JSON

    const rollout::Options options_;
    const std::string name_;
    const std::vector<std::string> replicas_;
    lease::FleetContext* const fleet_;
    std::string left_out_;
    const double started_ = net::now();
    std::vector<membership::AuthKey> prepared_keys_;
    rollout::Driver driver_;
    std::map<std::pair<metrics::Id, std::size_t>, std::uint64_t> counted_;
};

// What is wrong with [rollout] for a process of this name; empty: nothing.
std::string fault_of_rollout(const operator_config::Options& options, const std::string& name);
// What is promised, for check-config.
std::vector<std::string> stated_of_rollout(const operator_config::Options& options);

}   // namespace slatejunction::app
