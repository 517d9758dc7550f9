// Accepts connections at one address.
#pragma once

#include <functional>
#include <string>

#include "net/glib.hpp"
#include "net/timers.hpp"

namespace slatejunction::net {

class Listener {
  public:
    // `taken` gets each connection; `room` tells whether another may be taken, else accepting pauses.
    // `failed` tells that accepting failed, as it does when no descriptors are left.
    Listener(Timers& timers, std::function<bool()> room, std::function<void(Ref<GSocket>)> taken,
             std::function<void(const char*)> failed, int priority = G_PRIORITY_DEFAULT);
    bool start(const std::string& address, std::string& why);
    // Another process's socket, which listens already. Held: nothing is accepted until go_on().
    void adopt(Ref<GSocket> listening);
    void pause();
    void resume();
    // For another process; below 0: there is none to give.
    int descriptor() const { return socket_ && !refusing_ ? g_socket_get_fd(socket_.get()) : -1; }
    void stop();
    // Makes no new connection from here on, but accepts those whose handshake has begun. Guards against a
    // close that resets them, with a request behind them maybe: close some time later. Not for a socket
    // that another process has too.
    void refuse_handshakes();
    // Accepts what waits, as far as there is room, and stops. Held: stops at once.
    void accept_pending_and_stop();
    void poke();   // there may be room again

  private:
    static gboolean on_in(GSocket*, GIOCondition, gpointer self);
    gboolean accept();
    void watch();
    const int priority_;   // in the loop
    Timer again_;
    std::function<bool()> room_;
    std::function<void(Ref<GSocket>)> taken_;
    std::function<void(const char*)> failed_;
    Ref<GSocket> socket_;
    Source source_;
    bool held_ = false, refusing_ = false;
    int failures_ = 0;   // accepts that failed, in a row
};

}   // namespace slatejunction::net
