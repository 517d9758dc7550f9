#include "membership/swim.hpp"

#include <algorithm>
#include <utility>

#include "membership/packet_codec.hpp"

namespace slatejunction::membership {
namespace {

constexpr double kNever = 1e18;             // s
constexpr double kRelayedPingPeriods = 1;   // protocol periods until a relayed ping expires
constexpr std::size_t kLeaveFanout =
    2 * kGossipFanout;   // members that are notified of a departure directly

}   // namespace

SwimMembership::SwimMembership(const Settings& settings, std::uint64_t process, std::uint64_t seed)
    : settings_(settings), random_(seed), send_budget_(settings.protocol_period_s) {
    self_.name = settings.name;
    self_.address = settings.address;
    self_.site = settings.site;
    self_.version = settings.version;
    self_.process = process;
}

SwimMembership::~SwimMembership() = default;

void SwimMembership::start(double now) {
    started_ = true;
    self_.state_since = now;
    send_budget_.start(now);
    const double period = settings_.protocol_period_s;
    const double first_delay = period * std::uniform_real_distribution<double>(0, 1)(random_);
    next_probe_at_ = now + first_delay;
    next_gossip_at_ = now + first_delay * kGossipPeriods;
    next_sync_at_ = now + kMinSyncPeriods * period;
    next_join_at_ = now;
    enqueue_update(self_.name);
    on_timer(now);
}

void SwimMembership::leave(double now) {
    if (leaving_) return;
    leaving_ = true;
    self_.state = MemberState::departed;
    self_.state_since = now;
    if (awaiting_name_) return;
    // A process that has ended sends no more gossip, so several members are notified directly.
    wire::Packet departure = make_packet(PacketKind::gossip, self_);
    encode_member(self_, *departure.add_news());
    for (const std::string& name : pick_random_members(kLeaveFanout, {}))
        send_packet(now, peers_.at(name), departure, Priority::urgent);
}

double SwimMembership::next_deadline() const {
    if (!started_ || leaving_) return kNever;
    double next = std::min({next_probe_at_, next_join_at_, next_sync_at_});
    if (!pending_updates_.empty()) next = std::min(next, next_gossip_at_);
    if (probe_.sequence != 0) {
        if (!probe_.indirect_sent && !probe_.acknowledged) next = std::min(next, probe_.indirect_at);
        next = std::min(next, probe_.ends_at);
    }
    for (const std::string& name : suspected_) next = std::min(next, peers_.at(name).suspicion_deadline);
    return next;
}

void SwimMembership::on_timer(double now) {
    if (!started_ || leaving_) return;
    absorb_timer_delay(now);
    const bool awaits_ack = probe_.sequence != 0 && !probe_.acknowledged;
    if (awaits_ack && !probe_.indirect_sent && now >= probe_.indirect_at) send_indirect_probes(now);
    if (probe_.sequence != 0 && now >= probe_.ends_at) finish_probe(now);
    expire_suspicions(now);
    if (now >= next_probe_at_) start_probe(now);
    if (now >= next_gossip_at_) {
        send_gossip(now);
        next_gossip_at_ = now + with_jitter(kGossipPeriods * settings_.protocol_period_s);
    }
    if (now >= next_sync_at_) {
        const double periods = kMinSyncPeriods + kSyncPeriodsPerMember * static_cast<double>(peers_.size());
        next_sync_at_ = now + with_jitter(periods * settings_.protocol_period_s);
        for (const std::string& name : pick_random_members(1, {})) request_sync(now, peers_.at(name));
        expire_state(now);
    }
    if (now >= next_join_at_) send_join_requests(now);
}

// A late timer shows that this process was paused. Acks may be unread in its socket, so deadlines are
// extended by the delay instead of counting it against other members.
void SwimMembership::absorb_timer_delay(double now) {
    const double delay = now - next_deadline();
    if (delay <= kPingTimeoutPeriods * settings_.protocol_period_s) return;
    ++traffic_.late_timers;
    adjust_local_health(-1);
    if (probe_.sequence != 0) {
        probe_.indirect_at += delay;
        probe_.ends_at += delay;
    }
    for (const std::string& name : suspected_) peers_.at(name).suspicion_deadline += delay;
}

void SwimMembership::expire_state(double now) {
    const double forget_after_s = kForgetPeriods * settings_.protocol_period_s;
    for (auto entry = peers_.begin(); entry != peers_.end();) {
        const Member& member = entry->second.member;
        const bool is_expired = !counts_as_alive(member.state) && now - member.state_since > forget_after_s;
        if (is_expired) changes_.push_back({member, MemberChange::Kind::forgotten});
        entry = is_expired ? peers_.erase(entry) : std::next(entry);
    }
    for (auto& [name, peer] : peers_)
        if (peer.member.name_conflict && now > peer.name_conflict_until) peer.member.name_conflict = false;
    std::erase_if(relayed_pings_, [&](const auto& entry) { return now > entry.second.expires_at; });
}

bool SwimMembership::send(double now, const std::string& name, std::uint32_t channel,
                          std::string_view body) {
    if (body.size() > kMaxMessageBytes || leaving_) return false;
    const auto found = peers_.find(name);
    if (found == peers_.end()) {
        const double join_at = now + kPingTimeoutPeriods * settings_.protocol_period_s;
        next_join_at_ = std::min(next_join_at_, join_at);
        return false;
    }
    wire::Packet packet = make_packet(PacketKind::user_message, self_);
    packet.mutable_carried()->set_channel(channel);
    packet.mutable_carried()->set_body(std::string(body));
    // Sent even if the member is listed as gone: the list may be wrong, and safety must not depend on it.
    return send_packet(now, found->second, packet, Priority::urgent);
}

void SwimMembership::receive(double now, std::uint64_t from_process, bool is_fresh,
                             std::string_view payload) {
    if (!started_) return;
    wire::Packet packet;
    if (!packet.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        ++traffic_.malformed;
        return;
    }
    if (!is_fresh) return reply_to_unknown_process(now, packet, from_process);
    if (!has_valid_sender(packet, from_process)) {
        ++traffic_.malformed;
        return;
    }
    const std::string& from = packet.from().name();
    if (from == self_.name) return apply_update_about_self(now, packet.from());
    const bool was_known = peers_.contains(from);
    apply_update(now, packet.from(), from);
    const auto found = peers_.find(from);
    if (found == peers_.end()) return;
    Peer& sender = found->second;
    if (sender.member.process == from_process) sender.member.last_received_at = now;
    correct_stale_sender(now, packet, sender);
    for (const wire::Member& update : packet.news()) {
        if (!is_valid(update)) continue;
        if (update.name() == self_.name)
            apply_update_about_self(now, update);
        else
            apply_update(now, update, from);
    }
    handle_packet(now, packet, sender, was_known);
}

// Sends a correction to a sender whose name is listed with another process, with a higher incarnation, or
// as suspected, gone or departed, so that it can refute this.
void SwimMembership::correct_stale_sender(double now, const wire::Packet& packet, const Peer& sender) {
    const wire::Member& from = packet.from();
    const bool is_gossip = static_cast<PacketKind>(packet.kind()) == PacketKind::gossip;
    const bool is_outdated = sender.member.process != from.process() ||
                             sender.member.incarnation > from.incarnation() ||
                             (sender.member.state != MemberState::alive && !is_gossip);
    if (!is_outdated) return;
    wire::Packet correction = make_packet(PacketKind::gossip, self_);
    encode_member(sender.member, *correction.add_news());
    send_packet(now, resolve_address(from.name(), from.address()), from.process(), correction,
                Priority::background, false);
}

void SwimMembership::handle_packet(double now, const wire::Packet& packet, Peer& sender, bool was_known) {
    switch (static_cast<PacketKind>(packet.kind())) {
        case PacketKind::join_reply:
            if (joined_ && was_known) break;
            joined_ = true;
            announce_self(now);
            request_sync(now, sender);
            break;
        case PacketKind::ping:
            handle_ping(now, packet, sender);
            break;
        case PacketKind::ack:
            handle_ack(now, packet);
            break;
        case PacketKind::ping_request:
            handle_ping_request(now, packet);
            break;
        case PacketKind::sync:
            if (packet.wants_sync()) send_full_state(now, sender, false);
            joined_ = true;
            announce_self(now);
            break;
        case PacketKind::user_message:
            if (sender.member.process == packet.from().process())
                messages_.push_back({packet.from().name(), packet.from().process(),
                                     packet.carried().channel(), packet.carried().body()});
            break;
        case PacketKind::join:
        case PacketKind::gossip:
            break;
    }
}

void SwimMembership::handle_ping(double now, const wire::Packet& packet, const Peer& sender) {
    wire::Packet ack = make_packet(PacketKind::ack, self_);
    ack.set_number(packet.number());
    send_packet(now, address_of(sender.member), packet.from().process(), ack, Priority::urgent);
}

void SwimMembership::handle_ack(double now, const wire::Packet& packet) {
    const std::string& from = packet.from().name();
    const bool matches_probe = packet.number() == probe_.sequence;
    if (matches_probe && from == probe_.target && probe_.sequence != 0) {
        if (!std::exchange(probe_.acknowledged, true)) adjust_local_health(1);
        return;
    }
    const auto relayed = relayed_pings_.find(packet.number());
    if (relayed == relayed_pings_.end()) {
        const bool was_relayed = matches_probe && packet.target() == probe_.target;
        if (was_relayed) probe_.acknowledged = true;
        return;
    }
    const auto requester = peers_.find(relayed->second.requester);
    if (requester != peers_.end()) {
        wire::Packet ack = make_packet(PacketKind::ack, self_);
        ack.set_number(relayed->second.sequence);
        ack.set_target(from);
        send_packet(now, requester->second, ack, Priority::urgent);
    }
    relayed_pings_.erase(relayed);
}

void SwimMembership::handle_ping_request(double now, const wire::Packet& packet) {
    const auto target = peers_.find(packet.target());
    if (target == peers_.end() || relayed_pings_.size() > kMaxMembers) return;
    ++last_sequence_;
    wire::Packet ping = make_packet(PacketKind::ping, self_);
    ping.set_number(last_sequence_);
    const double expires_at = now + kRelayedPingPeriods * settings_.protocol_period_s;
    relayed_pings_[last_sequence_] = {packet.from().name(), packet.number(), expires_at};
    send_packet(now, target->second, ping, Priority::urgent);
}

std::vector<Datagram> SwimMembership::take_datagrams() { return std::exchange(datagrams_, {}); }
std::vector<MemberChange> SwimMembership::take_changes() { return std::exchange(changes_, {}); }
std::vector<ReceivedMessage> SwimMembership::take_messages() { return std::exchange(messages_, {}); }

std::vector<Member> SwimMembership::list() const {
    std::vector<Member> all{self_};
    for (const auto& [name, peer] : peers_) all.push_back(peer.member);
    return all;
}

const Member* SwimMembership::find(const std::string& name) const {
    if (name == self_.name) return &self_;
    const auto found = peers_.find(name);
    return found == peers_.end() ? nullptr : &found->second.member;
}

}   // namespace slatejunction::membership
