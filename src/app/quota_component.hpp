// Quotas that a shared counter keeps in place of the module.
#pragma once

#include "app/component.hpp"
#include "ingress/ingress.hpp"
#include "lease/fleet_context.hpp"
#include "quota/driver.hpp"
#include "telemetry/telemetry.hpp"

namespace slatejunction::app {

class QuotaPart final : public Part, ingress::RequestFilter {
  public:
    // `settings` as quota::make_settings() made them, without a fault; `config` is told without quotas.
    // `fleet`: null where there are no leases; then each ingress has its own check of the counter only.
    QuotaPart(const operator_config::Options& options, const quota::Settings& settings,
              const config::Config& config, ingress::Ingress& ingress, lease::FleetContext* fleet,
              telemetry::Telemetry* telemetry, net::Timers& timers, Log& log);

    const char* name() const override { return "quota"; }
    void start() override { driver_.start(); }
    void prepare(const operator_config::Options& fresh, config::Config& config) override;
    std::string take(const operator_config::Options& fresh) override;

  private:
    void on_request(client::ClientRequest& invocation, slatejunction::Request& request,
                    ingress::FilterState& mark) override;
    void on_first_attempt(const client::ClientRequest& invocation, ingress::FilterState& mark,
                          bool spilled) override;
    slatejunction::RejectReason on_rate_limited(ingress::FilterState mark) override;
    void on_request_end(const client::ClientRequest& invocation, ingress::FilterState mark) override;
    unsigned plan_number(std::string_view plan) const;   // in the settings; their number: none of them

    const std::vector<slatejunction::Plan> plans_;
    quota::Driver driver_;
    ingress::RequestFilterState units_consumed_;   // marks requests whose units were consumed
    std::uint64_t losses_ = 0;   // counted
};

}   // namespace slatejunction::app
