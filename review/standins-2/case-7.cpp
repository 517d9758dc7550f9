// Case 7: requests that may not be repeated, at backends of which two of four hang in the middle of their
// work: they have begun an answer, of unknown length, and write no more. Each request has to get its final
// answer.
#include "rig.hpp"

using namespace rig;

namespace {

// Up to half a second after its time a request only earns nothing; every limit is 50 ms longer on sockets.
constexpr double kSlackS = 0.5 + 0.05;
constexpr int kRequests = 16;

}   // namespace

int main() {
    std::atomic<int> hung{0};
    // What the page allows of a whole answer without a length: chunks, the last of size 0.
    const auto chunked = [](int fd) {
        return write_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nstored\r\n") &&
               write_all(fd, "0\r\n\r\n");
    };
    // Two of four hang; the page lets a quarter to a half of the backends hang.
    const auto hangs = [&](const char* name, int fd, const Message& request) {
        sleep_s(0.4);
        if (!trouble()) return chunked(fd);
        ++hung;
        record("backend %s begins its answer to %s and hangs", name, request.field("x-request-id").c_str());
        write_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nstored\r\n");
        char byte = 0;
        read_some(fd, &byte, 1, now() + 60);   // until the other side ends it
        return false;
    };
    const auto answers = [&](int fd, const Message&) {
        sleep_s(0.4);
        return chunked(fd);
    };
    Backend one("s-1", [&](int fd, const Message& request) { return hangs("s-1", fd, request); });
    Backend two("s-2", [&](int fd, const Message& request) { return hangs("s-2", fd, request); });
    Backend three("s-3", answers), four("s-4", answers);
    Discovery discovery({{"s-1", address(one.port())},
                         {"s-2", address(two.port())},
                         {"s-3", address(three.port())},
                         {"s-4", address(four.port())}});
    const int port = free_port();
    write_file(folder() + "/config.json", config("n0", port, discovery.port(), discovery.whole()));
    start(run_command(), {{"NODE_CONFIG", folder() + "/config.json"}, {"TMPDIR", folder()}},
          folder() + "/log");
    if (!await_ready(port)) finish(2);

    std::atomic<int> late{0}, answered{0}, refused{0};
    std::vector<std::thread> clients;
    for (int k = 0; k < kRequests; ++k)
        clients.emplace_back([&, k] {
            sleep_s(0.1 * k);
            const double deadline = 6.0 + 0.1 * k;   // a try is given up after 50 to 100% of 12 s
            const std::string id = "warn-" + std::to_string(k);
            const int fd = dial(port);
            if (fd < 0 || !write_all(fd, request(true, id, deadline, 1 + k, "flood"))) finish(2);
            const double sent_at = now();
            std::string rest;
            Message answer;
            // The client waits on, to see when its answer is final: whole, or its connection ended.
            const int result = read_message(fd, rest, answer, sent_at + deadline + 20);
            const double took = now() - sent_at;
            const bool in_time = result != -2 && took <= deadline + kSlackS;
            record("%s: X-Deadline %.1f, status %d, %s after %.2f s%s", id.c_str(), deadline,
                   answer.status(),
                   result == 1    ? "whole"
                   : result == -2 ? "still not final"
                                  : "not whole, the connection ended",
                   took, in_time ? "" : ": LOST, later than half a second after its time");
            ++answered;
            refused += answer.status() == 503;
            late += !in_time;
            ::close(fd);
        });
    for (std::thread& client : clients) client.join();
    record("requests: %d, of these %d without a final answer in time, %d refused; %d answers hung",
           answered.load(), late.load(), refused.load(), hung.load());
    std::printf("requests: %d, of these %d without a final answer in time, %d refused; %d answers hung\n",
                answered.load(), late.load(), refused.load(), hung.load());
    if (trouble() && hung == 0) finish(2);
    finish(late > 0 ? 1 : 0);
}
