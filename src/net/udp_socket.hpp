// A UDP socket on the loop.
//
// Input: an address, datagrams to send. Output: a callback for each datagram, kMaxReadsPerWakeup at most in
// one round of the loop, so that a flood does not starve other sources. Owned by the transports of
// membership and rollout. Longer datagrams than the buffer are cut.
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
    bool start(GSocketAddress* address, std::string& why);
    void stop();
    bool open() const { return socket_ != nullptr; }
    /// False: the system did not accept it.
    bool send(GSocketAddress* to, std::string_view bytes);
    bool send(const Sender& to, std::string_view bytes);

  private:
    void read();
    Timers& timers_;
    std::function<void(std::string_view)> on_datagram_;
    std::function<void(std::string_view, const Sender&)> on_datagram_from_;   // one of the two is set
    Ref<GSocket> socket_;
    std::optional<FdWatch> watch_;
    char buffer_[2048];
};

}   // namespace slatejunction::net
