// Starts while the directory is silent, refuses or answers nonsense, and many of them at once.
#include <atomic>
#include <memory>

#include "start/rig.hpp"

namespace {

// A directory that gives each call the same answer and ends the connection.
class Nonsense {
  public:
    explicit Nonsense(std::string answer) : answer_(std::move(answer)), thread_([this] { serve(); }) {}
    ~Nonsense() {
        over_ = true;
        thread_.join();
    }
    int port() const { return listening_.port; }
    int given() const { return given_; }

  private:
    void serve() {
        pollfd one{listening_.socket.get(), POLLIN, 0};
        while (!over_) {
            if (::poll(&one, 1, 20) != 1) continue;
            const Owned fd(::accept(listening_.socket.get(), nullptr, nullptr));
            char call[4096];
            if (::recv(fd.get(), call, sizeof call, 0) <= 0) continue;
            ::send(fd.get(), answer_.data(), answer_.size(), MSG_NOSIGNAL);
            ++given_;
        }
    }
    const std::string answer_;
    Taken listening_;
    std::atomic<bool> over_ = false;
    std::atomic<int> given_ = 0;
    std::thread thread_;
};

std::string whole(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}   // namespace

TEST_CASE("a directory that answers nonsense ends nothing", "[start]") {
    const std::string deep(65'000, '[');
    const std::string answer = GENERATE_COPY(
        whole(deep), whole(R"({"revision":1,"complete":true,"members":)" + deep + "}"), whole(""),
        whole("<html>"), whole("[]"), whole(R"({"revision":1e308,"complete":true,"members":[]})"),
        whole(R"({"revision":-9223372036854775808,"complete":true,"members":[7,null,{"id":"s"}]})"),
        whole(R"({"revision":1,"complete":true,"members":[{"id":"s","phase":"Ready","host_port":)"
              R"("127.0.0.1:9","cell":-1e308,"size":-1e308,"up_since_ms":1e308}]})"),
        std::string("\0\xff\r\n\r\n", 6), std::string("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"));
    INFO(answer.substr(0, 120));
    const Nonsense directory(answer);
    Start start;
    start.environment["NODE_DISCOVERY"] = address_of(directory.port());
    start.run();
    REQUIRE(start.ready());
    REQUIRE(wait_for([&] { return directory.given() >= 3 || !start.alive(); }));
    INFO(start.log());
    REQUIRE(start.alive());
    REQUIRE(start.ready());
    start.process.signal(SIGTERM);
    REQUIRE(start.status() == 0);
}

TEST_CASE("twenty at once are ready while the directory is silent, with a list and without", "[start]") {
    constexpr std::size_t kAtOnce = 20;
    constexpr double kReady = 30;   // s; on a machine that does other work too
    const bool known = GENERATE(true, false);
    const Taken silent;
    std::vector<std::unique_ptr<Start>> all;
    for (std::size_t i = 0; i < kAtOnce; ++i) {
        all.push_back(std::make_unique<Start>());
        all.back()->environment["NODE_DISCOVERY"] = address_of(silent.port);
        if (!known) all.back()->config.replace(all.back()->config.find("\"known\""), 7, "\"other\"");
    }
    const auto began = std::chrono::steady_clock::now();
    for (const auto& one : all) one->run();
    for (const auto& one : all) REQUIRE(one->ready(kReady));
    const double took = seconds_since(began);
    WARN(kAtOnce << " ready after " << took << " s, " << (known ? "with" : "without") << " a known list");
    REQUIRE(took < kReady);
}
