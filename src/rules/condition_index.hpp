// Which of many conditions can hold for a request, without running them all.
// What a condition demands of the class, the plan and the path is read from its
// tree: the parts that && joins at its top, of the forms
//   request.class == "x"    request.plan == "x"    request.class in ["x", "y"]
//   request.path == "/x" request.path.startsWith("/x")
// A condition left out by one of these would have been false: && is false when
// one part is.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "expr/program.hpp"

namespace slatejunction::rules {

class ConditionIndex {
  public:
    // `conditions` in the order in which they are to be tried; null: always
    // holds. Only read here.
    explicit ConditionIndex(const std::vector<const expr::Program*>& conditions);

    // Numbers of the conditions that can hold, in their order. Valid until the
    // next call. `pair` stands for the class and plan, the same in each call
    // until forget().
    const std::vector<std::uint32_t>& candidates(std::size_t pair, std::string_view service_class,
                                                 std::string_view plan, std::string_view path) {
        if (pair < groups_.size() && groups_[pair] && groups_[pair]->lengths.empty())
            return groups_[pair]->any;
        return by_path(pair, service_class, plan, path);
    }
    void forget() { groups_.clear(); }
    // The parts of that condition that hold for each request that it is a candidate for.
    const std::vector<expr::NodeId>& known(std::uint32_t number) const { return demands_[number].known; }

  private:
    struct Demand {
        std::vector<std::string> classes, plans;   // one of these; empty: any
        std::string path;                          // begins with; empty: any
        std::vector<expr::NodeId> known;           // parts of which the classes and plans are all
    };
    struct TextHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
    };
    // Those left for one class and plan.
    struct Group {
        std::vector<std::uint32_t> any;     // of any path
        std::vector<std::size_t> lengths;   // of the paths' beginnings, rising
        std::vector<std::pair<std::string_view, const std::vector<std::uint32_t>*>> few;   // all of `paths`
        std::unordered_map<std::string, std::vector<std::uint32_t>, TextHash, std::equal_to<>> paths;
    };
    const std::vector<std::uint32_t>& by_path(std::size_t pair, std::string_view service_class,
                                              std::string_view plan, std::string_view path);
    static Demand demand_of(const expr::Program& program);
    void fill(Group& group, std::string_view service_class, std::string_view plan) const;

    std::vector<Demand> demands_;
    std::vector<std::unique_ptr<Group>> groups_;   // by pair
    std::vector<std::uint32_t> found_;
};

}   // namespace slatejunction::rules
