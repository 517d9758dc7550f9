#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstdlib>
#include <optional>

#include "expr/lexer.hpp"
#include "expr/syntax.hpp"
#include "expr/value.hpp"

namespace slatejunction::expr {
namespace {

constexpr std::array<std::string_view, 19> kReserved{
    "as",   "break",   "const",     "continue", "else", "for",  "function", "if", "import",      "let",
    "loop", "package", "namespace", "return",   "var",  "void", "while",    "in", "__reserved__"};

class Parser {
  public:
    Parser(Tree& tree) : tree_(tree), lexer_(tree.source) { advance(); }

    NodeId all() {
        const NodeId root = expression();
        if (token_.kind != Token::Kind::end)
            throw LoadError(token_.at, "'" + shown() + "' is too much here");
        return root;
    }

  private:
    // Guards the stack against source that nests without end.
    struct Deeper {
        explicit Deeper(Parser& parser) : parser_(parser) {
            if (++parser_.depth_ > 2 * kDepthMost)
                throw LoadError(parser_.token_.at,
                                "nested deeper than " + std::to_string(kDepthMost) + " levels");
        }
        ~Deeper() { --parser_.depth_; }
        Deeper(const Deeper&) = delete;
        Deeper& operator=(const Deeper&) = delete;
        Parser& parser_;
    };

    void advance() { token_ = lexer_.next(); }
    bool is(std::string_view sign) const { return token_.kind == Token::Kind::sign && token_.text == sign; }
    bool take(std::string_view sign) {
        if (!is(sign)) return false;
        advance();
        return true;
    }
    std::string shown() const {
        if (token_.kind == Token::Kind::end) return "the end";
        return token_.text.substr(0, 40);
    }
    void want(std::string_view sign) {
        if (!take(sign))
            throw LoadError(token_.at,
                            "'" + std::string(sign) + "' is missing before " +
                                (token_.kind == Token::Kind::end ? "the end" : "'" + shown() + "'"));
    }

    NodeId add(Node node) {
        if (tree_.nodes.size() >= kNodesMost)
            throw LoadError(node.at, "more than " + std::to_string(kNodesMost) + " parts");
        for (const NodeId kid : node.kids) node.depth = std::max(node.depth, tree_[kid].depth + 1);
        if (node.depth > kDepthMost)
            throw LoadError(node.at, "nested deeper than " + std::to_string(kDepthMost) + " levels");
        tree_.nodes.push_back(std::move(node));
        return static_cast<NodeId>(tree_.nodes.size() - 1);
    }
    NodeId call(std::size_t at, std::string name, std::vector<NodeId> kids, bool member = false) {
        Node node;
        node.kind = Node::Kind::call;
        node.at = at;
        node.name = std::move(name);
        node.kids = std::move(kids);
        node.member = member;
        return add(std::move(node));
    }

    NodeId expression() {
        const Deeper deeper(*this);
        const NodeId condition = logical("||", "_||_");
        const std::size_t at = token_.at;
        if (!take("?")) return condition;
        const NodeId yes = logical("||", "_||_");
        want(":");
        const NodeId no = expression();
        return call(at, "_?_:_", {condition, yes, no});
    }

    // A chain is one node with many kids, so that long ones do not nest.
    NodeId logical(std::string_view sign, const char* name) {
        const bool either = sign == "||";
        const auto part = [&] { return either ? logical("&&", "_&&_") : relation(); };
        std::vector<NodeId> kids{part()};
        const std::size_t at = token_.at;
        while (take(sign)) kids.push_back(part());
        return kids.size() == 1 ? kids[0] : call(at, name, std::move(kids));
    }

    NodeId relation() {
        NodeId left = sum();
        for (;;) {
            const std::size_t at = token_.at;
            std::string name;
            for (const char* sign : {"==", "!=", "<=", ">=", "<", ">"})
                if (name.empty() && take(sign)) name = "_" + std::string(sign) + "_";
            if (name.empty() && token_.kind == Token::Kind::name && token_.text == "in") {
                advance();
                name = "@in";
            }
            if (name.empty()) return left;
            const NodeId right = sum();
            left = call(at, name, {left, right});
        }
    }

    NodeId sum() {
        NodeId left = product();
        for (;;) {
            const std::size_t at = token_.at;
            const char* name = take("+") ? "_+_" : take("-") ? "_-_" : nullptr;
            if (!name) return left;
            const NodeId right = product();
            left = call(at, name, {left, right});
        }
    }

