#include "expr/text_functions.hpp"

#include <re2/re2.h>

#include <algorithm>

#include "expr/errors.hpp"
#include "expr/text_search.hpp"

namespace slatejunction::expr {
namespace {

using cost::Units;

Value contains_text(std::string_view text, Arguments arguments, Context& context) {
    if (!argument_is(arguments, 1, Kind::text)) return no_overload();
    const std::string_view sought = arguments[1].view();
    if (!context.spend(cost::search(text.size(), sought.size()))) return over_bound();
    return Value::boolean(find_first(text, sought) != std::string_view::npos);
}

Value begins_or_ends(Fn function, std::string_view text, Arguments arguments, Context& context) {
    if (!argument_is(arguments, 1, Kind::text)) return no_overload();
    const std::string_view other = arguments[1].view();
    if (!context.spend(cost::compare(text.size(), other.size()))) return over_bound();
    return Value::boolean(function == Fn::starts_with ? text.starts_with(other) : text.ends_with(other));
}

Value match(Fn function, std::string_view text, const RE2& pattern, Context& context) {
    if (!context.spend(cost::match(text.size(), static_cast<Units>(pattern.ProgramSize()))))
        return over_bound();
    const RE2::Anchor anchor = function == Fn::glob ? RE2::ANCHOR_BOTH : RE2::UNANCHORED;
    const re2::StringPiece whole(text.data(), text.size());
    return Value::boolean(pattern.Match(whole, 0, text.size(), anchor, nullptr, 0));
}

// The code points from `from` up to, but not with, `to` of a text of `size` of them.
Value slice(std::string_view text, std::int64_t from, std::int64_t to, std::int64_t size) {
    if (from < 0 || from > size || to < from || to > size) return Value::error(kOutOfRange);
    const std::size_t first = byte_of(text, static_cast<std::size_t>(from));
    const std::size_t last = byte_of(text, static_cast<std::size_t>(to));
    return Value::text(text.substr(first, last - first));
}

// charAt() just behind the end gives the empty text.
Value char_at(std::string_view text, std::int64_t place, std::int64_t size) {
    const std::int64_t behind = place < size ? place + 1 : place;
    return slice(text, place, std::min(size, behind), size);
}

// Whether the second and, where there is one, the third argument are of those kinds.
bool one_or_two_follow(Arguments arguments, Kind second, Kind third) {
    return argument_is(arguments, 1, second) && (arguments.size() != 3 || arguments[2].is(third));
}

Value part(Fn function, std::string_view text, Arguments arguments, Context& context) {
    if (!one_or_two_follow(arguments, Kind::integer, Kind::integer)) return no_overload();
    if (!context.spend(cost::times(3, cost::walk(text.size())))) return over_bound();
    const auto size = static_cast<std::int64_t>(code_points(text));
    const std::int64_t from = arguments[1].integer();
    if (function == Fn::char_at) return char_at(text, from, size);
    return slice(text, from, arguments.size() == 3 ? arguments[2].integer() : size, size);
}

// indexOf() and lastIndexOf(): the third argument is the place at which the search begins.
Value place_of(Fn function, std::string_view text, Arguments arguments, Context& context) {
    if (!one_or_two_follow(arguments, Kind::text, Kind::integer)) return no_overload();
    const std::string_view sought = arguments[1].view();
    if (!context.spend(cost::times(4, cost::search(text.size(), sought.size())))) return over_bound();
    const auto size = static_cast<std::int64_t>(code_points(text));
    const bool first = function == Fn::index_of;
    const std::int64_t outermost = first ? 0 : size;
    const std::int64_t from = arguments.size() == 3 ? arguments[2].integer() : outermost;
    if (from < 0 || from > size) return Value::error(kOutOfRange);
    const std::size_t from_byte = byte_of(text, static_cast<std::size_t>(from));
    const std::size_t at =
        first ? find_first(text, sought, from_byte) : find_last(text, sought, from_byte, context.arena);
    if (at == std::string_view::npos) return Value::integer(-1);
    return Value::integer(static_cast<std::int64_t>(code_points(text.substr(0, at))));
}

constexpr char kToOtherCase = 'a' - 'A';
char lower_ascii(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + kToOtherCase) : c; }
char upper_ascii(char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - kToOtherCase) : c; }

Value change_case(Fn function, std::string_view text, Context& context) {
    if (!context.spend(cost::plus(1, cost::walk(text.size())))) return over_bound();
    char* const to = context.arena.chars(text.size());
    if (function == Fn::lower)
        std::transform(text.begin(), text.end(), to, lower_ascii);
    else
        std::transform(text.begin(), text.end(), to, upper_ascii);
    return Value::text({to, text.size()});
}

Value trim(std::string_view text, Context& context) {
    if (!context.spend(cost::walk(text.size()))) return over_bound();
    constexpr std::string_view kBlanks = " \t\n\v\f\r";
    const std::size_t first = text.find_first_not_of(kBlanks);
    if (first == std::string_view::npos) return Value::text({});
    return Value::text(text.substr(first, text.find_last_not_of(kBlanks) + 1 - first));
}

}   // namespace

Value call_text_function(const Program& program, const Instruction& call, Arguments arguments,
                         Context& context) {
    const std::string_view text = arguments[0].view();
    switch (call.fn) {
        case Fn::contains:
            return contains_text(text, arguments, context);
        case Fn::starts_with:
        case Fn::ends_with:
            return begins_or_ends(call.fn, text, arguments, context);
        case Fn::matches:
        case Fn::glob:
            return match(call.fn, text, *program.patterns[call.a], context);
        case Fn::char_at:
        case Fn::substring:
            return part(call.fn, text, arguments, context);
        case Fn::index_of:
        case Fn::last_index_of:
            return place_of(call.fn, text, arguments, context);
        case Fn::lower:
        case Fn::upper:
            return change_case(call.fn, text, context);
        case Fn::trim:
            return trim(text, context);
        default:
            return no_overload();
    }
}

}   // namespace slatejunction::expr
