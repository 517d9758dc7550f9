// Unix sockets between two processes of one ingress: addresses, peer credentials and descriptor passing.
//
// Functions without state, called by RestartChannel. They never block: sockets are non-blocking once
// connected.
#pragma once

#include <string>

#include "net/glib.hpp"

namespace slatejunction::hot_restart {

/// The path of the socket file for the ingress at the address `listen`; empty if it would be too long.
std::string socket_path(const std::string& directory, const std::string& listen);

net::Ref<GSocketAddress> unix_address(const std::string& path);
/// Null if the system can't create one.
net::Ref<GSocket> unix_socket();
/// Whether the process at the other end runs as the same user as this one. Other users may be able to write
/// to the directory of the socket file.
bool same_user(GSocket* socket);
/// Appends the bytes that have arrived to `received`. The first listening socket that is attached to them
/// goes to `listening`, unless that is set already; other descriptors are closed. Returns false if nothing
/// could be read: the connection has ended or failed.
bool receive(GSocket* socket, std::string& received, net::Ref<GSocket>& listening);
/// Sends one line with a copy of `descriptor`. Returns false if not all of it could be written at once.
bool send_with_descriptor(int socket, const std::string& line, int descriptor);

}   // namespace slatejunction::hot_restart
