#include "gateway/retry_policy.hpp"

#include <algorithm>
#include <cmath>

#include "gateway/numeric.hpp"
#include "gateway/timing.hpp"

namespace slatejunction::gateway {
namespace {

constexpr double kBudgetAttemptsPerRequest = 0.2;
constexpr double kBudgetDecayS = 10.0;
constexpr double kQuotaRetryAfterRatio = 0.2;      // latency objectives
constexpr double kOverloadRetryAfterRatio = 0.1;   // latency objectives

// The time by which a further attempt of a request with an idempotency key has to start after `ran`, which
// may have run. One tick is left for it to reach the backend within the window.
double window_end_s(const Attempt& ran, const ServiceClass& service_class) {
    return ran.started_at_s + positive_or_zero(service_class.idempotency_window_s) - kTickS;
}

}   // namespace

void RetryBudget::on_request_forwarded(double now) {
    attempts_ = attempts_ * std::exp(-(now - updated_at_s_) / kBudgetDecayS) + kBudgetAttemptsPerRequest;
    updated_at_s_ = now;
}

bool RetryPolicy::may_start_attempt(const OpenRequest& request, double now) const {
    if (request.answered || request.streaming || attempts_exhausted(request)) return false;
    if (request.body_consumed) return false;
    if (request.in_flight > 0 && !may_hedge(request)) return false;
    const Attempt* ran = request.first_that_may_have_run();
    if (!ran) return true;
    switch (request.service_class->idempotency) {
        case Idempotency::idempotent:
            return true;
        case Idempotency::idempotency_key:
            return now <= window_end_s(*ran, *request.service_class);
        case Idempotency::not_idempotent:
            return false;
    }
    return false;
}

bool RetryPolicy::bound_to_scope(const OpenRequest& request) {
    return request.first_that_may_have_run() &&
           request.service_class->idempotency == Idempotency::idempotency_key &&
           request.service_class->idempotency_scope != IdempotencyScope::all;
}

double RetryPolicy::start_by_s(const OpenRequest& request) {
    const Attempt* ran = request.first_that_may_have_run();
    if (!ran || request.service_class->idempotency != Idempotency::idempotency_key) return 0;
    return window_end_s(*ran, *request.service_class);
}

bool RetryPolicy::may_retry_after(const OpenRequest& request, AttemptResult result, double now) const {
    return result != AttemptResult::timeout && budget_.has_attempt() &&
           request.request.deadline_at_s - now > kTickS;
}

OverdueAction RetryPolicy::overdue_action(const OpenRequest& request, bool is_first_time) const {
    if (!is_first_time || !budget_.has_attempt()) return OverdueAction::none;
    if (request.request.streamed_body) return OverdueAction::none;
    if (request.service_class->idempotency == Idempotency::not_idempotent) return OverdueAction::none;
    if (attempts_exhausted(request)) return OverdueAction::none;
    if (may_hedge(request)) return OverdueAction::hedge;
    // A response that has begun is more than a retry can promise.
    if (request.response_begun()) return OverdueAction::none;
    return settings_.cancellation_allowed ? OverdueAction::cancel : OverdueAction::none;
}

bool RetryPolicy::never_ran(AttemptResult result) {
    return result == AttemptResult::rejected || result == AttemptResult::connect_failed ||
           result == AttemptResult::not_started;
}

bool RetryPolicy::may_reject(const OpenRequest& request) {
    const ServiceClass& service_class = *request.service_class;
    if (service_class.idempotency == Idempotency::idempotent) return true;
    if (!request.first_that_may_have_run()) return true;
    return service_class.idempotency == Idempotency::idempotency_key &&
           service_class.idempotency_scope == IdempotencyScope::all;
}

double RetryPolicy::quota_retry_after_s(const ServiceClass& service_class) const {
    return clipped_retry_after_s(kQuotaRetryAfterRatio * service_class.latency_objective_s);
}

double RetryPolicy::overload_retry_after_s(const ServiceClass& service_class) const {
    return clipped_retry_after_s(kOverloadRetryAfterRatio * service_class.latency_objective_s);
}

bool RetryPolicy::may_hedge(const OpenRequest& request) const {
    return settings_.hedging_allowed && !request.request.streamed_body;
}

bool RetryPolicy::attempts_exhausted(const OpenRequest& request) const {
    return static_cast<double>(request.attempts.size()) >= std::max(1.0, settings_.max_attempts);
}

// Applies also if Settings::retry_after_allowed is off: a client that receives the value all the same then
// retries at a useful time.
double RetryPolicy::clipped_retry_after_s(double retry_after_s) const {
    const double max_s = positive_or_zero(settings_.max_retry_after_s);
    return max_s > 0 ? std::min(retry_after_s, max_s) : retry_after_s;
}

}   // namespace slatejunction::gateway
