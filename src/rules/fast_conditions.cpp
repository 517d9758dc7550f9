#include "rules/fast_conditions.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

#include "rules/expression_forms.hpp"

namespace slatejunction::rules {
namespace {

using expr::Node;
using expr::NodeId;
using expr::Tree;

// Returns the bucket of an integer as the expression function bucket() does: from the XXH64 hash of its 8
// bytes, little-endian.
std::int64_t bucket_of(std::int64_t value, std::int64_t buckets) {
    std::array<unsigned char, 8> bytes{};
    const auto bits = static_cast<std::uint64_t>(value);
    for (std::size_t n = 0; n < bytes.size(); ++n) bytes[n] = static_cast<unsigned char>(bits >> (8 * n));
    const std::uint64_t hash = XXH64(bytes.data(), bytes.size(), 0);
    return static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(buckets));
}

// Returns the literal texts on the right of a comparison: one, or the items of a list if `list_allowed`.
// Returns nothing for another form.
std::optional<std::vector<std::string>> texts_of(const Tree& tree, const Node& node, bool list_allowed) {
    if (node.kind == Node::Kind::text) return std::vector<std::string>{node.name};
    if (node.kind != Node::Kind::list || !list_allowed) return {};
    std::vector<std::string> texts;
    for (const NodeId item : node.kids) {
        if (tree[item].kind != Node::Kind::text) return {};
        texts.push_back(tree[item].name);
    }
    return texts;
}

}   // namespace

Condition::Condition(const expr::Program& program, const std::vector<NodeId>& implied, RequestView& view) {
    const Tree& tree = program.tree;
    const Node& root = tree[tree.root];
    const std::vector<NodeId> parts =
        is_call(root, "_&&_", root.kids.size()) ? root.kids : std::vector<NodeId>{tree.root};
    complete_ = true;
    for (const NodeId id : parts) {
        if (tree[id].kind == Node::Kind::boolean && tree[id].boolean) continue;
        if (std::find(implied.begin(), implied.end(), id) != implied.end()) continue;
        if (auto test = parse_test(tree, id, view))
            tests_.push_back(std::move(*test));
        else
            complete_ = false;
    }
}

std::optional<Condition::Operator> Condition::operator_of(const Node& call) {
    constexpr std::array<std::pair<std::string_view, Operator>, 8> kOperators{
        {{"_==_", Operator::equal},
         {"_!=_", Operator::unequal},
         {"_<_", Operator::less},
         {"_<=_", Operator::less_equal},
         {"_>_", Operator::greater},
         {"_>=_", Operator::greater_equal},
         {"startsWith", Operator::starts_with},
         {"@in", Operator::in}}};
    for (const auto& [name, op] : kOperators)
        if (name == call.name && call.member == (op == Operator::starts_with)) return op;
    return {};
}

std::optional<Condition::Test> Condition::parse_test(const Tree& tree, NodeId id, RequestView& view) {
    const Node& node = tree[id];
    if (field_of(tree, id) == VariableId::request_retry) return Test{};
    if (is_call(node, "!_", 1)) {
        auto test = parse_test(tree, node.kids[0], view);
        if (!test || (test->kind != TestKind::retry && test->kind != TestKind::has_header)) return {};
        test->expected = !test->expected;
        return test;
    }
    if (node.kind != Node::Kind::call || node.kids.size() != 2) return {};
    if (is_call(node, "@in", 2) && tree[node.kids[0]].kind == Node::Kind::text)
        return parse_has_header(tree, node, view);
    const auto op = operator_of(node);
    if (!op) return {};
    const Node& right = tree[node.kids[1]];
    if (right.kind == Node::Kind::integer || right.kind == Node::Kind::real)
        return parse_number_test(tree, node, *op);
    return parse_text_test(tree, node, *op, view);
}

// Parses "x" in request.headers.
std::optional<Condition::Test> Condition::parse_has_header(const Tree& tree, const Node& call,
                                                           RequestView& view) {
    const Node& name = tree[call.kids[0]];
    if (field_of(tree, call.kids[1]) != VariableId::request_headers || !is_lower(name.name)) return {};
    Test test;
    test.kind = TestKind::has_header;
    test.header = view.register_header(name.name);
    return test;
}

