#include "app/quota_component.hpp"

#include <algorithm>
#include <utility>

#include "app/random_seed.hpp"

namespace slatejunction::app {
namespace {

quota::Doors doors_of(const client::Invocation& i) {
    return {i.first_door, static_cast<unsigned>(i.doors)};
}

}   // namespace

QuotaPart::QuotaPart(const operator_config::Options& options, const quota::Settings& settings,
                     const config::Config& config, ingress::Ingress& ingress, lease::Fleet* fleet,
                     telemetry::Telemetry* telemetry, net::Timers& timers, Log& log)
    : plans_(config.settings.plans),
      driver_(options.quota, settings, config.seed ^ draw_process(), timers, log) {
    ingress.join(static_cast<ingress::Judge&>(*this));
    for (const std::string& line : quota::stated(settings))
        log.write(Log::Level::info, net::now(), "%s", line.c_str());
    if (telemetry)
        telemetry->join([this](metrics::Measures& measures) {
            const std::uint64_t now = driver_.bank().empties();
            measures.add(metrics::Id::counter_losses, 0,
                         static_cast<double>(now - std::exchange(losses_, now)));
        });
    if (!fleet) return;
    quota::Driver::Ways ways;
    ways.permit = [fleet] {
        lease::Permit permit;
        return fleet->may_conduct(permit);
    };
    ways.say = [fleet](bool all, const std::string& body) {
        if (all)
            fleet->send_all(membership::Channel::sentinel, body);
        else if (const std::string to = fleet->conductor(); !to.empty())
            fleet->send(to, membership::Channel::sentinel, body);
    };
    driver_.with_fleet(std::move(ways));
    fleet->listen(membership::Channel::sentinel,
                  [this](const membership::Heard& heard) { driver_.hear(heard.body); });
    fleet->on_conducts([this](bool on) { driver_.on_conducts(on); });
}

void QuotaPart::prepare(const operator_config::Options&, config::Config& config) {
    config.settings = quota::without_quotas(config.settings);
}

std::string QuotaPart::take(const operator_config::Options& fresh) {
    return driver_.reload(fresh.quota) ? "" : name();
}

void QuotaPart::judge(client::Invocation& i, slatejunction::Request& request, ingress::Mark&) {
    const double wait = driver_.look(i.customer, plan_number(i.plan), doors_of(i), i.units);
    request.over_limit_s = std::max(request.over_limit_s, wait);
}

void QuotaPart::sent(const client::Invocation& i, ingress::Mark& mark, bool) {
    driver_.take(i.customer, plan_number(i.plan), doors_of(i), i.units);
    mark = this;   // its units are drawn
}

slatejunction::Reason QuotaPart::refused(ingress::Mark) { return slatejunction::Reason::quota; }

void QuotaPart::ended(const client::Invocation& i, ingress::Mark mark) {
    if (mark) driver_.ended(i.customer);
}

unsigned QuotaPart::plan_number(std::string_view plan) const {
    const auto at =
        std::find_if(plans_.begin(), plans_.end(), [&](const auto& one) { return one.name == plan; });
    return static_cast<unsigned>(at - plans_.begin());
}

}   // namespace slatejunction::app
