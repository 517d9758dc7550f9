// A started program gets SIGTERM while clients, the backend, discovery and the remote-write receiver behave
// so that it could wait for ever. It must exit with status 0 within its bound, and each accepted request
// must get one final answer.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <future>
#include <map>
#include <memory>

#include "files.hpp"
#include "lifecycle/graceful_shutdown.hpp"
#include "process.hpp"

namespace lifecycle = slatejunction::lifecycle;

namespace {

constexpr double kTestTimeoutS = 20;   // longer than any stop takes

double now_s() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Owns a file descriptor.
class Descriptor {
  public:
    explicit Descriptor(int fd = -1) : fd_(fd) {}
    Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Descriptor& operator=(Descriptor&& other) noexcept { return std::swap(fd_, other.fd_), *this; }
    ~Descriptor() {
        if (fd_ >= 0) ::close(fd_);
    }
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }

  private:
    int fd_;
};

// Its connections are accepted by the kernel, and never get a byte.
struct SilentServer {
    SilentServer() : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in at = loopback_of(0);
        socklen_t size = sizeof at;
        REQUIRE(::bind(fd.get(), reinterpret_cast<sockaddr*>(&at), size) == 0);
        REQUIRE(::listen(fd.get(), 512) == 0);
        ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&at), &size);
        port = ntohs(at.sin_port);
    }
    Descriptor fd;
    int port = 0;
};

// Returns an empty Descriptor if nobody listens at the port.
Descriptor dial(int port) {
    Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in at = loopback_of(port);
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return Descriptor();
    return fd;
}

bool send_all(const Descriptor& fd, const std::string& bytes) {
    return ::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<::ssize_t>(bytes.size());
}

const std::string kHealthCheck = "GET /health/ready HTTP/1.1\r\nHost: t\r\n\r\n";

std::string request(const std::string& id) {
    return "GET /risk-read?customer=00000000b4d65521 HTTP/1.1\r\nHost: t\r\nX-Request-Id: " + id +
           "\r\nX-Class: risk-read\r\nX-Tier: plus\r\nX-Deadline: 3.000\r\n"
           "X-Call-Terms: units=1,spread=1,first=0\r\n\r\n";
}

// Reads until the peer closes the connection, or the test's timeout.
std::string read_to_end(const Descriptor& fd) {
    std::string received;
    char bytes[4096];
    pollfd event{fd.get(), POLLIN, 0};
    while (::poll(&event, 1, static_cast<int>(kTestTimeoutS * 1000)) == 1) {
        const ::ssize_t size = ::recv(fd.get(), bytes, sizeof bytes, 0);
        if (size <= 0) break;
        received.append(bytes, static_cast<std::size_t>(size));
    }
    return received;
}