    NodeId product() {
        NodeId left = unary();
        for (;;) {
            const std::size_t at = token_.at;
            const char* name = take("*") ? "_*_" : take("/") ? "_/_" : take("%") ? "_%_" : nullptr;
            if (!name) return left;
            const NodeId right = unary();
            left = call(at, name, {left, right});
        }
    }

    NodeId unary() {
        const Deeper deeper(*this);
        const std::size_t at = token_.at;
        if (take("!")) return call(at, "!_", {unary()});
        if (!take("-")) return member(primary(false, at));
        if (token_.kind == Token::Kind::integer || token_.kind == Token::Kind::real)
            return member(primary(true, at));
        return call(at, "-_", {unary()});
    }

    NodeId member(NodeId target) {
        for (;;) {
            const std::size_t at = token_.at;
            if (take("[")) {
                const NodeId index = expression();
                want("]");
                target = call(at, "_[_]", {target, index});
            } else if (take(".")) {
                const std::size_t name_at = token_.at;
                const std::string name = selector();
                target = take("(") ? member_call(name_at, target, name) : select(name_at, target, name);
            } else if (is("{")) {
                throw LoadError(at, "messages are left out of this language: TYPE{...}");
            } else {
                return target;
            }
        }
    }

    std::string selector() {
        if (token_.kind != Token::Kind::name) throw LoadError(token_.at, "a name is missing after '.'");
        if (token_.text == "in") throw LoadError(token_.at, "'in' is a word of the language");
        std::string name = token_.text;
        advance();
        return name;
    }

    NodeId select(std::size_t at, NodeId target, const std::string& name) {
        Node node;
        node.kind = Node::Kind::select;
        node.at = at;
        node.name = name;
        node.kids = {target};
        return add(std::move(node));
    }

    std::vector<NodeId> list(std::string_view closing) {
        std::vector<NodeId> kids;
        while (!is(closing)) {
            kids.push_back(expression());
            if (!take(",")) break;
        }
        want(closing);
        return kids;
    }

    NodeId member_call(std::size_t at, NodeId target, const std::string& name) {
        std::vector<NodeId> kids = list(")");
        constexpr std::array<std::string_view, 5> kMacros{"all", "exists", "exists_one", "map", "filter"};
        const bool macro = std::find(kMacros.begin(), kMacros.end(), name) != kMacros.end() &&
                           (kids.size() == 2 || (kids.size() == 3 && name == "map"));
        if (!macro) {
            kids.insert(kids.begin(), target);
            return call(at, name, std::move(kids), true);
        }
        const Node& variable = tree_[kids[0]];
        if (variable.kind != Node::Kind::name || variable.name.starts_with('.'))
            throw LoadError(variable.at,
                            "the first argument of " + name + "() is the name of its variable");
        Node node;
        node.kind = Node::Kind::macro;
        node.at = at;
        node.name = name;
        node.variable = variable.name;
        node.kids = std::move(kids);
        node.kids[0] = target;
        return add(std::move(node));
    }

    NodeId primary(bool negative, std::size_t at) {
        Node node;
        node.at = at;
        switch (token_.kind) {
            case Token::Kind::integer:
            case Token::Kind::natural:
            case Token::Kind::real:
                number(node, negative);
                break;
            case Token::Kind::text:
                node.kind = Node::Kind::text;
                node.name = token_.text;
                break;
            case Token::Kind::bytes:
                node.kind = Node::Kind::bytes;
                node.name = token_.text;
                break;
            case Token::Kind::name:
                return name();
            case Token::Kind::sign:
                return bracket();
            case Token::Kind::end:
                throw LoadError(token_.at, "the expression ends where a value is missing");
        }
        advance();
        return add(std::move(node));
    }

    void number(Node& node, bool negative) {
        const std::string& text = token_.text;
        if (token_.kind == Token::Kind::real) {
            node.kind = Node::Kind::real;
            const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), node.real);
            if (fault != std::errc() || end != text.data() + text.size())
                throw LoadError(token_.at, "a number beyond the range of double");
            if (negative) node.real = -node.real;
            return;
        }
        const bool hex = text.size() > 1 && (text[1] == 'x' || text[1] == 'X');
        std::uint64_t value = 0;
        const char* first = text.data() + (hex ? 2 : 0);
        const auto [end, fault] = std::from_chars(first, text.data() + text.size(), value, hex ? 16 : 10);
        const bool whole = fault == std::errc() && end == text.data() + text.size();
        if (token_.kind == Token::Kind::natural) {
            if (!whole) throw LoadError(token_.at, "a number beyond the range of uint");
            node.kind = Node::Kind::natural;
            node.natural = value;
            return;
        }
        constexpr std::uint64_t kMost = std::uint64_t{1} << 63;
        if (!whole || value > kMost || (value == kMost && !negative))
            throw LoadError(token_.at, "a number beyond the range of int");
        node.kind = Node::Kind::integer;
        node.integer = static_cast<std::int64_t>(negative ? 0 - value : value);
    }

