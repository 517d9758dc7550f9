#include "net/callback_boundary.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

namespace slatejunction::net {
namespace {
constexpr int kLastLineMs = 100;   // for the log's reader
}   // namespace

void end_by_fault(const char* what) noexcept {
    std::array<char, 512> line{};   // a pipe that polls as writable takes that much without waiting
    const int size = std::snprintf(line.data(), line.size(),
                                   "error: a fault of this program, which ends with status %d: %s\n",
                                   kFaultStatus, what);
    pollfd log{STDERR_FILENO, POLLOUT, 0};
    if (size > 0 && ::poll(&log, 1, kLastLineMs) == 1 && (log.revents & POLLOUT) != 0) {
        const auto wanted = std::min(static_cast<std::size_t>(size), line.size() - 1);
        [[maybe_unused]] const ssize_t written = ::write(STDERR_FILENO, line.data(), wanted);
    }
    std::_Exit(kFaultStatus);
}

}   // namespace slatejunction::net
