// The operators' address: takes their calls, one a connection, and answers. Its sources go before all
// others of the loop, and its descriptors and bytes are its own, so that no load on the ingress delays an
// answer.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "admin/call.hpp"
#include "http/message.hpp"
#include "net/listener.hpp"
#include "net/stream.hpp"

namespace slatejunction::admin {

// An answer in plain text, a line for a person.
struct AdminReply {
    int status = 200;
    std::string text;
};

class AdminCallHandler {
  public:
    virtual ~AdminCallHandler() = default;
    // `reply` is to be called once, now or later; it may be called after the caller has gone.
    virtual void on_call(const AdminCall& call, std::function<void(AdminReply)> reply) = 0;
    virtual void on_admin_error(const char* why) = 0;
};

class Session;

class Server {
  public:
    // `most`: connections at once; beyond it the one that has been stalled longest goes.
    Server(AdminCallHandler& host, net::Timers& timers, std::size_t most);
    ~Server();
    bool start(const std::string& address, std::string& why) { return listener_.start(address, why); }
    bool listening() const { return listener_.descriptor() >= 0; }
    void close_expired(double now);   // ends connections whose time is up
    std::size_t sessions() const { return sessions_.size(); }

  private:
    friend class Session;
    struct Linked;
    bool room();
    void take(net::Ref<GSocket> socket);
    void forget(Session& session);

    AdminCallHandler& host_;
    const std::size_t most_;
    http::ByteBudget bytes_;   // lives longer than the sessions that hold them
    net::Listener listener_;
    std::unordered_map<Session*, std::shared_ptr<Linked>> sessions_;
};

// The state machine of one connection.
class Session : public net::Protocol {
  public:
    Session(AdminCallHandler& host, Server* server, http::ByteBudget& bytes)
        : host_(host), server_(server), parser_(http::Parser::Kind::request), buffer_(&bytes) {}
    void attach(net::Transport& transport) { transport_ = &transport; }

    std::span<char> receive_buffer() override;
    void on_bytes(std::size_t size) override;
    void on_sent() override;
    void on_end(bool clean) override;
    void answer(const AdminReply& reply);

    bool over(double now) const;           // its time is up
    int eviction_rank(double now) const;   // how soon a full house gives it up: 0 first; below 0 not at all
    double since() const { return since_; }
    void end();

  private:
    enum class State { reading, asking, closing, ended };
    void take();

    AdminCallHandler& host_;
    Server* server_;   // null: on its own, in tests
    net::Transport* transport_ = nullptr;
    http::Parser parser_;
    http::Buffer buffer_;
    AdminCall call_;
    State state_ = State::reading;
    double since_ = net::now();
};

}   // namespace slatejunction::admin
