// Carries messages between this process and named others over one UDP socket, sealed: parents by their
// addresses in the operator's file, children by where their datagrams come from. Decides nothing.
//
// What is carried is sealed for one process. Whoever does not know the process at the other end says hello,
// sealed for nobody; such a one, or one for an earlier process, is only ever answered by who is here.
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
#include "net/datagrams.hpp"
#include "net/stream.hpp"
#include "net/timers.hpp"
#include "rollout/message.hpp"

namespace slatejunction::rollout {

using Logger = slatejunction::Log;   // `Log` is that of the changes here

class Transport {
  public:
    static constexpr std::size_t kMaxChildren = 8'192;   // whose addresses are remembered

    struct Settings {
        std::string name;
        std::string listen;                           // ADDRESS:PORT; empty: any port, no children
        std::map<std::string, std::string> parents;   // addresses by name
    };
    struct Counts {
        std::uint64_t sent = 0, sent_bytes = 0;   // datagrams, with what sealing adds
        std::uint64_t unsent = 0;                 // the system took them not, or nobody is known there
        std::uint64_t hellos = 0, unreadable = 0;
    };
    // `heard`: from whom, its process, the message's bytes.
    using MessageHandler = std::function<void(const std::string&, std::uint64_t, std::string_view)>;

    Transport(const Settings& settings, std::uint64_t process, const std::vector<membership::AuthKey>& keys,
              MessageHandler heard, net::Timers& timers, Logger& log);
    // Binds; while the address is held by another process it is tried again.
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
        std::uint64_t process = 0;   // 0: not known yet
        Body last_body;              // goes out again once the process is known
        double last_sent_at = -1e18;
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
    net::Datagrams socket_;
    net::Timer bind_timer_;
    bool bind_failure_logged_ = false;
    Counts counts_;
};

}   // namespace slatejunction::rollout
