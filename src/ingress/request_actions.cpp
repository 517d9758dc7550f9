// RequestDispatcher: executes the gateway's actions.
#include <algorithm>
#include <cmath>
#include <utility>

#include "ingress/request_dispatcher.hpp"
#include "metrics/reasons.hpp"

namespace slatejunction::ingress {

namespace {

// A request that fails less than this before its deadline is answered 504, else 502.
constexpr double kNearDeadlineS = 0.05;

}   // namespace

// An action may cause the next event at once, for example if a connection fails. That event waits in
// events_, so that the gateway gets one event at a time and its actions keep their order.
void RequestDispatcher::handle_event(slatejunction::Event event) {
    events_.push_back(std::move(event));
    if (handling_event_) return;
    handling_event_ = true;
    while (!events_.empty()) {
        const slatejunction::Event next = std::move(events_.front());
        events_.pop_front();
        actions_.clear();
        gateway_.handle(net::now(), next, actions_);
        for (const slatejunction::Action& action : actions_) execute(action);
    }
    handling_event_ = false;
}

void RequestDispatcher::execute(const slatejunction::Action& action) {
    std::visit([this](const auto& alternative) { execute(alternative); }, action);
}

void RequestDispatcher::execute(const slatejunction::StartAttempt& start) {
    OpenRequest* open = find(start.id);
    if (!open) return;
    const backend::AttemptTag tag{open->number, static_cast<std::int64_t>(open->attempts.size())};
    const double now = net::now();
    const double request_deadline = open->client_request->deadline_at_s;
    const double deadline =
        start.timeout_s > 0 ? std::min(request_deadline, now + start.timeout_s) : request_deadline;
    if (open->attempts.empty()) remember_id(*open);
    open->attempts.emplace_back();
    ++open->attempts_in_flight;
    if (observer_) open->last_backend = start.backend;
    if (open->filters_applied > 0 && tag.attempt == 0)
        for (std::size_t i = 0; i < open->filters_applied; ++i)
            filters_[i]->on_first_attempt(*open->client_request, open->filter_states[i],
                                          start.used_fallback);
    const double start_by = start.start_by_s > 0 ? start.start_by_s : backend::ConnectionPool::kNever;
    const auto connection = pool_.start_call(start.backend, tag, open->client_request, deadline, start_by);
    open = find(tag.request);   // the attempt, and with it the request, may have ended
    if (open && connection) open->attempts[static_cast<std::size_t>(tag.attempt)] = connection;
}

void RequestDispatcher::execute(const slatejunction::CancelAttempt& cancel) {
    OpenRequest* const open = find(cancel.id);
    if (!open || cancel.attempt < 0) return;
    const auto attempt = static_cast<std::size_t>(cancel.attempt);
    if (attempt >= open->attempts.size()) return;
    const auto connection = open->attempts[attempt];
    if (connection) connection->abandon(AttemptResult::cancelled);
}

void RequestDispatcher::execute(const slatejunction::RejectRequest& reject) {
    OpenRequest* const open = find(reject.id);
    if (!open) return;
    const std::uint64_t number = open->number;
    if (open->response_writer) {
        // The gateway reports a limit of any filter as a rate limit; the filter returns the reason to
        // count.
        auto reason = reject.reason;
        if (reason == slatejunction::RejectReason::rate_limit && open->filters_applied > 0) {
            const std::size_t filter = open->rate_limiting_filter;
            reason = filters_[filter]->on_rate_limited(open->filter_states[filter]);
        }
        const auto reason_index = static_cast<std::size_t>(reason);
        answer(number, {503, reject.retry_after_s, {}, {}}, RequestSummary::Result::rejected,
               metrics::kRejectReasons[reason_index], reason_index);
    }
    end_unsent_attempts(number, AttemptResult::timeout);
    erase_if_ended(number);
}

void RequestDispatcher::execute(const slatejunction::FailRequest& fail) {
    const OpenRequest* const open = find(fail.id);
    if (!open) return;
    const std::uint64_t number = open->number;
    const bool timed_out = open->client_request->deadline_at_s - net::now() < kNearDeadlineS;
    answer(number, {timed_out ? 504 : 502, 0, {}, {}}, RequestSummary::Result::failed,
           timed_out ? "due" : "lost");
    end_unsent_attempts(number, AttemptResult::timeout);
    erase_if_ended(number);
}

void RequestDispatcher::execute(const slatejunction::SetTimer& timer) {
    // NaN has no place in the ordering: it would stay at the front and keep all other timers from firing.
    const double fire_at_s = std::isnan(timer.fire_at_s) ? net::now() : timer.fire_at_s;
    gateway_timers_.push({fire_at_s, timer.tag});
    if (gateway_timers_.top().fire_at_s >= fire_at_s) gateway_timer_.arm(fire_at_s);
}

void RequestDispatcher::execute(const slatejunction::StartHealthCheck& check) {
    pool_.start_health_check(check.backend,
                             config_.settings.report_fields.empty() ? "/health/live" : "/stats");
}

void RequestDispatcher::execute(const slatejunction::WatchEndpoints& watch) {
    if (watch.enabled) poll_endpoints_();
}

void RequestDispatcher::execute(const slatejunction::LogMessage& message) {
    log_.write(Log::Level::info, net::now(), "gateway: %s", message.text.c_str());
}

void RequestDispatcher::execute(const slatejunction::ReportAdmittedFraction& admitted) {
    if (observer_ && admitted.subset == 0) observer_->on_admitted_fraction(admitted.fraction);
}

}   // namespace slatejunction::ingress
