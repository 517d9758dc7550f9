// The errors that more than one kind of operation ends in.
#pragma once

#include <string_view>

#include "expr/value.hpp"

namespace slatejunction::expr {

inline constexpr std::string_view kNoOverload = "no such overload";
inline constexpr std::string_view kNoKey = "no such key";
inline constexpr std::string_view kOutOfRange = "index out of range";
inline constexpr std::string_view kTimeRange = "time out of range";

/// The value of an operation that is not defined for the kinds of its operands.
inline Value no_overload() { return Value::error(kNoOverload); }

/// `operand` where it is an error itself, else no_overload().
inline Value error_or_no_overload(const Value& operand) {
    return operand.is_error() ? operand : no_overload();
}

}   // namespace slatejunction::expr
