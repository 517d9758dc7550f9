// Bounds of values, and the cost bounds of comparing them, by the formulas of cost.hpp. Pure functions,
// used when an expression is compiled.
#pragma once

#include <cstddef>

#include "expr/cost.hpp"
#include "expr/types.hpp"
#include "expr/value.hpp"

namespace slatejunction::expr {

/// The tightest bound of a known value.
Bound bound_of(const Value& value);

/// The bound of the items (0) or of the keys (0) and values (1); an empty bound where there are none.
const Bound& part(const Bound& bound, std::size_t number);

/// Cost bound of == with a value of that bound on its left.
cost::Units traversal_cost(const Bound& bound);

/// Cost bound of == between two values.
cost::Units equality_cost(const Bound& left, const Bound& right);

}   // namespace slatejunction::expr
