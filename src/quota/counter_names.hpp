// The names that ingresses use on the shared counter. All ingresses must write them alike.
#pragma once

#include <cstdint>
#include <string>

namespace slatejunction::quota {

inline constexpr std::uint32_t kNameLifeMs = 60'000;   ///< ms that a new name lives

/// What a customer has used, in s from the start of the generation.
std::string customer_name(std::uint64_t customer, std::int64_t generation);

/// One ingress's own check that the counter keeps what it holds. `nonce` tells its restarts apart.
std::string check_name(unsigned ingress, std::uint64_t nonce, std::int64_t generation);

/// The beats of all ingresses on one part of the counter.
std::string beat_name(unsigned part);

/// The fleet's own check, see sentinel.hpp.
std::string sentinel_name(std::int64_t generation);

}   // namespace slatejunction::quota
