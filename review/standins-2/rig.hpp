// Stand-ins of the second review, for one process: backends, discovery, clients and the start of the
// ingress. They follow the operators' protocol page: HTTP/1.1 on loopback, one thread for each connection.
// Everything that passes is written to the record of the case.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rig {

inline double now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline const double kBegan = now();
inline void sleep_s(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// Writes a line to record.txt of the case (environment RECORD), with the time since the start.
inline void record(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void record(const char* format, ...) {
    static std::mutex lock;
    static std::FILE* const out = [] {
        const char* path = std::getenv("RECORD");
        std::FILE* file = path ? std::fopen(path, "a") : nullptr;
        return file ? file : stdout;
    }();
    const std::lock_guard guard(lock);
    std::fprintf(out, "%8.3f ", now() - kBegan);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(out, format, arguments);
    va_end(arguments);
    std::fputc('\n', out);
    std::fflush(out);
}

/// Ends the case: 0 the rule held, 1 it was broken, 2 the case could not run.
[[noreturn]] inline void finish(int status);

// Sockets. -----------------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return at;
}

/// A listening socket on a free loopback port.
inline int listen_any(int& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback(0);
    socklen_t size = sizeof at;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
        record("no listening socket: %s", std::strerror(errno));
        finish(2);
    }
    port = ntohs(at.sin_port);
    return fd;
}

