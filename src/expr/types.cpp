#include "expr/types.hpp"

#include <algorithm>
#include <array>

namespace slatejunction::expr {
namespace {

constexpr std::array<std::string_view, 15> kNames{"none",     "dyn",    "null_type", "bool",  "int",
                                                  "uint",     "double", "string",    "bytes", "timestamp",
                                                  "duration", "type",   "ip",        "list",  "map"};

std::string_view trim(std::string_view text) {
    while (text.starts_with(' ')) text.remove_prefix(1);
    while (text.ends_with(' ')) text.remove_suffix(1);
    return text;
}

}   // namespace

std::string Type::name() const {
    std::string text(kNames[static_cast<std::size_t>(tag)]);
    if (of.empty()) return text;
    text += "(" + of[0].name();
    if (of.size() > 1) text += ", " + of[1].name();
    return text + ")";
}

bool fits(const Type& from, const Type& to) {
    if (from.open() || to.open()) return true;
    if (from.tag != to.tag) return false;
    for (std::size_t i = 0; i < from.of.size() && i < to.of.size(); ++i)
        if (!fits(from.of[i], to.of[i])) return false;
    return true;
}

Type either(const Type& a, const Type& b) {
    if (a.is(Type::Tag::none)) return b;
    if (b.is(Type::Tag::none)) return a;
    if (a.tag != b.tag) return {};
    Type both = a;
    for (std::size_t i = 0; i < both.of.size(); ++i) both.of[i] = either(a.of[i], b.of[i]);
    return both;
}

std::optional<Type> read_type(std::string_view text) {
    text = trim(text);
    const std::size_t open = text.find('(');
    const std::string_view word = trim(text.substr(0, open));
    const auto at = std::find(kNames.begin() + 1, kNames.end(), word);
    if (at == kNames.end()) return std::nullopt;
    Type type;
    type.tag = static_cast<Type::Tag>(at - kNames.begin());
    const std::size_t parts = type.is(Type::Tag::list) ? 1 : type.is(Type::Tag::map) ? 2 : 0;
    if (open == std::string_view::npos) {
        type.of.resize(parts);
        return type;
    }
    if (parts == 0 || !text.ends_with(')')) return std::nullopt;
    std::string_view inner = text.substr(open + 1, text.size() - open - 2);
    for (std::size_t i = 0; i < parts; ++i) {
        std::size_t end = 0;
        for (int depth = 0; end < inner.size() && (depth > 0 || inner[end] != ','); ++end)
            depth += (inner[end] == '(') - (inner[end] == ')');
        const auto part = read_type(inner.substr(0, end));
        if (!part || (end < inner.size()) != (i + 1 < parts)) return std::nullopt;
        type.of.push_back(*part);
        inner.remove_prefix(std::min(inner.size(), end + 1));
    }
    return type;
}

Bound either(const Bound& a, const Bound& b) {
    Bound both{std::max(a.size, b.size), a.of, std::max(a.total, b.total)};
    if (b.of.size() > both.of.size()) both.of.resize(b.of.size());
    for (std::size_t i = 0; i < b.of.size(); ++i) both.of[i] = either(both.of[i], b.of[i]);
    return both;
}

}   // namespace slatejunction::expr
