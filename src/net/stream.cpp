#include "net/stream.hpp"

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
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
    const auto [end, fault] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (fault != std::errc() || end != text.data() + text.size() || port == 0 || port > 65535)
        return nullptr;
    const std::string host(text.substr(0, colon));
    return Address(g_inet_socket_address_new_from_string(host.c_str(), port));
}

namespace {

constexpr std::size_t kDropAtOnce = 64 * 1024;
constexpr short kEnded = POLLRDHUP | POLLHUP | POLLERR;

void prepare(GSocket* socket) {
    g_socket_set_blocking(socket, FALSE);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}
}   // namespace

Ref<GSocket> make_socket(GSocketAddress* address, Error& error) {
    GError* fault = nullptr;
    Ref<GSocket> socket(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                                     G_SOCKET_PROTOCOL_TCP, &fault));
    error.reset(fault);
    if (socket) prepare(socket.get());
    return socket;
}

void Stream::adopt(Ref<GSocket> socket) {
    socket_ = std::move(socket);
    prepare(socket_.get());
    watch(in_, G_IO_IN, &Stream::on_in);
}

bool Stream::dial(GSocketAddress* address) {
    Error error;
    socket_ = make_socket(address, error);
    if (!socket_) return false;
    // Guards against another process of this machine that can't start, as this connection, or its last
    // state, has the port at which that one is to listen.
    g_socket_set_option(socket_.get(), SOL_SOCKET, SO_REUSEADDR, 1, nullptr);
    GError* fault = nullptr;
    const bool up = g_socket_connect(socket_.get(), address, nullptr, &fault);
    error.reset(fault);
    if (!up && !g_error_matches(fault, G_IO_ERROR, G_IO_ERROR_PENDING)) {
        close();
        return false;
    }
    dialling_ = true;
    watch(out_, G_IO_OUT, &Stream::on_out);
    return true;
}

bool Stream::readable() const {
    return socket_ && (g_socket_condition_check(socket_.get(), G_IO_IN) & (G_IO_IN | G_IO_HUP | G_IO_ERR));
}

bool Stream::ended() const {
    if (!socket_) return true;
    pollfd one{g_socket_get_fd(socket_.get()), POLLRDHUP, 0};
    int ready = 0;
    do {
        ready = ::poll(&one, 1, 0);
    } while (ready < 0 && errno == EINTR);
    return ready == 1 && (one.revents & kEnded) != 0;
}

double Stream::stalled_s() const {
    if (!socket_) return 0;
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(g_socket_get_fd(socket_.get()), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
    if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) return 0;
    return 1e-3 * info.tcpi_last_data_recv;
}

// A level-triggered source would spin on what is not read. Guards against a peer that has gone meanwhile.
void Stream::pause() {
    in_.reset();
    if (!protocol_.ends_unread()) return;
    end_.reset(g_unix_fd_source_new(g_socket_get_fd(socket_.get()), static_cast<GIOCondition>(kEnded)));
    g_source_set_callback(end_.get(), G_SOURCE_FUNC(&Stream::on_unread_end), this, nullptr);
    attach(end_.get());
}

gboolean Stream::on_unread_end(gint, GIOCondition, gpointer self) {
    auto& stream = *static_cast<Stream*>(self);
    const auto keep = stream.protocol_.shared_from_this();
    return guarded([&] {
        stream.end(true);
        return G_SOURCE_REMOVE;
    });
}

void Stream::watch(Source& source, GIOCondition condition, GSocketSourceFunc call) {
    source.reset(g_socket_create_source(socket_.get(), condition, nullptr));
    g_source_set_callback(source.get(), G_SOURCE_FUNC(call), this, nullptr);
    if (dropping_ || priority_ != G_PRIORITY_DEFAULT)
        g_source_set_priority(source.get(), dropping_ ? G_PRIORITY_DEFAULT_IDLE : priority_);
    attach(source.get());
}

void Stream::resume() {
    end_.reset();
    if (socket_ && !in_ && !dialling_) watch(in_, G_IO_IN, &Stream::on_in);
}

// Guards against large bodies that nobody wants: they are read without being copied, when nothing else is
// to be done, so that the peer gets to read what it was told, and up to a bound.
void Stream::drop(std::size_t most) {
    dropping_ = true;
    drop_left_ = most;
    end_.reset();
    if (socket_) watch(in_, G_IO_IN, &Stream::on_in);
}

