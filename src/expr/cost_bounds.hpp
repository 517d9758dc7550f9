// How large a value can be and what an operation on it can cost at most. The formulas are those that the
// evaluator charges by (cost.hpp). Pure.
#pragma once

#include <vector>

#include "expr/cost.hpp"
#include "expr/functions.hpp"
#include "expr/program.hpp"

namespace slatejunction::expr {

/// The bound of a part's value, and of the cost of evaluating it (units).
struct Estimate {
    Bound bound;
    cost::Units cost = 0;
};

/// The bound of a value that is known.
Bound bound_of(const Value& value);

/// The bound of an element, key or value of a container; an empty one where it has none.
const Bound& part(const Bound& bound, std::size_t number);

/// What == of two values within these bounds may cost at most.
cost::Units equality_cost(const Bound& a, const Bound& b);

/// A call of a function, beside `cost` units of its arguments. `pattern_size`: instructions of its compiled
/// pattern; 0 where it has none.
Estimate function_estimate(Fn fn, cost::Units pattern_size, const std::vector<Bound>& arguments,
                           cost::Units cost);

}   // namespace slatejunction::expr
