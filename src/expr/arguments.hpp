// The arguments of a call of a function.
#pragma once

#include <cstddef>
#include <span>

#include "expr/value.hpp"

namespace slatejunction::expr {

/// In their order, a member's target first; none is an error.
using Arguments = std::span<const Value>;

/// Whether there is an argument `number` (from 0) and it is of that kind.
inline bool argument_is(Arguments arguments, std::size_t number, Kind kind) {
    return number < arguments.size() && arguments[number].is(kind);
}

}   // namespace slatejunction::expr
