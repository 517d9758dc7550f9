// Passes endpoint lists from discovery to the connection pool and the gateway.
//
// Input: lists of the discovery watch, the cached list of the configuration, the list of the old process in
// a hot restart, and suspensions by operators. Output: each list, with the backends' start times on this
// process's clock and with the operators' overrides and the list filters applied, to the connection pool
// and then to the gateway. It makes no decision about a backend.
//
// Ownership: owned and called by Ingress; the objects that its constructor takes by reference outlive it.
// Owns the discovery watch and its connection, which call it back. Calls ConnectionPool, RequestDispatcher
// and EndpointListFilter.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "admin/operator_overrides.hpp"
#include "discovery/address_owners.hpp"
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
    /// `cached` is the list of the configuration, in force until discovery answers.
    EndpointUpdates(RequestDispatcher& dispatcher, admin::OperatorOverrides& overrides,
                    hot_restart::RestartChannel& restart_channel, net::Timers& timers,
                    const discovery::UnixTimeConverter& clock, Log& log, discovery::EndpointList cached,
                    std::string discovery_address, std::uint64_t seed);

    /// Replaces the cached list with that of the old process, before start(): it is the newer one, and both
    /// processes count as one ingress. An empty list changes nothing.
    void adopt_list(discovery::EndpointList& list);
    /// Applies the cached list and starts the watch.
    void start();
    /// Moves the watch to another address. The list stays in force, and the new watch continues from its
    /// revision.
    void move_watch(const std::string& discovery_address);
    /// Polls discovery now, unless a poll is in flight or discovery rejects polls.
    void poll_now();

    /// Applies the delta that results from an operator's override. An empty one changes nothing.
    void apply_operator_change(discovery::EndpointList& change);
    /// Passes a list that an extension has made to the gateway. An empty one changes nothing.
    void update_gateway(slatejunction::EndpointUpdate list);
    void register_filter(EndpointListFilter& filter) { filters_.push_back(&filter); }

    /// The number of backends in the list that start() applies or has applied.
    std::size_t cached_backends() const { return cached_.update.endpoints.size(); }
    /// The whole list in force as discovery states it, for the new process of a hot restart.
    discovery::EndpointList stated_list() const;
    /// When discovery answered last (s, net::now()); 0: not yet.
    double last_answer_at() const;

  private:
    struct WatchConnection;

    void on_endpoint_list(discovery::EndpointList& list) override;
    void on_watch_lost(const char* error) override;
    std::shared_ptr<WatchConnection> make_watch();
    void update_pool_and_gateway(discovery::EndpointList& list);
    void apply_filters(slatejunction::EndpointUpdate& list);

    RequestDispatcher& dispatcher_;
    admin::OperatorOverrides& overrides_;
    hot_restart::RestartChannel& restart_channel_;
    net::Timers& timers_;
    const discovery::UnixTimeConverter& clock_;
    Log& log_;
    const std::uint64_t seed_;   // of the watch's backoff
    std::string discovery_address_;
    discovery::EndpointList cached_;
    bool start_times_adopted_ = false;   // cached_ is the list of the old process
    std::shared_ptr<WatchConnection> watch_;
    discovery::EndpointStartTimes start_times_;
    discovery::AddressOwners address_owners_;
    std::string last_logged_error_;     // of discovery
    double last_error_logged_at_ = 0;   // s, net::now()
    std::vector<EndpointListFilter*> filters_;
};

}   // namespace slatejunction::ingress
