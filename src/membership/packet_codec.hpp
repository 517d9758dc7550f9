// Encodes and decodes the packets of the membership protocol (membership.proto). SwimMembership decides
// what follows from a packet.
#pragma once

#include <cstdint>
#include <string>

#include "membership.pb.h"
#include "membership/swim.hpp"

namespace slatejunction::membership {

/// The numeric values are part of the wire format.
enum class PacketKind : std::uint32_t {
    join = 1,       ///< asks for the identity of the receiver, whose process id is not known
    join_reply,     ///< answers a join with the identity of the sender
    ping,           ///< direct probe
    ack,            ///< answers a ping; a relay passes it on to the requester
    ping_request,   ///< asks a relay to ping `target` (indirect probe of SWIM)
    sync,           ///< the sender's full member list, in parts (anti-entropy)
    user_message,   ///< a message of a module that uses membership, with its channel
    gossip          ///< carries piggybacked updates only
};

/// Returns a packet from `self` without further content.
wire::Packet make_packet(PacketKind kind, const Member& self);
void encode_member(const Member& member, wire::Member& out);
/// Returns the member of an update as newly known, in the state alive since `now` (s).
Member decode_new_member(const wire::Member& update, double now);
/// Whether the texts are printable and not too long, and the numbers are in their ranges.
bool is_valid(const wire::Member& update);
/// Whether the sender of the packet is valid and is the process that authenticated it.
bool has_valid_sender(const wire::Packet& packet, std::uint64_t process);
/// Whether `update` replaces `known`: it does with a higher incarnation or, for the same process and
/// incarnation, with a worse state.
bool supersedes(const wire::Member& update, const Member& known);

}   // namespace slatejunction::membership
