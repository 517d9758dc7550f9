#include "ingress/ingress.hpp"

#include <utility>

#include "ingress/resource_limits.hpp"

namespace slatejunction::ingress {

Ingress::Ingress(config::Config config, const discovery::UnixTimeConverter& clock, net::Timers& timers,
                 Log& log, std::function<void()> done, RequestObserver* observer)
    : log_(log),
      done_(std::move(done)),
      config_(std::move(config)),
      client_bytes_(max_buffered_bytes(config_)),
      backend_bytes_(max_buffered_bytes(config_)),
      sweep_timer_(timers, [this] { sweep(); }),
      dispatcher_(config_, timers, log_, observer, backend_bytes_,
                  [this] { endpoint_updates_.poll_now(); }),
      server_(*this, timers, max_client_connections(config_)),
      shutdown_(lifecycle::longest_deadline_s(config_.settings)),
      restart_channel_(*this, timers, log_, config_.temporary, config_.name, config_.listen),
      preparation_timer_(timers, [this] { restart_channel_.ready_to_accept(); }),
      endpoint_updates_(dispatcher_, operator_overrides_, restart_channel_, timers, clock, log_,
                        std::move(config_.known), config_.discovery_address, config_.seed) {
    dispatcher_.report_executed_ids([this](std::uint64_t id_hash, bool never_ran) {
        restart_channel_.share_request_ids({&id_hash, 1}, never_ran);
    });
    if (!config_.admin.empty())
        admin_server_ = std::make_unique<admin::Server>(static_cast<admin::AdminCallHandler&>(*this),
                                                        timers, max_admin_connections(config_));
}

Ingress::~Ingress() { dispatcher_.end_open_requests(); }

std::uint64_t Ingress::on_request(std::shared_ptr<client::ResponseWriter> response_writer,
                                  std::shared_ptr<client::ClientRequest> client_request) {
    last_request_at_ = net::now();
    return dispatcher_.on_request(std::move(response_writer), std::move(client_request),
                                  shutdown_.rejects_new_requests());
}

void Ingress::on_accept_error(const char* error) {
    log_.write(Log::Level::warning, net::now(), "accepting a client connection failed: %s", error);
}

Gauges Ingress::gauges() const {
    const backend::ConnectionPool& pool = dispatcher_.pool();
    Gauges gauges;
    gauges.open_requests = dispatcher_.open_requests();
    gauges.client_connections = server_.sessions();
    gauges.backend_connections = pool.connections();
    gauges.serving_backends = pool.serving_backends();
    gauges.draining_backends = pool.backends() - gauges.serving_backends;
    gauges.client_bytes = client_bytes_.used();
    gauges.backend_bytes = backend_bytes_.used();
    gauges.client_bytes_limit = client_bytes_.limit();
    gauges.backend_bytes_limit = backend_bytes_.limit();
    gauges.descriptors = gauges.client_connections + gauges.backend_connections + kReservedDescriptors +
                         (admin_server_ ? admin_server_->sessions() : 0);
    gauges.descriptors_limit = config_.sockets;
    gauges.memory_limit_bytes = config_.memory_mb * 1024 * 1024;
    gauges.last_discovery_answer_at = endpoint_updates_.last_answer_at();
    return gauges;
}

}   // namespace slatejunction::ingress
