// When each backend started, on this process's monotonic clock.
//
// Discovery states starts in Unix time. The wall clock here, or of a backend, may be off by any amount, and
// slow start is a span of real time: so a new backend is never taken to be older than the time since the
// last list without it. Among new backends ages differ as the stated starts do; the latest one has started
// when it was first listed.
//
// Input: endpoint lists, times in s (net::now()). Output: Endpoint::started_at_s. Pure: no I/O, no clock.
// Owned and called by ingress::EndpointUpdates.
#pragma once

#include <limits>
#include <string>
#include <unordered_map>

#include "discovery/endpoint_list.hpp"

namespace slatejunction::discovery {

class EndpointStartTimes {
  public:
    /// Sets `started_at_s` of each entry of a list of discovery; before, it is the converted Unix time. To
    /// be called with every list, also an empty one. Entries without a stated start are known, and get
    /// theirs.
    void resolve(EndpointList& endpoint_list, double now);
    /// The same for the cached list, with which the next ones are compared. Its starts are the converted
    /// ones.
    void resolve_cached(EndpointList& cached, double now);
    /// A list that another process of this ingress has resolved.
    void adopt(const EndpointList& resolved);
    /// Fills in `up_since_ms` of a list that is in force.
    void restore_stated(EndpointList& endpoint_list) const;

    std::size_t size() const { return starts_.size(); }   // backends remembered

  private:
    struct Start {
        double up_since_ms = 0;     // as stated; 0: long ago
        double started_at_s = 0;    // net::now(); 0: long ago
        double last_named_at = 0;   // s; when a list last named it, or first did not
        bool listed = false;
    };
    void remember(const slatejunction::Endpoint& entry, double up_since_ms, double now);
    void unlist_unnamed(const EndpointList& endpoint_list, double now);
    void forget_old(double now);

    std::unordered_map<std::string, Start> starts_;
    bool has_reference_list_ = false;   // a snapshot has come: who is not in it is new
    double last_list_at_ = -std::numeric_limits<double>::infinity();   // s
    // s; the shortest time from a stated start to the first list with the backend. Contains the wall
    // clocks' error.
    double min_lag_s_ = std::numeric_limits<double>::infinity();
    double next_sweep_at_ = 0;   // s
};

}   // namespace slatejunction::discovery
