// When each backend started, on this process's monotonic clock.
//
// Discovery states starts in Unix time. The wall clock of this machine, or of a backend's, may be off by
// any amount, and slow start is a span of real time: so the age of a backend that was seen to come is never
// taken to be more than the time since the list that did not hold it yet. Among such backends ages differ
// as the stated times do; the latest counts as having started when it was first listed. Pure: no I/O, no
// clock.
#pragma once

#include <limits>
#include <string>
#include <unordered_map>

#include "discovery/endpoint_list.hpp"

namespace slatejunction::discovery {

class EndpointStartTimes {
  public:
    // Sets `born_s` of each entry of a list that discovery has told at `now` (s, net::now()); on its way in
    // it is what the wall clock says. Every whole answer counts, also one that names nothing. Entries
    // behind those with a stated start are known ones, and get theirs.
    void resolve(EndpointList& listing, double now);
    // The same for a copy that somebody kept: the list that all later ones are compared with. Its entries
    // have nothing but the wall clock.
    void resolve_cached(EndpointList& copy, double now);
    // From another process of this ingress, which has settled it already.
    void adopt(const EndpointList& settled);
    // Writes the stated start beside each entry of a list that is in force here.
    void restore_stated(EndpointList& listing) const;

    std::size_t size() const { return starts_.size(); }   // backends remembered

  private:
    struct Start {
        double up_since_ms = 0;   // as stated; 0: long ago
        double born_s = 0;        // net::now(); 0: long ago
        double named_at = 0;      // s; when a list last named it, or first did not
        bool listed = false;
    };
    void remember(const slatejunction::Endpoint& entry, double up_since_ms, double now);
    void unlist_unnamed(const EndpointList& listing, double now);
    void forget_old(double now);

    std::unordered_map<std::string, Start> starts_;
    bool compares_ = false;   // there is a list that newcomers are not in
    double last_list_at_ = -std::numeric_limits<double>::infinity();   // s; discovery's last answer
    // s; the least time from a stated start until the backend was seen to come. It holds the wall clocks'
    // error, whatever it is, and how late lists come.
    double least_lag_s_ = std::numeric_limits<double>::infinity();
    double next_sweep_at_ = 0;   // s
};

}   // namespace slatejunction::discovery
