#include "rules/fast_conditions.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace slatejunction::rules {
namespace {

using expr::Node;
using expr::NodeId;
using expr::Tree;

constexpr std::array<std::pair<std::string_view, VariableId>, 11> kFields{{
    {"method", VariableId::request_method},
    {"path", VariableId::request_path},
    {"query", VariableId::request_query},
    {"headers", VariableId::request_headers},
    {"class", VariableId::request_class},
    {"plan", VariableId::request_plan},
    {"customer", VariableId::request_customer},
    {"units", VariableId::request_units},
    {"deadline_ms", VariableId::request_deadline_ms},
    {"retry", VariableId::request_retry},
    {"id", VariableId::request_id},
}};

// What request.NAME is.
std::optional<VariableId> field_of(const Tree& tree, NodeId id) {
    const Node& node = tree[id];
    if (node.kind != Node::Kind::select) return {};
    const Node& of = tree[node.kids[0]];
    if (of.kind != Node::Kind::name || of.name != "request") return {};
    for (const auto& [name, field] : kFields)
        if (name == node.name) return field;
    return {};
}

bool is_text(VariableId name) {
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

bool is_lower(std::string_view name) {
    return std::none_of(name.begin(), name.end(), [](char c) { return c >= 'A' && c <= 'Z'; }) &&
           expr::ascii(name);
}

bool is_call(const Node& node, std::string_view name, std::size_t kids) {
    return node.kind == Node::Kind::call && !node.member && node.name == name && node.kids.size() == kids;
}

// request.headers["x"], with x in lower case.
std::optional<std::string_view> header_of(const Tree& tree, NodeId id) {
    const Node& node = tree[id];
    if (!is_call(node, "_[_]", 2) || field_of(tree, node.kids[0]) != VariableId::request_headers) return {};
    const Node& key = tree[node.kids[1]];
    if (key.kind != Node::Kind::text || !is_lower(key.name)) return {};
    return key.name;
}

void append_number(std::string& key, std::uint64_t bits) {
    std::array<char, 8> bytes{};
    for (std::size_t i = 0; i < 8; ++i) bytes[i] = static_cast<char>(bits >> (8 * i));
    key.append(bytes.data(), bytes.size());
}

void append_kind(std::string& key, expr::Kind kind) { key += static_cast<char>(kind); }

void append_text(std::string& key, std::string_view text) {
    append_kind(key, expr::Kind::text);
    append_number(key, text.size());
    key += text;
}

std::size_t bound_of(VariableId text, HeadBounds bounds) {
    if (text == VariableId::request_method) return kMethodMost;
    return text == VariableId::request_class || text == VariableId::request_plan ? kWordMost : bounds.bytes;
}

std::int64_t integer_of(const RequestFacts& facts, VariableId name) {
    return name == VariableId::request_customer ? facts.customer : facts.deadline_ms;
}

}   // namespace

std::string_view text_of(const RequestFacts& facts, VariableId text) {
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

void append_key(std::string& key, const expr::Value& value) {
    switch (value.kind()) {
        case expr::Kind::boolean:
            append_kind(key, value.kind());
            key += value.truth() ? '\1' : '\0';
            break;
        case expr::Kind::text:
            append_text(key, value.view());
            break;
        case expr::Kind::list:
            append_kind(key, value.kind());
            append_number(key, value.size());
            for (const expr::Value& one : value.items()) append_key(key, one);
            break;
        default:
            append_kind(key, value.kind());
            append_number(key, value.natural());
    }
}

// The request. ----------------------------------------------------------------------------------------

std::uint32_t RequestView::watch(std::string_view lower) {
    const auto at = std::find(names_.begin(), names_.end(), lower);
    if (at == names_.end()) {
        names_.emplace_back(lower);
        headers_.emplace_back();
        sizes_ |= std::uint64_t{1} << std::min<std::size_t>(63, lower.size());
        return static_cast<std::uint32_t>(names_.size() - 1);
    }
    return static_cast<std::uint32_t>(at - names_.begin());
}

void RequestView::begin(const RequestFacts& facts) {
    facts_ = &facts;
    looked_ = false;
    known_ = 0;
}

void RequestView::look() {
    looked_ = true;
    for (Header& one : headers_) one.found = Header::Found::absent;
    std::size_t bytes = 0;
    for (const http::Field& field : facts_->headers) {
        bytes += field.name.size() + field.value.size() + 2;
        if ((sizes_ >> std::min<std::size_t>(63, field.name.size()) & 1) == 0) continue;
        for (std::size_t i = 0; i < names_.size(); ++i) {
            if (!http::equals_ignore_case(field.name, names_[i])) continue;
            headers_[i].found =
                headers_[i].found == Header::Found::absent ? Header::Found::once : Header::Found::more;
            headers_[i].value = field.value;
            break;
        }
    }
    over_ = facts_->headers.size() > bounds_.fields || bytes > bounds_.bytes;
}

bool RequestView::plain(VariableId text) {
    const std::uint32_t bit = 1U << static_cast<unsigned>(text);
    if ((known_ & bit) == 0) {
        known_ |= bit;
        const std::string_view bytes = text_of(*facts_, text);
        plain_ =
            bytes.size() <= bound_of(text, bounds_) && expr::ascii(bytes) ? plain_ | bit : plain_ & ~bit;
    }
    return (plain_ & bit) != 0;
}

// Conditions. -----------------------------------------------------------------------------------------

Condition::Condition(const expr::Program& program, const std::vector<NodeId>& known, RequestView& view) {
    const Tree& tree = program.tree;
    const Node& root = tree[tree.root];
    const std::vector<NodeId> parts =
        is_call(root, "_&&_", root.kids.size()) ? root.kids : std::vector<NodeId>{tree.root};
    whole_ = true;
    for (const NodeId id : parts) {
        if (tree[id].kind == Node::Kind::boolean && tree[id].boolean) continue;
        if (std::find(known.begin(), known.end(), id) != known.end()) continue;
        if (Test test; read(tree, id, view, test))
            tests_.push_back(std::move(test));
        else
            whole_ = false;
    }
}

bool Condition::read(const Tree& tree, NodeId id, RequestView& view, Test& test) {
    const Node& node = tree[id];
    if (field_of(tree, id) == VariableId::request_retry) return test.what = What::retry, true;
    if (is_call(node, "!_", 1)) {
        if (!read(tree, node.kids[0], view, test)) return false;
        test.wanted = !test.wanted;
        return test.what == What::retry || test.what == What::has_header;
    }
    if (node.kind != Node::Kind::call || node.kids.size() != 2) return false;
    const Node &left = tree[node.kids[0]], &right = tree[node.kids[1]];
    if (is_call(node, "@in", 2) && left.kind == Node::Kind::text) {
        if (field_of(tree, node.kids[1]) != VariableId::request_headers || !is_lower(left.name))
            return false;
        test.what = What::has_header;
        test.header = view.watch(left.name);
        return true;
    }
    constexpr std::array<std::pair<std::string_view, Op>, 8> kOps{{{"_==_", Op::equal},
                                                                   {"_!=_", Op::unequal},
                                                                   {"_<_", Op::less},
                                                                   {"_<=_", Op::less_equal},
                                                                   {"_>_", Op::greater},
                                                                   {"_>=_", Op::greater_equal},
                                                                   {"startsWith", Op::begins},
                                                                   {"@in", Op::in}}};
    const auto op = std::find_if(kOps.begin(), kOps.end(), [&](const auto& one) {
        return one.first == node.name && node.member == (one.second == Op::begins);
    });
    if (op == kOps.end()) return false;
    test.op = op->second;
    if (right.kind == Node::Kind::integer || right.kind == Node::Kind::real) {
        const Node* of = &left;
        NodeId of_id = node.kids[0];
        const bool bucket = is_call(left, "bucket", 2);
        if (bucket) {
            const Node& buckets = tree[left.kids[1]];
            if (buckets.kind != Node::Kind::integer || buckets.integer <= 0) return false;
            test.buckets = buckets.integer;
            of_id = left.kids[0];
            of = &tree[of_id];
        }
        const auto field = of->kind == Node::Kind::select ? field_of(tree, of_id) : std::nullopt;
        if (!field || test.op == Op::begins || test.op == Op::in) return false;
        test.name = *field;
        test.integer = right.integer;
        test.real = right.real;
        if (right.kind == Node::Kind::real) {
            test.what = What::real;
            return !bucket && *field == VariableId::request_units;
        }
        test.what = bucket ? What::bucket : What::integer;
        return *field == VariableId::request_customer || *field == VariableId::request_deadline_ms;
    }
    if (right.kind == Node::Kind::text) {
        test.texts = {right.name};
    } else if (right.kind == Node::Kind::list && test.op == Op::in) {
        for (const NodeId item : right.kids) {
            if (tree[item].kind != Node::Kind::text) return false;
            test.texts.push_back(tree[item].name);
        }
    } else {
        return false;
    }
    if (test.op != Op::equal && test.op != Op::unequal && test.op != Op::begins && test.op != Op::in)
        return false;
    if (const auto name = header_of(tree, node.kids[0])) {
        test.what = What::header;
        test.header = view.watch(*name);
        return true;
    }
    const auto field = field_of(tree, node.kids[0]);
    if (!field || !is_text(*field)) return false;
    test.what = What::text;
    test.name = *field;
    return true;
}

inline Condition::TestResult Condition::evaluate(const Test& test, RequestView& view) {
    const auto held = [](bool yes) { return yes ? TestResult::yes : TestResult::no; };
    const auto ordered = [&](auto a, auto b) {
        switch (test.op) {
            case Op::equal:
                return held(a == b);
            case Op::unequal:
                return held(a != b);
            case Op::less:
                return held(a < b);
            case Op::less_equal:
                return held(a <= b);
            case Op::greater:
                return held(a > b);
            default:
                return held(a >= b);
        }
    };
    const auto words = [&](std::string_view text) {
        const auto same = [&](const std::string& one) { return one == text; };
        switch (test.op) {
            case Op::equal:
                return same(test.texts[0]);
            case Op::unequal:
                return !same(test.texts[0]);
            case Op::begins:
                return text.starts_with(test.texts[0]);
            default:
                return std::any_of(test.texts.begin(), test.texts.end(), same);
        }
    };
    const RequestFacts& facts = view.facts();
    switch (test.what) {
        case What::text:
            return view.plain(test.name) ? held(words(text_of(facts, test.name)))
                                         : TestResult::needs_evaluator;
        case What::header: {
            const RequestView::Header& header = view.header(test.header);
            if (view.over_bound() || header.found == RequestView::Header::Found::more)
                return TestResult::needs_evaluator;
            if (header.found == RequestView::Header::Found::absent) return TestResult::missing;
            return expr::ascii(header.value) ? held(words(header.value)) : TestResult::needs_evaluator;
        }
        case What::has_header:
            if (view.over_bound()) return TestResult::needs_evaluator;
            return held((view.header(test.header).found != RequestView::Header::Found::absent) ==
                        test.wanted);
        case What::integer:
            return ordered(integer_of(facts, test.name), test.integer);
        case What::bucket: {
            std::array<unsigned char, 8> bytes{};   // little end first, as the evaluator's
            const auto number = static_cast<std::uint64_t>(integer_of(facts, test.name));
            for (std::size_t n = 0; n < 8; ++n) bytes[n] = static_cast<unsigned char>(number >> (8 * n));
            const std::uint64_t sum = XXH64(bytes.data(), bytes.size(), 0);
            return ordered(static_cast<std::int64_t>(sum % static_cast<std::uint64_t>(test.buckets)),
                           test.integer);
        }
        case What::real:
            return ordered(facts.units, test.real);
        case What::retry:
            return held(facts.retry == test.wanted);
    }
    return TestResult::needs_evaluator;
}

Condition::TestResult Condition::evaluate(RequestView& view) const {
    TestResult all = whole_ ? TestResult::yes : TestResult::needs_evaluator;
    for (const Test& test : tests_) {
        const TestResult one = evaluate(test, view);
        if (one == TestResult::no) return one;
        if (one != TestResult::yes && all != TestResult::needs_evaluator) all = one;
    }
    return all;
}

// Keys and values. ------------------------------------------------------------------------------------

DirectKey::DirectKey(const expr::Program& program, RequestView& view) {
    const Tree& tree = program.tree;
    const Node& root = tree[tree.root];
    list_ = root.kind == Node::Kind::list;
    for (const NodeId id : list_ ? root.kids : std::vector<NodeId>{tree.root}) {
        Part part;
        if (!read(tree, id, view, part)) {
            parts_.clear();
            return;
        }
        parts_.push_back(part);
    }
}

bool DirectKey::read(const Tree& tree, NodeId id, RequestView& view, Part& part) {
    if (const auto name = header_of(tree, id)) {
        part.is_text = part.of_header = true;
        part.header = view.watch(*name);
        return true;
    }
    const auto field = field_of(tree, id);
    if (!field) return false;
    part.name = *field;
    part.is_text = is_text(*field);
    return part.is_text || *field == VariableId::request_customer ||
           *field == VariableId::request_deadline_ms;
}

std::string_view DirectKey::text(const Part& part, RequestView& view) {
    if (!part.of_header)
        return view.plain(part.name) ? text_of(view.facts(), part.name) : std::string_view();
    const RequestView::Header& header = view.header(part.header);
    const bool known = header.found == RequestView::Header::Found::once && !view.over_bound();
    return known && expr::ascii(header.value) ? header.value : std::string_view();
}

bool DirectKey::key(RequestView& view, std::string& key) const {
    if (list_) {
        append_kind(key, expr::Kind::list);
        append_number(key, parts_.size());
    }
    for (const Part& part : parts_) {
        if (!part.is_text) {
            append_kind(key, expr::Kind::integer);
            append_number(key, static_cast<std::uint64_t>(integer_of(view.facts(), part.name)));
            continue;
        }
        const std::string_view bytes = text(part, view);
        if (!bytes.data()) return false;
        append_text(key, bytes);
    }
    return true;
}

std::string_view DirectKey::text(RequestView& view) const {
    return parts_.size() == 1 && !list_ && parts_[0].is_text ? text(parts_[0], view) : std::string_view();
}

}   // namespace slatejunction::rules
