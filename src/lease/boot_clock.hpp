// The clock of leases.
#pragma once

#include <ctime>

namespace slatejunction::lease {

// s; goes on while the machine sleeps, and in step for all processes of one machine.
inline double boot_s() {
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return static_cast<double>(at.tv_sec) + 1e-9 * static_cast<double>(at.tv_nsec);
}

}   // namespace slatejunction::lease
