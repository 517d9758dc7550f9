// Connections to providers: who may be called, where, and over which connection.
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
    virtual void on_call_end(const AttemptTag& tag, const CallResult& end) = 0;
    virtual void on_health_check_end(const std::string& provider, const CallResult& end) = 0;
};

struct ConnectionPoolLimits {
    std::size_t max_connections = 256;
    double dial_timeout_s = 0.25;
    double keepalive_s = 30;   // the providers' own; connections end well before
};

class ConnectionPool final : public ConnectionCallbacks {
  public:
    static constexpr double kNever = std::numeric_limits<double>::infinity();   // s, as a time

    ConnectionPool(CallCallbacks& host, net::Timers& timers, ConnectionPoolLimits limits,
                   http::ByteBudget& bytes, std::vector<std::string> report_fields);

    void update(const discovery::EndpointList& listing);
    // Starts an invoker call. Empty when it ended at once: on_call_end has told how.
    std::shared_ptr<Connection> start_call(const std::string& provider, AttemptTag tag,
                                           std::shared_ptr<client::ClientRequest> invocation, double until,
                                           double begin_by = kNever);
    void start_health_check(const std::string& provider, std::string_view path);
    void set_max_connections(std::size_t connections) { limits_.max_connections = connections; }
    // No connection is kept idle for longer than that from here on; below 0: as the providers allow.
    void set_max_idle_s(double seconds) { idle_most_ = seconds; }
    void close_expired(double now);   // ends idle connections before their provider does
    std::size_t connections() const { return connections_.size(); }
    std::size_t backends() const { return providers_.size(); }
    std::size_t serving_backends() const;   // of these, that take new work

    void on_call_end(Connection& connection, AttemptTag tag, const CallResult& end) override;
    void on_idle(Connection& connection) override;
    void on_closed(Connection& connection) override;

  private:
    struct Provider {
        std::string host_port;
        net::Address address;
        bool accepting = false;
        bool named = true;                               // by the list that is being taken
        std::vector<std::shared_ptr<Connection>> idle;   // the most recent last
    };
    struct Linked;
    std::shared_ptr<Connection> start(const std::string& provider, AttemptTag tag,
                                      std::shared_ptr<client::ClientRequest> invocation,
                                      std::string_view probe_path, double until, double begin_by,
                                      slatejunction::AttemptResult& failure);
    std::shared_ptr<Connection> take_idle(Provider& provider);
    bool make_room();
    void forget_unnamed();
    void close_oldest(Provider& provider);   // of its idle ones; there is one
    void stop(const std::string& id, Provider& provider);

    CallCallbacks& host_;
    net::Timers& timers_;
    ConnectionPoolLimits limits_;
    double idle_most_ = -1;
    http::ByteBudget& bytes_;
    const std::vector<std::string> report_fields_;
    IdleLifetime freshness_;
    std::map<std::string, Provider> providers_;
    std::unordered_map<Connection*, std::shared_ptr<Linked>> connections_;
};

}   // namespace slatejunction::backend
