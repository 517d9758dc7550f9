// Case 10: a backend is taken out by an operator's call, then the ingress is upgraded. The private folder
// $TMPDIR, which both processes share, has a path of a hundred characters.
#include <sys/stat.h>

#include "rig.hpp"

using namespace rig;

namespace {

constexpr double kGraceS = 0.25 + 0.05;   // Rules.DrainGraceS, and 50 ms on sockets

}   // namespace

int main() {
    std::mutex lock;
    double banned_at = 0;
    int late = 0, served[2] = {0, 0};
    const auto answer = [&](int which, int fd, const Message& request) {
        {
            const std::lock_guard guard(lock);
            ++served[which];
            if (which == 0 && banned_at > 0 && now() > banned_at + kGraceS) {
                ++late;
                if (late <= 20)
                    record("backend s-1, taken out %.2f s ago, gets %s", now() - banned_at,
                           request.field("x-request-id").c_str());
            }
        }
        sleep_s(0.02);
        return write_all(fd, ok("done"));
    };
    Backend one("s-1", [&](int fd, const Message& request) { return answer(0, fd, request); });
    Backend two("s-2", [&](int fd, const Message& request) { return answer(1, fd, request); });
    Discovery discovery({{"s-1", address(one.port())}, {"s-2", address(two.port())}});
    const int port = free_port(), first_admin = free_port(), second_admin = free_port();
    write_file(folder() + "/config.json", config("n0", port, discovery.port(), discovery.whole()));
    std::string shared = folder() + "/";   // $TMPDIR
    shared += std::string(100 - std::min<std::size_t>(99, shared.size()), 't');
    if (::mkdir(shared.c_str(), 0700) != 0) finish(2);
    const auto run = [&](int admin) {
        return start(run_command(),
                     {{"NODE_CONFIG", folder() + "/config.json"},
                      {"TMPDIR", shared},
                      {"NODE_ADMIN_ADDR", address(admin)}},
                     folder() + "/log");
    };
    const pid_t old_process = run(first_admin);
    if (!await_ready(port)) finish(2);

    std::atomic<bool> stop{false};
    std::atomic<int> sent{0}, good{0};
    std::vector<std::thread> clients;
    for (int t = 0; t < 6; ++t)
        clients.emplace_back([&, t] {
            for (int i = 0; !stop; ++i) {
                const std::string id = "u-" + std::to_string(t) + "-" + std::to_string(i);
                const int fd = dial(port);
                if (fd < 0) {
                    sleep_s(0.05);
                    continue;
                }
                ++sent;
                std::string rest;
                Message reply;
                write_all(fd, request(i % 5 == 0, id, 4, 1 + t, i % 5 == 0 ? "flood" : ""));
                good += read_message(fd, rest, reply, now() + 5) == 1 && reply.status() == 200;
                ::close(fd);
                sleep_s(0.02);
            }
        });
    sleep_s(2);
    const int yes = get(first_admin, "/v1/backends/s-1/suspend", "POST");
    record("POST /v1/backends/s-1/suspend: %d", yes);
    if (yes != 200) finish(2);
    {
        const std::lock_guard guard(lock);
        banned_at = now();
    }
    sleep_s(2);
    if (trouble()) {
        run(second_admin);
        const double started = now();
        while (get(second_admin, "/v1/readyz") != 200 && now() < started + 6) sleep_s(0.02);
        record("upgrade: the new process says yes after %.2f s; SIGTERM to the old one", now() - started);
        ::kill(old_process, SIGTERM);
        int status = 0;
        const double asked = now();
        while (::waitpid(old_process, &status, WNOHANG) == 0 && now() < asked + 3.7) sleep_s(0.02);
        ::kill(old_process, SIGKILL);
        record("the old process has ended after %.2f s", now() - asked);
    }
    sleep_s(5);
    stop = true;
    for (std::thread& client : clients) client.join();
    const std::lock_guard guard(lock);
    record("requests: %d, served %d; s-1 got %d, s-2 got %d; s-1 got %d later than the grace after the yes",
           sent.load(), good.load(), served[0], served[1], late);
    std::printf("requests: %d, served %d; s-1 got %d, s-2 got %d; s-1 got %d later than the grace\n",
                sent.load(), good.load(), served[0], served[1], late);
    if (good < 100) finish(2);
    finish(late > 0 ? 1 : 0);
}
