#include "expr/split_join.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>

#include "expr/errors.hpp"
#include "expr/text_search.hpp"

namespace slatejunction::expr {
namespace {

using cost::Units;
constexpr std::size_t kNone = std::string_view::npos;

// Whether the arguments 1 to `last` are texts.
bool texts_follow(Arguments arguments, std::size_t last) {
    for (std::size_t number = 1; number <= last; ++number)
        if (!argument_is(arguments, number, Kind::text)) return false;
    return true;
}

// The argument `number`, or -1 when there is none; nothing when it is no int.
std::optional<std::int64_t> limit_argument(Arguments arguments, std::size_t number) {
    if (arguments.size() <= number) return -1;
    if (!arguments[number].is(Kind::integer)) return std::nullopt;
    return arguments[number].integer();
}

// A negative limit is none.
bool below(std::size_t count, std::int64_t limit) {
    return limit < 0 || count < static_cast<std::uint64_t>(limit);
}

bool continues_code_point(char byte) { return (static_cast<unsigned char>(byte) & 0xc0) == 0x80; }

// Where the code point behind the one at `from` begins, which is the text's size for the last one; kNone
// from the end on.
std::size_t next_code_point(std::string_view text, std::size_t from) {
    if (from >= text.size()) return kNone;
    std::size_t at = from + 1;
    while (at < text.size() && continues_code_point(text[at])) ++at;
    return at;
}

std::size_t next_separator(std::string_view text, std::string_view separator, std::size_t from) {
    if (!separator.empty()) return find_first(text, separator, from);
    const std::size_t at = next_code_point(text, from);
    return at == text.size() ? kNone : at;
}

std::size_t count_parts(std::string_view text, std::string_view separator, std::int64_t most) {
    std::size_t parts = 1;
    std::size_t at = next_separator(text, separator, 0);
    while (at != kNone && below(parts, most)) {
        ++parts;
        at = next_separator(text, separator, at + separator.size());
    }
    return parts;
}

std::size_t first_old(std::string_view text, std::string_view old) {
    return old.empty() ? 0 : find_first(text, old);
}

std::size_t next_old(std::string_view text, std::string_view old, std::size_t from) {
    return old.empty() ? next_code_point(text, from) : find_first(text, old, from);
}

std::size_t count_olds(std::string_view text, std::string_view old, std::int64_t most) {
    std::size_t count = 0;
    std::size_t at = first_old(text, old);
    while (at != kNone && below(count, most)) {
        ++count;
        at = next_old(text, old, at + old.size());
    }
    return count;
}

char* append(char* to, std::string_view text) { return std::copy(text.begin(), text.end(), to); }

// The bytes of all texts with a separator behind each; nothing when one is no text.
std::optional<Units> joined_size(std::span<const Value> texts, std::string_view separator) {
    Units size = 0;
    for (const Value& one : texts) {
        if (!one.is(Kind::text)) return std::nullopt;
        size += one.size() + separator.size();
    }
    return size;
}

}   // namespace

Value join(Arguments arguments, Context& context) {
    if (!arguments[0].is(Kind::list)) return no_overload();
    if (arguments.size() == 2 && !arguments[1].is(Kind::text)) return no_overload();
    const std::string_view separator = arguments.size() == 2 ? arguments[1].view() : std::string_view();
    const std::span<const Value> texts = arguments[0].items();
    const std::optional<Units> size = joined_size(texts, separator);
    if (!size) return no_overload();
    if (!context.spend(cost::make(Units{texts.size()} + 1, *size))) return over_bound();
    char* const begin = context.arena.chars(*size);
    char* end = begin;
    for (std::size_t number = 0; number < texts.size(); ++number) {
        if (number > 0) end = append(end, separator);
        end = append(end, texts[number].view());
    }
    return Value::text({begin, static_cast<std::size_t>(end - begin)});
}

Value split(Arguments arguments, Context& context) {
    if (!texts_follow(arguments, 1)) return no_overload();
    const std::optional<std::int64_t> most = limit_argument(arguments, 2);
    if (!most) return no_overload();
    const std::string_view text = arguments[0].view();
    const std::string_view separator = arguments[1].view();
    if (!context.spend(cost::times(2, cost::search(text.size(), separator.size())))) return over_bound();
    if (*most == 0 || (text.empty() && separator.empty())) return Value::list({});
    const std::size_t count = count_parts(text, separator, *most);
    if (!context.spend(cost::make(count, 0))) return over_bound();
    const std::span<Value> parts = context.arena.array<Value>(count);
    std::size_t from = 0;
    for (std::size_t number = 0; number < count; ++number) {
        const bool last = number + 1 == count;
        const std::size_t to = last ? text.size() : next_separator(text, separator, from);
        parts[number] = Value::text(text.substr(from, to - from));
        from = to + separator.size();
    }
    return Value::list(parts);
}

Value replace(Arguments arguments, Context& context) {
    if (!texts_follow(arguments, 2)) return no_overload();
    const std::optional<std::int64_t> most = limit_argument(arguments, 3);
    if (!most) return no_overload();
    const std::string_view text = arguments[0].view();
    const std::string_view old = arguments[1].view();
    const std::string_view fresh = arguments[2].view();
    if (!context.spend(cost::times(2, cost::search(text.size(), old.size())))) return over_bound();
    const std::size_t count = count_olds(text, old, *most);
    const Units size = Units{text.size()} + Units{count} * fresh.size();   // of the result, at most
    if (!context.spend(cost::make(count, size))) return over_bound();
    char* const begin = context.arena.chars(size);
    char* end = begin;
    std::size_t from = 0;
    std::size_t at = first_old(text, old);
    for (std::size_t number = 0; number < count; ++number) {
        end = append(end, text.substr(from, at - from));
        end = append(end, fresh);
        from = at + old.size();
        at = next_old(text, old, from);
    }
    end = append(end, text.substr(from));
    return Value::text({begin, static_cast<std::size_t>(end - begin)});
}

}   // namespace slatejunction::expr
