// What the fleet's floor offers to those that do something together with other ingresses: words between
// them, and the one conductor's lease. Implemented where peers and leases are (src/app), handed to whoever
// needs it; who is given none is alone.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "lease/lease_node.hpp"
#include "membership/gossip_transport.hpp"

namespace slatejunction::lease {

class FleetContext {
  public:
    virtual ~FleetContext() = default;
    // To be asked right before each act of the conductor's. False: it must not be begun.
    virtual bool leader_may_act(Permit& permit) const = 0;
    virtual std::string leader_name() const = 0;   // by name, as far as is known here; empty: nobody
    virtual void on_leadership_change(
        std::function<void(bool)> call) = 0;   // this one does from now on, or no longer
    // Who is there, this one too, by name and sorted: at once, and with each change.
    virtual void on_members(std::function<void(const std::vector<std::string>&)> call) = 0;
    // Datagrams: lost, doubled or late ones are the caller's to bear. False: it was not sent.
    virtual bool send(const std::string& to, membership::Channel channel, std::string_view body) = 0;
    virtual void broadcast(membership::Channel channel, std::string_view body) = 0;
    virtual void listen(membership::Channel channel, membership::GossipTransport::Listener listener) = 0;
};

}   // namespace slatejunction::lease
