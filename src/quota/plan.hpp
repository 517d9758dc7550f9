// What a shared quota is configured by, and the periods that its ingresses keep to.
#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace slatejunction::quota {

inline constexpr double kGeneration = 50;   ///< s; names live 60 s at most

/// The number of the generation of names that a time lies in.
inline std::int64_t generation_of(double unix_s) {
    return static_cast<std::int64_t>(std::floor(unix_s / kGeneration));
}

inline constexpr unsigned kIngressesMost = 11;   ///< digits of the beats in a total that is exact to 7
inline constexpr double kBeatEvery = 1;          ///< s
inline constexpr double kBeatLife = 3;           ///< s
inline constexpr double kMissingAfter = 5;       ///< s without a beat
inline constexpr double kCheckEvery = 2;         ///< s, where anything is reported
inline constexpr double kLostAfter = 0.3;        ///< s without any answer while one is owed
inline constexpr int kLostFailures = 3;          ///< calls in a row that were not done
inline constexpr double kProbeEvery = 0.5;       ///< s, while the counter is lost
inline constexpr double kSettle = 2;             ///< s after its return in which the others report too

struct PlanQuota {
    std::string name;
    double rate = 0;            ///< units a second
    double burst = 0;           ///< units
    double max_in_flight = 0;   ///< attempts out over all ingresses; 0: not limited
};

struct Settings {
    std::vector<PlanQuota> plans;
    unsigned ingress_index = 0, ingress_count = 1;   ///< this one of how many, from 0
    unsigned parts = 1;                              ///< of the counter
    double credit = 4;        ///< k: units that an ingress may have passed and not reported
    double free_part = 0.3;   ///< of each rate, split evenly
    double free_units = 2;    ///< the free part's burst at least
    double largest = 1;       ///< units of the largest request
    double calls_per_s = 200;
    double skew_s = 0.05;   ///< between any two ingresses' clocks, at most
    std::size_t customers_most = 100'000;
};

/// The ingresses that a customer's requests come through: `spread` from `first` on, counted round.
struct IngressSet {
    unsigned first = 0, count = 1;
    bool operator==(const IngressSet&) const = default;
};

}   // namespace slatejunction::quota
