// Gives every part of a tree its type, and every name and call its meaning. What does not fit is a load
// error.
#pragma once

#include <vector>

#include "expr/functions.hpp"
#include "expr/syntax.hpp"
#include "expr/types.hpp"

namespace slatejunction::expr {

struct Meaning {
    enum class Kind { value, variable, local, type_name };
    Type type;
    Kind kind = Kind::value;
    std::size_t number =
        0;   // of the variable; of the local: how many macros lie round it; a Kind of value
    Fn fn = Fn::none;
    bool ready = false;      // see Overload
    bool constant = false;   // no variable and no local below it
};

// By node; nodes that are of no use (below has()) and names inside qualified ones mean nothing.
// Throws LoadError.
std::vector<Meaning> check(const Tree& tree, const Environment& environment);

}   // namespace slatejunction::expr
