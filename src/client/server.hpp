// All consumer connections: takes them in, keeps them inside their share of the descriptors.
#pragma once

#include <unordered_map>

#include "client/session.hpp"
#include "net/listener.hpp"

namespace slatejunction::client {

class Server {
  public:
    Server(SessionController& host, net::Timers& timers, std::size_t most);
    bool start(const std::string& address, std::string& why) { return listener_.start(address, why); }
    void adopt(net::Ref<GSocket> listening) { listener_.adopt(std::move(listening)); }   // and holds
    void pause_accepting() { listener_.pause(); }
    void resume_accepting() { listener_.resume(); }
    int descriptor() const { return listener_.descriptor(); }
    void set_max_sessions(std::size_t most) { most_ = most; }
    void close_expired(double now);               // ends connections whose time is up
    void close_idle(double now, double idle_s);   // those idle that long, or done but for the peer's part
    void forget(Session& session);
    void stop() { listener_.stop(); }
    void refuse_handshakes() { listener_.refuse_handshakes(); }   // see net::Listener
    void accept_pending_and_stop() { listener_.accept_pending_and_stop(); }
    void reject_partial_requests(double retry_after_s);   // 503 to every request that is half through
    void close_all();
    std::size_t sessions() const { return sessions_.size(); }
    struct SessionCounts {
        std::size_t in_use = 0;      // sessions on which anything but health checks has come
        double last_unused_at = 0;   // s; the newest one on which nothing has come
    };
    SessionCounts session_counts() const;

  private:
    struct Linked;
    bool room();
    bool spare_one();
    void take(net::Ref<GSocket> socket);

    SessionController& host_;
    std::size_t most_;
    net::Listener listener_;
    std::unordered_map<Session*, std::shared_ptr<Linked>> sessions_;
};

}   // namespace slatejunction::client
