// The two protocols in which a counter may be spoken to, as state machines that know no socket. Calls are
// pipelined: replies come in the order of the calls.
//
// HTTP (PROTOCOL, "The counter"): POST /counters/NAME?by=AMOUNT&expire_ms=LIFE; 200 with the total, 503,
// 400 and 404 add nothing. RESP, version 2 of the protocol that Redis-compatible servers speak (its public
// definition): MULTI, SET NAME 0 PX LIFE NX, INCRBYFLOAT NAME AMOUNT, EXEC. The transaction is done whole
// or not at all; an error in place of its replies means that nothing was added. A connection that ends
// before EXEC is answered leaves it open whether it was.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.hpp"
#include "quota/shared_quota.hpp"

namespace slatejunction::quota {

struct Reply {
    bool added = false;
    double total = 0;   // NaN: what came is no number
};

class CounterProtocol {
  public:
    virtual ~CounterProtocol() = default;
    virtual void write(const CounterCall& call, std::string& out) const = 0;
    // Takes what has come; appends a reply for each call that is answered. False: it is no such protocol,
    // and the connection is of no use any more.
    virtual bool feed(std::string_view bytes, std::vector<Reply>& replies) = 0;
    virtual bool ending() const { return false; }   // the other side has said that it ends the connection
};

std::unique_ptr<CounterProtocol> http_counter_protocol(std::string host);
std::unique_ptr<CounterProtocol> resp_counter_protocol();

}   // namespace slatejunction::quota
