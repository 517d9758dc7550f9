// The two protocols by which a counter is called, as state machines without sockets.
// Input: calls, and bytes received.
// Output: bytes to send, and replies in the order of the calls, which are pipelined. Driver owns one for
// each connection.
//
// HTTP, as the platform's counter speaks it: POST /counters/NAME?by=AMOUNT&expire_ms=LIFE; 200 with the
// total, 503, 400 and 404 add nothing. RESP, version 2 of the protocol that Redis-compatible servers
// speak (its public definition): MULTI, SET NAME 0 PX LIFE NX, INCRBYFLOAT NAME AMOUNT, EXEC. The
// transaction is carried out whole or not at all; an error in place of its replies means that nothing was
// added. If a connection ends before the reply to EXEC, it is unknown whether it was.
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
    bool added = false;
    double total = 0;   ///< that the name holds now; NaN: the reply is not a number
};

/// Whether the received bytes keep to the protocol.
enum class ProtocolStatus {
    ok,
    violated   ///< the connection is to be closed
};

/// One connection's protocol state.
class CounterProtocol {
  public:
    virtual ~CounterProtocol() = default;
    /// Appends the call to `out`.
    virtual void write(const CounterCall& call, std::string& out) const = 0;
    /// Consumes received bytes; appends a reply for each call that they answer.
    virtual ProtocolStatus parse(std::string_view bytes, std::vector<Reply>& replies) = 0;
    /// The counter has announced that it closes the connection.
    virtual bool connection_closing() const { return false; }
};

/// `host`: of the Host header.
std::unique_ptr<CounterProtocol> http_counter_protocol(std::string host);
std::unique_ptr<CounterProtocol> resp_counter_protocol();

}   // namespace slatejunction::quota
