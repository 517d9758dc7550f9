// What operations cost, in units. The compiler takes these formulas at the largest sizes that operands can
// have, the evaluator at their real ones. Every formula grows with each of its arguments (texts in bytes,
// collections in items), so that what is spent never passes the bound. A unit is about one simple
// instruction; docs/results/expressions.md has the time of one.
#pragma once

#include <algorithm>
#include <cstdint>

namespace slatejunction::expr::cost {

using Units = std::uint64_t;
inline constexpr Units kMost = ~Units{0};

// Sums and products that stay at kMost instead of running over.
constexpr Units plus(Units a, Units b) { return a > kMost - b ? kMost : a + b; }
constexpr Units times(Units a, Units b) {
    Units product = 0;
    return __builtin_mul_overflow(a, b, &product) ? kMost : product;
}
template <class... More>
constexpr Units plus(Units a, Units b, More... more) {
    return plus(plus(a, b), more...);
}

inline constexpr Units kStep = 1;    // one instruction
inline constexpr Units kTime = 12;   // reading or writing a time, a calendar's field
inline constexpr std::uint64_t kTimeText = 40, kAddressText = 46;   // bytes, the longest

// Bytes looked at or copied at the machine's best pace, and one by one.
constexpr Units sweep(Units bytes) { return bytes / 32; }
constexpr Units walk(Units bytes) { return bytes / 8; }
// Two texts beside each other.
constexpr Units compare(Units a, Units b) { return sweep(std::min(a, b)); }
// A search that is linear in both texts, whatever they hold.
constexpr Units search(Units text, Units sought) { return plus(2, text / 4, sought / 4); }
// RE2 over a text: linear in it, at worst times a part of the pattern's program.
constexpr Units match(Units text, Units program) {
    return plus(8, times(plus(text, 1), plus(2, program / 8)) / 4);
}
// A map's key among its pairs: a look at each, and the texts that are of the same size.
constexpr Units find(Units pairs, Units equal_bytes) { return plus(1, pairs / 2, sweep(equal_bytes)); }
// A map made of pairs: each key is looked for among those before it.
constexpr Units build(Units pairs, Units key_bytes) {
    return plus(pairs, times(pairs, find(pairs, times(pairs, key_bytes))));
}
// A list or text made of many parts.
constexpr Units make(Units items, Units bytes) { return plus(items, sweep(bytes)); }

}   // namespace slatejunction::expr::cost
