#include "ingress/ingress.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "metrics/reasons.hpp"

namespace slatejunction::ingress {

using lifecycle::GracefulShutdown;
using slatejunction::AttemptResult;

namespace {

constexpr std::size_t kReserve = 32;   // descriptors: standard streams, listener, directory, GLib's own
constexpr double kSweepEvery = 0.2;    // s
constexpr double kLostEvery = 5.0;     // s; between log lines of one trouble with discovery
constexpr double kMemoryPart =
    0.2;   // of the memory, for the bytes of consumers, and for those of providers
constexpr double kMemoryMost = 1e9;       // MB; more is no machine's, and its bytes have to be countable
constexpr double kHandedIdle = 0.3;       // s; how long it keeps idle connections to providers
constexpr std::size_t kHandedCalls = 4;   // connections to providers that it may open still
constexpr std::size_t kHeirPart = 4;      // of the connections, what a new process finds at least
constexpr double kPrepare = 0.3;          // s; a new process's wait for a list, if it knows one already
constexpr double kPrepareAnew = 2.0;      // s; and if it knows none
constexpr double kNewProcess = 6.0;       // s; until a new process must say yes
static_assert(hot_restart::RestartChannel::takeover_bound_s() + kPrepareAnew < kNewProcess - 0.5);
constexpr double kRestart = 30.0;       // s; until a process that was killed must serve again
constexpr double kListenPause = 0.25;   // s; before an address is tried again
static_assert(hot_restart::RestartChannel::takeover_bound_s() + Ingress::listens_within() < kRestart - 5);
constexpr std::size_t kAdminMost = 48, kAdminPart = 12;   // operators' connections; of all descriptors
constexpr double kMissingRetry = 0.5;   // s; Retry-After of a large request that can't be sent again here
constexpr double kNearDue = 0.05;       // s; an abort so near to the due time is a time-out

backend::ConnectionPoolLimits limits_of(const config::Config& config) {
    return {(config.sockets - kReserve) * 2 / 5, config.dial_timeout_s, config.keepalive_s};
}

std::size_t admin_of(const config::Config& config) {
    return config.admin.empty() ? 0 : std::min(kAdminMost, config.sockets / kAdminPart);
}

std::size_t consumers_of(const config::Config& config) {
    return config.sockets - kReserve - limits_of(config).max_connections - admin_of(config);
}

std::size_t bytes_of(const config::Config& config) {
    return static_cast<std::size_t>(kMemoryPart * std::min(config.memory_mb, kMemoryMost) * 1024 * 1024);
}

}   // namespace

struct Ingress::WatchLink : discovery::EndpointWatch {
    WatchLink(discovery::WatchCallbacks& host, net::Timers& timers,
              const discovery::UnixTimeConverter& clock, const std::string& authority, std::uint64_t seed)
        : EndpointWatch(host, timers, clock, authority, seed), address(net::parse_address(authority)) {
        attach(stream, [this] { return stream.dial(address.get()); });
    }
    net::Address address;
    // News go before what clients ask: among hundreds of connections that are ready a drain would wait its
    // turn while more is sent there.
    net::Stream stream{*this, G_PRIORITY_HIGH};
};

Ingress::Ingress(config::Config config, const discovery::UnixTimeConverter& clock, net::Timers& timers,
                 Log& log, std::function<void()> done, RequestObserver* observer)
    : clock_(clock),
      log_(log),
      done_(std::move(done)),
      observer_(observer),
      config_(std::move(config)),
      consumer_bytes_(bytes_of(config_)),
      provider_bytes_(bytes_of(config_)),
      timers_(timers),
      module_timer_(timers_, [this] { timers_due(); }),
      sweep_timer_(timers_, [this] { sweep(); }),
      gateway_(config_.settings, config_.seed),
      pool_(*this, timers_, limits_of(config_), provider_bytes_, config_.settings.report_fields),
      server_(*this, timers_, consumers_of(config_)),
      shutdown_(lifecycle::longest_deadline_s(config_.settings)),
      handover_(*this, timers_, log_, config_.temporary, config_.name, config_.listen),
      prepare_timer_(timers_, [this] { handover_.ready_to_accept(); }),
      watch_(std::make_shared<WatchLink>(static_cast<discovery::WatchCallbacks&>(*this), timers_, clock,
                                         config_.discovery_address, config_.seed)) {
    if (!config_.admin.empty())
        admin_ = std::make_unique<admin::Server>(static_cast<admin::AdminCallHandler&>(*this), timers_,
                                                 admin_of(config_));
}

// What is open still ends here for those who keep something of it.
Ingress::~Ingress() {
    for (const auto& [number, open] : open_)
        for (std::size_t i = 0; i < open.judged; ++i)
            judges_[i]->on_request_end(*open.invocation, open.marks[i]);
}

// Operators' first: from the other one on consumers wait for their answers.
bool Ingress::listen(std::string& why) {
    if (admin_ && !admin_->listening() && !admin_->start(config_.admin, why)) {
        why = "admin_addr can't be listened on: " + why;
        return false;
    }
    if (server_.descriptor() < 0 && !server_.start(config_.listen, why)) {
        why = "NODE_LISTEN can't be listened on: " + why;
        return false;
    }
    return true;
}

// Guards against an address that is taken for a moment, such as by a connection that was made from its port
// while the process before this one was gone.
bool Ingress::listen_in_time(std::string& why, const std::function<bool(double)>& pause) {
    const double until = net::now() + listens_within();
    for (bool told = false; !listen(why); told = true) {
        if (net::now() >= until) return false;
        if (!told)
            log_.write(Log::Level::warning, net::now(), "%s; it is tried again for %.0f s", why.c_str(),
                       listens_within());
        if (pause(kListenPause)) continue;
        why.clear();
        return false;
    }
    return true;
}

bool Ingress::start(std::string& why, const std::function<bool(double)>& pause) {
    tell(slatejunction::Start{});
    hot_restart::RestartMessage state;
    net::Ref<GSocket> listening;
    bool listed = false;
    const bool heir = handover_.request_takeover(state, listening);
    if (heir) server_.adopt(std::move(listening));
    if (!listen_in_time(why, pause)) return false;
    if (heir) {
        listed = take_over_list(state.endpoint_list);
        discovery::EndpointList change;
        for (const std::string& id : state.listed) operations_.remember(id);
        for (const std::string& id : state.suspended) operations_.adopt_suspension(id, change);
        if (state.drained && operations_.drain()) drained_at_ = net::now();
        theirs_ = state.resource_use;
        share_out();
        prepare_timer_.arm(net::now() + (config_.known.update.endpoints.empty() ? kPrepareAnew : kPrepare));
    }
    if (!listed) start_times_.resolve_cached(config_.known, net::now());
    operations_.apply_to(config_.known);
    pool_.update(config_.known);
    slatejunction::EndpointUpdate known = config_.known.update;
    lay_over(known);
    tell(std::move(known));
    watch_->start(config_.known.revision);
    handover_.start();
    sweep_timer_.arm(net::now() + kSweepEvery);
    log_.write(Log::Level::info, net::now(), "serving: %s at %s, %zu providers known", config_.name.c_str(),
               config_.listen.c_str(), config_.known.update.endpoints.size());
    return true;
}

// What the old process was told is in force here before anything is sent on, and the file's copy is older:
// the two count as one ingress, and discovery may be silent now.
bool Ingress::take_over_list(discovery::EndpointList& list) {
    if (list.update.endpoints.empty()) return false;
    for (slatejunction::Endpoint& entry : list.update.endpoints)
        entry.started_at_s = std::min(entry.started_at_s, net::now());
    list.update.kind = slatejunction::EndpointUpdateKind::cached_snapshot;
    start_times_.adopt(list);
    config_.known = std::move(list);
    return true;
}

void Ingress::stop() {
    if (shutdown_.stop_requested()) return;
    const double now = net::now();
    shutdown_.request_stop(now);
    handover_.stop();
    sweep_timer_.arm(shutdown_.advance_again_at(now));
    log_.write(Log::Level::info, now, "stopping: %zu invocations open, ends within %.1f s", open_.size(),
               shutdown_.ends_by() - now);
}

void Ingress::reload(const config::Config& fresh) {
    std::string later;
    const auto waits = [&](bool changed, const char* field) {
        if (changed) later += std::string(later.empty() ? "" : ", ") + field;
    };
    waits(fresh.name != config_.name, "name");
    waits(fresh.listen != config_.listen, "listen");
    waits(fresh.admin != config_.admin, "admin_addr");
    waits(fresh.stated_sockets != config_.stated_sockets || fresh.memory_mb != config_.memory_mb, "limits");
    waits(fresh.settings != config_.settings || fresh.max_open_requests != config_.max_open_requests ||
              fresh.dial_timeout_s != config_.dial_timeout_s || fresh.keepalive_s != config_.keepalive_s,
          "settings");
    log_.write(Log::Level::info, net::now(), "reloaded: discovery %s%s%s%s",
               fresh.discovery_address.c_str(),
               later.empty() ? "" : "; after the next start: ", later.c_str(),
               fresh.discovery_address == config_.discovery_address ? "" : "; the watch moves there");
    if (fresh.discovery_address == config_.discovery_address) return;
    // The list stays in force and the new watch goes on from its version, so that nothing is told twice or
    // missed; the file's own list is not taken, as it may be older.
    config_.discovery_address = fresh.discovery_address;
    const auto newest = watch_->newest_revision();
    watch_ = std::make_shared<WatchLink>(static_cast<discovery::WatchCallbacks&>(*this), timers_, clock_,
                                         config_.discovery_address, config_.seed);
    watch_->start(newest, true);
}

void Ingress::sweep() {
    const double now = net::now();
    log_.drain();
    server_.close_expired(now);
    pool_.close_expired(now);
    if (admin_) admin_->close_expired(now);
    const bool drained = operations_.drained();
    if (drained && now - drained_at_ > GracefulShutdown::kGraceS)
        server_.close_idle(now, GracefulShutdown::kQuietS);
    if (shutdown_.draining()) {
        if (wind_down(now)) return;
        return sweep_timer_.arm(shutdown_.advance_again_at(now));
    }
    sweep_timer_.arm(now + (drained ? GracefulShutdown::kCheckIntervalS : kSweepEvery));
}

bool Ingress::wind_down(double now) {
    if (const auto most_s = shutdown_.max_idle_s(now)) server_.close_idle(now, *most_s);
    for (;;) {
        const auto census = server_.session_counts();
        switch (shutdown_.advance({now, handover_.role().draining(), server_.sessions(), census.in_use,
                                   last_request_at_, census.last_unused_at})) {
            case GracefulShutdown::Action::none:
                return false;
            case GracefulShutdown::Action::refuse_handshakes:
                if (!handover_.role().paired()) server_.refuse_handshakes();
                break;
            case GracefulShutdown::Action::stop_listening:
                server_.accept_pending_and_stop();
                break;
            case GracefulShutdown::Action::answer_open_requests:
                answer_owed();
                break;
            case GracefulShutdown::Action::end:
                server_.stop();
                server_.close_all();
                log_.write(Log::Level::info, now, "stopped");
                done_();
                return true;
        }
    }
}

// Each by the way of every answer, so that it gets this one and no other.
void Ingress::answer_owed() {
    std::vector<std::uint64_t> owed;
    for (const auto& [number, open] : open_)
        if (open.consumer) owed.push_back(number);
    log_.write(Log::Level::warning, net::now(),
               "stopping: the time is up: %zu requests are answered unfinished, %zu connections open",
               owed.size(), server_.sessions());
    for (const std::uint64_t number : owed) {
        const auto at = open_.find(number);
        if (at == open_.end() || !at->second.consumer) continue;
        const Open& open = at->second;
        const bool sent_on =
            open.ran || std::any_of(open.calls.begin(), open.calls.end(),
                                    [](const auto& call) { return call && call->request_given(); });
        const int status = lifecycle::forced_status(sent_on);
        answer(number, {status, sent_on ? 0 : config_.settings.max_retry_after_s, {}, {}},
               RequestSummary::Result::failed, "stopped");
        let_go(number);
    }
    server_.reject_partial_requests(config_.settings.max_retry_after_s);
}

// Facts. ----------------------------------------------------------------------------------------------

std::uint64_t Ingress::on_request(std::shared_ptr<client::ResponseWriter> consumer,
                                  std::shared_ptr<client::ClientRequest> invocation) {
    last_request_at_ = net::now();
    const bool stopped = shutdown_.rejects_new_requests();
    if (stopped || (config_.max_open_requests > 0 && open_.size() >= config_.max_open_requests)) {
        consumer->write_response({503, config_.settings.max_retry_after_s, {}, {}});
        if (observer_)
            observer_->on_request_end(
                {*invocation,
                 stopped ? RequestSummary::Result::failed : RequestSummary::Result::rejected,
                 stopped ? "stopped" : metrics::kReasons[metrics::kOpenLimit],
                 stopped ? 0 : metrics::kOpenLimit,
                 {},
                 0,
                 net::now() - invocation->arrived_at_s});
        return 0;
    }
    const std::uint64_t number = ++numbers_;
    Open& open = open_[number];
    open.number = number;
    open.id = std::to_string(number);
    open.invocation = std::move(invocation);
    ids_.insert(open.invocation->request_id);
    open.consumer = std::move(consumer);
    open.invocation->response_writer = open.consumer;
    const client::ClientRequest& i = *open.invocation;
    slatejunction::Request request;
    request.id = open.id;
    request.service_class = i.service_class;
    request.plan = i.plan;
    request.units = i.units;
    request.customer = i.customer;
    request.deadline_at_s = i.deadline_at_s;
    request.ingress_count = i.ingress_count;
    request.is_client_retry = i.is_client_retry;
    if (!judges_.empty()) judge(open, request);
    tell(std::move(request));
    return number;
}

void Ingress::on_client_disconnected(std::uint64_t number) {
    const auto at = open_.find(number);
    if (at == open_.end() || !at->second.consumer) return;
    if (observer_) observe(at->second, RequestSummary::Result::failed, "left");
    at->second.consumer.reset();
    let_go(number);
}

void Ingress::let_go(std::uint64_t number) {
    const auto at = open_.find(number);
    if (at == open_.end()) return;
    const std::string id = at->second.id;
    // What has not begun never will, and what has not been written whole never can be, whether or not the
    // settings let calls be called off.
    const auto calls = at->second.calls;
    for (const auto& call : calls)
        if (call && !call->request_given()) call->abandon(AttemptResult::not_started);
    forget_if_over(number);
    tell(slatejunction::ClientDisconnected{id});
}

void Ingress::on_bad_request(int status, std::string_view why) {
    if (observer_) observer_->on_bad_request();
    log_.write(Log::Level::warning, net::now(), "bad request: %d, %.*s", status,
               static_cast<int>(why.size()), why.data());
}

void Ingress::on_accept_error(const char* why) {
    log_.write(Log::Level::warning, net::now(), "accepting failed: %s", why);
}

void Ingress::on_closed(client::Session& session) { server_.forget(session); }

// Each answer may bring the session's next request at once, with all that the module then does: nothing of
// the list of open requests is held over one. What the event tells is taken first.
void Ingress::on_call_end(const backend::AttemptTag& tag, const backend::CallResult& end) {
    Open* const open = find(tag.request);
    if (!open) return;
    open->calls[static_cast<std::size_t>(tag.attempt)].reset();
    --open->out;
    const bool ran = end.result != AttemptResult::connect_failed && end.result != AttemptResult::rejected &&
                     end.result != AttemptResult::not_started;
    open->ran = open->ran || ran;
    slatejunction::AttemptEnded event;
    event.id = open->id;
    event.attempt = tag.attempt;
    event.result = end.bad_request ? AttemptResult::cancelled : end.result;
    event.duration_s = end.duration_s;
    event.write_duration_s = end.write_duration_s;
    event.quota_use = end.quota_use;
    event.report = end.report;
    event.stale_connection = end.reset_before_response && end.idle_s >= 0;
    // Guards against a large request that is told to go on and can't: some of its bytes are gone.
    const bool missing =
        open->invocation->body_streamed && end.result != AttemptResult::ok && !end.bad_request;
    if (observer_) {
        observer_->on_attempt_end(end.result);
        if (end.quota_use > 0) observer_->on_quota_report();
    }
    if (end.client_disconnected && open->consumer) {
        if (observer_) observe(*open, RequestSummary::Result::failed, "left");
        open->consumer.reset();
    }
    // Guards against a provider that looks broken because a consumer sends what it can't use.
    if (end.bad_request) on_bad_request(400, "a provider could not use it");
    if (end.result == AttemptResult::ok) {
        answer(tag.request, {200, 0, end.content_type, end.body, end.rest, end.length},
               RequestSummary::Result::served, "");
    } else if (missing) {
        answer(tag.request, {ran ? 502 : 503, ran ? 0 : kMissingRetry, {}, {}},
               RequestSummary::Result::failed, "lost");
    } else if (end.bad_request) {
        answer(tag.request, {400, 0, {}, {}}, RequestSummary::Result::failed, "turned_down");
    }
    const Open* const left = find(tag.request);
    event.request_ended = !left || !left->consumer;
    forget_if_over(tag.request);
    tell(std::move(event));
}

void Ingress::on_health_check_end(const std::string& provider, const backend::CallResult& end) {
    tell(slatejunction::HealthCheckEnded{provider, end.result, end.duration_s, end.report});
}

void Ingress::on_endpoint_list(discovery::EndpointList& listing) {
    operations_.restore_unread(listing);
    start_times_.resolve(listing, net::now());
    operations_.apply_to(listing);
    const bool first = handover_.role().state() == hot_restart::RestartRole::State::preparing;
    // The pool first: it ends dials to providers that are leaving, before the module sends anything more.
    pool_.update(listing);
    lay_over(listing.update);
    tell(std::move(listing.update));
    if (first) handover_.ready_to_accept();
}

// Operators. ------------------------------------------------------------------------------------------

void Ingress::tell_change(discovery::EndpointList& change) {
    if (change.update.endpoints.empty()) return;
    pool_.update(change);
    lay_over(change.update);
    tell(std::move(change.update));
}

void Ingress::on_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)> reply) {
    for (AdminCallExtension* one : takers_)
        if (one->on_call(call, reply)) return;
    this->call(call, std::move(reply));
}

