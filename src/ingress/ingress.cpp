#include "ingress/ingress.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "metrics/reasons.hpp"

namespace slatejunction::ingress {

using lifecycle::Shutdown;
using slatejunction::Outcome;

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
static_assert(hot_restart::Handover::asks_within() + kPrepareAnew < kNewProcess - 0.5);
constexpr double kRestart = 30.0;       // s; until a process that was killed must serve again
constexpr double kListenPause = 0.25;   // s; before an address is tried again
static_assert(hot_restart::Handover::asks_within() + Ingress::listens_within() < kRestart - 5);
constexpr std::size_t kAdminMost = 48, kAdminPart = 12;   // operators' connections; of all descriptors
constexpr double kMissingRetry = 0.5;   // s; Retry-After of a large request that can't be sent again here
constexpr double kNearDue = 0.05;       // s; an abort so near to the due time is a time-out

backend::PoolLimits limits_of(const config::Config& config) {
    return {(config.sockets - kReserve) * 2 / 5, config.dial_timeout_s, config.keepalive_s};
}

std::size_t admin_of(const config::Config& config) {
    return config.admin.empty() ? 0 : std::min(kAdminMost, config.sockets / kAdminPart);
}

std::size_t consumers_of(const config::Config& config) {
    return config.sockets - kReserve - limits_of(config).connections - admin_of(config);
}

std::size_t bytes_of(const config::Config& config) {
    return static_cast<std::size_t>(kMemoryPart * std::min(config.memory_mb, kMemoryMost) * 1024 * 1024);
}

}   // namespace

struct Ingress::WatchLink : discovery::Watch {
    WatchLink(discovery::WatchHost& host, net::Timers& timers, const discovery::UnixClock& clock,
              const std::string& authority, std::uint64_t seed)
        : Watch(host, timers, clock, authority, seed), address(net::parse_address(authority)) {
        attach(stream, [this] { return stream.dial(address.get()); });
    }
    net::Address address;
    // News go before what clients ask: among hundreds of connections that are ready a drain would wait its
    // turn while more is sent there.
    net::Stream stream{*this, G_PRIORITY_HIGH};
};

Ingress::Ingress(config::Config config, const discovery::UnixClock& clock, net::Timers& timers, Log& log,
                 std::function<void()> done, Observer* observer)
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
      prepare_timer_(timers_, [this] { handover_.prepared(); }),
      watch_(std::make_shared<WatchLink>(static_cast<discovery::WatchHost&>(*this), timers_, clock,
                                         config_.directory, config_.seed)) {
    if (!config_.admin.empty())
        admin_ =
            std::make_unique<admin::Server>(static_cast<admin::Host&>(*this), timers_, admin_of(config_));
}

// What is open still ends here for those who keep something of it.
Ingress::~Ingress() {
    for (const auto& [number, open] : open_)
        for (std::size_t i = 0; i < open.judged; ++i) judges_[i]->ended(*open.invocation, open.marks[i]);
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
    hot_restart::Message state;
    net::Ref<GSocket> listening;
    bool listed = false;
    const bool heir = handover_.ask(state, listening);
    if (heir) server_.adopt(std::move(listening));
    if (!listen_in_time(why, pause)) return false;
    if (heir) {
        listed = take_over_list(state.list);
        discovery::Listing change;
        for (const std::string& id : state.listed) operations_.remember(id);
        for (const std::string& id : state.suspended) operations_.impose(id, change);
        if (state.drained && operations_.drain()) drained_at_ = net::now();
        theirs_ = state.use;
        share_out();
        prepare_timer_.arm(net::now() + (config_.known.update.entries.empty() ? kPrepareAnew : kPrepare));
    }
    if (!listed) start_times_.settle_copy(config_.known, net::now());
    operations_.lay_over(config_.known);
    pool_.update(config_.known);
    slatejunction::ListUpdate known = config_.known.update;
    lay_over(known);
    tell(std::move(known));
    watch_->start(config_.known.revision);
    handover_.start();
    sweep_timer_.arm(net::now() + kSweepEvery);
    log_.write(Log::Level::info, net::now(), "serving: %s at %s, %zu providers known", config_.name.c_str(),
               config_.listen.c_str(), config_.known.update.entries.size());
    return true;
}

