// The public interface of one gateway's decisions: events in, actions out.
//
// Inputs: Settings at construction; events, each with the time at which it is handled. Output: actions,
// which the caller carries out in the order in which they were appended. All times and durations are
// seconds. A Gateway does no I/O, starts no threads, reads no clock and holds no globals. The daemon
// (src/ingress) and the simulator's adapter call it; they own the Gateway, the events and the actions.
//
// Contract, for every call of Gateway::handle():
//  - time: `now` is in seconds on any monotonic clock. A value that is not finite, or lies before an
//    earlier one, counts as the latest time seen.
//  - order: events are handled in the order in which they arrived. Several may carry the same `now`.
//  - ownership: events are only read during the call; actions own their strings.
//  - threads: one call at a time for each Gateway. Different Gateways share nothing.
//  - determinism: equal settings, seed and events give equal actions, on every platform.
//  - bad calls: an event that names an unknown request, attempt or timer, or repeats a result, is
//    ignored; a request of an unknown class is rejected. No call throws for its content.
//
// The rules stand in the headers of src/gateway, one a file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace slatejunction {

/// Whether a request of a class may be sent again after an attempt that may have run.
enum class Idempotency { idempotent, idempotency_key, not_idempotent };

/// Where backends recognise an idempotency key: everywhere, or only in the zone or cell of the first
/// attempt.
enum class IdempotencyScope { all, zone, cell };

/// Whether endpoint updates arrive unrequested, or only after a WatchEndpoints action.
enum class DiscoveryMode { automatic, subscribe };

/// How an attempt ended. The numbers are those of the simulator's wire.
enum class AttemptResult {
    ok = 0,               ///< answered
    error = 1,            ///< answered with a failure of the backend
    rejected = 2,         ///< by the backend, without effect
    timeout = 3,          ///< no answer in time; it may have run
    connect_failed = 4,   ///< no connection, so no effect
    reset = 5,            ///< the connection broke; it may have run
    cancelled = 6,        ///< by CancelAttempt; it may have run
    not_started = 7       ///< nothing of it was written
};

/// A class of requests with the same needs.
struct ServiceClass {
    std::string name;
    double latency_objective_s = 0;   ///< seconds; latencies of all classes are compared as multiples of it
    double deadline_s = 0;            ///< seconds from arrival
    Idempotency idempotency = Idempotency::idempotent;
    IdempotencyScope idempotency_scope = IdempotencyScope::all;
    double idempotency_window_s = 0;   ///< seconds for which backends remember a key
    bool streaming = false;            ///< its answers are streams
    double priority_weight = 0;        ///< value of an answer in time; any unit, the same for all classes
    double late_priority_weight = 0;   ///< part of that value which a late answer has
    bool operator==(const ServiceClass&) const = default;
};

/// What a customer has contracted.
struct Plan {
    std::string name;
    double rate = 0;               ///< units per second; 0: no quota
    double burst = 0;              ///< units that the quota's bucket holds
    double hard_limit_rate = 0;    ///< units per second; 0: no hard limit
    double hard_limit_burst = 0;   ///< units that the hard limit's bucket holds
    double hard_limit_slack = 0;   ///< units
    double max_in_flight = 0;      ///< attempts in flight at once over all ingresses; 0: no limit
    double plan_weight = 0;        ///< factor on ServiceClass::priority_weight; 0: 1
    double over_quota_weight =
        0;   ///< part of the priority weight that an answer beyond the quota is worth
    double over_quota_penalty = 0;   ///< part of the priority weight that forwarding beyond the quota costs
    bool operator==(const Plan&) const = default;
};