std::size_t answers_in(const std::string& bytes) {
    std::size_t count = 0;
    for (std::size_t at = 0; (at = bytes.find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++count;
    return count;
}

// Reads one response; returns an empty text if the connection ends before it is complete.
std::string read_answer(const Descriptor& fd) {
    std::string received;
    char bytes[4096];
    pollfd event{fd.get(), POLLIN, 0};
    for (;;) {
        const std::size_t head = received.find("\r\n\r\n"), length = received.find("Content-Length: ");
        if (head != std::string::npos && length < head &&
            received.size() >= head + 4 + std::stoul(received.substr(length + 16)))
            return received;
        if (::poll(&event, 1, static_cast<int>(kTestTimeoutS * 1000)) != 1) return {};
        const ::ssize_t size = ::recv(fd.get(), bytes, sizeof bytes, 0);
        if (size <= 0) return {};
        received.append(bytes, static_cast<std::size_t>(size));
    }
}

// A client that sends its next request as soon as the last one is answered, until nobody listens any more.
// It keeps its connection until a response closes it, and then may open the next one.
class Client {
  public:
    enum class Sends { health_checks, requests };
    enum class Reconnects { no, yes };
    Client(int port, std::string name, Sends sends, Reconnects reconnects)
        : thread_([this, port, name = std::move(name), sends, reconnects] {
              const double until = now_s() + kTestTimeoutS;
              for (Descriptor fd = dial(port); fd && !stopped_ && now_s() < until;) {
                  if (send_one(fd, name, sends)) continue;
                  fd = reconnects == Reconnects::yes ? dial(port) : Descriptor();
              }
          }) {}
    ~Client() { stop(); }
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    void stop() {
        stopped_ = true;
        if (thread_.joinable()) thread_.join();
    }
    int answered() const { return answered_; }
    // Requests whose connection ended without a response.
    int lost() const { return lost_; }
    // Connections with further bytes after their last response.
    int with_extra_bytes() const { return with_extra_bytes_; }

  private:
    // Returns false if the connection has ended, or the response closes it.
    bool send_one(const Descriptor& fd, const std::string& name, Sends sends) {
        const std::string text =
            sends == Sends::requests ? request(name + "-" + std::to_string(++number_)) : kHealthCheck;
        if (!send_all(fd, text)) return ++lost_, false;
        const std::string answer = read_answer(fd);
        if (answer.empty()) return ++lost_, false;
        ++answered_;
        if (answer.find("Connection: close") == std::string::npos) return true;
        if (!read_to_end(fd).empty()) ++with_extra_bytes_;
        return false;
    }

    std::atomic<bool> stopped_ = false;
    std::atomic<int> answered_ = 0, lost_ = 0, with_extra_bytes_ = 0;
    int number_ = 0;
    std::thread thread_;   // the last member, as it uses the others
};

struct Program {
    // `options` is the operator's file; empty: none. `deadline` is that of both classes (s).
    explicit Program(int backend_port, const std::string& options = {},
                     const std::string& deadline = "12") {
        std::ifstream in(std::string(EXCHANGES) + "/config.json");
        std::string config{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
        change(config, "$PROVIDER", address_of(backend_port));
        change(
            config, "\"listen\": \"127.0.0.1:1\"",
            "\"listen\": \"" + address_of(port) + "\", \"admin_addr\": \"" + address_of(admin_port) + "\"");
        change(config, "\"discovery\": \"127.0.0.1:1\"",
               "\"discovery\": \"" + address_of(discovery.port) + "\"");
        change(config, "\"DeadlineS\": 4", "\"DeadlineS\": " + deadline);
        change(config, "\"DeadlineS\": 12", "\"DeadlineS\": " + deadline);
        std::vector<std::string> arguments{PROGRAM, "serve", "--config",
                                           folder.write("config.json", config)};
        if (!options.empty()) {
            arguments.push_back("--operator");
            arguments.push_back(folder.write("operator.ini", options));
        }
        process = Process(arguments, "", folder.file("log"));
        REQUIRE(wait_for([&] { return ask(port, "GET", "/health/ready").starts_with("HTTP/1.1 200"); }));
    }
    static void change(std::string& text, const std::string& from, const std::string& to) {
        const std::size_t at = text.find(from);
        REQUIRE(at != std::string::npos);
        text.replace(at, from.size(), to);
    }
    // Sends SIGTERM. A thread of its own measures when the program exits, whatever the test does meanwhile.
    void request_stop() {
        stop_requested_at = now_s();
        exited_at = std::async(std::launch::async, [id = process.id()] {
            siginfo_t info{};
            ::waitid(P_PID, static_cast<id_t>(id), &info, WEXITED | WNOWAIT);
            return now_s();
        });
        process.signal(SIGTERM);
    }
    // Seconds from request_stop() until the program has exited, which it must do with status 0.
    double exited_after() {
        const auto timeout = std::chrono::duration<double>(kTestTimeoutS);
        const bool exits = exited_at.wait_for(timeout) == std::future_status::ready;
        INFO(folder.read("log"));
        REQUIRE(exits);
        REQUIRE(process.wait() == 0);
        return exited_at.get() - stop_requested_at;
    }
    Folder folder;
    SilentServer discovery;
    const int port = free_port(), admin_port = free_port();
    double stop_requested_at = 0;
    std::future<double> exited_at;
    Process process;   // the last member, as the future waits for its end
};

// The platform's guarantee, independent of the program's constants.
double earliest_kill_s(double deadline) { return std::min(deadline, 3.0) + 0.7; }

}   // namespace

TEST_CASE("continuous health checks and silent connections do not prolong a stop", "[operations][stop]") {
    const bool drained = GENERATE(false, true);
    Folder folder;
    const int backend_port = free_port();
    Process backend({FAKES, "backend", "--listen", address_of(backend_port), "--read-ms", "2"}, "",
                    folder.file("backend.err"));
    Program program(backend_port);
    if (drained) REQUIRE(ask(program.admin_port, "POST", "/v1/ingress/drain").starts_with("HTTP/1.1 200"));
    std::vector<std::unique_ptr<Client>> checks;
    for (int i = 0; i < 4; ++i)
        checks.push_back(std::make_unique<Client>(program.port, "", Client::Sends::health_checks,
                                                  Client::Reconnects::yes));
    Client kept(program.port, "kept", Client::Sends::requests,
                drained ? Client::Reconnects::yes : Client::Reconnects::no);
    const Descriptor silent = dial(program.port);
    REQUIRE(wait_for([&] { return checks[0]->answered() > 20 && kept.answered() > 20; }));
    program.request_stop();
    if (drained) kept.stop();   // a drained ingress closes its connections before the stop as well
    const double after = program.exited_after();
    CHECK(after > lifecycle::GracefulShutdown::kIdleGraceS);
    CHECK(after < 2);   // the bound is 3.5 s
    kept.stop();
    CHECK(kept.lost() == 0);
    CHECK(kept.with_extra_bytes() == 0);
    for (auto& client : checks) {
        client->stop();
        CHECK(client->answered() > 0);
        CHECK(client->lost() == 0);
        CHECK(client->with_extra_bytes() == 0);
    }
    backend.end(SIGTERM);
}

TEST_CASE("continuous requests, also on new connections, do not delay a stop beyond its bound",
          "[operations][stop]") {
    Folder folder;
    const int backend_port = free_port();
    Process backend({FAKES, "backend", "--listen", address_of(backend_port), "--read-ms", "5"}, "",
                    folder.file("backend.err"));
    Program program(backend_port, {}, "3");
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 4; ++i)
        clients.push_back(std::make_unique<Client>(program.port, "c" + std::to_string(i),
                                                   Client::Sends::requests, Client::Reconnects::yes));
    clients.push_back(
        std::make_unique<Client>(program.port, "", Client::Sends::health_checks, Client::Reconnects::yes));
    for (const auto& client : clients) REQUIRE(wait_for([&] { return client->answered() > 20; }));
    program.request_stop();
    const double after = program.exited_after();
    CHECK(after > lifecycle::close_after_s(3));   // it served as long as allowed
    CHECK(after < earliest_kill_s(3));
    for (auto& client : clients) {
        client->stop();
        CHECK(client->lost() == 0);
        CHECK(client->with_extra_bytes() == 0);
    }
    backend.end(SIGTERM);
}

TEST_CASE("a hanging backend, receiver and clients do not delay a stop beyond its bound",
          "[operations][stop]") {
    SilentServer backend, receiver;
    Program program(
        backend.port,
        "[remote_write]\nurl = http://" + address_of(receiver.port) + "/write\ninterval_s = 1\n", "3");
    std::vector<Descriptor> complete, partial, silent;
    const auto open_connections = [&] {
        Descriptor fd = dial(program.port);
        if (!fd) return false;
        REQUIRE(send_all(fd, request("k" + std::to_string(complete.size()))));
        complete.push_back(std::move(fd));
        if (fd = dial(program.port); fd && send_all(fd, "GET /risk-read?cus"))
            partial.push_back(std::move(fd));
        if (fd = dial(program.port); fd) silent.push_back(std::move(fd));
        return true;
    };
    REQUIRE(open_connections());
    program.request_stop();
    while (open_connections() && now_s() - program.stop_requested_at < kTestTimeoutS) sleep_s(0.1);
    const double after = program.exited_after();
    CHECK(after < earliest_kill_s(3));
    int unfinished = 0;
    for (const Descriptor& fd : complete) {
        const std::string answer = read_to_end(fd);
        INFO(answer);
        CHECK(answers_in(answer) == 1);
        if (answer.starts_with("HTTP/1.1 504")) ++unfinished;
    }
    CHECK(unfinished > 0);
    for (const Descriptor& fd : partial) {
        const std::string answer = read_to_end(fd);
        INFO(answer);
        CHECK(answers_in(answer) == 1);
        CHECK((answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 408")));
    }
    for (const Descriptor& fd : silent) CHECK(read_to_end(fd).empty());
    CHECK(program.folder.read("log").find("time limit reached: answering ") != std::string::npos);
}
