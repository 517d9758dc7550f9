// Decides which backend an address belongs to when a list has several at the same one: a new process may
// come up at the address of one that has gone before discovery has noticed the end of that one. Requests
// for the old backend would reach the new one, which has another start time, and may be in another cell.
//
// Input: the endpoint lists of discovery, in their order. Output: in each list, the backends whose address
// has been taken are draining. The backend that started last has the address; between equal start times,
// the one that was listed there last. Backends that are listed at an address for the first time together,
// with equal start times, are left as they are.
// Pure: does no I/O and reads no clock. Owned and called by EndpointUpdates.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "discovery/endpoint_list.hpp"

namespace slatejunction::discovery {

class AddressOwners {
  public:
    /// Changes `list` as described above. A delta also gets entries for backends that it does not name.
    void resolve(EndpointList& list);

  private:
    struct Claim {
        slatejunction::Endpoint entry;
        std::string address;
        double up_since_ms = 0;
        std::uint64_t first_list = 0;   // the number of the list that first had it at this address
        std::uint64_t last_list = 0;    // the number of the last list that named it
        bool drained = false;           // a list that this object has changed says so
        bool later_than(const Claim& other) const {
            return up_since_ms != other.up_since_ms ? up_since_ms > other.up_since_ms
                                                    : first_list > other.first_list;
        }
    };
    void add_claims(const EndpointList& list);
    void add_claim(const EndpointList& list, std::size_t index);
    void remove_claim(const std::string& id);
    void forget_unnamed(const EndpointList& list);
    void drain_named(EndpointList& list);
    void drain_unnamed(EndpointList& list);
    bool displaced(const Claim& claim) const;

    std::uint64_t lists_ = 0;
    std::unordered_map<std::string, Claim> claims_;   // by backend id
    std::unordered_multimap<std::string, std::string> ids_by_address_;
    std::unordered_set<std::string> contested_;   // addresses that several backends claim
};

}   // namespace slatejunction::discovery
