// Carries the datagrams of SwimMembership over one UDP socket, authenticated, and passes user messages
// to the modules above by channel.
//
// Inputs: the socket, timers, send().
// Output: calls of listeners, in the order of arrival.
// Never does: deciding who is alive, retransmitting. src/app/fleet_component owns it; timers and log
// must outlive it.
// Seen in: the log lines "peers: ...".
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

/// The module that a user message is for. The values are on the wire and never reused.
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
    /// `process`: drawn for this life of the process, never 0. `seed`: of all randomness of membership.
    GossipTransport(const Settings& settings, const std::vector<AuthKey>& keys, std::uint64_t process,
                    std::uint64_t seed, net::Timers& timers, Log& log);
    /// Binds and joins; tries again while another process (a hot restart's old one) holds the address.
    void start();
    /// Tells the others and closes the socket.
    void leave();
    void listen(Channel channel, Listener listener) {
        listeners_[static_cast<std::uint32_t>(channel)] = std::move(listener);
    }
    void on_change(std::function<void(const MemberChange&)> call) {
        change_listeners_.push_back(std::move(call));
    }
    /// Sends one user message, once. False: it was not sent.
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
    std::map<std::string, net::Address> addresses_;   // parsed, by text
    std::map<std::uint32_t, Listener> listeners_;
    std::vector<std::function<void(const MemberChange&)>> change_listeners_;
    bool bind_failure_logged_ = false, flushing_ = false, departed_ = false;
};

}   // namespace slatejunction::membership