void Ingress::call(const admin::AdminCall& call, std::function<void(admin::AdminReply)> reply) {
    using What = admin::AdminCall::Kind;
    if (call.kind == What::readyz) return reply(ready_call());
    hot_restart::OperatorOrder order;
    order.id = call.id;
    const char* text = "";
    switch (call.kind) {
        case What::suspend:
            order.kind = hot_restart::OperatorOrder::Kind::suspend;
            text = "suspended";
            break;
        case What::resume:
            order.kind = hot_restart::OperatorOrder::Kind::resume;
            text = "may serve again";
            break;
        case What::drain:
            order.kind = hot_restart::OperatorOrder::Kind::drain;
            text = "drained";
            break;
        case What::activate:
            order.kind = hot_restart::OperatorOrder::Kind::activate;
            text = "active";
            break;
        default:
            return reply({404, "no such call"});
    }
    switch (carry_out(order, false)) {
        case admin::OverrideResult::never_listed:
            return reply({404, "no backend of that id was ever listed"});
        case admin::OverrideResult::too_many:
            return reply({503, "too many backends are suspended"});
        case admin::OverrideResult::done:
            break;
    }
    // The yes counts for both processes during an upgrade.
    handover_.forward_order(order, [reply = std::move(reply), text](bool yes) {
        yes ? reply({200, text})
            : reply({503, "the other process of this upgrade has not confirmed; ask again"});
    });
}

