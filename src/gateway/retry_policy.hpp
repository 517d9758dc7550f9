// Rule: a request that may have run is attempted again only if its class is idempotent, or has an
// idempotency key and the attempt can begin within its window; each retry or hedged request takes one of
// the retry budget. Never after a time-out, once answered or streaming; beside an attempt in flight only as
// a hedged request. Inputs: a request's class and attempts; Settings::max_attempts, hedging_allowed,
// cancellation_allowed, max_retry_after_s; results of attempts; times in seconds. Output: whether a further
// attempt may start, and until when; what to do about an overdue attempt; whether a request without an
// answer is rejected or failed; the retry-after of rejections. It never lets a request that may have run,
// and may not be repeated, run again, nor calls it free of effects. Seen in:
// RejectReason::attempts_exhausted (measure slatejunction_refusals_total), FailRequest;
// slatejunction_attempts_total counts attempts by result.
#pragma once

#include "gateway/request_table.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::gateway {

/// Retries and hedged requests are earned by requests, so that in an outage they add little load.
class RetryBudget {
  public:
    /// The gateway starts, with a few attempts in hand.
    void start(double now) { updated_at_s_ = now; }
    /// A request was forwarded: earns a part of an attempt. What was earned before decays.
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

/// The rules by class and settings.
class RetryPolicy {
  public:
    /// `settings` must outlive this.
    explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

    RetryBudget& budget() { return budget_; }

    /// Whether another attempt of the request may start at `now`: its class, its window, its attempts so
    /// far.
    bool may_start_attempt(const OpenRequest& request, double now) const;

    /// Whether the next attempt is to stay in the scope (zone or cell) of that which may have run.
    static bool bound_to_scope(const OpenRequest& request);

    /// Until when (clock time, s) the next attempt may begin; 0: no such limit.
    static double start_by_s(const OpenRequest& request);

    /// Whether an attempt that ended without an answer may be followed by a retry, as far as budget and the
    /// time left go. A timed out one is not retried: its backend may be at work on it still.
    bool may_retry_after(const OpenRequest& request, AttemptResult result, double now) const;

    /// What to do once the backend of the request's last attempt has been found silent. `is_first_time`:
    /// for this attempt.
    OverdueAction overdue_action(const OpenRequest& request, bool is_first_time) const;

    /// Whether the attempts in flight are cancelled once the request has its final answer.
    bool cancels_in_flight(const OpenRequest& request) const {
        return !request.answered && settings_.cancellation_allowed && !request.streaming;
    }

    /// Whether the result proves that the attempt had no effect.
    static bool never_ran(AttemptResult result);

    /// Whether a request without an answer may be rejected, as it had no effect or may be repeated. Else it
    /// fails.
    static bool may_reject(const OpenRequest& request);

    /// Retry-after (s) of a rejection for the customer's quota or hard limit.
    double quota_retry_after_s(const ServiceClass& service_class) const;
    /// Retry-after (s) of a rejection for the load of the backends.
    double overload_retry_after_s(const ServiceClass& service_class) const;

  private:
    bool attempts_exhausted(const OpenRequest& request) const;
    double clipped_retry_after_s(double retry_after_s) const;

    const Settings& settings_;
    RetryBudget budget_;
};

}   // namespace slatejunction::gateway
