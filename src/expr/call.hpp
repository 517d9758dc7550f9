// Calls of the language's functions.
#pragma once

#include "expr/arguments.hpp"
#include "expr/context.hpp"
#include "expr/program.hpp"

namespace slatejunction::expr {

/// The result of an instruction Op::call; `arguments` must have at least one, and no error. Their kinds are
/// checked here, as those of dyn are not known before.
Value call_function(const Program& program, const Instruction& call, Arguments arguments, Context& context);

}   // namespace slatejunction::expr
