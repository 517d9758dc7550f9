// Sends the calls of SharedQuota and CounterIncarnation to the counter and passes the replies back, over
// one connection per shard and with one timer. Logs when a shard becomes unreachable or reachable again,
// and when the counter has lost its state. Makes no decisions of its own. Owned by app::QuotaComponent.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "log/log.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"
#include "quota/counter_incarnation.hpp"
#include "quota/counter_protocol.hpp"
#include "quota/settings.hpp"
#include "quota/shared_quota.hpp"

namespace slatejunction::quota {

/// Runs the shared quota of this process.
class Driver {
  public:
    /// `settings` come from make_settings() without an error. `timers` and `log` must outlive the driver.
    Driver(const Options& options, const Settings& settings, std::uint64_t seed, net::Timers& timers,
           Log& log);
    ~Driver();
    Driver(const Driver&) = delete;
    Driver& operator=(const Driver&) = delete;
    void start();
    /// Access to the fleet for CounterIncarnation.
    struct FleetCallbacks {
        /// Returns whether this ingress may act as the leader now.
        std::function<bool()> leader_may_act;
        /// Sends `body` to all ingresses if `broadcast`, else to the leader.
        std::function<void(bool broadcast, const std::string& body)> send;
    };
    /// Must be called before start(). The callbacks must stay valid for the driver's lifetime.
    void join_fleet(FleetCallbacks fleet);
    void on_leadership_change(bool is_leader);
    void on_message(std::string_view body);
    const CounterIncarnation* incarnation() const { return incarnation_ ? &*incarnation_ : nullptr; }
    /// Applies new addresses or another protocol; calls in flight then have an unknown result. Any other
    /// change, also one of the number of shards, takes effect at the next start only. Returns false if
    /// there is such a change.
    bool reload(const Options& options);

    /// As the functions of SharedQuota; `plan` is the plan's index in the settings.
    double retry_after_s(std::uint64_t customer, unsigned plan, IngressSet ingresses, double units);
    void consume(std::uint64_t customer, unsigned plan, IngressSet ingresses, double units);
    void release(std::uint64_t customer) { shared_quota_.release(customer); }

    const SharedQuota& shared_quota() const { return shared_quota_; }
    std::uint64_t calls_sent() const { return calls_sent_; }

  private:
    struct Connection;
    double now() const;   // Unix time (s)
    void pump();
    void send_calls();
    void arm_timer();
    void on_timer();
    void log_counter_state();
    void exchange_incarnation_events();

    Options options_;
    std::vector<std::string> shards_;
    std::vector<net::Address> addresses_;
    SharedQuota shared_quota_;
    std::optional<CounterIncarnation> incarnation_;
    FleetCallbacks fleet_;
    std::vector<std::int64_t> logged_generation_;   // by shard: generation in the last sentinel_seen event
    net::Timers& timers_;
    Log& log_;
    net::Timer timer_;
    std::vector<std::shared_ptr<Connection>> connections_;   // by shard; null if there is none
    std::vector<bool> logged_unreachable_;                   // by shard
    std::uint64_t logged_losses_ = 0;
    std::uint64_t calls_sent_ = 0;
    double timer_deadline_s_ = 0;   // on the clock of net::now()
    const double unix_offset_s_;    // Unix time at zero of net::now()
};

}   // namespace slatejunction::quota
