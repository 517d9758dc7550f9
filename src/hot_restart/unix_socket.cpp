#include "hot_restart/unix_socket.hpp"

#include <gio/gunixfdmessage.h>
#include <gio/gunixsocketaddress.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <vector>

namespace slatejunction::hot_restart {
namespace {

// Null, and `fd` stays open, unless it is a listening socket.
net::Ref<GSocket> adopt_listening_socket(int fd) {
    int listens = 0;
    socklen_t size = sizeof listens;
    if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0) return nullptr;
    return net::Ref<GSocket>(g_socket_new_from_fd(fd, nullptr));
}

// Takes the first listening socket, and closes all other descriptors.
void take_descriptors(GSocketControlMessage* control, net::Ref<GSocket>& listening) {
    if (!G_IS_UNIX_FD_MESSAGE(control)) return;
    gint count = 0;
    gint* const all = g_unix_fd_message_steal_fds(G_UNIX_FD_MESSAGE(control), &count);
    for (gint i = 0; i < count; ++i) {
        auto adopted = listening ? nullptr : adopt_listening_socket(all[i]);
        if (adopted)
            listening = std::move(adopted);
        else
            ::close(all[i]);
    }
    g_free(all);
}

}   // namespace

std::string socket_path(const std::string& directory, const std::string& listen) {
    std::string name = listen;
    std::replace_if(
        name.begin(), name.end(), [](char c) { return c == ':' || c == '/'; }, '_');
    std::string path = directory + "/slatejunction-" + name + ".sock";
    // One byte for the suffix of the temporary name, one for the terminating zero.
    return path.size() + 2 < sizeof(sockaddr_un::sun_path) ? path : std::string();
}

net::Ref<GSocketAddress> unix_address(const std::string& path) {
    return net::Ref<GSocketAddress>(g_unix_socket_address_new(path.c_str()));
}

net::Ref<GSocket> unix_socket() {
    return net::Ref<GSocket>(
        g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_DEFAULT, nullptr));
}

bool same_user(GSocket* socket) {
    net::Ref<GCredentials> theirs(g_socket_get_credentials(socket, nullptr));
    net::Ref<GCredentials> ours(g_credentials_new());
    return theirs && g_credentials_is_same_user(theirs.get(), ours.get(), nullptr);
}

bool receive(GSocket* socket, std::string& received, net::Ref<GSocket>& listening) {
    std::vector<char> bytes(std::size_t{64} * 1024);
    GInputVector vector{bytes.data(), bytes.size()};
    GSocketControlMessage** controls = nullptr;
    gint count = 0;
    const gssize size =
        g_socket_receive_message(socket, nullptr, &vector, 1, &controls, &count, nullptr, nullptr, nullptr);
    for (gint i = 0; i < count; ++i)
        take_descriptors(net::Ref<GSocketControlMessage>(controls[i]).get(), listening);
    g_free(controls);
    if (size > 0) received.append(bytes.data(), static_cast<std::size_t>(size));
    return size > 0;
}

bool send_with_descriptor(int socket, const std::string& line, int descriptor) {
    const net::Ref<GUnixFDMessage> descriptors(G_UNIX_FD_MESSAGE(g_unix_fd_message_new()));
    g_unix_fd_message_append_fd(descriptors.get(), descriptor, nullptr);
    GSocketControlMessage* control = G_SOCKET_CONTROL_MESSAGE(descriptors.get());
    GOutputVector vector{line.data(), line.size()};
    const net::Ref<GSocket> carrier(g_socket_new_from_fd(::dup(socket), nullptr));
    if (!carrier) return false;
    const gssize sent =
        g_socket_send_message(carrier.get(), nullptr, &vector, 1, &control, 1, 0, nullptr, nullptr);
    return sent == static_cast<gssize>(line.size());
}

}   // namespace slatejunction::hot_restart