admin::AdminReply Ingress::ready_call() const {
    if (handover_.role().draining()) return {503, "handed over to a new process"};
    if (shutdown_.stop_requested()) return {503, "stopping"};
    if (!handover_.role().accepts()) return {503, "taking over"};
    return {200, operations_.drained() ? "ready, and drained" : "ready"};
}

// Pool and module are told before the yes is given, so that nothing new follows it.
admin::OverrideResult Ingress::carry_out(const hot_restart::OperatorOrder& order, bool from_other) {
    using What = hot_restart::OperatorOrder::Kind;
    const double now = net::now();
    discovery::EndpointList change;
    admin::OverrideResult verdict = admin::OverrideResult::done;
    const char* text = "";
    switch (order.kind) {
        case What::suspend:
            verdict = from_other ? operations_.adopt_suspension(order.id, change)
                                 : operations_.suspend(order.id, change);
            text = "suspended";
            break;
        case What::resume:
            verdict = operations_.resume(order.id, change);
            text = "may serve again";
            break;
        case What::drain:
            text = "drained";
            if (!operations_.drain()) break;
            drained_at_ = now;
            sweep_timer_.arm(now + GracefulShutdown::kCheckIntervalS);
            break;
        case What::activate:
            text = "active";
            operations_.activate();
            break;
    }
    if (verdict != admin::OverrideResult::done) return verdict;
    log_.write(Log::Level::info, now, "operators: %s%s%s%s, %zu suspended in all", order.id.c_str(),
               order.id.empty() ? "" : " ", text, from_other ? " at the other process" : "",
               operations_.suspensions());
    tell_change(change);
    return verdict;
}