/// What the operator states at start. Every default is zero or empty: nothing here is a decision.
struct Settings {
    std::vector<ServiceClass> classes;
    std::vector<Plan> plans;
    std::vector<std::string> report_fields;   ///< names of the numbers in AttemptEnded::report
    std::string zone;                         ///< of this ingress
    DiscoveryMode discovery = DiscoveryMode::automatic;
    std::int64_t ingress_index = 0;   ///< of this ingress, from 0
    double ingress_count = 0;         ///< ingresses of the fleet
    double meter_period_s = 0;        ///< seconds that a meter reading covers; 0: no meter
    double max_request_units = 0;     ///< units of the largest request
    double max_attempts = 0;          ///< of one request, with the first; below 1: 1
    bool hedging_allowed = false;     ///< two attempts of a request may be in flight at once
    bool cancellation_allowed = false;
    bool health_checks_allowed = false;
    bool reports_on_health_check_only = false;   ///< load reports come with health checks, not with answers
    bool retry_after_allowed = false;            ///< clients are sent the retry-after of a rejection
    double max_retry_after_s = 0;                ///< seconds that clients honour at most; 0: any
    double timer_resolution_s = 0;               ///< seconds; resolution of the caller's timers
    double watch_retry_within_s = 0;      ///< seconds in which a lost watch has to be requested again
    double slow_start_min_capacity = 0;   ///< part of its full capacity that a backend starts with
    double slow_start_window_s = 0;       ///< seconds to full capacity; 0: no slow start
    double overload_multiple = 0;         ///< load over capacity at which a warming backend fails
    double overload_window_s = 0;         ///< seconds over which that load is measured
    bool operator==(const Settings&) const = default;
};

/// Whether a backend takes requests. A draining one finishes those in flight.
enum class EndpointState { serving, draining, removed };

/// What an endpoint update is: changes, the whole list, a whole list from a cache that may be old, or the
/// loss of the watch, without endpoints.
enum class EndpointUpdateKind { delta, snapshot, cached_snapshot, watch_lost };

/// One backend as discovery lists it.
struct Endpoint {
    EndpointState state = EndpointState::serving;
    std::string backend;   ///< its id
    std::string flavor;    ///< kind of machine; carried only
    std::string zone;
    double capacity_hint = 0;    ///< weight against other backends, any unit; 0: 1
    std::int64_t cell = 0;       ///< group of backends that share idempotency keys
    double started_at_s = 0;     ///< clock time in seconds; 0: long ago
    std::uint64_t subsets = 0;   ///< the named subsets of the fleet that it belongs to, as bits
    bool operator==(const Endpoint&) const = default;
};

// Events. -------------------------------------------------------------------------------------------

/// The first event of a Gateway; requests before it are ignored.
struct Start {};

/// The list of backends, or changes to it. A backend absent from a snapshot is removed.
struct EndpointUpdate {
    EndpointUpdateKind kind = EndpointUpdateKind::delta;
    std::vector<Endpoint> endpoints;
    bool operator==(const EndpointUpdate&) const = default;
};

/// When a request for a subset may go to the whole fleet instead: never; when the subset has no backend; or
/// also when it is overloaded: by its admitted fraction, by its concurrency limit, or as no backend of it
/// can take the request.
enum class SubsetFallback { never = 0, when_empty = 1, when_overloaded = 2 };

/// A client's request. It gets exactly one final answer before `deadline_at_s`: an attempt's `ok`, or a
/// RejectRequest or FailRequest action. `id` must not be used again while it is open.
struct Request {
    std::string id;
    std::string service_class;   ///< ServiceClass::name
    std::string plan;            ///< Plan::name; an unknown one has no limits
    double units = 0;            ///< what it counts against quota and hard limit
    std::uint64_t customer = 0;
    double deadline_at_s = 0;       ///< clock time in seconds
    double ingress_count = 0;       ///< ingresses that this customer's requests may arrive through
    bool is_client_retry = false;   ///< the client marks it as a retry
    std::uint64_t subset = 0;       ///< the one subset it is for, a bit as in Endpoint; 0: the whole fleet
    SubsetFallback subset_fallback = SubsetFallback::never;
    double rate_limit_retry_after_s =
        0;   ///< above 0: over a limit of the caller's own for so many seconds more
};

/// How an attempt ended: exactly one for each StartAttempt.
struct AttemptEnded {
    std::string id;             ///< Request::id
    std::int64_t attempt = 0;   ///< number of the attempt, from 0
    AttemptResult result = AttemptResult::ok;
    double duration_s = 0;        ///< seconds, as measured by the caller
    bool request_ended = false;   ///< the request needs no further answer
    double quota_use = 0;       ///< 1 + percent of the rate used in the last metered period; 0: no reading
    double charged_units = 0;   ///< true units where they are settled afterwards; 0: none
    std::vector<double> report;      ///< by Settings::report_fields, NaN where absent; carried, not used
    double write_duration_s = 0;     ///< seconds that writing the request took: no latency of the backend
    bool stale_connection = false;   ///< broke at once on a reused connection, which may have ended before
};

