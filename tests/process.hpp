// Programs that a test starts and ends by their own ids, and a word with them over HTTP.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <string>
#include <thread>
#include <vector>

extern char** environ;

inline sockaddr_in loopback_of(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    return at;
}

inline int free_port() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback_of(0);
    socklen_t size = sizeof at;
    REQUIRE(::bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    ::close(fd);
    return ntohs(at.sin_port);
}

inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

inline void sleep_s(double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); }

// Until it holds, for at most so long: the verdict does not depend on how fast the machine is.
inline bool wait_for(const std::function<bool()>& holds, double most_s = 20) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(most_s);
    while (!holds()) {
        if (std::chrono::steady_clock::now() > until) return false;
        sleep_s(0.02);
    }
    return true;
}

class Process {
  public:
    Process() = default;
    // Its standard output goes to the file `out`, its standard error to `err`, both appended; empty:
    // nowhere.
    Process(std::vector<std::string> words, const std::string& out, const std::string& err) {
        std::vector<char*> argv;
        for (std::string& word : words) argv.push_back(word.data());
        argv.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        const auto to = [&](int fd, const std::string& path) {
            posix_spawn_file_actions_addopen(&files, fd, path.empty() ? "/dev/null" : path.c_str(),
                                             O_WRONLY | O_CREAT | O_APPEND, 0600);
        };
        to(1, out);
        to(2, err);
        REQUIRE(::posix_spawn(&pid_, argv[0], &files, nullptr, argv.data(), environ) == 0);
        posix_spawn_file_actions_destroy(&files);
    }
    Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, 0)) {}
    Process& operator=(Process&& other) noexcept { return std::swap(pid_, other.pid_), *this; }
    ~Process() {
        if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
    }
    void signal(int number) const {
        if (pid_ > 0) ::kill(pid_, number);
    }
    // Its exit status; 128 and the signal when one ended it.
    int wait() {
        int status = 0;
        REQUIRE(::waitpid(std::exchange(pid_, 0), &status, 0) > 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    int end(int number) {
        signal(number);
        return wait();
    }
    void forget() { pid_ = 0; }   // it has ended, and was waited for by its id
    ::pid_t id() const { return pid_; }
    bool running() const { return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0; }

  private:
    ::pid_t pid_ = 0;
};

// The whole answer, its head included; empty when there was none.
inline std::string ask(int port, const std::string& method, const std::string& target,
                       const std::string& fields = {}, const std::string& body = {}) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = loopback_of(port);
    std::string all;
    const std::string request = method + " " + target +
                                " HTTP/1.1\r\nHost: t\r\nContent-Length: " + std::to_string(body.size()) +
                                "\r\n" + fields + "\r\n" + body;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
        ::send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
            static_cast<::ssize_t>(request.size())) {
        char bytes[4096];
        pollfd one{fd, POLLIN, 0};
        for (;;) {
            const std::size_t head = all.find("\r\n\r\n"), length = all.find("Content-Length: ");
            if (head != std::string::npos && length < head &&
                all.size() >= head + 4 + std::stoul(all.substr(length + 16)))
                break;
            if (::poll(&one, 1, 5000) != 1) break;
            const ::ssize_t size = ::recv(fd, bytes, sizeof bytes, 0);
            if (size <= 0) break;
            all.append(bytes, static_cast<std::size_t>(size));
        }
    }
    ::close(fd);
    return all;
}
