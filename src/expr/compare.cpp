#include "expr/compare.hpp"

#include <cmath>
#include <cstring>
#include <optional>

#include "expr/errors.hpp"
#include "expr/number_range.hpp"

namespace slatejunction::expr {
namespace {

using cost::Units;

// `none`: one of the two is not a number (NaN).
enum class Order { less, same, greater, none };

template <class T>
Order order(const T& left, const T& right) {
    if (left < right) return Order::less;
    if (right < left) return Order::greater;
    return left == right ? Order::same : Order::none;
}

Order reversed(Order order) {
    if (order == Order::less) return Order::greater;
    if (order == Order::greater) return Order::less;
    return order;
}

// The order of a whole number and a double that lies within the range of the whole number's type. The
// double is cut to a whole number first, as not every whole number of 64 bits is a double.
template <class Whole>
Order order_within_range(Whole left, double right) {
    const auto whole = static_cast<Whole>(right);
    const Order by_whole = order(left, whole);
    if (by_whole != Order::same) return by_whole;
    return order(0.0, right - static_cast<double>(whole));
}

// The order of an int or uint and a double.
Order order_whole_and_real(const Value& left, double right) {
    if (std::isnan(right)) return Order::none;
    if (left.is(Kind::integer)) {
        if (right < -kTwo63) return Order::greater;
        if (right >= kTwo63) return Order::less;
        return order_within_range(left.integer(), right);
    }
    if (right < 0) return Order::greater;
    if (right >= kTwo64) return Order::less;
    return order_within_range(left.natural(), right);
}

// The order of an int and a uint.
Order order_integer_and_natural(std::int64_t left, std::uint64_t right) {
    if (left < 0) return Order::less;
    return order(static_cast<std::uint64_t>(left), right);
}

// Numbers of different kinds compare by what they stand for.
Order order_numbers(const Value& left, const Value& right) {
    if (left.is(Kind::real) && right.is(Kind::real)) return order(left.real(), right.real());
    if (right.is(Kind::real)) return order_whole_and_real(left, right.real());
    if (left.is(Kind::real)) return reversed(order_whole_and_real(right, left.real()));
    if (left.is(Kind::integer) && right.is(Kind::integer)) return order(left.integer(), right.integer());
    if (left.is(Kind::natural) && right.is(Kind::natural)) return order(left.natural(), right.natural());
    if (left.is(Kind::integer)) return order_integer_and_natural(left.integer(), right.natural());
    return reversed(order_integer_and_natural(right.integer(), left.natural()));
}

Order order_times(const Value& left, const Value& right) {
    const Order by_seconds = order(left.seconds(), right.seconds());
    return by_seconds != Order::same ? by_seconds : order(left.nanos(), right.nanos());
}

Order order_bytes(const Value& left, const Value& right, Units& spent) {
    spent = cost::plus(spent, cost::compare(left.size(), right.size()));
    return order(left.view().compare(right.view()), 0);
}

// Nothing where the two have no order.
std::optional<Order> order_values(const Value& left, const Value& right, Units& spent) {
    if (left.is_number() && right.is_number()) return order_numbers(left, right);
    if (left.kind() != right.kind()) return std::nullopt;
    switch (left.kind()) {
        case Kind::boolean:
            return order(left.truth(), right.truth());
        case Kind::text:
        case Kind::bytes:
            return order_bytes(left, right, spent);
        case Kind::timestamp:
        case Kind::duration:
            return order_times(left, right);
        default:
            return std::nullopt;
    }
}

bool equal_lists(const Value& left, const Value& right, Units& spent) {
    if (left.size() != right.size()) return false;
    for (std::size_t i = 0; i < left.size(); ++i)
        if (!equal(left.items()[i], right.items()[i], spent)) return false;
    return true;
}

bool equal_maps(const Value& left, const Value& right, Units& spent) {
    if (left.size() != right.size()) return false;
    for (const Pair& pair : left.pairs()) {
        const Value* other = find_value(right, pair.key, spent);
        if (!other || !equal(pair.value, *other, spent)) return false;
    }
    return true;
}

bool equal_addresses(const Value& left, const Value& right) {
    return left.v4() == right.v4() && std::memcmp(left.address().data(), right.address().data(), 16) == 0;
}

}   // namespace

const Value* find_value(const Value& map, const Value& key, Units& spent) {
    Units bytes = 0;
    Units ignored = 0;
    const Value* found = nullptr;
    for (const Pair& pair : map.pairs()) {
        if (pair.key.is(Kind::text) && key.is(Kind::text)) {
            if (pair.key.size() != key.size()) continue;
            bytes += key.size();
            if (pair.key.view() != key.view()) continue;
        } else if (!equal(pair.key, key, ignored)) {
            continue;
        }
        found = &pair.value;
        break;
    }
    spent = cost::plus(spent, cost::find(map.size(), bytes));
    return found;
}

bool equal(const Value& left, const Value& right, Units& spent) {
    spent = cost::plus(spent, 1);
    if (left.is_number() && right.is_number()) return order_numbers(left, right) == Order::same;
    if (left.kind() != right.kind()) return false;
    switch (left.kind()) {
        case Kind::null:
            return true;
        case Kind::type:
            return left.type() == right.type();
        case Kind::ip:
            return equal_addresses(left, right);
        case Kind::list:
            return equal_lists(left, right, spent);
        case Kind::map:
            return equal_maps(left, right, spent);
        case Kind::text:
        case Kind::bytes:
            return left.size() == right.size() && order_bytes(left, right, spent) == Order::same;
        default:
            return order_values(left, right, spent) == Order::same;
    }
}

Value compare(Op op, const Value& left, const Value& right, Units& spent) {
    if (left.is_error()) return left;
    if (right.is_error()) return right;
    if (op == Op::equal || op == Op::unequal)
        return Value::boolean(equal(left, right, spent) == (op == Op::equal));
    const std::optional<Order> order = order_values(left, right, spent);
    if (!order) return no_overload();
    switch (op) {
        case Op::less:
            return Value::boolean(*order == Order::less);
        case Op::less_equal:
            return Value::boolean(*order == Order::less || *order == Order::same);
        case Op::greater:
            return Value::boolean(*order == Order::greater);
        default:
            return Value::boolean(*order == Order::greater || *order == Order::same);
    }
}

}   // namespace slatejunction::expr
