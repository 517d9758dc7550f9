// FleetComponent, measures of membership, leases and fleet counters.
#include <array>
#include <utility>

#include "app/fleet_component.hpp"
#include "lease/boot_clock.hpp"

namespace slatejunction::app {

using lease::boot_clock_s;

// Adds what a counter grew by since the last call.
void FleetComponent::add_increase(metrics::Measures& m, metrics::Id id, std::uint64_t now,
                                  std::size_t label) {
    std::uint64_t& seen = counted_[{id, label}];
    if (now <= seen) return;
    m.add(id, label, static_cast<double>(now - seen));
    seen = now;
}

void FleetComponent::count(metrics::Measures& m) {
    using metrics::Id;
    const auto set = [&](Id id, double value, std::size_t label = 0) { m.set(id, value, label); };
    std::array<double, metrics::kMemberStates.size()> states{};
    double disputed = 0;
    for (const membership::Member& one : peers_.members().list()) {
        ++states[static_cast<std::size_t>(one.state)];
        disputed += one.name_conflict;
    }
    for (std::size_t i = 0; i < states.size(); ++i) set(Id::peers_members, states[i], i);
    set(Id::peers_disputed, disputed);
    const membership::TrafficCounts& tally = peers_.members().traffic();
    add_increase(m, Id::peers_sent, tally.sent);
    add_increase(m, Id::peers_sent_bytes, tally.sent_bytes);
    constexpr std::size_t kRead = 2;   // kinds of opened datagrams that are read
    for (std::size_t i = kRead; i < membership::kOpenResultNames.size(); ++i)
        add_increase(m, Id::peers_dropped, peers_.auth().counts()[i], i - kRead);
    add_increase(m, Id::peers_dropped, tally.rate_limited, metrics::kPeerDropReasons.size() - 1);
    if (leases_) count_leases(m);
}

void FleetComponent::count_leases(metrics::Measures& m) {
    using metrics::Id;
    const auto set = [&](Id id, double value, std::size_t label = 0) { m.set(id, value, label); };
    const double now = boot_clock_s();
    double held = 0;
    for (const lease::LeaseStatus& one : leases_->statuses())
        held += one.state == lease::Candidate::State::held;
    set(Id::lease_held, held);
    set(Id::lease_no_quorum,
        leases_->has_quorum(now, kQuorumGrantLifetimes * options_.lease.times.grant_duration_s) ? 0 : 1);
    add_increase(m, Id::lease_changes, leases_->gained(), 0);
    add_increase(m, Id::lease_changes, leases_->lost(), 1);
    set(Id::drain_waits, draining_ && !drained_ ? 1 : 0);
    if (holder_webhook_) {
        add_increase(m, Id::lease_acts, holder_webhook_->accepted(), 0);
        add_increase(m, Id::lease_acts, holder_webhook_->fenced(), 1);
        add_increase(m, Id::lease_acts, holder_webhook_->failed(), 2);
    }
    if (!fleet_counters_) return;
    add_increase(m, Id::sums_rows, fleet_counters_->delivered_rows());
    add_increase(m, Id::sums_skipped, fleet_counters_->aggregator().skipped_periods());
    add_increase(m, Id::sums_left_out, fleet_counters_->reporter().dropped_requests());
    set(Id::sums_behind, static_cast<double>(fleet_counters_->periods_behind()));
}

}   // namespace slatejunction::app
