// The pool of connections to backends. It knows which backends accept attempts and at which address, and
// selects the connection for each attempt.
//
// Takes endpoint lists, and attempts and health checks with deadlines (s, net::now()). Reports the result
// of each attempt and health check to CallCallbacks. Does not select backends and does not retry.
//
// Ownership: owned by ingress::RequestDispatcher, which implements CallCallbacks. Owns the connections.
// Called by RequestDispatcher, EndpointUpdates (update()) and Ingress (limits).
#pragma once

#include <limits>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "backend/connection.hpp"
#include "backend/idle_lifetime.hpp"
#include "discovery/endpoint_list.hpp"

namespace slatejunction::backend {

class CallCallbacks {
  public:
    virtual ~CallCallbacks() = default;
    virtual void on_call_end(const AttemptTag& tag, const CallResult& outcome) = 0;
    virtual void on_health_check_end(const std::string& backend, const CallResult& outcome) = 0;
    virtual void on_response_event(const AttemptTag&, const std::string& /*backend*/,
                                   const ResponseEvent&) {}
};

struct ConnectionPoolLimits {
    std::size_t max_connections = 256;
    double dial_timeout_s = 0.25;
    double keepalive_s = 30;   // of the backends; idle connections are closed well before it ends
};

class ConnectionPool final : public ConnectionCallbacks {
  public:
    static constexpr double kNever = std::numeric_limits<double>::infinity();   // as a time in s

    ConnectionPool(CallCallbacks& callbacks, net::Timers& timers, ConnectionPoolLimits limits,
                   http::ByteBudget& bytes, std::vector<std::string> report_fields);

    /// Applies an endpoint list: a snapshot replaces all backends, a delta only those that it names.
    void update(const discovery::EndpointList& endpoint_list);
    /// Starts an attempt. If it needs a new connection, that has to be established by `start_by`.
    /// `deadline` and `start_by` are in s (net::now()). Returns null if the attempt has already ended,
    /// which on_call_end() has reported.
    std::shared_ptr<Connection> start_call(const std::string& backend, AttemptTag tag,
                                           std::shared_ptr<client::ClientRequest> request, double deadline,
                                           double start_by = kNever);
    void start_health_check(const std::string& backend, std::string_view path);
    void set_max_connections(std::size_t connections) { limits_.max_connections = connections; }
    /// Bounds the idle time of connections in addition to the limits of the backends. A negative value
    /// removes the bound.
    void set_max_idle_s(double seconds) { max_idle_s_ = seconds; }
    /// Closes connections that have been idle too long, before their backend closes them.
    void close_expired(double now);
    std::size_t connections() const { return connections_.size(); }
    std::size_t backends() const { return backends_.size(); }
    /// The number of backends that accept new attempts.
    std::size_t serving_backends() const;

    void on_call_end(Connection& connection, AttemptTag tag, const CallResult& outcome) override;
    void on_response_event(Connection& connection, AttemptTag tag, const ResponseEvent& event) override;
    void on_idle(Connection& connection) override;
    void on_closed(Connection& connection) override;

  private:
    struct Backend {
        std::string host_port;
        net::Address address;
        bool accepting = false;
        bool in_latest_list = true;                      // used while a list is being applied
        std::vector<std::shared_ptr<Connection>> idle;   // the most recently used one last
        double round_trip_s = kNever;   // the shortest dial of the connections that have been idle
    };
    struct PooledConnection;
    std::shared_ptr<Connection> start(const std::string& backend, AttemptTag tag,
                                      std::shared_ptr<client::ClientRequest> request,
                                      std::string_view health_check_path, double deadline, double start_by,
                                      slatejunction::AttemptResult& failure);
    std::shared_ptr<Connection> acquire_idle(Backend& backend);
    /// Removes the most recently used of the connections that may be used again from the idle ones; null:
    /// there is none.
    static std::shared_ptr<Connection> take_reusable(Backend& backend, double now);
    bool ensure_capacity();
    void forget_unlisted();
    /// Closes the connection that has been idle longest. There must be an idle one.
    void close_oldest(Backend& backend);
    void stop(const std::string& id, Backend& backend);

    CallCallbacks& callbacks_;
    net::Timers& timers_;
    ConnectionPoolLimits limits_;
    double max_idle_s_ = -1;
    http::ByteBudget& bytes_;
    const std::vector<std::string> report_fields_;
    IdleLifetime idle_lifetime_;
    std::map<std::string, Backend> backends_;
    std::unordered_map<Connection*, std::shared_ptr<PooledConnection>> connections_;
};

}   // namespace slatejunction::backend
