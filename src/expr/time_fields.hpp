// The fields of timestamps and durations: getFullYear() to getMilliseconds().
#pragma once

#include "expr/arguments.hpp"
#include "expr/context.hpp"
#include "expr/functions.hpp"

namespace slatejunction::expr {

/// The result of Fn::full_year to Fn::milliseconds. A timestamp's field is that of UTC, or of the time zone
/// that the second argument names ("UTC" or "+01:00"). A duration has hours, minutes and seconds, each the
/// whole of it, and the milliseconds of its last second.
Value time_field(Fn field, Arguments arguments, Context& context);

}   // namespace slatejunction::expr
