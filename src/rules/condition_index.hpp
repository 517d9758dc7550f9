// Finds the conditions that can hold for a request, without evaluating all of them.
//
// - Rule: a condition is a candidate if the request meets its requirements on the service class, the
//   plan and the path. The requirements are read from the operands of the && at the root of the
//   condition's tree (or from the whole condition if there is none), of these forms:
//     request.class == "x"    request.plan == "x"    request.class in ["x", "y"]
//     request.path == "/x"    request.path.startsWith("/x")
// - Inputs: the compiled conditions, at construction; the class, plan and path of each request.
// - Output: the indices of the candidates, ascending.
//
// A condition that is not a candidate would not have held: it is false, because && is false if any
// operand is, or an error, if the class, the plan or the path is not UTF-8 or over its bound. Such an
// error is not counted. Owned by Rules.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "expr/program.hpp"

namespace slatejunction::rules {

/// The index of one list of conditions.
class ConditionIndex {
  public:
    /// `conditions`: in the order in which they are tried; null: a condition that always holds. The
    /// pointers are not kept.
    explicit ConditionIndex(const std::vector<const expr::Program*>& conditions);

    /// Returns the indices of the conditions that can hold, ascending; valid until the next call or
    /// clear_groups(). `class_plan` is the caller's number for this pair of service class and plan; it may
    /// stand for another pair only after clear_groups().
    const std::vector<std::uint32_t>& candidates(std::size_t class_plan, std::string_view service_class,
                                                 std::string_view plan, std::string_view path) {
        if (class_plan < groups_.size() && groups_[class_plan] &&
            groups_[class_plan]->prefix_lengths.empty())
            return groups_[class_plan]->any_path;
        return candidates_by_path(class_plan, service_class, plan, path);
    }
    void clear_groups() { groups_.clear(); }
    /// The operands of that condition that hold for every request that it is a candidate for.
    const std::vector<expr::NodeId>& implied_parts(std::uint32_t index) const {
        return requirements_[index].implied_parts;
    }

  private:
    struct Requirement {
        std::vector<std::string> classes;          // the class is one of these; empty: any class
        std::vector<std::string> plans;            // the plan is one of these; empty: any plan
        std::string path_prefix;                   // empty: any path
        std::vector<expr::NodeId> implied_parts;   // operands that `classes` and `plans` cover in full
    };
    struct TextHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
    };
    // The conditions whose requirements one service class and plan meet, by required path prefix.
    struct Group {
        std::vector<std::uint32_t> any_path;       // conditions without a required path
        std::vector<std::size_t> prefix_lengths;   // of all prefixes, ascending
        // The entries of by_prefix if there are at most kMaxLinearPrefixes of them, else empty.
        std::vector<std::pair<std::string_view, const std::vector<std::uint32_t>*>> prefixes;
        std::unordered_map<std::string, std::vector<std::uint32_t>, TextHash, std::equal_to<>> by_prefix;
    };
    const std::vector<std::uint32_t>& candidates_by_path(std::size_t class_plan,
                                                         std::string_view service_class,
                                                         std::string_view plan, std::string_view path);
    static Requirement requirement_of(const expr::Program& program);
    static void add_requirement(const expr::Tree& tree, expr::NodeId id, Requirement& requirement);
    static void add_path_requirement(const expr::Node& part, const expr::Node& literal,
                                     Requirement& requirement);
    void build_group(Group& group, std::string_view service_class, std::string_view plan) const;

    std::vector<Requirement> requirements_;
    std::vector<std::unique_ptr<Group>> groups_;   // by class_plan
    std::vector<std::uint32_t> candidates_;
};

}   // namespace slatejunction::rules
