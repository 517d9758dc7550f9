// Who is there: membership by SWIM with suspicion and local health. A decision room: datagrams' contents
// and the time in, datagrams, changes and what others send out. No I/O and no clock; all that is drawn
// comes from the seed.
//
// Nothing above may rest its safety on this list: it tells who is probably there, and is out of date by up
// to known_within_s() (bound.hpp), or for as long as links are cut.
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

namespace slatejunction::membership {

namespace wire {
class Member;
class Packet;
}   // namespace wire

enum class MemberState { alive = 0, suspected = 1, gone = 2, departed = 3 };
inline constexpr const char* kStates[] = {"alive", "suspected", "gone", "left"};

struct Member {
    std::string name, address, site, version;
    std::uint32_t incarnation = 0;
    std::uint64_t process = 0;   // told apart by it: two processes are never one member's life
    MemberState state = MemberState::alive;
    double since = 0;        // s; in this state
    double heard_at = 0;     // s; something came from it directly; 0: never
    bool disputed = false;   // two processes claim the name
};

struct Settings {
    std::string name, address, site, version;   // address: where the others reach this one
    std::vector<std::string> seeds;             // addresses to join by
    std::map<std::string, std::string> via;     // by name: where this one reaches it, if not at its address
    std::map<std::string, std::string> known;   // by name: the addresses of members that are known ahead
    double interval_s = 1;
    bool operator==(const Settings&) const = default;
};

// To be sealed and sent. `process`: whom it is for; 0: whoever is there.
struct Datagram {
    std::string address;
    std::uint64_t process = 0;
    std::string payload;
};

struct MemberChange {
    Member member;   // as it is now
    enum class What { joined, state, restarted, disputed, forgotten } what = What::state;
};

struct ReceivedMessage {
    std::string from;
    std::uint64_t process = 0;
    std::uint32_t channel = 0;
    std::string body;
};

struct TrafficCounts {
    std::uint64_t sent = 0, sent_bytes = 0;      // datagrams, with what sealing adds
    std::uint64_t held_back = 0;                 // over the budget
    std::uint64_t unreadable = 0, refuted = 0;   // packets; suspicions of this one that it has answered
    std::uint64_t late = 0;   // wake-ups that came so late that nothing was judged by them
    std::uint64_t syncs = 0;
};

class SwimMembership {
  public:
    // `process` is drawn for this life of the process, never 0.
    SwimMembership(const Settings& settings, std::uint64_t process, std::uint64_t seed);
    ~SwimMembership();

    void start(double now);
    void leave(double now);   // tells the others; nothing but what is asked is sent after it
    // `fresh`: sealed for this very process. Else it may be old: only an answer that tells who is here
    // comes of it.
    void receive(double now, std::uint64_t from_process, bool fresh, std::string_view payload);
    void on_timer(double now);
    double next_deadline() const;   // s; when wake() is wanted

    // One datagram to that member, of kBodyMost bytes at most, by a channel of the caller's own; nothing is
    // sent again. False: it is not known, or its process isn't yet (which is asked for then).
    bool send(double now, const std::string& name, std::uint32_t channel, std::string_view body);

    std::vector<Datagram> take_datagrams();
    std::vector<MemberChange> take_changes();
    std::vector<ReceivedMessage> take_heard();

    // This one first, the others by name; those gone and left for as long as they are remembered.
    std::vector<Member> list() const;
    const Member* find(const std::string& name) const;
    const Member& self() const { return self_; }
    std::size_t alive() const { return alive_; }   // with this one, suspected ones included
    // For how long what is told here may be out of date (s) while links work.
    double staleness_s() const { return detection_bound_s(alive(), settings_.interval_s); }
    // Another process holds the name; nothing is claimed until it is gone.
    bool waits_for_name() const { return waits_; }
    int health() const { return health_; }   // 0: well
    const TrafficCounts& tally() const { return tally_; }
    void set_via(const std::map<std::string, std::string>& via) { settings_.via = via; }

  private:
    enum class Kind { hello = 1, welcome, ping, ack, probe_for, sync, carried, news };
    struct Known {
        Member member;
        double deadline = 0;              // of a suspicion
        std::set<std::string> accusers;   // that have confirmed it
        double disputed_until = 0;
        double asked_at = -1e18;   // a hello was sent to it
    };
    struct News {
        std::size_t told = 0;   // times
    };
    struct Probe {
        std::string target;
        std::uint64_t number = 0;
        double asked = 0, indirect_at = 0, over_at = 0;
        bool indirect = false, answered = false;
    };
    struct Relay {   // a probe for another
        std::string asker;
        std::uint64_t number = 0;
        double until = 0;
    };

    void note(double now, const wire::Member& said, const std::string& from);
    void note_self(double now, const wire::Member& said);
    void put(Known& known, MemberState state);
    void set(double now, Known& known, MemberState state);
    void spread(const std::string& name);
    void suspect(double now, Known& known, const std::string& accuser);
    void probe_next(double now);
    void probe_over(double now);
    void gossip(double now);
    void sync_with(double now, Known& known, bool wants);
    void send_all(double now, Known& known, bool wants);
    void reach_out(double now);
    void welcome(double now, const wire::Packet& packet, std::uint64_t process);
    void settle_name(double now);
    void healthier(int by);
    bool post(double now, const std::string& address, std::uint64_t process, wire::Packet& packet,
              bool urgent, bool with_news = true);
    bool post(double now, Known& known, wire::Packet& packet, bool urgent);
    wire::Packet packet(Kind kind) const;
    std::string reach(const std::string& name, const std::string& address) const;
    std::string address_of(const Member& member) const { return reach(member.name, member.address); }
    std::vector<std::string> pick(std::size_t count, const std::string& but);
    double jitter(double s) { return s * std::uniform_real_distribution<double>(0.9, 1.1)(random_); }
    double factor() const { return 1.0 + health_; }
    void write(const Member& from, wire::Member& to) const;

    Settings settings_;
    Member self_;
    std::mt19937_64 random_;
    std::map<std::string, Known> members_;   // the others
    std::set<std::string> suspected_;
    std::size_t alive_ = 1;
    std::map<std::string, News> news_;   // names, this one's too
    std::vector<std::string> round_;     // names still to be probed in this round
    Probe probe_;
    std::map<std::uint64_t, Relay> relays_;   // by the number that was sent on
    std::uint64_t numbers_ = 0;
    bool started_ = false, leaving_ = false, waits_ = false, joined_ = false;
    int health_ = 0;
    double missed_ = 0;   // the part of probes that had no answer at first, of late
    double next_probe_ = 0, next_spread_ = 0, next_sync_ = 0, next_reach_ = 0, asserted_at_ = -1e18;
    double tokens_ = kDatagramsPerInterval, tokens_at_ = 0;
    std::vector<Datagram> datagrams_;
    std::vector<MemberChange> changes_;
    std::vector<ReceivedMessage> heard_;
    TrafficCounts tally_;
};

}   // namespace slatejunction::membership
