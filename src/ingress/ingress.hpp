// One ingress process: creates, starts, reloads and stops its subsystems.
//
// Input: the configuration, admin calls, messages of the other process of a hot restart, signals (as stop()
// and reload()). Its subsystems are RequestDispatcher (requests, gateway, backends), EndpointUpdates
// (discovery), client::Server, admin::Server, RestartChannel and GracefulShutdown. It makes no decision
// about a request or a backend.
//
// Ownership: owns all of these. Created and called by app/program on the one thread of the GLib loop.
// Extensions register here and must live until the ingress has stopped serving.
//
// Files:
// - ingress.cpp: construction, client sessions, gauges.
// - ingress_lifecycle.cpp: start, reload, stop and periodic work.
// - ingress_hot_restart.cpp: the other process of a hot restart.
// - ingress_admin.cpp: admin calls.
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
    /// `observer` (null: none) and all references must outlive the ingress. `done` is called once, when the
    /// ingress has stopped.
    Ingress(config::Config config, const discovery::UnixTimeConverter& clock, net::Timers& timers, Log& log,
            std::function<void()> done, RequestObserver* observer = nullptr);
    ~Ingress();
    Ingress(const Ingress&) = delete;
    Ingress& operator=(const Ingress&) = delete;

    /// How long (s) listening at an address is retried before the start fails. It is less than the 30 s
    /// within which a process that was killed must serve again.
    static constexpr double listen_retry_bound_s() { return 15.0; }
    /// `pause` waits that many seconds, and returns false if the program is to stop. Returns false if the
    /// start has failed, with the reason in `error`, or if the program is to stop, with an empty `error`.
    bool start(std::string& error, const std::function<bool(double)>& pause);
    /// Finishes the open requests, then calls `done`; see lifecycle::GracefulShutdown.
    void stop();
    /// The time by which the process must have exited (s, net::now()); infinite while it is not stopping.
    double ends_by() const { return shutdown_.ends_by(); }
    /// Moves the discovery watch to the address in `new_config`. Other changes take effect at the next
    /// start; the log names them.
    void reload(const config::Config& new_config);

    /// Extensions may register before or after the start; they are called in the order of registration.
    void register_extension(RequestFilter& filter) { dispatcher_.register_filter(filter); }
    void register_extension(EndpointListFilter& filter) { endpoint_updates_.register_filter(filter); }
    void register_extension(AdminCallExtension& extension) { admin_extensions_.push_back(&extension); }
    void register_extension(StateTransfer& transfer) { state_transfers_.push_back(&transfer); }
    /// Passes a list that an extension has made to the gateway. An empty one changes nothing.
    void update_endpoints(slatejunction::EndpointUpdate list) {
        endpoint_updates_.update_gateway(std::move(list));
    }
    /// Handles an admin call without passing it to the extensions. `reply` is called once, now or later.
    void handle_admin_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)> reply);
    Gauges gauges() const;

  private:
    // client::SessionController
    std::uint64_t on_request(std::shared_ptr<client::ResponseWriter> response_writer,
                             std::shared_ptr<client::ClientRequest> client_request) override;
    void on_body_received(std::uint64_t number) override { dispatcher_.on_body_received(number); }
    void on_client_disconnected(std::uint64_t number) override {
        dispatcher_.on_client_disconnected(number);
    }
    // A process that has handed over reports ready: the new one is, and both are one ingress.
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
    bool may_not_run_again(std::string_view request_id) override {
        restart_channel_.receive_pending();
        return dispatcher_.may_not_run_again(request_id);
    }
    bool wants_headers() const override { return dispatcher_.wants_headers(); }
    http::ByteBudget& budget() override { return client_bytes_; }
    void on_bad_request(int status, std::string_view error) override {
        dispatcher_.on_bad_request(status, error);
    }
    void on_accept_error(const char* error) override;
    void on_closed(client::Session& session) override { server_.forget(session); }

    // admin::AdminCallHandler
    void on_call(const admin::AdminCall& call, std::function<void(admin::AdminReply)> reply) override;
    void on_admin_accept_error(const char* error) override;

    // hot_restart::RestartHost
    hot_restart::RestartMessage state() const override;
    int listening_descriptor() override { return server_.descriptor(); }
    hot_restart::ResourceUse resource_use() const override;
    void on_role_changed() override;
    void on_peer_resource_use(const hot_restart::ResourceUse& theirs) override;
    bool on_operator_command(const hot_restart::OperatorCommand& command) override;
    void on_transferred_state(std::size_t extension_index, std::string_view state) override;
    std::vector<std::uint64_t> executed_request_ids() const override {
        return dispatcher_.executed_ids().all();
    }
    void on_request_ids(std::span<const std::uint64_t> id_hashes, bool never_ran) override {
        dispatcher_.adopt_executed_ids(id_hashes, never_ran);
    }

    // Start. `listen` binds those addresses that are not bound yet.
    bool listen(std::string& error);
    bool listen_with_retries(std::string& error, const std::function<bool(double)>& pause);
    void restore_state(hot_restart::RestartMessage& state);   // that the old process has sent
    // Periodic work and stop.
    void sweep();
    bool advance_shutdown(double now);   // returns true once the ingress has stopped
    void answer_unfinished_requests();
    // Hot restart.
    void apply_resource_limits();
    void hand_over();
    // Admin calls.
    admin::AdminReply readiness() const;
    admin::OverrideResult execute(const hot_restart::OperatorCommand& command, bool from_other_process);

    Log& log_;
    std::function<void()> done_;
    config::Config config_;
    http::ByteBudget client_bytes_, backend_bytes_;   // outlive all buffers that use them
    net::Timer sweep_timer_;
    RequestDispatcher dispatcher_;
    client::Server server_;
    std::unique_ptr<admin::Server> admin_server_;   // null: no admin address is configured
    admin::OperatorOverrides operator_overrides_;
    double drained_at_ = 0;   // s, net::now(); when operators drained the ingress
    lifecycle::GracefulShutdown shutdown_;
    double last_request_at_ = 0;   // s, net::now()
    hot_restart::RestartChannel restart_channel_;
    net::Timer preparation_timer_;   // bounds how long a new process waits for a list before it accepts
    hot_restart::ResourceUse peer_use_;   // as reported by the other process
    EndpointUpdates endpoint_updates_;
    std::vector<AdminCallExtension*> admin_extensions_;
    std::vector<StateTransfer*> state_transfers_;
};

}   // namespace slatejunction::ingress
