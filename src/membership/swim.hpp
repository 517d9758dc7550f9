// Membership of the fleet by the SWIM protocol, with suspicion and the local health of Lifeguard.
//
// In each protocol period one member is pinged directly. If it does not acknowledge the ping, other members
// are asked to ping it as well. A member without any acknowledgement is suspected, and it is gone if it
// does not refute the suspicion with a higher incarnation in time. This costs each member a constant load
// and detects failures within detection_bound_s() (detection_bounds.hpp).
//
// - Inputs: payloads of authenticated datagrams, and `now` in s.
// - Outputs: datagrams, changes of members, and messages of other members for the modules above.
// - Observability: the members on the admin page, the log lines "peers: ...", TrafficCounts as metrics.
//
// Invariants:
// - Only the process itself raises its incarnation.
// - For one process and one incarnation, a worse state replaces a better one.
// - A delayed timer of this process never counts against other members.
//
// The safety of the modules above must not depend on the member list: it says which members are probably
// alive, and may be out of date by staleness_s(), or for as long as links are partitioned.
//
// The code does no I/O, reads no clock, and draws random numbers from its seed only. GossipTransport owns
// it. References: SWIM (Das, Gupta, Motivala 2002); Lifeguard (Dadgar, Phillips, Currey 2018);
// docs/design/fleet.md.
//
// Implemented in swim.cpp (life cycle, timers, received packets), swim_probing.cpp (failure detection),
// swim_updates.cpp (effects of updates, name conflicts) and swim_dissemination.cpp (joining, gossip, sync,
// sending). The packets are defined in packet_codec.hpp.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "membership/detection_bounds.hpp"
#include "membership/send_budget.hpp"

namespace slatejunction::membership {

namespace wire {
class Member;
class Packet;
}   // namespace wire

/// The numeric values are part of the wire format. A higher value is a worse state.
enum class MemberState { alive = 0, suspected = 1, gone = 2, departed = 3 };
/// By MemberState, for the admin page and log lines.
inline constexpr const char* kMemberStateNames[] = {"alive", "suspected", "gone", "left"};

/// Whether a member in this state counts as alive. A suspected member does until its suspicion expires.
inline bool counts_as_alive(MemberState state) {
    return state == MemberState::alive || state == MemberState::suspected;
}

struct Member {
    std::string name, address, site, version;
    std::uint32_t incarnation = 0;
    std::uint64_t process = 0;   ///< random id drawn at the start of the process, never 0
    MemberState state = MemberState::alive;
    double state_since = 0;        ///< s; when the member entered its state
    double last_received_at = 0;   ///< s; time of the last packet received from it directly; 0: never
    bool name_conflict = false;    ///< whether two processes claim the name
};

struct Settings {
    /// Of this process; `address` is the one at which the other members reach it.
    std::string name, address, site, version;
    std::vector<std::string> seeds;   ///< addresses to which join requests are sent
    /// Addresses by member name that replace the ones that members announce.
    std::map<std::string, std::string> address_overrides;
    /// Addresses of members that are known in advance, by name.
    std::map<std::string, std::string> static_members;
    double protocol_period_s = 1;
    bool operator==(const Settings&) const = default;
};

/// A datagram to be authenticated and sent. `process` is the id of the receiving process; 0: whichever
/// process has the address.
struct Datagram {
    std::string address;
    std::uint64_t process = 0;
    std::string payload;
};

struct MemberChange {
    Member member;   ///< after the change
    enum class Kind { joined, state_changed, restarted, name_conflict, forgotten };
    Kind kind = Kind::state_changed;
};

/// A message from a module that uses membership, on another member.
struct ReceivedMessage {
    std::string from;
    std::uint64_t process = 0;
    std::uint32_t channel = 0;
    std::string body;
};

/// Counters since the start of the process.
struct TrafficCounts {
    std::uint64_t sent = 0, sent_bytes = 0;   ///< datagrams; bytes including authentication
    std::uint64_t rate_limited = 0;           ///< datagrams not sent because the send budget was exhausted
    std::uint64_t malformed = 0;   ///< received packets that could not be decoded or have an invalid sender
    std::uint64_t refutations = 0;   ///< refuted suspicions of this process
    std::uint64_t late_timers = 0;   ///< timers so late that deadlines were extended
    std::uint64_t syncs = 0;         ///< requested by this process
};

class SwimMembership {
  public:
    /// `process` is the random id of this process, never 0.
    SwimMembership(const Settings& settings, std::uint64_t process, std::uint64_t seed);
    ~SwimMembership();
    SwimMembership(const SwimMembership&) = delete;
    SwimMembership& operator=(const SwimMembership&) = delete;

    void start(double now);
    /// Announces the departure to other members. Afterwards packets are still answered, but
    /// timers have no effect and send() fails.
    void leave(double now);
    /// `is_fresh` states that the packet was authenticated for this very process. Any other packet may be a
    /// replay, and is only answered with the identity of this process.
    void receive(double now, std::uint64_t from_process, bool is_fresh, std::string_view payload);
    void on_timer(double now);
    /// Returns when on_timer() is due (s).
    double next_deadline() const;

    /// Sends a message of at most kMaxMessageBytes to a member, once. Returns false if it was not sent: the
    /// message is too long, this process is leaving, the send budget is exhausted, or the member is
    /// unknown, in which case a join request follows soon.
    bool send(double now, const std::string& name, std::uint32_t channel, std::string_view body);

    std::vector<Datagram> take_datagrams();
    std::vector<MemberChange> take_changes();
    std::vector<ReceivedMessage> take_messages();

