#include "rollout/transport.hpp"

#include <algorithm>
#include <utility>

#include "transport.pb.h"

namespace slatejunction::rollout {
namespace {

constexpr double kBindRetryIntervalS = 0.1;
constexpr double kMaxResendAgeS = 2;   // an older message is not sent again once the process is known

// The values are part of the wire format.
enum DatagramKind : std::uint32_t {
    hello = 1,      // asks for the identity of the receiver
    identity = 2,   // answers with the name and process of the sender
    data = 3        // carries a message of rollout.proto
};

net::Address any_port(GSocketFamily family) {
    const net::Ref<GInetAddress> any(g_inet_address_new_any(family));
    return net::Address(g_inet_socket_address_new(any.get(), 0));
}

bool is_plain_name(const std::string& name) {
    return !name.empty() && name.size() <= kMaxNameBytes &&
           std::all_of(name.begin(), name.end(),
                       [](char c) { return c > ' ' && c < 127 && c != '"' && c != '\\'; });
}

}   // namespace

Transport::Transport(const Settings& settings, std::uint64_t process,
                     const std::vector<membership::AuthKey>& keys, MessageHandler on_message,
                     net::Timers& timers, Logger& log)
    : settings_(settings),
      auth_(keys, process),
      on_message_(std::move(on_message)),
      log_(log),
      socket_(timers,
              [this](std::string_view bytes, const net::Sender& from) { on_datagram(bytes, from); }),
      bind_timer_(timers, [this] { bind(); }) {
    for (const auto& [name, address] : settings_.parents)
        parents_[name].address = net::parse_address(address);
}

void Transport::start() { bind(); }

void Transport::bind() {
    // Without children, any port of the address family of the parents.
    GSocketFamily family = G_SOCKET_FAMILY_IPV4;
    for (const auto& [name, parent] : parents_) family = g_socket_address_get_family(parent.address.get());
    const net::Address address =
        settings_.listen.empty() ? any_port(family) : net::parse_address(settings_.listen);
    std::string error;
    if (socket_.start(address.get(), error)) {
        if (!settings_.listen.empty())
            log_.write(Logger::Level::info, net::now(), "rollout: listening for children on %s",
                       settings_.listen.c_str());
        return;
    }
    if (!std::exchange(bind_failure_logged_, true))
        log_.write(Logger::Level::warning, net::now(), "rollout: cannot listen on %s, retrying: %s",
                   settings_.listen.c_str(), error.c_str());
    bind_timer_.arm(net::now() + kBindRetryIntervalS);
}

void Transport::stop() {
    bind_timer_.disarm();
    socket_.stop();
}

std::string Transport::encode_datagram(std::uint32_t kind, std::string_view body) const {
    kept::Datagram datagram;
    datagram.set_kind(kind);
    datagram.set_name(settings_.name);
    datagram.set_body(body.data(), body.size());
    return datagram.SerializeAsString();
}

void Transport::count(bool sent, std::size_t bytes) {
    if (!sent) {
        ++counts_.unsent;
        return;
    }
    ++counts_.sent;
    counts_.sent_bytes += bytes;
}

void Transport::send_to_parent(Parent& parent, std::uint64_t process, const std::string& payload) {
    const std::string bytes = auth_.seal(process, payload);
    count(socket_.send(parent.address.get(), bytes), bytes.size());
}

void Transport::send(const std::string& to, const Body& body) {
    if (const auto at = parents_.find(to); at != parents_.end()) {
        Parent& parent = at->second;
        parent.last_body = body;
        parent.last_sent_at = net::now();
        if (parent.process != 0)
            return send_to_parent(parent, parent.process, encode_datagram(data, *body));
        ++counts_.hellos;
        return send_to_parent(parent, 0, encode_datagram(hello, {}));
    }
    const auto at = children_.find(to);
    if (at == children_.end()) return count(false, 0);
    const std::string bytes = auth_.seal(at->second.process, encode_datagram(data, *body));
    count(socket_.send(at->second.address, bytes), bytes.size());
}

void Transport::on_datagram(std::string_view bytes, const net::Sender& from) {
    std::uint64_t process = 0;
    std::string_view payload;
    const membership::OpenResult opened = auth_.open(bytes, process, payload);
    if (opened == membership::OpenResult::not_for_this_process) {
        // Addressed to no process, or to an earlier one and possibly replayed: answered with the identity
        // only.
        const std::string answer = auth_.seal(process, encode_datagram(identity, {}));
        return count(socket_.send(from, answer), answer.size());
    }
    if (opened != membership::OpenResult::accepted) return;
    kept::Datagram received;
    if (!received.ParseFromArray(payload.data(), static_cast<int>(payload.size())) ||
        !is_plain_name(received.name())) {
        ++counts_.malformed;
        return;
    }
    if (received.kind() == identity) return on_parent_process(process, received.name());
    if (received.kind() != data) return;
    if (!is_parent(received.name())) update_child(received.name(), process, from);
    on_message_(received.name(), process, received.body());
}

// Stores the process of a parent and sends the last message again if it is recent.
void Transport::on_parent_process(std::uint64_t process, const std::string& name) {
    const auto at = parents_.find(name);
    if (at == parents_.end()) {
        if (!parents_.empty() && !std::exchange(parents_.begin()->second.name_mismatch_logged, true))
            log_.write(
                Logger::Level::warning, net::now(),
                "rollout: a parent address in the setting `from` of [rollout] answered as %s, which is not "
                "listed there",
                name.c_str());
        return;
    }
    Parent& parent = at->second;
    if (parent.process == process) return;
    parent.process = process;
    if (parent.last_body && net::now() - parent.last_sent_at <= kMaxResendAgeS)
        send_to_parent(parent, process, encode_datagram(data, *parent.last_body));
}

void Transport::update_child(const std::string& name, std::uint64_t process, const net::Sender& from) {
    if (settings_.listen.empty()) return;
    if (children_.size() >= kMaxChildren && !children_.contains(name)) {
        const auto oldest =
            std::min_element(children_.begin(), children_.end(), [](const auto& a, const auto& b) {
                return a.second.last_contact_at < b.second.last_contact_at;
            });
        children_.erase(oldest);
    }
    children_[name] = {from, process, net::now()};
}

}   // namespace slatejunction::rollout