// An upgrade. -----------------------------------------------------------------------------------------

hot_restart::RestartMessage Ingress::state() const {
    hot_restart::RestartMessage message;
    message.kind = hot_restart::RestartMessage::Kind::state;
    message.listed = operations_.ever_listed();
    message.suspended = operations_.suspended();
    message.drained = operations_.drained();
    message.resource_use = resource_use();
    message.endpoint_list = operations_.current_list();
    message.endpoint_list.revision = watch_->newest_revision();
    start_times_.restore_stated(message.endpoint_list);
    return message;
}

int Ingress::listening_descriptor() { return server_.descriptor(); }

bool Ingress::on_operator_order(const hot_restart::OperatorOrder& order) {
    const auto verdict = carry_out(order, true);
    return verdict != admin::OverrideResult::too_many;   // one never listed here is not suspended here
}

void Ingress::on_role_changed() {
    const hot_restart::RestartRole& role = handover_.role();
    if (role.draining()) {
        const double now = net::now();
        shutdown_.hand_over(now);
        server_.pause_accepting();
        sweep_timer_.arm(shutdown_.advance_again_at(now));
        for (std::size_t i = 0; i < inheritors_.size(); ++i)
            if (const std::string what = inheritors_[i]->serialize_state(); !what.empty())
                handover_.transfer_state(i, what);
    } else if (role.accepts()) {
        shutdown_.cancel_hand_over();
        server_.resume_accepting();
    }
    pool_.set_max_idle_s(role.draining() ? kHandedIdle : -1);
    share_out();
}

