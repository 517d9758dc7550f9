#include "net/listener.hpp"

#include <linux/filter.h>
#include <sys/socket.h>

#include <cerrno>
#include <iterator>

#include "net/callback_boundary.hpp"
#include "net/stream.hpp"

namespace slatejunction::net {
namespace {
constexpr int kBacklog = 512;
constexpr double kFailureBackoffS = 0.05;
// Fewer failures in a row cause neither a backoff nor a report, as a single one may be a connection that
// was reset before it was accepted.
constexpr int kMaxConsecutiveFailures = 3;
// The delay before accepting again without capacity. It is short, as connections in the backlog may already
// carry a request.
constexpr double kAcceptBackoffS = 0.02;

// Binds with SO_REUSEPORT, so that another process of this ingress can listen on the same address. Calls
// bind() directly, as g_socket_bind() clears the option for TCP.
bool bind_with_reuse(GSocket* socket, GSocketAddress* at, GError** raw_error) {
    for (const int option : {SO_REUSEADDR, SO_REUSEPORT})
        g_socket_set_option(socket, SOL_SOCKET, option, 1, nullptr);
    sockaddr_storage native{};
    const gssize size = g_socket_address_get_native_size(at);
    if (!g_socket_address_to_native(at, &native, sizeof native, raw_error)) return false;
    if (::bind(g_socket_get_fd(socket), reinterpret_cast<const sockaddr*>(&native),
               static_cast<socklen_t>(size)) == 0)
        return true;
    const int error_number = errno;
    g_set_error_literal(raw_error, G_IO_ERROR, g_io_error_from_errno(error_number),
                        g_strerror(error_number));
    return false;
}

// The offset of the flags in the TCP header, and the SYN flag (RFC 9293, section 3.1).
constexpr unsigned kTcpFlagsOffset = 13, kSynFlag = 0x02;

// Makes the kernel ignore new SYN segments, but finish the handshakes that have begun.
void drop_syns(int fd) {
    sock_filter code[] = {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kTcpFlagsOffset),
                          BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSynFlag, 0, 1),
                          BPF_STMT(BPF_RET | BPF_K, 0), BPF_STMT(BPF_RET | BPF_K, 0xffffffff)};
    const sock_fprog program{std::size(code), code};
    ::setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

}   // namespace

Listener::Listener(Timers& timers, std::function<bool()> has_capacity,
                   std::function<void(Ref<GSocket>)> on_accepted,
                   std::function<void(const char*)> on_accept_error, int priority)
    : priority_(priority),
      retry_timer_(timers, [this] { add_source(); }),
      has_capacity_(std::move(has_capacity)),
      on_accepted_(std::move(on_accepted)),
      on_accept_error_(std::move(on_accept_error)) {}

bool Listener::start(const std::string& address, std::string& error) {
    const Address at = parse_address(address);
    if (!at) {
        error = "not an IP address and port";
        return false;
    }
    Error cause;
    socket_ = make_socket(at.get(), cause);
    GError* raw_error = nullptr;
    if (socket_) g_socket_set_listen_backlog(socket_.get(), kBacklog);
    if (socket_ && bind_with_reuse(socket_.get(), at.get(), &raw_error) &&
        g_socket_listen(socket_.get(), &raw_error)) {
        add_source();
        return true;
    }
    socket_.reset();   // not listening
    if (raw_error) cause.reset(raw_error);
    error = cause ? cause->message : "unknown error";
    return false;
}

void Listener::adopt(Ref<GSocket> listening) {
    socket_ = std::move(listening);
    g_socket_set_blocking(socket_.get(), FALSE);
    paused_ = true;
}

void Listener::pause() {
    paused_ = true;
    retry_timer_.disarm();
    source_.reset();
}

void Listener::resume() {
    paused_ = false;
    if (socket_ && !source_) add_source();
}

void Listener::stop() {
    retry_timer_.disarm();
    source_.reset();
    if (socket_) g_socket_close(socket_.get(), nullptr);
    socket_.reset();
}

void Listener::refuse_handshakes() {
    if (!socket_ || paused_) return;
    drop_syns(g_socket_get_fd(socket_.get()));
    refusing_handshakes_ = true;
}

// The loop is bounded, as more connections may arrive meanwhile. It continues after a failed accept, which
// says nothing about the next one.
void Listener::accept_pending_and_stop() {
    for (int i = 0; i <= kBacklog && socket_ && !paused_ && has_capacity_(); ++i) {
        GError* raw_error = nullptr;
        Ref<GSocket> accepted(g_socket_accept(socket_.get(), nullptr, &raw_error));
        const Error cause(raw_error);
        if (accepted)
            on_accepted_(std::move(accepted));
        else if (g_error_matches(raw_error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
            break;
        else
            on_accept_error_(raw_error->message);
    }
    stop();
}

void Listener::retry_accepting() {
    if (socket_ && !paused_ && !source_ && has_capacity_()) add_source();
}

void Listener::add_source() {
    retry_timer_.disarm();
    source_.reset(g_socket_create_source(socket_.get(), G_IO_IN, nullptr));
    g_source_set_callback(source_.get(), G_SOURCE_FUNC(&Listener::on_in), this, nullptr);
    g_source_set_priority(source_.get(), priority_);
    attach(source_.get());
}

gboolean Listener::on_in(GSocket*, GIOCondition, gpointer self) {
    return exit_on_exception([&] { return static_cast<Listener*>(self)->accept(); });
}

gboolean Listener::accept() {
    // Without capacity, connections wait in the backlog until retry_accepting() or the timer.
    if (!has_capacity_()) {
        source_.reset();
        retry_timer_.arm(now() + kAcceptBackoffS);
        return G_SOURCE_REMOVE;
    }
    GError* raw_error = nullptr;
    Ref<GSocket> accepted(g_socket_accept(socket_.get(), nullptr, &raw_error));
    const Error cause(raw_error);
    if (accepted) {
        consecutive_failures_ = 0;
        on_accepted_(std::move(accepted));   // may call pause() or stop()
    } else if (!g_error_matches(raw_error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) &&
               ++consecutive_failures_ >= kMaxConsecutiveFailures) {
        // Without free descriptors the socket stays readable: the backoff avoids a busy loop.
        consecutive_failures_ = 0;
        source_.reset();
        retry_timer_.arm(now() + kFailureBackoffS);
        on_accept_error_(raw_error->message);
    }
    return G_SOURCE_CONTINUE;
}

}   // namespace slatejunction::net
