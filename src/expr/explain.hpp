// Shows a compiled expression to its author: parts with their cost bounds, and instructions. explain()
// itself is declared in program.hpp.
#pragma once

#include <string>

#include "expr/cost.hpp"
#include "expr/syntax.hpp"

namespace slatejunction::expr {

/// The source of a part of an expression, shortened to 48 bytes.
std::string short_text(const Tree& tree, NodeId id);

/// A cost, or "without end" where it has no bound.
std::string format_units(cost::Units units);

}   // namespace slatejunction::expr
