// An old and a new process of the program itself, under load, with what can go wrong at each step.
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

// One ingress: its address, the provider behind it, and as many processes as a test starts.
struct Site {
    Site() {
        char name[] = "/tmp/slatejunction-upgrade-XXXXXX";
        REQUIRE(::mkdtemp(name) != nullptr);
        folder = name;
        std::ifstream in(std::string(EXCHANGES) + "/config.json");
        std::stringstream text;
        text << in.rdbuf();
        std::string config = text.str();
        provider_port = free_port();
        port = free_port();
        config.replace(config.find("$PROVIDER"), 9, address_of(provider_port));
        std::ofstream(folder + "/config.json") << config;
        provider = Process({FAKES, "backend", "--listen", address_of(provider_port)}, "",
                           folder + "/provider.err");
    }
    ~Site() {
        for (auto& one : all) one = Process();
        provider = Process();
        std::system(("rm -rf " + folder).c_str());
    }
    // Its admin port. `temporary`: its TMPDIR; empty: none.
    int start(const std::string& temporary) {
        const int admin = free_port();
        ::setenv("NODE_CONFIG", (folder + "/config.json").c_str(), 1);
        ::setenv("NODE_LISTEN", address_of(port).c_str(), 1);
        ::setenv("NODE_DISCOVERY", address_of(1).c_str(), 1);
        ::setenv("NODE_ADMIN_ADDR", address_of(admin).c_str(), 1);
        temporary.empty() ? ::unsetenv("TMPDIR") : ::setenv("TMPDIR", temporary.c_str(), 1);
        all.emplace_back(std::vector<std::string>{PROGRAM}, "",
                         folder + "/err" + std::to_string(all.size()));
        // Other tests of this program start theirs without.
        for (const char* name :
             {"NODE_CONFIG", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_ADMIN_ADDR", "TMPDIR"})
            ::unsetenv(name);
        return admin;
    }
    int start() { return start(folder); }
    std::string log(std::size_t which) const {
        std::ifstream in(folder + "/err" + std::to_string(which));
        std::stringstream text;
        text << in.rdbuf();
        return text.str();
    }
    bool says(std::size_t which, const std::string& text, double most_s = 10) const {
        return wait_for([&] { return log(which).find(text) != std::string::npos; }, most_s);
    }
    std::string socket() const {
        return folder + "/slatejunction-127.0.0.1_" + std::to_string(port) + ".sock";
    }
    std::string folder;
    int port = 0, provider_port = 0;
    Process provider;
    std::vector<Process> all;
};

bool yes(int admin, const std::string& method, const std::string& target) {
    return ask(admin, method, target).starts_with("HTTP/1.1 200");
}
bool ready(int admin, double most_s = 10) {
    return wait_for([&] { return yes(admin, "GET", "/v1/readyz"); }, most_s);
}
bool served(int port, int number) {
    return ask(port, "GET", "/risk-read?customer=00000000b4d65521",
               "X-Request-Id: r" + std::to_string(number) +
                   "\r\nX-Class: risk-read\r\nX-Tier: plus\r\nX-Deadline: 2.000\r\n"
                   "X-Call-Terms: units=1,spread=1,first=0\r\n")
        .starts_with("HTTP/1.1 200");
}

// Consumers that ask without pause, each time on a connection of its own; counts those left unanswered.
struct Load {
    explicit Load(int port) {
        for (int i = 0; i < 4; ++i)
            threads.emplace_back([this, port, i] {
                for (int n = 0; !over; ++n) {
                    const std::string answer =
                        ask(port, "GET", "/health/ready", "X-Nothing: " + std::to_string(i) + "\r\n");
                    ++asked;
                    if (!answer.starts_with("HTTP/1.1 ")) ++lost;
                }
            });
    }
    ~Load() { end(); }
    void end() {
        over = true;
        for (auto& one : threads)
            if (one.joinable()) one.join();
    }
    std::atomic<bool> over = false;
    std::atomic<int> asked = 0, lost = 0;
    std::vector<std::thread> threads;
};

}   // namespace

TEST_CASE("an upgrade under load: no connection is refused, reset or unread, and the old one leaves") {
    Site site;
    int admin = site.start();
    REQUIRE(ready(admin));
    Load load(site.port);
    for (std::size_t i = 0; i < 4; ++i) {
        const int next = site.start();
        REQUIRE(ready(next));
        REQUIRE(site.all[i].wait() == 0);
        admin = next;
        REQUIRE(served(site.port, static_cast<int>(i)));
    }
    load.end();
    REQUIRE(load.asked > 200);
    REQUIRE(load.lost == 0);
}

TEST_CASE("suspensions and drain go over, and calls at either process hold at both") {
    Site site;
    const int old_admin = site.start();
    REQUIRE(ready(old_admin));
    REQUIRE(served(site.port, 1));
    // Held open, so that the old process stays.
    const int held = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = loopback_of(site.port);
    REQUIRE(::connect(held, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(::send(held, "POST /warn-send?c", 17, MSG_NOSIGNAL) == 17);
    REQUIRE(yes(old_admin, "POST", "/v1/backends/s-1/suspend"));
    const int new_admin = site.start();
    REQUIRE(ready(new_admin));
    REQUIRE_FALSE(served(site.port, 2));
    REQUIRE(yes(old_admin, "POST", "/v1/backends/s-1/resume"));
    REQUIRE(served(site.port, 3));
    REQUIRE(yes(new_admin, "POST", "/v1/backends/s-1/suspend"));
    REQUIRE(site.says(0, "s-1 suspended at the other process"));
    REQUIRE(yes(old_admin, "POST", "/v1/ingress/drain"));
    REQUIRE(ask(site.port, "GET", "/health/ready").starts_with("HTTP/1.1 503"));
    REQUIRE(yes(new_admin, "POST", "/v1/ingress/activate"));
    REQUIRE(ask(site.port, "GET", "/health/ready").starts_with("HTTP/1.1 200"));
    ::close(held);
    REQUIRE(site.all[0].wait() == 0);
    REQUIRE_FALSE(served(site.port, 4));
    REQUIRE(yes(new_admin, "POST", "/v1/backends/s-1/resume"));
    REQUIRE(served(site.port, 5));
}

TEST_CASE("a drained ingress stays drained over an upgrade") {
    Site site;
    const int old_admin = site.start();
    REQUIRE(ready(old_admin));
    REQUIRE(yes(old_admin, "POST", "/v1/ingress/drain"));
    const int new_admin = site.start();
    REQUIRE(ready(new_admin));
    REQUIRE(ask(site.port, "GET", "/health/ready").starts_with("HTTP/1.1 503"));
    REQUIRE(yes(new_admin, "POST", "/v1/ingress/activate"));
    REQUIRE(ask(site.port, "GET", "/health/ready").starts_with("HTTP/1.1 200"));
}

TEST_CASE("the new process dies: the old one goes on, before and after the handover") {
    Site site;
    const int old_admin = site.start();
    REQUIRE(ready(old_admin));
    SECTION("before it accepts") {
        site.start();
        REQUIRE(site.says(0, "a new process is preparing"));
        REQUIRE(site.all[1].end(SIGKILL) == 128 + SIGKILL);
    }
    SECTION("after it accepts") {
        const int held = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = loopback_of(site.port);
        REQUIRE(::connect(held, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(::send(held, "POST /warn-send?c", 17, MSG_NOSIGNAL) == 17);
        REQUIRE(ready(site.start()));
        REQUIRE(site.all[1].end(SIGKILL) == 128 + SIGKILL);
        ::close(held);
    }
    SECTION("told to end before the old one has left") {
        const int held = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = loopback_of(site.port);
        REQUIRE(::connect(held, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(::send(held, "POST /warn-send?c", 17, MSG_NOSIGNAL) == 17);
        REQUIRE(ready(site.start()));
        REQUIRE(site.all[1].end(SIGTERM) == 0);
        ::close(held);
    }
    REQUIRE(ready(old_admin));
    REQUIRE(site.all[0].running());
    REQUIRE(served(site.port, 1));
    // And one more takes over as usual.
    REQUIRE(ready(site.start()));
    REQUIRE(site.all[0].wait() == 0);
    REQUIRE(served(site.port, 2));
}

TEST_CASE("the old process is killed at any step: the new one accepts") {
    Site site;
    REQUIRE(ready(site.start()));
    const int next = site.start();
    SECTION("while the new one readies itself") { REQUIRE(site.says(0, "a new process is preparing")); }
    SECTION("once the new one accepts") { REQUIRE(ready(next)); }
    SECTION("told to end while the new one readies itself") {
        REQUIRE(site.says(0, "a new process is preparing"));
        REQUIRE(site.all[0].end(SIGTERM) == 0);
    }
    site.all[0].signal(SIGKILL);
    REQUIRE(ready(next));
    REQUIRE(served(site.port, 1));
}

TEST_CASE("without a process that can be understood the new one starts by itself") {
    Site site;
    SECTION("a stale file") {
        REQUIRE(ready(site.start()));
        REQUIRE(site.all[0].end(SIGKILL) == 128 + SIGKILL);
        struct stat file {};
        REQUIRE(::stat(site.socket().c_str(), &file) == 0);
    }
    SECTION("noise, or silence") {
        const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_un at{};
        at.sun_family = AF_UNIX;
        site.socket().copy(at.sun_path, sizeof at.sun_path - 1);
        REQUIRE(::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(::listen(fd, 4) == 0);
        const bool silent = GENERATE(false, true);
        std::thread peer([fd, silent] {
            const int one = ::accept(fd, nullptr, nullptr);
            const std::string noise = "{\"v\":9,\"is\":\"state\"}\n\0\xff~~~~\n";
            if (!silent) ::send(one, noise.data(), noise.size(), MSG_NOSIGNAL);
            sleep_s(3);
            ::close(one);
            ::close(fd);
        });
        const bool good = ready(site.start());
        peer.join();
        REQUIRE(good);
        REQUIRE(site.says(0, "gave no valid answer"));
    }
    if (site.all.empty() || !site.all.back().running()) REQUIRE(ready(site.start()));
    REQUIRE(served(site.port, 1));
}

TEST_CASE("noise at the old process's socket does not disturb it") {
    Site site;
    const int admin = site.start();
    REQUIRE(ready(admin));
    std::vector<int> held;
    for (int i = 0; i < 20; ++i) {
        const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_un at{};
        at.sun_family = AF_UNIX;
        site.socket().copy(at.sun_path, sizeof at.sun_path - 1);
        REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        const std::string noise = i % 2 ? std::string(3000, 'x') + "\n" : "{\"v\":1,\"is\":\"taken\"}\n";
        ::send(fd, noise.data(), noise.size(), MSG_NOSIGNAL);
        held.push_back(fd);
    }
    REQUIRE(served(site.port, 1));
    REQUIRE(yes(admin, "GET", "/v1/readyz"));
    for (const int fd : held) ::close(fd);
    REQUIRE(ready(site.start()));
    REQUIRE(site.all[0].wait() == 0);
}

TEST_CASE("no TMPDIR, one too long, one that can't be written: both listen, a log line tells") {
    Site site;
    const std::string where = GENERATE(std::string(), std::string(120, 'x'), std::string("/proc"));
    const std::string temporary = where.size() > 20 ? site.folder + "/" + where : where;
    REQUIRE(ready(site.start(temporary)));
    REQUIRE(site.says(0, "hot restart: disabled"));
    REQUIRE(ready(site.start(temporary)));
    REQUIRE(site.all[0].running());
    REQUIRE(site.all[0].end(SIGTERM) == 0);
    REQUIRE(served(site.port, 1));
}

TEST_CASE("a third process waits for a second one") {
    Site site;
    REQUIRE(ready(site.start()));
    site.start();
    const int third = site.start();
    REQUIRE(ready(third));
    REQUIRE(served(site.port, 1));
    REQUIRE(site.all[0].wait() == 0);
    REQUIRE(wait_for([&] { return served(site.port, 2); }));
    REQUIRE(site.all[2].running());
}
