// Sends and receives the authenticated datagrams of SwimMembership over one UDP socket, and passes user
// messages to the modules above by their channel. Listeners are called in the order of arrival. Nothing is
// retransmitted.
//
// Changes of members are logged in lines that begin with "peers: ". SwimMembership decides which members
// are alive. src/app/fleet_component owns the transport; the timers and the log must outlive it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "log/log.hpp"
#include "membership/settings.hpp"
#include "membership/swim.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"
#include "net/udp_socket.hpp"

namespace slatejunction::membership {

/// The module that a user message is for. The numeric values are part of the wire format and never reused.
enum class Channel : std::uint32_t {
    lease = 1,
    rate_limits = 2,
    verdicts = 3,   // reserved
    sites = 4,      // reserved
    registers = 5,
    fleet_counters = 6,
    counter_incarnation = 7,
    rollout = 8
};

class GossipTransport {
  public:
    using Listener = std::function<void(const ReceivedMessage&)>;
    /// `process` is the random id of this process, never 0. `seed` seeds the random choices of membership.
    GossipTransport(const Settings& settings, const std::vector<AuthKey>& keys, std::uint64_t process,
                    std::uint64_t seed, net::Timers& timers, Log& log);
    /// Binds the socket and joins the fleet. Retries while another process holds the address, such as the
    /// old one of a hot restart.
    void start();
    /// Announces the departure to other members, and closes the socket.
    void leave();
    void listen(Channel channel, Listener listener) {
        listeners_[static_cast<std::uint32_t>(channel)] = std::move(listener);
    }
    void on_change(std::function<void(const MemberChange&)> listener) {
        change_listeners_.push_back(std::move(listener));
    }
    /// Sends a user message once. Returns false if it was not sent (SwimMembership::send()).
    bool send(const std::string& name, Channel channel, std::string_view body);
    void set_keys(const std::vector<AuthKey>& keys) { auth_.set_keys(keys); }

    SwimMembership& members() { return members_; }
    const SwimMembership& members() const { return members_; }
    const DatagramAuth& auth() const { return auth_; }
    std::uint64_t process() const { return process_; }
    bool open() const { return socket_.open(); }

  private:
    void on_datagram(std::string_view bytes);
    void bind();
    void on_timer();
    void flush();
    void send_datagrams();
    bool deliver_messages();
    bool report_changes();
    void log_change(const MemberChange& change);
    void arm_timer();
    GSocketAddress* resolve(const std::string& text);

    const std::uint64_t process_;
    const std::string listen_address_;
    SwimMembership members_;
    DatagramAuth auth_;
    Log& log_;
    net::Timer timer_, bind_timer_;
    net::UdpSocket socket_;
    std::map<std::string, net::Address> addresses_;   // parsed addresses by their text
    std::map<std::uint32_t, Listener> listeners_;
    std::vector<std::function<void(const MemberChange&)>> change_listeners_;
    bool bind_failure_logged_ = false, flushing_ = false, departed_ = false;
};

}   // namespace slatejunction::membership
