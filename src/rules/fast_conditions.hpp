// Evaluates the common forms of conditions on the request's facts, without the evaluator.
//
// Rule: a part that is known to be false makes the condition false, as && is false when one part is,
// whatever the others are (CEL absorbs errors). The result is what the evaluator's would be; where that
// is not certain (a text that is not ASCII or over its bound, a repeated header, a part of another form)
// it is `needs_evaluator`.
// Inputs: a compiled condition, once; a request's facts (request_view.hpp).
// Output: TestResult.
// Where to see it: the counts and costs of rules (Rules::counts(), Rules::evaluation_cost()).
//
// Forms of the parts that && joins at the top:
//   TEXT == "x"  TEXT != "x"  TEXT.startsWith("x")  TEXT in ["x", "y"]
//   INT < 5 and the other five     request.units < 5.0 and the others     bucket(request.customer, 100) < 5
//   request.retry  !request.retry  "x" in request.headers  !("x" in request.headers)
// where TEXT is a text variable of the request or request.headers["x"], INT is request.customer or
// request.deadline_ms.
//
// Owned and called by Rules.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "expr/program.hpp"
#include "rules/request_view.hpp"

namespace slatejunction::rules {

/// One condition.
class Condition {
  public:
    enum class TestResult : std::uint8_t {
        no,
        yes,
        missing,   ///< an error: a header that the request does not have
        needs_evaluator,
    };
    /// Always needs the evaluator.
    Condition() = default;
    /// `implied`: parts that hold whenever the condition is evaluated (ConditionIndex::implied_parts());
    /// not tested.
    Condition(const expr::Program& program, const std::vector<expr::NodeId>& implied, RequestView& view);
    TestResult evaluate(RequestView& view) const;
    /// Number of parts that are tested: its cost in units.
    std::size_t test_count() const { return tests_.size(); }
    bool always_true() const { return complete_ && tests_.empty(); }

  private:
    enum class TestKind : std::uint8_t { text, header, has_header, integer, bucket, real, retry };
    enum class Operator : std::uint8_t {
        equal,
        unequal,
        less,
        less_equal,
        greater,
        greater_equal,
        starts_with,
        in
    };
    struct Test {
        TestKind kind = TestKind::retry;
        Operator op = Operator::equal;
        bool expected = true;   // of has_header and retry
        VariableId variable = VariableId::request_method;
        std::uint32_t header = 0;         // of RequestView
        std::int64_t integer = 0;         // compared with
        std::int64_t buckets = 1;         // of bucket()
        double real = 0;                  // compared with
        std::vector<std::string> texts;   // compared with
    };
    static std::optional<Operator> operator_of(const expr::Node& call);
    static std::optional<Test> parse_test(const expr::Tree& tree, expr::NodeId id, RequestView& view);
    static std::optional<Test> parse_has_header(const expr::Tree& tree, const expr::Node& call,
                                                RequestView& view);
    static std::optional<Test> parse_number_test(const expr::Tree& tree, const expr::Node& call,
                                                 Operator op);
    static std::optional<Test> parse_text_test(const expr::Tree& tree, const expr::Node& call, Operator op,
                                               RequestView& view);
    template <class Number>
    static TestResult compare(Operator op, Number left, Number right);
    static TestResult compare_text(const Test& test, std::string_view text);
    static TestResult evaluate_header(const Test& test, RequestView& view);
    static TestResult evaluate(const Test& test, RequestView& view);

    std::vector<Test> tests_;
    bool complete_ = false;   // tests_ and the implied parts are all of the condition
};

}   // namespace slatejunction::rules
