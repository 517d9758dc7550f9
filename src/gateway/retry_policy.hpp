// Retry policy: a request that may have run is attempted again only if its class is idempotent, or if it
// has an idempotency key and the attempt can start within the idempotency window. Each retry or hedged
// request uses one attempt of the retry budget. There is no retry after a timeout, and none once the
// request is answered or streaming; a second attempt beside one in flight is always a hedged request. A
// streamed body is sent by one attempt only: such a request is neither hedged nor cancelled for a retry,
// and no attempt follows one that has forwarded a part of the body.
//
// - Inputs: a request's class and attempts; Settings::max_attempts, hedging_allowed, cancellation_allowed,
//   max_retry_after_s; results of attempts; times in seconds.
// - Output: whether a further attempt may start, and until when; what to do about an overdue attempt;
//   whether a request without an answer is rejected or failed; the Retry-After of rejections.
// - Limits: a request that may have run and may not be repeated is never run again, and never rejected, as
//   a rejection means that it had no effect.
// - Visible in: RejectReason::attempts_exhausted (metric slatejunction_refusals_total); FailRequest; metric
//   slatejunction_attempts_total, which counts attempts by result.
#pragma once

#include "gateway/request_table.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

/// Limits retries and hedged requests to a fraction of the requests, so that they add little load in an
/// outage.
class RetryBudget {
  public:
    /// The gateway starts. The budget has kInitialAttempts.
    void start(double now) { updated_at_s_ = now; }
    /// A request was forwarded: the budget decays, then gains a fraction of an attempt.
    void on_request_forwarded(double now);
    bool has_attempt() const { return attempts_ >= 1; }
    void consume() { attempts_ -= 1; }

  private:
    static constexpr double kInitialAttempts = 2.0;

    double attempts_ = kInitialAttempts;
    double updated_at_s_ = 0;
};

/// What to do about an attempt whose backend is silent.
enum class OverdueAction { none, hedge, cancel };

/// Decides on retries by class, settings and budget.
class RetryPolicy {
  public:
    /// `settings` must outlive this object.
    explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

    RetryBudget& budget() { return budget_; }

    /// Whether another attempt of the request may start at `now`, by its class, its idempotency window and
    /// its attempts so far.
    bool may_start_attempt(const OpenRequest& request, double now) const;

    /// Whether the next attempt has to stay in the scope (zone or cell) of the one that may have run.
    static bool bound_to_scope(const OpenRequest& request);

    /// The time (clock time, s) by which the next attempt has to start; 0: no limit.
    static double start_by_s(const OpenRequest& request);

    /// Whether budget and remaining time permit a retry after an attempt that ended without an answer. An
    /// attempt that timed out is not retried: its backend may still be working on it.
    bool may_retry_after(const OpenRequest& request, AttemptResult result, double now) const;

    /// What to do once the backend of the request's last attempt is found silent. `is_first_time`: for this
    /// attempt.
    OverdueAction overdue_action(const OpenRequest& request, bool is_first_time) const;

    /// Whether the attempts in flight are cancelled once the request has its final answer.
    bool cancels_in_flight(const OpenRequest& request) const {
        return !request.answered && settings_.cancellation_allowed && !request.streaming;
    }

    /// Whether the result proves that the attempt had no effect.
    static bool never_ran(AttemptResult result);

    /// Whether a request without an answer may be rejected, because it had no effect or may be repeated.
    /// Otherwise it fails.
    static bool may_reject(const OpenRequest& request);

    /// Retry-After (s) of a rejection because of the customer's quota or hard limit.
    double quota_retry_after_s(const ServiceClass& service_class) const;
    /// Retry-After (s) of a rejection because of the load of the backends.
    double overload_retry_after_s(const ServiceClass& service_class) const;

  private:
    /// Whether the request may have two attempts in flight at once.
    bool may_hedge(const OpenRequest& request) const;
    bool attempts_exhausted(const OpenRequest& request) const;
    double clipped_retry_after_s(double retry_after_s) const;

    const Settings& settings_;
    RetryBudget budget_;
};

}   // namespace slatejunction::gateway
