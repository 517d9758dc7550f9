// A digest of what a simulated run put out, for tests that a change to the code leaves the decisions of a
// core as they were.
#pragma once

#include <bit>
#include <cstdint>
#include <string_view>
#include <type_traits>

// FNV-1a, 64 bits. The result depends on the values and their order alone: every number is folded in as
// eight bytes, least significant first, and every string after its length, so that neighbouring fields
// can't run into each other. Not for input that an attacker chooses.
class Digest {
  public:
    // The bytes, after their number.
    void add(std::string_view bytes) {
        add(bytes.size());
        for (const char byte : bytes) fold(static_cast<unsigned char>(byte));
    }
    // An integer, a bool or an enumerator by its value; a floating-point number by the bits of its double,
    // so that the least difference of a time or a level shows.
    template <class Number>
    requires std::is_arithmetic_v<Number> || std::is_enum_v<Number>
    void add(Number number) {
        std::uint64_t bits = 0;
        if constexpr (std::is_floating_point_v<Number>)
            bits = std::bit_cast<std::uint64_t>(static_cast<double>(number));
        else
            bits = static_cast<std::uint64_t>(number);
        for (int i = 0; i < 64; i += 8) fold(static_cast<unsigned char>(bits >> i));
    }
    // Several values, one after the other.
    template <class First, class Second, class... Rest>
    void add(const First& first, const Second& second, const Rest&... rest) {
        add(first);
        add(second);
        (add(rest), ...);
    }
    std::uint64_t value() const { return value_; }

  private:
    void fold(unsigned char byte) { value_ = (value_ ^ byte) * 0x100000001b3ULL; }

    std::uint64_t value_ = 0xcbf29ce484222325ULL;
};
