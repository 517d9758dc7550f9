#include "expr/cost_bounds.hpp"

#include <algorithm>

namespace slatejunction::expr {

using cost::plus;
using cost::times;
using cost::Units;

namespace {

// What == may cost at most with a value of that bound on its left.
Units comparison_weight(const Bound& bound) {
    Units units = plus(1, cost::sweep(bound.size));
    if (bound.of.size() == 1) units = plus(units, times(bound.size, comparison_weight(bound.of[0])));
    if (bound.of.size() == 2) {
        const Bound& key = bound.of[0];
        const Units each = plus(cost::find(bound.size, times(bound.size, key.size)),
                                comparison_weight(bound.of[1]), comparison_weight(key));
        units = plus(units, times(bound.size, each));
    }
    return units;
}

}   // namespace

Bound bound_of(const Value& value) {
    switch (value.kind()) {
        case Kind::text:
        case Kind::bytes:
            return Bound::text(value.size());
        case Kind::list: {
            Bound item;
            for (const Value& one : value.items()) item = either(item, bound_of(one));
            return Bound::list(value.size(), item);
        }
        case Kind::map: {
            Bound key, of;
            for (const Pair& one : value.pairs()) {
                key = either(key, bound_of(one.key));
                of = either(of, bound_of(one.value));
            }
            return Bound::map(value.size(), key, of);
        }
        default:
            return {};
    }
}

const Bound& part(const Bound& bound, std::size_t number) {
    static const Bound kNothing;
    return number < bound.of.size() ? bound.of[number] : kNothing;
}

Units equality_cost(const Bound& a, const Bound& b) {
    if (a.of.empty() && b.of.empty()) return plus(1, cost::compare(a.size, b.size));
    return plus(comparison_weight(a), comparison_weight(b));
}

Estimate function_estimate(Fn fn, Units pattern_size, const std::vector<Bound>& arguments, Units cost) {
    const Units size = arguments[0].size;
    const Units other = arguments.size() > 1 ? arguments[1].size : 0;
    switch (fn) {
        case Fn::size:
        case Fn::hash:
        case Fn::bucket:
            return {{}, plus(cost, cost::walk(size))};
        case Fn::contains:
            return {{}, plus(cost, cost::search(size, other))};
        case Fn::starts_with:
        case Fn::ends_with:
            return {{}, plus(cost, cost::compare(size, other))};
        case Fn::matches:
        case Fn::glob:
            return {{}, plus(cost, cost::match(size, pattern_size))};
        case Fn::index_of:
        case Fn::last_index_of:
            return {{}, plus(cost, times(4, cost::search(size, other)))};
        case Fn::char_at:
            return {Bound::text(std::min<Units>(size, 4)), plus(cost, times(3, cost::walk(size)))};
        case Fn::substring:
            return {Bound::text(size), plus(cost, times(3, cost::walk(size)))};
        case Fn::lower:
        case Fn::upper:
        case Fn::trim:
            return {Bound::text(size), plus(cost, 1, cost::walk(size))};
        case Fn::split: {
            const Units parts = plus(size, 1);
            return {Bound::list(parts, Bound::text(size)),
                    plus(cost, times(2, cost::search(size, other)), cost::make(parts, 0))};
        }
        case Fn::replace: {
            const Units places = plus(size, 1), made = plus(size, times(places, arguments[2].size));
            return {Bound::text(made),
                    plus(cost, times(2, cost::search(size, other)), cost::make(places, made))};
        }
        case Fn::join: {
            const Units made = times(size, plus(part(arguments[0], 0).size, other));
            return {Bound::text(made), plus(cost, cost::make(plus(size, 1), made))};
        }
        case Fn::to_dyn:
            return {arguments[0], cost};
        case Fn::type_of:
        case Fn::in_cidr:
            return {{}, cost};
        case Fn::to_string:
            return {Bound::text(std::max<Units>(size, std::max(cost::kTimeText, cost::kAddressText))),
                    plus(cost, cost::kTime, cost::walk(size))};
        case Fn::to_bytes:
            return {Bound::text(size), plus(cost, cost::kTime, cost::walk(size))};
        default:   // the other conversions, and parts of times
            return {{}, plus(cost, cost::kTime, cost::walk(size))};
    }
}

}   // namespace slatejunction::expr
