#include "net/callback_boundary.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

namespace slatejunction::net {
namespace {
// How long to wait until the log accepts the line.
constexpr int kLogWriteTimeoutMs = 100;
}   // namespace

void exit_after_exception(const char* what) noexcept {
    std::array<char, 512> line{};   // a pipe that polls as writable accepts this much without blocking
    const int size =
        std::snprintf(line.data(), line.size(),
                      "error: unhandled exception in an event loop callback, exiting with status %d: %s\n",
                      kExceptionExitStatus, what);
    pollfd log{STDERR_FILENO, POLLOUT, 0};
    if (size > 0 && ::poll(&log, 1, kLogWriteTimeoutMs) == 1 && (log.revents & POLLOUT) != 0) {
        const auto wanted = std::min(static_cast<std::size_t>(size), line.size() - 1);
        [[maybe_unused]] const ssize_t written = ::write(STDERR_FILENO, line.data(), wanted);
    }
    std::_Exit(kExceptionExitStatus);
}

}   // namespace slatejunction::net
