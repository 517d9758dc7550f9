// How the descriptors and the memory of one machine are divided: between clients, backends and operators of
// one process and, during a hot restart, between the old and the new process.
//
// Input: the configuration (descriptors, memory in MB), the role in a hot restart, what the other process
// uses. Output: upper limits in connections and bytes. Pure: no I/O, no clock, no state. Called by Ingress.
#pragma once

#include <cstddef>

#include "backend/connection_pool.hpp"
#include "config/config.hpp"
#include "hot_restart/restart_message.hpp"
#include "hot_restart/restart_role.hpp"

namespace slatejunction::ingress {

/// Descriptors that no connection may use: standard streams, listener, discovery, GLib's own.
inline constexpr std::size_t kReservedDescriptors = 32;

struct ResourceLimits {
    std::size_t client_connections = 0, backend_connections = 0;
    std::size_t client_bytes = 0, backend_bytes = 0;
};

/// The limits of the connection pool of a process that is alone.
backend::ConnectionPoolLimits connection_pool_limits(const config::Config& config);
/// Operators' connections; 0 where they have no address.
std::size_t max_admin_connections(const config::Config& config);
/// Client connections of a process that is alone.
std::size_t max_client_connections(const config::Config& config);
/// Bytes for client connections; as many are for backend connections.
std::size_t max_buffered_bytes(const config::Config& config);

/// What this process reports as used: until it hands over, at least what it may come to use, so that the
/// new process stays inside the rest.
hot_restart::ResourceUse reported_use(const config::Config& config, hot_restart::RestartRole::State state,
                                      hot_restart::ResourceUse actual);

/// The limits of this process. The old process keeps all but 1/kNewProcessPart from the moment that a new
/// one asks to take over, and what it has once the new one accepts; the new one gets what the old one
/// leaves. `peer`: what the other process reported. `open_backend_connections`: of this process, now.
ResourceLimits resource_limits(const config::Config& config, const hot_restart::RestartRole& role,
                               const hot_restart::ResourceUse& peer, std::size_t open_backend_connections);

}   // namespace slatejunction::ingress
