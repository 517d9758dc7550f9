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
            one.name.c_str(), all, one.rate, one.burst, b.healthy, b.late_replies, b.partition, b.owner_lost,
            b.per_restart);
        lines.emplace_back(text);
    }
    return lines;
}

LimitsPart::LimitsPart(const std::string& name, std::vector<std::string> all, double largest_units,
                       const operator_config::Options& options, lease::FleetContext& fleet,
                       std::uint64_t seed, net::Timers& timers)
    : largest_units_(largest_units),
      fleet_(fleet),
      room_({name, std::move(all), options.fleet_rate_limits.credit,
             static_cast<std::size_t>(options.fleet_rate_limits.keys_max)},
            seed),
      timer_(timers, [this] {
          room_.on_timer(net::now());
          pump();
      }) {
    fleet_.listen(membership::Channel::rate_limits, [this](const membership::ReceivedMessage& heard) {
        room_.on_datagram(net::now(), heard.from, heard.process, heard.body);
        pump();
    });
    fleet_.on_members([this](const std::vector<std::string>& there) {
        room_.set_alive_members(net::now(), there);
        pump();
    });
}

void LimitsPart::stop(double, std::function<void()> done) {
    room_.on_timer(net::now());
    pump();
    stopped_ = true;
    timer_.disarm();
    done();
}

void LimitsPart::define(std::uint32_t limit, const rules::LimitSettings& settings) {
    room_.define(limit, spec_of(settings, largest_units_));
}

double LimitsPart::retry_after_s(double now, std::uint32_t limit, std::uint64_t key, double count) {
    return room_.retry_after_s(now, limit, key, count);
}

// What is to be told goes out when this wake-up of the loop is over, not in the request's way.
void LimitsPart::consume(double now, std::uint32_t limit, std::uint64_t key, double count) {
    room_.consume(now, limit, key, count);
    if (const double due = room_.next_deadline(); due < 1e17 && !stopped_) timer_.arm(std::max(due, now));
}

void LimitsPart::pump() {
    if (stopped_) return;
    for (const auto& post : room_.take_outgoing())
        fleet_.send(post.to, membership::Channel::rate_limits, post.body);
    if (const double due = room_.next_deadline(); due < 1e17)
        timer_.arm(std::max(due, net::now()));
    else
        timer_.disarm();
}

}   // namespace slatejunction::app
