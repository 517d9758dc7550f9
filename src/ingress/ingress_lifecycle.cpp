// Ingress: start, reload, stop and periodic work.
#include <utility>

#include "ingress/ingress.hpp"

namespace slatejunction::ingress {

using lifecycle::GracefulShutdown;

namespace {

constexpr double kSweepIntervalS = 0.2;
constexpr double kListenRetryIntervalS = 0.25;
// A new process's wait for discovery's list before it accepts: with a list in force already, and without.
constexpr double kPrepareS = 0.3;
constexpr double kPrepareWithoutListS = 2.0;
constexpr double kNewProcessReadyS = 6.0;   // a new process has to accept within that
static_assert(hot_restart::RestartChannel::takeover_bound_s() + kPrepareWithoutListS <
              kNewProcessReadyS - 0.5);
constexpr double kRestartAfterKillS = 30.0;   // a process that was killed has to serve again within that
static_assert(hot_restart::RestartChannel::takeover_bound_s() + Ingress::listen_retry_bound_s() <
              kRestartAfterKillS - 5);

}   // namespace

// Start. -------------------------------------------------------------------------------------------------

bool Ingress::start(std::string& why, const std::function<bool(double)>& pause) {
    dispatcher_.handle_event(slatejunction::Start{});
    hot_restart::RestartMessage state;
    net::Ref<GSocket> listening;
    const bool takes_over = restart_channel_.request_takeover(state, listening);
    if (takes_over) server_.adopt(std::move(listening));
    if (!listen_with_retries(why, pause)) return false;
    if (takes_over) restore_state(state);
    endpoint_updates_.start();
    restart_channel_.start();
    sweep_timer_.arm(net::now() + kSweepIntervalS);
    log_.write(Log::Level::info, net::now(), "serving: %s at %s, %zu providers known", config_.name.c_str(),
               config_.listen.c_str(), endpoint_updates_.cached_backends());
    return true;
}

// The operators' address first: once the other one is bound, clients wait for answers.
bool Ingress::listen(std::string& why) {
    if (admin_server_ && !admin_server_->listening() && !admin_server_->start(config_.admin, why)) {
        why = "admin_addr can't be listened on: " + why;
        return false;
    }
    if (server_.descriptor() < 0 && !server_.start(config_.listen, why)) {
        why = "NODE_LISTEN can't be listened on: " + why;
        return false;
    }
    return true;
}

// An address may be in use for a moment, as by a connection that was dialled from its port while no process
// listened there.
bool Ingress::listen_with_retries(std::string& why, const std::function<bool(double)>& pause) {
    const double deadline = net::now() + listen_retry_bound_s();
    for (bool logged = false; !listen(why); logged = true) {
        if (net::now() >= deadline) return false;
        if (!logged)
            log_.write(Log::Level::warning, net::now(), "%s; it is tried again for %.0f s", why.c_str(),
                       listen_retry_bound_s());
        if (pause(kListenRetryIntervalS)) continue;
        why.clear();
        return false;
    }
    return true;
}

void Ingress::restore_state(hot_restart::RestartMessage& state) {
    endpoint_updates_.adopt_list(state.endpoint_list);
    discovery::EndpointList change;   // not used: the whole list is applied after this
    for (const std::string& id : state.listed) operator_overrides_.remember(id);
    for (const std::string& id : state.suspended) operator_overrides_.adopt_suspension(id, change);
    if (state.drained && operator_overrides_.drain()) drained_at_ = net::now();
    peer_use_ = state.resource_use;
    apply_resource_limits();
    preparation_timer_.arm(net::now() +
                           (endpoint_updates_.cached_backends() == 0 ? kPrepareWithoutListS : kPrepareS));
}

// Reload. ------------------------------------------------------------------------------------------------

void Ingress::reload(const config::Config& fresh) {
    std::string needs_restart;
    const auto note_change = [&](bool changed, const char* field) {
        if (changed) needs_restart += std::string(needs_restart.empty() ? "" : ", ") + field;
    };
    note_change(fresh.name != config_.name, "name");
    note_change(fresh.listen != config_.listen, "listen");
    note_change(fresh.admin != config_.admin, "admin_addr");
    note_change(fresh.stated_sockets != config_.stated_sockets || fresh.memory_mb != config_.memory_mb,
                "limits");
    note_change(
        fresh.settings != config_.settings || fresh.max_open_requests != config_.max_open_requests ||
            fresh.dial_timeout_s != config_.dial_timeout_s || fresh.keepalive_s != config_.keepalive_s,
        "settings");
    const bool watch_moves = fresh.discovery_address != config_.discovery_address;
    log_.write(Log::Level::info, net::now(), "reloaded: discovery %s%s%s%s",
               fresh.discovery_address.c_str(),
               needs_restart.empty() ? "" : "; after the next start: ", needs_restart.c_str(),
               watch_moves ? "; the watch moves there" : "");
    if (!watch_moves) return;
    config_.discovery_address = fresh.discovery_address;
    endpoint_updates_.move_watch(config_.discovery_address);
}

// Periodic work and stop. --------------------------------------------------------------------------------

void Ingress::sweep() {
    const double now = net::now();
    log_.drain();
    server_.close_expired(now);
    dispatcher_.pool().close_expired(now);
    if (admin_server_) admin_server_->close_expired(now);
    const bool drained = operator_overrides_.drained();
    if (drained && now - drained_at_ > GracefulShutdown::kIdleGraceS)
        server_.close_idle(now, GracefulShutdown::kMaxIdleS);
    if (shutdown_.draining()) {
        if (advance_shutdown(now)) return;
        sweep_timer_.arm(shutdown_.advance_again_at(now));
        return;
    }
    sweep_timer_.arm(now + (drained ? GracefulShutdown::kCheckIntervalS : kSweepIntervalS));
}

void Ingress::stop() {
    if (shutdown_.stop_requested()) return;
    const double now = net::now();
    shutdown_.request_stop(now);
    restart_channel_.stop();
    sweep_timer_.arm(shutdown_.advance_again_at(now));
    log_.write(Log::Level::info, now, "stopping: %zu invocations open, ends within %.1f s",
               dispatcher_.open_requests(), shutdown_.ends_by() - now);
}

bool Ingress::advance_shutdown(double now) {
    if (const auto max_idle_s = shutdown_.max_idle_s(now)) server_.close_idle(now, *max_idle_s);
    for (;;) {
        const auto counts = server_.session_counts();
        switch (shutdown_.advance({now, restart_channel_.role().draining(), server_.sessions(),
                                   counts.in_use, last_request_at_, counts.last_unused_at})) {
            case GracefulShutdown::Action::none:
                return false;
            case GracefulShutdown::Action::refuse_handshakes:
                if (!restart_channel_.role().paired()) server_.refuse_handshakes();
                break;
            case GracefulShutdown::Action::stop_listening:
                server_.accept_pending_and_stop();
                break;
            case GracefulShutdown::Action::answer_open_requests:
                answer_unfinished_requests();
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

void Ingress::answer_unfinished_requests() {
    const std::vector<std::uint64_t> numbers = dispatcher_.unanswered_requests();
    log_.write(Log::Level::warning, net::now(),
               "stopping: the time is up: %zu requests are answered unfinished, %zu connections open",
               numbers.size(), server_.sessions());
    dispatcher_.answer_unfinished(numbers);
    server_.reject_partial_requests(config_.settings.max_retry_after_s);
}

}   // namespace slatejunction::ingress
