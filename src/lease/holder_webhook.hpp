// A task's driver: while the lease is held its holder says so at an address outside, one call at a time,
// each with the fencing number. Whoever listens there refuses a number lower than one it has seen.
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
    // `permit` is asked right before the bytes of a call go out, on a connection that is up already.
    HolderWebhook(const std::string& url, double every_s, std::string name, double most_s,
                  std::function<bool(Permit&)> permit, net::Timers& timers, Log& log);
    ~HolderWebhook();
    void set_held(bool held);   // the lease is held from now on, or no longer
    std::uint64_t accepted() const { return taken_; }
    std::uint64_t fenced() const { return fenced_; }   // turned down for a number too low
    std::uint64_t failed() const { return failed_; }

  private:
    struct Link;
    void due();
    void ended(int status);   // 0: no answer

    remotewrite::Url url_;
    const double every_s_, most_s_;
    const std::string name_;
    const std::function<bool(Permit&)> permit_;
    Log& log_;
    net::Address address_;
    net::Timer timer_, most_;
    std::shared_ptr<Link> link_;
    bool held_ = false, failing_ = false;
    std::uint64_t sequence_ = 0, taken_ = 0, fenced_ = 0, failed_ = 0;
    Permit last_;
};

}   // namespace slatejunction::lease
