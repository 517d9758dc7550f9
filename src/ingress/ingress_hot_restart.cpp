// Ingress: hot restart, as the host of RestartChannel.
#include <algorithm>

#include "ingress/ingress.hpp"
#include "ingress/resource_limits.hpp"

namespace slatejunction::ingress {

namespace {

// The longest idle time of backend connections in a process that has handed over.
constexpr double kDrainingBackendMaxIdleS = 0.3;

}   // namespace

hot_restart::RestartMessage Ingress::state() const {
    hot_restart::RestartMessage message;
    message.kind = hot_restart::RestartMessage::Kind::state;
    message.listed = operator_overrides_.ever_listed_ids();
    message.suspended = operator_overrides_.suspended_ids();
    message.drained = operator_overrides_.drained();
    message.shares_request_ids = true;
    message.resource_use = resource_use();
    message.endpoint_list = endpoint_updates_.stated_list();
    return message;
}

void Ingress::on_role_changed() {
    const hot_restart::RestartRole& role = restart_channel_.role();
    if (role.draining()) {
        hand_over();
    } else if (role.accepts()) {
        shutdown_.cancel_hand_over();
        server_.resume_accepting();
    }
    dispatcher_.pool().set_max_idle_s(role.draining() ? kDrainingBackendMaxIdleS : -1);
    apply_resource_limits();
}

void Ingress::hand_over() {
    const double now = net::now();
    shutdown_.hand_over(now);
    server_.pause_accepting();
    sweep_timer_.arm(shutdown_.advance_again_at(now));
    for (std::size_t i = 0; i < state_transfers_.size(); ++i) {
        const std::string serialized = state_transfers_[i]->serialize_state();
        if (!serialized.empty()) restart_channel_.transfer_state(i, serialized);
    }
}

void Ingress::on_transferred_state(std::size_t extension_index, std::string_view state) {
    if (extension_index < state_transfers_.size()) state_transfers_[extension_index]->restore_state(state);
}

// Resuming a backend that was never listed here is no failure, as it is not suspended here.
bool Ingress::on_operator_command(const hot_restart::OperatorCommand& command) {
    return execute(command, true) != admin::OverrideResult::too_many;
}

void Ingress::on_peer_resource_use(const hot_restart::ResourceUse& theirs) {
    peer_use_ = theirs;
    apply_resource_limits();
}

hot_restart::ResourceUse Ingress::resource_use() const {
    hot_restart::ResourceUse use;
    use.client_connections = server_.sessions();
    use.backend_connections = dispatcher_.pool().connections();
    use.open_requests = dispatcher_.open_requests();
    use.client_bytes = client_bytes_.used();
    use.backend_bytes = backend_bytes_.used();
    return reported_use(config_, restart_channel_.role().state(), use);
}

void Ingress::apply_resource_limits() {
    backend::ConnectionPool& pool = dispatcher_.pool();
    const ResourceLimits limits =
        resource_limits(config_, restart_channel_.role(), peer_use_, pool.connections());
    server_.set_max_sessions(limits.client_connections);
    pool.set_max_connections(limits.backend_connections);
    client_bytes_.set_limit(limits.client_bytes);
    backend_bytes_.set_limit(limits.backend_bytes);
}

}   // namespace slatejunction::ingress