void Ingress::on_transferred_state(std::size_t place, std::string_view what) {
    if (place < inheritors_.size()) inheritors_[place]->restore_state(what);
}

void Ingress::on_peer_resource_use(const hot_restart::ResourceUse& theirs) {
    theirs_ = theirs;
    share_out();
}

// Both processes share one machine's limits until one of them is gone: the old one keeps to a part from the
// moment that a new one comes, and to what it has once that one accepts; the new one takes what is left.
hot_restart::ResourceUse Ingress::resource_use() const {
    hot_restart::ResourceUse mine;
    mine.client_connections = server_.sessions();
    mine.backend_connections = pool_.connections();
    mine.open_requests = open_.size();
    mine.client_bytes = consumer_bytes_.used();
    mine.backend_bytes = provider_bytes_.used();
    if (handover_.role().state() == hot_restart::RestartRole::State::takeover_requested ||
        handover_.role().state() == hot_restart::RestartRole::State::alone) {
        const auto part = [](std::size_t all) { return all - all / kHeirPart; };
        mine.client_connections = std::max(mine.client_connections, part(consumers_of(config_)));
        mine.backend_connections =
            std::max(mine.backend_connections, part(limits_of(config_).max_connections));
    }
    return mine;
}

void Ingress::share_out() {
    const hot_restart::RestartRole& role = handover_.role();
    std::size_t consumers = consumers_of(config_), calls = limits_of(config_).max_connections;
    std::size_t bytes = bytes_of(config_), provider_bytes = bytes;
    const auto rest = [](std::size_t all, std::size_t theirs) {
        return std::max(all / kHeirPart / 2, all - std::min(all, theirs));
    };
    if (role.paired()) consumers -= admin_of(config_);   // that of the other process
    if (role.is_old_process()) {
        consumers -= consumers / kHeirPart;
        calls -= calls / kHeirPart;
    } else if (role.paired()) {
        consumers = rest(consumers, theirs_.client_connections);
        calls = rest(calls, theirs_.backend_connections);
        bytes = rest(bytes, theirs_.client_bytes);
        provider_bytes = rest(provider_bytes, theirs_.backend_bytes);
    }
    if (role.draining()) calls = std::min(calls, pool_.connections() + kHandedCalls);
    server_.set_max_sessions(consumers);
    pool_.set_max_connections(calls);
    consumer_bytes_.set_limit(bytes);
    provider_bytes_.set_limit(provider_bytes);
}

