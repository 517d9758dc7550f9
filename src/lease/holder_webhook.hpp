// Announces the holder of a lease at an HTTP endpoint outside the fleet. It makes one POST call at a time,
// each with the fencing token.
//
// While the lease is held, a call is made every interval_s. The permit is checked right before the bytes of
// the call are sent, on a connection that is already open, so no call begins without a permit. If the
// process is suspended between the check and the send, the receiver has to reject the call: it must refuse
// a token lower than the highest it has seen, with status 409.
//
// Each call is logged as the events act_begin and act_end. accepted(), fenced() and failed() are exported
// as metrics. src/app/fleet_component owns the webhook and calls set_held().
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/message.hpp"
#include "lease/lease_node.hpp"
#include "log/log.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"
#include "remotewrite/settings.hpp"

namespace slatejunction::lease {

class HolderWebhook {
  public:
    /// `interval_s` is the time from the end of a call to the next one, `call_timeout_s` the longest time
    /// that a call may take. `permit` returns false if a call must not begin. `timers` and `log` must
    /// outlive this object.
    HolderWebhook(const std::string& url, double interval_s, std::string holder_name, double call_timeout_s,
                  std::function<bool(Permit&)> permit, net::Timers& timers, Log& log);
    ~HolderWebhook();
    HolderWebhook(const HolderWebhook&) = delete;
    HolderWebhook& operator=(const HolderWebhook&) = delete;
    /// Starts the calls, or stops them and aborts a call in progress.
    void set_held(bool held);
    std::uint64_t accepted() const { return accepted_; }
    std::uint64_t fenced() const { return fenced_; }   ///< rejected because the token was too low
    std::uint64_t failed() const { return failed_; }

  private:
    struct Connection;
    // Outcomes of a call without a response, used in place of a status code.
    static constexpr int kNoResponse = 0, kNotPermitted = -1;
    void start_call();
    void on_call_finished(int status);
    void on_call_timeout();
    void log_call_begin() const;
    void log_call_end(int status) const;

    remotewrite::Url url_;
    const double interval_s_, call_timeout_s_;
    const std::string holder_name_;
    const std::function<bool(Permit&)> permit_;
    Log& log_;
    net::Address address_;
    net::Timer interval_timer_, call_timeout_timer_;
    std::shared_ptr<Connection> connection_;
    bool held_ = false, failure_logged_ = false;
    std::uint64_t sequence_ = 0, accepted_ = 0, fenced_ = 0, failed_ = 0;
    Permit last_permit_;
};

}   // namespace slatejunction::lease
