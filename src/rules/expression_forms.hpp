// Recognizes the forms of an expression's tree that rules evaluate without the evaluator. Pure functions of
// the tree.
#pragma once

#include <optional>
#include <string_view>

#include "expr/program.hpp"
#include "rules/variables.hpp"

namespace slatejunction::rules {

/// The variable if the node is request.NAME, else nothing.
std::optional<VariableId> field_of(const expr::Tree& tree, expr::NodeId id);

/// The header's name if the node is request.headers["name"] with the name in lower case, else nothing.
std::optional<std::string_view> header_of(const expr::Tree& tree, expr::NodeId id);

/// Whether the name is ASCII without upper-case letters.
bool is_lower(std::string_view name);

/// Whether the node is a call of that function, not as a member, with that many arguments.
bool is_call(const expr::Node& node, std::string_view name, std::size_t arguments);

}   // namespace slatejunction::rules
