// What the ingress reports to telemetry, which counts and records requests. No value is returned.
//
// RequestObserver is called by RequestDispatcher, and outlives it; Gauges are returned by
// Ingress::gauges().
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "backend/connection.hpp"
#include "client/client_request.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::ingress {

/// How a request ended: with its one final answer, or as its client disconnected. Valid only during the
/// call.
struct RequestSummary {
    enum class Result { served, rejected, failed };
    const client::ClientRequest& request;
    Result result = Result::served;
    std::string_view reason;               // rejected: one of metrics::kRejectReasons; failed: what failed
    std::size_t reject_reason_index = 0;   // of `reason` in metrics::kRejectReasons
    std::string_view backend;              // of the latest attempt; empty: there was none
    std::size_t attempts = 0;
    double seconds = 0;                                               // since the request's last byte
    std::span<const std::pair<std::size_t, std::string>> tags = {};   // of the rules: index and value
};

class RequestObserver {
  public:
    virtual ~RequestObserver() = default;
    /// Called before the answer is written, or after it if the request was rejected at arrival.
    virtual void on_request_end(const RequestSummary& summary) = 0;
    virtual void on_attempt_end(slatejunction::AttemptResult result) = 0;
    /// The progress of a response that is not complete.
    virtual void on_response_event(const backend::ResponseEvent& event) = 0;
    /// The response of a backend contained a customer's quota use.
    virtual void on_quota_report() = 0;
    /// The admitted fraction of the requests without a subset has changed (0.05 to 1).
    virtual void on_admitted_fraction(double fraction) = 0;
    /// A request was invalid, to the ingress or to a backend.
    virtual void on_bad_request() = 0;
};

/// Current values.
struct Gauges {
    std::size_t open_requests = 0, client_connections = 0, backend_connections = 0;
    std::size_t serving_backends = 0, draining_backends = 0;
    std::size_t client_bytes = 0, backend_bytes = 0, client_bytes_limit = 0, backend_bytes_limit = 0;
    std::size_t descriptors = 0, descriptors_limit = 0;
    double memory_limit_bytes = 0;
    double last_discovery_answer_at = 0;   // s, net::now(); 0: never
};

}   // namespace slatejunction::ingress
