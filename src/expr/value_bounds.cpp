#include "expr/value_bounds.hpp"

namespace slatejunction::expr {

using cost::plus;
using cost::times;
using cost::Units;

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

Units traversal_cost(const Bound& bound) {
    Units units = plus(1, cost::sweep(bound.size));
    if (bound.of.size() == 1) units = plus(units, times(bound.size, traversal_cost(bound.of[0])));
    if (bound.of.size() == 2) {
        const Bound& key = bound.of[0];
        const Units each = plus(cost::find(bound.size, times(bound.size, key.size)),
                                traversal_cost(bound.of[1]), traversal_cost(key));
        units = plus(units, times(bound.size, each));
    }
    return units;
}

Units equality_cost(const Bound& a, const Bound& b) {
    if (a.of.empty() && b.of.empty()) return plus(1, cost::compare(a.size, b.size));
    return plus(traversal_cost(a), traversal_cost(b));
}

}   // namespace slatejunction::expr
