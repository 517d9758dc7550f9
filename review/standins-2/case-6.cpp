// Case 6: clients that read large answers at 66 kB a second, steadily. Each answer has its length; it must
// come whole, or the client must have ended the connection itself.
#include <fstream>
#include <sstream>

#include "rig.hpp"

using namespace rig;

namespace {

constexpr double kPace = 66000;   // bytes a second; the page allows 64 kB a second
constexpr int kClients = 96;
constexpr std::size_t kStep = 1250;

std::string body_of(std::size_t size) {
    std::string body(size, 'x');
    for (std::size_t i = 0; i < size; ++i) body[i] = static_cast<char>('a' + i % 23);
    return body;
}

// Bytes that the system holds between the ingress at `port` and a client at `client_port`, by
// /proc/net/tcp.
std::size_t held_bytes(int port, int client_port) {
    std::ifstream in("/proc/net/tcp");
    std::string line;
    std::size_t held = 0;
    while (std::getline(in, line)) {
        unsigned local = 0, remote = 0, state = 0;
        unsigned long sending = 0, received = 0;
        if (std::sscanf(line.c_str(), " %*d: %*x:%x %*x:%x %x %lx:%lx", &local, &remote, &state, &sending,
                        &received) != 5)
            continue;
        if (static_cast<int>(local) == port && static_cast<int>(remote) == client_port) held += sending;
        if (static_cast<int>(local) == client_port && static_cast<int>(remote) == port) held += received;
    }
    return held;
}

std::string large_request(const std::string& id, int customer, std::size_t size) {
    std::string text = request(false, id, 4, customer);
    return text.insert(text.find(" HTTP/1.1"), "&n=" + std::to_string(size));
}

}   // namespace

int main() {
    const auto answer = [](int fd, const Message& request) {
        const std::size_t at = request.target().find("&n=");
        const std::size_t size =
            at == std::string::npos ? 10 : std::strtoul(request.target().c_str() + at + 3, nullptr, 10);
        return write_all(fd, ok(body_of(size)));
    };
    Backend one("s-1", answer), two("s-2", answer), three("s-3", answer);
    Discovery discovery(
        {{"s-1", address(one.port())}, {"s-2", address(two.port())}, {"s-3", address(three.port())}});
    const int port = free_port();
    write_file(folder() + "/config.json", config("n0", port, discovery.port(), discovery.whole()));
    start(run_command(), {{"NODE_CONFIG", folder() + "/config.json"}, {"TMPDIR", folder()}},
          folder() + "/log");
    if (!await_ready(port)) finish(2);

    // How many bytes fit into the system's buffers differs by machine: seen on a client that does not read.
    std::size_t fits = 0;
    {
        const int fd = dial(port, 2, 65536);
        sockaddr_in self{};
        socklen_t size = sizeof self;
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&self), &size);
        write_all(fd, large_request("fits", 1, 30 << 20));
        sleep_s(1.5);
        fits = held_bytes(port, ntohs(self.sin_port));
        ::close(fd);
    }
    if (fits < 400000 || fits > (6 << 20)) {   // too small for a large answer, too long for 120 s
        record("%zu bytes fit into the buffers: the case can't run here", fits);
        finish(2);
    }
    record("%zu bytes fit into the buffers between the ingress and a client", fits);

    std::atomic<int> whole{0}, cut{0}, other{0};
    std::vector<std::thread> clients;
    for (int k = 0; k < kClients; ++k)
        clients.emplace_back([&, k] {
            sleep_s(0.08 * k);
            const std::size_t size = fits - 48000 + kStep * static_cast<std::size_t>(k);
            const std::string id = "large-" + std::to_string(k);
            const int fd = dial(port, 2, 65536);
            write_all(fd, large_request(id, 1 + k, size));
            std::string rest;
            Message head;
            const double sent_at = now();
            if (read_head(fd, rest, head, now() + 6) != 1 || head.status() != 200) {
                record("%s: status %d", id.c_str(), head.status());
                ++other;
                ::close(fd);
                return;
            }
            const double first_at = now();
            std::size_t got = rest.size();
            bool same = rest == body_of(got);
            std::vector<char> block(trouble() ? 6600 : 65536);
            ssize_t last = 1;
            while (got < size) {
                last = read_some(fd, block.data(), block.size(), now() + 12);
                if (last <= 0) break;
                for (ssize_t i = 0; i < last; ++i)
                    same = same && block[static_cast<std::size_t>(i)] ==
                                       static_cast<char>('a' + (got + static_cast<std::size_t>(i)) % 23);
                got += static_cast<std::size_t>(last);
                if (trouble()) sleep_s(first_at + static_cast<double>(got) / kPace - now());
            }
            record(
                "%s: status 200, Content-Length %zu, first bytes after %.3f s; got %zu bytes in %.1f s%s%s",
                id.c_str(), size, first_at - sent_at, got, now() - first_at,
                got == size ? ", whole"
                : last == 0 ? ", CUT: the ingress closed the connection"
                            : ", CUT: the connection was reset or silent",
                same ? "" : ", OTHER BYTES");
            ++(got == size && same ? whole : cut);
            ::close(fd);
        });
    for (std::thread& one_client : clients) one_client.join();
    record("answers: %d whole, %d cut, %d refused or failed", whole.load(), cut.load(), other.load());
    std::printf("answers: %d whole, %d cut, %d refused or failed\n", whole.load(), cut.load(),
                other.load());
    if (whole + cut < kClients / 2) finish(2);
    finish(cut > 0 ? 1 : 0);
}