// What the old process was told is in force here before anything is sent on, and the file's copy is older:
// the two count as one ingress, and discovery may be silent now.
bool Ingress::take_over_list(discovery::Listing& list) {
    if (list.update.entries.empty()) return false;
    for (slatejunction::ListEntry& entry : list.update.entries)
        entry.born_s = std::min(entry.born_s, net::now());
    list.update.kind = slatejunction::ListKind::warm_copy;
    start_times_.adopt(list);
    config_.known = std::move(list);
    return true;
}

void Ingress::stop() {
    if (shutdown_.told()) return;
    const double now = net::now();
    shutdown_.tell(now);
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
    waits(fresh.settings != config_.settings || fresh.max_open != config_.max_open ||
              fresh.dial_timeout_s != config_.dial_timeout_s || fresh.keepalive_s != config_.keepalive_s,
          "settings");
    log_.write(Log::Level::info, net::now(), "reloaded: discovery %s%s%s%s", fresh.directory.c_str(),
               later.empty() ? "" : "; after the next start: ", later.c_str(),
               fresh.directory == config_.directory ? "" : "; the watch moves there");
    if (fresh.directory == config_.directory) return;
    // The list stays in force and the new watch goes on from its version, so that nothing is told twice or
    // missed; the file's own list is not taken, as it may be older.
    config_.directory = fresh.directory;
    const auto newest = watch_->newest();
    watch_ = std::make_shared<WatchLink>(static_cast<discovery::WatchHost&>(*this), timers_, clock_,
                                         config_.directory, config_.seed);
    watch_->start(newest, true);
}

void Ingress::sweep() {
    const double now = net::now();
    log_.drain();
    server_.sweep(now);
    pool_.sweep(now);
    if (admin_) admin_->sweep(now);
    const bool drained = operations_.drained();
    if (drained && now - drained_at_ > Shutdown::kStillComingS) server_.end_idle(now, Shutdown::kQuietS);
    if (shutdown_.leaves()) {
        if (wind_down(now)) return;
        return sweep_timer_.arm(shutdown_.advance_again_at(now));
    }
    sweep_timer_.arm(now + (drained ? Shutdown::kLookEveryS : kSweepEvery));
}

bool Ingress::wind_down(double now) {
    if (const auto most_s = shutdown_.idle_most_s(now)) server_.end_idle(now, *most_s);
    for (;;) {
        const auto census = server_.census();
        switch (shutdown_.advance({now, handover_.role().leaves(), server_.sessions(), census.in_use,
                                   last_request_at_, census.last_unknown_at})) {
            case Shutdown::Act::none:
                return false;
            case Shutdown::Act::refuse_new:
                if (!handover_.role().paired()) server_.refuse_new();
                break;
            case Shutdown::Act::stop_listening:
                server_.take_waiting_and_stop();
                break;
            case Shutdown::Act::answer_owed:
                answer_owed();
                break;
            case Shutdown::Act::end:
                server_.stop();
                server_.end_all();
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
                                    [](const auto& call) { return call && call->complete(); });
        const int status = lifecycle::forced_status(sent_on);
        answer(number, {status, sent_on ? 0 : config_.settings.max_retry_after_s, {}, {}},
               Finish::How::failed, "stopped");
        let_go(number);
    }
    server_.turn_away(config_.settings.max_retry_after_s);
}

// Facts. ----------------------------------------------------------------------------------------------

std::uint64_t Ingress::on_invocation(std::shared_ptr<client::Consumer> consumer,
                                     std::shared_ptr<client::Invocation> invocation) {
    last_request_at_ = net::now();
    const bool stopped = shutdown_.turns_away();
    if (stopped || (config_.max_open > 0 && open_.size() >= config_.max_open)) {
        consumer->answer({503, config_.settings.max_retry_after_s, {}, {}});
        if (observer_)
            observer_->on_finish({*invocation,
                                  stopped ? Finish::How::failed : Finish::How::refused,
                                  stopped ? "stopped" : metrics::kReasons[metrics::kOpenLimit],
                                  stopped ? 0 : metrics::kOpenLimit,
                                  {},
                                  0,
                                  net::now() - invocation->arrived});
        return 0;
    }
    const std::uint64_t number = ++numbers_;
    Open& open = open_[number];
    open.number = number;
    open.id = std::to_string(number);
    open.invocation = std::move(invocation);
    ids_.insert(open.invocation->request_id);
    open.consumer = std::move(consumer);
    open.invocation->asker = open.consumer;
    const client::Invocation& i = *open.invocation;
    slatejunction::Request request;
    request.id = open.id;
    request.service_class = i.service_class;
    request.plan = i.plan;
    request.units = i.units;
    request.customer = i.customer;
    request.due_s = i.due;
    request.doors = i.doors;
    request.repeat = i.repeat;
    if (!judges_.empty()) judge(open, request);
    tell(std::move(request));
    return number;
}

