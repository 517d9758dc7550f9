// A socket for datagrams on the one loop. It reads a bounded number at each wake-up, so that a flood costs
// the other sources no more than that each round.
#pragma once

#include <sys/socket.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "net/glib.hpp"
#include "net/timers.hpp"

namespace slatejunction::net {

// Where a datagram came from, as the system tells it: anybody may have written that.
struct Sender {
    sockaddr_storage address{};
    socklen_t size = 0;
    bool operator==(const Sender& other) const;
};
Sender sender_of(GSocketAddress* address);

class Datagrams {
  public:
    static constexpr int kAtOnce = 32;   // read at one wake-up

    Datagrams(Timers& timers, std::function<void(std::string_view)> taken)
        : timers_(timers), taken_(std::move(taken)) {}
    Datagrams(Timers& timers, std::function<void(std::string_view, const Sender&)> taken)
        : timers_(timers), taken_from_(std::move(taken)) {}
    bool start(GSocketAddress* address, std::string& why);
    void stop();
    bool open() const { return socket_ != nullptr; }
    // Sent or lost: false when the system did not take it.
    bool send(GSocketAddress* to, std::string_view bytes);
    bool send(const Sender& to, std::string_view bytes);

  private:
    void read();
    Timers& timers_;
    std::function<void(std::string_view)> taken_;
    std::function<void(std::string_view, const Sender&)> taken_from_;   // one of the two
    Ref<GSocket> socket_;
    std::optional<SourceWatch> watch_;
    char room_[2048];
};

}   // namespace slatejunction::net
