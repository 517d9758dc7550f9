#include "rules/condition_index.hpp"

#include <algorithm>

namespace slatejunction::rules {
namespace {

using expr::Node;
using expr::NodeId;
using expr::Tree;

// Up to this many path prefixes are compared one by one; more are looked up in the hash map by length.
constexpr std::size_t kMaxLinearPrefixes = 4;

// Returns NAME if the node is request.NAME, such as "class" for request.class, else an empty string.
std::string field_of(const Tree& tree, NodeId id) {
    const Node& node = tree[id];
    if (node.kind != Node::Kind::select) return "";
    const Node& object = tree[node.kids[0]];
    return object.kind == Node::Kind::name && object.name == "request" ? node.name : "";
}

// Returns the literal texts of `field == "x"` or `field in ["x", "y"]`; none for any other operand.
std::vector<std::string> literal_texts(const Tree& tree, const Node& part, const Node& literal) {
    if (literal.kind == Node::Kind::text && part.name == "_==_" && !part.member) return {literal.name};
    if (literal.kind != Node::Kind::list || part.name != "@in") return {};
    std::vector<std::string> texts;
    for (const NodeId item : literal.kids) {
        if (tree[item].kind != Node::Kind::text) return {};
        texts.push_back(tree[item].name);
    }
    return texts;
}

}   // namespace

ConditionIndex::Requirement ConditionIndex::requirement_of(const expr::Program& program) {
    const Tree& tree = program.tree;
    std::vector<NodeId> parts{tree.root};
    const Node& root = tree[tree.root];
    if (root.kind == Node::Kind::call && !root.member && root.name == "_&&_") parts = root.kids;
    Requirement requirement;
    for (const NodeId id : parts) add_requirement(tree, id, requirement);
    return requirement;
}

// Adds what one operand requires of the class, the plan or the path, if it compares one of them with
// literals.
void ConditionIndex::add_requirement(const Tree& tree, NodeId id, Requirement& requirement) {
    const Node& part = tree[id];
    if (part.kind != Node::Kind::call || part.kids.size() != 2) return;
    std::string field = field_of(tree, part.kids[0]);
    NodeId literal_id = part.kids[1];
    if (field.empty() && part.name == "_==_") {
        field = field_of(tree, part.kids[1]);
        literal_id = part.kids[0];
    }
    const Node& literal = tree[literal_id];
    if (field == "path") return add_path_requirement(part, literal, requirement);
    if (field != "class" && field != "plan") return;
    std::vector<std::string>& allowed = field == "class" ? requirement.classes : requirement.plans;
    if (!allowed.empty()) return;
    allowed = literal_texts(tree, part, literal);
    if (!allowed.empty()) requirement.implied_parts.push_back(id);
}

void ConditionIndex::add_path_requirement(const Node& part, const Node& literal, Requirement& requirement) {
    const bool equals = part.name == "_==_" && !part.member;
    const bool starts_with = part.name == "startsWith" && part.member;
    if (literal.kind == Node::Kind::text && (equals || starts_with) &&
        literal.name.size() > requirement.path_prefix.size())
        requirement.path_prefix = literal.name;
}

ConditionIndex::ConditionIndex(const std::vector<const expr::Program*>& conditions) {
    for (const expr::Program* condition : conditions)
        requirements_.push_back(condition ? requirement_of(*condition) : Requirement());
}

void ConditionIndex::build_group(Group& group, std::string_view service_class,
                                 std::string_view plan) const {
    const auto allows = [](const std::vector<std::string>& allowed, std::string_view name) {
        return allowed.empty() || std::find(allowed.begin(), allowed.end(), name) != allowed.end();
    };
    for (std::size_t i = 0; i < requirements_.size(); ++i) {
        const Requirement& requirement = requirements_[i];
        if (!allows(requirement.classes, service_class) || !allows(requirement.plans, plan)) continue;
        const auto index = static_cast<std::uint32_t>(i);
        if (requirement.path_prefix.empty()) {
            group.any_path.push_back(index);
        } else {
            group.by_prefix[requirement.path_prefix].push_back(index);
            group.prefix_lengths.push_back(requirement.path_prefix.size());
        }
    }
    std::sort(group.prefix_lengths.begin(), group.prefix_lengths.end());
    group.prefix_lengths.erase(std::unique(group.prefix_lengths.begin(), group.prefix_lengths.end()),
                               group.prefix_lengths.end());
    if (group.by_prefix.size() > kMaxLinearPrefixes) return;
    for (const auto& [prefix, indices] : group.by_prefix) group.prefixes.emplace_back(prefix, &indices);
}

const std::vector<std::uint32_t>& ConditionIndex::candidates_by_path(std::size_t class_plan,
                                                                     std::string_view service_class,
                                                                     std::string_view plan,
                                                                     std::string_view path) {
    if (class_plan >= groups_.size()) groups_.resize(class_plan + 1);
    if (!groups_[class_plan]) {
        groups_[class_plan] = std::make_unique<Group>();
        build_group(*groups_[class_plan], service_class, plan);
    }
    const Group& group = *groups_[class_plan];
    const std::vector<std::uint32_t>* result = &group.any_path;
    const auto merge = [&](const std::vector<std::uint32_t>& indices) {
        if (result != &candidates_) candidates_ = group.any_path;
        result = &candidates_;
        const auto middle = static_cast<std::ptrdiff_t>(candidates_.size());
        candidates_.insert(candidates_.end(), indices.begin(), indices.end());
        std::inplace_merge(candidates_.begin(), candidates_.begin() + middle, candidates_.end());
    };
    if (!group.prefixes.empty()) {
        for (const auto& [prefix, indices] : group.prefixes)
            if (path.starts_with(prefix)) merge(*indices);
        return *result;
    }
    for (const std::size_t length : group.prefix_lengths) {
        if (length > path.size()) break;
        if (const auto entry = group.by_prefix.find(path.substr(0, length)); entry != group.by_prefix.end())
            merge(entry->second);
    }
    return *result;
}

}   // namespace slatejunction::rules
