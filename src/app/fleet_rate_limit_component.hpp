// Fleet-wide rate limits in the program: carries the datagrams of RateLimitNode over the gossip transport,
// and answers the rules. Owned by Program; owns the node. Times in s of net::now().
#pragma once

#include "app/component.hpp"
#include "fleet_rate_limit/rate_limit_node.hpp"
#include "lease/fleet_context.hpp"
#include "net/timers.hpp"
#include "rules/rules.hpp"

namespace slatejunction::app {

class FleetRateLimitComponent final : public Component, public rules::FleetRateLimits {
  public:
    /// `all`: the names of every ingress of the fleet.
    FleetRateLimitComponent(const std::string& name, std::vector<std::string> all, double largest_units,
                            const operator_config::Options& options, lease::FleetContext& fleet,
                            std::uint64_t seed, net::Timers& timers);

    const char* name() const override { return "limits"; }
    void stop(double most_s, std::function<void()> done) override;

    void define(std::uint32_t limit, const rules::LimitSettings& settings) override;
    double retry_after_s(double now, std::uint32_t limit, std::uint64_t key, double count) override;
    void consume(double now, std::uint32_t limit, std::uint64_t key, double count) override;
    const fleet_rate_limit::RateLimitNode& node() const { return node_; }

  private:
    void pump();

    const double largest_units_;
    lease::FleetContext& fleet_;
    fleet_rate_limit::RateLimitNode node_;
    net::Timer timer_;
    bool stopped_ = false;
};

/// The error bounds of fleet-wide limits, for check-config. `all`: number of ingresses.
std::vector<std::string> stated(const operator_config::Options& options, std::size_t all,
                                double largest_units);
/// The limit as RateLimitNode takes it.
fleet_rate_limit::LimitSpec spec_of(const rules::LimitSettings& settings, double largest_units);

}   // namespace slatejunction::app
