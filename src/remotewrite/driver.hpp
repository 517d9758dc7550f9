// Carries a Sender's batches to its receiver: one connection, one timer. Decides nothing of its own.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "log/log.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"
#include "remotewrite/backlog.hpp"
#include "remotewrite/sender.hpp"

namespace slatejunction::remotewrite {

class Driver {
  public:
    // `version` is the program's, for the User-Agent field. Throws std::runtime_error for settings that
    // can't be used, which their checks have found before, and storage::Error for a backlog's folder.
    Driver(const Settings& settings, std::uint64_t seed, std::string version, net::Timers& timers,
           Log& log);
    ~Driver();

    // Takes new settings; what waits goes to the receiver that they name.
    void configure(const Settings& settings);
    void add(Frame frame);
    // Once all that waits has been taken, or after `most_s`, calls `done`. No more frames may come.
    void finish(double most_s, std::function<void()> done);

    Sender& sender() { return sender_; }
    const Sender& sender() const { return sender_; }
    bool durable() const { return backlog_ != nullptr; }   // what waits outlives the process
    double last_success_unix_s() const { return last_success_; }

  private:
    struct Link;
    void pump();
    void post(const Batch& batch);
    void ended(const Answer& answer, const std::string& what);
    void due();
    void arm();
    void keep();

    Settings settings_;
    Url url_;
    std::string authorization_;
    const std::string version_;
    net::Address address_;
    Sender sender_;
    std::unique_ptr<Backlog> backlog_;
    bool told_failing_ = false;
    Log& log_;
    net::Timers& timers_;
    net::Timer timer_, keep_timer_;
    std::shared_ptr<Link> link_;
    double until_ = 0;   // of the batch that is out
    double last_success_ = 0;
    bool failing_ = false;   // the log has told that the receiver takes nothing
    std::function<void()> done_;
    double finish_by_ = 0;
};

}   // namespace slatejunction::remotewrite
