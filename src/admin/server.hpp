// The admin server: accepts HTTP connections at the admin address, one call per connection, and writes the
// replies.
//
// Input: connections. Output: AdminCallHandler::on_call() for each valid call. Its event sources have a
// higher priority in the loop than those of clients and backends, and its limits of connections and bytes
// are its own, so that load on the ingress does not delay a reply.
//
// Ownership: Server is owned by ingress::Ingress, which is its handler; it owns its sessions.
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

/// `text` is sent as text/plain, followed by a newline.
struct AdminReply {
    int status = 200;
    std::string text;
};

class AdminCallHandler {
  public:
    virtual ~AdminCallHandler() = default;
    /// Handles a valid call. Calls `reply` once, now or later, even if the peer has disconnected meanwhile.
    virtual void on_call(const AdminCall& call, std::function<void(AdminReply)> reply) = 0;
    /// Connections to the admin address repeatedly could not be accepted.
    virtual void on_admin_accept_error(const char* error) = 0;
};

class Session;

class Server {
  public:
    /// At `max_sessions` a new connection evicts the session that has been stalled longest. `handler` and
    /// `timers` must outlive the server.
    Server(AdminCallHandler& handler, net::Timers& timers, std::size_t max_sessions);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    /// Listens at `address`. Returns false, and sets `error`, if that fails.
    bool start(const std::string& address, std::string& error) { return listener_.start(address, error); }
    bool listening() const { return listener_.descriptor() >= 0; }
    /// Closes the sessions that have exceeded their time limit.
    void close_expired(double now);
    std::size_t sessions() const { return sessions_.size(); }

  private:
    friend class Session;
    struct ConnectedSession;
    bool ensure_capacity();
    void add_session(net::Ref<GSocket> socket);
    void forget(Session& session);

    AdminCallHandler& handler_;
    const std::size_t max_sessions_;
    http::ByteBudget bytes_;   // outlives the sessions, whose buffers use it
    net::Listener listener_;
    std::unordered_map<Session*, std::shared_ptr<ConnectedSession>> sessions_;
};

/// State machine of one connection: reads a call, awaits its reply, writes it, and waits for the peer to
/// close.
class Session : public net::Protocol {
  public:
    Session(AdminCallHandler& handler, Server* server, http::ByteBudget& bytes)
        : handler_(handler), server_(server), parser_(http::Parser::Kind::request), buffer_(&bytes) {}
    void attach(net::Transport& transport) { transport_ = &transport; }

    std::span<char> receive_buffer() override;
    void on_bytes(std::size_t size) override;
    void on_sent() override;
    void on_end(bool clean) override;
    void send_reply(const AdminReply& reply);

    /// Whether the session has exceeded the time limit of its state.
    bool expired(double now) const;
    /// The rank for net::find_eviction_candidate(): the lowest is evicted first, below 0 never.
    int eviction_rank(double now) const;
    double since() const { return state_since_; }
    void end();

  private:
    enum class State { reading, awaiting_reply, closing, ended };
    void handle_call();

    AdminCallHandler& handler_;
    Server* server_;   // null: no server has to be notified of the end
    net::Transport* transport_ = nullptr;
    http::Parser parser_;
    http::Buffer buffer_;
    AdminCall call_;
    State state_ = State::reading;
    double state_since_ = net::now();
};

}   // namespace slatejunction::admin
