// The names that ingresses use on the shared counter. They are a wire format: all ingresses, of any
// version, must write them alike.
#pragma once

#include <cstdint>
#include <string>

namespace slatejunction::quota {

inline constexpr std::uint32_t kNameTtlMs = 60'000;   ///< time to live of a new name

/// Name of a customer's theoretical arrival time, which is kept in s from the start of the generation.
std::string customer_name(std::uint64_t customer, std::int64_t generation);

/// Name of one ingress's check that the counter keeps its state. `nonce` differs after each restart.
std::string check_name(unsigned ingress, std::uint64_t nonce, std::int64_t generation);

/// Name of the heartbeats of all ingresses on one part of the counter.
std::string heartbeat_name(unsigned part);

/// Name of the fleet's own check, see counter_incarnation.hpp.
std::string incarnation_name(std::int64_t generation);

}   // namespace slatejunction::quota
