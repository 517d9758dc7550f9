// The interface through which a module cooperates with other ingresses: datagrams between them and the
// leader's lease. src/app/fleet_component, which owns membership and leases, implements it and passes it
// to the modules that need it. A module that is given none works without the fleet.
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
    /// Must be called right before each action of the leader. Returns false if the action must not begin;
    /// otherwise fills in `permit`.
    virtual bool leader_may_act(Permit& permit) const = 0;
    /// Returns the name of the leader as known to this process; empty if none is known.
    virtual std::string leader_name() const = 0;
    /// Registers a callback: `callback(true)` when this process becomes the leader, `callback(false)` when
    /// it no longer is.
    virtual void on_leadership_change(std::function<void(bool)> callback) = 0;
    /// Registers a callback that receives the sorted names of the members that are alive or suspected,
    /// including this one. It is called at once and after each change of the membership.
    virtual void on_membership_change(std::function<void(const std::vector<std::string>&)> callback) = 0;
    /// Sends one datagram, which may be lost, duplicated or delayed. Returns false if it was not sent.
    virtual bool send(const std::string& to, membership::Channel channel, std::string_view body) = 0;
    virtual void broadcast(membership::Channel channel, std::string_view body) = 0;
    virtual void listen(membership::Channel channel, membership::GossipTransport::Listener listener) = 0;
};

}   // namespace slatejunction::lease
