// What a piece of work costs: CPU time by account, memory. Linux with glibc 2.33 or later.
#pragma once

#include <malloc.h>
#include <sys/resource.h>

#include <cstddef>
#include <cstdio>
#include <ctime>

namespace slatejunction::scale {

// CPU s of this thread, as getrusage counts it, to the nanosecond.
inline double cpu_s() {
    timespec at{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
    return static_cast<double>(at.tv_sec) + 1e-9 * static_cast<double>(at.tv_nsec);
}

// s of a clock that goes on while this process waits for a core.
inline double wall_s() {
    timespec at{};
    clock_gettime(CLOCK_MONOTONIC, &at);
    return static_cast<double>(at.tv_sec) + 1e-9 * static_cast<double>(at.tv_nsec);
}

// Bytes that are allocated and not freed, over all of the heap.
inline std::size_t allocated() {
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Bytes of this process that are in memory.
inline std::size_t resident() {
    std::size_t total = 0, pages = 0;
    if (std::FILE* const file = std::fopen("/proc/self/statm", "r")) {
        if (std::fscanf(file, "%zu %zu", &total, &pages) != 2) pages = 0;
        std::fclose(file);
    }
    return pages * 4096;
}

// Books CPU time to accounts: from enter() on all of it is that account's, until the next enter(). What the
// reading of the clock costs is measured once and left out.
class Meter {
  public:
    Meter() {
        constexpr int kReads = 20'000;
        const double from = cpu_s();
        for (int i = 0; i < kReads; ++i) cpu_s();
        read_s_ = (cpu_s() - from) / kReads;
        at_ = cpu_s();
    }
    // Returns the account that was booked to before. `account` lives until the next call.
    double* enter(double* account) {
        const double now = cpu_s();
        if (const double spent = now - at_ - read_s_; spent > 0) *account_ += spent;
        at_ = now;
        double* const before = account_;
        account_ = account;
        return before;
    }
    double* none() { return &elsewhere_; }

  private:
    double elsewhere_ = 0, read_s_ = 0, at_ = 0;
    double* account_ = &elsewhere_;
};

// Books to an account for as long as it lives.
class Booked {
  public:
    Booked(Meter& meter, double* account) : meter_(meter), before_(meter.enter(account)) {}
    ~Booked() { meter_.enter(before_); }
    Booked(const Booked&) = delete;
    Booked& operator=(const Booked&) = delete;

  private:
    Meter& meter_;
    double* const before_;
};

}   // namespace slatejunction::scale
