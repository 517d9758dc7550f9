// slatejunction: the interface of one gateway's decisions.
//
// A Gateway is told what happens (events) and says what to do (actions). It does no I/O, starts no
// threads, reads no clock and holds no globals: the caller supplies the time, the seed and the events,
// and carries out the actions in the order in which they were appended.
//
// Contract, for every call of Gateway::handle():
//  - time: `now` is in seconds on any monotonic clock. A value that is not finite, or lies before an
//    earlier one, is taken as the latest time seen.
//  - order: events are given in the order in which they arrived. Several may carry the same `now`.
//  - ownership: events are only read during the call; actions own their strings.
//  - threads: one call at a time for each Gateway. Different Gateways share nothing.
//  - determinism: equal settings, seed and events give equal actions, on every platform.
//  - bad calls: an event that names an unknown request, attempt or timer, or repeats an outcome, is
//    ignored; a request of an unknown class is refused. No call throws for its content.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace slatejunction {

enum class Idempotency { idempotent, idempotency_key, not_idempotent };
enum class IdempotencyScope { all, zone, cell };
enum class DiscoveryMode { automatic, subscribe };
enum class AttemptResult {
    ok = 0,
    error = 1,
    rejected = 2,
    timeout = 3,
    connect_failed = 4,
    reset = 5,
    cancelled = 6,
    not_started = 7
};

struct ServiceClass {
    std::string name;
    double latency_objective_s = 0;
    double deadline_s = 0;
    Idempotency idempotency = Idempotency::idempotent;
    IdempotencyScope idempotency_scope = IdempotencyScope::all;
    double idempotency_window_s = 0;
    bool streaming = false;
    double priority_weight = 0;
    double late_priority_weight = 0;
    bool operator==(const ServiceClass&) const = default;
};

struct Plan {
    std::string name;
    double rate = 0;                 // units per second; 0: no such quota
    double burst = 0;                // units the store holds
    double hard_limit_rate = 0;      // units per second; 0: no ceiling
    double hard_limit_burst = 0;     // units
    double hard_limit_slack = 0;     // units
    double max_in_flight = 0;        // attempts out at once over all gateways; 0: no such quota
    double plan_weight = 0;          // worth factor
    double over_quota_weight = 0;    // share of worth earned beyond the quota
    double over_quota_penalty = 0;   // share of worth lost when forwarded beyond the quota
    bool operator==(const Plan&) const = default;
};

// What the operator states at start. Every default is zero or empty: nothing here is a decision.
struct Settings {
    std::vector<ServiceClass> classes;
    std::vector<Plan> plans;
    std::vector<std::string> report_fields;
    std::string zone;
    DiscoveryMode discovery = DiscoveryMode::automatic;
    std::int64_t ingress_index = 0;
    double ingress_count = 0;
    double meter_period_s = 0;
    double max_request_units = 0;
    double max_attempts = 0;
    bool hedging_allowed = false;
    bool cancellation_allowed = false;
    bool health_checks_allowed = false;
    bool reports_on_health_check_only = false;
    bool retry_after = false;
    double max_retry_after_s = 0;
    double tick_interval_s = 0;
    double watch_retry_within_s = 0;
    double slow_start_min_capacity = 0;
    double slow_start_window_s = 0;
    double overload_multiple = 0;
    double overload_window_s = 0;
    bool operator==(const Settings&) const = default;
};

enum class EndpointState { serving, draining, removed };
enum class EndpointUpdateKind { delta, snapshot, cached_snapshot, watch_lost };

struct Endpoint {
    EndpointState state = EndpointState::serving;
    std::string backend;
    std::string flavor;
    std::string zone;
    double capacity_hint = 0;
    std::int64_t cell = 0;
    double started_at_s = 0;     // 0: long ago
    std::uint64_t subsets = 0;   // the named parts of the fleet that it belongs to, as bits
    bool operator==(const Endpoint&) const = default;
};

// Events. -------------------------------------------------------------------------------------------

// The first event of a Gateway; until it is given, requests are refused.
struct Start {};

// The list of servers, or changes to it. A server absent from a complete list is gone.
struct EndpointUpdate {
    EndpointUpdateKind kind = EndpointUpdateKind::delta;
    std::vector<Endpoint> endpoints;
    bool operator==(const EndpointUpdate&) const = default;
};

// When a request that is for a named part of the fleet may go to the whole of it instead: never; when that
// part has no server; or also when it is pressed: by its load, by what is open there, or as no server of it
// can take the request.
enum class SubsetFallback { never = 0, when_empty = 1, when_overloaded = 2 };