void Ingress::on_left(std::uint64_t number) {
    const auto at = open_.find(number);
    if (at == open_.end() || !at->second.consumer) return;
    if (observer_) observe(at->second, Finish::How::failed, "left");
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
        if (call && !call->complete()) call->abandon(Outcome::moot);
    forget_if_over(number);
    tell(slatejunction::ClientGone{id});
}

void Ingress::on_bad_request(int status, std::string_view why) {
    if (observer_) observer_->on_bad();
    log_.write(Log::Level::warning, net::now(), "bad request: %d, %.*s", status,
               static_cast<int>(why.size()), why.data());
}

void Ingress::on_accept_failed(const char* why) {
    log_.write(Log::Level::warning, net::now(), "accepting failed: %s", why);
}

void Ingress::on_closed(client::Session& session) { server_.forget(session); }

// Each answer may bring the session's next request at once, with all that the module then does: nothing of
// the list of open requests is held over one. What the event tells is taken first.
void Ingress::on_call_end(const backend::CallTag& tag, const backend::CallEnd& end) {
    Open* const open = find(tag.invocation);
    if (!open) return;
    open->calls[static_cast<std::size_t>(tag.attempt)].reset();
    --open->out;
    const bool ran = end.outcome != Outcome::connect_failed && end.outcome != Outcome::full &&
                     end.outcome != Outcome::moot;
    open->ran = open->ran || ran;
    slatejunction::AttemptEnd event;
    event.id = open->id;
    event.attempt = tag.attempt;
    event.outcome = end.consumers_fault ? Outcome::cancelled : end.outcome;
    event.took_s = end.took_s;
    event.written_s = end.written_s;
    event.quota_use = end.quota_use;
    event.report = end.report;
    event.stale = end.broke && end.idle_s >= 0;
    // Guards against a large request that is told to go on and can't: some of its bytes are gone.
    const bool missing = open->invocation->passed && end.outcome != Outcome::ok && !end.consumers_fault;
    if (observer_) {
        observer_->on_attempt(end.outcome);
        if (end.quota_use > 0) observer_->on_quota_report();
    }
    if (end.left && open->consumer) {
        if (observer_) observe(*open, Finish::How::failed, "left");
        open->consumer.reset();
    }
    // Guards against a provider that looks broken because a consumer sends what it can't use.
    if (end.consumers_fault) on_bad_request(400, "a provider could not use it");
    if (end.outcome == Outcome::ok) {
        answer(tag.invocation, {200, 0, end.content_type, end.body, end.rest, end.length},
               Finish::How::served, "");
    } else if (missing) {
        answer(tag.invocation, {ran ? 502 : 503, ran ? 0 : kMissingRetry, {}, {}}, Finish::How::failed,
               "lost");
    } else if (end.consumers_fault) {
        answer(tag.invocation, {400, 0, {}, {}}, Finish::How::failed, "turned_down");
    }
    const Open* const left = find(tag.invocation);
    event.ended = !left || !left->consumer;
    forget_if_over(tag.invocation);
    tell(std::move(event));
}

void Ingress::on_probe_end(const std::string& provider, const backend::CallEnd& end) {
    tell(slatejunction::ProbeEnd{provider, end.outcome, end.took_s, end.report});
}

void Ingress::on_listing(discovery::Listing& listing) {
    operations_.restore_unread(listing);
    start_times_.settle(listing, net::now());
    operations_.lay_over(listing);
    const bool first = handover_.role().state() == hot_restart::Role::State::preparing;
    // The pool first: it ends dials to providers that are leaving, before the module sends anything more.
    pool_.update(listing);
    lay_over(listing.update);
    tell(std::move(listing.update));
    if (first) handover_.prepared();
}

// Operators. ------------------------------------------------------------------------------------------

void Ingress::tell_change(discovery::Listing& change) {
    if (change.update.entries.empty()) return;
    pool_.update(change);
    lay_over(change.update);
    tell(std::move(change.update));
}

void Ingress::on_call(const admin::Call& call, std::function<void(admin::Reply)> reply) {
    for (CallTaker* one : takers_)
        if (one->on_call(call, reply)) return;
    this->call(call, std::move(reply));
}

