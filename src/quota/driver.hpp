// Carries a Bank's calls to the counter and its answers back: a connection for each part, one timer.
// Decides nothing.
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

class Driver {
  public:
    // `settings` as settings_of() made them, without a fault.
    Driver(const Options& options, const Settings& settings, std::uint64_t seed, net::Timers& timers,
           Log& log);
    ~Driver();
    void start();
    // The sentinel's way to the others; before start(). Lives longer.
    struct FleetCallbacks {
        std::function<bool()> permit;   // an act of the conductor's may begin
        std::function<void(bool all, const std::string& body)> send;   // else to the conductor
    };
    void join_fleet(FleetCallbacks ways);
    void on_leadership_change(bool on);
    void on_message(std::string_view body);
    const CounterIncarnation* incarnation() const { return sentinel_ ? &*sentinel_ : nullptr; }
    // Moves to other addresses or the other protocol; what is out at the old ones may or may not have been
    // added. What else has changed waits for the next start. False: there is a change of that kind.
    bool reload(const Options& options);

    // See Bank; `plan`: its number in the settings.
    double retry_after_s(std::uint64_t customer, unsigned plan, IngressSet doors, double units);
    void consume(std::uint64_t customer, unsigned plan, IngressSet doors, double units);
    void release(std::uint64_t customer) { bank_.release(customer); }

    const SharedQuota& shared_quota() const { return bank_; }
    std::uint64_t calls() const { return calls_; }

  private:
    struct Link;
    double now() const;   // s of the clock that all ingresses read
    void pump();
    void close(std::size_t part);
    void due();
    void tell();
    void pump_sentinel();

    Options options_;
    std::vector<std::string> parts_;
    std::vector<net::Address> addresses_;
    SharedQuota bank_;
    std::optional<CounterIncarnation> sentinel_;
    FleetCallbacks ways_;
    std::vector<std::int64_t> seen_;   // by part: the generation in which the sentinel was last seen first
    net::Timers& timers_;
    Log& log_;
    net::Timer timer_;
    std::vector<std::shared_ptr<Link>> links_;   // by part; null: no connection
    std::vector<bool> told_lost_;
    std::uint64_t told_empties_ = 0, calls_ = 0;
    double armed_for_ = 0;   // of net::now()
    const double unix_at_zero_;
};

}   // namespace slatejunction::quota
