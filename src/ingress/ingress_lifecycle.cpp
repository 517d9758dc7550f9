// Ingress: start, reload, stop and periodic work.
#include <utility>

#include "ingress/ingress.hpp"

namespace slatejunction::ingress {

using lifecycle::GracefulShutdown;

namespace {

constexpr double kSweepIntervalS = 0.2;
constexpr double kListenRetryIntervalS = 0.25;
// How long a new process waits for a list from discovery before it accepts: with a cached list, and
// without.
constexpr double kPrepareS = 0.3;
constexpr double kPrepareWithoutListS = 2.0;
constexpr double kNewProcessReadyS = 6.0;   // within which a new process must accept
static_assert(hot_restart::RestartChannel::takeover_bound_s() + kPrepareWithoutListS <
              kNewProcessReadyS - 0.5);
constexpr double kRestartAfterKillS = 30.0;   // within which a process that was killed must serve again
static_assert(hot_restart::RestartChannel::takeover_bound_s() + Ingress::listen_retry_bound_s() <
              kRestartAfterKillS - 5);

}   // namespace

// Start. -------------------------------------------------------------------------------------------------

bool Ingress::start(std::string& error, const std::function<bool(double)>& pause) {
    dispatcher_.handle_event(slatejunction::Start{});
    hot_restart::RestartMessage state;
    net::Ref<GSocket> listening;
    const bool takes_over = restart_channel_.request_takeover(state, listening);
    if (takes_over) server_.adopt(std::move(listening));
    if (!listen_with_retries(error, pause)) return false;
    if (takes_over) restore_state(state);
    endpoint_updates_.start();
    restart_channel_.start();
    sweep_timer_.arm(net::now() + kSweepIntervalS);
    log_.write(Log::Level::info, net::now(), "serving: %s at %s, %zu backends known", config_.name.c_str(),
               config_.listen.c_str(), endpoint_updates_.cached_backends());
    return true;
}

// Binds the admin address first: once the client address is bound, clients wait for responses.
bool Ingress::listen(std::string& error) {
    if (admin_server_ && !admin_server_->listening() && !admin_server_->start(config_.admin, error)) {
        error = "can't listen on admin_addr: " + error;
        return false;
    }
    if (server_.descriptor() < 0 && !server_.start(config_.listen, error)) {
        error = "can't listen on NODE_LISTEN: " + error;
        return false;
    }
    return true;
}

// Retries, as an address may be in use for a moment: for example by a connection that was dialled from this
// port while no process listened there.
bool Ingress::listen_with_retries(std::string& error, const std::function<bool(double)>& pause) {
    const double deadline = net::now() + listen_retry_bound_s();
    for (bool logged = false; !listen(error); logged = true) {
        if (net::now() >= deadline) return false;
        if (!logged)
            log_.write(Log::Level::warning, net::now(), "%s; retrying for up to %.0f s", error.c_str(),
                       listen_retry_bound_s());
        if (pause(kListenRetryIntervalS)) continue;
        error.clear();
        return false;
    }
    return true;
}

void Ingress::restore_state(hot_restart::RestartMessage& state) {
    endpoint_updates_.adopt_list(state.endpoint_list);
    discovery::EndpointList change;   // not used, as the whole list is applied afterwards
    for (const std::string& id : state.listed) operator_overrides_.remember(id);
    for (const std::string& id : state.suspended) operator_overrides_.adopt_suspension(id, change);
    if (state.drained && operator_overrides_.drain()) drained_at_ = net::now();
    peer_use_ = state.resource_use;
    apply_resource_limits();
    preparation_timer_.arm(net::now() +
                           (endpoint_updates_.cached_backends() == 0 ? kPrepareWithoutListS : kPrepareS));
}

// Reload. ------------------------------------------------------------------------------------------------

void Ingress::reload(const config::Config& new_config) {
    std::string unapplied_fields;
    const auto note_change = [&](bool changed, const char* field) {
        if (changed) unapplied_fields += std::string(unapplied_fields.empty() ? "" : ", ") + field;
    };
    note_change(new_config.name != config_.name, "name");
    note_change(new_config.listen != config_.listen, "listen");
    note_change(new_config.admin != config_.admin, "admin_addr");
    note_change(
        new_config.stated_sockets != config_.stated_sockets || new_config.memory_mb != config_.memory_mb,
        "limits");
    note_change(new_config.settings != config_.settings ||
                    new_config.max_open_requests != config_.max_open_requests ||
                    new_config.dial_timeout_s != config_.dial_timeout_s ||
                    new_config.keepalive_s != config_.keepalive_s,
                "settings");
    const bool watch_moves = new_config.discovery_address != config_.discovery_address;
    log_.write(Log::Level::info, net::now(), "reloaded: discovery %s%s%s%s",
               new_config.discovery_address.c_str(),
               unapplied_fields.empty() ? "" : "; after the next start: ", unapplied_fields.c_str(),
               watch_moves ? "; the watch moves to the new address" : "");
    if (!watch_moves) return;
    config_.discovery_address = new_config.discovery_address;
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
    log_.write(Log::Level::info, now, "stopping: %zu requests open, exit within %.1f s",
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
               "stopping: time limit reached: answering %zu unfinished requests, %zu connections open",
               numbers.size(), server_.sessions());
    dispatcher_.answer_unfinished(numbers);
    server_.reject_partial_requests(config_.settings.max_retry_after_s);
}

}   // namespace slatejunction::ingress
