// Unix sockets between two processes of one ingress: addresses, credentials and the passing of a
// descriptor.
//
// Functions without state, called by RestartChannel. They never block: sockets are non-blocking once
// connected.
#pragma once

#include <string>

#include "net/glib.hpp"

namespace slatejunction::hot_restart {

/// The socket's file for the ingress at the address `listen`; empty if the path would be too long.
std::string socket_path(const std::string& directory, const std::string& listen);

net::Ref<GSocketAddress> unix_address(const std::string& path);
/// Null where the system has none.
net::Ref<GSocket> unix_socket();
/// Does the process at the other end run as the same user? Others may write to the directory of the
/// socket's file.
bool same_user(GSocket* socket);
/// Appends what has come to `received`. The first listening socket that came with it goes to `listening`,
/// unless that is set already; other descriptors are closed. False: nothing more will come.
bool receive(GSocket* socket, std::string& received, net::Ref<GSocket>& listening);
/// Sends one line with a copy of `descriptor`. False: not all of it was taken at once.
bool send_with_descriptor(int socket, const std::string& line, int descriptor);

}   // namespace slatejunction::hot_restart
