// The facts of a request, as conditions and keys that need no evaluator read them.
//
// - Inputs: RequestFacts (variables.hpp), which must outlive their use.
// - Output: the request's texts, integers and headers. The headers that rules name are found in one
//   pass over the header fields, when the first of them is read.
//
// Owned by Rules, which calls begin() for each request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "rules/variables.hpp"

namespace slatejunction::rules {

/// Returns whether the variable is a text of the request.
inline bool is_text(VariableId name) {
    switch (name) {
        case VariableId::request_method:
        case VariableId::request_path:
        case VariableId::request_query:
        case VariableId::request_class:
        case VariableId::request_plan:
        case VariableId::request_id:
            return true;
        default:
            return false;
    }
}

/// Returns the request's text; is_text(text) must hold.
inline std::string_view text_of(const RequestFacts& facts, VariableId text) {
    switch (text) {
        case VariableId::request_method:
            return facts.method;
        case VariableId::request_path:
            return facts.path;
        case VariableId::request_query:
            return facts.query;
        case VariableId::request_class:
            return facts.service_class;
        case VariableId::request_plan:
            return facts.plan;
        default:
            return facts.id;
    }
}

/// Returns the request's integer; `name` must be request_customer or request_deadline_ms.
inline std::int64_t integer_of(const RequestFacts& facts, VariableId name) {
    return name == VariableId::request_customer ? facts.customer : facts.deadline_ms;
}

/// A view of one request at a time.
class RequestView {
  public:
    struct Header {
        enum class Occurrence : std::uint8_t { absent, once, repeated } occurrence = Occurrence::absent;
        std::string_view value;
    };
    /// Registers the name of a header, in lower case, when rules are loaded. Returns its number; the same
    /// name always has the same number.
    std::uint32_t register_header(std::string_view lower_case_name);
    /// Starts the next request.
    void begin(const RequestFacts& facts);
    const RequestFacts& facts() const { return *facts_; }
    /// Returns the header with a number of register_header().
    const Header& header(std::uint32_t number) {
        if (!headers_scanned_) scan_headers();
        return headers_[number];
    }
    /// Returns whether the head exceeds the bounds for expressions (HeadBounds).
    bool over_bound() {
        if (!headers_scanned_) scan_headers();
        return over_bound_;
    }
    /// Returns whether the text is ASCII and within its bound. The result is cached for each request.
    bool is_bounded_ascii(VariableId text);

  private:
    void scan_headers();

    const RequestFacts* facts_ = nullptr;
    HeadBounds bounds_;
    std::vector<std::string> registered_names_;
    std::vector<Header> headers_;          // in the order of registered_names_
    std::uint64_t registered_sizes_ = 0;   // bit n: some registered name has n bytes; bit 63: 63 or more
    bool headers_scanned_ = false;
    bool over_bound_ = false;
    std::uint32_t checked_texts_ = 0;         // by VariableId as bit: is_bounded_ascii() is cached
    std::uint32_t bounded_ascii_texts_ = 0;   // of these, the texts for which it is true
};

}   // namespace slatejunction::rules