void Ingress::call(const admin::Call& call, std::function<void(admin::Reply)> reply) {
    using What = admin::Call::What;
    if (call.what == What::readyz) return reply(ready_call());
    hot_restart::Order order;
    order.id = call.id;
    const char* text = "";
    switch (call.what) {
        case What::suspend:
            order.what = hot_restart::Order::What::suspend;
            text = "suspended";
            break;
        case What::resume:
            order.what = hot_restart::Order::What::resume;
            text = "may serve again";
            break;
        case What::drain:
            order.what = hot_restart::Order::What::drain;
            text = "drained";
            break;
        case What::activate:
            order.what = hot_restart::Order::What::activate;
            text = "active";
            break;
        default:
            return reply({404, "no such call"});
    }
    switch (carry_out(order, false)) {
        case admin::Verdict::never_listed:
            return reply({404, "no backend of that id was ever listed"});
        case admin::Verdict::too_many:
            return reply({503, "too many backends are suspended"});
        case admin::Verdict::done:
            break;
    }
    // The yes counts for both processes during an upgrade.
    handover_.pass(order, [reply = std::move(reply), text](bool yes) {
        yes ? reply({200, text})
            : reply({503, "the other process of this upgrade has not confirmed; ask again"});
    });
}

admin::Reply Ingress::ready_call() const {
    if (handover_.role().leaves()) return {503, "handed over to a new process"};
    if (shutdown_.told()) return {503, "stopping"};
    if (!handover_.role().accepts()) return {503, "taking over"};
    return {200, operations_.drained() ? "ready, and drained" : "ready"};
}

// Pool and module are told before the yes is given, so that nothing new follows it.
admin::Verdict Ingress::carry_out(const hot_restart::Order& order, bool from_other) {
    using What = hot_restart::Order::What;
    const double now = net::now();
    discovery::Listing change;
    admin::Verdict verdict = admin::Verdict::done;
    const char* text = "";
    switch (order.what) {
        case What::suspend:
            verdict =
                from_other ? operations_.impose(order.id, change) : operations_.suspend(order.id, change);
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
            sweep_timer_.arm(now + Shutdown::kLookEveryS);
            break;
        case What::activate:
            text = "active";
            operations_.activate();
            break;
    }
    if (verdict != admin::Verdict::done) return verdict;
    log_.write(Log::Level::info, now, "operators: %s%s%s%s, %zu suspended in all", order.id.c_str(),
               order.id.empty() ? "" : " ", text, from_other ? " at the other process" : "",
               operations_.suspensions());
    tell_change(change);
    return verdict;
}

// An upgrade. -----------------------------------------------------------------------------------------

hot_restart::Message Ingress::state() const {
    hot_restart::Message message;
    message.what = hot_restart::Message::What::state;
    message.listed = operations_.ever_listed();
    message.suspended = operations_.suspended();
    message.drained = operations_.drained();
    message.use = use();
    message.list = operations_.listed();
    message.list.revision = watch_->newest();
    start_times_.state(message.list);
    return message;
}

int Ingress::listening_descriptor() { return server_.descriptor(); }

bool Ingress::on_order(const hot_restart::Order& order) {
    const auto verdict = carry_out(order, true);
    return verdict != admin::Verdict::too_many;   // one never listed here is not suspended here
}

void Ingress::on_role() {
    const hot_restart::Role& role = handover_.role();
    if (role.leaves()) {
        const double now = net::now();
        shutdown_.hand_over(now);
        server_.hold();
        sweep_timer_.arm(shutdown_.advance_again_at(now));
        for (std::size_t i = 0; i < inheritors_.size(); ++i)
            if (const std::string what = inheritors_[i]->give(); !what.empty()) handover_.give(i, what);
    } else if (role.accepts()) {
        shutdown_.take_back();
        server_.go_on();
    }
    pool_.set_idle_most(role.leaves() ? kHandedIdle : -1);
    share_out();
}

void Ingress::on_part(std::size_t place, std::string_view what) {
    if (place < inheritors_.size()) inheritors_[place]->on_given(what);
}

void Ingress::on_use(const hot_restart::Use& theirs) {
    theirs_ = theirs;
    share_out();
}

// Both processes share one machine's limits until one of them is gone: the old one keeps to a part from the
// moment that a new one comes, and to what it has once that one accepts; the new one takes what is left.
hot_restart::Use Ingress::use() const {
    hot_restart::Use mine;
    mine.consumers = server_.sessions();
    mine.calls = pool_.connections();
    mine.open = open_.size();
    mine.consumer_bytes = consumer_bytes_.used();
    mine.provider_bytes = provider_bytes_.used();
    if (handover_.role().state() == hot_restart::Role::State::asked ||
        handover_.role().state() == hot_restart::Role::State::alone) {
        const auto part = [](std::size_t all) { return all - all / kHeirPart; };
        mine.consumers = std::max(mine.consumers, part(consumers_of(config_)));
        mine.calls = std::max(mine.calls, part(limits_of(config_).connections));
    }
    return mine;
}