/// A port that is free now, for a process that the case starts.
inline int free_port() {
    int port = 0;
    ::close(listen_any(port));
    return port;
}
inline std::string address(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int dial(int port, double timeout_s = 2, int receive_buffer = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) return -1;
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (receive_buffer > 0) ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const timeval most{static_cast<time_t>(timeout_s), 0};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &most, sizeof most);
    sockaddr_in at = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline bool write_all(int fd, const char* data, std::size_t size) {
    while (size > 0) {
        const ssize_t sent = ::send(fd, data, size, MSG_NOSIGNAL);
        if (sent <= 0) return false;
        data += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}
inline bool write_all(int fd, const std::string& text) { return write_all(fd, text.data(), text.size()); }

/// Reads what is there by `until` (now()). -1: error, 0: end, -2: time is up.
inline ssize_t read_some(int fd, char* to, std::size_t size, double until) {
    for (;;) {
        const double left = until - now();
        if (left <= 0) return -2;
        pollfd one{fd, POLLIN, 0};
        const int ready = ::poll(&one, 1, static_cast<int>(left * 1000) + 1);
        if (ready > 0) return ::recv(fd, to, size, 0);
        if (ready < 0 && errno != EINTR) return -1;
    }
}

// HTTP. --------------------------------------------------------------------------------------------------

struct Message {
    std::string start, head, body;   // head: all lines, as they came
    std::string field(const std::string& lower) const {
        std::size_t at = 0;
        while ((at = head.find("\r\n", at)) != std::string::npos) {
            at += 2;
            const std::size_t colon = head.find(':', at), end = head.find("\r\n", at);
            if (colon == std::string::npos || end == std::string::npos || colon > end) continue;
            std::string name = head.substr(at, colon - at);
            for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            if (name != lower) continue;
            std::size_t from = colon + 1;
            while (from < end && head[from] == ' ') ++from;
            return head.substr(from, end - from);
        }
        return {};
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    std::string target() const {
        const std::size_t a = start.find(' '), b = start.find(' ', a + 1);
        return a == std::string::npos || b == std::string::npos ? "" : start.substr(a + 1, b - a - 1);
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
};

/// Reads a head into `message`; what follows it stays in `rest`. Returns 1, or as read_some().
inline int read_head(int fd, std::string& rest, Message& message, double until) {
    std::size_t end = 0;
    char block[16384];
    while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
        const ssize_t got = read_some(fd, block, sizeof block, until);
        if (got <= 0) return static_cast<int>(got);
        rest.append(block, static_cast<std::size_t>(got));
    }
    message.head = rest.substr(0, end + 2);
    message.start = message.head.substr(0, message.head.find("\r\n"));
    rest.erase(0, end + 4);
    return 1;
}

inline int read_counted(int fd, std::string& rest, std::size_t size, std::string& body, double until) {
    char block[65536];
    while (rest.size() < size) {
        const ssize_t got = read_some(fd, block, sizeof block, until);
        if (got <= 0) return static_cast<int>(got);
        rest.append(block, static_cast<std::size_t>(got));
    }
    body = rest.substr(0, size);
    rest.erase(0, size);
    return 1;
}

inline int read_chunked(int fd, std::string& rest, std::string& body, double until) {
    char block[65536];
    const auto more = [&]() -> int {
        const ssize_t got = read_some(fd, block, sizeof block, until);
        if (got > 0) rest.append(block, static_cast<std::size_t>(got));
        return got > 0 ? 1 : static_cast<int>(got);
    };
    for (;;) {
        std::size_t line = 0;
        while ((line = rest.find("\r\n")) == std::string::npos)
            if (const int result = more(); result <= 0) return result;
        const std::size_t size = std::strtoul(rest.c_str(), nullptr, 16);
        while (rest.size() < line + 2 + size + 2)
            if (const int result = more(); result <= 0) return result;
        body += rest.substr(line + 2, size);
        rest.erase(0, line + 2 + size + 2);
        if (size == 0) return 1;
    }
}

/// Reads one whole message. 1: whole; 0: the connection ended before; -1: it was reset; -2: time is up.
inline int read_message(int fd, std::string& rest, Message& message, double until) {
    const int result = read_head(fd, rest, message, until);
    if (result <= 0) return result;
    message.body.clear();
    if (message.field("transfer-encoding") == "chunked") return read_chunked(fd, rest, message.body, until);
    const std::string length = message.field("content-length");
    if (length.empty()) return 1;
    return read_counted(fd, rest, std::strtoul(length.c_str(), nullptr, 10), message.body, until);
}

// Servers. -----------------------------------------------------------------------------------------------

/// Accepts at a free port; runs `serve` in a thread of its own for each connection, which owns the socket.
class Server {
  public:
    explicit Server(std::function<void(int)> serve) : serve_(std::move(serve)), fd_(listen_any(port_)) {
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) return;
                const int one = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                std::thread([this, fd] {
                    serve_(fd);
                    ::close(fd);
                }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }

  private:
    std::function<void(int)> serve_;
    int port_ = 0;
    int fd_;
};

constexpr double kLong = 3600;

/// A backend: answers each whole request by `answer`, which may write by itself. False: close.
class Backend {
  public:
    using Answer = std::function<bool(int fd, const Message& request)>;
    Backend(std::string id, Answer answer)
        : id_(std::move(id)), answer_(std::move(answer)), server_([this](int fd) { serve(fd); }) {}
    const std::string& id() const { return id_; }
    int port() const { return server_.port(); }

  private:
    void serve(int fd) {
        std::string rest;
        Message request;
        while (read_message(fd, rest, request, now() + kLong) == 1) {
            if (request.field("x-request-id").empty()) {
                write_all(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (!answer_(fd, request)) return;
        }
    }
    std::string id_;
    Answer answer_;
    Server server_;
};

inline std::string ok(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Discovery: the whole list, and watches.
class Discovery {
  public:
    struct Member {
        std::string id, host_port, phase = "Ready";
        std::int64_t up_since_ms = 0;
        int cell = 1, changed = 1;
        std::string locality = "a";
    };
    explicit Discovery(std::vector<Member> members)
        : members_(std::move(members)), server_([this](int fd) { serve(fd); }) {}
    int port() const { return server_.port(); }
    void set(const std::string& id, const std::string& phase, std::int64_t up_since_ms = -1) {
        const std::lock_guard guard(lock_);
        ++revision_;
        for (Member& one : members_)
            if (one.id == id) {
                one.phase = phase;
                one.changed = revision_;
                if (up_since_ms >= 0) one.up_since_ms = up_since_ms;
            }
        changed_.notify_all();
    }
    std::string list(int since) {   // under lock_; since < 0: the whole list
        std::string text = "{\"revision\":" + std::to_string(revision_) +
                           ",\"complete\":" + (since < 0 ? "true" : "false") + ",\"members\":[";
        bool first = true;
        for (const Member& one : members_) {
            if (since < 0 ? one.phase == "Gone" : one.changed <= since) continue;
            char entry[512];
            std::snprintf(entry, sizeof entry,
                          "%s{\"id\":\"%s\",\"host_port\":\"%s\",\"locality\":\"%s\",\"flavor\":\"m2\","
                          "\"cell\":%d,\"phase\":\"%s\",\"size\":1.0,\"up_since_ms\":%lld}",
                          first ? "" : ",", one.id.c_str(), one.host_port.c_str(), one.locality.c_str(),
                          one.cell, one.phase.c_str(), static_cast<long long>(one.up_since_ms));
            text += entry;
            first = false;
        }
        return text + "]}";
    }
    std::string whole() {
        const std::lock_guard guard(lock_);
        return list(-1);
    }

  private:
    void serve(int fd) {
        std::string rest;
        Message request;
        while (read_message(fd, rest, request, now() + kLong) == 1) {
            const std::string target = request.target();
            const std::size_t index = target.find("index="), wait = target.find("wait=");
            std::string body;
            {
                std::unique_lock guard(lock_);
                const int since = index == std::string::npos ? -1 : std::atoi(target.c_str() + index + 6);
                const int wait_ms = wait == std::string::npos ? 0 : std::atoi(target.c_str() + wait + 5);
                if (since >= 0)
                    changed_.wait_for(guard, std::chrono::milliseconds(std::min(wait_ms, 60000)),
                                      [&] { return revision_ > since; });
                body = list(since);
            }
            if (!write_all(fd, ok(body))) return;
        }
    }
    std::mutex lock_;
    std::condition_variable changed_;
    int revision_ = 1;
    std::vector<Member> members_;
    Server server_;
};

// The ingress. -------------------------------------------------------------------------------------------

inline std::vector<pid_t>& children() {
    static std::vector<pid_t> all;
    return all;
}
inline void finish(int status) {
    for (const pid_t pid : children()) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    std::fflush(nullptr);
    std::_Exit(status);
}

inline std::string folder() {   // temporary, of the case; run.sh removes it
    const char* path = std::getenv("FOLDER");
    return path ? path : "/tmp";
}

inline void write_file(const std::string& path, const std::string& text) {
    std::FILE* const file = std::fopen(path.c_str(), "w");
    if (!file || std::fwrite(text.data(), 1, text.size(), file) != text.size()) finish(2);
    std::fclose(file);
}
inline std::string read_file(const std::string& path) {
    std::string text;
    if (std::FILE* const file = std::fopen(path.c_str(), "r")) {
        char block[65536];
        for (std::size_t got; (got = std::fread(block, 1, sizeof block, file)) > 0;)
            text.append(block, got);
        std::fclose(file);
    }
    return text;
}

/// Starts a command by /bin/sh -c, as the platform does; its standard error goes to `log`.
inline pid_t start(const std::string& command, const std::map<std::string, std::string>& environment,
                   const std::string& log) {
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);   // no process outlives the case, whatever ends it
        for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
        ::_exit(127);
    }
    children().push_back(pid);
    return pid;
}

inline std::string run_command() {   // `run` of the deploy file
    const char* run = std::getenv("RUN");
    if (!run) finish(2);
    return run;
}

/// GET of a path: the status, 0 if there is no answer.
inline int get(int port, const std::string& path, const char* method = "GET", std::string* body = nullptr,
               double timeout_s = 2) {
    const int fd = dial(port);
    if (fd < 0) return 0;
    std::string rest;
    Message answer;
    write_all(fd, std::string(method) + " " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
                      (std::strcmp(method, "POST") == 0 ? "Content-Length: 0\r\n" : "") + "\r\n");
    const int result = read_message(fd, rest, answer, now() + timeout_s);
    ::close(fd);
    if (body) *body = answer.body;
    return result == 1 ? answer.status() : 0;
}

inline bool await_ready(int port, double timeout_s = 10) {
    for (const double until = now() + timeout_s; now() < until; sleep_s(0.02))
        if (get(port, "/health/ready") == 200) return true;
    return false;
}

inline bool trouble() {   // TROUBLE=0: the same without the disruption
    const char* text = std::getenv("TROUBLE");
    return !text || std::strcmp(text, "0") != 0;
}

/// Settings of a small deployment; `more` is put among the fields of the file.
inline std::string config(const std::string& name, int listen, int discovery, const std::string& known,
                          const std::string& more = "", int balancers = 1, int number = 0) {
    return "{\"name\":\"" + name + "\",\"listen\":\"" + address(listen) + "\",\"discovery\":\"" +
           address(discovery) + "\",\"seed\":\"8c1f30d27a5be964\"," + more +
           "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known +
           ",\"settings\":{\"Balancers\":" + std::to_string(balancers) +
           ",\"MyNumber\":" + std::to_string(number) +
           ",\"QuantumS\":0.004,\"Zone\":\"a\",\"Discovery\":\"automatic\",\"Services\":["
           "{\"Name\":\"risk-read\",\"AimS\":1.5,\"DeadlineS\":4,\"Effect\":\"pure\",\"Group\":\"all\","
           "\"Worth\":2,\"LateWorth\":0.0},"
           "{\"Name\":\"warn-send\",\"AimS\":5,\"DeadlineS\":12,\"Effect\":\"side_effect\","
           "\"Group\":\"all\",\"Worth\":6,\"LateWorth\":0.2}],"
           "\"Contracts\":[{\"Name\":\"basis\",\"UnitsPerS\":200,\"Depth\":600,\"Price\":0.8,"
           "\"OverCost\":0.8},{\"Name\":\"pro\",\"UnitsPerS\":1200,\"Depth\":2400,\"Price\":1.6,"
           "\"ExtraWorth\":0.1}],"
           "\"FamilyInfo\":{\"MeterPeriodS\":2,\"UnitsTop\":1},"
           "\"Limits\":{\"AttemptsCap\":3,\"ParallelTries\":true,\"Cancel\":true,\"Probes\":false,"
           "\"RetryAfter\":false,\"MaxRetryAfterS\":1,\"DialTimeoutS\":0.25,\"KeepaliveS\":30,"
           "\"MaxOpen\":20000},"
           "\"Rules\":{\"AnswerSlackS\":0.016,\"ColdFrom\":0.16,\"WarmWithinS\":13,\"FallMultiple\":2,"
           "\"FallS\":2,\"DrainGraceS\":0.25}}}";
}

/// A request as the protocol page writes it.
inline std::string request(bool write, const std::string& id, double deadline_s, int customer = 1,
                           const std::string& body = "", const std::string& more = "") {
    char head[512];
    std::snprintf(head, sizeof head,
                  "%s /%s?customer=%016x HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\n"
                  "X-Class: %s\r\nX-Tier: pro\r\nX-Deadline: %.3f\r\n"
                  "X-Call-Terms: units=1,spread=1,first=0\r\n%s",
                  write ? "POST" : "GET", write ? "warn-send" : "risk-read", customer, id.c_str(),
                  write ? "warn-send" : "risk-read", deadline_s, more.c_str());
    std::string text = head;
    if (write) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

}   // namespace rig
