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
struct Finish {
    enum class How { served, refused, failed };
    const client::Invocation& invocation;
    How how = How::served;
    std::string_view reason;     // of a refusal: as metrics::kReasons names it; else what failed
    std::size_t refusal = 0;     // its number there
    std::string_view provider;   // the last one called; empty: none
    std::size_t attempts = 0;
    double seconds = 0;                                               // from the request's last byte
    std::span<const std::pair<std::size_t, std::string>> tags = {};   // of the rules: number, value
};

class Observer {
  public:
    virtual ~Observer() = default;
    virtual void on_finish(const Finish& finish) = 0;
    virtual void on_attempt(slatejunction::Outcome outcome) = 0;
    virtual void on_quota_report() = 0;   // an answer told a customer's use
    virtual void on_admitted(double fraction) = 0;
    virtual void on_bad() = 0;   // a request that could not be taken
};

// What stands at this moment.
struct Gauges {
    std::size_t open = 0, consumers = 0, calls = 0;   // requests; connections of each side
    std::size_t ready = 0, draining = 0;              // providers
    std::size_t consumer_bytes = 0, provider_bytes = 0, consumer_budget = 0, provider_budget = 0;
    std::size_t descriptors = 0, descriptors_limit = 0;
    double memory_limit_bytes = 0;
    double directory_heard_at = 0;   // s, net::now(); 0: never
};

}   // namespace slatejunction::ingress
