// What the program tells whoever counts and records: nothing of it comes back.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "client/client_request.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::ingress {

// The one final answer of an invocation, or that its consumer has left.
struct RequestSummary {
    enum class Result { served, rejected, failed };
    const client::ClientRequest& request;
    Result result = Result::served;
    std::string_view reason;               // of a refusal: as metrics::kReasons names it; else what failed
    std::size_t reject_reason_index = 0;   // its number there
    std::string_view backend;              // the last one called; empty: none
    std::size_t attempts = 0;
    double seconds = 0;                                               // from the request's last byte
    std::span<const std::pair<std::size_t, std::string>> tags = {};   // of the rules: number, value
};

class RequestObserver {
  public:
    virtual ~RequestObserver() = default;
    virtual void on_request_end(const RequestSummary& finish) = 0;
    virtual void on_attempt_end(slatejunction::AttemptResult outcome) = 0;
    virtual void on_quota_report() = 0;   // an answer told a customer's use
    virtual void on_admitted_fraction(double fraction) = 0;
    virtual void on_bad_request() = 0;   // a request that could not be taken
};

// What stands at this moment.
struct Gauges {
    std::size_t open_requests = 0, client_connections = 0,
                backend_connections = 0;                       // requests; connections of each side
    std::size_t serving_backends = 0, draining_backends = 0;   // providers
    std::size_t client_bytes = 0, backend_bytes = 0, client_bytes_limit = 0, backend_bytes_limit = 0;
    std::size_t descriptors = 0, descriptors_limit = 0;
    double memory_limit_bytes = 0;
    double last_discovery_answer_at = 0;   // s, net::now(); 0: never
};

}   // namespace slatejunction::ingress
