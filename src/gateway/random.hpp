// Random numbers: all random numbers of a gateway come from one generator, which the caller seeds.
//
// - Input: a 64-bit seed.
// - Output: uniform numbers in [0, 1), the same sequence on every platform.
// - Limits: it reads no clock and no device; it must not be used for secrets.
// - Visible in: nothing directly; equal seeds and events give equal actions.
#pragma once

#include <cstdint>

namespace slatejunction::gateway {

/// The splitmix64 generator (Steele, Lea and Flood, 2014).
class Random {
  public:
    explicit Random(std::uint64_t seed) : state_(seed) {}

    /// The next number, uniform in [0, 1), with 53 random bits.
    double uniform() {
        state_ += 0x9e3779b97f4a7c15ULL;
        std::uint64_t bits = state_;
        bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
        bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
        return static_cast<double>((bits ^ (bits >> 31)) >> 11) * 0x1.0p-53;
    }

  private:
    std::uint64_t state_;
};

}   // namespace slatejunction::gateway
