// Settings of the shared quota, and the periods and timeouts that all ingresses of a fleet use. Times are
// in s.
#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace slatejunction::quota {

/// Length of a generation. Each generation uses new names on the counter, because an entry expires 60 s
/// after its creation at the latest.
inline constexpr double kGenerationS = 50;

/// Returns the number of the generation that a time (s, Unix) lies in.
inline std::int64_t generation_of(double unix_s) {
    return static_cast<std::int64_t>(std::floor(unix_s / kGenerationS));
}

/// Most ingresses of a fleet. The heartbeat total has one base-4 digit per ingress and is exact to 7
/// decimal digits, which hold 11 such digits.
inline constexpr unsigned kMaxIngresses = 11;
inline constexpr double kHeartbeatPeriodS = 1;
inline constexpr double kHeartbeatTtlS = 3;
/// Time without a heartbeat after which an ingress counts as missing.
inline constexpr double kIngressMissingAfterS = 5;
/// Time between two checks that a shard of the counter kept its state, while usage is reported to it.
inline constexpr double kCheckPeriodS = 2;
/// Time without any reply, while a call is in flight, after which a shard counts as unreachable.
inline constexpr double kUnreachableAfterS = 0.3;
/// Consecutive failed calls after which a shard counts as unreachable.
inline constexpr int kUnreachableAfterFailures = 3;
/// Time between two probes of an unreachable shard.
inline constexpr double kProbePeriodS = 0.5;
/// Time after the recovery of a shard during which an ingress keeps using its fallback buckets, while the
/// other ingresses report their usage.
inline constexpr double kRecoveryGraceS = 2;

/// Quota that each customer of one plan has.
struct PlanQuota {
    std::string name;
    double rate = 0;            ///< units per second
    double burst = 0;           ///< units
    double max_in_flight = 0;   ///< attempts in flight across all ingresses; 0 means unlimited
};

/// Settings of one ingress's SharedQuota.
struct Settings {
    std::vector<PlanQuota> plans;
    unsigned ingress_index = 0;   ///< index of this ingress in the fleet, from 0
    unsigned ingress_count = 1;   ///< number of ingresses in the fleet
    /// Number of shards of the counter. Each customer's entries are kept on one of them.
    unsigned shards = 1;
    double max_unreported_units = 4;   ///< units that an ingress may have admitted and not reported
    /// Fraction of each rate and burst that is split evenly over the ingresses and kept locally.
    double local_fraction = 0.3;
    double min_local_burst = 2;            ///< smallest burst (units) of a local bucket
    double max_request_units = 1;          ///< most units of a single request
    double calls_per_s = 200;              ///< most calls per second to the counter
    double skew_s = 0.05;                  ///< largest difference between the clocks of two ingresses
    std::size_t max_customers = 100'000;   ///< customers tracked at once; beyond that one is evicted
};

/// The ingresses that a customer's requests arrive at: `count` ingresses from index `first` on, modulo the
/// number of ingresses.
struct IngressSet {
    unsigned first = 0, count = 1;
    bool operator==(const IngressSet&) const = default;
};

}   // namespace slatejunction::quota
