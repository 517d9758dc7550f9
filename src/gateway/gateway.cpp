// Passes the events of one gateway to its modules and collects the resulting actions; it has no decision
// rule of its own. Interface, events, actions and units: include/slatejunction/gateway.hpp. Each rule is
// documented in the header of its module in this directory.
//
// A request is checked in this order: quota, rate limits of the caller, hard limit, admitted fraction,
// concurrency limit, choice of a backend. Actions are appended as they are decided, and random numbers are
// used in the same order, so that equal events give equal actions.
#include "slatejunction/gateway.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gateway/admission_controller.hpp"
#include "gateway/concurrency_limit.hpp"
#include "gateway/endpoint_set.hpp"
#include "gateway/load_balancer.hpp"
#include "gateway/numeric.hpp"
#include "gateway/outlier_detection.hpp"
#include "gateway/quota_estimator.hpp"
#include "gateway/random.hpp"
#include "gateway/rejection_log.hpp"
#include "gateway/request_table.hpp"
#include "gateway/retry_policy.hpp"
#include "gateway/sampling.hpp"
#include "gateway/slow_start.hpp"
#include "gateway/timing.hpp"
#include "gateway/watch_retry.hpp"

namespace slatejunction {

using namespace gateway;

namespace {

constexpr double kIdleCustomerCheckS = 10.0;

// The load of one subset. Subsets have separate state, so that a slow or overloaded one causes no
// rejections in the others.
struct SubsetLoad {
    AdmissionController admission;
    ConcurrencyLimit concurrency;
    double reported_fraction = 1;
    bool period_complete = false;
};

std::size_t count_request_kinds(const Settings& settings) {
    return settings.classes.size() * (settings.plans.size() + 1);   // the plan of a request may be unknown
}

}   // namespace

class Gateway::Impl {
  public:
    Impl(Settings settings, std::uint64_t seed);

    void handle(double now, const Event& event, std::vector<Action>& actions);
    std::size_t open_requests() const { return requests_.size(); }

  private:
    void on(const Start&);
    void on(const EndpointUpdate& update);
    void on(const Request& request);
    void on(const AttemptEnded& ended);
    void on(const StreamStarted& started);
    // No health checks are started: latencies and results of attempts give the same information.
    void on(const HealthCheckEnded&) {}
    void on(const TimerFired& fired);
    void on(const BodyReceived& received);
    void on(const ClientDisconnected& disconnected);
    void on(const ResponseBegun& begun);
    void on(const ResponseStalled& stalled);

    bool find_class_and_plan(const Request& request, OpenRequest& open) const;
    bool admit_customer(const Request& request, const OpenRequest& open, CustomerUsage& usage);
    bool admit_to_subset(const Request& request, OpenRequest& open);
    std::optional<RejectReason> overload_reason(SubsetIndex subset, double relative_priority);
    void forward(const Request& request, OpenRequest& open, CustomerUsage& usage);
    bool start_attempt(OpenRequest& request);
    Backend* choose_backend(OpenRequest& request);
    void on_backend_result(Backend& backend, const OpenRequest& request, const Attempt& attempt,
                           const AttemptEnded& ended);
    double measured_latency_ratio(const OpenRequest& request, const Attempt& attempt,
                                  const AttemptEnded& ended) const;
    void check_overdue_attempt(OpenRequest& request);
    void on_silence(OpenRequest& request, Backend& backend);
    void reject(RejectReason reason, const std::string& id, double retry_after_s);
    void set_deadline_timer(const OpenRequest& request);
    void close_without_answer(OpenRequest& request);
    void finish(OpenRequest& request);

    void on_tick();
    void close_admission_periods();
    void add_samples_in_flight();
    void write_rejection_log();

    double silence_limit_s(const OpenRequest& request) const {
        return OutlierDetector::silence_limit_s(balancer_.mean_latency_ratio(),
                                                request.service_class->latency_objective_s);
    }
    template <class A>
    void emit(A action) {
        actions_->emplace_back(std::move(action));
    }