/// A streamed answer has begun: neither the attempt's time-out nor the deadline applies any more.
struct StreamStarted {
    std::string id;
    std::int64_t attempt = 0;
};

/// The result of a StartHealthCheck.
struct HealthCheckEnded {
    std::string backend;
    AttemptResult result = AttemptResult::ok;
    double duration_s = 0;   ///< seconds
    std::vector<double> report;
};

/// A timer of a SetTimer action fired.
struct TimerFired {
    std::uint64_t tag = 0;   ///< as in SetTimer
};

/// The client has disconnected, or its answer is overdue. No answer is needed any more.
struct ClientDisconnected {
    std::string id;
};

using Event = std::variant<Start, EndpointUpdate, Request, AttemptEnded, StreamStarted, HealthCheckEnded,
                           TimerFired, ClientDisconnected>;

// Actions. ------------------------------------------------------------------------------------------

/// Send the request to a backend. Attempts of a request are numbered 0, 1, 2 ... in the order of these
/// actions.
struct StartAttempt {
    std::string id;
    std::string backend;
    double timeout_s = 0;         ///< seconds; 0: until the request's deadline
    bool used_fallback = false;   ///< to the whole fleet, though the request is for a subset
    double start_by_s = 0;   ///< clock time after which none of it may be written any more; 0: no limit
};

/// Cancel an attempt. Its AttemptEnded follows all the same.
struct CancelAttempt {
    std::string id;
    std::int64_t attempt = 0;
};

/// Why a request was rejected. The numbers are stable: they are stored in files and shown to operators.
enum class RejectReason {
    quota = 0,                ///< its customer is over its quota
    hard_limit = 1,           ///< a plan's hard limit, or its limit on attempts in flight
    admitted_fraction = 2,    ///< the backends are slow
    concurrency_limit = 3,    ///< too much is in flight for the rate of answers
    no_backend = 4,           ///< no backend could take it
    attempts_exhausted = 5,   ///< its attempts ended without an answer, and none may follow
    malformed = 6,            ///< of an unknown class, or its deadline is before its arrival
    rate_limit = 8            ///< Request::rate_limit_retry_after_s; 7 is the ingress's own
};

/// Final: it is certain that the request had no effect, or its class may be repeated.
struct RejectRequest {
    std::string id;
    double retry_after_s = 0;   ///< seconds; 0: no advice
    RejectReason reason = RejectReason::malformed;
};

/// Final: failed; it may have had an effect.
struct FailRequest {
    std::string id;
};

/// Deliver a TimerFired with `tag` at `fire_at_s`. Timers are never cancelled.
struct SetTimer {
    double fire_at_s = 0;   ///< clock time in seconds
    std::uint64_t tag = 0;
};

/// Check a backend's health. This Gateway requests none.
struct StartHealthCheck {
    std::string backend;
};

/// Request endpoint updates from discovery.
struct WatchEndpoints {
    bool enabled = false;
};

/// A line for the operators' log.
struct LogMessage {
    std::string text;
};

/// The admitted fraction has changed. 1 before the first of these; each subset has its own. Nothing to do.
struct ReportAdmittedFraction {
    double fraction = 1;        ///< 0.05 to 1
    std::uint64_t subset = 0;   ///< a bit as in Request; 0: the whole fleet
};

using Action = std::variant<StartAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer,
                            StartHealthCheck, WatchEndpoints, LogMessage, ReportAdmittedFraction>;

/// The decisions of one ingress process.
class Gateway {
  public:
    /// `seed` of the random generator; ingresses of a fleet should have different ones.
    Gateway(Settings settings, std::uint64_t seed);
    ~Gateway();
    Gateway(Gateway&&) noexcept;
    Gateway& operator=(Gateway&&) noexcept;
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// Handles `event` at `now` (seconds) and appends what follows from it to `actions`.
    void handle(double now, const Event& event, std::vector<Action>& actions);

    /// Requests that still lack their final answer or the end of an attempt; 0 once everything has ended.
    std::size_t open_requests() const;

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}   // namespace slatejunction
