#include "net/stream.hpp"

#include <glib-unix.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstddef>

#include "net/callback_boundary.hpp"

namespace slatejunction::net {

Address parse_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return nullptr;
    unsigned port = 0;
    const auto [end, status] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (status != std::errc() || end != text.data() + text.size() || port == 0 || port > 65535)
        return nullptr;
    const std::string host(text.substr(0, colon));
    return Address(g_inet_socket_address_new_from_string(host.c_str(), port));
}

namespace {

constexpr std::size_t kDiscardChunkBytes = std::size_t{64} * 1024;
constexpr short kPeerClosedEvents = POLLRDHUP | POLLHUP | POLLERR;

void configure_socket(GSocket* socket) {
    g_socket_set_blocking(socket, FALSE);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}
}   // namespace

Ref<GSocket> make_socket(GSocketAddress* address, Error& error) {
    GError* raw_error = nullptr;
    Ref<GSocket> socket(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                                     G_SOCKET_PROTOCOL_TCP, &raw_error));
    error.reset(raw_error);
    if (socket) configure_socket(socket.get());
    return socket;
}

void Stream::adopt(Ref<GSocket> socket) {
    socket_ = std::move(socket);
    configure_socket(socket_.get());
    add_source(in_source_, G_IO_IN, &Stream::on_in);
}

bool Stream::dial(GSocketAddress* address) {
    Error error;
    socket_ = make_socket(address, error);
    if (!socket_) return false;
    // Allows another process on this machine to listen on this connection's local port, also during
    // TIME_WAIT.
    g_socket_set_option(socket_.get(), SOL_SOCKET, SO_REUSEADDR, 1, nullptr);
    GError* raw_error = nullptr;
    const bool connected = g_socket_connect(socket_.get(), address, nullptr, &raw_error);
    error.reset(raw_error);
    if (!connected && !g_error_matches(raw_error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
        close();
        return false;
    }
    dialling_ = true;
    add_source(out_source_, G_IO_OUT, &Stream::on_out);
    return true;
}

bool Stream::readable() const {
    return socket_ && (g_socket_condition_check(socket_.get(), G_IO_IN) & (G_IO_IN | G_IO_HUP | G_IO_ERR));
}

bool Stream::peer_closed() const {
    if (!socket_) return true;
    pollfd descriptor{g_socket_get_fd(socket_.get()), POLLRDHUP, 0};
    int ready = 0;
    do {
        ready = ::poll(&descriptor, 1, 0);
    } while (ready < 0 && errno == EINTR);
    return ready == 1 && (descriptor.revents & kPeerClosedEvents) != 0;
}

double Stream::receive_delay_s() const {
    if (!socket_) return 0;
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(g_socket_get_fd(socket_.get()), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
    if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) return 0;
    return 1e-3 * info.tcpi_last_data_recv;
}

namespace {
// Returns 0 if the socket does not tell.
std::size_t queued_bytes(GSocket* socket, unsigned long queue) {
    int bytes = 0;
    if (!socket || ::ioctl(g_socket_get_fd(socket), queue, &bytes) != 0 || bytes < 0) return 0;
    return static_cast<std::size_t>(bytes);
}
}   // namespace

std::size_t Stream::unread_bytes() const { return queued_bytes(socket_.get(), SIOCINQ); }

std::size_t Stream::undelivered_bytes() const {
    return unsent_.size() - unsent_offset_ + queued_bytes(socket_.get(), SIOCOUTQ);
}

// Removes the source, as a level-triggered one would fire continuously for unread bytes. If the protocol
// requires it, only the peer's close is watched instead.
void Stream::pause() {
    in_source_.reset();
    if (!protocol_.reports_end_while_paused()) return;
    peer_close_source_.reset(
        g_unix_fd_source_new(g_socket_get_fd(socket_.get()), static_cast<GIOCondition>(kPeerClosedEvents)));
    g_source_set_callback(peer_close_source_.get(), G_SOURCE_FUNC(&Stream::on_peer_closed_while_paused),
                          this, nullptr);
    attach(peer_close_source_.get());
}

gboolean Stream::on_peer_closed_while_paused(gint, GIOCondition, gpointer self) {
    auto& stream = *static_cast<Stream*>(self);
    const auto protocol = stream.protocol_.shared_from_this();
    return exit_on_exception([&] {
        stream.end(true);
        return G_SOURCE_REMOVE;
    });
}

void Stream::add_source(Source& source, GIOCondition condition, GSocketSourceFunc callback) {
    source.reset(g_socket_create_source(socket_.get(), condition, nullptr));
    g_source_set_callback(source.get(), G_SOURCE_FUNC(callback), this, nullptr);
    if (discarding_input_ || priority_ != G_PRIORITY_DEFAULT)
        g_source_set_priority(source.get(), discarding_input_ ? G_PRIORITY_DEFAULT_IDLE : priority_);
    attach(source.get());
}

void Stream::resume() {
    peer_close_source_.reset();
    if (socket_ && !in_source_ && !dialling_) add_source(in_source_, G_IO_IN, &Stream::on_in);
}

// Reads without copying and at idle priority, so that the peer can read the response.
void Stream::discard_input(std::size_t max_bytes) {
    discarding_input_ = true;
    discard_remaining_bytes_ = max_bytes;
    peer_close_source_.reset();
    if (socket_) add_source(in_source_, G_IO_IN, &Stream::on_in);
}

void Stream::read_now() {
    const auto self = protocol_.shared_from_this();
    constexpr int kMaxReads = 64;   // so that a peer that keeps sending does not hold up the caller
    for (int i = 0; i < kMaxReads && !dialling_ && readable(); ++i) read();
}

gssize Stream::read_and_discard(GError** raw_error) {
    std::array<char, kDiscardChunkBytes> scratch;
    GInputVector vector{scratch.data(), scratch.size()};
    gint flags = MSG_TRUNC;
    const gssize received = g_socket_receive_message(socket_.get(), nullptr, &vector, 1, nullptr, nullptr,
                                                     &flags, nullptr, raw_error);
    if (received > 0)
        discard_remaining_bytes_ -= std::min(discard_remaining_bytes_, static_cast<std::size_t>(received));
    return received;
}

void Stream::end(bool clean) {
    close();
    protocol_.on_end(clean);
}

void Stream::shutdown_send() {
    if (socket_) g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
    resume();
}

void Stream::close() {
    in_source_.reset();
    out_source_.reset();
    peer_close_source_.reset();
    if (socket_) g_socket_close(socket_.get(), nullptr);
    socket_.reset();   // unsent_ is kept, as unsent() is used after close()
    dialling_ = false;
}

void Stream::reset() {
    constexpr linger kReset{1, 0};
    if (socket_)
        ::setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_LINGER, &kReset, sizeof kReset);
    close();
}

