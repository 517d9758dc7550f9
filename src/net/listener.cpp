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
constexpr double kPause = 0.05;   // s; before accepting again after failures, such as no descriptors left
// Accepts that fail in a row before it pauses. One alone says nothing of the next: a connection that broke
// before it was accepted, or a system short of something for a moment.
constexpr int kFailuresMost = 3;
// s; before it looks for room again. Whoever waits in the backlog meanwhile may have sent a request.
constexpr double kNoRoomPause = 0.02;

// A new process of this ingress may come to listen beside this one, where the system has that. GIO's own
// bind takes SO_REUSEPORT off again for TCP.
bool bind_beside(GSocket* socket, GSocketAddress* at, GError** fault) {
    for (const int option : {SO_REUSEADDR, SO_REUSEPORT})
        g_socket_set_option(socket, SOL_SOCKET, option, 1, nullptr);
    sockaddr_storage native{};
    const gssize size = g_socket_address_get_native_size(at);
    if (!g_socket_address_to_native(at, &native, sizeof native, fault)) return false;
    if (::bind(g_socket_get_fd(socket), reinterpret_cast<const sockaddr*>(&native),
               static_cast<socklen_t>(size)) == 0)
        return true;
    const int why = errno;
    g_set_error_literal(fault, G_IO_ERROR, g_io_error_from_errno(why), g_strerror(why));
    return false;
}

constexpr unsigned kTcpFlagsAt = 13, kSyn = 0x02;   // the header's byte of flags (RFC 9293, section 3.1)

// The system answers no new knock any more (a SYN), and finishes the handshakes that have begun.
void drop_knocks(int fd) {
    sock_filter code[] = {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kTcpFlagsAt),
                          BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSyn, 0, 1), BPF_STMT(BPF_RET | BPF_K, 0),
                          BPF_STMT(BPF_RET | BPF_K, 0xffffffff)};
    const sock_fprog program{std::size(code), code};
    ::setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

}   // namespace

Listener::Listener(Timers& timers, std::function<bool()> room, std::function<void(Ref<GSocket>)> taken,
                   std::function<void(const char*)> failed, int priority)
    : priority_(priority),
      again_(timers, [this] { watch(); }),
      room_(std::move(room)),
      taken_(std::move(taken)),
      failed_(std::move(failed)) {}

bool Listener::start(const std::string& address, std::string& why) {
    const Address at = parse_address(address);
    if (!at) return why = "no address", false;
    Error error;
    socket_ = make_socket(at.get(), error);
    GError* fault = nullptr;
    if (socket_) g_socket_set_listen_backlog(socket_.get(), kBacklog);
    if (socket_ && bind_beside(socket_.get(), at.get(), &fault) && g_socket_listen(socket_.get(), &fault)) {
        watch();
        return true;
    }
    socket_.reset();   // bound or not, it does not listen
    if (fault) error.reset(fault);
    why = error ? error->message : "unknown";
    return false;
}

void Listener::adopt(Ref<GSocket> listening) {
    socket_ = std::move(listening);
    g_socket_set_blocking(socket_.get(), FALSE);
    held_ = true;
}

void Listener::pause() {
    held_ = true;
    again_.disarm();
    source_.reset();
}

void Listener::resume() {
    held_ = false;
    if (socket_ && !source_) watch();
}

void Listener::stop() {
    again_.disarm();
    source_.reset();
    if (socket_) g_socket_close(socket_.get(), nullptr);
    socket_.reset();
}

void Listener::refuse_handshakes() {
    if (!socket_ || held_) return;
    drop_knocks(g_socket_get_fd(socket_.get()));
    refusing_ = true;
}

// Bounded: more may come meanwhile. An accept that fails tells nothing of those behind it.
void Listener::accept_pending_and_stop() {
    for (int i = 0; i <= kBacklog && socket_ && !held_ && room_(); ++i) {
        GError* fault = nullptr;
        Ref<GSocket> taken(g_socket_accept(socket_.get(), nullptr, &fault));
        const Error error(fault);
        if (taken)
            taken_(std::move(taken));
        else if (g_error_matches(fault, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
            break;
        else
            failed_(fault->message);
    }
    stop();
}

void Listener::poke() {
    if (socket_ && !held_ && !source_ && room_()) watch();
}

void Listener::watch() {
    again_.disarm();
    source_.reset(g_socket_create_source(socket_.get(), G_IO_IN, nullptr));
    g_source_set_callback(source_.get(), G_SOURCE_FUNC(&Listener::on_in), this, nullptr);
    g_source_set_priority(source_.get(), priority_);
    attach(source_.get());
}

gboolean Listener::on_in(GSocket*, GIOCondition, gpointer self) {
    return guarded([&] { return static_cast<Listener*>(self)->accept(); });
}

gboolean Listener::accept() {
    if (!room_()) {   // the backlog waits; poke() goes on, or time does
        source_.reset();
        again_.arm(now() + kNoRoomPause);
        return G_SOURCE_REMOVE;
    }
    GError* fault = nullptr;
    Ref<GSocket> taken(g_socket_accept(socket_.get(), nullptr, &fault));
    const Error error(fault);
    if (taken) {
        failures_ = 0;
        taken_(std::move(taken));   // which may have it held, or stopped
    } else if (!g_error_matches(fault, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) &&
               ++failures_ >= kFailuresMost) {
        // Guards against a spin: with no descriptors left the listener stays readable.
        failures_ = 0;
        source_.reset();
        again_.arm(now() + kPause);
        failed_(fault->message);
    }
    return G_SOURCE_CONTINUE;
}

}   // namespace slatejunction::net
