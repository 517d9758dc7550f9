#include "standins.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point kStart = Clock::now();

sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int listen_anywhere(int& port, int backlog, int receive_buffer = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(fd, backlog) != 0 || ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        std::perror("listen");
        std::_Exit(kCouldNotRun);
    }
    port = ntohs(address.sin_port);
    return fd;
}

// A port for a process that binds it by itself.
int free_port() {
    int port = 0;
    ::close(listen_anywhere(port, 1));
    return port;
}

std::string lower(std::string text) {
    for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

}   // namespace

double now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }

void sleep_until(double time) {
    const double remaining = time - now();
    if (remaining > 0) std::this_thread::sleep_for(std::chrono::duration<double>(remaining));
}

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (!file_) std::_Exit(kCouldNotRun);
}
Record::~Record() { std::fclose(file_); }

void Record::write(const char* text, bool to_terminal) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.4f %s\n", now(), text);
    std::fflush(file_);
    if (to_terminal) std::printf("%9.4f %s\n", now(), text), std::fflush(stdout);
}

void Record::line(const char* format, ...) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    write(text, false);
}

void Record::say(const char* format, ...) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    write(text, true);
}

std::string Message::target() const {
    const std::size_t first = start_line.find(' ');
    if (first == std::string::npos) return "";
    return start_line.substr(first + 1, start_line.find(' ', first + 1) - first - 1);
}

int Message::status() const {
    const std::size_t space = start_line.find(' ');
    return space == std::string::npos ? 0 : std::atoi(start_line.c_str() + space + 1);
}

std::unique_ptr<Connection> Connection::dial(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (fd >= 0 && ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return std::make_unique<Connection>(fd);
    }
    if (fd >= 0) ::close(fd);
    return nullptr;
}

bool Connection::readable(double wait_s) const {
    pollfd descriptor{fd_, POLLIN, 0};
    return ::poll(&descriptor, 1, static_cast<int>(wait_s * 1e3 + 0.999)) > 0;
}

bool Connection::peer_has_closed() const {
    pollfd descriptor{fd_, POLLRDHUP, 0};
    return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

bool Connection::fill(double wait_s) {
    while (paused && paused()) sleep_for(0.005);
    if (!readable(std::max(0.0, wait_s))) return true;
    char bytes[65536];
    const ssize_t received = ::recv(fd_, bytes, sizeof bytes, 0);
    if (received <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(received));
    return true;
}

Connection::Read Connection::read(Message& message, double deadline) {
    message = {};
    const auto more = [&](Read& why) {
        if (now() >= deadline) {
            why = Read::timed_out;
            return false;
        }
        why = Read::ended;
        return fill(std::min(0.05, deadline - now()));
    };
    Read why = Read::ended;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
        if (!more(why)) return why;
    message.first_byte_at = now();
    std::size_t at = buffer_.find("\r\n");
    message.start_line = buffer_.substr(0, at);
    while (at < end) {
        const std::size_t next = buffer_.find("\r\n", at + 2);
        const std::string line = buffer_.substr(at + 2, next - at - 2);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) return Read::malformed;
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.fields[lower(line.substr(0, colon))] = value;
        at = next;
    }
    buffer_.erase(0, end + 4);
    if (lower(message.field("transfer-encoding")) == "chunked") {
        for (;;) {
            std::size_t line_end = 0;
            while ((line_end = buffer_.find("\r\n")) == std::string::npos)
                if (!more(why)) return why;
            const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line_end + 2 + size + 2)
                if (!more(why)) return why;
            message.body.append(buffer_, line_end + 2, size);
            buffer_.erase(0, line_end + 2 + size + 2);
            if (size == 0) break;
        }
    } else if (const std::string length = message.field("content-length"); !length.empty()) {
        const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
        while (buffer_.size() < size)
            if (!more(why)) return why;
        message.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
    }
    message.last_byte_at = now();
    return Read::message;
}

bool Connection::write(std::string_view bytes, double deadline) {
    while (!bytes.empty()) {
        const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) return false;
        if (now() >= deadline) return false;
        pollfd descriptor{fd_, POLLOUT, 0};
        ::poll(&descriptor, 1, 20);
    }
    return true;
}

void Connection::shut() {
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
}

void Connection::close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
}

Server::Server(Serve serve, int receive_buffer) : serve_(std::move(serve)) {
    listener_ = listen_anywhere(port_, 512, receive_buffer);
    acceptor_ = std::thread([this] { accept_all(); });
}

void Server::accept_all() {
    for (;;) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (stopping_) {
            if (fd >= 0) ::close(fd);
            return;
        }
        if (fd < 0) continue;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(mutex_);
        const auto connection = std::make_shared<Connection>(fd);
        connections_.push_back(connection);
        threads_.emplace_back([this, connection] {
            serve_(*connection);
            connection->shut();
        });
    }
}

