// The loops of CEL's macros all, exists, exists_one, map and filter.
#pragma once

#include <cstddef>
#include <cstdint>

#include "expr/context.hpp"
#include "expr/value.hpp"

namespace slatejunction::expr {

enum class Macro : std::uint8_t { all, exists, exists_one, map, filter };

/// The state of one loop while it runs.
struct Loop {
    const Value* items = nullptr;   ///< of a list, else null
    const Pair* pairs = nullptr;    ///< of a map, else null
    std::size_t count = 0;          ///< items or pairs
    std::size_t next = 0;           ///< the number of the next one
    std::size_t made = 0;           ///< values in `out`; of exists_one: items that are true
    Value* out = nullptr;           ///< the result's items, of map and filter
    Value result;                   ///< of all and exists, where it is known before the end; else null
    Value error;                    ///< null: none
    Value item;                     ///< the one that the round is about
    bool over = false;              ///< no more rounds
};

/// A loop over `range`, which must be a list or a map, of which it takes the keys.
Loop begin_loop(Macro macro, const Value& range, Context& context);

/// Takes the next item into loop.item. False when the loop has ended.
inline bool next_item(Loop& loop) {
    if (loop.over || loop.next == loop.count) return false;
    loop.item = loop.pairs ? loop.pairs[loop.next].key : loop.items[loop.next];
    ++loop.next;
    return true;
}

/// Takes the value of the round's filter: whether the round is to run. One that is no bool ends the loop
/// with an error.
bool take_filter(Loop& loop, const Value& keep);

/// Takes the value of the round.
void take_round(Loop& loop, Macro macro, const Value& value);

/// The value of the loop when it has ended.
Value loop_result(const Loop& loop, Macro macro);

}   // namespace slatejunction::expr
