// One ingress process: puts its subsystems together, starts, reloads and stops them.
//
// Input: the configuration, operators' calls, the other process of a hot restart, signals (by stop() and
// reload()). Its subsystems: RequestDispatcher (requests, gateway, backends), EndpointUpdates (discovery),
// client::Server, admin::Server, RestartChannel, GracefulShutdown. It takes no decision about a request or
// a backend.
//
// Ownership: owns all of these; made and called by app/program on the GLib loop's one thread. Extensions
// register here and live longer than the ingress serves.
//
// Files: ingress.cpp (parts, sessions, gauges), ingress_lifecycle.cpp (start, reload, stop, periodic work),
// ingress_hot_restart.cpp (the other process), ingress_admin.cpp (operators' calls).
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "admin/operator_overrides.hpp"
#include "admin/server.hpp"
#include "client/server.hpp"
#include "config/config.hpp"
#include "hot_restart/restart_channel.hpp"
#include "ingress/endpoint_updates.hpp"
#include "ingress/extensions.hpp"
#include "ingress/observer.hpp"
#include "ingress/request_dispatcher.hpp"
#include "lifecycle/graceful_shutdown.hpp"
#include "log/log.hpp"
#include "slatejunction/gateway.hpp"

namespace slatejunction::ingress {

class Ingress final : client::SessionController, admin::AdminCallHandler, hot_restart::RestartHost {
  public:
    /// `observer` (null: none) and all references live longer. `done` is called once, when the ingress has
    /// stopped.
    Ingress(config::Config config, const discovery::UnixTimeConverter& clock, net::Timers& timers, Log& log,
            std::function<void()> done, RequestObserver* observer = nullptr);
    ~Ingress();
    Ingress(const Ingress&) = delete;
    Ingress& operator=(const Ingress&) = delete;

    /// For so long (s) an address that can't be listened on is tried again; then the start has failed. Less
    /// than the 30 s within which a process that was killed has to serve again.
    static constexpr double listen_retry_bound_s() { return 15.0; }
    /// `pause` waits so many seconds and returns false if the program is to stop. False: the start has
    /// failed, `why` says why; empty where the program is to stop.
    bool start(std::string& why, const std::function<bool(double)>& pause);
    /// Finishes the open requests, then calls `done`; see lifecycle::GracefulShutdown.
    void stop();
    /// When the process has to have ended (s, net::now()); infinite as long as it is not to stop.
    double ends_by() const { return shutdown_.ends_by(); }
    /// Moves the discovery watch to the address in `fresh`. Other changes wait for the next start; the log
    /// names them.
    void reload(const config::Config& fresh);

    /// Extensions may register before the start or later; they are called in the order of registration.
    void register_extension(RequestFilter& filter) { dispatcher_.register_filter(filter); }
    void register_extension(EndpointListFilter& filter) { endpoint_updates_.register_filter(filter); }
    void register_extension(AdminCallExtension& extension) { admin_extensions_.push_back(&extension); }
    void register_extension(StateTransfer& transfer) { state_transfers_.push_back(&transfer); }
    /// Sends a list that an extension has made to the gateway. An empty one changes nothing.
    void update_endpoints(slatejunction::EndpointUpdate list) {
        endpoint_updates_.update_gateway(std::move(list));
    }
    /// Handles an operator's call without asking the extensions. `reply` is called once, now or later.
    void handle_admin_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)> reply);
    Gauges gauges() const;

  private:
    // client::SessionController
    std::uint64_t on_request(std::shared_ptr<client::ResponseWriter> response_writer,
                             std::shared_ptr<client::ClientRequest> client_request) override;
    void on_client_disconnected(std::uint64_t number) override {
        dispatcher_.on_client_disconnected(number);
    }
    // A process that has handed over is ready: the new one is, and the two are one ingress.
    bool ready() const override {
        return (!shutdown_.stop_requested() || restart_channel_.role().draining()) &&
               !operator_overrides_.drained();
    }
    bool stopping() const override {
        return shutdown_.stop_requested() || operator_overrides_.drained() ||
               restart_channel_.role().draining();
    }
    const slatejunction::Settings& settings() const override { return config_.settings; }
    bool is_request_open(std::string_view request_id) const override {
        return dispatcher_.is_request_open(request_id);
    }
    bool wants_headers() const override { return dispatcher_.wants_headers(); }
    http::ByteBudget& budget() override { return client_bytes_; }
    void on_bad_request(int status, std::string_view why) override {
        dispatcher_.on_bad_request(status, why);
    }
    void on_accept_error(const char* why) override;
    void on_closed(client::Session& session) override { server_.forget(session); }

    // admin::AdminCallHandler
    void on_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)> reply) override;
    void on_admin_error(const char* why) override;

    // hot_restart::RestartHost
    hot_restart::RestartMessage state() const override;
    int listening_descriptor() override { return server_.descriptor(); }
    hot_restart::ResourceUse resource_use() const override;
    void on_role_changed() override;
    void on_peer_resource_use(const hot_restart::ResourceUse& theirs) override;
    bool on_operator_order(const hot_restart::OperatorOrder& order) override;
    void on_transferred_state(std::size_t place, std::string_view what) override;

    // Start. `listen` binds the addresses that are not bound yet.
    bool listen(std::string& why);
    bool listen_with_retries(std::string& why, const std::function<bool(double)>& pause);
    void restore_state(hot_restart::RestartMessage& state);   // of the old process
    // Periodic work and stop.
    void sweep();
    bool advance_shutdown(double now);   // true: the ingress has stopped
    void answer_unfinished_requests();
    // Hot restart.
    void apply_resource_limits();
    void hand_over();
    // Operators.
    admin::AdminReply readiness() const;
    admin::OverrideResult execute(const hot_restart::OperatorOrder& order, bool from_other_process);

    Log& log_;
    std::function<void()> done_;
    config::Config config_;
    http::ByteBudget client_bytes_, backend_bytes_;   // live longer than all that holds bytes
    net::Timer sweep_timer_;
    RequestDispatcher dispatcher_;
    client::Server server_;
    std::unique_ptr<admin::Server> admin_server_;   // null: operators have no address
    admin::OperatorOverrides operator_overrides_;
    double drained_at_ = 0;   // s, net::now(); by operators
    lifecycle::GracefulShutdown shutdown_;
    double last_request_at_ = 0;   // s, net::now()
    hot_restart::RestartChannel restart_channel_;
    net::Timer preparation_timer_;        // bounds a new process's wait for a list before it accepts
    hot_restart::ResourceUse peer_use_;   // what the other process reported
    EndpointUpdates endpoint_updates_;
    std::vector<AdminCallExtension*> admin_extensions_;
    std::vector<StateTransfer*> state_transfers_;
};

}   // namespace slatejunction::ingress
