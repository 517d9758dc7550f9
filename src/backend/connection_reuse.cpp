#include "backend/connection_reuse.hpp"

#include <algorithm>

namespace slatejunction::backend {

// Late bytes follow the response on the same path. They arrive later than the response by the time that the
// backend waited, and by as much as the path has slowed down since: a lost segment, for example, is
// repeated one round trip later.
//
// After an early response, bytes of the request may still be on the way to the backend, which may have
// given up reading them.
std::optional<double> reuse_delay_s(const ExchangeEnd& end, double round_trip_s) {
    const bool request_under_way = !end.request_sent || end.answered_early;
    const bool response_under_way = !end.delimited || end.bytes_after_response;
    if (!end.keep_alive || request_under_way || response_under_way) return std::nullopt;
    return kMaxLateBytesS + std::max(0.0, round_trip_s);
}

}   // namespace slatejunction::backend
