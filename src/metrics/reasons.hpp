// The names of the reasons for rejecting a request, by index: for counters, log records and the ingress.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace slatejunction::metrics {

// The gateway's reasons (slatejunction::RejectReason) and the ingress's own, open_limit. The order is
// stable, as stored counters use the names and callers the indices.
inline constexpr std::array<std::string_view, 9> kRejectReasons{"quota",     "ceiling",     "fraction",
                                                                "open_work", "no_provider", "attempts",
                                                                "malformed", "open_limit",  "limit"};
inline constexpr std::size_t kQuotaReason = 0;
inline constexpr std::size_t kOpenLimitReason = 7;   // the limit is limits.max_open

}   // namespace slatejunction::metrics
