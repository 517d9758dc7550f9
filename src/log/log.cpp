#include "log/log.hpp"

#include <algorithm>
#include <cstdarg>
#include <cstdio>

namespace slatejunction {

void Log::write(Level level, double now, const char* format, ...) {
    tokens_ = std::min(kBurst, tokens_ + std::max(0.0, now - at_) * kPerSecond);
    at_ = std::max(at_, now);
    if (tokens_ < 1) {
        ++suppressed_;
        return;
    }
    tokens_ -= 1;
    if (suppressed_ > 0) {
        std::fprintf(stderr, "warning: %llu log lines suppressed\n",
                     static_cast<unsigned long long>(suppressed_));
        suppressed_ = 0;
    }
    char line[512];
    va_list args;
    va_start(args, format);
    std::vsnprintf(line, sizeof line, format, args);
    va_end(args);
    const char* name = level == Level::info ? "info" : level == Level::warning ? "warning" : "error";
    std::fprintf(stderr, "%s: %s\n", name, line);
}

}   // namespace slatejunction
