// Quotas that hold across several ingresses, kept on a shared counter.
//
// A request is admitted if the ingress's local bucket, or else the customer's shared bucket on the counter,
// holds its units. No request waits for a reply: an ingress admits by the last known level of the shared
// bucket, as long as the units that it has not reported stay within Settings::max_unreported_units. While
// the counter is unreachable, a fallback bucket, an even share of the shared one, takes its place.
//
// - Inputs: requests (customer, plan, units and the ingresses that they arrive at), the counter's replies
//   and how calls ended, and the time (s).
// - Outputs: whether to admit a request or how long to wait (s), calls, and the next deadline.
// - Error bound: error_bound() in bucket_layout.hpp gives the units admitted beyond burst + rate * t for
//   each state of the counter.
// - Observability: log lines that begin with "quota: " and the metric of counter losses.
//
// The counter keeps entries, each a number with a name and a time to live. A customer's entry holds its
// theoretical arrival time in s since the start of a generation (generic cell rate algorithm, ITU-T I.371),
// so consuming units is a single atomic addition. A part of each rate is kept locally, so that customers
// far below their quota need no calls. See docs/design/shared-quota.md.
//
// The counter consists of one or more independent shards, and each customer's entries are kept on one
// shard.
//
// A state machine without I/O, a clock or globals: equal settings, seed and inputs give equal calls. Driver
// owns it and is its only caller.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "quota/bucket_layout.hpp"
#include "quota/plan.hpp"
#include "quota/state.hpp"

namespace slatejunction::quota {

/// A call to be sent: adds `amount` to the entry `name` on a shard of the counter. The calls to one shard
/// must reach it in their order.
struct CounterCall {
    std::uint64_t id = 0;
    unsigned shard = 0;
    std::string name;
    double amount = 0;               ///< in s for a customer's entry, a plain number for others
    std::uint32_t ttl_ms = 60'000;   ///< time to live of the entry if the call creates it
};

/// One ingress's view of all customers' quotas.
class SharedQuota {
  public:
    /// Throws std::invalid_argument if ingress_count is not 1 to kMaxIngresses, ingress_index is not below
    /// it, or shards is 0.
    SharedQuota(Settings settings, std::uint64_t seed);

    /// Returns the time (s) until a request of `units` may be admitted, or 0 if it may be admitted now.
    /// Consumes nothing. `now` is Unix time (s), on which all ingresses agree up to Settings::skew_s. Time
    /// never runs backwards: an earlier `now` counts as the latest one.
    double retry_after_s(double now, std::uint64_t customer, unsigned plan, IngressSet ingresses,
                         double units);
    /// Consumes the units of a request that was admitted and whose first attempt has started. The attempt
    /// counts as in flight until release().
    void consume(double now, std::uint64_t customer, unsigned plan, IngressSet ingresses, double units);
    void release(std::uint64_t customer);

    /// Handles the counter's reply that the entry now holds `total`. Late replies are valid.
    void on_reply(double now, std::uint64_t call, double total);
    /// Handles a call that ended without adding its amount.
    void on_rejected(double now, std::uint64_t call);
    /// Handles a call that ended without a reply and may have added its amount.
    void on_unknown_result(double now, std::uint64_t call);

    /// Handles a loss of the shard's state that other ingresses found, as if this ingress's check had shown
    /// it.
    void on_counter_state_lost(double now, unsigned shard);
    /// Returns the shards whose loss of state this ingress's check has proven since the last call. A check
    /// whose entry may have expired proves nothing.
    std::vector<unsigned> take_detected_losses() { return std::exchange(detected_losses_, {}); }
    /// Adds `amount` to the shard's incarnation entry (counter_incarnation.hpp); 0 only reads it. The
    /// resulting total is returned by take_incarnation_reads().
    void add_to_incarnation(double now, unsigned shard, std::int64_t generation, double amount);
    struct IncarnationRead {
        unsigned shard = 0;
        std::int64_t generation = 0;
        double total = 0;
    };
    std::vector<IncarnationRead> take_incarnation_reads() { return std::exchange(incarnation_reads_, {}); }

    /// Must be called once next_deadline() is reached.
    void on_timer(double now);
    double next_deadline() const { return next_deadline_s_; }
    /// Returns the calls to be sent, in their order.
    std::vector<CounterCall> take_calls();
    bool has_calls() const { return !outgoing_calls_.empty(); }

