// The public interface of the gateway, the decision core of one ingress: events in, actions out.
//
// The input is Settings at construction, then events, each with the time at which it is handled. The output
// is a list of actions, which the caller carries out in the order in which they were appended. All times
// and durations are in seconds. A Gateway does no I/O, starts no threads, reads no clock and has no global
// state. The daemon (src/ingress) and the simulator's adapter call it; they own the Gateway, the events and
// the actions.
//
// Contract, for every call of Gateway::handle():
// - Time: `now` is in seconds on any monotonic clock. A value that is not finite, or that is before an
//   earlier one, counts as the latest time seen.
// - Order: events are handled in the order in which they arrived. Several may have the same `now`.
// - Ownership: events are only read during the call; actions own their strings.
// - Threads: one call at a time for each Gateway. Different Gateways share nothing.
// - Determinism: equal settings, seeds and events give equal actions, on every platform.
// - Invalid events: an event that names an unknown request, attempt or timer, or that repeats a result, is
//   ignored; a request of an unknown class is rejected. No event makes a call throw.
//
// The decision rules are documented in the headers of src/gateway, one rule in each.
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

/// Where backends recognize an idempotency key: everywhere, or only in the zone or cell of the first
/// attempt.
enum class IdempotencyScope { all, zone, cell };

/// Whether endpoint updates arrive unrequested, or only after a WatchEndpoints action.
enum class DiscoveryMode { automatic, subscribe };

/// How an attempt ended. The numbers are those of the simulator's wire protocol.
enum class AttemptResult {
    ok = 0,               ///< the backend answered
    error = 1,            ///< the backend answered with a failure
    rejected = 2,         ///< the backend rejected it, without any effect
    timeout = 3,          ///< no answer in time; it may have run
    connect_failed = 4,   ///< no connection could be opened, so it had no effect
    reset = 5,            ///< the connection broke; it may have run
    cancelled = 6,        ///< cancelled by CancelAttempt; it may have run
    not_started = 7       ///< no byte of it was written
};

/// A class of requests that share a latency objective, idempotency and priority.
struct ServiceClass {
    std::string name;
    /// Seconds. Latencies of all classes are compared as multiples of their objectives.
    double latency_objective_s = 0;
    double deadline_s = 0;   ///< seconds from arrival
    Idempotency idempotency = Idempotency::idempotent;
    IdempotencyScope idempotency_scope = IdempotencyScope::all;
    double idempotency_window_s = 0;   ///< seconds for which backends remember an idempotency key
    bool streaming = false;            ///< answers are streams
    double priority_weight = 0;        ///< value of an answer in time; any unit, the same for all classes
    double late_priority_weight = 0;   ///< fraction of that value which a late answer has
    bool operator==(const ServiceClass&) const = default;
};

/// The limits and weights of a customer's contract.
struct Plan {
    std::string name;
    double rate = 0;               ///< quota in units per second; 0: no quota
    double burst = 0;              ///< capacity of the quota's bucket in units
    double hard_limit_rate = 0;    ///< units per second; 0: no hard limit
    double hard_limit_burst = 0;   ///< capacity of the hard limit's bucket in units
    double hard_limit_slack = 0;   ///< units; not used by the gateway
    double max_in_flight = 0;      ///< attempts in flight at once over all ingresses; 0: no limit
    double plan_weight = 0;        ///< factor on ServiceClass::priority_weight; 0 counts as 1
    /// Fraction of the priority weight that an answer beyond the quota is worth.
    double over_quota_weight = 0;
    double over_quota_penalty = 0;   ///< fraction of the priority weight that forwarding beyond it costs
    bool operator==(const Plan&) const = default;
};

/// The operator's configuration. Every default is zero or empty and implies no policy.
struct Settings {
    std::vector<ServiceClass> classes;
    std::vector<Plan> plans;
    std::vector<std::string> report_fields;   ///< names of the values in AttemptEnded::report
    std::string zone;                         ///< zone of this ingress
    DiscoveryMode discovery = DiscoveryMode::automatic;
    std::int64_t ingress_index = 0;   ///< index of this ingress in the fleet, from 0
    double ingress_count = 0;         ///< number of ingresses in the fleet
    double meter_period_s = 0;        ///< seconds that a meter reading covers; 0: no meter
    double max_request_units = 0;     ///< units of the largest request
    double max_attempts = 0;          ///< attempts of one request, including the first; below 1 counts as 1
    bool hedging_allowed = false;     ///< a request may have two attempts in flight at once
    bool cancellation_allowed = false;           ///< attempts in flight may be cancelled
    bool health_checks_allowed = false;          ///< not used by the gateway, which starts no health checks
    bool reports_on_health_check_only = false;   ///< load reports come with health checks, not with answers
    bool retry_after_allowed = false;     ///< clients receive Retry-After; rejections have one either way
    double max_retry_after_s = 0;         ///< longest Retry-After that clients honor; 0: any
    double timer_resolution_s = 0;        ///< resolution of the caller's timers
    double watch_retry_within_s = 0;      ///< seconds within which a lost watch has to be requested again
    double slow_start_min_capacity = 0;   ///< fraction of its full capacity that a backend starts with
    double slow_start_window_s = 0;   ///< seconds until a backend has its full capacity; 0: no slow start
    double overload_multiple = 0;     ///< multiple of its capacity at which a warming backend fails
    double overload_window_s = 0;     ///< seconds over which that load is measured
    bool operator==(const Settings&) const = default;
};

