// The functions join, split and replace, which take texts apart and put them together.
#pragma once

#include "expr/arguments.hpp"
#include "expr/context.hpp"

namespace slatejunction::expr {

/// join(list of texts[, separator]): the texts one after another, the separator between them.
Value join(Arguments arguments, Context& context);

/// split(text, separator[, most]): a list of the parts between the separators, at most `most` of them when
/// that is not negative. An empty separator stands between all code points. The first argument must be a
/// text.
Value split(Arguments arguments, Context& context);

/// replace(text, old, fresh[, most]): `fresh` in the place of each `old`, of the first `most` when that is
/// not negative. An empty `old` stands before and behind each code point. The first argument must be a
/// text.
Value replace(Arguments arguments, Context& context);

}   // namespace slatejunction::expr
