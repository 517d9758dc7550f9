#include "app/quota_component.hpp"

#include <algorithm>
#include <utility>

#include "app/random_seed.hpp"

namespace slatejunction::app {
namespace {

quota::IngressSet ingress_set_of(const client::ClientRequest& i) {
    return {i.first_ingress, static_cast<unsigned>(i.ingress_count)};
}

}   // namespace

QuotaComponent::QuotaComponent(const operator_config::Options& options, const quota::Settings& settings,
                               const config::Config& config, ingress::Ingress& ingress,
                               lease::FleetContext* fleet, telemetry::Telemetry* telemetry,
                               net::Timers& timers, Log& log)
    : plans_(config.settings.plans),
      driver_(options.quota, settings, config.seed ^ draw_process(), timers, log) {
    ingress.register_extension(static_cast<ingress::RequestFilter&>(*this));
    for (const std::string& line : quota::error_bound_lines(settings))
        log.write(Log::Level::info, net::now(), "%s", line.c_str());
    if (telemetry)
        telemetry->add_collector([this](metrics::Measures& measures) {
            const std::uint64_t now = driver_.shared_quota().counter_losses();
            measures.add(metrics::Id::counter_losses, 0,
                         static_cast<double>(now - std::exchange(losses_counted_, now)));
        });
    if (!fleet) return;
    quota::Driver::FleetCallbacks callbacks;
    callbacks.leader_may_act = [fleet] {
        lease::Permit permit;
        return fleet->leader_may_act(permit);
    };
    callbacks.send = [fleet](bool all, const std::string& body) {
        if (all)
            fleet->broadcast(membership::Channel::counter_incarnation, body);
        else if (const std::string to = fleet->leader_name(); !to.empty())
            fleet->send(to, membership::Channel::counter_incarnation, body);
    };
    driver_.join_fleet(std::move(callbacks));
    fleet->listen(membership::Channel::counter_incarnation,
                  [this](const membership::ReceivedMessage& message) { driver_.on_message(message.body); });
    fleet->on_leadership_change([this](bool on) { driver_.on_leadership_change(on); });
}

void QuotaComponent::prepare(const operator_config::Options&, config::Config& config) {
    config.settings = quota::without_quotas(config.settings);
}

std::string QuotaComponent::apply(const operator_config::Options& fresh) {
    return driver_.reload(fresh.quota) ? "" : name();
}

void QuotaComponent::on_request(client::ClientRequest& i, slatejunction::Request& request,
                                ingress::FilterState&) {
    const double wait = driver_.retry_after_s(i.customer, plan_number(i.plan), ingress_set_of(i), i.units);
    request.rate_limit_retry_after_s = std::max(request.rate_limit_retry_after_s, wait);
}

void QuotaComponent::on_first_attempt(const client::ClientRequest& i, ingress::FilterState& mark, bool) {
    driver_.consume(i.customer, plan_number(i.plan), ingress_set_of(i), i.units);
    mark = &units_consumed_;
}

slatejunction::RejectReason QuotaComponent::on_rate_limited(ingress::FilterState) {
    return slatejunction::RejectReason::quota;
}

void QuotaComponent::on_request_end(const client::ClientRequest& i, ingress::FilterState mark) {
    if (mark) driver_.release(i.customer);
}

unsigned QuotaComponent::plan_number(std::string_view plan) const {
    const auto at =
        std::find_if(plans_.begin(), plans_.end(), [&](const auto& one) { return one.name == plan; });
    return static_cast<unsigned>(at - plans_.begin());
}

}   // namespace slatejunction::app
