// Carries SharedQuota's and CounterIncarnation's calls to the counter and the replies back: one connection
// for each part, one timer. Logs when a part becomes unreachable, answers again, or has lost its state.
// Decides nothing; owned by app::QuotaComponent.
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

/// The shared quota of this process.
class Driver {
  public:
    /// `settings`: of make_settings(), without a fault. `timers` and `log` outlive the driver.
    Driver(const Options& options, const Settings& settings, std::uint64_t seed, net::Timers& timers,
           Log& log);
    ~Driver();
    Driver(const Driver&) = delete;
    Driver& operator=(const Driver&) = delete;
    void start();
    /// What CounterIncarnation needs of the fleet.
    struct FleetCallbacks {
        std::function<bool()> leader_may_act;   ///< whether this ingress may act as the leader now
        /// Sends `body` to all ingresses if `broadcast`, else to the leader.
        std::function<void(bool broadcast, const std::string& body)> send;
    };
    /// Before start(); the callbacks are valid as long as the driver.
    void join_fleet(FleetCallbacks fleet);
    void on_leadership_change(bool is_leader);
    void on_message(std::string_view body);
    const CounterIncarnation* incarnation() const { return incarnation_ ? &*incarnation_ : nullptr; }
    /// Moves to other addresses or the other protocol; the result of calls in flight is unknown then. Any
    /// other change waits for the next start. False: there is a change of that kind.
    bool reload(const Options& options);

    /// As of SharedQuota; `plan`: its index in the settings.
    double retry_after_s(std::uint64_t customer, unsigned plan, IngressSet ingresses, double units);
    void consume(std::uint64_t customer, unsigned plan, IngressSet ingresses, double units);
    void release(std::uint64_t customer) { shared_quota_.release(customer); }

    const SharedQuota& shared_quota() const { return shared_quota_; }
    std::uint64_t calls_sent() const { return calls_sent_; }

  private:
    struct Connection;
    double now() const;   // s, Unix: of the clock that all ingresses read
    void pump();
    void send_calls();
    void arm_timer();
    void on_timer();
    void log_counter_state();
    void exchange_incarnation_events();

    Options options_;
    std::vector<std::string> parts_;
    std::vector<net::Address> addresses_;
    SharedQuota shared_quota_;
    std::optional<CounterIncarnation> incarnation_;
    FleetCallbacks fleet_;
    std::vector<std::int64_t> logged_generation_;   // by part: of the last sentinel_seen event
    net::Timers& timers_;
    Log& log_;
    net::Timer timer_;
    std::vector<std::shared_ptr<Connection>> connections_;   // by part; null: none
    std::vector<bool> logged_unreachable_;                   // by part
    std::uint64_t logged_losses_ = 0;
    std::uint64_t calls_sent_ = 0;
    double timer_deadline_s_ = 0;   // on the clock of net::now()
    const double unix_offset_s_;    // Unix time at zero of net::now()
};

}   // namespace slatejunction::quota
