// Prepares the literals of functions when an expression is compiled: patterns and networks. Throws
// LoadError at the literal where it cannot be used.
#pragma once

#include <re2/re2.h>

#include <memory>

#include "expr/program.hpp"

namespace slatejunction::expr {

/// The pattern of matches() (RE2's syntax) or glob() (shell patterns), within the bounds on its size.
std::unique_ptr<RE2> compile_pattern(Fn function, const Node& literal);

/// The network ADDRESS/BITS of in_cidr(); IPv4 as IPv4-mapped IPv6.
Network parse_network(const Node& literal);

}   // namespace slatejunction::expr