// A client's request. Exactly one final answer is owed for it before `due_s`: an attempt's `ok`, or a
// Refuse or Abort action. `id` must not be used again while it is open.
struct Request {
    std::string id;
    std::string service_class;
    std::string plan;
    double units = 0;
    std::uint64_t customer = 0;
    double deadline_at_s = 0;
    double ingress_count = 0;       // how many gateways this customer's requests may arrive through
    bool is_client_retry = false;   // the client says that it asked for this before
    std::uint64_t subset = 0;       // the one part of the fleet it is for, as in ListEntry; 0: the whole
    SubsetFallback subset_fallback = SubsetFallback::never;
    double rate_limit_retry_after_s =
        0;   // over a limit of this gateway's own, which has room again so much later; 0: not
};

// How an attempt ended: exactly one for each Send. `ended` tells that nothing more is owed.
struct AttemptEnded {
    std::string id;
    std::int64_t attempt = 0;
    AttemptResult result = AttemptResult::ok;
    double duration_s = 0;
    bool request_ended = false;
    double quota_use = 0;         // 1 + percent of the rate used in the last metered period; 0: none
    double charged_units = 0;     // true units where they are settled afterwards; 0: none
    std::vector<double> report;   // by Settings::report_fields, NaN where absent; carried, not judged by
    double write_duration_s =
        0;   // of its time, that the request itself took to be written; no latency of the server
    bool stale_connection =
        false;   // broken at once on a connection kept from earlier: that may have ended meanwhile
};

// A streamed answer has begun: neither the attempt's time-out nor the deadline runs any more.
struct StreamStarted {
    std::string id;
    std::int64_t attempt = 0;
};

struct HealthCheckEnded {
    std::string backend;
    AttemptResult result = AttemptResult::ok;
    double duration_s = 0;
    std::vector<double> report;
};

struct TimerFired {
    std::uint64_t tag = 0;
};

// The client left, or its answer is overdue. Nothing is owed any more.
struct ClientDisconnected {
    std::string id;
};

using Event = std::variant<Start, EndpointUpdate, Request, AttemptEnded, StreamStarted, HealthCheckEnded,
                           TimerFired, ClientDisconnected>;

// Actions. ------------------------------------------------------------------------------------------

// Attempts of a request are numbered 0, 1, 2 ... in the order of their Send. allow_s 0: until due.
struct StartAttempt {
    std::string id;
    std::string backend;
    double timeout_s = 0;
    bool used_fallback = false;   // to the whole fleet, though the request is for a part of it
    double start_by_s = 0;        // clock time after which nothing of it may be written any more; 0: none
};
struct CancelAttempt {
    std::string id;
    std::int64_t attempt = 0;
};
// Why a request was refused. The numbers are stable: they are kept in files and shown to operators.
enum class RejectReason {
    quota = 0,                // the pass share draw: its customer asks beyond the quota
    hard_limit = 1,           // a plan's hard ceiling, or its cap on attempts out
    admitted_fraction = 2,    // the admitted fraction draw: the fleet is slow
    concurrency_limit = 3,    // too much is open for the rate of answers
    no_backend = 4,           // no server could take it
    attempts_exhausted = 5,   // its attempts came back without an answer, and none may follow
    malformed = 6,            // of an unknown class, or due before it came
    rate_limit = 8            // Request::over_limit_s; 7 is the door's own
};

// Final: certain that the request had no effect, or that its class may be repeated.
struct RejectRequest {
    std::string id;
    double retry_after_s = 0;   // 0: no advice
    RejectReason reason = RejectReason::malformed;
};
// Final: failed, with no word about its effect.
struct FailRequest {
    std::string id;
};
struct SetTimer {
    double fire_at_s = 0;
    std::uint64_t tag = 0;
};
struct StartHealthCheck {
    std::string backend;
};
struct WatchEndpoints {
    bool enabled = false;
};
struct LogMessage {
    std::string text;
};
// The admitted fraction, 0.05 to 1, whenever it has changed; 1 until this is first said. Each part of the
// fleet that requests are for has its own. Nothing to do.
struct AdmittedFraction {
    double fraction = 1;
    std::uint64_t subset = 0;   // as in Request; 0: the whole fleet
};

using Action = std::variant<StartAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer,
                            StartHealthCheck, WatchEndpoints, LogMessage, AdmittedFraction>;

class Gateway {
  public:
    Gateway(Settings settings, std::uint64_t seed);
    ~Gateway();
    Gateway(Gateway&&) noexcept;
    Gateway& operator=(Gateway&&) noexcept;
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    void handle(double now, const Event& event, std::vector<Action>& actions);

    // Requests and attempts still tracked; 0 once everything has ended.
    std::size_t open_requests() const;

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}   // namespace slatejunction
