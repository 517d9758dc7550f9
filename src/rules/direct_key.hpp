// Keys of limits and values of tags that need no evaluator: a text variable of the request,
// request.headers["x"], request.customer, request.deadline_ms, or a list of them. The bytes are those that
// the evaluator's value would have (key_bytes.hpp). Built once when rules are loaded; owned by Rules.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "expr/program.hpp"
#include "rules/request_view.hpp"

namespace slatejunction::rules {

/// A key or value of that form; false for any other.
class DirectKey {
  public:
    DirectKey() = default;
    DirectKey(const expr::Program& program, RequestView& view);
    explicit operator bool() const { return !parts_.empty(); }
    /// Number of variables that are read: its cost in units.
    std::size_t parts() const { return parts_.size(); }
    /// Appends the key's bytes to `key`. False: the evaluator has to decide, and what was appended is void.
    bool append_to(RequestView& view, std::string& key) const;
    /// The value where it is a single text. A null pointer: the evaluator has to decide.
    std::string_view text(RequestView& view) const;

  private:
    struct Part {
        bool is_text = false;
        bool is_header = false;
        VariableId variable = VariableId::request_method;
        std::uint32_t header = 0;   // of RequestView
    };
    static bool parse_part(const expr::Tree& tree, expr::NodeId id, RequestView& view, Part& part);
    static std::string_view text(const Part& part, RequestView& view);

    std::vector<Part> parts_;
    bool is_list_ = false;
};

}   // namespace slatejunction::rules
