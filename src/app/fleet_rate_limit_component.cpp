#include "app/fleet_rate_limit_component.hpp"

#include <algorithm>
#include <cstdio>

#include "membership/detection_bounds.hpp"
#include "net/stream.hpp"

namespace slatejunction::app {

fleet_rate_limit::LimitSpec spec_of(const rules::LimitSettings& settings, double largest_units) {
    return {settings.rate, settings.burst, settings.count == 1 ? largest_units : 1};
}

std::vector<std::string> stated(const operator_config::Options& options, std::size_t all,
                                double largest_units) {
    std::vector<std::string> lines;
    const double known = membership::detection_bound_s(all, options.membership.interval_s);
    for (const rules::LimitSettings& one : options.rules.limits) {
        if (one.scope != 1) continue;
        const auto b = fleet_rate_limit::error_bound(spec_of(one, largest_units),
                                                     options.fleet_rate_limits.credit, all, 1, known);
        char text[400];
        std::snprintf(
            text, sizeof text,
            "limit %s over %zu ingresses: %g a second, burst %g; beyond that in any window at most: %.1f "
            "healthy, %.1f more while answers are late or lost, %.1f one ingress cut off, %.1f a key's "
            "owner "
            "lost, and %.1f for each restart",
            one.name.c_str(), all, one.rate, one.burst, b.healthy, b.late_replies, b.partition,
            b.owner_lost, b.per_restart);
        lines.emplace_back(text);
    }
    return lines;
}

FleetRateLimitComponent::FleetRateLimitComponent(const std::string& name, std::vector<std::string> all,
                                                 double largest_units,
                                                 const operator_config::Options& options,
                                                 lease::FleetContext& fleet, std::uint64_t seed,
                                                 net::Timers& timers)
    : largest_units_(largest_units),
      fleet_(fleet),
      node_({name, std::move(all), options.fleet_rate_limits.credit,
             static_cast<std::size_t>(options.fleet_rate_limits.keys_max)},
            seed),
      timer_(timers, [this] {
          node_.on_timer(net::now());
          pump();
      }) {
    fleet_.listen(membership::Channel::rate_limits, [this](const membership::ReceivedMessage& message) {
        node_.on_datagram(net::now(), message.from, message.process, message.body);
        pump();
    });
    fleet_.on_membership_change([this](const std::vector<std::string>& alive) {
        node_.set_alive_members(net::now(), alive);
        pump();
    });
}

void FleetRateLimitComponent::stop(double, std::function<void()> done) {
    node_.on_timer(net::now());
    pump();
    stopped_ = true;
    timer_.disarm();
    done();
}

void FleetRateLimitComponent::define(std::uint32_t limit, const rules::LimitSettings& settings) {
    node_.define(limit, spec_of(settings, largest_units_));
}

double FleetRateLimitComponent::retry_after_s(double now, std::uint32_t limit, std::uint64_t key,
                                              double count) {
    return node_.retry_after_s(now, limit, key, count);
}

// Messages are sent after the current iteration of the loop, not within the request.
void FleetRateLimitComponent::consume(double now, std::uint32_t limit, std::uint64_t key, double count) {
    node_.consume(now, limit, key, count);
    if (const double deadline = node_.next_deadline(); deadline < 1e17 && !stopped_)
        timer_.arm(std::max(deadline, now));
}

void FleetRateLimitComponent::pump() {
    if (stopped_) return;
    for (const auto& message : node_.take_outgoing())
        fleet_.send(message.to, membership::Channel::rate_limits, message.body);
    if (const double deadline = node_.next_deadline(); deadline < 1e17)
        timer_.arm(std::max(deadline, net::now()));
    else
        timer_.disarm();
}

}   // namespace slatejunction::app
