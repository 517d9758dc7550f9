// What all operations of one evaluation share: the memory for their results and the cost they may still
// spend.
#pragma once

#include <string_view>

#include "expr/cost.hpp"
#include "expr/value.hpp"

namespace slatejunction::expr {

/// The error of an evaluation that spent more than its program's bound.
inline constexpr std::string_view kOverBound = "the evaluation passed its bound";

/// The state that an operation may change. An operation spends what it costs before it does any work that
/// grows with the size of its operands.
struct Context {
    Arena& arena;            ///< holds the bytes and items of new values until the evaluator's reset()
    cost::Units bound = 0;   ///< the most that the evaluation may spend
    cost::Units spent = 0;   ///< what it has spent so far; stays at cost::kMost instead of overflowing

    /// Adds `units` to what is spent. False when the bound is passed, which a sound compiler makes
    /// impossible; the caller then returns over_bound().
    bool spend(cost::Units units) {
        spent = cost::plus(spent, units);
        return spent <= bound;
    }
};

/// The value of an operation whose spend() was refused.
inline Value over_bound() { return Value::error(kOverBound); }

}   // namespace slatejunction::expr