void Ingress::on_admin_error(const char* why) {
    log_.write(Log::Level::warning, net::now(), "operators' address: accepting failed: %s", why);
}

// Calls follow one another quickly while discovery is away: a line for each would crowd out all others.
void Ingress::on_watch_lost(const char* why) {
    const double now = net::now();
    if (now - lost_told_at_ >= (lost_why_ == why ? kLostEvery : kLostEvery / 5)) {
        log_.write(Log::Level::warning, now, "directory: %s", why);
        lost_why_ = why;
        lost_told_at_ = now;
    }
    tell(slatejunction::EndpointUpdate{slatejunction::EndpointUpdateKind::watch_lost, {}});
}

void Ingress::timers_due() {
    const double now = net::now();
    // As many as there are now: what they set for the past waits for the loop's next round.
    for (std::size_t left = due_.size(); left > 0 && due_.top().due <= now; --left) {
        const std::uint64_t tag = due_.top().tag;
        due_.pop();
        tell(slatejunction::TimerFired{tag});
    }
    if (!due_.empty()) module_timer_.arm(due_.top().due);
}

// The module. -----------------------------------------------------------------------------------------

// Carrying out an action may bring the next event at once, such as a dial that fails: it waits its turn, as
// the module is told one event at a time and its actions keep their order.
void Ingress::tell(slatejunction::Event event) {
    events_.push_back(std::move(event));
    if (telling_) return;
    telling_ = true;
    while (!events_.empty()) {
        const slatejunction::Event next = std::move(events_.front());
        events_.pop_front();
        actions_.clear();
        gateway_.handle(net::now(), next, actions_);
        for (const slatejunction::Action& action : actions_) carry_out(action);
    }
    telling_ = false;
}

