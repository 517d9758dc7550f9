// Divides the descriptors and the memory of one machine between client, backend and admin connections of
// one process and, during a hot restart, between the old and the new process.
//
// Input: the configuration (descriptors, memory in MB), the role in a hot restart, the resource use of the
// other process. Output: limits in connections and bytes. Pure: no I/O, no clock, no state. Called by
// Ingress.
#pragma once

#include <cstddef>

#include "backend/connection_pool.hpp"
#include "config/config.hpp"
#include "hot_restart/restart_message.hpp"
#include "hot_restart/restart_role.hpp"

namespace slatejunction::ingress {

/// Descriptors that are reserved for other uses than these connections: standard streams, listening
/// sockets, discovery, GLib.
inline constexpr std::size_t kReservedDescriptors = 32;

struct ResourceLimits {
    std::size_t client_connections = 0, backend_connections = 0;
    std::size_t client_bytes = 0, backend_bytes = 0;
};

/// The limits of the connection pool outside a hot restart.
backend::ConnectionPoolLimits connection_pool_limits(const config::Config& config);
/// Admin connections; 0 if no admin address is configured.
std::size_t max_admin_connections(const config::Config& config);
/// Client connections outside a hot restart.
std::size_t max_client_connections(const config::Config& config);
/// Buffered bytes of client connections; backend connections have the same limit of their own.
std::size_t max_buffered_bytes(const config::Config& config);

/// The resource use that this process reports: before it hands over, at least the connections that it may
/// open, so that the new process stays within the rest.
hot_restart::ResourceUse reported_use(const config::Config& config, hot_restart::RestartRole::State state,
                                      hot_restart::ResourceUse actual);

/// The limits of this process. Once a new process asks to take over, the old one keeps all connections but
/// 1/kNewProcessPart; once the new one accepts, the old one opens only few backend connections beyond those
/// it has. The new process gets what the old one leaves. `peer` is the use that the other process reported,
/// `open_backend_connections` the current number in this process.
ResourceLimits resource_limits(const config::Config& config, const hot_restart::RestartRole& role,
                               const hot_restart::ResourceUse& peer, std::size_t open_backend_connections);

}   // namespace slatejunction::ingress
