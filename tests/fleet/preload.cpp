// Loaded into a started ingress by the rig (LD_PRELOAD), so that the program needs no hook of its own:
//
//   RIG_RATE=1.01           all its clocks run so much faster, but for CLOCK_MONOTONIC_RAW, by which
//   records are stamped RIG_STEP=2,-3600        2 s after its start the wall clock is set back by an hour
//   RIG_STOP=POST /act,20   stops itself (SIGSTOP) right before the 20th send that begins so
//   RIG_FULL=FILE           while FILE is there the disk is full for files of a folder named rollout
//   RIG_FAIL=accept:103:3,poll:4:2
//                           every third accept fails with errno 103, every second poll with errno 4; also
//                           socket, connect. A connect that fails has not begun.
//   RIG_SHORT=7             sends and receives move so many bytes at most
#include <dlfcn.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>

namespace {

struct Rig {
    double rate = 1, step_after = -1, step_by = 0;
    char stop[64] = "";
    int stop_at = 0, seen = 0;
    struct Failing {
        char call[16] = "";
        int error = 0, every = 0, seen = 0;
    };
    Failing failing[8];
    std::size_t most = 0;   // bytes that a send or a receive moves; 0: all
    timespec began{};
    int (*gettime)(clockid_t, timespec*) = nullptr;

    Rig() {
        gettime = reinterpret_cast<int (*)(clockid_t, timespec*)>(dlsym(RTLD_NEXT, "clock_gettime"));
        gettime(CLOCK_MONOTONIC_RAW, &began);
        if (const char* text = std::getenv("RIG_RATE")) rate = std::atof(text);
        if (const char* text = std::getenv("RIG_STEP")) std::sscanf(text, "%lf,%lf", &step_after, &step_by);
        if (const char* text = std::getenv("RIG_STOP")) std::sscanf(text, "%63[^,],%d", stop, &stop_at);
        if (const char* text = std::getenv("RIG_SHORT")) most = std::strtoul(text, nullptr, 10);
        const char* text = std::getenv("RIG_FAIL");
        for (Failing& one : failing) {
            if (!text || std::sscanf(text, "%15[^:]:%d:%d", one.call, &one.error, &one.every) != 3) break;
            text = std::strchr(text, ',');
            if (text) ++text;
        }
    }
    double elapsed() const {
        timespec now{};
        gettime(CLOCK_MONOTONIC_RAW, &now);
        return static_cast<double>(now.tv_sec - began.tv_sec) +
               1e-9 * static_cast<double>(now.tv_nsec - began.tv_nsec);
    }
    // Whether this call is one of those that fail; errno is set then.
    bool fails(const char* call) {
        for (Failing& one : failing)
            if (one.every > 0 && std::strcmp(one.call, call) == 0 && ++one.seen % one.every == 0)
                return errno = one.error, true;
        return false;
    }
    std::size_t part(std::size_t size) const { return most > 0 ? std::min(most, size) : size; }
    void before_send(const void* data, std::size_t size) {
        const std::size_t length = std::strlen(stop);
        if (stop_at == 0 || size < length || std::memcmp(data, stop, length) != 0) return;
        if (++seen == stop_at) std::raise(SIGSTOP);
    }
};

Rig& rig() {
    static Rig one;
    return one;
}

template <class Call>
Call next(const char* name) {
    return reinterpret_cast<Call>(dlsym(RTLD_NEXT, name));
}

}   // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* at) {
    Rig& r = rig();
    const int result = r.gettime(clock, at);
    if (result != 0 || clock == CLOCK_MONOTONIC_RAW || clock == CLOCK_PROCESS_CPUTIME_ID) return result;
    double more = 0;
    if (r.rate != 1) more += (r.rate - 1) * r.elapsed();
    if (clock == CLOCK_REALTIME && r.step_after >= 0 && r.elapsed() > r.step_after) more += r.step_by;
    if (more == 0) return result;
    const auto whole = static_cast<long long>(more * 1e9);
    long long ns = at->tv_sec * 1'000'000'000LL + at->tv_nsec + whole;
    at->tv_sec = ns / 1'000'000'000LL;
    at->tv_nsec = ns % 1'000'000'000LL;
    return result;
}

extern "C" ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    static const auto real = next<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
    if (message->msg_iovlen > 0) {
        // The pieces of a gathered write, as far as they matter.
        char head[64];
        std::size_t size = 0;
        for (std::size_t i = 0; i < message->msg_iovlen && size < sizeof head; ++i) {
            const std::size_t some = std::min(sizeof head - size, message->msg_iov[i].iov_len);
            if (some == 0) continue;   // an empty piece may have no address
            std::memcpy(head + size, message->msg_iov[i].iov_base, some);
            size += some;
        }
        rig().before_send(head, size);
    }
    if (rig().most > 0 && message->msg_iovlen > 0) {   // a part of the first piece that holds anything
        std::size_t first = 0;
        while (first + 1 < message->msg_iovlen && message->msg_iov[first].iov_len == 0) ++first;
        iovec piece = message->msg_iov[first];
        piece.iov_len = rig().part(piece.iov_len);
        msghdr less = *message;
        less.msg_iov = &piece;
        less.msg_iovlen = 1;
        return real(fd, &less, flags);
    }
    return real(fd, message, flags);
}

extern "C" int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
    static const auto real = next<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
    if (!rig().fails("accept")) return real(fd, address, size, flags);
    return -1;
}

extern "C" int accept(int fd, sockaddr* address, socklen_t* size) {
    static const auto real = next<int (*)(int, sockaddr*, socklen_t*)>("accept");
    return rig().fails("accept") ? -1 : real(fd, address, size);
}

extern "C" int socket(int domain, int type, int protocol) {
    static const auto real = next<int (*)(int, int, int)>("socket");
    return rig().fails("socket") ? -1 : real(domain, type, protocol);
}

extern "C" int connect(int fd, const sockaddr* address, socklen_t size) {
    static const auto real = next<int (*)(int, const sockaddr*, socklen_t)>("connect");
    return rig().fails("connect") ? -1 : real(fd, address, size);
}

extern "C" int poll(pollfd* all, nfds_t count, int wait_ms) {
    static const auto real = next<int (*)(pollfd*, nfds_t, int)>("poll");
    return rig().fails("poll") ? -1 : real(all, count, wait_ms);
}

extern "C" ssize_t recv(int fd, void* data, std::size_t size, int flags) {
    static const auto real = next<ssize_t (*)(int, void*, std::size_t, int)>("recv");
    return real(fd, data, rig().part(size), flags);
}

extern "C" ssize_t write(int fd, const void* data, size_t size) {
    static const auto real = next<ssize_t (*)(int, const void*, size_t)>("write");
    static const char* const full = std::getenv("RIG_FULL");
    if (full && ::access(full, F_OK) == 0) {
        char link[64], path[512];
        std::snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
        const ssize_t length = ::readlink(link, path, sizeof path - 1);
        if (length > 0) {
            path[length] = 0;
            if (std::strstr(path, "/rollout/")) return errno = ENOSPC, -1;
        }
    }
    return real(fd, data, size);
}

extern "C" ssize_t send(int fd, const void* data, std::size_t size, int flags) {
    static const auto real = next<ssize_t (*)(int, const void*, std::size_t, int)>("send");
    rig().before_send(data, size);
    return real(fd, data, rig().part(size), flags);
}
