#include "net/datagrams.hpp"

#include <sys/socket.h>

#include <memory>

namespace slatejunction::net {

bool Datagrams::start(GSocketAddress* address, std::string& why) {
    GError* fault = nullptr;
    Ref<GSocket> socket(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_DATAGRAM,
                                     G_SOCKET_PROTOCOL_UDP, &fault));
    if (socket) {
        g_socket_set_blocking(socket.get(), FALSE);
        if (!g_socket_bind(socket.get(), address, FALSE, &fault)) socket.reset();
    }
    const Error error(fault);
    if (!socket) {
        why = error ? error->message : "no socket";
        return false;
    }
    socket_ = std::move(socket);
    watch_.emplace(timers_, g_socket_get_fd(socket_.get()), [this] { read(); });
    return true;
}

void Datagrams::stop() {
    watch_.reset();
    if (socket_) g_socket_close(socket_.get(), nullptr);
    socket_.reset();
}

bool Datagrams::send(GSocketAddress* to, std::string_view bytes) {
    if (!socket_) return false;
    GError* fault = nullptr;
    const gssize done = g_socket_send_to(socket_.get(), to, bytes.data(), bytes.size(), nullptr, &fault);
    const Error error(fault);
    return done == static_cast<gssize>(bytes.size());
}

// By recv itself: GIO reports "would block" by allocating.
void Datagrams::read() {
    for (int i = 0; i < kAtOnce && socket_; ++i) {
        const ssize_t size =
            ::recv(g_socket_get_fd(socket_.get()), room_, sizeof room_, MSG_DONTWAIT | MSG_TRUNC);
        if (size < 0) break;   // also an error that came back for one that was sent
        const std::size_t got = static_cast<std::size_t>(size);
        taken_({room_, std::min(got, sizeof room_)});
    }
}

}   // namespace slatejunction::net
