// Evaluates the common forms of conditions on the request's facts, without the evaluator.
//
// - Rule: an operand that is known to be false makes the condition false, because && is false if any
//   operand is, whatever the others are (CEL absorbs errors). The result is that of the evaluator.
//   Where that is not certain, the result is `needs_evaluator`: for a text that is not ASCII or over
//   its bound, a repeated header, or an operand of another form.
// - Inputs: the compiled condition, at construction; the facts of each request (request_view.hpp).
// - Output: TestResult.
// - Visible in: the counts and costs of rules (Rules::counts(), Rules::evaluation_cost()).
//
// Forms of the operands of the && at the root of the condition's tree:
//   TEXT == "x"  TEXT != "x"  TEXT.startsWith("x")  TEXT in ["x", "y"]
//   INT < 5  request.units < 5.0  bucket(request.customer, 100) < 5  (and with ==, !=, <=, >, >=)
//   request.retry  !request.retry  "x" in request.headers  !("x" in request.headers)
// where TEXT is a text variable of the request or request.headers["x"], and INT is request.customer or
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

/// The operands of one condition that can be tested without the evaluator.
class Condition {
  public:
    enum class TestResult : std::uint8_t {
        no,
        yes,
        missing,   ///< an error: the request lacks a header that is tested
        needs_evaluator,
    };
    /// A condition that always needs the evaluator.
    Condition() = default;
    /// `implied`: the operands that hold whenever the condition is evaluated, so that they are not tested
    /// (ConditionIndex::implied_parts()).
    Condition(const expr::Program& program, const std::vector<expr::NodeId>& implied, RequestView& view);
    TestResult evaluate(RequestView& view) const;
    /// The number of operands that are tested, which is the cost in units.
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
        bool expected = true;   // for has_header and retry
        VariableId variable = VariableId::request_method;
        std::uint32_t header = 0;         // its number in RequestView
        std::int64_t integer = 0;         // right operand of an integer or bucket test
        std::int64_t buckets = 1;         // number of buckets, the second argument of bucket()
        double real = 0;                  // right operand of a real test
        std::vector<std::string> texts;   // right operand of a text or header test
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
    bool complete_ = false;   // whether tests_ and the implied operands cover the whole condition
};

}   // namespace slatejunction::rules
