// Plain state of SharedQuota (shared_quota.hpp): what an ingress knows of one customer, of one part of the
// counter and of a call that has not ended. A field named `*full_at_s` is a theoretical arrival time: the
// fleet time, in s, at which the bucket in question will be full again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "quota/plan.hpp"

namespace slatejunction::quota {

inline constexpr double kNeverS = -1e18;   ///< s; a time before all others, or one that is not known

/// The start of a generation of names, in fleet time (s).
inline double generation_start_s(std::int64_t generation) {
    return static_cast<double>(generation) * kGenerationS;
}

/// The counter's reply to a report, with what was reported.
struct CounterReply {
    double full_at_before_s =
        0;                  ///< the counter's theoretical arrival time without the amount that was added
    double full_at_s = 0;   ///< the same with that amount
    double raise_to_s =
        kNeverS;        ///< the theoretical arrival time is at least this; kNeverS: no lower bound
    double units = 0;   ///< reported
    bool is_fallback_usage = false;   ///< the units were admitted from the fallback bucket
    bool name_is_new = false;         ///< the counter did not hold the name before the call
    std::int64_t generation = 0;
    std::uint64_t last_check_sent = 0;   ///< number of the last check that was sent before the reply came
};

/// What this ingress knows of one customer.
struct CustomerState {
    unsigned plan = 0;   ///< index in Settings::plans
    unsigned part = 0;   ///< of the counter, which keeps the customer's shared bucket
    IngressSet ingresses;

    // The shared bucket, kept on the counter.
    double full_at_s = kNeverS;           ///< as it should be by the last reply; kNeverS: not known
    double counter_full_at_s = kNeverS;   ///< as the counter had it, in `generation` and `counter_epoch`
    std::int64_t generation = 0;
    std::uint64_t counter_epoch = 0;   ///< CounterPart::epoch of the last reply
    double updated_at_s = 0;   ///< time of the last reply, or of the last refresh that was asked for
    double unreported_units = 0;
    double unreported_since_s = 0;   ///< fleet time of the first unreported unit
    double in_flight_units = 0;      ///< units of the call in flight, or of an unconfirmed reply
    double in_flight_since_s = 0;    ///< fleet time of the first unit in flight
    bool call_in_flight = false;
    bool report_queued = false;   ///< waits for the call budget
    bool sole_reporter = false;   ///< no other ingress reported between the last two replies
    bool awaits_check =
        false;   ///< `unconfirmed` waits until a check shows that the counter kept its state
    CounterReply unconfirmed;

    // The fallback bucket, used while the counter is unreachable.
    double fallback_full_at_s = kNeverS;
    double fallback_units = 0;     ///< admitted from the fallback bucket and not reported
    double fallback_since_s = 0;   ///< fleet time of the first of them

    // The local bucket, which needs no counter.
    double local_full_at_s = 0;

    double last_used_at_s = 0;
    unsigned attempts_in_flight = 0;
};

/// What this ingress knows of one part of the counter.
struct CounterPart {
    bool unreachable = false;
    int consecutive_failures = 0;   ///< calls in a row that were not carried out
    double silent_since_s = 0;      ///< 0: no call is in flight
    double unreachable_since_s = kNeverS;
    double recovered_at_s = kNeverS;
    double next_probe_at_s = 0;
    double next_heartbeat_at_s = 0;
    double next_check_at_s = 0;
    double state_lost_at_s = kNeverS;   ///< fleet time at which a loss of its state was last noticed
    std::uint64_t epoch = 1;            ///< raised whenever a loss of its state is noticed

    // The check: a name of this ingress's own that only counts up.
    std::int64_t check_generation = -1;
    double check_min_total = 0;   ///< what the name holds at least; 0: not created yet
    double check_created_at_s = 0;
    bool reported_since_check = false;
    bool check_in_flight = false;
    bool check_wanted = false;   ///< another check is to follow the one in flight
    std::uint64_t checks_sent = 0;
    std::vector<std::uint64_t> awaiting_check;   ///< customers whose reply is unconfirmed

    std::vector<double> last_heartbeat_at_s;   ///< by ingress index
    double heartbeat_total = 0;                ///< of the last reply
    bool heartbeat_in_flight = false;
    std::size_t calls_in_flight = 0;
};

/// What a call to the counter is for.
enum class CallPurpose {
    report,                ///< adds a customer's usage, or reads its name
    check,                 ///< whether the counter kept its state
    heartbeat,             ///< that this ingress uses the part, and who else does
    previous_generation,   ///< reads a customer's name of the generation before
    incarnation            ///< reads or sets the fleet's own name (counter_incarnation.hpp)
};

/// A call that has not ended.
struct PendingCall {
    CallPurpose purpose = CallPurpose::report;
    std::uint64_t customer = 0;
    unsigned part = 0;
    double units = 0;
    double raise_to_s = kNeverS;   ///< see CounterReply
    double amount = 0;             ///< added to the name
    bool is_fallback_usage = false;
    std::int64_t generation = 0;
    std::uint64_t check_number = 0;
};

}   // namespace slatejunction::quota
