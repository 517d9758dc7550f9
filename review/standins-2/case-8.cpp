// Case 8: clients send four commands at once on a connection, the second of which has a long answer.
// Backends reset some connections under a long answer that has begun. The commands behind it have been read
// by the ingress, and must get a final answer.
#include "rig.hpp"

using namespace rig;

namespace {

constexpr std::size_t kLongAnswer = 300000;   // bytes of a long answer
constexpr int kClients = 8, kRounds = 6, kCommands = 4;

std::string command(const std::string& id, int place, int customer) {
    if (place == 3) return request(true, id, 6, customer, "flood");   // must not run twice
    std::string text = request(false, id, 4, customer);
    return place == 1 ? text.insert(text.find(" HTTP/1.1"), "&long=1") : text;
}

}   // namespace

int main() {
    std::atomic<int> resets{0}, long_answers{0};
    std::mutex lock;
    std::map<std::string, int> ran;
    const auto answer = [&](int fd, const Message& request) {
        {
            const std::lock_guard guard(lock);
            ++ran[request.field("x-request-id")];
        }
        sleep_s(0.02);
        if (request.target().find("&long=1") == std::string::npos) return write_all(fd, ok("short"));
        const std::string whole = ok(std::string(kLongAnswer, 'x'));
        if (++long_answers % 4 != 0 || !trouble()) return write_all(fd, whole);
        if (!write_all(fd, whole.data(), kLongAnswer / 2)) return false;
        sleep_s(0.5);   // the ingress has passed the beginning on
        const linger reset{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ++resets;
        record("a backend resets the connection under the answer to %s, half of which it has sent",
               request.field("x-request-id").c_str());
        return false;
    };
    Backend one("s-1", answer), two("s-2", answer), three("s-3", answer);
    Discovery discovery(
        {{"s-1", address(one.port())}, {"s-2", address(two.port())}, {"s-3", address(three.port())}});
    const int port = free_port();
    write_file(folder() + "/config.json", config("n0", port, discovery.port(), discovery.whole()));
    start(run_command(), {{"NODE_CONFIG", folder() + "/config.json"}, {"TMPDIR", folder()}},
          folder() + "/log");
    if (!await_ready(port)) finish(2);

    std::atomic<int> whole{0}, broken{0}, again{0}, lost{0}, failed{0};
    // One command alone on a new connection, where a close has crossed it unread. False: no whole answer.
    const auto repeat = [&](const std::string& text) {
        const int fd = dial(port);
        std::string rest;
        Message reply;
        const bool good = fd >= 0 && write_all(fd, text) && read_message(fd, rest, reply, now() + 7) == 1;
        ::close(fd);
        return good;
    };
    const auto play = [&](int client, int round) {
        std::vector<std::string> ids, texts;
        std::string all;
        for (int i = 0; i < kCommands; ++i) {
            ids.push_back("c" + std::to_string(client) + "-" + std::to_string(round) + "-" +
                          std::to_string(i));
            texts.push_back(command(ids.back(), i, 1 + client));
            all += texts.back();
        }
        const int fd = dial(port);
        if (fd < 0 || !write_all(fd, all)) finish(2);
        const double sent_at = now();
        std::string rest;
        int i = 0, result = 1;
        bool close_told = false;   // an answer said that it is the last one of the connection
        for (; i < kCommands && !close_told; ++i) {
            Message reply;
            result = read_message(fd, rest, reply, sent_at + 12);
            if (result != 1) {
                if (reply.status() != 200) break;
                record("%s: status 200, %zu of %s bytes, then the connection was %s after %.2f s",
                       ids[static_cast<std::size_t>(i)].c_str(), rest.size(),
                       reply.field("content-length").c_str(), result == 0 ? "closed" : "reset",
                       now() - sent_at);
                ++broken;   // failed and not lost: the client can tell that it is incomplete
                ++i;
                break;
            }
            ++(reply.status() == 200 ? whole : failed);
            close_told = reply.field("connection") == "close";
        }
        ::close(fd);
        for (; i < kCommands; ++i) {
            const std::size_t at = static_cast<std::size_t>(i);
            int runs = 0;
            {
                const std::lock_guard guard(lock);
                runs = ran[ids[at]];
            }
            // A close over unread bytes resets the connection, and an answer with "Connection: close" tells
            // the client that nothing behind it was taken: such a command is sent once more.
            if (result < 0 || close_told) {
                ++again;
                lost += !repeat(texts[at]);
                continue;
            }
            record(
                "%s: written whole with the others, read by the ingress (the close is no reset), no answer "
                "of any kind; backends got it %d times: LOST",
                ids[at].c_str(), runs);
            ++lost;
        }
    };
    std::vector<std::thread> clients;
    for (int c = 0; c < kClients; ++c)
        clients.emplace_back([&, c] {
            for (int r = 0; r < kRounds; ++r) {
                play(c, r);
                sleep_s(0.2 + 0.03 * c);
            }
        });
    for (std::thread& client : clients) client.join();
    record("commands: %d served, %d refused or failed, %d broken off by a backend, %d sent again, %d lost",
           whole.load(), failed.load(), broken.load(), again.load(), lost.load());
    std::printf(
        "commands: %d served, %d refused or failed, %d broken off by a backend, %d sent again, %d lost\n",
        whole.load(), failed.load(), broken.load(), again.load(), lost.load());
    if (whole < 50 || (trouble() && resets == 0)) finish(2);
    finish(lost > 0 ? 1 : 0);
}
