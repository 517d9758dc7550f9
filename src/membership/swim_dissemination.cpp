// Dissemination: joining, gossip, anti-entropy sync, sending with piggybacked updates.
#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/datagram_auth.hpp"
#include "membership/packet_codec.hpp"
#include "membership/swim.hpp"

namespace slatejunction::membership {
namespace {

constexpr std::size_t kMaxPayloadBytes = kMaxDatagramBytes - kAuthOverheadBytes;
constexpr std::size_t kFieldOverheadBytes = 4;   // tag and length of one repeated update
constexpr double kJoinPeriods = 2;               // protocol periods between join requests before joining
constexpr double kRejoinPeriods = 10;            // the same after joining

}   // namespace

void SwimMembership::enqueue_update(const std::string& name) { pending_updates_[name].transmissions = 0; }

void SwimMembership::announce_self(double now) {
    if (awaiting_name_ || self_.state_since > now) return;
    enqueue_update(self_.name);
}

void SwimMembership::send_gossip(double now) {
    if (pending_updates_.empty()) return;
    for (const std::string& name : pick_random_members(kGossipFanout, {})) {
        if (pending_updates_.empty()) return;
        wire::Packet packet = make_packet(PacketKind::gossip, self_);
        send_packet(now, peers_.at(name), packet, Priority::background);
    }
}

// Sends join requests to some addresses of members that are not listed as alive, to join the fleet and to
// heal partitions.
void SwimMembership::send_join_requests(double now) {
    std::vector<std::string> addresses = join_candidates();
    std::shuffle(addresses.begin(), addresses.end(), random_);
    if (addresses.size() > kGossipFanout) addresses.resize(kGossipFanout);
    for (const std::string& address : addresses) {
        wire::Packet join = make_packet(PacketKind::join, self_);
        send_packet(now, address, 0, join, Priority::background, false);
    }
    // A sync tells whether the other holder of the name is still alive.
    if (awaiting_name_)
        for (const std::string& name : pick_random_members(1, {})) request_sync(now, peers_.at(name));
    const double periods = joined_ ? kRejoinPeriods : kJoinPeriods;
    next_join_at_ = now + with_jitter(periods * settings_.protocol_period_s);
}

// Returns the addresses of the seeds and static members that are not listed as alive, and that of one
// random member that is gone.
std::vector<std::string> SwimMembership::join_candidates() {
    std::set<std::string> alive_addresses;
    std::vector<std::string> gone_addresses;
    for (const auto& [name, peer] : peers_) {
        const std::string address = address_of(peer.member);
        if (counts_as_alive(peer.member.state)) {
            alive_addresses.insert(address);
            alive_addresses.insert(peer.member.address);
        }
        if (peer.member.state == MemberState::gone) gone_addresses.push_back(address);
    }
    std::vector<std::string> candidates;
    const auto add = [&](const std::string& address) {
        if (address != self_.address && !alive_addresses.contains(address)) candidates.push_back(address);
    };
    for (const std::string& seed : settings_.seeds) add(seed);
    for (const auto& [name, address] : settings_.static_members) {
        if (name == self_.name) continue;
        const auto found = peers_.find(name);
        const bool is_alive = found != peers_.end() && counts_as_alive(found->second.member.state);
        if (!is_alive) add(resolve_address(name, address));
    }
    if (!gone_addresses.empty()) add(gone_addresses[random_() % gone_addresses.size()]);
    return candidates;
}

// Sends the identity of this process to a process that does not know it, which needs it to authenticate
// packets for this process.
void SwimMembership::reply_to_unknown_process(double now, const wire::Packet& packet,
                                              std::uint64_t process) {
    if (!has_valid_sender(packet, process)) return;
    const wire::Member& from = packet.from();
    if (from.name() == self_.name && process == self_.process) return;
    wire::Packet reply = make_packet(PacketKind::join_reply, self_);
    send_packet(now, resolve_address(from.name(), from.address()), process, reply, Priority::background,
                false);
}

void SwimMembership::request_sync(double now, const Peer& peer) {
    ++traffic_.syncs;
    send_full_state(now, peer, true);
}

// Sends the member list in as many packets as needed. `wants_reply` requests the receiver's list.
void SwimMembership::send_full_state(double now, const Peer& peer, bool wants_reply) {
    wire::Packet packet = make_packet(PacketKind::sync, self_);
    packet.set_wants_sync(wants_reply);
    std::size_t size = packet.ByteSizeLong();
    const auto send_part = [&] {
        send_packet(now, address_of(peer.member), peer.member.process, packet, Priority::urgent, false);
        packet = make_packet(PacketKind::sync, self_);
        size = packet.ByteSizeLong();
    };
    for (const auto& [name, listed] : peers_) {
        wire::Member entry;
        encode_member(listed.member, entry);
        const std::size_t entry_size = entry.ByteSizeLong() + kFieldOverheadBytes;
        if (size + entry_size > kMaxPayloadBytes) send_part();
        *packet.add_news() = entry;
        size += entry_size;
    }
    send_part();
}

std::vector<std::string> SwimMembership::pick_random_members(std::size_t count,
                                                             const std::string& excluded) {
    std::vector<const std::string*> names;
    for (const auto& [name, peer] : peers_)
        if (counts_as_alive(peer.member.state) && name != excluded) names.push_back(&name);
    count = std::min(count, names.size());
    std::vector<std::string> picked;
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t selected = i + random_() % (names.size() - i);
        std::swap(names[i], names[selected]);
        picked.push_back(*names[i]);
    }
    return picked;
}

