#include "expr/convert.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include "expr/errors.hpp"
#include "expr/number_range.hpp"
#include "expr/time.hpp"

namespace slatejunction::expr {
namespace {

constexpr std::string_view kNotAnInt = "out of the range of int";
constexpr std::string_view kNotAUint = "out of the range of uint";
constexpr std::string_view kNotUtf8 = "not UTF-8";
constexpr std::string_view kNoAddress = "no address";

// The whole text as a number, which may have a sign; nothing when it is none or out of the type's range.
template <class Number>
std::optional<Number> read_number(std::string_view text) {
    if (text.starts_with('+')) text.remove_prefix(1);
    if (text.empty()) return std::nullopt;
    Number number{};
    const char* const text_end = text.data() + text.size();
    const auto [end, fault] = std::from_chars(text.data(), text_end, number);
    if (fault != std::errc() || end != text_end) return std::nullopt;
    return number;
}

Value to_ip(const Value& value, Context& context) {
    if (!value.is(Kind::text)) return no_overload();
    if (value.size() > cost::kAddressText) return Value::error(kNoAddress);
    std::array<char, cost::kAddressText + 1> word{};   // inet_pton() wants a 0 at the end
    std::copy(value.view().begin(), value.view().end(), word.begin());
    auto* const address = static_cast<unsigned char*>(context.arena.take(16));
    std::fill_n(address, 16, static_cast<unsigned char>(0));
    if (::inet_pton(AF_INET, word.data(), address + 12) == 1) {
        address[10] = address[11] = 0xff;   // ::ffff:a.b.c.d
        return Value::ip(address, true);
    }
    if (::inet_pton(AF_INET6, word.data(), address) == 1) return Value::ip(address, false);
    return Value::error(kNoAddress);
}

Value natural_to_int(std::uint64_t natural) {
    if (natural >> 63) return Value::error(kNotAnInt);
    return Value::integer(static_cast<std::int64_t>(natural));
}

Value real_to_int(double real) {
    if (!(real > -kTwo63 && real < kTwo63)) return Value::error(kNotAnInt);
    return Value::integer(static_cast<std::int64_t>(real));
}

Value to_int(const Value& value) {
    switch (value.kind()) {
        case Kind::integer:
            return value;
        case Kind::natural:
            return natural_to_int(value.natural());
        case Kind::real:
            return real_to_int(value.real());
        case Kind::timestamp:
            return Value::integer(value.seconds());
        case Kind::text: {
            const auto number = read_number<std::int64_t>(value.view());
            return number ? Value::integer(*number) : Value::error("no int");
        }
        default:
            return no_overload();
    }
}

Value integer_to_uint(std::int64_t integer) {
    if (integer < 0) return Value::error(kNotAUint);
    return Value::natural(static_cast<std::uint64_t>(integer));
}

Value real_to_uint(double real) {
    if (!(real >= 0 && real < kTwo64)) return Value::error(kNotAUint);
    return Value::natural(static_cast<std::uint64_t>(real));
}

Value to_uint(const Value& value) {
    switch (value.kind()) {
        case Kind::natural:
            return value;
        case Kind::integer:
            return integer_to_uint(value.integer());
        case Kind::real:
            return real_to_uint(value.real());
        case Kind::text: {
            const auto number = read_number<std::uint64_t>(value.view());
            return number ? Value::natural(*number) : Value::error("no uint");
        }
        default:
            return no_overload();
    }
}

Value to_double(const Value& value) {
    switch (value.kind()) {
        case Kind::real:
            return value;
        case Kind::integer:
            return Value::real(static_cast<double>(value.integer()));
        case Kind::natural:
            return Value::real(static_cast<double>(value.natural()));
        case Kind::text: {
            const auto number = read_number<double>(value.view());
            return number ? Value::real(*number) : Value::error("no double");
        }
        default:
            return no_overload();
    }
}

Value to_string(const Value& value, Context& context) {
    switch (value.kind()) {
        case Kind::text:
            return value;
        case Kind::bytes:
            return valid_utf8(value.view()) ? Value::text(value.view()) : Value::error(kNotUtf8);
        case Kind::list:
        case Kind::map:
        case Kind::null:
        case Kind::type:
            return no_overload();
        default:
            return Value::text(context.arena.copy(to_text(value)));
    }
}

Value to_bytes(const Value& value) {
    if (!value.is(Kind::text) && !value.is(Kind::bytes)) return no_overload();
    return Value::bytes(value.view());
}

Value to_bool(const Value& value) {
    if (value.is(Kind::boolean)) return value;
    if (!value.is(Kind::text)) return no_overload();
    for (const std::string_view yes : {"true", "True", "TRUE", "t", "1"})
        if (value.view() == yes) return Value::boolean(true);
    for (const std::string_view no : {"false", "False", "FALSE", "f", "0"})
        if (value.view() == no) return Value::boolean(false);
    return Value::error("no bool");
}

Value integer_to_timestamp(std::int64_t seconds) {
    if (seconds < kFirstSecond || seconds > kLastSecond) return Value::error(kTimeRange);
    return Value::timestamp(seconds, 0);
}

Value to_timestamp(const Value& value) {
    if (value.is(Kind::timestamp)) return value;
    if (value.is(Kind::integer)) return integer_to_timestamp(value.integer());
    if (!value.is(Kind::text)) return no_overload();
    const auto moment = read_timestamp(value.view());
    return moment ? Value::timestamp(moment->seconds, moment->nanos) : Value::error("no timestamp");
}

Value to_duration(const Value& value) {
    if (value.is(Kind::duration)) return value;
    if (!value.is(Kind::text)) return no_overload();
    const auto moment = read_duration(value.view());
    return moment ? Value::duration(moment->seconds, moment->nanos) : Value::error("no duration");
}

cost::Units cost_of(const Value& value) {
    if (!value.is(Kind::text) && !value.is(Kind::bytes)) return cost::kTime;
    return cost::plus(cost::kTime, cost::walk(value.size()));
}

}   // namespace

Value convert(Fn conversion, const Value& value, Context& context) {
    if (!context.spend(cost_of(value))) return over_bound();
    switch (conversion) {
        case Fn::to_ip:
            return to_ip(value, context);
        case Fn::to_int:
            return to_int(value);
        case Fn::to_uint:
            return to_uint(value);
        case Fn::to_double:
            return to_double(value);
        case Fn::to_string:
            return to_string(value, context);
        case Fn::to_bytes:
            return to_bytes(value);
        case Fn::to_bool:
            return to_bool(value);
        case Fn::to_timestamp:
            return to_timestamp(value);
        case Fn::to_duration:
            return to_duration(value);
        default:
            return no_overload();
    }
}

}   // namespace slatejunction::expr
