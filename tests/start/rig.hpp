// One program that a test starts in any surroundings: its files, environment, descriptors and signals.
#pragma once

#include <fcntl.h>
#include <sys/un.h>

#include <fstream>
#include <map>
#include <optional>
#include <sstream>

#include "files.hpp"
#include "process.hpp"

// A descriptor, closed with it.
class Owned {
  public:
    explicit Owned(int fd = -1) : fd_(fd) {}
    Owned(Owned&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Owned& operator=(Owned&& other) noexcept { return std::swap(fd_, other.fd_), *this; }
    ~Owned() {
        if (fd_ >= 0) ::close(fd_);
    }
    int get() const { return fd_; }

  private:
    int fd_;
};

// Listening at a port of loopback, without room for a second process there.
struct Taken {
    explicit Taken(int port = 0) : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const int on = 1;
        ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at = loopback_of(port);
        socklen_t size = sizeof at;
        REQUIRE(::bind(socket.get(), reinterpret_cast<sockaddr*>(&at), size) == 0);
        REQUIRE(::listen(socket.get(), 64) == 0);
        ::getsockname(socket.get(), reinterpret_cast<sockaddr*>(&at), &size);
        this->port = ntohs(at.sin_port);
    }
    Owned socket;
    int port = 0;
};

// The program and its folder. Nobody serves behind it unless a test sees to that.
struct Start {
    Start() {
        std::ifstream in(std::string(EXCHANGES) + "/config.json");
        std::stringstream text;
        text << in.rdbuf();
        config = text.str();
        config.replace(config.find("$PROVIDER"), 9, address_of(1));
        environment = {{"NODE_CONFIG", folder.file("config.json")},
                       {"NODE_LISTEN", address_of(port)},
                       {"NODE_DISCOVERY", address_of(1)},
                       {"NODE_ADMIN_ADDR", address_of(admin)},
                       {"TMPDIR", folder.path()}};
    }
    // As `/bin/sh -c` runs it, `$0` being the program.
    void run(const std::string& command = "exec \"$0\"") {
        folder.write("config.json", config);
        const std::map<std::string, std::string> before = swap_in();
        process = Process({"/bin/sh", "-c", command, PROGRAM}, "", folder.file("err"));
        for (const auto& [name, value] : environment) ::unsetenv(name.c_str());
        for (const auto& [name, value] : before) ::setenv(name.c_str(), value.c_str(), 1);
    }
    bool ready(double most_s = 10) const {
        return wait_for([this] { return ask(port, "GET", "/health/ready").starts_with("HTTP/1.1 200"); },
                        most_s);
    }
    std::string log() const { return folder.read("err"); }
    bool says(const std::string& text, double most_s = 10) const {
        return wait_for([&] { return log().find(text) != std::string::npos; }, most_s);
    }
    // Its exit status, which must come in time.
    int status(double most_s = 25) {
        REQUIRE(wait_for([this] { return !alive(); }, most_s));
        return *gone;
    }
    bool alive() {
        int found = 0;
        if (!gone && ::waitpid(process.id(), &found, WNOHANG) > 0)
            gone = WIFEXITED(found) ? WEXITSTATUS(found) : 128 + WTERMSIG(found);
        return !gone;
    }
    std::string socket_path() const {
        return folder.path() + "/slatejunction-127.0.0.1_" + std::to_string(port) + ".sock";
    }

    Folder folder;
    std::string config;
    int port = free_port(), admin = free_port();
    std::map<std::string, std::string> environment;
    Process process;
    std::optional<int> gone;

  private:
    std::map<std::string, std::string> swap_in() const {
        std::map<std::string, std::string> before;
        for (const auto& [name, value] : environment) {
            if (const char* old = std::getenv(name.c_str())) before[name] = old;
            ::setenv(name.c_str(), value.c_str(), 1);
        }
        return before;
    }
};

inline double seconds_since(std::chrono::steady_clock::time_point began) {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
}
