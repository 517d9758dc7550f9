// The rollout in the program: applies rolled-out sections over the operator's own file, answers operators,
// and sets the measures. Owns rollout::Driver. Owned by Program; runs on the loop's thread.
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

class RolloutComponent final : public Component, ingress::AdminCallExtension {
  public:
    /// How the program applies a state: as an overlay of the operator's own file.
    struct Callbacks {
        // Returns the fault of a state in a line; empty: valid.
        std::function<std::string(const rollout::State& state)> validate;
        std::function<void(const rollout::State& state)> apply;
        // Why the stored active version is not applied at the start; empty: it is.
        std::string overlay_fault;
    };
    /// `fleet`: null for a follower or relay. The options have been checked. Throws std::runtime_error for
    /// a key file that can't be used.
    RolloutComponent(const operator_config::Options& options, const config::Config& config,
                     std::unique_ptr<rollout::RolloutStorage> storage, Callbacks callbacks,
                     ingress::Ingress& ingress, lease::FleetContext* fleet, telemetry::Telemetry* telemetry,
                     net::Timers& timers, Log& log);

    const char* name() const override { return "rollout"; }
    void start() override { driver_.start(); }
    void stop(double most_s, std::function<void()> done) override;
    void prepare(const operator_config::Options& fresh, config::Config& config) override;
    std::string apply(const operator_config::Options& fresh) override;

    /// The active state, to overlay a file that is read again.
    const rollout::State& state() const;
    /// The operator's own file was reloaded with the active state: retries what was refused.
    void on_reloaded();

  private:
    bool on_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)>& reply) override;
    void propose(const admin::AdminCall& call, std::function<void(admin::AdminReply)> reply);
    admin::AdminReply reply_to(const rollout::Driver::ProposeResult& answer) const;
    void count(metrics::Measures& measures);
    std::string leader() const;     // name of the leader as far as known; empty: unknown
    std::string describe() const;   // JSON

    const rollout::Options options_;
    const std::string name_;
    const std::vector<std::string> replicas_;
    lease::FleetContext* const fleet_;
    std::string overlay_fault_;
    const double started_at_ = net::now();
    std::vector<membership::AuthKey> prepared_keys_;
    rollout::Driver driver_;
    std::map<std::pair<metrics::Id, std::size_t>, std::uint64_t> counted_;
};

/// The fault of [rollout] for a process of this name; empty: none.
std::string fault_of_rollout(const operator_config::Options& options, const std::string& name);
/// The bounds of [rollout], for check-config.
std::vector<std::string> stated_of_rollout(const operator_config::Options& options);

}   // namespace slatejunction::app
