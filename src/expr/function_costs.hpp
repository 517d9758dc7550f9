// Bounds of the value and of the cost of a call of each function, by the formulas that the evaluator
// charges by (cost.hpp). Pure functions, used when an expression is compiled.
#pragma once

#include <vector>

#include "expr/cost.hpp"
#include "expr/functions.hpp"
#include "expr/types.hpp"

namespace slatejunction::expr {

/// What a part of an expression may be and cost at most.
struct Estimate {
    Bound bound;
    cost::Units cost = 0;
};

/// `pattern_size`: instructions of the pattern of matches() and glob(); `arguments`: at least one; `cost`:
/// of evaluating the arguments and of the call itself.
Estimate estimate_function(Fn function, cost::Units pattern_size, const std::vector<Bound>& arguments,
                           cost::Units cost);

}   // namespace slatejunction::expr
