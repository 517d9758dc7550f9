#include "expr/collections.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

#include "expr/compare.hpp"
#include "expr/errors.hpp"
#include "expr/number_range.hpp"

namespace slatejunction::expr {
namespace {

using cost::Units;

bool may_be_key(Kind kind) {
    return kind == Kind::integer || kind == Kind::natural || kind == Kind::boolean || kind == Kind::text;
}

// The place in a list that a number stands for; nothing when it is negative or not whole.
std::optional<std::uint64_t> place_of(const Value& number) {
    if (number.is(Kind::natural)) return number.natural();
    if (number.is(Kind::integer)) {
        if (number.integer() < 0) return std::nullopt;
        return static_cast<std::uint64_t>(number.integer());
    }
    const double real = number.real();
    if (!(real >= 0 && real < kTwo63) || real != std::floor(real)) return std::nullopt;
    return static_cast<std::uint64_t>(real);
}

Value item_of(const Value& list, const Value& key) {
    if (!key.is_number()) return no_overload();
    const std::optional<std::uint64_t> place = place_of(key);
    return place && *place < list.size() ? list.items()[*place] : Value::error(kOutOfRange);
}

Value pairs_to_map(std::span<const Value> keys_and_values, Context& context) {
    const std::size_t count = keys_and_values.size() / 2;
    const std::span<Pair> pairs = context.arena.array<Pair>(count);
    Units ignored = 0;   // make_map() has spent it
    for (std::size_t i = 0; i < count; ++i) {
        const Value& key = keys_and_values[2 * i];
        if (find_value(Value::map(pairs.first(i)), key, ignored)) return Value::error("a key given twice");
        pairs[i] = {key, keys_and_values[2 * i + 1]};
    }
    return Value::map(pairs);
}

}   // namespace

Value make_list(std::span<const Value> items, Context& context) {
    if (!context.spend(cost::make(items.size(), 0))) return over_bound();
    const std::span<Value> copies = context.arena.array<Value>(items.size());
    std::copy(items.begin(), items.end(), copies.begin());
    const auto error =
        std::find_if(copies.begin(), copies.end(), [](const Value& item) { return item.is_error(); });
    return error != copies.end() ? *error : Value::list(copies);
}

Value make_map(std::span<const Value> keys_and_values, Context& context) {
    Units key_bytes = 0;   // of the longest key
    for (std::size_t i = 0; i < keys_and_values.size(); ++i) {
        const Value& one = keys_and_values[i];
        if (one.is_error()) return one;
        const bool is_key = i % 2 == 0;
        if (!is_key) continue;
        if (!may_be_key(one.kind())) return Value::error("a map's key of another type");
        if (one.is(Kind::text)) key_bytes = std::max<Units>(key_bytes, one.size());
    }
    if (!context.spend(cost::build(keys_and_values.size() / 2, key_bytes))) return over_bound();
    return pairs_to_map(keys_and_values, context);
}

Value contains(const Value& item, const Value& range, Context& context) {
    if (item.is_error()) return item;
    if (range.is_error()) return range;
    if (range.is(Kind::map)) return Value::boolean(find_value(range, item, context.spent) != nullptr);
    if (!range.is(Kind::list)) return no_overload();
    for (const Value& one : range.items())
        if (equal(item, one, context.spent)) return Value::boolean(true);
    return Value::boolean(false);
}

Value element(const Value& collection, const Value& key, Context& context) {
    if (collection.is_error()) return collection;
    if (key.is_error()) return key;
    if (collection.is(Kind::list)) return item_of(collection, key);
    if (!collection.is(Kind::map)) return no_overload();
    const Value* found = find_value(collection, key, context.spent);
    return found ? *found : Value::error(kNoKey);
}

Value has_key(const Value& map, const Value& key, Context& context) {
    if (!map.is(Kind::map)) return error_or_no_overload(map);
    return Value::boolean(find_value(map, key, context.spent) != nullptr);
}

}   // namespace slatejunction::expr
