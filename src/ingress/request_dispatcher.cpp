// RequestDispatcher: events (requests, disconnections, ended attempts, timers) and final answers. The
// gateway's actions are in request_actions.cpp.
#include "ingress/request_dispatcher.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "ingress/resource_limits.hpp"
#include "lifecycle/graceful_shutdown.hpp"
#include "metrics/reasons.hpp"

namespace slatejunction::ingress {

namespace {

bool may_have_run(AttemptResult result) {
    return result != AttemptResult::connect_failed && result != AttemptResult::rejected &&
           result != AttemptResult::not_started;
}

slatejunction::Request gateway_request(const std::string& id, const client::ClientRequest& client_request) {
    slatejunction::Request request;
    request.id = id;
    request.service_class = client_request.service_class;
    request.plan = client_request.plan;
    request.units = client_request.units;
    request.customer = client_request.customer;
    request.deadline_at_s = client_request.deadline_at_s;
    request.ingress_count = client_request.ingress_count;
    request.is_client_retry = client_request.is_client_retry;
    request.streamed_body = client_request.body_rest != nullptr;
    return request;
}

slatejunction::AttemptEnded attempt_ended(const std::string& id, std::int64_t attempt,
                                          const client::ClientRequest& client_request,
                                          const backend::CallResult& end) {
    slatejunction::AttemptEnded event;
    event.id = id;
    event.attempt = attempt;
    event.result = end.bad_request ? AttemptResult::cancelled : end.result;
    event.duration_s = end.duration_s;
    event.write_duration_s = end.write_duration_s;
    event.quota_use = end.quota_use;
    event.report = end.report;
    event.body_consumed = client_request.body_streamed;
    event.stale_connection = end.reset_before_response && end.idle_s >= 0;
    return event;
}

const char* description(const backend::ResponseEvent& event) {
    using Kind = backend::ResponseEvent::Kind;
    switch (event.kind) {
        case Kind::begun:
            return "has begun";
        case Kind::stalled:
            return "has stalled";
        case Kind::forwarded:
            return event.at_deadline ? "is forwarded incomplete, as its deadline has passed"
                                     : "is forwarded incomplete, as it is slow";
        case Kind::cut_stalled:
            return "was cut off: no byte within the limit";
        case Kind::cut_slow:
            return "was cut off: too slow";
        case Kind::cut_late:
            return "was cut off: not complete in time after its deadline";
        case Kind::cut_by_backend:
            return "was cut off: the backend ended it, or it is malformed";
    }
    return "";
}

void log_response_event(Log& log, const std::string& backend, const backend::ResponseEvent& event) {
    const bool cut = event.kind >= backend::ResponseEvent::Kind::cut_stalled;
    log.write(cut ? Log::Level::warning : Log::Level::info, net::now(),
              "response of %s to %.*s %s: %zu bytes in %.2f s", backend.c_str(),
              static_cast<int>(event.request_id.size()), event.request_id.data(), description(event),
              event.bytes, event.age_s);
}

}   // namespace

RequestDispatcher::RequestDispatcher(const config::Config& config, net::Timers& timers, Log& log,
                                     RequestObserver* observer, http::ByteBudget& backend_bytes,
                                     std::function<void()> poll_endpoints)
    : config_(config),
      log_(log),
      observer_(observer),
      poll_endpoints_(std::move(poll_endpoints)),
      gateway_timer_(timers, [this] { on_gateway_timer(); }),
      gateway_(config.settings, config.seed),
      executed_ids_(lifecycle::longest_deadline_s(config.settings)),
      pool_(*this, timers, connection_pool_limits(config), backend_bytes, config.settings.report_fields) {}

void RequestDispatcher::end_open_requests() {
    for (const auto& [number, open] : open_requests_)
        for (std::size_t i = 0; i < open.filters_applied; ++i)
            filters_[i]->on_request_end(*open.client_request, open.filter_states[i]);
}

// Requests and disconnections. ---------------------------------------------------------------------------

std::uint64_t RequestDispatcher::on_request(std::shared_ptr<client::ResponseWriter> response_writer,
                                            std::shared_ptr<client::ClientRequest> client_request,
                                            bool stopping) {
    const bool too_many =
        config_.max_open_requests > 0 && open_requests_.size() >= config_.max_open_requests;
    if (stopping || too_many) {
        reject_at_arrival(*response_writer, *client_request, stopping);
        return 0;
    }
    OpenRequest& open = add_open_request(std::move(response_writer), std::move(client_request));
    const std::uint64_t number = open.number;
    slatejunction::Request request = gateway_request(open.id, *open.client_request);
    if (!filters_.empty()) apply_filters(open, request);
    handle_event(std::move(request));
    return number;
}

void RequestDispatcher::reject_at_arrival(client::ResponseWriter& response_writer,
                                          const client::ClientRequest& client_request, bool stopping) {
    response_writer.write_response({503, config_.settings.max_retry_after_s, {}, {}});
    if (!observer_) return;
    observer_->on_request_end({client_request,
                               stopping ? RequestSummary::Result::failed : RequestSummary::Result::rejected,
                               stopping ? "stopped" : metrics::kRejectReasons[metrics::kOpenLimitReason],
                               stopping ? 0 : metrics::kOpenLimitReason,
                               {},
                               0,
                               net::now() - client_request.arrived_at_s});
}

RequestDispatcher::OpenRequest& RequestDispatcher::add_open_request(
    std::shared_ptr<client::ResponseWriter> response_writer,
    std::shared_ptr<client::ClientRequest> client_request) {
    const std::uint64_t number = ++last_number_;
    OpenRequest& open = open_requests_[number];
    open.number = number;
    open.id = std::to_string(number);
    open.client_request = std::move(client_request);
    open_request_ids_.insert(open.client_request->request_id);
    open.response_writer = std::move(response_writer);
    open.client_request->response_writer = open.response_writer;
    return open;
}

void RequestDispatcher::apply_filters(OpenRequest& open, slatejunction::Request& request) {
    for (std::size_t i = 0; i < filters_.size(); ++i) {
        const double retry_after_s = request.rate_limit_retry_after_s;
        filters_[i]->on_request(*open.client_request, request, open.filter_states[i]);
        if (request.rate_limit_retry_after_s > retry_after_s) open.rate_limiting_filter = i;
    }
    open.filters_applied = filters_.size();
    open.client_request->headers = {};
}

bool RequestDispatcher::wants_headers() const {
    return std::any_of(filters_.begin(), filters_.end(),
                       [](const RequestFilter* filter) { return filter->wants_headers(); });
}

void RequestDispatcher::on_body_received(std::uint64_t number) {
    const OpenRequest* const open = find(number);
    if (open) handle_event(slatejunction::BodyReceived{open->id, open->client_request->deadline_at_s});
}

void RequestDispatcher::on_client_disconnected(std::uint64_t number) {
    OpenRequest* const open = find(number);
    if (!open || !open->response_writer) return;
    if (observer_) observe_end(*open, RequestSummary::Result::failed, "left");
    open->response_writer.reset();
    abandon(number);
}

void RequestDispatcher::abandon(std::uint64_t number) {
    OpenRequest* const open = find(number);
    if (!open) return;
    const std::string id = open->id;
    end_unsent_attempts(number, AttemptResult::not_started);
    erase_if_ended(number);
    handle_event(slatejunction::ClientDisconnected{id});
}

// Applies whether or not the settings allow cancellation.
void RequestDispatcher::end_unsent_attempts(std::uint64_t number, AttemptResult result) {
    const OpenRequest* const open = find(number);
    if (!open || open->attempts_in_flight == 0) return;
    const auto attempts = open->attempts;
    for (const auto& attempt : attempts)
        if (attempt && !attempt->request_sent()) attempt->abandon(result);
}

void RequestDispatcher::on_bad_request(int status, std::string_view error) {
    if (observer_) observer_->on_bad_request();
    log_.write(Log::Level::warning, net::now(), "bad request: %d, %.*s", status,
               static_cast<int>(error.size()), error.data());
}

// Ended attempts and health checks. ----------------------------------------------------------------------

// Reads everything from `open` before the answer is given, as references into open_requests_ are invalid
// after answer().
void RequestDispatcher::on_call_end(const backend::AttemptTag& tag, const backend::CallResult& end) {
    OpenRequest* const open = find(tag.request);
    if (!open) return;
    open->attempts[static_cast<std::size_t>(tag.attempt)].reset();
    --open->attempts_in_flight;
    open->attempt_may_have_run = open->attempt_may_have_run || may_have_run(end.result);
    slatejunction::AttemptEnded event = attempt_ended(open->id, tag.attempt, *open->client_request, end);
    if (observer_) {
        observer_->on_attempt_end(end.result);
        if (end.quota_use > 0) observer_->on_quota_report();
    }
    if (end.client_disconnected && open->response_writer) {
        if (observer_) observe_end(*open, RequestSummary::Result::failed, "left");
        open->response_writer.reset();
    }
    answer_ended_attempt(tag.request, end);
    const OpenRequest* const still_open = find(tag.request);
    event.request_ended = !still_open || !still_open->response_writer;
    erase_if_ended(tag.request);
    handle_event(std::move(event));
}

// A request that the backend rejects as invalid is an error of the client, not a failure of the backend.
void RequestDispatcher::answer_ended_attempt(std::uint64_t number, const backend::CallResult& end) {
    if (end.bad_request) on_bad_request(400, "a backend rejected it as invalid");
    if (end.result == AttemptResult::ok) {
        answer(number, {200, 0, end.content_type, end.body, end.rest, end.length},
               RequestSummary::Result::served, "");
    } else if (end.bad_request) {
        answer(number, {400, 0, {}, {}}, RequestSummary::Result::failed, "turned_down");
    }
}

void RequestDispatcher::on_health_check_end(const std::string& backend, const backend::CallResult& end) {
    handle_event(slatejunction::HealthCheckEnded{backend, end.result, end.duration_s, end.report});
}

// A response that is forwarded outlives its request here.
void RequestDispatcher::on_response_event(const backend::AttemptTag& tag, const std::string& backend,
                                          const backend::ResponseEvent& event) {
    using Kind = backend::ResponseEvent::Kind;
    if (observer_) observer_->on_response_event(event);
    if (event.kind != Kind::begun) log_response_event(log_, backend, event);
    const OpenRequest* const open = find(tag.request);
    if (!open) return;
    if (event.kind == Kind::begun) handle_event(slatejunction::ResponseBegun{open->id, tag.attempt});
    if (event.kind == Kind::stalled) handle_event(slatejunction::ResponseStalled{open->id, tag.attempt});
}

void RequestDispatcher::on_gateway_timer() {
    const double now = net::now();
    // Fires at most as many timers as exist now: those that the gateway sets for the past wait for the next
    // iteration of the loop.
    std::size_t remaining = gateway_timers_.size();
    while (remaining > 0 && gateway_timers_.top().fire_at_s <= now) {
        const std::uint64_t tag = gateway_timers_.top().tag;
        gateway_timers_.pop();
        handle_event(slatejunction::TimerFired{tag});
        --remaining;
    }
    if (!gateway_timers_.empty()) gateway_timer_.arm(gateway_timers_.top().fire_at_s);
}

// Answers. -----------------------------------------------------------------------------------------------

// Notifies the observer first, so that each answer that a client has got is counted, even if the process is
// killed right after.
void RequestDispatcher::answer(std::uint64_t number, const client::Response& response,
                               RequestSummary::Result result, std::string_view reason,
                               std::size_t reject_reason_index) {
    OpenRequest* const open = find(number);
    if (!open || !open->response_writer) return;
    if (observer_) observe_end(*open, result, reason, reject_reason_index);
    const auto response_writer = std::exchange(open->response_writer, nullptr);
    response_writer->write_response(response);
}

void RequestDispatcher::observe_end(const OpenRequest& open, RequestSummary::Result result,
                                    std::string_view reason, std::size_t reject_reason_index) {
    RequestSummary summary{*open.client_request,
                           result,
                           reason,
                           reject_reason_index,
                           open.last_backend,
                           open.attempts.size(),
                           net::now() - open.client_request->arrived_at_s};
    for (std::size_t i = 0; i < open.filters_applied && summary.tags.empty(); ++i)
        summary.tags = filters_[i]->tags(open.filter_states[i]);
    observer_->on_request_end(summary);
}

std::vector<std::uint64_t> RequestDispatcher::unanswered_requests() const {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, open] : open_requests_)
        if (open.response_writer) numbers.push_back(number);
    return numbers;
}

