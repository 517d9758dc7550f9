// A started program is told to stop while clients, the provider, discovery and the receiver do what would
// keep it for ever: it exits with status 0 within its bound, and each request that it took has one final
// answer.
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

namespace op = slatejunction::lifecycle;

namespace {

constexpr double kGiveUpS = 20;   // a test's own end, which no stop reaches

double now_s() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// A descriptor of this test.
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

// Takes connections, as the kernel does for it, and never says anything.
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

// Empty when nobody listens there.
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

// All until the peer ends the connection, or for the test's own time.
std::string read_to_end(const Descriptor& fd) {
    std::string all;
    char bytes[4096];
    pollfd one{fd.get(), POLLIN, 0};
    while (::poll(&one, 1, static_cast<int>(kGiveUpS * 1000)) == 1) {
        const ::ssize_t size = ::recv(fd.get(), bytes, sizeof bytes, 0);
        if (size <= 0) break;
        all.append(bytes, static_cast<std::size_t>(size));
    }
    return all;
}

std::size_t answers_in(const std::string& bytes) {
    std::size_t count = 0;
    for (std::size_t at = 0; (at = bytes.find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++count;
    return count;
}

// One answer, or what came of it until the connection ended.
std::string read_answer(const Descriptor& fd) {
    std::string all;
    char bytes[4096];
    pollfd one{fd.get(), POLLIN, 0};
    for (;;) {
        const std::size_t head = all.find("\r\n\r\n"), length = all.find("Content-Length: ");
        if (head != std::string::npos && length < head &&
            all.size() >= head + 4 + std::stoul(all.substr(length + 16)))
            return all;
        if (::poll(&one, 1, static_cast<int>(kGiveUpS * 1000)) != 1) return {};
        const ::ssize_t size = ::recv(fd.get(), bytes, sizeof bytes, 0);
        if (size <= 0) return {};
        all.append(bytes, static_cast<std::size_t>(size));
    }
}

// A client that sends its next request as soon as the last one is answered, on the connection that it has
// as long as it may, else on the next one; until nobody listens any more.
class Client {
  public:
    enum class Sends { health_checks, requests };
    enum class Reconnects { no, yes };
    Client(int port, std::string name, Sends sends, Reconnects reconnects)
        : thread_([this, port, name = std::move(name), sends, reconnects] {
              const double until = now_s() + kGiveUpS;
              for (Descriptor fd = dial(port); fd && !over_ && now_s() < until;) {
                  if (talk(fd, name, sends)) continue;
                  fd = reconnects == Reconnects::yes ? dial(port) : Descriptor();
              }
          }) {}
    ~Client() { end(); }
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    void end() {
        over_ = true;
        if (thread_.joinable()) thread_.join();
    }
    int answered() const { return answered_; }
    int lost() const { return lost_; }         // sent, and the connection ended without an answer
    int doubled() const { return doubled_; }   // something more came behind the last answer of a connection

  private:
    // False: the connection has ended, or was told to.
    bool talk(const Descriptor& fd, const std::string& name, Sends sends) {
        const std::string text =
            sends == Sends::requests ? request(name + "-" + std::to_string(++number_)) : kHealthCheck;
        if (!send_all(fd, text)) return ++lost_, false;
        const std::string answer = read_answer(fd);
        if (answer.empty()) return ++lost_, false;
        ++answered_;
        if (answer.find("Connection: close") == std::string::npos) return true;
        if (!read_to_end(fd).empty()) ++doubled_;
        return false;
    }

    std::atomic<bool> over_ = false;
    std::atomic<int> answered_ = 0, lost_ = 0, doubled_ = 0;
    int number_ = 0;
    std::thread thread_;   // last: it uses the others
};

struct Program {
    // Options are the operator's file; empty: none. `deadline`: of both classes, as the file has it.
    explicit Program(int provider_port, const std::string& options = {},
                     const std::string& deadline = "12") {
        std::ifstream in(std::string(EXCHANGES) + "/config.json");
        std::string config{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
        change(config, "$PROVIDER", address_of(provider_port));
        change(
            config, "\"listen\": \"127.0.0.1:1\"",
            "\"listen\": \"" + address_of(port) + "\", \"admin_addr\": \"" + address_of(admin_port) + "\"");
        change(config, "\"discovery\": \"127.0.0.1:1\"",
               "\"discovery\": \"" + address_of(discovery.port) + "\"");
        change(config, "\"DeadlineS\": 4", "\"DeadlineS\": " + deadline);
        change(config, "\"DeadlineS\": 12", "\"DeadlineS\": " + deadline);
        std::vector<std::string> words{PROGRAM, "serve", "--config", folder.write("config.json", config)};
        if (!options.empty()) {
            words.push_back("--operator");
            words.push_back(folder.write("operator.ini", options));
        }
        process = Process(words, "", folder.file("log"));
        REQUIRE(wait_for([&] { return ask(port, "GET", "/health/ready").starts_with("HTTP/1.1 200"); }));
    }
    static void change(std::string& text, const std::string& from, const std::string& to) {
        const std::size_t at = text.find(from);
        REQUIRE(at != std::string::npos);
        text.replace(at, from.size(), to);
    }
    // Tells it to end; when it has is looked at beside, whatever this test does meanwhile.
    void tell() {
        told_at = now_s();
        exited_at = std::async(std::launch::async, [id = process.id()] {
            siginfo_t info{};
            ::waitid(P_PID, static_cast<id_t>(id), &info, WEXITED | WNOWAIT);
            return now_s();
        });
        process.signal(SIGTERM);
    }
    // Seconds from tell() until it exited with status 0, which must come.
    double exited_after() {
        const auto most = std::chrono::duration<double>(kGiveUpS);
        const bool exits = exited_at.wait_for(most) == std::future_status::ready;
        INFO(folder.read("log"));
        REQUIRE(exits);
        REQUIRE(process.wait() == 0);
        return exited_at.get() - told_at;
    }
    Folder folder;
    SilentServer discovery;
    const int port = free_port(), admin_port = free_port();
    double told_at = 0;
    std::future<double> exited_at;
    Process process;   // last: its end is what the future waits for
};

// The protocol page's, in figures of its own.
double earliest_kill_s(double deadline) { return std::min(deadline, 3.0) + 0.7; }

}   // namespace

TEST_CASE("health checks without pause and connections that say nothing do not prolong a stop",
          "[operations][stop]") {
    const bool drained = GENERATE(false, true);
    Folder folder;
    const int provider_port = free_port();
    Process provider({FAKES, "backend", "--listen", address_of(provider_port), "--read-ms", "2"}, "",
                     folder.file("provider.err"));
    Program program(provider_port);
    if (drained) REQUIRE(ask(program.admin_port, "POST", "/v1/ingress/drain").starts_with("HTTP/1.1 200"));
    std::vector<std::unique_ptr<Client>> checks;
    for (int i = 0; i < 4; ++i)
        checks.push_back(std::make_unique<Client>(program.port, "", Client::Sends::health_checks,
                                                  Client::Reconnects::yes));
    Client kept(program.port, "kept", Client::Sends::requests,
                drained ? Client::Reconnects::yes : Client::Reconnects::no);
    const Descriptor silent = dial(program.port);
    REQUIRE(wait_for([&] { return checks[0]->answered() > 20 && kept.answered() > 20; }));
    program.tell();
    if (drained) kept.end();   // on each connection it is told to go, before the stop as well
    const double after = program.exited_after();
    CHECK(after > op::GracefulShutdown::kIdleGraceS);
    CHECK(after < 2);   // the bound is 3.5 s
    kept.end();
    CHECK(kept.lost() == 0);
    CHECK(kept.doubled() == 0);
    for (auto& one : checks) {
        one->end();
        CHECK(one->answered() > 0);
        CHECK(one->lost() == 0);
        CHECK(one->doubled() == 0);
    }
    provider.end(SIGTERM);
}

TEST_CASE("requests without pause, on new connections too, do not keep a stop beyond its bound",
          "[operations][stop]") {
    Folder folder;
    const int provider_port = free_port();
    Process provider({FAKES, "backend", "--listen", address_of(provider_port), "--read-ms", "5"}, "",
                     folder.file("provider.err"));
    Program program(provider_port, {}, "3");
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 4; ++i)
        clients.push_back(std::make_unique<Client>(program.port, "c" + std::to_string(i),
                                                   Client::Sends::requests, Client::Reconnects::yes));
    clients.push_back(
        std::make_unique<Client>(program.port, "", Client::Sends::health_checks, Client::Reconnects::yes));
    for (const auto& one : clients) REQUIRE(wait_for([&] { return one->answered() > 20; }));
    program.tell();
    const double after = program.exited_after();
    CHECK(after > op::close_after_s(3));   // it went on as long as it could
    CHECK(after < earliest_kill_s(3));
    for (auto& one : clients) {
        one->end();
        CHECK(one->lost() == 0);
        CHECK(one->doubled() == 0);
    }
    provider.end(SIGTERM);
}

TEST_CASE("a provider, a receiver and clients that hang do not keep a stop beyond its bound",
          "[operations][stop]") {
    SilentServer provider, receiver;
    Program program(
        provider.port,
        "[remote_write]\nurl = http://" + address_of(receiver.port) + "/write\ninterval_s = 1\n", "3");
    std::vector<Descriptor> asking, half, silent;
    const auto knock = [&] {
        Descriptor one = dial(program.port);
        if (!one) return false;
        REQUIRE(send_all(one, request("k" + std::to_string(asking.size()))));
        asking.push_back(std::move(one));
        if (one = dial(program.port); one && send_all(one, "GET /risk-read?cus"))
            half.push_back(std::move(one));
        if (one = dial(program.port); one) silent.push_back(std::move(one));
        return true;
    };
    REQUIRE(knock());
    program.tell();
    while (knock() && now_s() - program.told_at < kGiveUpS) sleep_s(0.1);
    const double after = program.exited_after();
    CHECK(after < earliest_kill_s(3));
    int cut = 0;
    for (const Descriptor& one : asking) {
        const std::string answer = read_to_end(one);
        INFO(answer);
        CHECK(answers_in(answer) == 1);
        if (answer.starts_with("HTTP/1.1 504")) ++cut;
    }
    CHECK(cut > 0);
    for (const Descriptor& one : half) {
        const std::string answer = read_to_end(one);
        INFO(answer);
        CHECK(answers_in(answer) == 1);
        CHECK((answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 408")));
    }
    for (const Descriptor& one : silent) CHECK(read_to_end(one).empty());
    CHECK(program.folder.read("log").find("time limit reached: answering ") != std::string::npos);
}
