#include "expr/function_costs.hpp"

#include <algorithm>

#include "expr/value_bounds.hpp"

namespace slatejunction::expr {

using cost::plus;
using cost::times;
using cost::Units;

Estimate estimate_function(Fn function, cost::Units pattern_size, const std::vector<Bound>& arguments,
                           cost::Units cost) {
    const Units size = arguments[0].size;
    const Units other = arguments.size() > 1 ? arguments[1].size : 0;
    switch (function) {
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
            const Units places = plus(size, 1);
            const Units made = plus(size, times(places, arguments[2].size));
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
