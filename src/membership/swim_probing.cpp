// Failure detection: direct and indirect pings, suspicion, local health.
#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/packet_codec.hpp"
#include "membership/swim.hpp"

namespace slatejunction::membership {
namespace {

constexpr double kProbeTimeoutPeriods = 0.9;   // protocol periods until a probe without an ack fails

}   // namespace

void SwimMembership::start_probe(double now) {
    const double period = settings_.protocol_period_s * local_health_multiplier();
    next_probe_at_ = now + with_jitter(period);
    if (probe_.sequence != 0) finish_probe(now);
    std::string target;
    if (!pick_probe_target(target)) return;
    const Peer& peer = peers_.at(target);
    probe_ = {};
    probe_.target = target;
    probe_.sequence = ++last_sequence_;
    probe_.indirect_at = now + kPingTimeoutPeriods * period;
    probe_.ends_at = now + kProbeTimeoutPeriods * period;
    wire::Packet ping = make_packet(PacketKind::ping, self_);
    ping.set_number(probe_.sequence);
    // Tells a suspected member of the suspicion, so that it can refute it.
    if (peer.member.state == MemberState::suspected) encode_member(peer.member, *ping.add_news());
    send_packet(now, peer, ping, Priority::urgent);
}

// Picks each member once per round, in an order that is shuffled for each round (SWIM, 4.3). Returns false
// if no member is alive.
bool SwimMembership::pick_probe_target(std::string& name) {
    while (true) {
        if (probe_order_.empty()) {
            for (const auto& [peer_name, peer] : peers_)
                if (counts_as_alive(peer.member.state)) probe_order_.push_back(peer_name);
            std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
            if (probe_order_.empty()) return false;
        }
        name = probe_order_.back();
        probe_order_.pop_back();
        const auto found = peers_.find(name);
        if (found != peers_.end() && counts_as_alive(found->second.member.state)) return true;
    }
}

// Pings the target once more, and asks other members to ping it: more of them if many recent direct pings
// of this process were not acknowledged.
void SwimMembership::send_indirect_probes(double now) {
    probe_.indirect_sent = true;
    missed_ping_ratio_ += kMissedPingWeight * (1 - missed_ping_ratio_);
    const auto target = peers_.find(probe_.target);
    if (target != peers_.end()) {
        wire::Packet ping = make_packet(PacketKind::ping, self_);
        ping.set_number(probe_.sequence);
        send_packet(now, target->second, ping, Priority::urgent);
    }
    const auto extra_count =
        static_cast<std::size_t>(std::lround(kExtraIndirectProbes * missed_ping_ratio_));
    for (const std::string& name : pick_random_members(kIndirectProbes + extra_count, probe_.target)) {
        wire::Packet request = make_packet(PacketKind::ping_request, self_);
        request.set_number(probe_.sequence);
        request.set_target(probe_.target);
        send_packet(now, peers_.at(name), request, Priority::urgent);
    }
}

void SwimMembership::finish_probe(double now) {
    const Probe probe = std::exchange(probe_, {});
    if (!probe.indirect_sent) missed_ping_ratio_ -= kMissedPingWeight * missed_ping_ratio_;
    if (probe.acknowledged) return;
    adjust_local_health(-1);
    const auto found = peers_.find(probe.target);
    if (found != peers_.end()) suspect(now, found->second, self_.name);
}

// Begins the suspicion of a member, or shortens it if there is a further accuser (Lifeguard, 3.2).
void SwimMembership::suspect(double now, Peer& peer, const std::string& accuser) {
    if (!counts_as_alive(peer.member.state)) return;
    if (peer.member.state == MemberState::alive) {
        peer.accusers.clear();
        change_state(now, peer, MemberState::suspected);
    }
    const bool is_new_accuser = peer.accusers.insert(accuser).second;
    if (!is_new_accuser) return;
    const std::size_t confirmations = peer.accusers.size() - 1;
    if (confirmations > kConfirmations) return;
    const double timeout_s = suspicion_timeout_s(alive_count(), confirmations, settings_.protocol_period_s);
    peer.suspicion_deadline = peer.member.state_since + timeout_s;
    enqueue_update(peer.member.name);
}

void SwimMembership::expire_suspicions(double now) {
    const std::vector<std::string> names(suspected_.begin(), suspected_.end());
    for (const std::string& name : names) {
        Peer& peer = peers_.at(name);
        if (now < peer.suspicion_deadline) continue;
        change_state(now, peer, MemberState::gone);
        enqueue_update(name);
    }
}

// Adjusts the health score by `points`; negative points worsen it. A member whose own probes are not
// acknowledged suspects others more slowly (Lifeguard, 3.1).
void SwimMembership::adjust_local_health(int points) {
    local_health_score_ = std::clamp(local_health_score_ - points, 0, kMaxLocalHealthScore);
}

}   // namespace slatejunction::membership