void RequestDispatcher::answer_unfinished(const std::vector<std::uint64_t>& numbers) {
    for (const std::uint64_t number : numbers) {
        const OpenRequest* const open = find(number);
        if (!open || !open->response_writer) continue;
        const bool forwarded =
            open->attempt_may_have_run ||
            std::any_of(open->attempts.begin(), open->attempts.end(),
                        [](const auto& attempt) { return attempt && attempt->request_sent(); });
        const int status = lifecycle::forced_status(forwarded);
        answer(number, {status, forwarded ? 0 : config_.settings.max_retry_after_s, {}, {}},
               RequestSummary::Result::failed, "stopped");
        abandon(number);
    }
}

void RequestDispatcher::erase_if_ended(std::uint64_t number) {
    const auto at = open_requests_.find(number);
    if (at == open_requests_.end()) return;
    OpenRequest& open = at->second;
    if (open.response_writer || open.attempts_in_flight > 0) return;
    for (std::size_t i = 0; i < open.filters_applied; ++i)
        filters_[i]->on_request_end(*open.client_request, open.filter_states[i]);
    if (open.id_remembered && !open.attempt_may_have_run) forget_id(open);
    open_request_ids_.erase(open.client_request->request_id);
    open_requests_.erase(at);
}

// Ids that may not run again. ----------------------------------------------------------------------------

