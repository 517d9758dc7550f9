// A listening TCP socket that accepts connections in the event loop.
//
// Listens at an address, or on a socket that another process has passed on. Calls back for each accepted
// connection. Owned by client::Server, admin::Server and other classes that accept connections.
#pragma once

#include <functional>
#include <string>

#include "net/glib.hpp"
#include "net/timers.hpp"

namespace slatejunction::net {

class Listener {
  public:
    /// - `has_capacity` returns whether another connection may be accepted; else accepting pauses.
    /// - `on_accepted` takes each connection.
    /// - `on_accept_error` takes the error of repeated failures, such as a lack of file descriptors.
    /// - `priority` is that of the GLib source.
    Listener(Timers& timers, std::function<bool()> has_capacity,
             std::function<void(Ref<GSocket>)> on_accepted,
             std::function<void(const char*)> on_accept_error, int priority = G_PRIORITY_DEFAULT);
    /// Binds and listens at `address`. Returns false with the reason in `error`.
    bool start(const std::string& address, std::string& error);
    /// Takes over a socket of another process, which is listening already. Paused until resume().
    void adopt(Ref<GSocket> listening);
    void pause();
    void resume();
    /// The descriptor to pass on to another process, or -1 if there is none or refuse_handshakes() was
    /// called.
    int descriptor() const {
        return socket_ && !refusing_handshakes_ ? g_socket_get_fd(socket_.get()) : -1;
    }
    void stop();
    /// Ignores new handshakes, but still accepts connections whose handshake has begun, which closing the
    /// socket would reset. Must not be called for a socket that another process uses as well.
    void refuse_handshakes();
    /// Accepts the connections in the backlog as far as `has_capacity` allows, then stops. If paused, stops
    /// at once.
    void accept_pending_and_stop();
    /// To be called when `has_capacity` may have become true.
    void retry_accepting();

  private:
    static gboolean on_in(GSocket*, GIOCondition, gpointer self);
    gboolean accept();
    void add_source();
    const int priority_;   // of the source
    Timer retry_timer_;
    std::function<bool()> has_capacity_;
    std::function<void(Ref<GSocket>)> on_accepted_;
    std::function<void(const char*)> on_accept_error_;
    Ref<GSocket> socket_;
    Source source_;
    bool paused_ = false, refusing_handshakes_ = false;
    int consecutive_failures_ = 0;   // of accept
};

}   // namespace slatejunction::net
