// Quotas that hold over several ingresses, kept through a shared counter. A decision room: facts in
// (requests, answers of the counter and how calls to it ended, the time), calls and verdicts out. No I/O,
// no clock, no globals; equal settings, seed and facts give equal calls. docs/design/shared-quota.md says
// why it is so.
//
// A customer's name on the counter holds the time V at which its store will be full again (the theoretical
// arrival time of the generic cell rate algorithm, ITU-T I.371), in s from the start of a generation. A
// part of each rate is not kept there but split evenly (the free part), so that calm customers need no
// calls.
#pragma once

#include <cmath>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace slatejunction::quota {

inline constexpr double kGeneration = 50;   // s; names live 60 s at most
inline std::int64_t generation_of(double unix_s) {
    return static_cast<std::int64_t>(std::floor(unix_s / kGeneration));
}
inline constexpr unsigned kIngressesMost = 11;   // digits of the beats in a total that is exact to 7
inline constexpr double kBeatEvery = 1;          // s
inline constexpr double kBeatLife = 3;           // s
inline constexpr double kMissingAfter = 5;       // s without a beat
inline constexpr double kCheckEvery = 2;         // s, where anything is reported
inline constexpr double kLostAfter = 0.3;        // s without any answer while one is owed
inline constexpr int kLostFailures = 3;          // calls in a row that were not done
inline constexpr double kProbeEvery = 0.5;       // s, while the counter is lost
inline constexpr double kSettle = 2;             // s after its return in which the others report too

struct PlanQuota {
    std::string name;
    double rate = 0;      // units a second
    double burst = 0;     // units
    double max_out = 0;   // attempts out over all ingresses; 0: not limited
};

struct Settings {
    std::vector<PlanQuota> plans;
    unsigned number = 0, ingresses = 1;   // this one of how many, from 0
    unsigned parts = 1;                   // of the counter
    double credit = 4;                    // k: units that an ingress may have passed and not reported
    double free_part = 0.3;               // of each rate, split evenly
    double free_units = 2;                // the free part's burst at least
    double largest = 1;                   // units of the largest request
    double calls_per_s = 200;
    double skew_s = 0.05;   // between any two ingresses' clocks, at most
    std::size_t customers_most = 100'000;
};

// The ingresses that a customer's requests come through: `spread` from `first` on, counted round.
struct Doors {
    unsigned first = 0, spread = 1;
    bool operator==(const Doors&) const = default;
};

// What may be sent on for one customer in any window of t seconds beyond burst + rate * t, in units.
struct StatedError {
    double healthy = 0;     // the counter answers, or slowly
    double lost = 0;        // it answers nobody for any time, and after its return
    double split = 0;       // it answers some
    double empty = 0;       // it has lost all it held
    double older = 0;       // it came back with an older state
    double restarted = 0;   // for each restart of an ingress without its state
};
// `cut_off`: of the customer's ingresses, so many in a split.
StatedError stated_error(const Settings& settings, const PlanQuota& plan, unsigned spread,
                         unsigned cut_off);

// Adds `by` to `name` of that part; a new name lives `life_ms`. Calls of one part reach it in their order.
struct Call {
    std::uint64_t id = 0;
    unsigned part = 0;
    std::string name;
    double by = 0;
    std::uint32_t life_ms = 60'000;
};

class Bank {
  public:
    // Throws std::invalid_argument for more ingresses than kIngressesMost, a number beyond them, no parts.
    Bank(Settings settings, std::uint64_t seed);

    // Whether a request of `units` may be sent on: 0, or so many s until it may. Draws nothing. Times are s
    // on a clock that all ingresses read, but for the skew; an earlier one than before is taken as that.
    double look(double now, std::uint64_t customer, unsigned plan, Doors doors, double units);
    // Its first attempt is sent. An attempt counts as out until ended().
    void take(double now, std::uint64_t customer, unsigned plan, Doors doors, double units);
    void ended(std::uint64_t customer);

    // How a call ended. `refused`: nothing was added; `maybe`: it may have been, and no answer will come.
    // An answer that comes late is as good as any.
    void answered(double now, std::uint64_t call, double total);
    void refused(double now, std::uint64_t call);
    void maybe(double now, std::uint64_t call);

    // The part has lost what it held, as others have found: as if this one's check had told it.
    void emptied(double now, unsigned part);
    // Parts whose loss this one's check has told for sure (it was not too old to tell), since the last
    // call.
    std::vector<unsigned> take_found() { return std::exchange(found_, {}); }
    // Adds to the fleet's own name of that part, see sentinel.hpp; what it holds comes by take_sentinels().
    void add_sentinel(double now, unsigned part, std::int64_t generation, double by);
    struct SentinelRead {
        unsigned part = 0;
        std::int64_t generation = 0;
        double total = 0;
    };
    std::vector<SentinelRead> take_sentinels() { return std::exchange(sentinels_, {}); }

