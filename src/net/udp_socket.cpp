#include "net/udp_socket.hpp"

#include <cstring>
#include <memory>

namespace slatejunction::net {

bool Sender::operator==(const Sender& other) const {
    return size == other.size && std::memcmp(&address, &other.address, size) == 0;
}

Sender sender_of(GSocketAddress* address) {
    Sender sender;
    const gssize size = g_socket_address_get_native_size(address);
    if (size > 0 && g_socket_address_to_native(address, &sender.address, sizeof sender.address, nullptr))
        sender.size = static_cast<socklen_t>(size);
    return sender;
}

bool UdpSocket::start(GSocketAddress* address, std::string& error) {
    GError* raw_error = nullptr;
    Ref<GSocket> socket(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_DATAGRAM,
                                     G_SOCKET_PROTOCOL_UDP, &raw_error));
    if (socket) {
        g_socket_set_blocking(socket.get(), FALSE);
        if (!g_socket_bind(socket.get(), address, FALSE, &raw_error)) socket.reset();
    }
    const Error cause(raw_error);
    if (!socket) {
        error = cause ? cause->message : "cannot create or bind a UDP socket";
        return false;
    }
    socket_ = std::move(socket);
    watch_.emplace(timers_, g_socket_get_fd(socket_.get()), [this] { read(); });
    return true;
}

void UdpSocket::stop() {
    watch_.reset();
    if (socket_) g_socket_close(socket_.get(), nullptr);
    socket_.reset();
}

bool UdpSocket::send(GSocketAddress* to, std::string_view bytes) {
    if (!socket_) return false;
    GError* raw_error = nullptr;
    const gssize sent =
        g_socket_send_to(socket_.get(), to, bytes.data(), bytes.size(), nullptr, &raw_error);
    const Error cause(raw_error);
    return sent == static_cast<gssize>(bytes.size());
}

bool UdpSocket::send(const Sender& to, std::string_view bytes) {
    if (!socket_ || to.size == 0) return false;
    const ssize_t sent = ::sendto(g_socket_get_fd(socket_.get()), bytes.data(), bytes.size(), MSG_DONTWAIT,
                                  reinterpret_cast<const sockaddr*>(&to.address), to.size);
    return sent == static_cast<ssize_t>(bytes.size());
}

// Calls recv() directly, as GIO allocates an error object to report "would block".
void UdpSocket::read() {
    Sender sender;
    for (int i = 0; i < kMaxReadsPerWakeup && socket_; ++i) {
        sender.size = sizeof sender.address;
        auto* const from = reinterpret_cast<sockaddr*>(&sender.address);
        const int fd = g_socket_get_fd(socket_.get());
        const ssize_t size =
            on_datagram_from_
                ? ::recvfrom(fd, buffer_, sizeof buffer_, MSG_DONTWAIT | MSG_TRUNC, from, &sender.size)
                : ::recv(fd, buffer_, sizeof buffer_, MSG_DONTWAIT | MSG_TRUNC);
        if (size < 0) break;   // no datagram, or a pending error of an earlier send
        const std::size_t received = static_cast<std::size_t>(size);
        const std::string_view bytes(buffer_, std::min(received, sizeof buffer_));
        on_datagram_from_ ? on_datagram_from_(bytes, sender) : on_datagram_(bytes);
    }
}

}   // namespace slatejunction::net
