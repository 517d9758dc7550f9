// Ports for tests that run side by side.
#pragma once

#include <sys/file.h>

#include <string>

#include "process.hpp"

namespace rig {

// Ports under the system's own range, in blocks. A block is this process's for as long as it lives (a lock
// on a file), so that fleets that run side by side don't meet, also while one of theirs is dead and its
// ports look free.
class Ports {
  public:
    static constexpr int kFirst = 10000, kBlock = 400, kBlocks = 55;
    Ports() {
        for (int i = 0; i < kBlocks && lock_ < 0; ++i) {
            block_ =
                static_cast<int>((static_cast<unsigned>(::getpid()) + static_cast<unsigned>(i)) % kBlocks);
            const std::string path = "/tmp/slatejunction-ports-" + std::to_string(block_);
            const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
            if (fd >= 0 && ::flock(fd, LOCK_EX | LOCK_NB) == 0)
                lock_ = fd;
            else if (fd >= 0)
                ::close(fd);
        }
    }
    ~Ports() {
        if (lock_ >= 0) ::close(lock_);
    }
    Ports(const Ports&) = delete;
    Ports& operator=(const Ports&) = delete;
    int next() {
        REQUIRE(lock_ >= 0);
        for (int tries = 0; tries < kBlock; ++tries) {
            const int port = kFirst + block_ * kBlock + at_;
            at_ = (at_ + 1) % kBlock;
            const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
                      udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            const sockaddr_in at = loopback_of(port);
            const bool free = ::bind(tcp, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
                              ::bind(udp, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
            ::close(tcp);
            ::close(udp);
            if (free) return port;
        }
        FAIL("no port is free");
        return 0;
    }

  private:
    int lock_ = -1, block_ = 0, at_ = 0;
};

inline int fleet_port() {
    static Ports ports;
    return ports.next();
}

}   // namespace rig
