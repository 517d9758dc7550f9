// The ends of the ranges of int and uint as doubles, for comparisons and conversions between kinds of
// numbers.
#pragma once

namespace slatejunction::expr {

inline constexpr double kTwo63 = 9223372036854775808.0;    ///< 2^63: the first double above every int
inline constexpr double kTwo64 = 18446744073709551616.0;   ///< 2^64: the first double above every uint

}   // namespace slatejunction::expr
