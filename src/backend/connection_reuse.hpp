// Decides whether and when a connection to a backend may carry another exchange.
//
// HTTP/1.1 pairs responses with requests by their order alone (RFC 9112, section 9.3). Any byte of an
// exchange that arrives after the next one has begun would be taken for a part of that one. So a connection
// is used again only when nothing of the exchange before can still be under way, in either direction.
//
// Times are in s. Pure: does no I/O and reads no clock. Called by Connection.
#pragma once

#include <optional>

namespace slatejunction::backend {

/// The longest time after its response at which a backend may send bytes that belong to no response, such
/// as a second copy. A backend sends none once the next request has reached it.
inline constexpr double kMaxLateBytesS = 0.02;

/// What is known of an exchange when its response is complete.
struct ExchangeEnd {
    bool keep_alive = false;       // the backend keeps the connection open
    bool delimited = false;        // the response ended before its connection did
    bool request_sent = false;     // the whole request has been written to the socket
    bool answered_early = false;   // the response began before that
    bool bytes_after_response = false;
};

/// Returns how long (s) after the end of the exchange the connection must stay idle before its next use;
/// nullopt: it must be closed. `round_trip_s`: to the backend, 0 if it is near.
std::optional<double> reuse_delay_s(const ExchangeEnd& end, double round_trip_s);

}   // namespace slatejunction::backend
