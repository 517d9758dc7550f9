// Mapping between members and the packets of the membership protocol (membership.proto).
//
// Never does: deciding what follows from a packet; SwimMembership calls these functions.
#pragma once

#include <cstdint>
#include <string>

#include "membership.pb.h"
#include "membership/swim.hpp"

namespace slatejunction::membership {

/// The values are on the wire.
enum class PacketKind : std::uint32_t {
    join = 1,       ///< asks who is there; sent without knowing the receiver's process
    join_reply,     ///< tells it the sender's process
    ping,           ///< direct probe
    ack,            ///< answers a ping; passed on by a relay to who requested it
    ping_request,   ///< asks a relay to ping `target` (SWIM's indirect probe)
    sync,           ///< the sender's full member list, in parts (anti-entropy)
    user_message,   ///< a body for the modules above, by channel
    gossip          ///< nothing but piggybacked updates
};

/// A packet without content from `self`.
wire::Packet make_packet(PacketKind kind, const Member& self);
void encode_member(const Member& member, wire::Member& out);
/// A member that was not known before, alive since `now` (s).
Member decode_new_member(const wire::Member& update, double now);
/// Whether names and texts are printable and within their bounds, and numbers make sense.
bool is_valid(const wire::Member& update);
/// Whether the packet's sender is valid and is the process that authenticated it.
bool has_valid_sender(const wire::Packet& packet, std::uint64_t process);
/// Whether `update` replaces what is known: the higher incarnation does, then the worse state of the same
/// process.
bool supersedes(const wire::Member& update, const Member& known);

}   // namespace slatejunction::membership
