// Literal patterns and networks of an expression, made ready at load. Pure.
#pragma once

#include <memory>

#include "expr/functions.hpp"
#include "expr/program.hpp"

namespace slatejunction::expr {

/// A regular expression (Fn::matches) or a shell pattern (Fn::glob: * within a part of a path, ** over
/// parts, ? one character) as RE2's program. Throws LoadError for one that RE2 refuses or that takes too
/// many instructions.
std::unique_ptr<RE2> compile_pattern(Fn fn, const Node& literal);

/// ADDRESS/BITS or ADDRESS, IPv4 or IPv6. Throws LoadError for any other text and for bits set behind the
/// prefix.
Network parse_network(const Node& literal);

}   // namespace slatejunction::expr
