// A UDP socket that is read in the event loop.
//
// Calls back for each received datagram, at most kMaxReadsPerWakeup times in one iteration of the loop, so
// that a flood of datagrams does not starve other sources. Datagrams longer than the buffer are truncated.
//
// Owned by the transports of membership and rollout.
#pragma once

#include <sys/socket.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "net/glib.hpp"
#include "net/timers.hpp"

namespace slatejunction::net {

/// The source address of a datagram; not authenticated.
struct Sender {
    sockaddr_storage address{};
    socklen_t size = 0;
    bool operator==(const Sender& other) const;
};
Sender sender_of(GSocketAddress* address);

class UdpSocket {
  public:
    static constexpr int kMaxReadsPerWakeup = 32;

    UdpSocket(Timers& timers, std::function<void(std::string_view)> on_datagram)
        : timers_(timers), on_datagram_(std::move(on_datagram)) {}
    UdpSocket(Timers& timers, std::function<void(std::string_view, const Sender&)> on_datagram)
        : timers_(timers), on_datagram_from_(std::move(on_datagram)) {}
    /// Binds the socket to `address` and starts reading. Returns false with the reason in `error`.
    bool start(GSocketAddress* address, std::string& error);
    void stop();
    bool open() const { return socket_ != nullptr; }
    /// Returns false if the socket is closed or the system did not accept the datagram.
    bool send(GSocketAddress* to, std::string_view bytes);
    bool send(const Sender& to, std::string_view bytes);

  private:
    void read();
    Timers& timers_;
    // Exactly one of the two callbacks is set.
    std::function<void(std::string_view)> on_datagram_;
    std::function<void(std::string_view, const Sender&)> on_datagram_from_;
    Ref<GSocket> socket_;
    std::optional<FdWatch> watch_;
    char buffer_[2048];
};

}   // namespace slatejunction::net