Server::~Server() {
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard lock(mutex_);
        for (const auto& connection : connections_) connection->shut();
    }
    for (std::thread& thread : threads_) thread.join();
}

Link::Link(int target_port, double delay_s)
    : target_port_(target_port), delay_s_(delay_s), server_([this](Connection& from) { serve(from); }) {}

void Link::serve(Connection& from) {
    const auto to = Connection::dial(target_port_);
    if (!to) return;
    // Each direction has a thread that reads, and one that writes what was read `delay_s_` ago.
    struct Piece {
        double due;
        std::string bytes;   // empty: the end
    };
    const auto carry = [this](Connection& in, Connection& out) {
        std::mutex mutex;
        std::condition_variable changed;
        std::deque<Piece> pieces;
        std::thread writer([&] {
            for (;;) {
                std::unique_lock lock(mutex);
                changed.wait(lock, [&] { return !pieces.empty(); });
                const Piece piece = std::move(pieces.front());
                pieces.pop_front();
                lock.unlock();
                sleep_until(piece.due);
                if (piece.bytes.empty()) return out.shut();
                out.write(piece.bytes, now() + 1);
            }
        });
        for (;;) {
            char bytes[65536];
            const ssize_t received = ::recv(in.fd(), bytes, sizeof bytes, 0);
            {
                const std::lock_guard lock(mutex);
                pieces.push_back({now() + delay_s_, std::string(bytes, static_cast<std::size_t>(
                                                                           std::max<ssize_t>(received, 0)))});
            }
            changed.notify_one();
            if (received <= 0) break;
        }
        writer.join();
    };
    std::thread back([&] { carry(*to, from); });
    carry(from, *to);
    back.join();
}

Discovery::Discovery(Record& record, std::vector<Member> members)
    : record_(record), members_(std::move(members)), server_([this](Connection& connection) {
          serve(connection);
      }) {}

std::string Discovery::list(int revision, bool complete, const std::vector<Member>& members) const {
    std::string text = "{\"revision\":" + std::to_string(revision) +
                       ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
    for (std::size_t i = 0; i < members.size(); ++i) {
        const Member& member = members[i];
        text += std::string(i ? "," : "") + "{\"id\":\"" + member.id + "\",\"host_port\":\"" + member.address +
                "\",\"locality\":\"" + member.zone +
                "\",\"flavor\":\"large-node\",\"cell\":" + std::to_string(member.cell) + ",\"phase\":\"" +
                member.phase + "\",\"size\":1.0,\"up_since_ms\":0}";
    }
    return text + "]}";
}

std::string Discovery::list() { return list(revision_, true, members_); }

void Discovery::serve(Connection& connection) {
    Message call;
    while (connection.read(call, 1e9) == Connection::Read::message) {
        const std::string target = call.target();
        const std::size_t wait = target.find("wait=");
        const std::size_t index = target.find("index=");
        std::string body = list();
        // The list never changes, so a watch for the present revision ends with its wait.
        if (index != std::string::npos && std::atoi(target.c_str() + index + 6) == revision_) {
            const double until =
                now() + 1e-3 * (wait == std::string::npos ? 0 : std::atoi(target.c_str() + wait + 5));
            while (now() < until && !connection.peer_has_closed()) sleep_for(std::min(0.02, until - now()));
            body = list(revision_, false, {});
        }
        if (!connection.write(answer(200, body))) return;
    }
}

