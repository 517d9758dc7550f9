#include "app/admin_client.hpp"

#include <cctype>
#include <cstdio>

#include "net/stream.hpp"

namespace slatejunction::app {
namespace {

constexpr unsigned kPatience = 5;   // s

bool send_all(GSocket* socket, std::string_view bytes) {
    while (!bytes.empty()) {
        const gssize done = g_socket_send(socket, bytes.data(), bytes.size(), nullptr, nullptr);
        if (done <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(done));
    }
    return true;
}

}   // namespace

int call_admin(const std::string& address, std::string_view method, const std::string& path,
               std::string_view body, std::string& answer) {
    const net::Address at = net::parse_address(address);
    if (!at) return 0;
    const net::Ref<GSocket> socket(g_socket_new(g_socket_address_get_family(at.get()), G_SOCKET_TYPE_STREAM,
                                                G_SOCKET_PROTOCOL_TCP, nullptr));
    if (!socket) return 0;
    g_socket_set_timeout(socket.get(), kPatience);
    if (!g_socket_connect(socket.get(), at.get(), nullptr, nullptr)) return 0;
    std::string request(method);
    request += " " + path + " HTTP/1.1\r\nHost: " + address;
    if (method != "GET") request += "\r\nContent-Length: " + std::to_string(body.size());
    request += "\r\n\r\n";
    request += body;
    if (!send_all(socket.get(), request)) return 0;
    std::string all;
    char bytes[16384];
    for (gssize size; (size = g_socket_receive(socket.get(), bytes, sizeof bytes, nullptr, nullptr)) > 0;)
        all.append(bytes, static_cast<std::size_t>(size));
    const std::size_t head = all.find("\r\n\r\n");
    int status = 0;
    if (head == std::string::npos || std::sscanf(all.c_str(), "HTTP/1.1 %d", &status) != 1) return 0;
    answer = all.substr(head + 4);
    return status;
}

std::string encode(std::string_view text) {
    std::string made;
    for (const char c : text) {
        if (std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.' || c == '~') {
            made += c;
            continue;
        }
        char coded[4];
        std::snprintf(coded, sizeof coded, "%%%02X", static_cast<unsigned>(static_cast<unsigned char>(c)));
        made += coded;
    }
    return made;
}

}   // namespace slatejunction::app
