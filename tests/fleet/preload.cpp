// Loaded into a started ingress by the rig (LD_PRELOAD), so that the program needs no hook of its own:
//
//   RIG_RATE=1.01           all its clocks run so much faster, but for CLOCK_MONOTONIC_RAW, by which
//   records are stamped RIG_STEP=2,-3600        2 s after its start the wall clock is set back by an hour
//   RIG_STOP=POST /act,20   stops itself (SIGSTOP) right before the 20th send that begins so
//   RIG_FULL=FILE           while FILE is there the disk is full for files of a folder named rollout
#include <dlfcn.h>
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
    timespec began{};
    int (*gettime)(clockid_t, timespec*) = nullptr;

    Rig() {
        gettime = reinterpret_cast<int (*)(clockid_t, timespec*)>(dlsym(RTLD_NEXT, "clock_gettime"));
        gettime(CLOCK_MONOTONIC_RAW, &began);
        if (const char* text = std::getenv("RIG_RATE")) rate = std::atof(text);
        if (const char* text = std::getenv("RIG_STEP")) std::sscanf(text, "%lf,%lf", &step_after, &step_by);
        if (const char* text = std::getenv("RIG_STOP")) std::sscanf(text, "%63[^,],%d", stop, &stop_at);
    }
    double elapsed() const {
        timespec now{};
        gettime(CLOCK_MONOTONIC_RAW, &now);
        return static_cast<double>(now.tv_sec - began.tv_sec) +
               1e-9 * static_cast<double>(now.tv_nsec - began.tv_nsec);
    }
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
            std::memcpy(head + size, message->msg_iov[i].iov_base, some);
            size += some;
        }
        rig().before_send(head, size);
    }
    return real(fd, message, flags);
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
    return real(fd, data, size, flags);
}