// Parses INT < 5, request.units < 5.0 and bucket(INT, 100) < 5.
std::optional<Condition::Test> Condition::parse_number_test(const Tree& tree, const Node& call,
                                                            Operator op) {
    if (op == Operator::starts_with || op == Operator::in) return {};
    const Node& left = tree[call.kids[0]];
    const Node& right = tree[call.kids[1]];
    const bool has_bucket = is_call(left, "bucket", 2);
    Test test;
    test.op = op;
    NodeId variable = call.kids[0];
    if (has_bucket) {
        const Node& buckets = tree[left.kids[1]];
        if (buckets.kind != Node::Kind::integer || buckets.integer <= 0) return {};
        test.buckets = buckets.integer;
        variable = left.kids[0];
    }
    const auto field = field_of(tree, variable);
    if (!field) return {};
    test.variable = *field;
    test.integer = right.integer;
    test.real = right.real;
    if (right.kind == Node::Kind::real) {
        if (has_bucket || *field != VariableId::request_units) return {};
        test.kind = TestKind::real;
        return test;
    }
    if (*field != VariableId::request_customer && *field != VariableId::request_deadline_ms) return {};
    test.kind = has_bucket ? TestKind::bucket : TestKind::integer;
    return test;
}

// Parses TEXT == "x", TEXT != "x", TEXT.startsWith("x") and TEXT in ["x", "y"].
std::optional<Condition::Test> Condition::parse_text_test(const Tree& tree, const Node& call, Operator op,
                                                          RequestView& view) {
    const bool compares_texts = op == Operator::equal || op == Operator::unequal ||
                                op == Operator::starts_with || op == Operator::in;
    auto texts = texts_of(tree, tree[call.kids[1]], op == Operator::in);
    if (!texts || !compares_texts) return {};
    Test test;
    test.op = op;
    test.texts = std::move(*texts);
    if (const auto name = header_of(tree, call.kids[0])) {
        test.kind = TestKind::header;
        test.header = view.register_header(*name);
        return test;
    }
    const auto field = field_of(tree, call.kids[0]);
    if (!field || !is_text(*field)) return {};
    test.kind = TestKind::text;
    test.variable = *field;
    return test;
}

template <class Number>
Condition::TestResult Condition::compare(Operator op, Number left, Number right) {
    const auto result = [](bool holds) { return holds ? TestResult::yes : TestResult::no; };
    switch (op) {
        case Operator::equal:
            return result(left == right);
        case Operator::unequal:
            return result(left != right);
        case Operator::less:
            return result(left < right);
        case Operator::less_equal:
            return result(left <= right);
        case Operator::greater:
            return result(left > right);
        default:
            return result(left >= right);
    }
}

inline Condition::TestResult Condition::compare_text(const Test& test, std::string_view text) {
    const auto result = [](bool holds) { return holds ? TestResult::yes : TestResult::no; };
    switch (test.op) {
        case Operator::equal:
            return result(text == test.texts[0]);
        case Operator::unequal:
            return result(text != test.texts[0]);
        case Operator::starts_with:
            return result(text.starts_with(test.texts[0]));
        default:
            return result(std::find(test.texts.begin(), test.texts.end(), text) != test.texts.end());
    }
}

inline Condition::TestResult Condition::evaluate_header(const Test& test, RequestView& view) {
    using Occurrence = RequestView::Header::Occurrence;
    const RequestView::Header& header = view.header(test.header);
    if (view.over_bound() || header.occurrence == Occurrence::repeated) return TestResult::needs_evaluator;
    if (header.occurrence == Occurrence::absent) return TestResult::missing;
    return expr::ascii(header.value) ? compare_text(test, header.value) : TestResult::needs_evaluator;
}

inline Condition::TestResult Condition::evaluate(const Test& test, RequestView& view) {
    const auto result = [](bool holds) { return holds ? TestResult::yes : TestResult::no; };
    const RequestFacts& facts = view.facts();
    switch (test.kind) {
        case TestKind::text:
            return view.is_bounded_ascii(test.variable) ? compare_text(test, text_of(facts, test.variable))
                                                        : TestResult::needs_evaluator;
        case TestKind::header:
            return evaluate_header(test, view);
        case TestKind::has_header: {
            if (view.over_bound()) return TestResult::needs_evaluator;
            const bool present =
                view.header(test.header).occurrence != RequestView::Header::Occurrence::absent;
            return result(present == test.expected);
        }
        case TestKind::integer:
            return compare(test.op, integer_of(facts, test.variable), test.integer);
        case TestKind::bucket:
            return compare(test.op, bucket_of(integer_of(facts, test.variable), test.buckets),
                           test.integer);
        case TestKind::real:
            return compare(test.op, facts.units, test.real);
        case TestKind::retry:
            return result(facts.retry == test.expected);
    }
    return TestResult::needs_evaluator;
}

Condition::TestResult Condition::evaluate(RequestView& view) const {
    TestResult combined = complete_ ? TestResult::yes : TestResult::needs_evaluator;
    for (const Test& test : tests_) {
        const TestResult result = evaluate(test, view);
        if (result == TestResult::no) return result;
        if (result != TestResult::yes && combined != TestResult::needs_evaluator) combined = result;
    }
    return combined;
}

}   // namespace slatejunction::rules
