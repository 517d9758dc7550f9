// Sends the batches of a Sender to its receiver with HTTP/1.1 on one connection; the Sender makes all
// decisions. Owns the sender and its backlog. Owned by telemetry::Telemetry and fleet_counters::Driver.
// Times are in s of net::now(). Observability: the log lines "remote write: ...".
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
    /// `version` is that of the program, for the User-Agent field. Throws std::runtime_error for settings
    /// that can't be used, and storage::Error for the backlog's directory.
    Driver(const Settings& settings, std::uint64_t seed, std::string version, net::Timers& timers,
           Log& log);
    ~Driver();
    Driver(const Driver&) = delete;
    Driver& operator=(const Driver&) = delete;

    /// Applies new settings; waiting frames go to the receiver of the new settings. Throws
    /// std::runtime_error for settings that can't be used.
    void configure(const Settings& settings);
    void add(Frame frame);
    /// Calls `done` once all frames are sent or dropped, after `max_wait_s` (s) at the latest. No frames
    /// may be added afterwards.
    void finish(double max_wait_s, std::function<void()> done);

    Sender& sender() { return sender_; }
    const Sender& sender() const { return sender_; }
    bool durable() const { return backlog_ != nullptr; }   // frames are also stored on disk
    double last_success_unix_s() const { return last_success_unix_s_; }

  private:
    struct Connection;
    void pump();
    void send(const Batch& batch);
    void on_answer(const Answer& answer, const std::string& what);
    void on_timer();
    void arm();
    void store_frames();

    Settings settings_;
    Url url_;
    std::string authorization_;
    const std::string version_;
    net::Address address_;
    Sender sender_;
    std::unique_ptr<Backlog> backlog_;
    bool backlog_failure_logged_ = false;
    Log& log_;
    net::Timers& timers_;
    net::Timer timer_, store_timer_;
    std::shared_ptr<Connection> connection_;
    double batch_timeout_at_ = 0;   // s; when the batch in flight times out
    double last_success_unix_s_ = 0;
    bool failure_logged_ = false;   // the current failure of the receiver was logged
    std::function<void()> done_;
    double finish_by_ = 0;
};

}   // namespace slatejunction::remotewrite
