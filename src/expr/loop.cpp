#include "expr/loop.hpp"

#include "expr/errors.hpp"

namespace slatejunction::expr {
namespace {

void end_with_error(Loop& loop, const Value& value) {
    loop.error = error_or_no_overload(value);
    loop.over = true;
}

// Of all and exists: an error counts only where no other item decides, and the first one counts.
void take_logical(Loop& loop, const Value& value, bool deciding) {
    if (!value.is(Kind::boolean)) {
        if (loop.error.is(Kind::null)) loop.error = error_or_no_overload(value);
    } else if (value.truth() == deciding) {
        loop.result = value;
        loop.over = true;
    }
}

void take_exists_one(Loop& loop, const Value& value) {
    if (!value.is(Kind::boolean)) return end_with_error(loop, value);
    if (value.truth()) ++loop.made;
}

void take_map(Loop& loop, const Value& value) {
    if (value.is_error()) return end_with_error(loop, value);
    loop.out[loop.made++] = value;
}

void take_filtered(Loop& loop, const Value& value) {
    if (!value.is(Kind::boolean)) return end_with_error(loop, value);
    if (value.truth()) loop.out[loop.made++] = loop.item;
}

}   // namespace

Loop begin_loop(Macro macro, const Value& range, Context& context) {
    Loop loop;
    loop.count = range.size();
    if (range.is(Kind::list))
        loop.items = range.items().data();
    else
        loop.pairs = range.pairs().data();
    if (macro != Macro::map && macro != Macro::filter) return loop;
    if (context.spend(cost::make(loop.count, 0)))
        loop.out = context.arena.array<Value>(loop.count).data();
    else
        loop.over = true;
    return loop;
}

bool take_filter(Loop& loop, const Value& keep) {
    if (keep.is(Kind::boolean)) return keep.truth();
    end_with_error(loop, keep);
    return false;
}

void take_round(Loop& loop, Macro macro, const Value& value) {
    switch (macro) {
        case Macro::all:
            return take_logical(loop, value, false);
        case Macro::exists:
            return take_logical(loop, value, true);
        case Macro::exists_one:
            return take_exists_one(loop, value);
        case Macro::map:
            return take_map(loop, value);
        case Macro::filter:
            return take_filtered(loop, value);
    }
}

Value loop_result(const Loop& loop, Macro macro) {
    const bool logical = macro == Macro::all || macro == Macro::exists;
    if (logical && loop.result.is(Kind::boolean)) return loop.result;
    if (loop.error.is_error()) return loop.error;
    if (logical) return Value::boolean(macro == Macro::all);
    if (macro == Macro::exists_one) return Value::boolean(loop.made == 1);
    return Value::list({loop.out, loop.made});
}

}   // namespace slatejunction::expr