void Ingress::carry_out(const slatejunction::Action& action) {
    std::visit([this](const auto& one) { carry_out(one); }, action);
}

Ingress::Open* Ingress::find(const std::string& id) {
    std::uint64_t number = 0;
    std::from_chars(id.data(), id.data() + id.size(), number);
    return find(number);
}

Ingress::Open* Ingress::find(std::uint64_t number) {
    const auto at = open_.find(number);
    return at == open_.end() ? nullptr : &at->second;
}

void Ingress::carry_out(const slatejunction::StartAttempt& send) {
    Open* open = find(send.id);
    if (!open) return;
    const backend::AttemptTag tag{open->number, static_cast<std::int64_t>(open->calls.size())};
    const double now = net::now();
    const double due = open->invocation->deadline_at_s;
    const double until = send.timeout_s > 0 ? std::min(due, now + send.timeout_s) : due;
    open->calls.emplace_back();
    ++open->out;
    if (observer_) open->provider = send.backend;
    if (open->judged > 0 && tag.attempt == 0)
        for (std::size_t i = 0; i < open->judged; ++i)
            judges_[i]->on_first_attempt(*open->invocation, open->marks[i], send.used_fallback);
    const double begin_by = send.start_by_s > 0 ? send.start_by_s : backend::ConnectionPool::kNever;
    const auto call = pool_.start_call(send.backend, tag, open->invocation, until, begin_by);
    open = find(tag.request);   // the call may have ended, and the request with it
    if (open && call) open->calls[static_cast<std::size_t>(tag.attempt)] = call;
}

void Ingress::carry_out(const slatejunction::CancelAttempt& call_off) {
    Open* open = find(call_off.id);
    if (!open || call_off.attempt < 0 || static_cast<std::size_t>(call_off.attempt) >= open->calls.size())
        return;
    const auto call = open->calls[static_cast<std::size_t>(call_off.attempt)];
    if (call) call->abandon(AttemptResult::cancelled);
}

void Ingress::carry_out(const slatejunction::RejectRequest& refuse) {
    Open* const open = find(refuse.id);
    if (!open) return;
    const std::uint64_t number = open->number;
    if (open->consumer) {
        // A quota kept here is a limit to the module.
        auto reason = refuse.reason;
        if (reason == slatejunction::RejectReason::rate_limit && open->judged > 0)
            reason = judges_[open->over]->on_rate_limited(open->marks[open->over]);
        const auto refusal = static_cast<std::size_t>(reason);
        answer(number, {503, refuse.retry_after_s, {}, {}}, RequestSummary::Result::rejected,
               metrics::kReasons[refusal], refusal);
    }
    forget_if_over(number);
}

void Ingress::carry_out(const slatejunction::FailRequest& abort) {
    const Open* const open = find(abort.id);
    if (!open) return;
    const std::uint64_t number = open->number;
    const bool late = open->invocation->deadline_at_s - net::now() < kNearDue;
    answer(number, {late ? 504 : 502, 0, {}, {}}, RequestSummary::Result::failed, late ? "due" : "lost");
    forget_if_over(number);
}

