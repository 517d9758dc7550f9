#include "rules/expression_forms.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace slatejunction::rules {
namespace {

using expr::Node;
using expr::NodeId;
using expr::Tree;

constexpr std::array<std::pair<std::string_view, VariableId>, 11> kRequestFields{{
    {"method", VariableId::request_method},
    {"path", VariableId::request_path},
    {"query", VariableId::request_query},
    {"headers", VariableId::request_headers},
    {"class", VariableId::request_class},
    {"plan", VariableId::request_plan},
    {"customer", VariableId::request_customer},
    {"units", VariableId::request_units},
    {"deadline_ms", VariableId::request_deadline_ms},
    {"retry", VariableId::request_retry},
    {"id", VariableId::request_id},
}};

}   // namespace

std::optional<VariableId> field_of(const Tree& tree, NodeId id) {
    const Node& node = tree[id];
    if (node.kind != Node::Kind::select) return {};
    const Node& object = tree[node.kids[0]];
    if (object.kind != Node::Kind::name || object.name != "request") return {};
    for (const auto& [name, field] : kRequestFields)
        if (name == node.name) return field;
    return {};
}

bool is_lower(std::string_view name) {
    return std::none_of(name.begin(), name.end(), [](char c) { return c >= 'A' && c <= 'Z'; }) &&
           expr::ascii(name);
}

bool is_call(const Node& node, std::string_view name, std::size_t arguments) {
    return node.kind == Node::Kind::call && !node.member && node.name == name &&
           node.kids.size() == arguments;
}

std::optional<std::string_view> header_of(const Tree& tree, NodeId id) {
    const Node& node = tree[id];
    if (!is_call(node, "_[_]", 2) || field_of(tree, node.kids[0]) != VariableId::request_headers) return {};
    const Node& key = tree[node.kids[1]];
    if (key.kind != Node::Kind::text || !is_lower(key.name)) return {};
    return key.name;
}

}   // namespace slatejunction::rules
