// Names of the entries on the shared counter. The names are part of the wire format: ingresses of all
// versions must generate the same names.
#pragma once

#include <cstdint>
#include <string>

namespace slatejunction::quota {

inline constexpr std::uint32_t kEntryTtlMs = 60'000;   ///< time to live of a new entry

/// Name of a customer's entry, which holds the theoretical arrival time in s since the start of the
/// generation.
std::string customer_name(std::uint64_t customer, std::int64_t generation);

/// Name of the entry by which one ingress checks that the counter kept its state. `nonce` differs after
/// each restart of the ingress.
std::string check_name(unsigned ingress, std::uint64_t nonce, std::int64_t generation);

/// Name of the entry that holds the heartbeats of all ingresses on one shard of the counter.
std::string heartbeat_name(unsigned shard);

/// Name of the fleet's incarnation entry (counter_incarnation.hpp).
std::string incarnation_name(std::int64_t generation);

}   // namespace slatejunction::quota
