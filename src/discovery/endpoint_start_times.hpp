// Determines when each backend started, on this process's monotonic clock.
//
// Discovery states start times in Unix time. The wall clock of this machine or of a backend may be wrong by
// any amount, whereas slow start is a span of real time. So a new backend is never taken to be older than
// the time since the last list. The ages of new backends differ as their stated start times do, with the
// latest one having started when it was first listed.
//
// Times are in s (net::now()). Pure: does no I/O and reads no clock. Owned and called by
// ingress::EndpointUpdates.
#pragma once

#include <limits>
#include <string>
#include <unordered_map>

#include "discovery/endpoint_list.hpp"

namespace slatejunction::discovery {

class EndpointStartTimes {
  public:
    /// Sets `started_at_s` of each entry of a list from discovery. On input it is the converted Unix time.
    /// To be called with every list, including empty ones. Entries at the end without `up_since_ms` get
    /// that of the known backend.
    void resolve(EndpointList& endpoint_list, double now);
    /// Does the same for the cached list, which later lists are compared with. It keeps the converted start
    /// times, bounded by `now`.
    void resolve_cached(EndpointList& cached, double now);
    /// Takes over a list that another process of this ingress has resolved.
    void adopt(const EndpointList& resolved);
    /// Sets `up_since_ms` of a list that is in force.
    void restore_stated(EndpointList& endpoint_list) const;

    /// The number of backends that are remembered.
    std::size_t size() const { return starts_.size(); }

  private:
    struct Start {
        double up_since_ms = 0;     // as stated; 0 means long ago
        double started_at_s = 0;    // 0 means long ago
        double last_named_at = 0;   // s; the last list that names the backend, or the first that does not
        bool listed = false;
    };
    void remember(const slatejunction::Endpoint& entry, double up_since_ms, double now);
    void unlist_unnamed(const EndpointList& endpoint_list, double now);
    void forget_old(double now);

    std::unordered_map<std::string, Start> starts_;
    bool has_reference_list_ = false;   // a whole list is known, so backends that are not in it are new
    double last_list_at_ = -std::numeric_limits<double>::infinity();   // s
    // The shortest time from a backend's stated start to the first list that named it (s). Includes the
    // error of the wall clocks.
    double min_lag_s_ = std::numeric_limits<double>::infinity();
    double next_sweep_at_ = 0;   // s
};

}   // namespace slatejunction::discovery
