// The conversions int(), uint(), double(), string(), bytes(), bool(), timestamp(), duration() and ip().
#pragma once

#include "expr/context.hpp"
#include "expr/functions.hpp"
#include "expr/value.hpp"

namespace slatejunction::expr {

/// The result of a conversion, Fn::to_ip to Fn::to_duration; an error for a value that is out of the range
/// of the result, a text that can not be read and a kind that can not be converted.
Value convert(Fn conversion, const Value& value, Context& context);

}   // namespace slatejunction::expr