    bool unreachable(unsigned shard) const { return shards_[shard].unreachable; }
    std::size_t customers() const { return customers_.size(); }
    /// Number of detected losses of a shard's state.
    std::uint64_t counter_losses() const { return counter_losses_; }
    /// Returns the units in the customer's shared bucket as far as this ingress knows; 0 for an unknown
    /// customer.
    double level(std::uint64_t customer) const;

  private:
    // shared_quota.cpp: time, calls and their results.
    void advance_time(double now);
    double fleet_time_s() const { return now_ + clock_offset_s_; }   // time of the fastest clock
    std::uint64_t send(PendingCall pending, std::string name, std::uint32_t ttl_ms);
    void dispatch_reply(const PendingCall& pending, double total);
    void requeue_report(const PendingCall& pending, CustomerState& state);
    void update_deadline();

    // admission.cpp: whether a customer's buckets hold the units of a request, and their consumption.
    unsigned shard_of(std::uint64_t customer) const;
    const PlanQuota& plan(const CustomerState& state) const { return settings_.plans[state.plan]; }
    BucketLayout layout_of(const CustomerState& state) const;
    double cost_multiplier(const CustomerState& state) const;
    bool uses_fallback(const CustomerState& state) const;
    double level(const CustomerState& state) const;
    double local_level(const CustomerState& state) const;
    double fallback_level(const CustomerState& state) const;
    double time_until_admitted_s(const CustomerState& state, double units) const;
    CustomerState& find_or_create(std::uint64_t customer, unsigned plan, IngressSet ingresses);
    void evict_one();
    void consume_fallback(std::uint64_t customer, CustomerState& state, double units);
    void consume_shared(std::uint64_t customer, CustomerState& state, double units);

    // reports.cpp: reports of customers' usage to the counter, and its replies.
    void refresh(std::uint64_t customer, CustomerState& state);
    bool is_report_due(const CustomerState& state) const;
    void report_if_due(std::uint64_t customer, CustomerState& state);
    void report_usage(std::uint64_t customer, CustomerState& state);
    void send_report(std::uint64_t customer, CustomerState& state, double units, double raise_to_s,
                     double amount);
    void send_queued_reports();
    CounterReply decode_reply(const PendingCall& pending, double total) const;
    void on_report(const PendingCall& pending, double total);
    void read_previous_generation(std::uint64_t customer, const CustomerState& state);
    void on_previous_generation(const PendingCall& pending, double total);
    void on_reply_confirmed(std::uint64_t customer, CustomerState& state);
    double full_at_before_report(const CustomerState& state, const CounterReply& reply) const;
    void follow_faster_clock(double ahead_s);
    void apply_reply(std::uint64_t customer, CustomerState& state, const CounterReply& reply);

    // counter_state.cpp: whether a shard of the counter is reachable and kept its state, and which
    // ingresses use it.
    void request_check(unsigned shard);
    void on_check(const PendingCall& pending, double total);
    void confirm_replies_before(unsigned shard, std::uint64_t check);
    void on_state_lost(unsigned shard);
    void on_heartbeat(unsigned shard, double total);
    void on_shard_answered(unsigned shard);
    void on_call_failed(unsigned shard);
    void on_shard_unreachable(unsigned shard);
    void on_shard_timer(unsigned shard);
    bool send_heartbeat(unsigned shard, double jitter);

    Settings settings_;
    std::mt19937_64 random_;
    double now_ = 0;
    double clock_offset_s_ = 0;            // how far this clock is behind the fastest one
    double clock_behind_at_s_ = kNeverS;   // time at which a reply last showed that it is behind
    double next_deadline_s_ = 0;
    double call_budget_ = 0;   // calls that may be sent now
    double call_budget_updated_at_s_ = 0;
    std::uint64_t last_call_id_ = 0;
    std::uint64_t counter_losses_ = 0;
    std::uint64_t nonce_ = 0;   // identifies this process in the names of its checks
    std::unordered_map<std::uint64_t, CustomerState> customers_;
    std::unordered_map<std::uint64_t, PendingCall> pending_;
    std::vector<CounterShard> shards_;
    std::vector<CounterCall> outgoing_calls_;
    std::vector<unsigned> detected_losses_;
    std::vector<IncarnationRead> incarnation_reads_;
    std::deque<std::uint64_t> queued_reports_;   // customers with a report that waits for the budget
};

}   // namespace slatejunction::quota
