// Limits by key that hold for all ingresses together. Each key has an owner among them (the highest of a
// hash of key and name: Thaler, Ravishankar 1998), which keeps its store; the others let requests pass on
// what the owner said last, hold at most a credit of units that it has not heard of, and report. Nothing is
// waited for. Where the owner does not answer each keeps to its share of rate and burst.
//
// A decision room: asks, datagrams, who is there and the time in; verdicts and datagrams out. What it
// promises: bound.hpp. Who is there is a hint: two that take themselves for a key's owner give their parts
// of the rate by how many each sees, so a list that is wrong costs what bound() says, and only while it is.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet_rate_limit/staleness_bound.hpp"

namespace slatejunction::fleet_rate_limit {

namespace wire {
class Batch;
}

inline constexpr double kSilentAfter = 0.25;   // s without an answer, from where on shares are kept to
inline constexpr double kNoticeEvery = 0.25;   // s, between looks at the time at most
inline constexpr double kStoodStill = 1;   // s without one: others may have taken its keys over meanwhile
inline constexpr double kAgain = 0.08;     // s, until a report that has no answer is sent again
inline constexpr double kHeldFor =
    0.5;   // s at most that units far from the limit are kept before they are told
inline constexpr std::size_t kBatchMost = 30;     // keys in one datagram
inline constexpr std::size_t kRemembered = 16;    // reports of one process whose answers are kept
inline constexpr std::size_t kReporters = 1024;   // processes whose reports are remembered

struct Settings {
    std::string name;                  // this ingress
    std::vector<std::string> all;      // every ingress of the fleet, this one too; sorted
    double credit = 2;                 // units
    std::size_t keys_most = 100'000;   // accounts here, and as many stores as an owner
};

class RateLimitNode {
  public:
    RateLimitNode(Settings settings, std::uint64_t seed);

    // The limit of that number by its definition, the same at all ingresses.
    void define(std::uint32_t limit, const LimitSpec& spec) { specs_[limit] = spec; }
    // Who is there, this one with them; sorted.
    void set_alive_members(double now, std::vector<std::string> there);

    // 0: a request of so many units may pass; else so many seconds until it may. Draws nothing.
    double retry_after_s(double now, std::uint32_t limit, std::uint64_t key, double units);
    void consume(double now, std::uint32_t limit, std::uint64_t key, double units);

    void receive(double now, const std::string& from, std::uint64_t process, std::string_view body);
    void on_timer(double now);
    double next_deadline() const;
    struct OutgoingDatagram {
        std::string to;
        std::string body;
    };
    std::vector<OutgoingDatagram> take_outgoing() { return std::exchange(posts_, {}); }

    const std::string& owner(std::uint32_t limit, std::uint64_t key) const;
    bool owner_silent(const std::string& owner) const;   // it has not answered for kSilentAfter
    std::size_t accounts() const { return accounts_.size(); }
    std::size_t owned_buckets() const { return stores_.size(); }
    std::uint64_t forgotten() const { return forgotten_; }   // accounts or stores that were not full
    std::uint64_t unreadable() const { return unreadable_; }
    std::uint64_t process_pauses() const { return doubts_; }   // times that this one had stood still
    std::uint64_t sent() const { return sent_; }               // datagrams

  private:
    static constexpr double kNever = -1e18;
    struct Id {
        std::uint32_t limit = 0;
        std::uint64_t key = 0;
        bool operator==(const Id&) const = default;
    };
    struct Hash {
        std::size_t operator()(const Id& id) const {
            return static_cast<std::size_t>(id.key ^ (id.limit * 0x9e3779b97f4a7c15ULL));
        }
    };
    // At the ingress.
    struct Account {
        double level = 0, known_at = kNever;   // as the owner said last; kNever: never
        double unreported = 0, flying = 0;     // units passed on credit; flying: in the report that is out
        double tally = 0, flying_tally = 0;    // units passed of the share
        double since = 0;                      // the first unit of either that is not reported
        double share_full_at = kNever;         // of the share
        double used_at = 0;
        bool queued = false;
    };
    // At the owner: full again at that time.
    struct Store {
        double full_at = 0, used_at = 0;
    };
    struct Report {
        std::uint64_t number = 0;
        std::string owner;
        std::vector<Id> ids;
        std::string body;
        double sent_at = 0, first_at = 0;
    };
    struct Reporter {
        std::deque<std::pair<std::uint64_t, std::string>> answers;   // by number
        std::uint64_t highest = 0;
        double heard_at = 0;
    };

    void notice(double now);
    const LimitSpec* spec(std::uint32_t limit) const;
    double part() const;   // of rate and burst that this side has
    double level(const LimitSpec& spec, const Account& account, double now) const;
    double share_level(const LimitSpec& spec, const Account& account, double now) const;
    double spend(double now, const Id& id, const LimitSpec& spec, double units, bool knows, double hint);
    void report(double now, const Id& id, Account& account);
    void flush(double now, const std::string& owner);
    void answer(double now, const std::string& from, std::uint64_t process, const wire::Batch& batch);
    void answered(double now, const wire::Batch& batch);
    void give_up(double now, Report& report);
    template <class Table, class Full>
    void forget(Table& table, Full full);

    const Settings settings_;
    std::mt19937_64 random_;
    std::map<std::uint32_t, LimitSpec> specs_;
    std::vector<std::string> there_;
    std::unordered_map<Id, Account, Hash> accounts_;
    std::unordered_map<Id, Store, Hash> stores_;
    std::map<std::string, std::vector<Id>> queues_;   // to be reported, by owner
    std::map<std::uint64_t, Report> out_;             // by number
    std::map<std::string, double> owed_since_;        // owners that owe an answer, since when
    std::map<std::uint64_t, Reporter> reporters_;     // by process
    std::vector<OutgoingDatagram> posts_;
    std::uint64_t numbers_ = 0, forgotten_ = 0, unreadable_ = 0, sent_ = 0;
    double held_due_ = 1e18;
    double noticed_at_ = kNever;
    std::uint64_t doubts_ = 0;
};

}   // namespace slatejunction::fleet_rate_limit
