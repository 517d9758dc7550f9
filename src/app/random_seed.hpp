// A number drawn anew with each start, never 0: the configuration's seed may be the same again, and what
// names a process or its own entries elsewhere must not be.
#pragma once

#include <cstdint>
#include <random>

namespace slatejunction::app {

inline std::uint64_t draw_process() {
    std::random_device device;
    const std::uint64_t drawn = static_cast<std::uint64_t>(device()) << 32 | device();
    return drawn == 0 ? 1 : drawn;
}

}   // namespace slatejunction::app