/// Whether a backend takes requests. A draining one finishes those in flight.
enum class EndpointState { serving, draining, removed };

/// The content of an endpoint update: changes, the whole list, a whole list from a cache that may be stale,
/// or the loss of the watch, without endpoints.
enum class EndpointUpdateKind { delta, snapshot, cached_snapshot, watch_lost };

/// One backend as discovery lists it.
struct Endpoint {
    EndpointState state = EndpointState::serving;
    std::string backend;   ///< id of the backend
    std::string flavor;    ///< kind of machine; not used by the gateway
    std::string zone;
    double capacity_hint = 0;    ///< weight relative to other backends, any unit; 0 counts as 1
    std::int64_t cell = 0;       ///< group of backends that share idempotency keys
    double started_at_s = 0;     ///< clock time in seconds; 0: long ago
    std::uint64_t subsets = 0;   ///< bit mask of the named subsets of the fleet that it belongs to
    bool operator==(const Endpoint&) const = default;
};

// Events. -------------------------------------------------------------------------------------------

/// The first event of a Gateway; requests before it are ignored.
struct Start {};

/// The list of backends, or changes to it. A backend that is absent from a snapshot is removed.
struct EndpointUpdate {
    EndpointUpdateKind kind = EndpointUpdateKind::delta;
    std::vector<Endpoint> endpoints;
    bool operator==(const EndpointUpdate&) const = default;
};

/// When a request for a subset may go to the whole fleet instead:
/// - never;
/// - when_empty: the subset has no backend;
/// - when_overloaded: also when the subset's admitted fraction or concurrency limit rejects the request, or
///   no backend of the subset can take it.
enum class SubsetFallback { never = 0, when_empty = 1, when_overloaded = 2 };

/// A client's request. It gets exactly one final answer before `deadline_at_s`: an attempt's `ok`, or a
/// RejectRequest or FailRequest action. `id` must not be used again while the request is open.
struct Request {
    std::string id;
    std::string service_class;   ///< ServiceClass::name
    std::string plan;            ///< Plan::name; an unknown plan has no limits
    double units = 0;            ///< units counted against quota and hard limit
    std::uint64_t customer = 0;
    double deadline_at_s = 0;   ///< clock time in seconds
    double ingress_count = 0;   ///< number of ingresses that this customer's requests may arrive through
    bool is_client_retry = false;   ///< the client marked it as a retry
    std::uint64_t subset = 0;   ///< bit of the subset that it is for, as in Endpoint; 0: the whole fleet
    SubsetFallback subset_fallback = SubsetFallback::never;
    /// The caller forwards the body as it arrives and does not keep it: only one attempt can send it.
    bool streamed_body = false;
    /// Above 0: the request exceeds a rate limit of the caller's own for so many more seconds.
    double rate_limit_retry_after_s = 0;
};

/// The last byte of a streamed body has arrived. From then on `deadline_at_s` is the request's deadline;
/// until then Request::deadline_at_s is a bound that allows for a slow upload.
struct BodyReceived {
    std::string id;             ///< Request::id
    double deadline_at_s = 0;   ///< clock time in seconds
};

/// How an attempt ended: exactly one for each StartAttempt.
struct AttemptEnded {
    std::string id;             ///< Request::id
    std::int64_t attempt = 0;   ///< number of the attempt, from 0
    AttemptResult result = AttemptResult::ok;
    double duration_s = 0;        ///< seconds, as measured by the caller
    bool request_ended = false;   ///< the request needs no further answer
    double quota_use = 0;       ///< 1 + percent of the rate used in the last metered period; 0: no reading
    double charged_units = 0;   ///< actual units where they are settled afterwards; 0: none; not used
    std::vector<double> report;      ///< load report by Settings::report_fields, NaN where absent; not used
    double write_duration_s = 0;     ///< seconds that writing the request took; not part of the latency
    bool body_consumed = false;      ///< part of a streamed body was forwarded: no attempt can follow
    bool stale_connection = false;   ///< a reused connection, perhaps already closed, broke at once
};

