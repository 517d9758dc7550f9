// Lists and maps: making them, their elements, and whether they contain a value.
#pragma once

#include <span>

#include "expr/context.hpp"
#include "expr/value.hpp"

namespace slatejunction::expr {

/// A list of copies of `items`, or the first error among them.
Value make_list(std::span<const Value> items, Context& context);

/// A map of `keys_and_values`, which holds each key in front of its value. The result is the first error
/// among them where there is one, and an error for a key of a kind that keys cannot be of or that comes
/// twice.
Value make_map(std::span<const Value> keys_and_values, Context& context);

/// Whether `range` (a list or the keys of a map) contains `item`.
Value contains(const Value& item, const Value& range, Context& context);

/// `collection[key]`: an item of a list, by a whole number of any kind from 0, or a value of a map.
Value element(const Value& collection, const Value& key, Context& context);

/// Whether `map` has `key`; an error when it is no map.
Value has_key(const Value& map, const Value& key, Context& context);

}   // namespace slatejunction::expr
