// The operators + - * / % and the two of one operand, - and !.
#pragma once

#include "expr/context.hpp"
#include "expr/program.hpp"
#include "expr/value.hpp"

namespace slatejunction::expr {

/// The result of one of the instructions Op::add to Op::modulo. Numbers need operands of the same kind; +
/// also joins texts, bytes and lists, + and - also take times. An operand that is an error is the result;
/// other errors are an overflow, a division by zero, a time beyond the years 1 to 9999 and operands that do
/// not fit.
Value arithmetic(Op op, const Value& left, const Value& right, Context& context);

/// -value of an int or a double; the error of an int that has no opposite, or `value` when it is an error.
Value negate(const Value& value);

/// !value of a bool, or `value` when it is an error.
Value invert(const Value& value);

}   // namespace slatejunction::expr