void Ingress::carry_out(const slatejunction::SetTimer& timer) {
    // One that is no number would stay at the front and keep all others from coming.
    const double due = std::isnan(timer.fire_at_s) ? net::now() : timer.fire_at_s;
    due_.push({due, timer.tag});
    if (due_.top().due >= due) module_timer_.arm(due);
}

void Ingress::carry_out(const slatejunction::StartHealthCheck& probe) {
    pool_.start_health_check(probe.backend,
                             config_.settings.report_fields.empty() ? "/health/live" : "/stats");
}

void Ingress::carry_out(const slatejunction::WatchEndpoints& listen) {
    if (listen.enabled) watch_->poll_now();
}

void Ingress::carry_out(const slatejunction::LogMessage& note) {
    log_.write(Log::Level::info, net::now(), "module: %s", note.text.c_str());
}

void Ingress::carry_out(const slatejunction::AdmittedFraction& admitted) {
    if (observer_ && admitted.subset == 0) observer_->on_admitted_fraction(admitted.fraction);
}

void Ingress::observe(const Open& open, RequestSummary::Result how, std::string_view reason,
                      std::size_t refusal) {
    RequestSummary finish{*open.invocation,
                          how,
                          reason,
                          refusal,
                          open.provider,
                          open.calls.size(),
                          net::now() - open.invocation->arrived_at_s};
    for (std::size_t i = 0; i < open.judged && finish.tags.empty(); ++i)
        finish.tags = judges_[i]->tags(open.marks[i]);
    observer_->on_request_end(finish);
}

// Parts. ----------------------------------------------------------------------------------------------

bool Ingress::wants_headers() const {
    return std::any_of(judges_.begin(), judges_.end(),
                       [](const RequestFilter* one) { return one->wants_headers(); });
}

void Ingress::judge(Open& open, slatejunction::Request& request) {
    for (std::size_t i = 0; i < judges_.size(); ++i) {
        const double wait = request.rate_limit_retry_after_s;
        judges_[i]->on_request(*open.invocation, request, open.marks[i]);
        if (request.rate_limit_retry_after_s > wait) open.over = i;
    }
    open.judged = judges_.size();
    open.invocation->headers = {};
}

void Ingress::lay_over(slatejunction::EndpointUpdate& list) {
    for (EndpointListFilter* one : overlays_) one->apply_to(net::now(), list);
}

void Ingress::update_endpoints(slatejunction::EndpointUpdate list) {
    if (!list.endpoints.empty()) tell(std::move(list));
}

Gauges Ingress::gauges() const {
    Gauges now;
    now.open_requests = open_.size();
    now.client_connections = server_.sessions();
    now.backend_connections = pool_.connections();
    now.serving_backends = pool_.serving_backends();
    now.draining_backends = pool_.backends() - now.serving_backends;
    now.client_bytes = consumer_bytes_.used();
    now.backend_bytes = provider_bytes_.used();
    now.client_bytes_limit = consumer_bytes_.limit();
    now.backend_bytes_limit = provider_bytes_.limit();
    now.descriptors =
        now.client_connections + now.backend_connections + kReserve + (admin_ ? admin_->sessions() : 0);
    now.descriptors_limit = config_.sockets;
    now.memory_limit_bytes = config_.memory_mb * 1024 * 1024;
    now.last_discovery_answer_at = watch_->last_answer_at();
    return now;
}

// Nothing of open_ may be held over it. It is counted before it is given, so that what was answered has
// been counted even if the program is killed.
void Ingress::answer(std::uint64_t number, const client::Response& answer, RequestSummary::Result how,
                     std::string_view reason, std::size_t refusal) {
    Open* const open = find(number);
    if (!open || !open->consumer) return;
    if (observer_) observe(*open, how, reason, refusal);
    const auto consumer = std::exchange(open->consumer, nullptr);
    consumer->write_response(answer);
}

void Ingress::forget_if_over(std::uint64_t number) {
    const auto at = open_.find(number);
    if (at == open_.end() || at->second.consumer || at->second.out > 0) return;
    for (std::size_t i = 0; i < at->second.judged; ++i)
        judges_[i]->on_request_end(*at->second.invocation, at->second.marks[i]);
    ids_.erase(at->second.invocation->request_id);
    open_.erase(at);
}

}   // namespace slatejunction::ingress
