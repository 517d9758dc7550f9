// Protocols for calling the shared counter, as state machines without sockets. Driver owns one for each
// connection.
//
// - Inputs: calls and received bytes.
// - Outputs: bytes to send, and replies in the order of the calls, which are pipelined.
//
// HTTP, as the platform's counter implements it: POST /counters/NAME?by=AMOUNT&expire_ms=TTL. Status 200
// returns the total in its body; 503, 400 and 404 mean that nothing was added.
//
// RESP, version 2 of the protocol of Redis-compatible servers: MULTI, SET NAME 0 PX TTL NX,
// INCRBYFLOAT NAME AMOUNT, EXEC. The transaction is carried out as a whole or not at all, and an error in
// place of its replies means that nothing was added. If the connection ends before the reply to EXEC, the
// result is unknown.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.hpp"
#include "quota/shared_quota.hpp"

namespace slatejunction::quota {

/// The counter's reply to one call.
struct Reply {
    bool added = false;   ///< whether the call was carried out
    double total = 0;     ///< total of the entry after the call; NaN if the reply is not a number
};

/// Whether the received bytes follow the protocol.
enum class ProtocolStatus {
    ok,
    violated   ///< the connection must be closed
};

/// Protocol state of one connection.
class CounterProtocol {
  public:
    virtual ~CounterProtocol() = default;
    /// Appends the encoded call to `out`.
    virtual void write(const CounterCall& call, std::string& out) const = 0;
    /// Consumes received bytes and appends the replies that they complete to `replies`.
    virtual ProtocolStatus parse(std::string_view bytes, std::vector<Reply>& replies) = 0;
    /// Whether the counter has announced that it will close the connection.
    virtual bool connection_closing() const { return false; }
};

/// `host` is the value of the Host header.
std::unique_ptr<CounterProtocol> http_counter_protocol(std::string host);
std::unique_ptr<CounterProtocol> resp_counter_protocol();

}   // namespace slatejunction::quota