// Returns the configured override for the member, else the address that it announces.
std::string SwimMembership::resolve_address(const std::string& name, const std::string& address) const {
    const auto found = settings_.address_overrides.find(name);
    return found == settings_.address_overrides.end() ? address : found->second;
}

bool SwimMembership::send_packet(double now, const Peer& peer, wire::Packet& packet, Priority priority) {
    return send_packet(now, address_of(peer.member), peer.member.process, packet, priority);
}

bool SwimMembership::send_packet(double now, const std::string& address, std::uint64_t process,
                                 wire::Packet& packet, Priority priority, bool with_updates) {
    if (address.empty()) return false;
    if (!send_budget_.consume(now, priority)) {
        ++traffic_.rate_limited;
        return false;
    }
    if (with_updates && process != 0) piggyback_updates(packet);
    std::string payload = packet.SerializeAsString();
    ++traffic_.sent;
    traffic_.sent_bytes += payload.size() + kAuthOverheadBytes;
    datagrams_.push_back({address, process, std::move(payload)});
    return true;
}

// Fills the packet with pending updates, the least transmitted ones first. The number of transmissions of
// an update grows with the logarithm of the fleet's size, so that it reaches all members (SWIM, 4.1).
void SwimMembership::piggyback_updates(wire::Packet& packet) {
    const double members = static_cast<double>(peers_.size() + 1);
    const auto max_transmissions = static_cast<std::size_t>(4 * std::ceil(std::log10(members + 1)));
    std::vector<std::pair<std::size_t, std::string>> order;
    for (const auto& [name, pending] : pending_updates_) order.emplace_back(pending.transmissions, name);
    std::sort(order.begin(), order.end());
    std::size_t size = packet.ByteSizeLong();
    for (const auto& [transmissions, name] : order) {
        if (name == self_.name && awaiting_name_) continue;
        wire::Member update;
        if (!fill_update(name, update)) {
            pending_updates_.erase(name);
            continue;
        }
        const std::size_t update_size = update.ByteSizeLong() + kFieldOverheadBytes;
        if (size + update_size > kMaxPayloadBytes) break;
        *packet.add_news() = update;
        size += update_size;
        ++pending_updates_[name].transmissions;
        if (transmissions + 1 >= max_transmissions) pending_updates_.erase(name);
    }
}

// Returns false if the member has been forgotten.
bool SwimMembership::fill_update(const std::string& name, wire::Member& update) const {
    if (name == self_.name) {
        encode_member(self_, update);
        return true;
    }
    const auto found = peers_.find(name);
    if (found == peers_.end()) return false;
    const Peer& peer = found->second;
    encode_member(peer.member, update);
    if (peer.member.state != MemberState::suspected || peer.accusers.empty()) return true;
    // If this process suspects the member too, it is named as the accuser, which confirms the suspicions of
    // others.
    const bool is_own_suspicion = peer.accusers.contains(self_.name);
    update.set_accuser(is_own_suspicion ? self_.name : *peer.accusers.begin());
    return true;
}

}   // namespace slatejunction::membership
