// Settings of the shared quota, and the periods and timeouts that all ingresses of a fleet keep to.
#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace slatejunction::quota {

inline constexpr double kGenerationS =
    50;   ///< s; a new name is used every 50 s, as names live 60 s at most

/// The number of the generation of names that a time lies in.
inline std::int64_t generation_of(double unix_s) {
    return static_cast<std::int64_t>(std::floor(unix_s / kGenerationS));
}

inline constexpr unsigned kMaxIngresses =
    11;   ///< heartbeat digits that fit in a total exact to 7 decimal digits
inline constexpr double kHeartbeatPeriodS = 1;        ///< s
inline constexpr double kHeartbeatTtlS = 3;           ///< s
inline constexpr double kIngressMissingAfterS = 5;    ///< s without a heartbeat
inline constexpr double kCheckPeriodS = 2;            ///< s, while anything is reported
inline constexpr double kUnreachableAfterS = 0.3;     ///< s without any reply while a call is in flight
inline constexpr int kUnreachableAfterFailures = 3;   ///< consecutive calls that were not carried out
inline constexpr double kProbePeriodS = 0.5;          ///< s, while the part is unreachable
inline constexpr double kRecoveryGraceS =
    2;   ///< s after its recovery during which the other ingresses report their usage

/// The quota of one plan, for each of its customers.
struct PlanQuota {
    std::string name;
    double rate = 0;            ///< units a second
    double burst = 0;           ///< units
    double max_in_flight = 0;   ///< attempts over all ingresses; 0: not limited
};

/// Settings of one ingress's SharedQuota.
struct Settings {
    std::vector<PlanQuota> plans;
    unsigned ingress_index = 0;            ///< of this ingress, from 0
    unsigned ingress_count = 1;            ///< of the fleet
    unsigned parts = 1;                    ///< of the counter, which customers are spread over
    double max_unreported_units = 4;       ///< that an ingress may have admitted and not reported
    double local_fraction = 0.3;           ///< of each rate and burst: split evenly, kept locally
    double min_local_burst = 2;            ///< burst of the local bucket, at least
    double max_request_units = 1;          ///< of one request
    double calls_per_s = 200;              ///< to the counter, at most
    double skew_s = 0.05;                  ///< between any two ingresses' clocks, at most
    std::size_t max_customers = 100'000;   ///< known at once; beyond, one is evicted
};

/// The ingresses that a customer's requests come through: `count` of them from index `first` on, modulo the
/// number of ingresses.
struct IngressSet {
    unsigned first = 0, count = 1;
    bool operator==(const IngressSet&) const = default;
};

}   // namespace slatejunction::quota
