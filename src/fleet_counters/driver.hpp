// Carries the fleet's sums: cuts this ingress's counters when the wall clock says that a period has ended,
// tells them to the holder, and, where this is the holder, writes rows by remote write. Decides nothing.
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
        std::function<Values()> values;        // counters since the process began
        std::function<std::string()> holder;   // by name, as far as known; empty: nobody
        // Rows may be handed to the receiver now.
        std::function<bool()> permit;
        std::function<void(const std::string&to, const std::string&body)> send_report,
            send_register_message;
    };
    Driver(const Options& options, const remotewrite::Settings& receiver, std::string name,
           std::uint64_t process, const lease::LeaseTimes& times, const lease::AcceptorSet& voters,
           std::uint64_t seed, std::string version, Callbacks ways, net::Timers& timers, Log& log);

    void start();
    void stop();   // tells what there is to tell, once
    // Held under this number from now on; 0: no longer.
    void on_lease_held(std::uint64_t number);
    void set_acceptors(const lease::AcceptorSet& voters);
    void on_report_message(const std::string& from, std::string_view body);
    void on_register_message(const std::string& from, const lease::RegisterMessage& message);

    const Aggregator& aggregator() const { return aggregator_; }
    const Reporter& reporter() const { return reporter_; }
    std::uint64_t delivered_rows() const { return delivered_rows_; }   // handed to the receiver
    // Periods that have ended since the last one in which this ingress is in the sums, or since the start.
    std::uint64_t periods_behind() const {
        return last_period_ -
               std::min(last_period_, std::max(reporter_.acknowledged_period(), first_period_));
    }

  private:
    void record_ended_period();
    void send_report();
    void on_aggregator_timer();
    void flush();
    void deliver_rows();

    const Options options_;
    const remotewrite::Settings receiver_;
    const std::string name_, version_;
    const std::uint64_t process_, seed_;
    const Callbacks callbacks_;
    net::Timers& timers_;
    Log& log_;
    std::minstd_rand random_;   // of waits only
    Reporter reporter_;
    Aggregator aggregator_;
    std::shared_ptr<remotewrite::Layout> layout_;
    std::unique_ptr<remotewrite::Driver> writer_;   // while this is the holder
    std::deque<Row> pending_rows_;                  // for the lease's permit
    std::deque<Aggregator::Acknowledgement>
        pending_acknowledgements_;   // paced, so that no burst goes out to all
    net::Timer period_timer_, report_timer_, aggregator_timer_, acknowledgement_timer_;
    std::uint64_t delivered_rows_ = 0, last_period_ = 0, logged_resets_ = 0;
    std::uint64_t first_period_ = 0;
    std::uint64_t last_delivered_period_ = 0;   // the last row handed over by this writer
    bool flushing_ = false, stopped_ = false;
};

}   // namespace slatejunction::fleet_counters
