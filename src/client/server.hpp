// All consumer connections: takes them in, keeps them inside their share of the descriptors.
#pragma once

#include <unordered_map>

#include "client/session.hpp"
#include "net/listener.hpp"

namespace slatejunction::client {

class Server {
  public:
    Server(SessionHost& host, net::Timers& timers, std::size_t most);
    bool start(const std::string& address, std::string& why) { return listener_.start(address, why); }
    void adopt(net::Ref<GSocket> listening) { listener_.adopt(std::move(listening)); }   // and holds
    void hold() { listener_.hold(); }
    void go_on() { listener_.go_on(); }
    int descriptor() const { return listener_.descriptor(); }
    void set_most(std::size_t most) { most_ = most; }
    void sweep(double now);                     // ends connections whose time is up
    void end_idle(double now, double idle_s);   // those idle that long, or done but for the peer's part
    void forget(Session& session);
    void stop() { listener_.stop(); }
    void refuse_new() { listener_.refuse_new(); }   // see net::Listener
    void take_waiting_and_stop() { listener_.take_waiting_and_stop(); }
    void turn_away(double retry_after_s);   // 503 to every request that is half through
    void end_all();
    std::size_t sessions() const { return sessions_.size(); }
    struct Census {
        std::size_t in_use = 0;       // sessions on which anything but health checks has come
        double last_unknown_at = 0;   // s; the newest one on which nothing has come
    };
    Census census() const;

  private:
    struct Linked;
    bool room();
    bool spare_one();
    void take(net::Ref<GSocket> socket);

    SessionHost& host_;
    std::size_t most_;
    net::Listener listener_;
    std::unordered_map<Session*, std::shared_ptr<Linked>> sessions_;
};

}   // namespace slatejunction::client