/// A streamed answer has begun: neither the attempt's timeout nor the deadline applies any more.
struct StreamStarted {
    std::string id;             ///< Request::id
    std::int64_t attempt = 0;   ///< number of the attempt, from 0
};

/// The head and perhaps more of a successful response has arrived. From then on the attempt ends by itself
/// at the deadline, at the latest: with `ok` if the caller forwards what has arrived, else with `timeout`.
struct ResponseBegun {
    std::string id;             ///< Request::id
    std::int64_t attempt = 0;   ///< number of the attempt, from 0
};

/// A part of a response has arrived, and nothing more for a while. The attempt is still in flight.
struct ResponseStalled {
    std::string id;             ///< Request::id
    std::int64_t attempt = 0;   ///< number of the attempt, from 0
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
    std::uint64_t tag = 0;   ///< SetTimer::tag
};

/// The client has disconnected, or its answer is overdue. No answer is needed any more.
struct ClientDisconnected {
    std::string id;   ///< Request::id
};

using Event = std::variant<Start, EndpointUpdate, Request, AttemptEnded, StreamStarted, HealthCheckEnded,
                           TimerFired, ClientDisconnected, BodyReceived, ResponseBegun, ResponseStalled>;

// Actions. ------------------------------------------------------------------------------------------

/// Send the request to a backend. Attempts of a request are numbered 0, 1, 2 ... in the order of these
/// actions.
struct StartAttempt {
    std::string id;
    std::string backend;
    double timeout_s = 0;         ///< seconds; 0: until the request's deadline
    bool used_fallback = false;   ///< sent to the whole fleet although the request is for a subset
    double start_by_s = 0;        ///< clock time after which no byte of it may be written; 0: no limit
};

/// Cancel an attempt. Its AttemptEnded still follows.
struct CancelAttempt {
    std::string id;
    std::int64_t attempt = 0;
};

/// Why a request was rejected. The numbers are stable: they are stored in files and shown to operators.
enum class RejectReason {
    quota = 0,                ///< the customer is over its quota
    hard_limit = 1,           ///< a plan's hard limit, or its limit on attempts in flight
    admitted_fraction = 2,    ///< the admission controller sheds load because latency is high
    concurrency_limit = 3,    ///< too many attempts in flight for the rate of answers
    no_backend = 4,           ///< no backend could take it
    attempts_exhausted = 5,   ///< its attempts ended without an answer, and no further one is possible
    malformed = 6,            ///< the class is unknown, or the deadline is not after the arrival
    rate_limit = 8            ///< Request::rate_limit_retry_after_s; 7 is reserved for the ingress
};

/// Final answer: the request certainly had no effect, or its class may be repeated.
struct RejectRequest {
    std::string id;
    double retry_after_s = 0;   ///< seconds; 0: no advice
    RejectReason reason = RejectReason::malformed;
};

/// Final answer: the request failed and may have had an effect.
struct FailRequest {
    std::string id;
};

/// Deliver a TimerFired with `tag` at `fire_at_s`. Timers are never cancelled.
struct SetTimer {
    double fire_at_s = 0;   ///< clock time in seconds
    std::uint64_t tag = 0;
};

/// Check a backend's health. The current rules never emit it.
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

/// The admitted fraction of a subset has changed; it is 1 until the first report. Informational.
struct ReportAdmittedFraction {
    double fraction = 1;        ///< 0.05 to 1
    std::uint64_t subset = 0;   ///< bit as in Request; 0: the whole fleet
};

using Action = std::variant<StartAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer,
                            StartHealthCheck, WatchEndpoints, LogMessage, ReportAdmittedFraction>;

/// Makes the decisions of one ingress process.
class Gateway {
  public:
    /// `seed` initializes the random generator; ingresses of a fleet should have different ones.
    Gateway(Settings settings, std::uint64_t seed);
    ~Gateway();
    Gateway(Gateway&&) noexcept;
    Gateway& operator=(Gateway&&) noexcept;
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// Handles `event` at `now` (seconds) and appends the resulting actions to `actions`.
    void handle(double now, const Event& event, std::vector<Action>& actions);

    /// The number of requests that lack their final answer or the end of an attempt; 0 once all have ended.
    std::size_t open_requests() const;

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}   // namespace slatejunction