gssize Stream::take_and_drop(GError** fault) {
    std::array<char, kDropAtOnce> scratch;
    GInputVector vector{scratch.data(), scratch.size()};
    gint flags = MSG_TRUNC;
    const gssize got = g_socket_receive_message(socket_.get(), nullptr, &vector, 1, nullptr, nullptr,
                                                &flags, nullptr, fault);
    if (got > 0) drop_left_ -= std::min(drop_left_, static_cast<std::size_t>(got));
    return got;
}

void Stream::end(bool clean) {
    close();
    protocol_.on_end(clean);
}

void Stream::finish() {
    if (socket_) g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
    resume();
}

void Stream::close() {
    in_.reset();
    out_.reset();
    end_.reset();
    if (socket_) g_socket_close(socket_.get(), nullptr);
    socket_.reset();   // kept_ stays: unsent() tells afterwards whether all had been written
    dialling_ = false;
}

// One read a wake-up: a second one would mostly bring "would block", which GIO reports by allocating.
gboolean Stream::on_in(GSocket*, GIOCondition, gpointer self) {
    return guarded([&] { return static_cast<Stream*>(self)->read(); });
}

gboolean Stream::read() {
    const auto keep = protocol_.shared_from_this();
    GError* fault = nullptr;
    if (dropping_) {
        const gssize got = take_and_drop(&fault);
        const Error error(fault);
        if (got == 0 || drop_left_ == 0) {
            end(got == 0);
        } else if (got > 0) {
            protocol_.on_dropped();
        } else if (got < 0 && !g_error_matches(fault, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
            end(false);
        }
        return G_SOURCE_CONTINUE;
    }
    const std::span<char> space = protocol_.receive_buffer();
    if (space.empty()) {   // until resume()
        pause();
        return G_SOURCE_REMOVE;
    }
    const gssize got = g_socket_receive(socket_.get(), space.data(), space.size(), nullptr, &fault);
    const Error error(fault);
    if (got > 0) {
        protocol_.on_bytes(static_cast<std::size_t>(got));
    } else if (got == 0) {
        end(true);
    } else if (!g_error_matches(fault, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
        end(false);
    }
    return G_SOURCE_CONTINUE;
}

gboolean Stream::on_out(GSocket*, GIOCondition, gpointer self) {
    return guarded([&] { return static_cast<Stream*>(self)->write_kept(); });
}

gboolean Stream::write_kept() {
    const auto keep = protocol_.shared_from_this();
    if (dialling_) {
        GError* fault = nullptr;
        const bool up = g_socket_check_connect_result(socket_.get(), &fault);
        const Error error(fault);
        if (!up) {
            end(false);
            return G_SOURCE_REMOVE;
        }
        dialling_ = false;
        out_.reset();
        watch(in_, G_IO_IN, &Stream::on_in);
        protocol_.on_open();
        return G_SOURCE_REMOVE;
    }
    const std::string_view rest = std::string_view(kept_).substr(kept_from_);
    std::size_t written = 0;
    if (!write({&rest, 1}, written)) {
        end(false);
        return G_SOURCE_REMOVE;
    }
    kept_from_ += written;
    if (kept_from_ < kept_.size()) return G_SOURCE_CONTINUE;
    kept_ = {};   // an answer's room is not kept for an idle connection
    kept_from_ = 0;
    out_.reset();
    protocol_.on_sent();
    return G_SOURCE_REMOVE;
}

// GIO asks the kernel not to raise SIGPIPE, so a peer that is gone is an ordinary error here.
bool Stream::write(std::span<const std::string_view> parts, std::size_t& written) {
    std::array<GOutputVector, 24> vectors;
    const std::size_t count = std::min(parts.size(), vectors.size());
    for (std::size_t i = 0; i < count; ++i) vectors[i] = {parts[i].data(), parts[i].size()};
    GError* fault = nullptr;
    const gssize sent = g_socket_send_message(socket_.get(), nullptr, vectors.data(),
                                              static_cast<gint>(count), nullptr, 0, 0, nullptr, &fault);
    const Error error(fault);
    written = sent > 0 ? static_cast<std::size_t>(sent) : 0;
    return sent >= 0 || g_error_matches(fault, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
}

bool Stream::send(std::span<const std::string_view> parts) {
    if (!socket_) return false;
    std::size_t written = 0;
    if (kept_.empty() && !write(parts, written)) return false;
    for (const std::string_view part : parts) {
        const std::size_t skip = std::min(written, part.size());
        written -= skip;
        kept_.append(part.substr(skip));
    }
    if (!kept_.empty() && !out_) watch(out_, G_IO_OUT, &Stream::on_out);
    return true;
}

}   // namespace slatejunction::net
