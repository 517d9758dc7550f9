// The clock of leases: CLOCK_BOOTTIME, which also runs while the machine sleeps.
#pragma once

#include <ctime>

namespace slatejunction::lease {

/// s since boot; the same for all processes of one machine.
inline double boot_clock_s() {
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return static_cast<double>(at.tv_sec) + 1e-9 * static_cast<double>(at.tv_nsec);
}

}   // namespace slatejunction::lease