    // To be called when due() has come; it is never in the past for long.
    void wake(double now);
    double due() const { return due_; }
    // Calls to be made, in their order.
    std::vector<Call> take_calls();
    bool has_calls() const { return !calls_.empty(); }

    bool lost(unsigned part) const { return parts_[part].lost; }
    std::size_t customers() const { return accounts_.size(); }
    std::uint64_t empties() const { return empties_; }   // times that a part had lost what it held
    // Units that the customer's store has room for, as far as this ingress knows.
    double level(std::uint64_t customer) const;

  private:
    static constexpr double kNever = -1e18;
    // An answer to a report, and what was asked.
    struct Answer {
        double before = 0, total = 0;   // V without and with what was added
        double lift = kNever, units = 0;
        bool tally = false, fresh = false;   // the units are a tally; the name was new
        std::int64_t generation = 0;
        std::uint64_t since = 0;   // the number of the last check sent before it came
    };
    struct Account {
        unsigned plan = 0, part = 0;
        Doors doors;
        double v = kNever;      // V as it should be by the last answer; kNever: not known
        double seen = kNever;   // V as the counter had it, of `generation` and `epoch`
        std::int64_t generation = 0;
        std::uint64_t epoch = 0;
        double known_at = 0;
        double unreported = 0, since = 0;    // units, and when the first of them was passed
        double tally = 0, tally_since = 0;   // passed of the share while the counter was lost
        double flight_since = 0;
        double in_flight = 0;   // units of the call that is out, or whose answer is not believed yet
        bool calling = false, queued = false;
        bool only = false;      // nobody else has reported between the last two answers
        bool suspect = false;   // an answer waits for a check
        Answer held;
        double free_v = 0;         // of the free part, as V
        double share_v = kNever;   // of the share while the counter is lost
        double used_at = 0;
        unsigned out = 0;
    };
    struct Part {
        bool lost = false;
        int failures = 0;
        double silent_since = 0;   // 0: nothing is owed
        double lost_at = kNever, returned_at = kNever;
        double next_probe = 0, next_beat = 0, next_check = 0;
        double floor_at = kNever;   // it was found empty then
        std::uint64_t epoch = 1;
        // The check: a name of this ingress's own that counts up.
        std::int64_t check_generation = -1;
        double check_least = 0;   // what it holds at least; 0: it is not made yet
        double check_made_at = 0;
        bool reported = false;   // something, since the last check
        bool checking = false, check_wanted = false;
        std::uint64_t checks = 0;              // sent
        std::vector<std::uint64_t> suspects;   // customers
        std::vector<double> beat_at;           // by ingress, when last seen
        double beat_total = 0;
        bool beat_out = false;
        std::size_t owed = 0;   // calls without an end
    };
    enum class What { report, check, beat, before, sentinel };
    struct Pending {
        What what = What::report;
        std::uint64_t customer = 0;
        unsigned part = 0;
        double units = 0, lift = kNever, by = 0;
        bool tally = false;
        std::int64_t generation = 0;
        std::uint64_t number = 0;   // of a check
    };

    double step(double now);
    unsigned part_of(std::uint64_t customer) const;   // of the counter
    const PlanQuota& plan(const Account& account) const { return settings_.plans[account.plan]; }
    double factor(const Account& account) const;
    bool sharing(const Account& account) const;   // it keeps to its share
    double level(const Account& account) const;
    double share_level(const Account& account) const;
    double wait(const Account& account, double units) const;
    Account& account(std::uint64_t customer, unsigned plan, Doors doors);
    void forget_some();
    std::uint64_t send(Pending pending, std::string name, std::uint32_t life_ms);
    void reread(std::uint64_t customer, Account& account);
    void report_if_due(std::uint64_t customer, Account& account);
    void report(std::uint64_t customer, Account& account, double units, double lift, double by);
    void on_report(const Pending& pending, double total);
    void settle(std::uint64_t customer, Account& account, Answer answer);
    void believe(std::uint64_t customer, Account& account);
    void on_before(const Pending& pending, double total);
    void on_check(const Pending& pending, double total);
    void on_beat(unsigned part, double total);
    void want_check(unsigned part);
    void failed(unsigned part);
    void heard(unsigned part);
    void lose(unsigned part);
    void empty(unsigned part);
    void arm();

    Settings settings_;
    std::mt19937_64 random_;
    double now_ = 0, offset_ = 0, ahead_at_ = kNever, due_ = 0;
    double calls_left_ = 0, calls_at_ = 0;
    std::uint64_t numbers_ = 0, empties_ = 0, nonce_ = 0;
    std::unordered_map<std::uint64_t, Account> accounts_;
    std::unordered_map<std::uint64_t, Pending> pending_;
    std::vector<Part> parts_;
    std::vector<Call> calls_;
    std::vector<unsigned> found_;
    std::vector<SentinelRead> sentinels_;
    std::deque<std::uint64_t> waiting_;   // customers that could not report: no budget
};

}   // namespace slatejunction::quota