// A class with an idempotency key needs none: backends recognize its repeats.
void RequestDispatcher::remember_id(OpenRequest& open) {
    const slatejunction::ServiceClass* service_class =
        client::find_class(config_.settings, open.client_request->service_class);
    if (!service_class || service_class->idempotency != slatejunction::Idempotency::not_idempotent) return;
    open.id_remembered = true;
    const std::uint64_t id_hash = hash_request_id(open.client_request->request_id);
    executed_ids_.add(id_hash, net::now());
    if (report_executed_id_) report_executed_id_(id_hash, false);
}

void RequestDispatcher::forget_id(const OpenRequest& open) {
    const std::uint64_t id_hash = hash_request_id(open.client_request->request_id);
    executed_ids_.remove(id_hash);
    if (report_executed_id_) report_executed_id_(id_hash, true);
}

bool RequestDispatcher::may_not_run_again(std::string_view request_id) const {
    return executed_ids_.contains(hash_request_id(request_id), net::now());
}

void RequestDispatcher::adopt_executed_ids(std::span<const std::uint64_t> id_hashes, bool never_ran) {
    const double now = net::now();
    for (const std::uint64_t id_hash : id_hashes) {
        if (never_ran)
            executed_ids_.remove(id_hash);
        else
            executed_ids_.add(id_hash, now);
    }
}

RequestDispatcher::OpenRequest* RequestDispatcher::find(const std::string& id) {
    std::uint64_t number = 0;
    std::from_chars(id.data(), id.data() + id.size(), number);
    return find(number);
}

RequestDispatcher::OpenRequest* RequestDispatcher::find(std::uint64_t number) {
    const auto at = open_requests_.find(number);
    return at == open_requests_.end() ? nullptr : &at->second;
}

}   // namespace slatejunction::ingress