Ingress::Ingress(Record& record, const std::string& command, const std::string& folder, Discovery& discovery,
                 const Settings& settings)
    : record_(record), port_(free_port()) {
    const std::string address = "127.0.0.1:" + std::to_string(port_);
    std::string classes;
    for (const ServiceClass& one : settings.classes) {
        char text[512];
        std::snprintf(text, sizeof text,
                      "%s{\"Name\":\"%s\",\"AimS\":%g,\"DeadlineS\":%g,\"Effect\":\"%s\",\"Group\":\"%s\","
                      "\"LateWorth\":0.2,\"Stream\":false,\"WindowS\":%g,\"Worth\":%g}",
                      classes.empty() ? "" : ",", one.name.c_str(), one.aim_s, one.deadline_s,
                      one.effect.c_str(), one.group.c_str(), one.window_s, one.worth);
        classes += text;
    }
    // A plan whose quota is never reached, so that no request is refused for it.
    const std::string config =
        "{\"name\":\"n0\",\"listen\":\"" + address + "\",\"discovery\":\"" + discovery.address() +
        "\",\"seed\":\"8c1f30d27a5be964\",\n\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" +
        std::to_string(settings.sockets) + "},\n\"known\":" + discovery.list() +
        ",\n\"settings\":{\"Balancers\":1,\"MyNumber\":0,\"QuantumS\":0.004,\"Zone\":\"hall-a\","
        "\"Discovery\":\"automatic\",\"Family\":\"gate\",\"Services\":[" +
        classes +
        "],\n\"Contracts\":[{\"Name\":\"pro\",\"UnitsPerS\":5000,\"Depth\":20000,\"Price\":1.6,"
        "\"ExtraWorth\":0.1,\"OverCost\":0,\"CeilingRate\":0,\"HardBurst\":0,\"MaxOut\":0,\"Tolerance\":0}],\n"
        "\"FamilyInfo\":{\"MeterPeriodS\":2,\"UnitsTop\":1,\"MayCount\":true,\"CountLimitS\":0.05},"
        "\"Telemetry\":{\"How\":\"on_probe\",\"Fields\":[\"lat_ms\"]},\"Weights\":\"nominal\",\n"
        "\"Limits\":{\"AttemptsCap\":3,\"Cancel\":true,\"DialTimeoutS\":" +
        std::to_string(settings.dial_timeout_s) +
        ",\"KeepaliveS\":30,\"MaxOpen\":20000,\"MaxRetryAfterS\":1,\"ParallelTries\":true,\"Peers\":false,"
        "\"Probes\":true,\"RetryAfter\":false,\"StreamsPerConn\":100},\n"
        "\"Rules\":{\"AnswerSlackS\":0.016,\"AskWithinS\":10,\"ColdFrom\":0.16,\"DrainGraceS\":0.25,"
        "\"FallMultiple\":2,\"FallS\":2,\"WarmWithinS\":13}}}\n";
    const std::string path = folder + "/config.json";
    std::ofstream(path) << config;
    const std::string temporary = folder + "/tmp";
    std::filesystem::create_directory(temporary);
    const std::string log = folder + "/ingress.log";
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("NODE_NAME", "n0", 1);
        ::setenv("NODE_LISTEN", address.c_str(), 1);
        ::setenv("NODE_DISCOVERY", discovery.address().c_str(), 1);
        ::setenv("NODE_CONFIG", path.c_str(), 1);
        ::setenv("TMPDIR", temporary.c_str(), 1);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
        ::_exit(127);
    }
    record_.line("platform: started '%s' at %s, pid %d", command.c_str(), address.c_str(), pid_);
    while (now() < 30 && runs()) {
        const auto connection = Connection::dial(port_);
        Message ready;
        if (connection && connection->write("GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n") &&
            connection->read(ready, now() + 1) == Connection::Read::message && ready.status() == 200) {
            ready_ = true;
            record_.line("platform: the ingress is ready");
            return;
        }
        sleep_for(0.05);
    }
    record_.say("the ingress did not become ready");
}

bool Ingress::runs() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
    record_.say("platform: the ingress ended with status 0x%x", status);
    pid_ = -1;
    return false;
}

void Ingress::signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
}

Ingress::~Ingress() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    record_.line("platform: killed the ingress at the end of the run");
}

std::string hex(std::uint64_t value) {
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

std::string digest(std::string_view body) {
    std::uint64_t hash = 14695981039346656037ULL;   // FNV-1a
    for (const char c : body) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return std::to_string(body.size()) + " bytes, hash " + hex(hash);
}

std::string answer(int status, const std::string& body, const std::string& fields) {
    const char* reason = status == 200 ? "OK" : status == 503 ? "Service Unavailable" : "Error";
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Request::head(const std::string& framing) const {
    char deadline[32];
    std::snprintf(deadline, sizeof deadline, "%.3f", deadline_s);
    return method + " /" + service_class + "?customer=" + hex(customer) +
           " HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: " + id + "\r\nX-Class: " + service_class +
           "\r\nX-Tier: " + plan + "\r\nX-Deadline: " + deadline + "\r\n" +
           (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") +
           "X-Call-Terms: units=1,spread=1,first=0\r\n" + framing + "\r\n";
}

std::string Request::bytes() const {
    return head(body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}

Arguments::Arguments(int argc, char** argv) {
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s COMMAND RECORD\n", argv[0]);
        std::exit(kCouldNotRun);
    }
    command = argv[1];
    record = argv[2];
    const char* wanted = std::getenv("TROUBLE");
    trouble = !wanted || std::string(wanted) != "0";
    ::signal(SIGPIPE, SIG_IGN);
}

Folder::Folder() {
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(path.data())) std::exit(kCouldNotRun);
    path_ = path;
}

Folder::~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

}   // namespace review