    NodeId name() {
        Node node;
        node.at = token_.at;
        node.name = token_.text;
        const std::string& text = token_.text;
        if (text == "true" || text == "false" || text == "null") {
            node.kind = text == "null" ? Node::Kind::null : Node::Kind::boolean;
            node.boolean = text == "true";
            node.name.clear();
            advance();
            return add(std::move(node));
        }
        if (std::find(kReserved.begin(), kReserved.end(), text) != kReserved.end())
            throw LoadError(node.at, "'" + text + "' is a word of the language");
        advance();
        if (!take("(")) {
            node.kind = Node::Kind::name;
            return add(std::move(node));
        }
        std::vector<NodeId> kids = list(")");
        if (node.name != "has") return call(node.at, node.name, std::move(kids));
        if (kids.size() != 1 || tree_[kids[0]].kind != Node::Kind::select)
            throw LoadError(node.at, "has() takes one selection: has(MAP.NAME)");
        // The selection itself stays in the tree's storage, of no use.
        node.kind = Node::Kind::has;
        node.name = tree_[kids[0]].name;
        node.kids = tree_[kids[0]].kids;
        return add(std::move(node));
    }

    NodeId bracket() {
        const std::size_t at = token_.at;
        if (take("(")) {
            const NodeId inner = expression();
            want(")");
            return inner;
        }
        Node node;
        node.at = at;
        if (take("[")) {
            node.kind = Node::Kind::list;
            node.kids = list("]");
            return add(std::move(node));
        }
        if (take("{")) {
            node.kind = Node::Kind::map;
            while (!is("}")) {
                node.kids.push_back(expression());
                want(":");
                node.kids.push_back(expression());
                if (!take(",")) break;
            }
            want("}");
            return add(std::move(node));
        }
        if (take(".")) {   // a name from the top, never a macro's variable
            node.kind = Node::Kind::name;
            node.name = "." + selector();
            if (is("(")) throw LoadError(token_.at, "functions have no leading '.'");
            return add(std::move(node));
        }
        throw LoadError(at, "'" + shown() + "' stands where a value is missing");
    }

    Tree& tree_;
    Lexer lexer_;
    Token token_;
    std::size_t depth_ = 0;
};

}   // namespace

std::string describe(const LoadError& error, std::string_view source) {
    const std::size_t at = std::min(error.at, source.size());
    std::size_t from = at == 0 ? std::string_view::npos : source.rfind('\n', at - 1);
    from = from == std::string_view::npos ? 0 : from + 1;
    std::size_t to = std::min(source.find('\n', at), source.size());
    const auto line =
        1 + std::count(source.begin(), source.begin() + static_cast<std::ptrdiff_t>(from), '\n');
    const std::size_t column = code_points(source.substr(from, at - from)) + 1;
    constexpr std::size_t kShown = 60;   // bytes on either side
    if (at - from > kShown) from = at - kShown;
    if (to - at > kShown) to = at + kShown;
    const auto within = [&](std::size_t place) {   // not in the middle of a code point
        return place > 0 && place < source.size() &&
               (static_cast<unsigned char>(source[place]) & 0xc0) == 0x80;
    };
    while (within(from)) ++from;
    while (within(to)) ++to;
    std::string shown(source.substr(from, to - from));
    for (char& c : shown)
        if (static_cast<unsigned char>(c) < 0x20) c = ' ';
    const std::size_t blanks = at > from ? code_points(source.substr(from, at - from)) : 0;
    return std::to_string(line) + ":" + std::to_string(column) + ": " + error.what() + "\n  | " + shown +
           "\n  | " + std::string(blanks, ' ') + "^";
}

Tree parse(std::string source) {
    Tree tree;
    tree.source = std::move(source);
    if (tree.source.size() > kSourceMost)
        throw LoadError(0, "longer than " + std::to_string(kSourceMost) + " bytes");
    if (!valid_utf8(tree.source)) throw LoadError(0, "not UTF-8");
    tree.root = Parser(tree).all();
    return tree;
}

}   // namespace slatejunction::expr
