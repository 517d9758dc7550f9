// The clock that leases are timed by: CLOCK_BOOTTIME, which also runs while the machine is suspended.
#pragma once

#include <ctime>

namespace slatejunction::lease {

/// Returns the time in s since boot. All processes of one machine read the same clock.
inline double boot_clock_s() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return static_cast<double>(now.tv_sec) + 1e-9 * static_cast<double>(now.tv_nsec);
}

}   // namespace slatejunction::lease
