#include "rules/condition_index.hpp"

#include <algorithm>

namespace slatejunction::rules {
namespace {

using expr::Node;
using expr::NodeId;
using expr::Tree;

constexpr std::size_t kFewPaths = 4;   // beginnings of paths, that are tried one by one

// "class" of request.class; empty for anything else.
std::string field_of(const Tree& tree, NodeId id) {
    const Node& node = tree[id];
    if (node.kind != Node::Kind::select) return "";
    const Node& of = tree[node.kids[0]];
    return of.kind == Node::Kind::name && of.name == "request" ? node.name : "";
}

}   // namespace

ConditionIndex::Demand ConditionIndex::demand_of(const expr::Program& program) {
    const Tree& tree = program.tree;
    std::vector<NodeId> parts{tree.root};
    const Node& root = tree[tree.root];
    if (root.kind == Node::Kind::call && !root.member && root.name == "_&&_") parts = root.kids;
    Demand demand;
    for (const NodeId id : parts) {
        const Node& part = tree[id];
        if (part.kind != Node::Kind::call || part.kids.size() != 2) continue;
        std::string field = field_of(tree, part.kids[0]);
        NodeId other = part.kids[1];
        if (field.empty() && part.name == "_==_")
            field = field_of(tree, part.kids[1]), other = part.kids[0];
        const Node& literal = tree[other];
        std::vector<std::string>* words = field == "class"  ? &demand.classes
                                          : field == "plan" ? &demand.plans
                                                            : nullptr;
        if (literal.kind == Node::Kind::text) {
            const bool same = part.name == "_==_" && !part.member;
            if (words && same && words->empty()) *words = {literal.name}, demand.known.push_back(id);
            const bool begins = part.member && part.name == "startsWith";
            if (field == "path" && (same || begins) && literal.name.size() > demand.path.size())
                demand.path = literal.name;
        } else if (literal.kind == Node::Kind::list && part.name == "@in" && words && words->empty()) {
            std::vector<std::string> all;
            for (const NodeId item : literal.kids)
                if (tree[item].kind == Node::Kind::text) all.push_back(tree[item].name);
            if (all.size() != literal.kids.size() || all.empty()) continue;
            *words = std::move(all);
            demand.known.push_back(id);
        }
    }
    return demand;
}

ConditionIndex::ConditionIndex(const std::vector<const expr::Program*>& conditions) {
    for (const expr::Program* one : conditions) demands_.push_back(one ? demand_of(*one) : Demand());
}

void ConditionIndex::fill(Group& group, std::string_view service_class, std::string_view plan) const {
    const auto has = [](const std::vector<std::string>& words, std::string_view word) {
        return words.empty() || std::find(words.begin(), words.end(), word) != words.end();
    };
    for (std::size_t i = 0; i < demands_.size(); ++i) {
        const Demand& demand = demands_[i];
        if (!has(demand.classes, service_class) || !has(demand.plans, plan)) continue;
        const auto number = static_cast<std::uint32_t>(i);
        if (demand.path.empty()) {
            group.any.push_back(number);
        } else {
            group.paths[demand.path].push_back(number);
            group.lengths.push_back(demand.path.size());
        }
    }
    std::sort(group.lengths.begin(), group.lengths.end());
    group.lengths.erase(std::unique(group.lengths.begin(), group.lengths.end()), group.lengths.end());
    if (group.paths.size() > kFewPaths) return;
    for (const auto& [path, numbers] : group.paths) group.few.emplace_back(path, &numbers);
}

const std::vector<std::uint32_t>& ConditionIndex::by_path(std::size_t pair, std::string_view service_class,
                                                          std::string_view plan, std::string_view path) {
    if (pair >= groups_.size()) groups_.resize(pair + 1);
    if (!groups_[pair]) {
        groups_[pair] = std::make_unique<Group>();
        fill(*groups_[pair], service_class, plan);
    }
    const Group& group = *groups_[pair];
    const std::vector<std::uint32_t>* found = &group.any;
    const auto add = [&](const std::vector<std::uint32_t>& some) {
        if (found != &found_) found_ = group.any;
        found = &found_;
        const auto middle = static_cast<std::ptrdiff_t>(found_.size());
        found_.insert(found_.end(), some.begin(), some.end());
        std::inplace_merge(found_.begin(), found_.begin() + middle, found_.end());
    };
    if (!group.few.empty()) {
        for (const auto& [beginning, numbers] : group.few)
            if (path.starts_with(beginning)) add(*numbers);
        return *found;
    }
    for (const std::size_t length : group.lengths) {
        if (length > path.size()) break;
        if (const auto some = group.paths.find(path.substr(0, length)); some != group.paths.end())
            add(some->second);
    }
    return *found;
}

}   // namespace slatejunction::rules