    const Settings settings_;
    Random random_;
    EndpointSet endpoints_;
    OutlierDetector outliers_;
    SlowStart slow_start_;
    LoadBalancer balancer_;
    QuotaEstimator quotas_;
    RetryPolicy retries_;
    RequestTable requests_;
    std::vector<SubsetLoad> subsets_{1};   // by SubsetIndex
    PriorityMean mean_priority_;
    PauseDetector pauses_;
    WatchRetry watch_retry_;
    RejectionLog rejection_log_;
    std::vector<Action>* actions_ = nullptr;   // during handle()
    double now_ = 0;
    double started_at_s_ = 0;
    double idle_customers_checked_at_s_ = 0;
    bool started_ = false;
    bool clock_known_ = false;
};

Gateway::Impl::Impl(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      outliers_(count_request_kinds(settings_)),
      slow_start_(settings_),
      balancer_(settings_, endpoints_, outliers_, slow_start_),
      quotas_(settings_),
      retries_(settings_) {}

void Gateway::Impl::handle(double now, const Event& event, std::vector<Action>& actions) {
    if (started_) pauses_.on_event(now, now - now_);
    if (std::isfinite(now)) now_ = clock_known_ ? std::max(now_, now) : now;
    clock_known_ = true;
    actions_ = &actions;
    std::visit([this](const auto& received) { on(received); }, event);
    actions_ = nullptr;
}

void Gateway::Impl::on(const Start&) {
    if (started_) return;
    started_ = true;
    started_at_s_ = now_;
    retries_.budget().start(now_);
    quotas_.start(now_);
    if (settings_.discovery == DiscoveryMode::subscribe) {
        watch_retry_.on_requested(now_);
        emit(WatchEndpoints{true});
    }
    emit(SetTimer{now_ + kTickS, TimerTag::kTick});
}

void Gateway::Impl::on(const EndpointUpdate& update) {
    if (update.kind == EndpointUpdateKind::watch_lost) {
        watch_retry_.on_lost(now_);
        return;
    }
    const double changed_fraction = endpoints_.update(update, outliers_, now_);
    for (SubsetLoad& load : subsets_) load.admission.on_fleet_change(changed_fraction);
}

void Gateway::Impl::on(const Request& request) {
    if (!started_ || requests_.contains(request.id)) return;
    OpenRequest open;
    if (!find_class_and_plan(request, open) || !(request.deadline_at_s > now_))
        return emit(RejectRequest{request.id, 0, RejectReason::malformed});
    CustomerUsage& usage = quotas_.find_or_add(request.customer, now_, *open.plan, request.ingress_count);
    usage.hard_limit.refill(now_, started_at_s_, *open.plan, usage.ingress_count);
    if (!admit_customer(request, open, usage)) return;
    if (!admit_to_subset(request, open)) return;
    forward(request, open, usage);
}

// Returns false if the class is unknown. An unknown plan has no limits.
bool Gateway::Impl::find_class_and_plan(const Request& request, OpenRequest& open) const {
    static const Plan kNoPlan;
    const auto& classes = settings_.classes;
    const auto& plans = settings_.plans;
    const auto service_class = std::find_if(classes.begin(), classes.end(),
                                            [&](const auto& c) { return c.name == request.service_class; });
    if (service_class == classes.end()) return false;
    const auto plan =
        std::find_if(plans.begin(), plans.end(), [&](const auto& p) { return p.name == request.plan; });
    open.service_class = &*service_class;
    open.plan = plan == plans.end() ? &kNoPlan : &*plan;
    open.request_kind = static_cast<std::size_t>((plan - plans.begin()) * std::ssize(classes) +
                                                 (service_class - classes.begin()));
    return true;
}

bool Gateway::Impl::admit_customer(const Request& request, const OpenRequest& open, CustomerUsage& usage) {
    const double units = positive_or_zero(request.units);
    const double class_priority = positive_or_zero(open.service_class->priority_weight);
    const double retry_after_s = retries_.quota_retry_after_s(*open.service_class);
    if (!quotas_.admit(usage, *open.plan, units, request.is_client_retry, class_priority, random_)) {
        reject(RejectReason::quota, request.id, retry_after_s);
        return false;
    }
    if (request.rate_limit_retry_after_s > 0) {
        emit(RejectRequest{request.id, request.rate_limit_retry_after_s, RejectReason::rate_limit});
        return false;
    }
    if (!within_hard_limits(*open.plan, usage.hard_limit, units, usage.in_flight)) {
        reject(RejectReason::hard_limit, request.id, retry_after_s);
        return false;
    }
    return true;
}

bool Gateway::Impl::admit_to_subset(const Request& request, OpenRequest& open) {
    open.subset = subset_index(request.subset);
    if (open.subset >= subsets_.size()) subsets_.resize(open.subset + 1);
    if (falls_back_at_arrival(request.subset_fallback, endpoints_.listed_count(open.subset)))
        open.subset = kWholeFleet;
    const double priority = request_priority(*open.service_class, *open.plan);
    const double relative_priority = mean_priority_.observe(priority);
    auto reason = overload_reason(open.subset, relative_priority);
    if (reason && open.subset != kWholeFleet && falls_back_when_overloaded(request.subset_fallback)) {
        open.subset = kWholeFleet;
        reason = overload_reason(open.subset, relative_priority);
    }
    if (!reason) return true;
    reject(*reason, request.id, retries_.overload_retry_after_s(*open.service_class));
    return false;
}

std::optional<RejectReason> Gateway::Impl::overload_reason(SubsetIndex subset, double relative_priority) {
    SubsetLoad& load = subsets_[subset];
    if (!load.admission.admit(relative_priority)) return RejectReason::admitted_fraction;
    const double ingresses = std::max(1.0, positive_or_zero(settings_.ingress_count));
    const double backends_per_ingress = static_cast<double>(endpoints_.listed_count(subset)) / ingresses;
    if (load.concurrency.exceeded(backends_per_ingress, relative_priority, now_))
        return RejectReason::concurrency_limit;
    return std::nullopt;
}

void Gateway::Impl::forward(const Request& request, OpenRequest& open, CustomerUsage& usage) {
    open.number = requests_.allocate_number();
    open.request = request;
    if (!start_attempt(open)) {
        const double retry_after_s = retries_.overload_retry_after_s(*open.service_class);
        return reject(RejectReason::no_backend, request.id, retry_after_s);
    }
    const double units = positive_or_zero(request.units);
    quotas_.on_forwarded(usage, units);
    if (open.plan->hard_limit_rate > 0) usage.hard_limit.consume(units);
    retries_.budget().on_request_forwarded(now_);
    set_deadline_timer(open);
    requests_.insert(std::move(open));
}

void Gateway::Impl::set_deadline_timer(const OpenRequest& request) {
    const double give_up_at_s =
        request.request.deadline_at_s - positive_or_zero(settings_.timer_resolution_s);
    emit(SetTimer{std::max(now_, give_up_at_s), TimerTag::request_deadline(request)});
}

// Returns false if the request may not be attempted again or no backend can take it.
bool Gateway::Impl::start_attempt(OpenRequest& request) {
    if (!retries_.may_start_attempt(request, now_)) return false;
    Backend* backend = choose_backend(request);
    if (!backend) return false;
    const double start_by_s = RetryPolicy::start_by_s(request);
    const std::string& id = request.request.id;
    Attempt attempt;
    attempt.backend = backend->id;
    attempt.started_at_s = now_;
    attempt.subset = request.subset;
    request.attempts.push_back(std::move(attempt));
    request.tried_backends.push_back(backend->id);
    ++request.in_flight;
    outliers_.on_attempt_started(backend->health, backend->in_flight == 0, now_);
    ++backend->in_flight;
    slow_start_.on_attempt_started();
    subsets_[request.subset].concurrency.on_attempt_started(request.service_class->latency_objective_s);
    if (CustomerUsage* usage = quotas_.find(request.request.customer)) ++usage->in_flight;
    const bool used_fallback = request.request.subset != 0 && request.subset == kWholeFleet;
    emit(StartAttempt{id, backend->id, 0, used_fallback, start_by_s});
    emit(SetTimer{now_ + silence_limit_s(request), TimerTag::attempt_overdue(request)});
    return true;
}

Backend* Gateway::Impl::choose_backend(OpenRequest& request) {
    BackendRequirements requirements;
    requirements.idempotent = request.service_class->idempotency == Idempotency::idempotent;
    requirements.request_kind = request.request_kind;
    requirements.tried = &request.tried_backends;
    requirements.scope = request.service_class->idempotency_scope;
    requirements.subset = request.subset;
    if (RetryPolicy::bound_to_scope(request)) {
        requirements.scope_anchor = endpoints_.find(request.first_that_may_have_run()->backend);
        if (!requirements.scope_anchor) return nullptr;
    }
    Backend* backend = balancer_.choose(requirements, now_, random_);
    if (backend || request.subset == kWholeFleet) return backend;
    const std::size_t listed_count = endpoints_.listed_count(request.subset);
    if (!falls_back_without_backend(request.request.subset_fallback, listed_count)) return nullptr;
    request.subset = kWholeFleet;
    requirements.subset = kWholeFleet;
    return balancer_.choose(requirements, now_, random_);
}

void Gateway::Impl::on(const AttemptEnded& ended) {
    OpenRequest* request = requests_.find(ended.id);
    Attempt* attempt = request ? request->attempt_in_flight(ended.attempt) : nullptr;
    if (!attempt) return;
    attempt->in_flight = false;
    --request->in_flight;
    if (CustomerUsage* usage = quotas_.find(request->request.customer)) {
        --usage->in_flight;
        quotas_.on_meter_reading(*usage, *request->plan, positive_or_zero(ended.quota_use), now_);
    }
    if (!attempt->overdue)
        subsets_[attempt->subset].concurrency.on_attempt_removed(
            request->service_class->latency_objective_s);
    if (Backend* backend = endpoints_.find(attempt->backend))
        on_backend_result(*backend, *request, *attempt, ended);
    attempt->may_have_run = !RetryPolicy::never_ran(ended.result);
    request->body_consumed = request->body_consumed || ended.body_consumed;
    if (ended.request_ended || request->answered || ended.result == AttemptResult::ok)
        return finish(*request);
    if (request->in_flight > 0) return;
    if (retries_.may_retry_after(*request, ended.result, now_) && start_attempt(*request))
        return retries_.budget().consume();
    close_without_answer(*request);
}

void Gateway::Impl::on_backend_result(Backend& backend, const OpenRequest& request, const Attempt& attempt,
                                      const AttemptEnded& ended) {
    const double latency = measured_latency_ratio(request, attempt, ended);
    const bool counts_as_load = outliers_.latency_counts_as_load(backend.health, now_);
    SubsetLoad& load = subsets_[attempt.subset];
    --backend.in_flight;
    outliers_.on_result(backend.health, request.request_kind, ended, now_);
    if (ended.result == AttemptResult::ok) {
        balancer_.on_answer(backend, latency, now_);
        slow_start_.on_answer();
        endpoints_.on_answer(backend);
        load.concurrency.on_answer(now_);
    }
    if (counts_as_load && AdmissionController::is_sample(ended.result, attempt.overdue))
        load.admission.add_sample(latency);
    endpoints_.on_attempt_ended(backend);
}

// Returns the mean of the fleet if a pause of this process makes the duration of the attempt unknown.
double Gateway::Impl::measured_latency_ratio(const OpenRequest& request, const Attempt& attempt,
                                             const AttemptEnded& ended) const {
    if (pauses_.spans_pause(attempt.started_at_s, now_)) return balancer_.mean_latency_ratio();
    const double duration_s = now_ - attempt.started_at_s - positive_or_zero(ended.write_duration_s);
    return latency_ratio(duration_s, *request.service_class);
}

void Gateway::Impl::on(const StreamStarted& started) {
    OpenRequest* request = requests_.find(started.id);
    if (request && !request->answered) request->streaming = true;
}

void Gateway::Impl::on(const BodyReceived& received) {
    OpenRequest* request = requests_.find(received.id);
    if (!request || request->answered || request->answerable()) return;
    request->body_received_at_s = now_;
    request->request.deadline_at_s = std::min(request->request.deadline_at_s, received.deadline_at_s);
    set_deadline_timer(*request);
    emit(SetTimer{now_ + silence_limit_s(*request), TimerTag::attempt_overdue(*request)});
}

void Gateway::Impl::on(const ClientDisconnected& disconnected) {
    if (OpenRequest* request = requests_.find(disconnected.id)) finish(*request);
}

void Gateway::Impl::on(const ResponseBegun& begun) {
    OpenRequest* request = requests_.find(begun.id);
    if (Attempt* attempt = request ? request->attempt_in_flight(begun.attempt) : nullptr)
        attempt->response_begun = true;
}

// The response may still go on, but a hedged request can bring one that does not stall.
void Gateway::Impl::on(const ResponseStalled& stalled) {
    OpenRequest* request = requests_.find(stalled.id);
    if (!request || request->answered || request->streaming || pauses_.just_resumed(now_)) return;
    const Attempt* attempt = request->attempt_in_flight(stalled.attempt);
    if (!attempt || attempt != &request->attempts.back()) return;
    if (Backend* backend = endpoints_.find(attempt->backend)) on_silence(*request, *backend);
}

void Gateway::Impl::on(const TimerFired& fired) {
    const TimerTag::Kind kind = TimerTag::kind(fired.tag);
    if (kind == TimerTag::Kind::tick) return on_tick();
    OpenRequest* request = requests_.find(TimerTag::request_number(fired.tag));
    if (!request || request->answered || request->streaming) return;
    if (kind == TimerTag::Kind::attempt_overdue) return check_overdue_attempt(*request);
    // An attempt whose response has begun ends by itself at the deadline.
    if (!request->response_begun() || request->past_deadline) return close_without_answer(*request);
    request->past_deadline = true;
    emit(SetTimer{request->request.deadline_at_s + 2 * kTickS, fired.tag});
}

// Called when the last attempt has lasted for the silence limit. If its backend has answered nothing since
// it could answer the attempt, the request is hedged, or the attempt is cancelled so that a retry follows.
void Gateway::Impl::check_overdue_attempt(OpenRequest& request) {
    Attempt& attempt = request.attempts.back();
    Backend* backend = endpoints_.find(attempt.backend);
    const double limit_s = silence_limit_s(request);
    const std::uint64_t tag = TimerTag::attempt_overdue(request);
    if (!request.answerable() || attempt.response_begun) return;
    const double answerable_since_s = request.answerable_since_s(attempt);
    if (pauses_.just_resumed(now_)) return emit(SetTimer{now_ + kTickS, tag});
    if (!attempt.in_flight || !OutlierDetector::is_overdue(now_ - answerable_since_s, limit_s)) return;
    if (request.request.deadline_at_s - now_ > limit_s) emit(SetTimer{now_ + limit_s, tag});
    if (backend && OutlierDetector::is_silent_since(backend->health, answerable_since_s))
        on_silence(request, *backend);
}

// The backend of the last attempt of `request`, which is in flight, is silent.
void Gateway::Impl::on_silence(OpenRequest& request, Backend& backend) {
    Attempt& attempt = request.attempts.back();
    outliers_.on_silence(backend.health, now_);
    if (outliers_.fleet_wide_failure()) return;
    const bool is_first_time = !attempt.overdue;
    if (is_first_time)
        subsets_[attempt.subset].concurrency.on_attempt_removed(request.service_class->latency_objective_s);
    attempt.overdue = true;
    const auto attempt_index = static_cast<std::int64_t>(request.attempts.size() - 1);
    switch (retries_.overdue_action(request, is_first_time)) {
        case OverdueAction::hedge:
            if (start_attempt(request)) retries_.budget().consume();
            break;
        case OverdueAction::cancel:
            emit(CancelAttempt{request.request.id, attempt_index});
            break;
        case OverdueAction::none:
            break;
    }
}

void Gateway::Impl::reject(RejectReason reason, const std::string& id, double retry_after_s) {
    rejection_log_.count(reason);
    emit(RejectRequest{id, retry_after_s, reason});
}

// Gives the final answer as soon as no attempt can bring one any more.
void Gateway::Impl::close_without_answer(OpenRequest& request) {
    const double retry_after_s = retries_.overload_retry_after_s(*request.service_class);
    if (RetryPolicy::may_reject(request))
        reject(RejectReason::attempts_exhausted, request.request.id, retry_after_s);
    else
        emit(FailRequest{request.request.id});
    finish(request);
}

// Cancels the attempts in flight; the request is removed once all of them have ended. `request` may be
// invalid after the call.
void Gateway::Impl::finish(OpenRequest& request) {
    if (retries_.cancels_in_flight(request))
        for (std::size_t i = 0; i < request.attempts.size(); ++i)
            if (request.attempts[i].in_flight)
                emit(CancelAttempt{request.request.id, static_cast<std::int64_t>(i)});
    request.answered = true;
    if (request.in_flight == 0) requests_.erase(request);
}

void Gateway::Impl::on_tick() {
    emit(SetTimer{now_ + kTickS, TimerTag::kTick});
    if (settings_.discovery == DiscoveryMode::subscribe && watch_retry_.should_retry(settings_, now_)) {
        watch_retry_.on_retried(now_);
        emit(WatchEndpoints{true});
    }
    close_admission_periods();
    if (rejection_log_.interval_elapsed(now_)) write_rejection_log();
    if (now_ - idle_customers_checked_at_s_ > kIdleCustomerCheckS) {
        idle_customers_checked_at_s_ = now_;
        quotas_.forget_idle(now_);
    }
}

void Gateway::Impl::close_admission_periods() {
    bool any_complete = false;
    for (SubsetLoad& load : subsets_) {
        load.period_complete = load.admission.period_complete(now_) && !pauses_.just_resumed(now_);
        any_complete = any_complete || load.period_complete;
    }
    if (!any_complete) return;
    add_samples_in_flight();
    for (SubsetIndex subset = 0; subset < subsets_.size(); ++subset) {
        SubsetLoad& load = subsets_[subset];
        if (!load.period_complete) continue;
        load.admission.close_period(now_);
        if (load.admission.fraction() == load.reported_fraction) continue;
        load.reported_fraction = load.admission.fraction();
        emit(ReportAdmittedFraction{load.reported_fraction, subset_bit(subset)});
    }
}

void Gateway::Impl::add_samples_in_flight() {
    for (const auto& [number, request] : requests_.by_number()) {
        if (request.answered || !request.answerable()) continue;
        for (const Attempt& attempt : request.attempts) {
            SubsetLoad& load = subsets_[attempt.subset];
            if (!load.period_complete || !attempt.in_flight) continue;
            const double latency =
                latency_ratio(now_ - request.answerable_since_s(attempt), *request.service_class);
            if (!AdmissionController::is_sample_in_flight(latency)) continue;
            const Backend* backend = endpoints_.find(attempt.backend);
            if (backend && outliers_.latency_counts_as_load(backend->health, now_))
                load.admission.add_sample(latency);
        }
    }
}

void Gateway::Impl::write_rejection_log() {
    const double fraction = subsets_[kWholeFleet].admission.fraction();
    const std::ptrdiff_t outliers = endpoints_.count_outliers(outliers_, now_);
    std::string text = rejection_log_.close_interval(fraction, outliers, now_);
    if (!text.empty()) emit(LogMessage{std::move(text)});
}

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;

void Gateway::handle(double now, const Event& event, std::vector<Action>& actions) {
    impl_->handle(now, event, actions);
}
std::size_t Gateway::open_requests() const { return impl_->open_requests(); }

}   // namespace slatejunction
