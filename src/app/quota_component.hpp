// Quotas that a shared counter enforces in place of the gateway's own estimate: filters requests with
// quota::Driver. Owned by Program; owns the driver. The gateway receives a configuration without quotas.
#pragma once

#include "app/component.hpp"
#include "ingress/ingress.hpp"
#include "lease/fleet_context.hpp"
#include "quota/driver.hpp"
#include "telemetry/telemetry.hpp"

namespace slatejunction::app {

class QuotaComponent final : public Component, ingress::RequestFilter {
  public:
    /// `settings`: of quota::settings_of(), without a fault. `fleet`: null without leases; then each
    /// ingress checks the counter by itself.
    QuotaComponent(const operator_config::Options& options, const quota::Settings& settings,
                   const config::Config& config, ingress::Ingress& ingress, lease::FleetContext* fleet,
                   telemetry::Telemetry* telemetry, net::Timers& timers, Log& log);

    const char* name() const override { return "quota"; }
    void start() override { driver_.start(); }
    void prepare(const operator_config::Options& fresh, config::Config& config) override;
    std::string apply(const operator_config::Options& fresh) override;

  private:
    void on_request(client::ClientRequest& client_request, slatejunction::Request& request,
                    ingress::FilterState& mark) override;
    void on_first_attempt(const client::ClientRequest& client_request, ingress::FilterState& mark,
                          bool spilled) override;
    slatejunction::RejectReason on_rate_limited(ingress::FilterState mark) override;
    void on_request_end(const client::ClientRequest& client_request, ingress::FilterState mark) override;
    unsigned plan_number(std::string_view plan) const;   // index in the settings; their count: unknown plan

    const std::vector<slatejunction::Plan> plans_;
    quota::Driver driver_;
    ingress::RequestFilterState units_consumed_;   // marks requests whose units were consumed
    std::uint64_t losses_counted_ = 0;
};

}   // namespace slatejunction::app