// Reads once for each wake-up: a second read would mostly fail with "would block", for which GIO allocates
// an error object.
gboolean Stream::on_in(GSocket*, GIOCondition, gpointer self) {
    return exit_on_exception([&] { return static_cast<Stream*>(self)->read(); });
}

gboolean Stream::read() {
    const auto self = protocol_.shared_from_this();
    GError* raw_error = nullptr;
    if (discarding_input_) {
        const gssize received = read_and_discard(&raw_error);
        const Error cause(raw_error);
        if (received == 0 || discard_remaining_bytes_ == 0) {
            end(received == 0);
        } else if (received > 0) {
            protocol_.on_input_discarded();
        } else if (received < 0 && !g_error_matches(raw_error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
            end(false);
        }
        return G_SOURCE_CONTINUE;
    }
    const std::span<char> space = protocol_.receive_buffer();
    if (space.empty()) {   // paused until resume()
        pause();
        return G_SOURCE_REMOVE;
    }
    const gssize received =
        g_socket_receive(socket_.get(), space.data(), space.size(), nullptr, &raw_error);
    const Error cause(raw_error);
    if (received > 0) {
        protocol_.on_bytes(static_cast<std::size_t>(received));
    } else if (received == 0) {
        end(true);
    } else if (!g_error_matches(raw_error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
        end(false);
    }
    return G_SOURCE_CONTINUE;
}

gboolean Stream::on_out(GSocket*, GIOCondition, gpointer self) {
    return exit_on_exception([&] { return static_cast<Stream*>(self)->write_unsent(); });
}

gboolean Stream::write_unsent() {
    const auto self = protocol_.shared_from_this();
    if (dialling_) {
        GError* raw_error = nullptr;
        const bool connected = g_socket_check_connect_result(socket_.get(), &raw_error);
        const Error cause(raw_error);
        if (!connected) {
            end(false);
            return G_SOURCE_REMOVE;
        }
        dialling_ = false;
        out_source_.reset();
        add_source(in_source_, G_IO_IN, &Stream::on_in);
        protocol_.on_open();
        return G_SOURCE_REMOVE;
    }
    const std::string_view rest = std::string_view(unsent_).substr(unsent_offset_);
    std::size_t written = 0;
    if (!write({&rest, 1}, written)) {
        end(false);
        return G_SOURCE_REMOVE;
    }
    unsent_offset_ += written;
    if (unsent_offset_ < unsent_.size()) return G_SOURCE_CONTINUE;
    unsent_ = {};   // frees the memory
    unsent_offset_ = 0;
    out_source_.reset();
    protocol_.on_sent();
    return G_SOURCE_REMOVE;
}

// GIO suppresses SIGPIPE, so a connection that the peer has closed is an ordinary error.
bool Stream::write(std::span<const std::string_view> parts, std::size_t& written) {
    std::array<GOutputVector, 24> vectors;
    const std::size_t count = std::min(parts.size(), vectors.size());
    for (std::size_t i = 0; i < count; ++i) vectors[i] = {parts[i].data(), parts[i].size()};
    GError* raw_error = nullptr;
    const gssize sent = g_socket_send_message(socket_.get(), nullptr, vectors.data(),
                                              static_cast<gint>(count), nullptr, 0, 0, nullptr, &raw_error);
    const Error cause(raw_error);
    written = sent > 0 ? static_cast<std::size_t>(sent) : 0;
    return sent >= 0 || g_error_matches(raw_error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
}

bool Stream::send(std::span<const std::string_view> parts) {
    if (!socket_) return false;
    std::size_t written = 0;
    if (unsent_.empty() && !write(parts, written)) return false;
    for (const std::string_view part : parts) {
        const std::size_t skip = std::min(written, part.size());
        written -= skip;
        unsent_.append(part.substr(skip));
    }
    if (!unsent_.empty() && !out_source_) add_source(out_source_, G_IO_OUT, &Stream::on_out);
    return true;
}

}   // namespace slatejunction::net
