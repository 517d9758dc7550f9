// The endpoint list's way from discovery to the connection pool and the gateway.
//
// Input: lists of the discovery watch, the copy of the configuration, the list of an old process in a hot
// restart, operators' suspensions. Output: each list, with backends' start times on this process's clock,
// with operators' overrides and the list filters applied, to the connection pool and then to the gateway.
// It decides nothing about a backend.
//
// Ownership: owned by Ingress, which calls it; all that the constructor gets lives longer. Owns the
// discovery watch and its connection, which call it back. Calls ConnectionPool, RequestDispatcher and
// EndpointListFilter.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "admin/operator_overrides.hpp"
#include "discovery/endpoint_start_times.hpp"
#include "discovery/endpoint_watch.hpp"
#include "hot_restart/restart_channel.hpp"
#include "ingress/extensions.hpp"
#include "ingress/request_dispatcher.hpp"
#include "log/log.hpp"
#include "net/timers.hpp"

namespace slatejunction::ingress {

class EndpointUpdates final : discovery::WatchCallbacks {
  public:
    /// `cached`: the list of the configuration, in force until discovery answers.
    EndpointUpdates(RequestDispatcher& dispatcher, admin::OperatorOverrides& overrides,
                    hot_restart::RestartChannel& restart_channel, net::Timers& timers,
                    const discovery::UnixTimeConverter& clock, Log& log, discovery::EndpointList cached,
                    std::string discovery_address, std::uint64_t seed);

    /// Puts an old process's list in the place of the configuration's copy, before start(). It is the newer
    /// one, and both processes count as one ingress. An empty one changes nothing.
    void adopt_list(discovery::EndpointList& list);
    /// Applies the cached list and starts the watch.
    void start();
    /// Moves the watch to another address. The list in force stays, and the new watch goes on from its
    /// revision.
    void move_watch(const std::string& discovery_address);
    /// Asks discovery for the list now, unless a call is out or discovery turns callers away.
    void poll_now();

    /// Applies `change`, a part of the list as operators have it. An empty one changes nothing.
    void apply_operator_change(discovery::EndpointList& change);
    /// Sends a list that an extension has made to the gateway. An empty one changes nothing.
    void update_gateway(slatejunction::EndpointUpdate list);
    void register_filter(EndpointListFilter& filter) { filters_.push_back(&filter); }

    /// Backends in the list that start() applies, or has applied.
    std::size_t cached_backends() const { return cached_.update.endpoints.size(); }
    /// The whole list in force, as discovery stated it: for the new process of a hot restart.
    discovery::EndpointList stated_list() const;
    /// s, net::now(); 0: discovery has not answered yet.
    double last_answer_at() const;

  private:
    struct WatchConnection;

    void on_endpoint_list(discovery::EndpointList& list) override;
    void on_watch_lost(const char* why) override;
    std::shared_ptr<WatchConnection> make_watch();
    void update_pool_and_gateway(discovery::EndpointList& list);
    void apply_filters(slatejunction::EndpointUpdate& list);

    RequestDispatcher& dispatcher_;
    admin::OperatorOverrides& overrides_;
    hot_restart::RestartChannel& restart_channel_;
    net::Timers& timers_;
    const discovery::UnixTimeConverter& clock_;
    Log& log_;
    const std::uint64_t seed_;   // of the watch's waits
    std::string discovery_address_;
    discovery::EndpointList cached_;
    bool start_times_adopted_ = false;   // cached_ is an old process's list
    std::shared_ptr<WatchConnection> watch_;
    discovery::EndpointStartTimes start_times_;
    std::string last_logged_fault_;     // of discovery
    double last_fault_logged_at_ = 0;   // s, net::now()
    std::vector<EndpointListFilter*> filters_;
};

}   // namespace slatejunction::ingress
