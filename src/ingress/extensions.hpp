// The interfaces by which a component extends the ingress: request filter, endpoint list filter, admin call
// handler, state transfer. A component implements only those that it needs, and registers them with
// Ingress.
//
// Ownership: the ingress owns no extension; each must live until the ingress has stopped serving.
// RequestFilter is called by RequestDispatcher, EndpointListFilter by EndpointUpdates, the others by
// Ingress.
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

/// Base of a filter's state for one request. Owned by the filter, which knows the derived type.
struct RequestFilterState {};

/// A filter's state for one request: null until the filter sets it, then passed to each of its callbacks
/// for that request.
using FilterState = RequestFilterState*;

/// Processes each request before the gateway does, and is notified of its progress.
class RequestFilter {
  public:
    virtual ~RequestFilter() = default;
    /// May set `request`'s subset and subset_fallback, and raise its rate_limit_retry_after_s (s).
    virtual void on_request(client::ClientRequest& client_request, slatejunction::Request& request,
                            FilterState& state) = 0;
    /// The first attempt starts. `used_fallback`: at a backend outside the subset.
    virtual void on_first_attempt(const client::ClientRequest& client_request, FilterState& state,
                                  bool used_fallback) = 0;
    /// The request is rejected because of the rate limit that this filter has set. Returns the reason to
    /// count.
    virtual slatejunction::RejectReason on_rate_limited(FilterState state) = 0;
    /// The last callback for this request: it has been answered and its attempts have ended, or the ingress
    /// is being destroyed.
    virtual void on_request_end(const client::ClientRequest& client_request, FilterState state) = 0;
    /// Whether the filter needs ClientRequest::headers.
    virtual bool wants_headers() const { return false; }
    /// The request's tags (index and value) for the observer.
    virtual std::span<const std::pair<std::size_t, std::string>> tags(FilterState) const { return {}; }
};

/// Changes each endpoint list on its way to the gateway.
class EndpointListFilter {
  public:
    virtual ~EndpointListFilter() = default;
    /// `now`: s, net::now().
    virtual void apply_to(double now, slatejunction::EndpointUpdate& list) = 0;
};

/// Gets admin calls before the ingress does.
class AdminCallExtension {
  public:
    virtual ~AdminCallExtension() = default;
    /// Returns false if the call is not for this extension. Else `reply` is called once, now or later.
    virtual bool on_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)>& reply) = 0;
};

/// Transfers state from the old to the new process of a hot restart.
class StateTransfer {
  public:
    virtual ~StateTransfer() = default;
    /// Called in the old process once the new one accepts. Empty: there is nothing to transfer.
    virtual std::string serialize_state() = 0;
    /// Called in the new process with the state that the old one has serialized.
    virtual void restore_state(std::string_view serialized) = 0;
    /// This process stops or has handed over. Called by the extension itself, not by the ingress.
    virtual void on_process_leaving() = 0;
};

}   // namespace slatejunction::ingress