void Ingress::share_out() {
    const hot_restart::Role& role = handover_.role();
    std::size_t consumers = consumers_of(config_), calls = limits_of(config_).connections;
    std::size_t bytes = bytes_of(config_), provider_bytes = bytes;
    const auto rest = [](std::size_t all, std::size_t theirs) {
        return std::max(all / kHeirPart / 2, all - std::min(all, theirs));
    };
    if (role.paired()) consumers -= admin_of(config_);   // that of the other process
    if (role.elder()) {
        consumers -= consumers / kHeirPart;
        calls -= calls / kHeirPart;
    } else if (role.paired()) {
        consumers = rest(consumers, theirs_.consumers);
        calls = rest(calls, theirs_.calls);
        bytes = rest(bytes, theirs_.consumer_bytes);
        provider_bytes = rest(provider_bytes, theirs_.provider_bytes);
    }
    if (role.leaves()) calls = std::min(calls, pool_.connections() + kHandedCalls);
    server_.set_most(consumers);
    pool_.set_most(calls);
    consumer_bytes_.set_most(bytes);
    provider_bytes_.set_most(provider_bytes);
}

void Ingress::on_admin_trouble(const char* why) {
    log_.write(Log::Level::warning, net::now(), "operators' address: accepting failed: %s", why);
}

// Calls follow one another quickly while discovery is away: a line for each would crowd out all others.
void Ingress::on_lost(const char* why) {
    const double now = net::now();
    if (now - lost_told_at_ >= (lost_why_ == why ? kLostEvery : kLostEvery / 5)) {
        log_.write(Log::Level::warning, now, "directory: %s", why);
        lost_why_ = why;
        lost_told_at_ = now;
    }
    tell(slatejunction::ListUpdate{slatejunction::ListKind::lost, {}});
}

