// What the fleet offers to modules that act together with other ingresses: datagrams between them, and
// the leader's lease. Implemented by src/app/fleet_component, which has membership and leases, and
// passed to the modules that need it; a module without one acts alone.
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
    /// Must be called right before each action of the leader. False: the action must not begin.
    virtual bool leader_may_act(Permit& permit) const = 0;
    /// Name of the leader as far as it is known here; empty: none is known.
    virtual std::string leader_name() const = 0;
    /// `call(true)`: this process leads from now on; `call(false)`: no longer.
    virtual void on_leadership_change(std::function<void(bool)> call) = 0;
    /// Names of the alive members, sorted, this one among them: at once, and with each change.
    virtual void on_membership_change(std::function<void(const std::vector<std::string>&)> call) = 0;
    /// Sends one datagram, which may be lost, duplicated or late. False: it was not sent.
    virtual bool send(const std::string& to, membership::Channel channel, std::string_view body) = 0;
    virtual void broadcast(membership::Channel channel, std::string_view body) = 0;
    virtual void listen(membership::Channel channel, membership::GossipTransport::Listener listener) = 0;
};

}   // namespace slatejunction::lease
