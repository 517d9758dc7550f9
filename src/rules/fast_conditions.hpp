// The forms that most conditions, keys and values of rules have, looked at in the request's facts without
// the evaluator. What a shortcut says is what the evaluator would have said; where it can't be sure (a text
// that is not plain ASCII or over its bound, a header that came twice) it says that the evaluator is to be
// asked. A decision room: facts in, an answer out.
//
// Conditions: parts that && joins at the top, each of the forms
//   TEXT == "x"  TEXT != "x"  TEXT.startsWith("x")  TEXT in ["x", "y"]
//   INT < 5 and the other five     request.units < 5.0 and the others     bucket(request.customer, 100) < 5
//   request.retry  !request.retry  "x" in request.headers  !("x" in request.headers)
// where TEXT is a text variable of the request or request.headers["x"], INT is request.customer or
// request.deadline_ms. Parts of other forms are left to the evaluator: as && is false when one part is,
// whatever the others are (CEL's absorption of errors), the known parts can still say no.
// Keys and values: a TEXT, an INT, or a list of them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "expr/program.hpp"
#include "rules/variables.hpp"

namespace slatejunction::rules {

// The request as shortcuts see it. Headers that some shortcut names are found in one pass over the fields,
// when the first of them is asked for.
class RequestView {
  public:
    struct Header {
        enum class Found : std::uint8_t { absent, once, more } found = Found::absent;
        std::string_view value;
    };
    // A number for the name (in lower case), the same for the same name.
    std::uint32_t watch(std::string_view lower);
    void begin(const RequestFacts& facts);
    const RequestFacts& facts() const { return *facts_; }
    const Header& header(std::uint32_t number) {
        if (!looked_) look();
        return headers_[number];
    }
    bool over_bound() {   // the head is larger than expressions are bounded by
        if (!looked_) look();
        return over_;
    }
    // Whether it is plain ASCII and within its bound.
    bool plain(VariableId text);

  private:
    void look();

    const RequestFacts* facts_ = nullptr;
    HeadBounds bounds_;
    std::vector<std::string> names_;
    std::vector<Header> headers_;   // as names_
    std::uint64_t sizes_ = 0;       // of the names, as bits; those of 63 bytes and over share one
    bool looked_ = false, over_ = false;
    std::uint32_t known_ = 0, plain_ = 0;   // texts, as bits of Name
};

std::string_view text_of(const RequestFacts& facts, VariableId text);

// The bytes that a key is hashed by: each value behind its kind, texts behind their size, so that no two
// keys of different form are the same bytes.
void append_key(std::string& key, const expr::Value& value);

class Condition {
  public:
    enum class TestResult : std::uint8_t {
        no,
        yes,
        missing,           // an error: a header that is not there
        needs_evaluator,   // the evaluator
    };
    Condition() = default;   // asks
    // `known`: parts that always hold when it is looked at.
    Condition(const expr::Program& program, const std::vector<expr::NodeId>& known, RequestView& view);
    TestResult evaluate(RequestView& view) const;
    std::size_t parts() const { return tests_.size(); }   // that are looked at: its cost in units
    bool always() const { return whole_ && tests_.empty(); }

  private:
    enum class What : std::uint8_t { text, header, has_header, integer, bucket, real, retry };
    enum class Op : std::uint8_t { equal, unequal, less, less_equal, greater, greater_equal, begins, in };
    struct Test {
        What what = What::retry;
        Op op = Op::equal;
        bool wanted = true;   // of has_header and retry
        VariableId name = VariableId::request_method;
        std::uint32_t header = 0;
        std::int64_t integer = 0, buckets = 1;
        double real = 0;
        std::vector<std::string> texts;
    };
    static bool read(const expr::Tree& tree, expr::NodeId id, RequestView& view, Test& test);
    static TestResult evaluate(const Test& test, RequestView& view);

    std::vector<Test> tests_;
    bool whole_ = false;
};

class DirectKey {
  public:
    DirectKey() = default;   // has nothing
    DirectKey(const expr::Program& program, RequestView& view);
    explicit operator bool() const { return !parts_.empty(); }
    std::size_t parts() const { return parts_.size(); }
    // The key's bytes at the end of `key`. False, and whatever in it: the evaluator is to be asked.
    bool key(RequestView& view, std::string& key) const;
    // Of a single text. A null pointer: the evaluator is to be asked.
    std::string_view text(RequestView& view) const;

  private:
    struct Part {
        bool is_text = false, of_header = false;
        VariableId name = VariableId::request_method;
        std::uint32_t header = 0;
    };
    static bool read(const expr::Tree& tree, expr::NodeId id, RequestView& view, Part& part);
    static std::string_view text(const Part& part, RequestView& view);

    std::vector<Part> parts_;
    bool list_ = false;
};

}   // namespace slatejunction::rules
