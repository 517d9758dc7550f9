// Texts about a compiled program, for operators. Pure.
#pragma once

#include <string>

#include "expr/program.hpp"

namespace slatejunction::expr {

/// The source of one part, cut to 48 bytes.
std::string short_text(const Tree& tree, NodeId id);

/// A count of units; "without end" for one beyond all bounds.
std::string units_text(cost::Units count);

}   // namespace slatejunction::expr
