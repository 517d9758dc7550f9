// Recognizes the forms of expression trees that rules evaluate without the evaluator. Pure functions of
// the tree.
#pragma once

#include <optional>
#include <string_view>

#include "expr/program.hpp"
#include "rules/variables.hpp"

namespace slatejunction::rules {

/// Returns the variable if the node is request.NAME, else nothing.
std::optional<VariableId> field_of(const expr::Tree& tree, expr::NodeId id);

/// Returns the header's name if the node is request.headers["name"] with the name in lower case, else
/// nothing.
std::optional<std::string_view> header_of(const expr::Tree& tree, expr::NodeId id);

/// Returns whether the name is ASCII without upper-case letters.
bool is_lower(std::string_view name);

/// Returns whether the node is a call of the function `name`, not as a member function, with that many
/// arguments.
bool is_call(const expr::Node& node, std::string_view name, std::size_t arguments);

}   // namespace slatejunction::rules
