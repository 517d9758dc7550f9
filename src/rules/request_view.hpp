// The facts of a request as conditions and keys that need no evaluator see them.
// Input: RequestFacts (variables.hpp), which outlive their use. Headers that some rule names are found in
// one pass over the fields, when the first is asked for. Owned by Rules; begun anew for each request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "rules/variables.hpp"

namespace slatejunction::rules {

/// Whether the variable is a text of the request.
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

/// The request's text; `text` is one that is_text().
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

/// The request's integer: customer or deadline_ms.
inline std::int64_t integer_of(const RequestFacts& facts, VariableId name) {
    return name == VariableId::request_customer ? facts.customer : facts.deadline_ms;
}

/// One request at a time.
class RequestView {
  public:
    struct Header {
        enum class Occurrence : std::uint8_t { absent, once, repeated } occurrence = Occurrence::absent;
        std::string_view value;
    };
    /// Registers a header name in lower case, at load time. The same name has the same number.
    std::uint32_t watch(std::string_view lower);
    void begin(const RequestFacts& facts);
    const RequestFacts& facts() const { return *facts_; }
    /// The header of that number.
    const Header& header(std::uint32_t number) {
        if (!headers_scanned_) scan_headers();
        return headers_[number];
    }
    /// The head exceeds the bounds of expressions (HeadBounds).
    bool over_bound() {
        if (!headers_scanned_) scan_headers();
        return over_bound_;
    }
    /// The text is ASCII and within its bound.
    bool is_plain(VariableId text);

  private:
    void scan_headers();

    const RequestFacts* facts_ = nullptr;
    HeadBounds bounds_;
    std::vector<std::string> watched_names_;
    std::vector<Header> headers_;       // as watched_names_
    std::uint64_t watched_sizes_ = 0;   // bit n: some name has n bytes; bit 63: 63 or more
    bool headers_scanned_ = false;
    bool over_bound_ = false;
    std::uint32_t checked_texts_ = 0;   // bits of VariableId: is_plain() is known
    std::uint32_t plain_texts_ = 0;     // of them, those that are
};

}   // namespace slatejunction::rules
