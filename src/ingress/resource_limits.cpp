#include "ingress/resource_limits.hpp"

#include <algorithm>

namespace slatejunction::ingress {
namespace {

// The part of the memory for the buffered bytes of clients, and the same for those of backends.
constexpr double kMemoryFraction = 0.2;
constexpr double kMaxCountedMemoryMb = 1e9;   // more than any machine has; its bytes fit a size_t
constexpr std::size_t kMaxAdminConnections = 48;
constexpr std::size_t kAdminDescriptorPart = 12;   // admin connections get at most 1/12 of the descriptors
constexpr std::size_t kNewProcessPart = 4;         // 1/4 of the connections is left to a new process
// How many backend connections a process may open beyond its current ones once it has handed over.
constexpr std::size_t kMaxNewConnectionsDraining = 4;

std::size_t without_new_process_part(std::size_t all) { return all - all / kNewProcessPart; }

std::size_t left_by_peer(std::size_t all, std::size_t peer) {
    return std::max(all / kNewProcessPart / 2, all - std::min(all, peer));
}

}   // namespace

backend::ConnectionPoolLimits connection_pool_limits(const config::Config& config) {
    return {(config.sockets - kReservedDescriptors) * 2 / 5, config.dial_timeout_s, config.keepalive_s};
}

std::size_t max_admin_connections(const config::Config& config) {
    if (config.admin.empty()) return 0;
    return std::min(kMaxAdminConnections, config.sockets / kAdminDescriptorPart);
}

std::size_t max_client_connections(const config::Config& config) {
    return config.sockets - kReservedDescriptors - connection_pool_limits(config).max_connections -
           max_admin_connections(config);
}

std::size_t max_buffered_bytes(const config::Config& config) {
    const double memory_mb = std::min(config.memory_mb, kMaxCountedMemoryMb);
    return static_cast<std::size_t>(kMemoryFraction * memory_mb * 1024 * 1024);
}

hot_restart::ResourceUse reported_use(const config::Config& config, hot_restart::RestartRole::State state,
                                      hot_restart::ResourceUse actual) {
    using State = hot_restart::RestartRole::State;
    if (state != State::takeover_requested && state != State::alone) return actual;
    actual.client_connections =
        std::max(actual.client_connections, without_new_process_part(max_client_connections(config)));
    actual.backend_connections =
        std::max(actual.backend_connections,
                 without_new_process_part(connection_pool_limits(config).max_connections));
    return actual;
}

ResourceLimits resource_limits(const config::Config& config, const hot_restart::RestartRole& role,
                               const hot_restart::ResourceUse& peer, std::size_t open_backend_connections) {
    ResourceLimits limits;
    limits.client_connections = max_client_connections(config);
    limits.backend_connections = connection_pool_limits(config).max_connections;
    limits.client_bytes = max_buffered_bytes(config);
    limits.backend_bytes = limits.client_bytes;
    // The other process has admin connections of its own.
    if (role.paired()) limits.client_connections -= max_admin_connections(config);
    if (role.is_old_process()) {
        limits.client_connections = without_new_process_part(limits.client_connections);
        limits.backend_connections = without_new_process_part(limits.backend_connections);
    } else if (role.paired()) {
        limits.client_connections = left_by_peer(limits.client_connections, peer.client_connections);
        limits.backend_connections = left_by_peer(limits.backend_connections, peer.backend_connections);
        limits.client_bytes = left_by_peer(limits.client_bytes, peer.client_bytes);
        limits.backend_bytes = left_by_peer(limits.backend_bytes, peer.backend_bytes);
    }
    if (role.draining())
        limits.backend_connections =
            std::min(limits.backend_connections, open_backend_connections + kMaxNewConnectionsDraining);
    return limits;
}

}   // namespace slatejunction::ingress
