// The functions on one text that give a bool, a number or another text.
#pragma once

#include "expr/arguments.hpp"
#include "expr/context.hpp"
#include "expr/program.hpp"

namespace slatejunction::expr {

/// The result of contains, startsWith, endsWith, matches, glob, charAt, substring, indexOf, lastIndexOf,
/// lowerAscii, upperAscii or trim. The first argument must be a text; the others are checked. Places are
/// counted in code points from 0; one outside of the text is an error.
Value call_text_function(const Program& program, const Instruction& call, Arguments arguments,
                         Context& context);

}   // namespace slatejunction::expr
