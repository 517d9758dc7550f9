// Hot restarts of the started program, under load and with failures at each step.
#include <sys/stat.h>
#include <sys/un.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

#include "files.hpp"
#include "process.hpp"

namespace {

// One ingress: its address, the backend behind it, and the processes that a test starts.
struct Site {
    Site() {
        char name[] = "/tmp/slatejunction-upgrade-XXXXXX";
        REQUIRE(::mkdtemp(name) != nullptr);
        folder = name;
        std::ifstream in(std::string(EXCHANGES) + "/config.json");
        std::stringstream text;
        text << in.rdbuf();
        std::string config = text.str();
        backend_port = free_port();
        port = free_port();
        config.replace(config.find("$PROVIDER"), 9, address_of(backend_port));
        std::ofstream(folder + "/config.json") << config;
        backend =
            Process({FAKES, "backend", "--listen", address_of(backend_port)}, "", folder + "/backend.err");
    }
    ~Site() {
        for (auto& process : processes) process = Process();
        backend = Process();
        std::system(("rm -rf " + folder).c_str());
    }
    // Starts a process and returns its admin port. `temporary`: its TMPDIR; empty: not set.
    int start(const std::string& temporary) {
        const int admin = free_port();
        ::setenv("NODE_CONFIG", (folder + "/config.json").c_str(), 1);
        ::setenv("NODE_LISTEN", address_of(port).c_str(), 1);
        ::setenv("NODE_DISCOVERY", address_of(1).c_str(), 1);
        ::setenv("NODE_ADMIN_ADDR", address_of(admin).c_str(), 1);
        temporary.empty() ? ::unsetenv("TMPDIR") : ::setenv("TMPDIR", temporary.c_str(), 1);
        processes.emplace_back(std::vector<std::string>{PROGRAM}, "",
                               folder + "/err" + std::to_string(processes.size()));
        // Other tests in this executable start their programs without these variables.
        for (const char* name :
             {"NODE_CONFIG", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_ADMIN_ADDR", "TMPDIR"})
            ::unsetenv(name);
        return admin;
    }
    int start() { return start(folder); }
    std::string log(std::size_t process) const {
        std::ifstream in(folder + "/err" + std::to_string(process));
        std::stringstream text;
        text << in.rdbuf();
        return text.str();
    }
    bool logs(std::size_t process, const std::string& text, double timeout_s = 10) const {
        return wait_for([&] { return log(process).find(text) != std::string::npos; }, timeout_s);
    }
    std::string socket_path() const {
        return folder + "/slatejunction-127.0.0.1_" + std::to_string(port) + ".sock";
    }
    std::string folder;
    int port = 0, backend_port = 0;
    Process backend;
    std::vector<Process> processes;
};

bool admin_call(int admin_port, const std::string& method, const std::string& target) {
    return ask(admin_port, method, target).starts_with("HTTP/1.1 200");
}
bool ready(int admin_port, double timeout_s = 10) {
    return wait_for([&] { return admin_call(admin_port, "GET", "/v1/readyz"); }, timeout_s);
}
bool served(int port, int number) {
    return ask(port, "GET", "/risk-read?customer=00000000b4d65521",
               "X-Request-Id: r" + std::to_string(number) +
                   "\r\nX-Class: risk-read\r\nX-Tier: plus\r\nX-Deadline: 2.000\r\n"
                   "X-Call-Terms: units=1,spread=1,first=0\r\n")
        .starts_with("HTTP/1.1 200");
}

// Clients that send requests without pause, each on a new connection; counts the unanswered ones.
struct Load {
    explicit Load(int port) {
        for (int i = 0; i < 4; ++i)
            threads.emplace_back([this, port, i] {
                for (int n = 0; !stopped; ++n) {
                    const std::string answer =
                        ask(port, "GET", "/health/ready", "X-Nothing: " + std::to_string(i) + "\r\n");
                    ++requests;
                    if (!answer.starts_with("HTTP/1.1 ")) ++lost;
                }
            });
    }
    ~Load() { stop(); }
    void stop() {
        stopped = true;
        for (auto& thread : threads)
            if (thread.joinable()) thread.join();
    }
    std::atomic<bool> stopped = false;
    std::atomic<int> requests = 0, lost = 0;
    std::vector<std::thread> threads;
};

}   // namespace

TEST_CASE("a hot restart under load: every connection is answered, and the old process exits") {
    Site site;
    int admin = site.start();
    REQUIRE(ready(admin));
    Load load(site.port);
    for (std::size_t i = 0; i < 4; ++i) {
        const int next = site.start();
        REQUIRE(ready(next));
        REQUIRE(site.processes[i].wait() == 0);
        admin = next;
        REQUIRE(served(site.port, static_cast<int>(i)));
    }
    load.stop();
    REQUIRE(load.requests > 200);
    REQUIRE(load.lost == 0);
}

TEST_CASE("suspensions and a drain are handed over, and admin calls at either process apply to both") {
    Site site;
    const int old_admin = site.start();
    REQUIRE(ready(old_admin));
    REQUIRE(served(site.port, 1));
    // A connection is held open, so that the old process keeps running.
    const int held = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = loopback_of(site.port);
    REQUIRE(::connect(held, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(::send(held, "POST /warn-send?c", 17, MSG_NOSIGNAL) == 17);
    REQUIRE(admin_call(old_admin, "POST", "/v1/backends/s-1/suspend"));
    const int new_admin = site.start();
    REQUIRE(ready(new_admin));
    REQUIRE_FALSE(served(site.port, 2));
    REQUIRE(admin_call(old_admin, "POST", "/v1/backends/s-1/resume"));
    REQUIRE(served(site.port, 3));
    REQUIRE(admin_call(new_admin, "POST", "/v1/backends/s-1/suspend"));
    REQUIRE(site.logs(0, "s-1 suspended (call received by the other process)"));
    REQUIRE(admin_call(old_admin, "POST", "/v1/ingress/drain"));
    REQUIRE(ask(site.port, "GET", "/health/ready").starts_with("HTTP/1.1 503"));
    REQUIRE(admin_call(new_admin, "POST", "/v1/ingress/activate"));
    REQUIRE(ask(site.port, "GET", "/health/ready").starts_with("HTTP/1.1 200"));
    ::close(held);
    REQUIRE(site.processes[0].wait() == 0);
    REQUIRE_FALSE(served(site.port, 4));
    REQUIRE(admin_call(new_admin, "POST", "/v1/backends/s-1/resume"));
    REQUIRE(served(site.port, 5));
}

TEST_CASE("a drained ingress stays drained over a hot restart") {
    Site site;
    const int old_admin = site.start();
    REQUIRE(ready(old_admin));
    REQUIRE(admin_call(old_admin, "POST", "/v1/ingress/drain"));
    const int new_admin = site.start();
    REQUIRE(ready(new_admin));
    REQUIRE(ask(site.port, "GET", "/health/ready").starts_with("HTTP/1.1 503"));
    REQUIRE(admin_call(new_admin, "POST", "/v1/ingress/activate"));
    REQUIRE(ask(site.port, "GET", "/health/ready").starts_with("HTTP/1.1 200"));
}

TEST_CASE("the old process serves on if the new one dies before or after it accepts") {
    Site site;
    const int old_admin = site.start();
    REQUIRE(ready(old_admin));
    SECTION("before it accepts") {
        site.start();
        REQUIRE(site.logs(0, "a new process is preparing to take over"));
        REQUIRE(site.processes[1].end(SIGKILL) == 128 + SIGKILL);
    }
    SECTION("after it accepts") {
        const int held = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = loopback_of(site.port);
        REQUIRE(::connect(held, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(::send(held, "POST /warn-send?c", 17, MSG_NOSIGNAL) == 17);
        REQUIRE(ready(site.start()));
        REQUIRE(site.processes[1].end(SIGKILL) == 128 + SIGKILL);
        ::close(held);
    }
    SECTION("SIGTERM before the old process has exited") {
        const int held = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = loopback_of(site.port);
        REQUIRE(::connect(held, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(::send(held, "POST /warn-send?c", 17, MSG_NOSIGNAL) == 17);
        REQUIRE(ready(site.start()));
        REQUIRE(site.processes[1].end(SIGTERM) == 0);
        ::close(held);
    }
    REQUIRE(ready(old_admin));
    REQUIRE(site.processes[0].running());
    REQUIRE(served(site.port, 1));
    // A further process takes over as usual.
    REQUIRE(ready(site.start()));
    REQUIRE(site.processes[0].wait() == 0);
    REQUIRE(served(site.port, 2));
}

TEST_CASE("the new process accepts if the old one is killed at any step") {
    Site site;
    REQUIRE(ready(site.start()));
    const int next = site.start();
    SECTION("while the new one is preparing") {
        REQUIRE(site.logs(0, "a new process is preparing to take over"));
    }
    SECTION("once the new one accepts") { REQUIRE(ready(next)); }
    SECTION("SIGTERM while the new one is preparing") {
        REQUIRE(site.logs(0, "a new process is preparing to take over"));
        REQUIRE(site.processes[0].end(SIGTERM) == 0);
    }
    site.processes[0].signal(SIGKILL);
    REQUIRE(ready(next));
    REQUIRE(served(site.port, 1));
}

TEST_CASE("a process starts alone if none at the socket gives a valid answer") {
    Site site;
    SECTION("a stale socket file") {
        REQUIRE(ready(site.start()));
        REQUIRE(site.processes[0].end(SIGKILL) == 128 + SIGKILL);
        struct stat file {};
        REQUIRE(::stat(site.socket_path().c_str(), &file) == 0);
    }
    SECTION("an invalid answer, or none") {
        const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_un at{};
        at.sun_family = AF_UNIX;
        site.socket_path().copy(at.sun_path, sizeof at.sun_path - 1);
        REQUIRE(::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(::listen(fd, 4) == 0);
        const bool silent = GENERATE(false, true);
        std::thread peer([fd, silent] {
            const int accepted = ::accept(fd, nullptr, nullptr);
            const std::string noise = "{\"v\":9,\"is\":\"state\"}\n\0\xff~~~~\n";
            if (!silent) ::send(accepted, noise.data(), noise.size(), MSG_NOSIGNAL);
            sleep_s(3);
            ::close(accepted);
            ::close(fd);
        });
        const bool became_ready = ready(site.start());
        peer.join();
        REQUIRE(became_ready);
        REQUIRE(site.logs(0, "gave no valid answer"));
    }
    if (site.processes.empty() || !site.processes.back().running()) REQUIRE(ready(site.start()));
    REQUIRE(served(site.port, 1));
}

TEST_CASE("invalid messages at its socket do not disturb the old process") {
    Site site;
    const int admin = site.start();
    REQUIRE(ready(admin));
    std::vector<int> held;
    for (int i = 0; i < 20; ++i) {
        const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_un at{};
        at.sun_family = AF_UNIX;
        site.socket_path().copy(at.sun_path, sizeof at.sun_path - 1);
        REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        const std::string noise = i % 2 ? std::string(3000, 'x') + "\n" : "{\"v\":1,\"is\":\"taken\"}\n";
        ::send(fd, noise.data(), noise.size(), MSG_NOSIGNAL);
        held.push_back(fd);
    }
    REQUIRE(served(site.port, 1));
    REQUIRE(admin_call(admin, "GET", "/v1/readyz"));
    for (const int fd : held) ::close(fd);
    REQUIRE(ready(site.start()));
    REQUIRE(site.processes[0].wait() == 0);
}

TEST_CASE("without a usable TMPDIR both processes listen, and the log says so") {
    Site site;
    // Not set, too long for a socket path, and not writable.
    const std::string name = GENERATE(std::string(), std::string(120, 'x'), std::string("/proc"));
    const std::string temporary = name.size() > 20 ? site.folder + "/" + name : name;
    REQUIRE(ready(site.start(temporary)));
    REQUIRE(site.logs(0, "hot restart: disabled"));
    REQUIRE(ready(site.start(temporary)));
    REQUIRE(site.processes[0].running());
    REQUIRE(site.processes[0].end(SIGTERM) == 0);
    REQUIRE(served(site.port, 1));
}

TEST_CASE("a third process takes over only after the second one has") {
    Site site;
    REQUIRE(ready(site.start()));
    site.start();
    const int third = site.start();
    REQUIRE(ready(third));
    REQUIRE(served(site.port, 1));
    REQUIRE(site.processes[0].wait() == 0);
    REQUIRE(wait_for([&] { return served(site.port, 2); }));
    REQUIRE(site.processes[2].running());
}
