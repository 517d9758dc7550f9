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

class CallHost {
  public:
    virtual ~CallHost() = default;
    virtual void on_call_end(const CallTag& tag, const CallEnd& end) = 0;
    virtual void on_probe_end(const std::string& provider, const CallEnd& end) = 0;
};

struct PoolLimits {
    std::size_t connections = 256;
    double dial_timeout_s = 0.25;
    double keepalive_s = 30;   // the providers' own; connections end well before
};

class Pool final : public ConnectionHost {
  public:
    static constexpr double kNever = std::numeric_limits<double>::infinity();   // s, as a time

    Pool(CallHost& host, net::Timers& timers, PoolLimits limits, http::Budget& bytes,
         std::vector<std::string> report_fields);

    void update(const discovery::Listing& listing);
    // Starts an invoker call. Empty when it ended at once: on_call_end has told how.
    std::shared_ptr<Connection> call(const std::string& provider, CallTag tag,
                                     std::shared_ptr<client::Invocation> invocation, double until,
                                     double begin_by = kNever);
    void probe(const std::string& provider, std::string_view path);
    void set_most(std::size_t connections) { limits_.connections = connections; }
    // No connection is kept idle for longer than that from here on; below 0: as the providers allow.
    void set_idle_most(double seconds) { idle_most_ = seconds; }
    void sweep(double now);   // ends idle connections before their provider does
    std::size_t connections() const { return connections_.size(); }
    std::size_t providers() const { return providers_.size(); }
    std::size_t ready() const;   // of these, that take new work

    void on_call_end(Connection& connection, CallTag tag, const CallEnd& end) override;
    void on_free(Connection& connection) override;
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
    std::shared_ptr<Connection> start(const std::string& provider, CallTag tag,
                                      std::shared_ptr<client::Invocation> invocation,
                                      std::string_view probe_path, double until, double begin_by,
                                      slatejunction::Outcome& failure);
    std::shared_ptr<Connection> take_idle(Provider& provider);
    bool make_room();
    void forget_unnamed();
    void close_oldest(Provider& provider);   // of its idle ones; there is one
    void stop(const std::string& id, Provider& provider);

    CallHost& host_;
    net::Timers& timers_;
    PoolLimits limits_;
    double idle_most_ = -1;
    http::Budget& bytes_;
    const std::vector<std::string> report_fields_;
    Freshness freshness_;
    std::map<std::string, Provider> providers_;
    std::unordered_map<Connection*, std::shared_ptr<Linked>> connections_;
};

}   // namespace slatejunction::backend
