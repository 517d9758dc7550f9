// Runs the fleet's counters in one ingress: records the counters of this ingress at the end of each period
// of the wall clock and reports them to the holder of the lease. If this ingress is the holder, it writes
// the rows by remote write.
//
// - Inputs: timers, the wall clock, counters, messages of other ingresses.
// - Outputs: messages, rows.
// - Observability: log event `row`; delivered_rows() and periods_behind() as metrics.
//
// Invariant: rows are handed to the receiver only while the lease permits it. The next holder writes the
// others, which the acceptors have stored.
//
// Aggregator and Reporter decide what is counted. src/app/fleet_component owns the driver; the timers and
// the log must outlive it.
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
        std::function<CounterValues()> counter_values;   ///< counters since the start of the process
        std::function<std::string()> holder;    ///< name of the holder of the lease; empty: unknown
        std::function<bool()> may_write_rows;   ///< whether rows may be handed to the receiver now
        std::function<void(const std::string&to, const std::string&body)> send_report,
            send_register_message;
    };
    /// `process` is the random id of this process, never 0; `name` is the name of this ingress.
    Driver(const Options& options, const remotewrite::Settings& receiver, std::string name,
           std::uint64_t process, const lease::LeaseTimes& times, const lease::AcceptorSet& acceptors,
           std::uint64_t seed, std::string version, Callbacks callbacks, net::Timers& timers, Log& log);

    void start();
    /// Sends a final report of the unacknowledged counters, and stops.
    void stop();
    /// To be called when the lease is acquired under this token, or with 0 when it is lost.
    void on_lease_held(std::uint64_t fencing_token);
    void set_acceptors(const lease::AcceptorSet& acceptors);
    void on_report_message(const std::string& from, std::string_view body);
    void on_register_message(const std::string& from, const lease::RegisterMessage& message);

    const Aggregator& aggregator() const { return aggregator_; }
    const Reporter& reporter() const { return reporter_; }
    /// Number of rows handed to the receiver.
    std::uint64_t delivered_rows() const { return delivered_rows_; }
    /// Number of periods that have ended since the last one for which this ingress was counted, or since
    /// the start.
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
    std::unique_ptr<remotewrite::Driver> writer_;   // only while this ingress is the holder
    std::deque<Row> pending_rows_;                  // until the lease permits writing them
    std::deque<Aggregator::Acknowledgement> pending_acknowledgements_;
    net::Timer period_timer_, report_timer_, aggregator_timer_, acknowledgement_timer_;
    std::uint64_t delivered_rows_ = 0, logged_resets_ = 0;
    std::uint64_t first_period_ = 0, last_period_ = 0;   // last ended period, at the start and now
    std::uint64_t last_delivered_period_ = 0;            // by writer_
    bool flushing_ = false, stopped_ = false;
};

}   // namespace slatejunction::fleet_counters
