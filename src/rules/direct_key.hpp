// Keys of limits and values of tags that are read from the request's facts without the evaluator. These
// are a text variable of the request, request.headers["x"], request.customer and request.deadline_ms,
// and lists of them. The bytes are the same as those of the value that the evaluator returns
// (key_bytes.hpp). Built once when rules are loaded; owned by Rules.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "expr/program.hpp"
#include "rules/request_view.hpp"

namespace slatejunction::rules {

/// One key or value; false as a bool if the expression has another form.
class DirectKey {
  public:
    DirectKey() = default;
    DirectKey(const expr::Program& program, RequestView& view);
    explicit operator bool() const { return !parts_.empty(); }
    /// The number of variables that are read, which is the cost in units.
    std::size_t part_count() const { return parts_.size(); }
    /// Appends the key's bytes to `key`. Returns false if the evaluator is needed; `key` then holds an
    /// incomplete key that the caller discards.
    bool append_to(RequestView& view, std::string& key) const;
    /// Returns the value if it is a single text, else a view whose data() is null: the evaluator is needed.
    std::string_view text(RequestView& view) const;

  private:
    struct Part {
        bool is_text = false;
        bool is_header = false;
        VariableId variable = VariableId::request_method;
        std::uint32_t header = 0;   // its number in RequestView
    };
    static bool parse_part(const expr::Tree& tree, expr::NodeId id, RequestView& view, Part& part);
    static std::string_view text(const Part& part, RequestView& view);

    std::vector<Part> parts_;
    bool is_list_ = false;
};

}   // namespace slatejunction::rules
