// Membership of the fleet by SWIM, with suspicion and Lifeguard's local health.
//
// Rule: each protocol period one member is pinged; without an ack, others ping it too; without any ack
// it is suspected, and gone when it does not refute the suspicion by a higher incarnation in time.
// Inputs: payloads of authenticated datagrams, and `now` in s.
// Output: datagrams, changes of members, and messages of other members for the modules above.
// Invariants: only a process raises its own incarnation; of one process, a worse state replaces a
// better one at the same incarnation; a late timer never counts against others.
// Reason: constant load per member, and detection within detection_bound_s() (detection_bounds.hpp).
// From: SWIM (Das, Gupta, Motivala 2002); Lifeguard (Dadgar, Phillips, Currey 2018);
// docs/design/fleet.md.
// Seen in: the members on the admin page, the log lines "peers: ...", TrafficCounts as measures.
// Never does: I/O, reading a clock; all randomness comes from the seed. GossipTransport owns it.
// Nothing above may rest its safety on this list: it says who is probably alive, and may be out of
// date by staleness_s(), or for as long as links are cut.
//
// swim.cpp: life cycle, timers, receipt of packets. swim_probing.cpp: failure detection.
// swim_updates.cpp: what an update changes, name conflicts. swim_dissemination.cpp: joining, gossip,
// sync, sending. packet_codec.hpp: the packets.
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

/// The values are on the wire; a higher one is worse.
enum class MemberState { alive = 0, suspected = 1, gone = 2, departed = 3 };
/// As on the admin page and in log lines.
inline constexpr const char* kMemberStateNames[] = {"alive", "suspected", "gone", "left"};

/// Suspected members count as alive until the suspicion's end.
inline bool counts_as_alive(MemberState state) {
    return state == MemberState::alive || state == MemberState::suspected;
}

struct Member {
    std::string name, address, site, version;
    std::uint32_t incarnation = 0;
    std::uint64_t process = 0;   ///< drawn at the process's start, never 0
    MemberState state = MemberState::alive;
    double state_since = 0;        ///< s
    double last_received_at = 0;   ///< s; a packet came from it directly; 0: never
    bool name_conflict = false;    ///< two processes claim the name
};

struct Settings {
    std::string name, address, site, version;   ///< address: where the others reach this process
    std::vector<std::string> seeds;             ///< addresses to join by
    std::map<std::string, std::string> address_overrides;   ///< by name: where this process reaches it
    std::map<std::string, std::string> static_members;      ///< by name: addresses that are known ahead
    double protocol_period_s = 1;
    bool operator==(const Settings&) const = default;
};

/// To be authenticated and sent. `process`: its receiver; 0: whichever process is there.
struct Datagram {
    std::string address;
    std::uint64_t process = 0;
    std::string payload;
};

struct MemberChange {
    Member member;   ///< as it is now
    enum class Kind { joined, state_changed, restarted, name_conflict, forgotten };
    Kind kind = Kind::state_changed;
};

/// A user message from another member.
struct ReceivedMessage {
    std::string from;
    std::uint64_t process = 0;
    std::uint32_t channel = 0;
    std::string body;
};

/// Counters since the start.
struct TrafficCounts {
    std::uint64_t sent = 0, sent_bytes = 0;   ///< datagrams, with what authentication adds
    std::uint64_t rate_limited = 0;           ///< datagrams not sent, over the budget
    std::uint64_t malformed = 0;              ///< packets
    std::uint64_t refutations = 0;            ///< suspicions of this process that it refuted
    std::uint64_t late_timers = 0;            ///< timers so late that nobody was judged by them
    std::uint64_t syncs = 0;
};

class SwimMembership {
  public:
    /// `process` is drawn for this life of the process, never 0.
    SwimMembership(const Settings& settings, std::uint64_t process, std::uint64_t seed);
    ~SwimMembership();
    SwimMembership(const SwimMembership&) = delete;
    SwimMembership& operator=(const SwimMembership&) = delete;

    void start(double now);
    /// Tells other members of the departure; nothing but user messages is sent after it.
    void leave(double now);
    /// `is_fresh`: authenticated for this very process. Otherwise it may be a replay, and is only answered
    /// with who is here.
    void receive(double now, std::uint64_t from_process, bool is_fresh, std::string_view payload);
    void on_timer(double now);
    double next_deadline() const;   ///< s; when on_timer() is due

    /// Sends one user message of kMaxMessageBytes at most, once. False: the member is not known, or its
    /// process isn't yet (a join is sent then).
    bool send(double now, const std::string& name, std::uint32_t channel, std::string_view body);

    std::vector<Datagram> take_datagrams();
    std::vector<MemberChange> take_changes();
    std::vector<ReceivedMessage> take_messages();

    /// This process first, the others by name; those gone and departed until they are forgotten.
    std::vector<Member> list() const;
    /// Null: not known.
    const Member* find(const std::string& name) const;
    const Member& self() const { return self_; }
    /// Members that count as alive, this process among them.
    std::size_t alive_count() const { return alive_; }
    /// s by which this list may be out of date while links work.
    double staleness_s() const { return detection_bound_s(alive_count(), settings_.protocol_period_s); }
    /// Another process holds the name; this one claims nothing until that is gone.
    bool awaiting_name() const { return awaiting_name_; }
    /// Lifeguard's score: 0 is healthy, kMaxLocalHealthScore the worst.
    int local_health_score() const { return local_health_score_; }
    const TrafficCounts& traffic() const { return traffic_; }
    void set_address_overrides(const std::map<std::string, std::string>& overrides) {
        settings_.address_overrides = overrides;
    }

  private:
    struct Peer {
        Member member;
        double suspicion_deadline = 0;
        std::set<std::string> accusers;   // whose suspicions were heard
        double name_conflict_until = 0;
    };
    struct PendingUpdate {
        std::size_t transmissions = 0;
    };
    struct Probe {
        std::string target;
        std::uint64_t sequence = 0;   // 0: no probe is under way
        double indirect_at = 0, ends_at = 0;
        bool indirect_sent = false, acknowledged = false;
    };
    struct RelayedPing {   // on behalf of `requester`
        std::string requester;
        std::uint64_t sequence = 0;   // of its request
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
    void improve_local_health(int by);
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
    std::map<std::string, PendingUpdate> pending_updates_;   // by name, this process's too
    std::vector<std::string> probe_order_;                   // names still to be probed in this round
    Probe probe_;
    std::map<std::uint64_t, RelayedPing> relayed_pings_;   // by the relayed ping's own sequence
    std::uint64_t last_sequence_ = 0;
    bool started_ = false, leaving_ = false, awaiting_name_ = false, joined_ = false;
    int local_health_score_ = 0;
    double missed_ping_ratio_ = 0;   // moving average of own direct pings without an ack
    double next_probe_at_ = 0, next_gossip_at_ = 0, next_sync_at_ = 0, next_join_at_ = 0;
    double name_asserted_at_ = -1e18;
    SendBudget send_budget_;
    std::vector<Datagram> datagrams_;
    std::vector<MemberChange> changes_;
    std::vector<ReceivedMessage> messages_;
    TrafficCounts traffic_;
};

}   // namespace slatejunction::membership
