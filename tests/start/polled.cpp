#include "start/polled.hpp"

#include <poll.h>
#include <signal.h>

namespace polled {
std::function<void()> after;
}

// In place of the C library's, for this test program.
extern "C" int poll(pollfd* all, nfds_t count, int wait_ms) {
    const timespec most{wait_ms / 1000, wait_ms % 1000 * 1'000'000L};
    const int found = ::ppoll(all, count, wait_ms < 0 ? nullptr : &most, nullptr);
    if (found > 0 && polled::after) polled::after();
    return found;
}
