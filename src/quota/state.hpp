// State of SharedQuota (shared_quota.hpp): what an ingress knows of a customer, of a shard of the counter
// and of a pending call.
//
// A field named `*full_at_s` is a theoretical arrival time (GCRA): the fleet time (s) at which the bucket
// will be full again. Fleet time is the time of the fastest clock among the ingresses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "quota/plan.hpp"

namespace slatejunction::quota {

/// A time before all others, also used for an unknown time.
inline constexpr double kNeverS = -1e18;

/// Returns the start of a generation in fleet time (s).
inline double generation_start_s(std::int64_t generation) {
    return static_cast<double>(generation) * kGenerationS;
}

/// The counter's reply to a report, with what was reported.
struct CounterReply {
    /// Theoretical arrival time on the counter without the reported amount.
    double full_at_before_s = 0;
    double full_at_s = 0;   ///< theoretical arrival time on the counter, including the reported amount
    /// Lower bound that the theoretical arrival time is raised to; kNeverS if there is none.
    double raise_to_s = kNeverS;
    double units = 0;                 ///< reported units
    bool is_fallback_usage = false;   ///< whether the units were admitted from the fallback bucket
    bool entry_is_new = false;        ///< whether the call created the entry on the counter
    std::int64_t generation = 0;
    /// Number of the last check that was sent before the reply arrived.
    std::uint64_t last_check_sent = 0;
};

/// What this ingress knows of one customer.
struct CustomerState {
    unsigned plan = 0;    ///< index in Settings::plans
    unsigned shard = 0;   ///< the shard of the counter that keeps the customer's shared bucket
    IngressSet ingresses;

    // The shared bucket, kept on the counter.
    /// Theoretical arrival time according to the last reply; kNeverS if unknown. The entry on the counter
    /// may still have to be corrected to it.
    double full_at_s = kNeverS;
    /// Theoretical arrival time that the entry held at the last reply, in `generation` and
    /// `counter_incarnation`.
    double counter_full_at_s = kNeverS;
    std::int64_t generation = 0;
    std::uint64_t counter_incarnation = 0;   ///< CounterShard::known_incarnation at the last reply
    double updated_at_s = 0;                 ///< time of the last reply or of the last requested refresh
    double unreported_units = 0;
    double unreported_since_s = 0;   ///< fleet time of the first unreported unit
    double in_flight_units = 0;      ///< units of the call in flight or of an unconfirmed reply
    double in_flight_since_s = 0;    ///< fleet time of the first unit in flight
    bool call_in_flight = false;
    bool report_queued = false;   ///< a report waits for the call budget
    bool sole_reporter = false;   ///< no other ingress reported between the last two replies
    /// `unconfirmed_reply` waits until a check shows whether the counter kept its state.
    bool awaits_check = false;
    CounterReply unconfirmed_reply;

    // The fallback bucket, used while the shard is unreachable.
    double fallback_full_at_s = kNeverS;
    double fallback_units = 0;     ///< units admitted from the fallback bucket and not reported
    double fallback_since_s = 0;   ///< fleet time of the first of them

    // The local bucket, which needs no call to the counter.
    double local_full_at_s = 0;

    double last_used_at_s = 0;
    unsigned attempts_in_flight = 0;
};

/// What this ingress knows of one shard of the counter.
struct CounterShard {
    bool unreachable = false;
    int consecutive_failures = 0;   ///< consecutive calls that were not carried out
    /// Time of the last reply or failed call, or of the first call after an idle period; 0 if no call is in
    /// flight.
    double awaiting_reply_since_s = 0;
    double unreachable_since_s = kNeverS;
    double recovered_at_s = kNeverS;
    double next_probe_at_s = 0;
    double next_heartbeat_at_s = 0;
    double next_check_at_s = 0;
    double state_lost_at_s = kNeverS;      ///< fleet time of the last detected loss of its state
    std::uint64_t known_incarnation = 1;   ///< increased with each detected loss of its state

    // The check. This ingress keeps an entry of its own whose total only increases, so a total that has not
    // increased shows that the shard lost its state.
    std::int64_t check_generation = -1;
    double check_min_total = 0;   ///< smallest total that the entry may hold; 0 if it is not created yet
    double check_created_at_s = 0;
    bool reported_since_check = false;
    bool check_in_flight = false;
    bool check_wanted = false;   ///< another check is to follow the one in flight
    std::uint64_t checks_sent = 0;
    std::vector<std::uint64_t> awaiting_check;   ///< customers with an unconfirmed reply

    std::vector<double> last_heartbeat_at_s;   ///< by ingress index
    double heartbeat_total = 0;                ///< total in the last reply to a heartbeat
    bool heartbeat_in_flight = false;
    std::size_t calls_in_flight = 0;
};

/// Purpose of a call to the counter.
enum class CallPurpose {
    report,                ///< adds a customer's usage, or reads the customer's entry
    check,                 ///< checks that the shard kept its state
    heartbeat,             ///< shows that this ingress uses the shard, and reads which others do
    previous_generation,   ///< reads a customer's entry of the previous generation
    incarnation            ///< reads or sets the fleet's incarnation entry (counter_incarnation.hpp)
};

/// A call that has not ended.
struct PendingCall {
    CallPurpose purpose = CallPurpose::report;
    std::uint64_t customer = 0;
    unsigned shard = 0;
    double units = 0;              ///< reported units
    double raise_to_s = kNeverS;   ///< see CounterReply
    double amount = 0;             ///< amount that the call adds to the entry
    bool is_fallback_usage = false;
    std::int64_t generation = 0;
    std::uint64_t check_number = 0;
};

}   // namespace slatejunction::quota
