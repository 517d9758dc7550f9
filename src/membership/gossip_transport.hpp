// Carries Members' datagrams over one UDP socket, sealed. Decides nothing. Rooms above send and hear by
// channels of their own.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "log/log.hpp"
#include "membership/settings.hpp"
#include "membership/swim.hpp"
#include "net/datagrams.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"

namespace slatejunction::membership {

// One for each room above; a number is never used for anything else.
enum class Channel : std::uint32_t {
    lease = 1,
    rate_limits = 2,
    verdicts = 3,
    sites = 4,
    registers = 5,
    fleet_counters = 6,
    counter_incarnation = 7,
    rollout = 8
};

class GossipTransport {
  public:
    using Listener = std::function<void(const ReceivedMessage&)>;
    GossipTransport(const Settings& settings, const std::vector<AuthKey>& keys, std::uint64_t process,
                    std::uint64_t seed, net::Timers& timers, Log& log);
    // Binds, and joins. While the address is held by another process (the old one of an upgrade) it is
    // tried again.
    void start();
    void leave();   // tells the others and lets the address go
    void listen(Channel channel, Listener listener) {
        listeners_[static_cast<std::uint32_t>(channel)] = std::move(listener);
    }
    void on_change(std::function<void(const MemberChange&)> call) { changed_.push_back(std::move(call)); }
    bool send(const std::string& name, Channel channel, std::string_view body);
    void set_keys(const std::vector<AuthKey>& keys) { seal_.set_keys(keys); }

    SwimMembership& members() { return members_; }
    const SwimMembership& members() const { return members_; }
    const DatagramAuth& seal() const { return seal_; }
    std::uint64_t process() const { return process_; }
    bool open() const { return socket_.open(); }

  private:
    void taken(std::string_view bytes);
    void bind();
    void due();
    void pump();
    GSocketAddress* address(const std::string& text);

    const std::uint64_t process_;
    const std::string listen_;
    SwimMembership members_;
    DatagramAuth seal_;
    Log& log_;
    net::Timer timer_, bind_timer_;
    net::Datagrams socket_;
    std::map<std::string, net::Address> addresses_;
    std::map<std::uint32_t, Listener> listeners_;
    std::vector<std::function<void(const MemberChange&)>> changed_;
    bool told_held_ = false, pumping_ = false, left_ = false;
};

}   // namespace slatejunction::membership