    /// Returns this process, then the other members by name. Members that are gone or departed are listed
    /// until they are forgotten.
    std::vector<Member> list() const;
    /// Returns nullptr if there is no such member.
    const Member* find(const std::string& name) const;
    const Member& self() const { return self_; }
    /// Number of members that count as alive, including this process.
    std::size_t alive_count() const { return alive_; }
    /// Longest time in s by which the member list may be out of date while links work.
    double staleness_s() const { return detection_bound_s(alive_count(), settings_.protocol_period_s); }
    /// Whether another process holds the name. This one does not announce itself until that process is
    /// gone.
    bool awaiting_name() const { return awaiting_name_; }
    /// Health score of Lifeguard: 0 is healthy, kMaxLocalHealthScore is the worst.
    int local_health_score() const { return local_health_score_; }
    const TrafficCounts& traffic() const { return traffic_; }
    void set_address_overrides(const std::map<std::string, std::string>& overrides) {
        settings_.address_overrides = overrides;
    }

  private:
    struct Peer {
        Member member;
        double suspicion_deadline = 0;
        std::set<std::string> accusers;   // members that suspect it
        double name_conflict_until = 0;
    };
    struct PendingUpdate {
        std::size_t transmissions = 0;
    };
    struct Probe {
        std::string target;
        std::uint64_t sequence = 0;   // 0: no probe in progress
        double indirect_at = 0, ends_at = 0;
        bool indirect_sent = false, acknowledged = false;
    };
    // A ping sent on behalf of `requester`.
    struct RelayedPing {
        std::string requester;
        std::uint64_t sequence = 0;   // of the request
        double expires_at = 0;
    };

    // swim.cpp
    void handle_packet(double now, const wire::Packet& packet, Peer& sender, bool was_known);
    void handle_ping(double now, const wire::Packet& packet, const Peer& sender);
    void handle_ack(double now, const wire::Packet& packet);
    void handle_ping_request(double now, const wire::Packet& packet);
    void correct_stale_sender(double now, const wire::Packet& packet, const Peer& sender);
    void absorb_timer_delay(double now);
    void expire_state(double now);

    // swim_probing.cpp
    void start_probe(double now);
    bool pick_probe_target(std::string& name);
    void send_indirect_probes(double now);
    void finish_probe(double now);
    void suspect(double now, Peer& peer, const std::string& accuser);
    void expire_suspicions(double now);
    void adjust_local_health(int points);
    double local_health_multiplier() const { return 1.0 + local_health_score_; }

    // swim_updates.cpp
    void apply_update(double now, const wire::Member& update, const std::string& from);
    void add_peer(double now, const wire::Member& update, const std::string& from);
    void detect_name_conflict(double now, const wire::Member& update, Peer& peer);
    void apply_newer_update(double now, const wire::Member& update, const std::string& from, Peer& peer);
    void adopt_restarted_process(double now, const wire::Member& update, Peer& peer);
    void store_state(Peer& peer, MemberState state);
    void change_state(double now, Peer& peer, MemberState state);
    void apply_update_about_self(double now, const wire::Member& update);
    void refute_suspicion(const wire::Member& update);
    void take_over_name(double now, const wire::Member& update);
    void contest_name(double now, const wire::Member& update);

    // swim_dissemination.cpp
    void enqueue_update(const std::string& name);
    void announce_self(double now);
    void send_gossip(double now);
    void send_join_requests(double now);
    std::vector<std::string> join_candidates();
    void reply_to_unknown_process(double now, const wire::Packet& packet, std::uint64_t process);
    void request_sync(double now, const Peer& peer);
    void send_full_state(double now, const Peer& peer, bool wants_reply);
    void piggyback_updates(wire::Packet& packet);
    bool fill_update(const std::string& name, wire::Member& update) const;
    bool send_packet(double now, const std::string& address, std::uint64_t process, wire::Packet& packet,
                     Priority priority, bool with_updates = true);
    bool send_packet(double now, const Peer& peer, wire::Packet& packet, Priority priority);
    std::string resolve_address(const std::string& name, const std::string& address) const;
    std::string address_of(const Member& member) const {
        return resolve_address(member.name, member.address);
    }
    std::vector<std::string> pick_random_members(std::size_t count, const std::string& excluded);
    double with_jitter(double duration_s) {
        return duration_s * std::uniform_real_distribution<double>(0.9, 1.1)(random_);
    }

    Settings settings_;
    Member self_;
    std::mt19937_64 random_;
    std::map<std::string, Peer> peers_;   // by name
    std::set<std::string> suspected_;
    std::size_t alive_ = 1;
    std::map<std::string, PendingUpdate> pending_updates_;   // by name, including this process
    std::vector<std::string> probe_order_;   // names not yet probed in this round, next one last
    Probe probe_;
    std::map<std::uint64_t, RelayedPing> relayed_pings_;   // by sequence of the relayed ping
    std::uint64_t last_sequence_ = 0;
    bool started_ = false, leaving_ = false, awaiting_name_ = false, joined_ = false;
    int local_health_score_ = 0;
    double missed_ping_ratio_ = 0;   // moving average of direct pings without an ack in time
    double next_probe_at_ = 0, next_gossip_at_ = 0, next_sync_at_ = 0, next_join_at_ = 0;
    double name_asserted_at_ = -1e18;   // s; last assertion of the name in a conflict
    SendBudget send_budget_;
    std::vector<Datagram> datagrams_;
    std::vector<MemberChange> changes_;
    std::vector<ReceivedMessage> messages_;
    TrafficCounts traffic_;
};

}   // namespace slatejunction::membership
