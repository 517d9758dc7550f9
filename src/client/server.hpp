// The listening socket for clients and all client sessions. Accepts connections and bounds their number.
//
// Creates a client::Session for each connection and closes sessions whose time limit has passed; times are
// in s (net::now()). Does not read requests. Owned and called by ingress::Ingress. Owns the sessions and
// their streams.
#pragma once

#include <unordered_map>

#include "client/session.hpp"
#include "net/listener.hpp"

namespace slatejunction::client {

class Server {
  public:
    /// `controller` and `timers` must outlive the server.
    Server(SessionController& controller, net::Timers& timers, std::size_t max_sessions);
    /// Listens at `address`. Returns false with the reason in `error`.
    bool start(const std::string& address, std::string& error) { return listener_.start(address, error); }
    /// Takes over a socket of another process, which is listening already. Accepting is paused.
    void adopt(net::Ref<GSocket> listening) { listener_.adopt(std::move(listening)); }
    void pause_accepting() { listener_.pause(); }
    void resume_accepting() { listener_.resume(); }
    /// The descriptor of the listening socket, or -1 if there is none to pass on.
    int descriptor() const { return listener_.descriptor(); }
    void set_max_sessions(std::size_t max_sessions) { max_sessions_ = max_sessions; }
    /// Ends the sessions whose time limit has passed, and evicts sessions while there are more than
    /// allowed.
    void close_expired(double now);
    /// Closes sessions that have been idle, or have only waited for the peer to close, for `idle_s`.
    void close_idle(double now, double idle_s);
    void forget(Session& session);
    void stop() { listener_.stop(); }
    /// See net::Listener.
    void refuse_handshakes() { listener_.refuse_handshakes(); }
    void accept_pending_and_stop() { listener_.accept_pending_and_stop(); }
    /// Answers every partially received request with 503.
    void reject_partial_requests(double retry_after_s);
    void close_all();
    std::size_t sessions() const { return sessions_.size(); }
    struct SessionCounts {
        // Sessions that have received anything but health checks.
        std::size_t in_use = 0;
        // When the newest session that has received no bytes began (s).
        double last_unused_at = 0;
    };
    SessionCounts session_counts() const;

  private:
    struct ConnectedSession;
    void check_transfers(double now);
    bool ensure_capacity();
    bool evict_one();
    void add_session(net::Ref<GSocket> socket);

    SessionController& controller_;
    std::size_t max_sessions_;
    net::Listener listener_;
    std::unordered_map<Session*, std::shared_ptr<ConnectedSession>> sessions_;
};

}   // namespace slatejunction::client
