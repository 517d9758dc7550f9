#include "rules/matcher.hpp"

#include <algorithm>

namespace slatejunction::rules {
namespace {

using expr::Node;
using expr::NodeId;
using expr::Tree;

// "class" of request.class; empty for anything else.
std::string field_of(const Tree& tree, NodeId id) {
    const Node& node = tree[id];
    if (node.kind != Node::Kind::select) return "";
    const Node& of = tree[node.kids[0]];
    return of.kind == Node::Kind::name && of.name == "request" ? node.name : "";
}

}   // namespace

Matcher::Demand Matcher::demand_of(const expr::Program& program) {
    const Tree& tree = program.tree;
    std::vector<NodeId> parts{tree.root};
    const Node& root = tree[tree.root];
    if (root.kind == Node::Kind::call && !root.member && root.name == "_&&_") parts = root.kids;
    Demand demand;
    std::size_t read = 0;   // parts that are wholly in the demand
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
            if (words && same && words->empty()) *words = {literal.name}, ++read;
            const bool begins = part.member && part.name == "startsWith";
            if (field == "path" && (same || begins) && literal.name.size() > demand.path.size())
                demand.path = literal.name;
        } else if (literal.kind == Node::Kind::list && part.name == "@in" && words && words->empty()) {
            std::vector<std::string> all;
            for (const NodeId item : literal.kids)
                if (tree[item].kind == Node::Kind::text) all.push_back(tree[item].name);
            if (all.size() != literal.kids.size() || all.empty()) continue;
            *words = std::move(all);
            ++read;
        }
    }
    demand.whole = read == parts.size();
    return demand;
}

Matcher::Matcher(const std::vector<const expr::Program*>& conditions) {
    for (const expr::Program* one : conditions) demands_.push_back(one ? demand_of(*one) : Demand());
}

Matcher::Group Matcher::group_of(std::string_view service_class, std::string_view plan) const {
    Group group;
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
    return group;
}

const std::vector<std::uint32_t>& Matcher::candidates(std::size_t pair, std::string_view service_class,
                                                      std::string_view plan, std::string_view path) {
    if (pair >= groups_.size()) groups_.resize(pair + 1);
    if (!groups_[pair]) groups_[pair] = std::make_unique<Group>(group_of(service_class, plan));
    const Group& group = *groups_[pair];
    if (group.lengths.empty()) return group.any;
    found_ = group.any;
    for (const std::size_t length : group.lengths) {
        if (length > path.size()) break;
        const auto some = group.paths.find(path.substr(0, length));
        if (some == group.paths.end()) continue;
        const auto middle = static_cast<std::ptrdiff_t>(found_.size());
        found_.insert(found_.end(), some->second.begin(), some->second.end());
        std::inplace_merge(found_.begin(), found_.begin() + middle, found_.end());
    }
    return found_;
}

}   // namespace slatejunction::rules