void Ingress::timers_due() {
    const double now = net::now();
    // As many as there are now: what they set for the past waits for the loop's next round.
    for (std::size_t left = due_.size(); left > 0 && due_.top().due <= now; --left) {
        const std::uint64_t tag = due_.top().tag;
        due_.pop();
        tell(slatejunction::TimerDue{tag});
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

void Ingress::carry_out(const slatejunction::Send& send) {
    Open* open = find(send.id);
    if (!open) return;
    const backend::CallTag tag{open->number, static_cast<std::int64_t>(open->calls.size())};
    const double now = net::now();
    const double due = open->invocation->due;
    const double until = send.allow_s > 0 ? std::min(due, now + send.allow_s) : due;
    open->calls.emplace_back();
    ++open->out;
    if (observer_) open->provider = send.server;
    if (open->judged > 0 && tag.attempt == 0)
        for (std::size_t i = 0; i < open->judged; ++i)
            judges_[i]->sent(*open->invocation, open->marks[i], send.spilled);
    const double begin_by = send.begin_by_s > 0 ? send.begin_by_s : backend::Pool::kNever;
    const auto call = pool_.call(send.server, tag, open->invocation, until, begin_by);
    open = find(tag.invocation);   // the call may have ended, and the request with it
    if (open && call) open->calls[static_cast<std::size_t>(tag.attempt)] = call;
}

void Ingress::carry_out(const slatejunction::CallOff& call_off) {
    Open* open = find(call_off.id);
    if (!open || call_off.attempt < 0 || static_cast<std::size_t>(call_off.attempt) >= open->calls.size())
        return;
    const auto call = open->calls[static_cast<std::size_t>(call_off.attempt)];
    if (call) call->abandon(Outcome::cancelled);
}

void Ingress::carry_out(const slatejunction::Refuse& refuse) {
    Open* const open = find(refuse.id);
    if (!open) return;
    const std::uint64_t number = open->number;
    if (open->consumer) {
        // A quota kept here is a limit to the module.
        auto reason = refuse.reason;
        if (reason == slatejunction::Reason::limit && open->judged > 0)
            reason = judges_[open->over]->refused(open->marks[open->over]);
        const auto refusal = static_cast<std::size_t>(reason);
        answer(number, {503, refuse.retry_after_s, {}, {}}, Finish::How::refused,
               metrics::kReasons[refusal], refusal);
    }
    forget_if_over(number);
}

void Ingress::carry_out(const slatejunction::Abort& abort) {
    const Open* const open = find(abort.id);
    if (!open) return;
    const std::uint64_t number = open->number;
    const bool late = open->invocation->due - net::now() < kNearDue;
    answer(number, {late ? 504 : 502, 0, {}, {}}, Finish::How::failed, late ? "due" : "lost");
    forget_if_over(number);
}

void Ingress::carry_out(const slatejunction::SetTimer& timer) {
    // One that is no number would stay at the front and keep all others from coming.
    const double due = std::isnan(timer.due_s) ? net::now() : timer.due_s;
    due_.push({due, timer.tag});
    if (due_.top().due >= due) module_timer_.arm(due);
}

void Ingress::carry_out(const slatejunction::Probe& probe) {
    pool_.probe(probe.server, config_.settings.report_fields.empty() ? "/health/live" : "/stats");
}

void Ingress::carry_out(const slatejunction::Listen& listen) {
    if (listen.on) watch_->ask_soon();
}

void Ingress::carry_out(const slatejunction::Note& note) {
    log_.write(Log::Level::info, net::now(), "module: %s", note.text.c_str());
}

void Ingress::carry_out(const slatejunction::Admitted& admitted) {
    if (observer_ && admitted.subset == 0) observer_->on_admitted(admitted.fraction);
}

void Ingress::observe(const Open& open, Finish::How how, std::string_view reason, std::size_t refusal) {
    Finish finish{*open.invocation,
                  how,
                  reason,
                  refusal,
                  open.provider,
                  open.calls.size(),
                  net::now() - open.invocation->arrived};
    for (std::size_t i = 0; i < open.judged && finish.tags.empty(); ++i)
        finish.tags = judges_[i]->tags(open.marks[i]);
    observer_->on_finish(finish);
}

// Parts. ----------------------------------------------------------------------------------------------

bool Ingress::wants_headers() const {
    return std::any_of(judges_.begin(), judges_.end(),
                       [](const Judge* one) { return one->wants_headers(); });
}

void Ingress::judge(Open& open, slatejunction::Request& request) {
    for (std::size_t i = 0; i < judges_.size(); ++i) {
        const double wait = request.over_limit_s;
        judges_[i]->judge(*open.invocation, request, open.marks[i]);
        if (request.over_limit_s > wait) open.over = i;
    }
    open.judged = judges_.size();
    open.invocation->headers = {};
}

void Ingress::lay_over(slatejunction::ListUpdate& list) {
    for (Overlay* one : overlays_) one->lay_over(net::now(), list);
}

void Ingress::hear(slatejunction::ListUpdate list) {
    if (!list.entries.empty()) tell(std::move(list));
}

Gauges Ingress::gauges() const {
    Gauges now;
    now.open = open_.size();
    now.consumers = server_.sessions();
    now.calls = pool_.connections();
    now.ready = pool_.ready();
    now.draining = pool_.providers() - now.ready;
    now.consumer_bytes = consumer_bytes_.used();
    now.provider_bytes = provider_bytes_.used();
    now.consumer_budget = consumer_bytes_.most();
    now.provider_budget = provider_bytes_.most();
    now.descriptors = now.consumers + now.calls + kReserve + (admin_ ? admin_->sessions() : 0);
    now.descriptors_limit = config_.sockets;
    now.memory_limit_bytes = config_.memory_mb * 1024 * 1024;
    now.directory_heard_at = watch_->heard_at();
    return now;
}

// Nothing of open_ may be held over it. It is counted before it is given, so that what was answered has
// been counted even if the program is killed.
void Ingress::answer(std::uint64_t number, const client::Answer& answer, Finish::How how,
                     std::string_view reason, std::size_t refusal) {
    Open* const open = find(number);
    if (!open || !open->consumer) return;
    if (observer_) observe(*open, how, reason, refusal);
    const auto consumer = std::exchange(open->consumer, nullptr);
    consumer->answer(answer);
}

void Ingress::forget_if_over(std::uint64_t number) {
    const auto at = open_.find(number);
    if (at == open_.end() || at->second.consumer || at->second.out > 0) return;
    for (std::size_t i = 0; i < at->second.judged; ++i)
        judges_[i]->ended(*at->second.invocation, at->second.marks[i]);
    ids_.erase(at->second.invocation->request_id);
    open_.erase(at);
}

}   // namespace slatejunction::ingress
