// Why requests are refused, by number: named here once, for counters, records and the ingress.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace slatejunction::metrics {

// The gateway's (slatejunction::RejectReason), and among them the ingress's own, open_limit. The numbers
// are stable: files keep them.
inline constexpr std::array<std::string_view, 9> kRejectReasons{"quota",     "ceiling",     "fraction",
                                                                "open_work", "no_provider", "attempts",
                                                                "malformed", "open_limit",  "limit"};
inline constexpr std::size_t kQuotaReason = 0;
inline constexpr std::size_t kOpenLimitReason = 7;   // limits.max_open

}   // namespace slatejunction::metrics
