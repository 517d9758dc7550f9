// Sends and receives authenticated messages over one UDP socket: to and from parents at the addresses of
// the operator's file, and children at the address of their last datagram.
//
// Every datagram is authenticated for one process (membership::DatagramAuth). A sender that does not know
// the process id of the receiver sends a hello that is addressed to no process. A hello, or a datagram for
// an earlier process, is answered with the identity of this process and otherwise ignored. Owned by Driver.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "log/log.hpp"
#include "membership/datagram_auth.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"
#include "net/udp_socket.hpp"
#include "rollout/message.hpp"

namespace slatejunction::rollout {

/// The program's logger; rollout::Log is the replicated log.
using Logger = slatejunction::Log;

class Transport {
  public:
    static constexpr std::size_t kMaxChildren = 8'192;   // whose addresses are kept

    struct Settings {
        std::string name;
        std::string listen;                           // ADDRESS:PORT; empty: any port, no children
        std::map<std::string, std::string> parents;   // ADDRESS:PORT by name
    };
    struct Counts {
        std::uint64_t sent = 0, sent_bytes = 0;   // datagrams; bytes including authentication
        std::uint64_t unsent = 0;      // rejected by the operating system, or without a known address
        std::uint64_t hellos = 0;      // sent
        std::uint64_t malformed = 0;   // authenticated datagrams with malformed content
    };
    /// Called with the name of the sender, the id of its process, and the encoded message.
    using MessageHandler = std::function<void(const std::string&, std::uint64_t, std::string_view)>;

    Transport(const Settings& settings, std::uint64_t process, const std::vector<membership::AuthKey>& keys,
              MessageHandler on_message, net::Timers& timers, Logger& log);
    /// Binds the socket, and retries every kBindRetryIntervalS if that fails, for example while another
    /// process still uses the address.
    void start();
    void stop();
    void send(const std::string& to, const Body& body);
    void set_keys(const std::vector<membership::AuthKey>& keys) { auth_.set_keys(keys); }

    bool is_parent(const std::string& name) const { return parents_.contains(name); }
    const Counts& counts() const { return counts_; }
    const membership::DatagramAuth& auth() const { return auth_; }

  private:
    struct Parent {
        net::Address address;
        std::uint64_t process = 0;   // 0: unknown
        Body last_body;              // sent again once the process is known
        double last_sent_at = -kNever;
        bool name_mismatch_logged = false;
    };
    struct Child {
        net::Sender address;
        std::uint64_t process = 0;
        double last_contact_at = 0;
    };
    void bind();
    void on_datagram(std::string_view bytes, const net::Sender& from);
    void on_parent_process(std::uint64_t process, const std::string& name);
    void update_child(const std::string& name, std::uint64_t process, const net::Sender& from);
    std::string encode_datagram(std::uint32_t kind, std::string_view body) const;
    void send_to_parent(Parent& parent, std::uint64_t process, const std::string& payload);
    void count(bool sent, std::size_t bytes);

    const Settings settings_;
    membership::DatagramAuth auth_;
    const MessageHandler on_message_;
    Logger& log_;
    std::map<std::string, Parent> parents_;
    std::map<std::string, Child> children_;
    net::UdpSocket socket_;
    net::Timer bind_timer_;
    bool bind_failure_logged_ = false;
    Counts counts_;
};

}   // namespace slatejunction::rollout
