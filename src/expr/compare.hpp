// Comparison of values, and the search for a key of a map, which compares keys.
#pragma once

#include "expr/cost.hpp"
#include "expr/program.hpp"
#include "expr/value.hpp"

namespace slatejunction::expr {

/// The value of `map` under `key`, or nullptr. `map` must be of Kind::map; numbers of different kinds are
/// the same key when they are equal. Adds the cost of the search to `spent`.
const Value* find_value(const Value& map, const Value& key, cost::Units& spent);

/// The result of one of the six comparison instructions, Op::equal to Op::greater_equal: a bool, an operand
/// that is an error, or the error of operands that have no order. Adds the cost to `spent`.
Value compare(Op op, const Value& left, const Value& right, cost::Units& spent);

}   // namespace slatejunction::expr
