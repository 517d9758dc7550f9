#include <array>
#include <charconv>
#include <cstdio>

#include "expr/syntax.hpp"

namespace slatejunction::expr {
namespace {

using Kind = Node::Kind;

struct Sign {
    std::string_view name, text;
    int rank;   // higher binds tighter
};
constexpr std::array<Sign, 14> kSigns{{{"_||_", "||", 1},
                                       {"_&&_", "&&", 2},
                                       {"_==_", "==", 3},
                                       {"_!=_", "!=", 3},
                                       {"_<_", "<", 3},
                                       {"_<=_", "<=", 3},
                                       {"_>_", ">", 3},
                                       {"_>=_", ">=", 3},
                                       {"@in", "in", 3},
                                       {"_+_", "+", 4},
                                       {"_-_", "-", 4},
                                       {"_*_", "*", 5},
                                       {"_/_", "/", 5},
                                       {"_%_", "%", 5}}};
constexpr int kTernary = 0, kUnary = 6, kMember = 7, kPrimary = 8;

const Sign* sign_of(const Node& node) {
    if (node.kind != Kind::call || node.member) return nullptr;
    for (const Sign& sign : kSigns)
        if (sign.name == node.name) return &sign;
    return nullptr;
}

bool is_number(const Node& node) {
    return node.kind == Kind::integer || node.kind == Kind::natural || node.kind == Kind::real;
}

int rank_of(const Node& node) {
    if (const Sign* sign = sign_of(node)) return sign->rank;
    if (node.kind == Kind::call && node.name == "_?_:_") return kTernary;
    if (node.kind == Kind::call && (node.name == "!_" || node.name == "-_")) return kUnary;
    return is_number(node) ? kUnary : kPrimary;   // a number as a target stands in brackets
}

std::string quoted(const std::string& text, bool bytes) {
    std::string all = bytes ? "b\"" : "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            all += '\\';
            all += c;
        } else if (byte < 0x20 || byte == 0x7f || (bytes && byte > 0x7f)) {
            char code[8];
            std::snprintf(code, sizeof code, "\\x%02x", byte);
            all += code;
        } else {
            all += c;
        }
    }
    return all + "\"";
}

std::string number(double value) {
    std::array<char, 40> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    std::string text(digits.data(), end.ptr);
    return text.find_first_of(".e") == std::string::npos ? text + ".0" : text;
}

class Printer {
  public:
    explicit Printer(const Tree& tree) : tree_(tree) {}
    std::string text;

    void put(NodeId id, int least) {
        const Node& node = tree_[id];
        const bool bracket = rank_of(node) < least;
        if (bracket) text += "(";
        put(node);
        if (bracket) text += ")";
    }

  private:
    void put_all(const Node& node, std::size_t first) {
        for (std::size_t i = first; i < node.kids.size(); ++i) {
            if (i > first) text += ", ";
            put(node.kids[i], kTernary);
        }
    }

    void put(const Node& node) {
        switch (node.kind) {
            case Kind::null:
                text += "null";
                break;
            case Kind::boolean:
                text += node.boolean ? "true" : "false";
                break;
            case Kind::integer:
                text += std::to_string(node.integer);
                break;
            case Kind::natural:
                text += std::to_string(node.natural) + "u";
                break;
            case Kind::real:
                text += number(node.real);
                break;
            case Kind::text:
            case Kind::bytes:
                text += quoted(node.name, node.kind == Kind::bytes);
                break;
            case Kind::name:
                text += node.name;
                break;
            case Kind::select:
                put(node.kids[0], kMember);
                text += "." + node.name;
                break;
            case Kind::has:
                text += "has(";
                put(node.kids[0], kMember);
                text += "." + node.name + ")";
                break;
            case Kind::list:
                text += "[";
                put_all(node, 0);
                text += "]";
                break;
            case Kind::map:
                text += "{";
                for (std::size_t i = 0; i < node.kids.size(); i += 2) {
                    if (i > 0) text += ", ";
                    put(node.kids[i], kTernary);
                    text += ": ";
                    put(node.kids[i + 1], kTernary);
                }
                text += "}";
                break;
            case Kind::macro:
                put(node.kids[0], kMember);
                text += "." + node.name + "(" + node.variable + ", ";
                put_all(node, 1);
                text += ")";
                break;
            case Kind::call:
                put_call(node);
                break;
        }
    }

    void put_call(const Node& node) {
        if (const Sign* sign = sign_of(node)) {
            // Chains of && and || are one node: a kid of the same sign stood in brackets.
            const bool chain = sign->rank <= 2;
            for (std::size_t i = 0; i < node.kids.size(); ++i) {
                if (i > 0) text += " " + std::string(sign->text) + " ";
                put(node.kids[i], sign->rank + (chain || i > 0 ? 1 : 0));
            }
        } else if (node.name == "_?_:_" && !node.member) {
            put(node.kids[0], kTernary + 1);
            text += " ? ";
            put(node.kids[1], kTernary + 1);
            text += " : ";
            put(node.kids[2], kTernary);
        } else if ((node.name == "!_" || node.name == "-_") && !node.member) {
            text += node.name[0];
            // A minus before a number would become the number's own.
            put(node.kids[0], is_number(tree_[node.kids[0]]) ? kPrimary : kUnary);
        } else if (node.name == "_[_]" && !node.member) {
            put(node.kids[0], kMember);
            text += "[";
            put(node.kids[1], kTernary);
            text += "]";
        } else if (node.member) {
            put(node.kids[0], kMember);
            text += "." + node.name + "(";
            put_all(node, 1);
            text += ")";
        } else {
            text += node.name + "(";
            put_all(node, 0);
            text += ")";
        }
    }

    const Tree& tree_;
};

bool same(const Tree& a, NodeId x, const Tree& b, NodeId y) {
    const Node &one = a[x], &two = b[y];
    const bool reals = one.real == two.real || (one.real != one.real && two.real != two.real);
    if (one.kind != two.kind || one.boolean != two.boolean || one.member != two.member ||
        one.integer != two.integer || one.natural != two.natural || !reals || one.name != two.name ||
        one.variable != two.variable || one.kids.size() != two.kids.size())
        return false;
    for (std::size_t i = 0; i < one.kids.size(); ++i)
        if (!same(a, one.kids[i], b, two.kids[i])) return false;
    return true;
}

}   // namespace

std::string print(const Tree& tree) {
    Printer printer(tree);
    printer.put(tree.root, kTernary);
    return std::move(printer.text);
}

bool same(const Tree& a, const Tree& b) { return same(a, a.root, b, b.root); }

}   // namespace slatejunction::expr
