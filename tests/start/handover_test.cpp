// A process stands at the socket of the handover that does not answer as one should: the new one waits for
// a bounded time, and listens by itself.
#include <sys/ioctl.h>

#include <atomic>

#include "hot_restart/restart_channel.hpp"
#include "start/rig.hpp"

namespace {

// Ready well inside what a new process has: what it waits for an answer, and time for a busy machine.
constexpr double kReady = slatejunction::hot_restart::RestartChannel::takeover_bound_s() + 2.5;
static_assert(kReady < 6);

Owned listen_at(const std::string& path, int backlog) {
    Owned fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    path.copy(at.sun_path, sizeof at.sun_path - 1);
    REQUIRE(::bind(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(::listen(fd.get(), backlog) == 0);
    return fd;
}

// Calls without an end, until there is no room for one more.
std::vector<Owned> fill(const std::string& path) {
    std::vector<Owned> all;
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    path.copy(at.sun_path, sizeof at.sun_path - 1);
    for (;;) {
        Owned fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
            REQUIRE(errno == EAGAIN);
            return all;
        }
        all.push_back(std::move(fd));
        REQUIRE(all.size() < 1000);
    }
}

// Says the same to every caller, again and again, until the caller has gone; nothing more after `until_s`.
class Peer {
  public:
    Peer(const std::string& path, std::string line, double every_s, double until_s = 1e3)
        : fd_(listen_at(path, 8)),
          line_(std::move(line)),
          every_s_(every_s),
          until_s_(until_s),
          thread_([this] { serve(); }) {}
    ~Peer() {
        over_ = true;
        thread_.join();
    }

  private:
    void serve() {
        pollfd one{fd_.get(), POLLIN, 0};
        while (!over_) {
            if (::poll(&one, 1, 20) != 1) continue;
            const Owned caller(::accept(fd_.get(), nullptr, nullptr));
            while (!over_ && seconds_since(began_) > until_s_) sleep_s(0.02);
            while (!over_ && ::send(caller.get(), line_.data(), line_.size(), MSG_NOSIGNAL) > 0)
                sleep_s(every_s_);
        }
    }
    const Owned fd_;
    const std::string line_;
    const double every_s_, until_s_;
    const std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
    std::atomic<bool> over_ = false;
    std::thread thread_;
};

}   // namespace

TEST_CASE("a process that stands still with a full backlog does not hold a start", "[start]") {
    Start start;
    const Owned still = listen_at(start.socket_path(), 0);
    const auto calls = fill(start.socket_path());
    start.run();
    REQUIRE(start.ready(kReady));
    REQUIRE(start.says(
        "hot restart: the process at the socket gave no valid answer; this process listens by itself"));
}

TEST_CASE("a process that stands still with room for calls does not hold a start", "[start]") {
    Start start;
    const Owned still = listen_at(start.socket_path(), 8);
    start.run();
    REQUIRE(start.ready(kReady));
    REQUIRE(start.says(
        "hot restart: the process at the socket gave no valid answer; this process listens by itself"));
}

TEST_CASE("one that is busy for ever, trickles or talks without end does not hold a start", "[start]") {
    Start start;
    const std::string
        busy = "{\"v\":1,\"is\":\"busy\"}\n",
        use =
            R"({"v":1,"is":"use","consumers":0,"calls":0,"open":0,"consumer_bytes":0,"provider_bytes":0})";
    struct Case {
        std::string line;
        double every_s;
        const char* told;
    };
    const Case one = GENERATE_COPY(Case{busy, 0.01, "another process is taking over"},
                                   Case{"x", 0.02, "gave no valid answer"},
                                   Case{use + "\n", 0.001, "gave no valid answer"});
    const Peer peer(start.socket_path(), one.line, one.every_s);
    start.run();
    REQUIRE(start.ready(kReady));
    REQUIRE(start.says(one.told));
}

// The longest way: it is busy for nearly all of the time that is given to that, and silent at last.
TEST_CASE("one that is busy for long and falls silent then does not hold a start", "[start]") {
    Start start;
    const Peer peer(start.socket_path(), "{\"v\":1,\"is\":\"busy\"}\n", 0.01,
                    GENERATE(slatejunction::hot_restart::RestartChannel::takeover_bound_s() - 0.15, 4.35));
    start.run();
    REQUIRE(start.ready(kReady));
}

// Order: the file is there, nobody listens, as one that was killed leaves it.
TEST_CASE("a file that a killed process left does not delay a start", "[start]") {
    Start start;
    { const Owned gone = listen_at(start.socket_path(), 8); }
    start.run();
    REQUIRE(start.ready());
    REQUIRE(start.log().find("hot restart: the process at the socket") == std::string::npos);
}
