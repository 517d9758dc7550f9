// How a part joins the ingress: small interfaces, each for one moment, and a part offers only those that it
// needs. The ingress asks whoever is listed and knows none of them by name; with nothing listed it does
// nothing for them. Whoever is listed lives longer than the ingress serves.
#pragma once

#include <functional>
#include <span>
#include <string>
#include <utility>

#include "admin/server.hpp"
#include "client/client_request.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::ingress {

inline constexpr std::size_t kMaxRequestFilters = 4;

// What a judge remembers of one request: null at first, given back to it with each call, never read by
// anybody else.
using FilterState = void*;

// Says something of each request before the module hears of it, and is told what became of it.
class RequestFilter {
  public:
    virtual ~RequestFilter() = default;
    // May fill in subset, spill and over_limit_s; a wait is only ever raised.
    virtual void on_request(client::ClientRequest& invocation, slatejunction::Request& request,
                            FilterState& mark) = 0;
    // The first attempt goes out now.
    virtual void on_first_attempt(const client::ClientRequest& invocation, FilterState& mark,
                                  bool spilled) = 0;
    // It was refused for the wait that this judge had asked for. Returns how that refusal is to be counted.
    virtual slatejunction::RejectReason on_rate_limited(FilterState mark) = 0;
    virtual void on_request_end(const client::ClientRequest& invocation, FilterState mark) = 0;
    virtual bool wants_headers() const { return false; }
    virtual std::span<const std::pair<std::size_t, std::string>> tags(FilterState) const { return {}; }
};

// Lays something over the list of providers on its way to the module.
class EndpointListFilter {
  public:
    virtual ~EndpointListFilter() = default;
    virtual void apply_to(double now, slatejunction::EndpointUpdate& list) = 0;
};

// Takes operators' calls before the ingress does.
class AdminCallExtension {
  public:
    virtual ~AdminCallExtension() = default;
    // False: it is not for this part. Else `reply` is called once, now or later.
    virtual bool on_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)>& reply) = 0;
};

// Has something that an upgrade hands from the old process to the new one.
class StateTransfer {
  public:
    virtual ~StateTransfer() = default;
    // This is the old process, and the new one accepts from now on: what it is to get; empty: nothing.
    virtual std::string serialize_state() = 0;
    virtual void restore_state(std::string_view what) = 0;   // this is the new one
    virtual void on_process_leaving() = 0;                   // this process ends, or has given
};

}   // namespace slatejunction::ingress
