// The program's log: one function over fprintf(stderr), rate-limited, counting what it left out.
#pragma once

#include <cstdint>

namespace slatejunction {

class Log {
  public:
    enum class Level { info, warning, error };

    // `now` is the clock of net::now(). A line over the limit is counted and told of with the next one.
    __attribute__((format(printf, 4, 5))) void write(Level level, double now, const char* format, ...);

  private:
    static constexpr double kBurst = 40;      // lines at once
    static constexpr double kPerSecond = 5;   // lines a second after that
    double tokens_ = kBurst;
    double at_ = 0;
    std::uint64_t suppressed_ = 0;
};

}   // namespace slatejunction
