// Runs the fleet's counters in one ingress: records this ingress's counters when the wall clock says
// that a period has ended, reports them to the holder of the lease, and, where this is the holder,
// writes the rows by remote write.
//
// Inputs: timers, the wall clock, counters, messages of other ingresses.
// Output: messages, rows.
// Invariant: rows are handed to the receiver only while the lease permits it; those that are not go
// out by the next holder, as the acceptors have them.
// Seen in: log event `row`; delivered_rows() and periods_behind() as measures.
// Never does: deciding what is counted (Aggregator, Reporter). src/app/fleet_component owns it; timers
// and log must outlive it.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "fleet_counters/reporter.hpp"
#include "fleet_counters/settings.hpp"
#include "log/log.hpp"
#include "net/timers.hpp"
#include "remotewrite/driver.hpp"

namespace slatejunction::fleet_counters {

class Driver {
  public:
    struct Callbacks {
        std::function<CounterValues()> counter_values;   ///< counters since the process began
        std::function<std::string()> holder;    ///< name of the lease's holder; empty: none is known
        std::function<bool()> may_write_rows;   ///< whether rows may be handed to the receiver now
        std::function<void(const std::string&to, const std::string&body)> send_report,
            send_register_message;
    };
    /// `process`: identity drawn for this process, never 0. `name`: of this ingress.
    Driver(const Options& options, const remotewrite::Settings& receiver, std::string name,
           std::uint64_t process, const lease::LeaseTimes& times, const lease::AcceptorSet& acceptors,
           std::uint64_t seed, std::string version, Callbacks callbacks, net::Timers& timers, Log& log);

    void start();
    /// Reports what is not acknowledged a last time, and stops.
    void stop();
    /// The lease is held under this token from now on; 0: no longer.
    void on_lease_held(std::uint64_t fencing_token);
    void set_acceptors(const lease::AcceptorSet& acceptors);
    void on_report_message(const std::string& from, std::string_view body);
    void on_register_message(const std::string& from, const lease::RegisterMessage& message);

    const Aggregator& aggregator() const { return aggregator_; }
    const Reporter& reporter() const { return reporter_; }
    /// Rows handed to the receiver.
    std::uint64_t delivered_rows() const { return delivered_rows_; }
    /// Periods that have ended since the last one in which this ingress is counted, or since the start.
    std::uint64_t periods_behind() const {
        const std::uint64_t counted = std::max(reporter_.acknowledged_period(), first_period_);
        return last_period_ - std::min(last_period_, counted);
    }

  private:
    void record_ended_period();
    void send_report();
    void on_aggregator_timer();
    void flush();
    void take_aggregator_output();
    void deliver_rows();
    void deliver_row(const Row& row);
    void send_acknowledgements();
    void log_reset();
    void arm_aggregator_timer();
    double draw(double from, double to) {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }

    const Options options_;
    const remotewrite::Settings receiver_;
    const std::string name_, version_;
    const std::uint64_t process_, seed_;
    const Callbacks callbacks_;
    net::Timers& timers_;
    Log& log_;
    std::minstd_rand random_;   // jitter only
    Reporter reporter_;
    Aggregator aggregator_;
    std::shared_ptr<remotewrite::Layout> layout_;
    std::unique_ptr<remotewrite::Driver> writer_;   // while this is the holder
    std::deque<Row> pending_rows_;                  // for the lease's permit
    std::deque<Aggregator::Acknowledgement> pending_acknowledgements_;
    net::Timer period_timer_, report_timer_, aggregator_timer_, acknowledgement_timer_;
    std::uint64_t delivered_rows_ = 0, logged_resets_ = 0;
    std::uint64_t first_period_ = 0, last_period_ = 0;   // ended, since the start
    std::uint64_t last_delivered_period_ = 0;            // by this writer
    bool flushing_ = false, stopped_ = false;
};

}   // namespace slatejunction::fleet_counters
