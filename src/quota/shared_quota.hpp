// Quotas that hold over several ingresses, kept through a shared counter. A state machine: facts in
// (requests, answers of the counter and how calls to it ended, the time), calls and verdicts out. No I/O,
// no clock, no globals; equal settings, seed and facts give equal calls. docs/design/shared-quota.md says
// why it is so.
//
// A customer's name on the counter holds the time V at which its store will be full again (the theoretical
// arrival time of the generic cell rate algorithm, ITU-T I.371), in s from the start of a generation. A
// part of each rate is not kept there but split evenly (the free part), so that calm customers need no
// calls.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "quota/account.hpp"
#include "quota/bucket_layout.hpp"
#include "quota/plan.hpp"

namespace slatejunction::quota {

// Adds `by` to `name` of that part; a new name lives `life_ms`. Calls of one part reach it in their order.
struct CounterCall {
    std::uint64_t id = 0;
    unsigned part = 0;
    std::string name;
    double by = 0;
    std::uint32_t ttl_ms = 60'000;
};

class SharedQuota {
  public:
    // Throws std::invalid_argument for more ingresses than kIngressesMost, a number beyond them, no parts.
    SharedQuota(Settings settings, std::uint64_t seed);

    // Whether a request of `units` may be sent on: 0, or so many s until it may. Draws nothing. Times are s
    // on a clock that all ingresses read, but for the skew; an earlier one than before is taken as that.
    double retry_after_s(double now, std::uint64_t customer, unsigned plan, IngressSet doors, double units);
    // Its first attempt is sent. An attempt counts as out until ended().
    void consume(double now, std::uint64_t customer, unsigned plan, IngressSet doors, double units);
    void release(std::uint64_t customer);

    // How a call ended. `refused`: nothing was added; `maybe`: it may have been, and no answer will come.
    // An answer that comes late is as good as any.
    void on_reply(double now, std::uint64_t call, double total);
    void on_rejected(double now, std::uint64_t call);
    void on_unknown_result(double now, std::uint64_t call);

    // The part has lost what it held, as others have found: as if this one's check had told it.
    void on_counter_lost(double now, unsigned part);
    // Parts whose loss this one's check has told for sure (it was not too old to tell), since the last
    // call.
    std::vector<unsigned> take_found_losses() { return std::exchange(found_, {}); }
    // Adds to the fleet's own name of that part, see sentinel.hpp; what it holds comes by take_sentinels().
    void add_incarnation(double now, unsigned part, std::int64_t generation, double by);
    struct IncarnationRead {
        unsigned part = 0;
        std::int64_t generation = 0;
        double total = 0;
    };
    std::vector<IncarnationRead> take_incarnations() { return std::exchange(sentinels_, {}); }

    // To be called when due() has come; it is never in the past for long.
    void on_timer(double now);
    double next_deadline() const { return due_; }
    // Calls to be made, in their order.
    std::vector<CounterCall> take_calls();
    bool has_calls() const { return !calls_.empty(); }

    bool lost(unsigned part) const { return parts_[part].lost; }
    std::size_t customers() const { return accounts_.size(); }
    std::uint64_t counter_losses() const { return empties_; }   // times that a part had lost what it held
    // Units that the customer's store has room for, as far as this ingress knows.
    double level(std::uint64_t customer) const;

  private:
    // bank.cpp: the time, calls and how they end.
    void advance(double now);
    double clock() const { return now_ + offset_; }   // s, as all ingresses read it
    std::uint64_t send(Pending pending, std::string name, std::uint32_t life_ms);
    void take_answer(const Pending& pending, double total);
    void take_back(const Pending& pending, Account& account);
    void set_due();

    // admission.cpp: what a customer's stores have room for.
    unsigned part_of(std::uint64_t customer) const;   // of the counter
    const PlanQuota& plan(const Account& account) const { return settings_.plans[account.plan]; }
    BucketLayout stores_of(const Account& account) const;
    double factor(const Account& account) const;
    bool sharing(const Account& account) const;   // it keeps to its share
    double level(const Account& account) const;
    double free_level(const Account& account) const;
    double share_level(const Account& account) const;
    double wait(const Account& account, double units) const;
    Account& account(std::uint64_t customer, unsigned plan, IngressSet doors);
    void forget_some();
    void take_share(std::uint64_t customer, Account& account, double units);
    void take_charged(std::uint64_t customer, Account& account, double units);

    // reports.cpp: what the counter is told of customers, and its answers.
    void reread(std::uint64_t customer, Account& account);
    bool report_wanted(const Account& account) const;
    void report_if_due(std::uint64_t customer, Account& account);
    void report_news(std::uint64_t customer, Account& account);
    void report(std::uint64_t customer, Account& account, double units, double lift, double by);
    void report_queued();
    Answer answer_to(const Pending& pending, double total) const;
    void on_report(const Pending& pending, double total);
    void read_before(std::uint64_t customer, const Account& account);
    void on_before(const Pending& pending, double total);
    void believe(std::uint64_t customer, Account& account);
    double base_of(const Account& account, const Answer& answer) const;
    void follow_faster_clock(double ahead);
    void settle(std::uint64_t customer, Account& account, Answer answer);

    // counter_state.cpp: whether a part of the counter answers and keeps what it held, and who uses it.
    void want_check(unsigned part);
    void on_check(const Pending& pending, double total);
    void believe_checked(unsigned part, std::uint64_t check);
    void empty(unsigned part);
    void on_beat(unsigned part, double total);
    void heard(unsigned part);
    void failed(unsigned part);
    void lose(unsigned part);
    void wake_part(unsigned part);
    bool beat(unsigned part, double jitter);

    Settings settings_;
    std::mt19937_64 random_;
    double now_ = 0, offset_ = 0, ahead_at_ = kNever, due_ = 0;
    double calls_left_ = 0, calls_at_ = 0;
    std::uint64_t numbers_ = 0, empties_ = 0, nonce_ = 0;
    std::unordered_map<std::uint64_t, Account> accounts_;
    std::unordered_map<std::uint64_t, Pending> pending_;
    std::vector<CounterPart> parts_;
    std::vector<CounterCall> calls_;
    std::vector<unsigned> found_;
    std::vector<IncarnationRead> sentinels_;
    std::deque<std::uint64_t> waiting_;   // customers that could not report: no budget
};

}   // namespace slatejunction::quota
