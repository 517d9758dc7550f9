#include "expr/arithmetic.hpp"

#include <algorithm>
#include <limits>
#include <span>

#include "expr/errors.hpp"
#include "expr/time.hpp"

namespace slatejunction::expr {
namespace {

constexpr std::string_view kIntOverflow = "int overflow";
constexpr std::string_view kUintOverflow = "uint overflow";
constexpr std::string_view kDivisionByZero = "division by zero";
constexpr std::int64_t kLeastInteger = std::numeric_limits<std::int64_t>::min();

Value integers(Op op, std::int64_t left, std::int64_t right) {
    std::int64_t result = 0;
    bool overflow = false;
    switch (op) {
        case Op::add:
            overflow = __builtin_add_overflow(left, right, &result);
            break;
        case Op::subtract:
            overflow = __builtin_sub_overflow(left, right, &result);
            break;
        case Op::multiply:
            overflow = __builtin_mul_overflow(left, right, &result);
            break;
        default:
            if (right == 0) return Value::error(kDivisionByZero);
            overflow = left == kLeastInteger && right == -1;
            if (!overflow) result = op == Op::divide ? left / right : left % right;
    }
    return overflow ? Value::error(kIntOverflow) : Value::integer(result);
}

Value naturals(Op op, std::uint64_t left, std::uint64_t right) {
    std::uint64_t result = 0;
    bool overflow = false;
    switch (op) {
        case Op::add:
            overflow = __builtin_add_overflow(left, right, &result);
            break;
        case Op::subtract:
            overflow = __builtin_sub_overflow(left, right, &result);
            break;
        case Op::multiply:
            overflow = __builtin_mul_overflow(left, right, &result);
            break;
        default:
            if (right == 0) return Value::error(kDivisionByZero);
            result = op == Op::divide ? left / right : left % right;
    }
    return overflow ? Value::error(kUintOverflow) : Value::natural(result);
}

Value reals(Op op, double left, double right) {
    switch (op) {
        case Op::add:
            return Value::real(left + right);
        case Op::subtract:
            return Value::real(left - right);
        case Op::multiply:
            return Value::real(left * right);
        case Op::divide:
            return Value::real(left / right);
        default:
            return no_overload();
    }
}

bool is_time(const Value& value) { return value.is(Kind::timestamp) || value.is(Kind::duration); }

// Two timestamps can only be subtracted, and a timestamp can not be subtracted from a duration.
bool times_fit(Op op, bool left_is_timestamp, bool right_is_timestamp) {
    if (op == Op::add) return !left_is_timestamp || !right_is_timestamp;
    if (op == Op::subtract) return left_is_timestamp || !right_is_timestamp;
    return false;
}

Value times(Op op, const Value& left, const Value& right) {
    const bool left_is_timestamp = left.is(Kind::timestamp);
    const bool right_is_timestamp = right.is(Kind::timestamp);
    if (!times_fit(op, left_is_timestamp, right_is_timestamp)) return no_overload();
    const int sign = op == Op::add ? 1 : -1;
    const bool timestamp = left_is_timestamp != right_is_timestamp;
    const auto sum = add({left.seconds(), left.nanos()}, {right.seconds(), right.nanos()}, sign, timestamp);
    if (!sum) return Value::error(kTimeRange);
    return timestamp ? Value::timestamp(sum->seconds, sum->nanos)
                     : Value::duration(sum->seconds, sum->nanos);
}

Value join_lists(const Value& left, const Value& right, Context& context) {
    const std::size_t size = std::size_t{left.size()} + right.size();
    if (!context.spend(cost::make(size, 0))) return over_bound();
    const std::span<Value> all = context.arena.array<Value>(size);
    const auto middle = std::copy(left.items().begin(), left.items().end(), all.begin());
    std::copy(right.items().begin(), right.items().end(), middle);
    return Value::list(all);
}

// Two texts, or two values of bytes.
Value join_bytes(const Value& left, const Value& right, Context& context) {
    const std::size_t size = std::size_t{left.size()} + right.size();
    if (!context.spend(cost::make(1, size))) return over_bound();
    char* const to = context.arena.chars(size);
    char* const middle = std::copy(left.view().begin(), left.view().end(), to);
    std::copy(right.view().begin(), right.view().end(), middle);
    return left.is(Kind::text) ? Value::text({to, size}) : Value::bytes({to, size});
}

}   // namespace

Value arithmetic(Op op, const Value& left, const Value& right, Context& context) {
    if (left.is_error()) return left;
    if (right.is_error()) return right;
    if (left.kind() != right.kind())
        return is_time(left) && is_time(right) ? times(op, left, right) : no_overload();
    switch (left.kind()) {
        case Kind::integer:
            return integers(op, left.integer(), right.integer());
        case Kind::natural:
            return naturals(op, left.natural(), right.natural());
        case Kind::real:
            return reals(op, left.real(), right.real());
        case Kind::text:
        case Kind::bytes:
            return op == Op::add ? join_bytes(left, right, context) : no_overload();
        case Kind::list:
            return op == Op::add ? join_lists(left, right, context) : no_overload();
        case Kind::timestamp:
        case Kind::duration:
            return times(op, left, right);
        default:
            return no_overload();
    }
}

Value negate(const Value& value) {
    if (value.is(Kind::real)) return Value::real(-value.real());
    if (!value.is(Kind::integer)) return error_or_no_overload(value);
    if (value.integer() == kLeastInteger) return Value::error(kIntOverflow);
    return Value::integer(-value.integer());
}

Value invert(const Value& value) {
    return value.is(Kind::boolean) ? Value::boolean(!value.truth()) : error_or_no_overload(value);
}

}   // namespace slatejunction::expr
