// The evaluator: a machine with a stack of values. Every instruction says what
// it costs before it does anything that grows with its operands.
#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

#include "expr/program.hpp"
#include "expr/time.hpp"

namespace slatejunction::expr {
namespace {

using cost::Units;

constexpr std::string_view kNoOverload = "no such overload", kIntOverflow = "int overflow",
                           kUintOverflow = "uint overflow", kByZero = "division by zero",
                           kNoKey = "no such key", kOutOfRange = "index out of range",
                           kTimeRange = "time out of range", kNotAnInt = "out of the range of int",
                           kNotAUint = "out of the range of uint", kNotUtf8 = "not UTF-8";
constexpr double kTwo63 = 9223372036854775808.0, kTwo64 = 18446744073709551616.0;

enum class Order { less, same, greater, none };

template <class T>
Order order(const T& a, const T& b) {
    return a < b ? Order::less : b < a ? Order::greater : a == b ? Order::same : Order::none;
}

Order order_of(const Value& a, double b);
// Numbers of different kinds compare by what they stand for.
Order order_numbers(const Value& a, const Value& b) {
    if (a.is(Kind::real) && b.is(Kind::real)) return order(a.real(), b.real());
    if (b.is(Kind::real)) return order_of(a, b.real());
    if (a.is(Kind::real)) {
        const Order other = order_of(b, a.real());
        return other == Order::less ? Order::greater : other == Order::greater ? Order::less : other;
    }
    if (a.kind() == b.kind())
        return a.is(Kind::integer) ? order(a.integer(), b.integer()) : order(a.natural(), b.natural());
    if (a.is(Kind::integer))
        return a.integer() < 0 ? Order::less : order(static_cast<std::uint64_t>(a.integer()), b.natural());
    return b.integer() < 0 ? Order::greater : order(a.natural(), static_cast<std::uint64_t>(b.integer()));
}
Order order_of(const Value& a, double b) {
    if (std::isnan(b)) return Order::none;
    if (a.is(Kind::integer)) {
        if (b < -kTwo63) return Order::greater;
        if (b >= kTwo63) return Order::less;
        const auto whole = static_cast<std::int64_t>(b);
        const Order by_whole = order(a.integer(), whole);
        return by_whole != Order::same ? by_whole : order(0.0, b - static_cast<double>(whole));
    }
    if (b < 0) return Order::greater;
    if (b >= kTwo64) return Order::less;
    const auto whole = static_cast<std::uint64_t>(b);
    const Order by_whole = order(a.natural(), whole);
    return by_whole != Order::same ? by_whole : order(0.0, b - static_cast<double>(whole));
}

Order order_times(const Value& a, const Value& b) {
    const Order by_seconds = order(a.seconds(), b.seconds());
    return by_seconds != Order::same ? by_seconds : order(a.nanos(), b.nanos());
}

// Nothing where the two have no order.
std::optional<Order> compare(const Value& a, const Value& b, Units& spent) {
    if (a.is_number() && b.is_number()) return order_numbers(a, b);
    if (a.kind() != b.kind()) return std::nullopt;
    switch (a.kind()) {
        case Kind::boolean:
            return order(a.truth(), b.truth());
        case Kind::text:
        case Kind::bytes: {
            spent = cost::plus(spent, cost::compare(a.size(), b.size()));
            const int sign = a.view().compare(b.view());
            return sign < 0 ? Order::less : sign > 0 ? Order::greater : Order::same;
        }
        case Kind::timestamp:
        case Kind::duration:
            return order_times(a, b);
        default:
            return std::nullopt;
    }
}

const Value* find(const Value& map, const Value& key, Units& spent) {
    Units bytes = 0, ignored = 0;
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

struct Search {
    std::string_view text;
    // Linear in both: libc's two-way search, not the standard library's.
    std::size_t first(std::string_view sought, std::size_t from = 0) const {
        if (sought.empty()) return from;
        if (from >= text.size()) return std::string_view::npos;
        const void* at = ::memmem(text.data() + from, text.size() - from, sought.data(), sought.size());
        return at ? static_cast<std::size_t>(static_cast<const char*>(at) - text.data())
                  : std::string_view::npos;
    }
};

// The last place at `most` or before at which `sought` begins, by Knuth, Morris
// and Pratt: linear whatever the texts hold.
std::size_t last_of(std::string_view text, std::string_view sought, std::size_t most, Arena& arena) {
    if (sought.empty()) return std::min(most, text.size());
    if (sought.size() > text.size()) return std::string_view::npos;
    const std::span<std::uint32_t> back = arena.array<std::uint32_t>(sought.size() + 1);
    for (std::size_t i = 1, k = 0; i < sought.size(); ++i) {
        while (k > 0 && sought[i] != sought[k]) k = back[k];
        if (sought[i] == sought[k]) ++k;
        back[i + 1] = static_cast<std::uint32_t>(k);
    }
    std::size_t found = std::string_view::npos;
    for (std::size_t i = 0, k = 0; i < text.size(); ++i) {
        while (k > 0 && text[i] != sought[k]) k = back[k];
        if (text[i] == sought[k]) ++k;
        if (k < sought.size()) continue;
        if (i + 1 - k > most) break;
        found = i + 1 - k;
        k = back[k];
    }
    return found;
}

bool inside(const Value& ip, const Network& network) {
    if (ip.v4() != network.v4) return false;
    const auto address = ip.address();
    const unsigned whole = network.bits / 8, rest = network.bits % 8;
    if (std::memcmp(address.data(), network.address.data(), whole) != 0) return false;
    const auto mask = static_cast<unsigned char>(rest == 0 ? 0 : 0xff << (8 - rest));
    return rest == 0 || ((address[whole] ^ network.address[whole]) & mask) == 0;
}

template <class T>
std::optional<T> read_number(std::string_view text) {
    if (text.starts_with('+')) text.remove_prefix(1);
    T value{};
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || fault != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return value;
}

}   // namespace

bool equal(const Value& a, const Value& b, Units& spent) {
    spent = cost::plus(spent, 1);
    if (a.is_number() && b.is_number()) return order_numbers(a, b) == Order::same;
    if (a.kind() != b.kind()) return false;
    switch (a.kind()) {
        case Kind::null:
            return true;
        case Kind::type:
            return a.type() == b.type();
        case Kind::ip:
            return a.v4() == b.v4() && std::memcmp(a.address().data(), b.address().data(), 16) == 0;
        case Kind::list:
            if (a.size() != b.size()) return false;
            for (std::size_t i = 0; i < a.size(); ++i)
                if (!equal(a.items()[i], b.items()[i], spent)) return false;
            return true;
        case Kind::map:
            if (a.size() != b.size()) return false;
            for (const Pair& pair : a.pairs()) {
                const Value* other = find(b, pair.key, spent);
                if (!other || !equal(pair.value, *other, spent)) return false;
            }
            return true;
        case Kind::text:
        case Kind::bytes:
            if (a.size() != b.size()) return false;
            [[fallthrough]];
        default:
            return compare(a, b, spent) == Order::same;
    }
}

Value Variables::field(std::uint32_t number, const Value& key, bool has, Arena& arena, Units& spent) {
    const Value map = load(number, arena, spent);
    if (!map.is(Kind::map)) return map.is_error() ? map : Value::error(kNoOverload);
    const Value* found = find(map, key, spent);
    if (has) return Value::boolean(found != nullptr);
    return found ? *found : Value::error(kNoKey);
}

// One run. Keeps nothing afterwards.
class Machine {
  public:
    Machine(const Program& program, Variables& variables, Evaluator& evaluator)
        : p_(program), variables_(variables), e_(evaluator), arena_(evaluator.arena_) {
        if (e_.stack_.size() < p_.stack + 1) e_.stack_.resize(p_.stack + 1);
        if (e_.locals_.size() < p_.locals) e_.locals_.resize(p_.locals);
        if (e_.loops_.size() < p_.loops) e_.loops_.resize(p_.loops);
        top_ = e_.stack_.data();
    }

    Outcome run();

  private:
    using Loop = Evaluator::Loop;

    // False when the bound is passed, which a sound compiler makes impossible.
    bool spend(Units units) {
        spent_ = cost::plus(spent_, units);
        return spent_ <= p_.bound;
    }
    Value over() const { return Value::error(kOverBound); }
    void push(const Value& value) { *top_++ = value; }
    Value& back(std::size_t n = 1) { return *(top_ - n); }
    Value pop() { return *--top_; }

    Value join(const Value& left, const Value& right, bool absorbing);
    Value arithmetic(Op op, const Value& a, const Value& b);
    Value integers(Op op, std::int64_t a, std::int64_t b) const;
    Value naturals(Op op, std::uint64_t a, std::uint64_t b) const;
    Value reals(Op op, double a, double b) const;
    Value concat(const Value& a, const Value& b);
    Value times(Op op, const Value& a, const Value& b) const;
    Value comparison(Op op, const Value& a, const Value& b);
    Value contains(const Value& item, const Value& range);
    Value index(const Value& of, const Value& key);
    Value make_map(std::size_t pairs);
    void begin(Macro macro, const Value& range);
    void step(Macro macro, const Value& value);
    Value result(Macro macro);
    Value call(const Instruction& i, const Value* v);
    Value texts(const Instruction& i, const Value* v);
    Value pieces(const Instruction& i, const Value* v);
    Value conversion(Fn fn, const Value& v);
    Value part_of_time(Fn fn, const Value* v, std::size_t n) const;
    std::string_view keep(const std::string& text) { return arena_.copy(text); }

    const Program& p_;
    Variables& variables_;
    Evaluator& e_;
    Arena& arena_;
    Value* top_;
    std::size_t loops_ = 0;
    Units spent_ = 0;
};

Outcome Machine::run() {
    const Instruction* code = p_.code.data();
    std::size_t at = 0;
    for (;;) {
        const Instruction& i = code[at++];
        if (i.op == Op::end) return {pop(), spent_};
        if (!spend(cost::kStep)) return {over(), spent_};
        switch (i.op) {
            case Op::constant:
                push(p_.constants[i.a]);
                break;
            case Op::variable: {
                Units spent = 0;
                push(variables_.load(i.a, arena_, spent));
                spent_ = cost::plus(spent_, spent);
                break;
            }
            case Op::local:
                push(e_.locals_[i.a]);
                break;
            case Op::and_jump:
                if (back().is(Kind::boolean) && !back().truth()) at = i.a;
                break;
            case Op::or_jump:
                if (back().is(Kind::boolean) && back().truth()) at = i.a;
                break;
            case Op::and_join:
            case Op::or_join: {
                const Value right = pop();
                back() = join(back(), right, i.op == Op::or_join);
                break;
            }
            case Op::branch: {
                const Value condition = pop();
                if (condition.is(Kind::boolean)) {
                    if (!condition.truth()) at = i.a;
                } else {
                    push(condition.is_error() ? condition : Value::error(kNoOverload));
                    at = i.b;
                }
                break;
            }
            case Op::jump:
                at = i.a;
                break;
            case Op::negate: {
                Value& v = back();
                if (v.is(Kind::integer))
                    v = v.integer() == std::numeric_limits<std::int64_t>::min()
                            ? Value::error(kIntOverflow)
                            : Value::integer(-v.integer());
                else if (v.is(Kind::real))
                    v = Value::real(-v.real());
                else if (!v.is_error())
                    v = Value::error(kNoOverload);
                break;
            }
            case Op::invert: {
                Value& v = back();
                if (v.is(Kind::boolean))
                    v = Value::boolean(!v.truth());
                else if (!v.is_error())
                    v = Value::error(kNoOverload);
                break;
            }
            case Op::add:
            case Op::subtract:
            case Op::multiply:
            case Op::divide:
            case Op::modulo: {
                const Value right = pop();
                back() = arithmetic(i.op, back(), right);
                break;
            }
            case Op::equal:
            case Op::unequal:
            case Op::less:
            case Op::less_equal:
            case Op::greater:
            case Op::greater_equal: {
                const Value right = pop();
                back() = comparison(i.op, back(), right);
                break;
            }
            case Op::in: {
                const Value range = pop();
                back() = contains(back(), range);
                break;
            }
            case Op::index: {
                const Value key = pop();
                back() = index(back(), key);
                break;
            }
            case Op::field:
                back() = index(back(), p_.constants[i.a]);
                break;
            case Op::has_field: {
                Value& map = back();
                if (map.is(Kind::map))
                    map = Value::boolean(find(map, p_.constants[i.a], spent_) != nullptr);
                else if (!map.is_error())
                    map = Value::error(kNoOverload);
                break;
            }
            case Op::variable_field:
            case Op::variable_has: {
                Units spent = 0;
                push(variables_.field(i.a, p_.constants[i.b], i.op == Op::variable_has, arena_, spent));
                spent_ = cost::plus(spent_, spent);
                break;
            }
            case Op::list: {
                if (!spend(cost::make(i.a, 0))) return {over(), spent_};
                const std::span<Value> items = arena_.array<Value>(i.a);
                std::copy(top_ - i.a, top_, items.begin());
                top_ -= i.a;
                const auto fault = std::find_if(items.begin(), items.end(),
                                                [](const Value& one) { return one.is_error(); });
                push(fault != items.end() ? *fault : Value::list(items));
                break;
            }
            case Op::map:
                push(make_map(i.a));
                break;
            case Op::call: {
                const Value* v = top_ - i.n;
                const Value* fault = std::find_if(v, static_cast<const Value*>(top_),
                                                  [](const Value& one) { return one.is_error(); });
                const Value made = fault != top_ ? *fault : call(i, v);
                top_ -= i.n;
                push(made);
                break;
            }
            case Op::loop_begin: {
                const Value range = pop();
                if (range.is(Kind::list) || range.is(Kind::map)) {
                    begin(static_cast<Macro>(i.n), range);
                } else {
                    push(range.is_error() ? range : Value::error(kNoOverload));
                    at = i.b;
                }
                break;
            }
            case Op::loop_next: {
                Loop& loop = e_.loops_[loops_ - 1];
                if (loop.over || loop.next == loop.count) {
                    at = i.b;
                } else {
                    loop.item = loop.pairs ? loop.pairs[loop.next].key : loop.items[loop.next];
                    ++loop.next;
                    e_.locals_[i.a] = loop.item;
                }
                break;
            }
            case Op::loop_filter: {
                const Value keep = pop();
                if (keep.is(Kind::boolean)) {
                    if (!keep.truth()) at = i.a;
                } else {
                    Loop& loop = e_.loops_[loops_ - 1];
                    loop.error = keep.is_error() ? keep : Value::error(kNoOverload);
                    loop.over = true;
                    at = i.a;
                }
                break;
            }
            case Op::loop_step:
                step(static_cast<Macro>(i.n), pop());
                at = i.a;
                break;
            case Op::loop_end:
                push(result(static_cast<Macro>(i.n)));
                --loops_;
                break;
            case Op::end:
                break;
        }
        if (spent_ > p_.bound) return {over(), spent_};
    }
}

// An answer on one side absorbs an error on the other: false for &&, true for
// ||.
Value Machine::join(const Value& left, const Value& right, bool absorbing) {
    const bool left_bool = left.is(Kind::boolean), right_bool = right.is(Kind::boolean);
    if (left_bool && left.truth() == absorbing) return left;
    if (right_bool && right.truth() == absorbing) return right;
    if (left_bool && right_bool) return Value::boolean(!absorbing);
    const Value& fault = left_bool ? right : left;
    return fault.is_error() ? fault : Value::error(kNoOverload);
}

Value Machine::integers(Op op, std::int64_t a, std::int64_t b) const {
    std::int64_t result = 0;
    bool over = false;
    switch (op) {
        case Op::add:
            over = __builtin_add_overflow(a, b, &result);
            break;
        case Op::subtract:
            over = __builtin_sub_overflow(a, b, &result);
            break;
        case Op::multiply:
            over = __builtin_mul_overflow(a, b, &result);
            break;
        default:
            if (b == 0) return Value::error(kByZero);
            over = a == std::numeric_limits<std::int64_t>::min() && b == -1;
            if (!over) result = op == Op::divide ? a / b : a % b;
    }
    return over ? Value::error(kIntOverflow) : Value::integer(result);
}

Value Machine::naturals(Op op, std::uint64_t a, std::uint64_t b) const {
    std::uint64_t result = 0;
    bool over = false;
    switch (op) {
        case Op::add:
            over = __builtin_add_overflow(a, b, &result);
            break;
        case Op::subtract:
            over = __builtin_sub_overflow(a, b, &result);
            break;
        case Op::multiply:
            over = __builtin_mul_overflow(a, b, &result);
            break;
        default:
            if (b == 0) return Value::error(kByZero);
            result = op == Op::divide ? a / b : a % b;
    }
    return over ? Value::error(kUintOverflow) : Value::natural(result);
}

Value Machine::reals(Op op, double a, double b) const {
    switch (op) {
        case Op::add:
            return Value::real(a + b);
        case Op::subtract:
            return Value::real(a - b);
        case Op::multiply:
            return Value::real(a * b);
        case Op::divide:
            return Value::real(a / b);
        default:
            return Value::error(kNoOverload);
    }
}

Value Machine::times(Op op, const Value& a, const Value& b) const {
    const bool time_a = a.is(Kind::timestamp), time_b = b.is(Kind::timestamp);
    const int sign = op == Op::add ? 1 : -1;
    if ((op != Op::add && op != Op::subtract) || (time_a && time_b && sign > 0) ||
        (!time_a && time_b && sign < 0))
        return Value::error(kNoOverload);
    const bool timestamp = time_a != time_b;
    const auto sum = add({a.seconds(), a.nanos()}, {b.seconds(), b.nanos()}, sign, timestamp);
    if (!sum) return Value::error(kTimeRange);
    return timestamp ? Value::timestamp(sum->seconds, sum->nanos)
                     : Value::duration(sum->seconds, sum->nanos);
}

Value Machine::concat(const Value& a, const Value& b) {
    if (a.is(Kind::list)) {
        if (!spend(cost::make(Units{a.size()} + b.size(), 0))) return over();
        const std::span<Value> all = arena_.array<Value>(std::size_t{a.size()} + b.size());
        std::copy(b.items().begin(), b.items().end(),
                  std::copy(a.items().begin(), a.items().end(), all.begin()));
        return Value::list(all);
    }
    if (!spend(cost::make(1, Units{a.size()} + b.size()))) return over();
    char* to = arena_.chars(std::size_t{a.size()} + b.size());
    std::copy(b.view().begin(), b.view().end(), std::copy(a.view().begin(), a.view().end(), to));
    const std::string_view all(to, std::size_t{a.size()} + b.size());
    return a.is(Kind::text) ? Value::text(all) : Value::bytes(all);
}

Value Machine::arithmetic(Op op, const Value& a, const Value& b) {
    if (a.is_error()) return a;
    if (b.is_error()) return b;
    const auto time = [](const Value& v) { return v.is(Kind::timestamp) || v.is(Kind::duration); };
    if (time(a) && time(b)) return times(op, a, b);
    if (a.kind() != b.kind()) return Value::error(kNoOverload);
    switch (a.kind()) {
        case Kind::integer:
            return integers(op, a.integer(), b.integer());
        case Kind::natural:
            return naturals(op, a.natural(), b.natural());
        case Kind::real:
            return reals(op, a.real(), b.real());
        case Kind::text:
        case Kind::bytes:
        case Kind::list:
            return op == Op::add ? concat(a, b) : Value::error(kNoOverload);
        default:
            return Value::error(kNoOverload);
    }
}

Value Machine::comparison(Op op, const Value& a, const Value& b) {
    if (a.is_error()) return a;
    if (b.is_error()) return b;
    if (op == Op::equal || op == Op::unequal)
        return Value::boolean(equal(a, b, spent_) == (op == Op::equal));
    const auto order = compare(a, b, spent_);
    if (!order) return Value::error(kNoOverload);
    const bool less = *order == Order::less, same = *order == Order::same,
               greater = *order == Order::greater;
    return Value::boolean(op == Op::less         ? less
                          : op == Op::less_equal ? less || same
                          : op == Op::greater    ? greater
                                                 : greater || same);
}

Value Machine::contains(const Value& item, const Value& range) {
    if (item.is_error()) return item;
    if (range.is_error()) return range;
    if (range.is(Kind::map)) return Value::boolean(find(range, item, spent_) != nullptr);
    if (!range.is(Kind::list)) return Value::error(kNoOverload);
    for (const Value& one : range.items())
        if (equal(item, one, spent_)) return Value::boolean(true);
    return Value::boolean(false);
}

Value Machine::index(const Value& of, const Value& key) {
    if (of.is_error()) return of;
    if (key.is_error()) return key;
    if (of.is(Kind::map)) {
        const Value* found = find(of, key, spent_);
        return found ? *found : Value::error(kNoKey);
    }
    if (!of.is(Kind::list)) return Value::error(kNoOverload);
    if (!key.is_number()) return Value::error(kNoOverload);
    std::uint64_t place = 0;
    if (key.is(Kind::integer)) {
        if (key.integer() < 0) return Value::error(kOutOfRange);
        place = static_cast<std::uint64_t>(key.integer());
    } else if (key.is(Kind::natural)) {
        place = key.natural();
    } else {
        if (!(key.real() >= 0 && key.real() < kTwo63) || key.real() != std::floor(key.real()))
            return Value::error(kOutOfRange);
        place = static_cast<std::uint64_t>(key.real());
    }
    return place < of.size() ? of.items()[place] : Value::error(kOutOfRange);
}

Value Machine::make_map(std::size_t count) {
    const Value* from = top_ - 2 * count;
    top_ -= 2 * count;
    Units key_bytes = 0;
    for (std::size_t i = 0; i < 2 * count; ++i) {
        if (from[i].is_error()) return from[i];
        if (i % 2 == 1) continue;
        const Kind kind = from[i].kind();
        if (kind != Kind::integer && kind != Kind::natural && kind != Kind::boolean && kind != Kind::text)
            return Value::error("a map's key of another type");
        if (kind == Kind::text) key_bytes = std::max<Units>(key_bytes, from[i].size());
    }
    if (!spend(cost::build(count, key_bytes))) return over();
    const std::span<Pair> pairs = arena_.array<Pair>(count);
    Units ignored = 0;
    for (std::size_t i = 0; i < count; ++i) {
        if (find(Value::map(pairs.first(i)), from[2 * i], ignored))
            return Value::error("a key given twice");
        pairs[i] = {from[2 * i], from[2 * i + 1]};
    }
    return Value::map(pairs);
}

// Loops.
// ------------------------------------------------------------------------------------------------

void Machine::begin(Macro macro, const Value& range) {
    Loop& loop = e_.loops_[loops_++];
    loop = Loop();
    loop.count = range.size();
    if (range.is(Kind::list))
        loop.items = range.items().data();
    else
        loop.pairs = range.pairs().data();
    if (macro == Macro::map || macro == Macro::filter) {
        if (!spend(cost::make(loop.count, 0)))
            loop.over = true;
        else
            loop.out = arena_.array<Value>(loop.count).data();
    }
}

void Machine::step(Macro macro, const Value& value) {
    Loop& loop = e_.loops_[loops_ - 1];
    const bool is_bool = value.is(Kind::boolean), yes = is_bool && value.truth();
    const auto fail = [&] { loop.error = value.is_error() ? value : Value::error(kNoOverload); };
    switch (macro) {
        case Macro::all:
        case Macro::exists:
            if (!is_bool) {
                if (loop.error.is(Kind::null)) fail();
            } else if (yes == (macro == Macro::exists)) {
                loop.result = value;
                loop.over = true;
            }
            break;
        case Macro::exists_one:
            if (!is_bool)
                fail(), loop.over = true;
            else
                loop.made += yes;
            break;
        case Macro::map:
            if (value.is_error())
                fail(), loop.over = true;
            else
                loop.out[loop.made++] = value;
            break;
        case Macro::filter:
            if (!is_bool)
                fail(), loop.over = true;
            else if (yes)
                loop.out[loop.made++] = loop.item;
            break;
    }
}

Value Machine::result(Macro macro) {
    const Loop& loop = e_.loops_[loops_ - 1];
    const bool logical = macro == Macro::all || macro == Macro::exists;
    if (logical && loop.result.is(Kind::boolean)) return loop.result;
    if (loop.error.is_error()) return loop.error;
    if (logical) return Value::boolean(macro == Macro::all);
    if (macro == Macro::exists_one) return Value::boolean(loop.made == 1);
    return Value::list({loop.out, loop.made});
}

// Functions.
// --------------------------------------------------------------------------------------------

Value Machine::call(const Instruction& i, const Value* v) {
    const auto is = [&](std::size_t n, Kind kind) { return n < i.n && v[n].is(kind); };
    const Value wrong = Value::error(kNoOverload);
    switch (i.fn) {
        case Fn::size:
            if (is(0, Kind::text)) {
                if (!spend(cost::walk(v[0].size()))) return over();
                return Value::integer(static_cast<std::int64_t>(code_points(v[0].view())));
            }
            if (!is(0, Kind::bytes) && !is(0, Kind::list) && !is(0, Kind::map)) return wrong;
            return Value::integer(v[0].size());
        case Fn::in_cidr:
            if (!is(0, Kind::ip)) return wrong;
            return Value::boolean(inside(v[0], p_.networks[i.a]));
        case Fn::hash:
        case Fn::bucket: {
            std::uint64_t sum = 0;
            if (is(0, Kind::text) || is(0, Kind::bytes)) {
                if (!spend(cost::walk(v[0].size()))) return over();
                sum = XXH64(v[0].view().data(), v[0].size(), 0);
            } else if (is(0, Kind::integer) || is(0, Kind::natural)) {
                std::array<unsigned char, 8> bytes{};   // little end first, on every machine
                for (std::size_t n = 0; n < 8; ++n)
                    bytes[n] = static_cast<unsigned char>(v[0].natural() >> (8 * n));
                sum = XXH64(bytes.data(), bytes.size(), 0);
            } else {
                return wrong;
            }
            if (i.fn == Fn::hash) return Value::natural(sum);
            if (!is(1, Kind::integer)) return wrong;
            if (v[1].integer() <= 0) return Value::error("bucket() of no buckets");
            return Value::integer(
                static_cast<std::int64_t>(sum % static_cast<std::uint64_t>(v[1].integer())));
        }
        case Fn::to_dyn:
            return v[0];
        case Fn::type_of:
            return Value::type(v[0].kind());
        case Fn::to_ip:
        case Fn::to_int:
        case Fn::to_uint:
        case Fn::to_double:
        case Fn::to_string:
        case Fn::to_bytes:
        case Fn::to_bool:
        case Fn::to_timestamp:
        case Fn::to_duration:
            return conversion(i.fn, v[0]);
        case Fn::full_year:
        case Fn::month:
        case Fn::date:
        case Fn::day_of_month:
        case Fn::day_of_week:
        case Fn::day_of_year:
        case Fn::hours:
        case Fn::minutes:
        case Fn::seconds:
        case Fn::milliseconds:
            if (!spend(cost::kTime)) return over();
            return part_of_time(i.fn, v, i.n);
        case Fn::join:
            return pieces(i, v);
        default:
            if (!is(0, Kind::text)) return wrong;
            return i.fn == Fn::replace || i.fn == Fn::split ? pieces(i, v) : texts(i, v);
    }
}

Value Machine::texts(const Instruction& i, const Value* v) {
    const std::string_view text = v[0].view();
    const auto is = [&](std::size_t n, Kind kind) { return n < i.n && v[n].is(kind); };
    const Value wrong = Value::error(kNoOverload);
    const auto other = [&] { return v[1].view(); };
    switch (i.fn) {
        case Fn::contains:
            if (!is(1, Kind::text)) return wrong;
            if (!spend(cost::search(text.size(), other().size()))) return over();
            return Value::boolean(Search{text}.first(other()) != std::string_view::npos);
        case Fn::starts_with:
        case Fn::ends_with:
            if (!is(1, Kind::text)) return wrong;
            if (!spend(cost::compare(text.size(), other().size()))) return over();
            return Value::boolean(i.fn == Fn::starts_with ? text.starts_with(other())
                                                          : text.ends_with(other()));
        case Fn::matches:
        case Fn::glob: {
            const RE2& pattern = *p_.patterns[i.a];
            if (!spend(cost::match(text.size(), static_cast<Units>(pattern.ProgramSize())))) return over();
            return Value::boolean(pattern.Match(re2::StringPiece(text.data(), text.size()), 0, text.size(),
                                                i.fn == Fn::glob ? RE2::ANCHOR_BOTH : RE2::UNANCHORED,
                                                nullptr, 0));
        }
        case Fn::char_at:
        case Fn::substring: {
            if (!is(1, Kind::integer) || (i.n == 3 && !is(2, Kind::integer))) return wrong;
            if (!spend(cost::times(3, cost::walk(text.size())))) return over();
            const auto size = static_cast<std::int64_t>(code_points(text));
            const std::int64_t from = v[1].integer();
            const std::int64_t to = i.fn == Fn::char_at ? std::min(size, from < size ? from + 1 : from)
                                    : i.n == 3          ? v[2].integer()
                                                        : size;
            if (from < 0 || from > size || to < from || to > size) return Value::error(kOutOfRange);
            const std::size_t first = byte_of(text, static_cast<std::size_t>(from));
            const std::size_t last = byte_of(text, static_cast<std::size_t>(to));
            return Value::text(text.substr(first, last - first));
        }
        case Fn::index_of:
        case Fn::last_index_of: {
            if (!is(1, Kind::text) || (i.n == 3 && !is(2, Kind::integer))) return wrong;
            if (!spend(cost::times(4, cost::search(text.size(), other().size())))) return over();
            const auto size = static_cast<std::int64_t>(code_points(text));
            const bool first = i.fn == Fn::index_of;
            const std::int64_t from = i.n == 3 ? v[2].integer() : first ? 0 : size;
            if (from < 0 || from > size) return Value::error(kOutOfRange);
            const std::size_t place = byte_of(text, static_cast<std::size_t>(from));
            const std::size_t at =
                first ? Search{text}.first(other(), place) : last_of(text, other(), place, arena_);
            return Value::integer(at == std::string_view::npos
                                      ? -1
                                      : static_cast<std::int64_t>(code_points(text.substr(0, at))));
        }
        case Fn::lower:
        case Fn::upper: {
            if (!spend(cost::plus(1, cost::walk(text.size())))) return over();
            char* to = arena_.chars(text.size());
            std::transform(text.begin(), text.end(), to, [&](char c) {
                if (i.fn == Fn::lower) return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
                return c >= 'a' && c <= 'z' ? static_cast<char>(c - 32) : c;
            });
            return Value::text({to, text.size()});
        }
        case Fn::trim: {
            if (!spend(cost::walk(text.size()))) return over();
            constexpr std::string_view kBlanks = " \t\n\v\f\r";
            const std::size_t first = text.find_first_not_of(kBlanks);
            if (first == std::string_view::npos) return Value::text({});
            return Value::text(text.substr(first, text.find_last_not_of(kBlanks) + 1 - first));
        }
        default:
            return wrong;
    }
}

// Texts that are taken apart and put together.
Value Machine::pieces(const Instruction& i, const Value* v) {
    const Value wrong = Value::error(kNoOverload);
    if (i.fn == Fn::join) {
        if (!v[0].is(Kind::list) || (i.n == 2 && !v[1].is(Kind::text))) return wrong;
        const std::string_view between = i.n == 2 ? v[1].view() : std::string_view();
        Units size = 0;
        for (const Value& one : v[0].items()) {
            if (!one.is(Kind::text)) return wrong;
            size += one.size() + between.size();
        }
        if (!spend(cost::make(Units{v[0].size()} + 1, size))) return over();
        char* const to = arena_.chars(size);
        char* at = to;
        for (const Value& one : v[0].items()) {
            if (at != to || &one != v[0].items().data()) at = std::copy(between.begin(), between.end(), at);
            at = std::copy(one.view().begin(), one.view().end(), at);
        }
        return Value::text({to, static_cast<std::size_t>(at - to)});
    }
    const bool split = i.fn == Fn::split;
    const std::size_t needed = split ? 2 : 3;
    for (std::size_t n = 1; n < needed; ++n)
        if (!v[n].is(Kind::text)) return wrong;
    std::int64_t most = -1;   // parts, or replacements
    if (i.n > needed) {
        if (!v[needed].is(Kind::integer)) return wrong;
        most = v[needed].integer();
    }
    const std::string_view text = v[0].view(), mark = v[1].view();
    if (!spend(cost::times(2, cost::search(text.size(), mark.size())))) return over();
    // Where the parts begin and end; an empty mark stands between all code
    // points.
    const Search search{text};
    const auto next_mark = [&](std::size_t from) {
        if (!mark.empty()) return search.first(mark, from);
        if (from >= text.size()) return std::string_view::npos;
        std::size_t at = from + 1;
        while (at < text.size() && (static_cast<unsigned char>(text[at]) & 0xc0) == 0x80) ++at;
        return at < text.size() || !split ? at : std::string_view::npos;
    };
    if (split) {
        if (most == 0) return Value::list({});
        std::size_t parts = 1;
        for (std::size_t at = next_mark(0);
             at != std::string_view::npos && (most < 0 || parts < static_cast<std::uint64_t>(most));
             at = next_mark(at + mark.size()))
            ++parts;
        if (text.empty() && mark.empty()) return Value::list({});
        if (!spend(cost::make(parts, 0))) return over();
        const std::span<Value> all = arena_.array<Value>(parts);
        std::size_t from = 0;
        for (std::size_t n = 0; n < parts; ++n) {
            const std::size_t to = n + 1 < parts ? next_mark(from) : text.size();
            all[n] = Value::text(text.substr(from, to - from));
            from = to + mark.size();
        }
        return Value::list(all);
    }
    const std::string_view fresh = v[2].view();
    std::size_t count = 0;
    const auto more = [&] { return most < 0 || count < static_cast<std::uint64_t>(most); };
    // An empty mark is also found before the first code point.
    const std::size_t first = mark.empty() ? 0 : search.first(mark);
    for (std::size_t at = first; at != std::string_view::npos && more(); at = next_mark(at + mark.size()))
        ++count;
    const std::size_t total = count;
    const Units size = Units{text.size()} + Units{total} * fresh.size();
    if (!spend(cost::make(total, size))) return over();
    char* const to = arena_.chars(size);
    char* out = to;
    std::size_t from = 0;
    std::size_t at = first;
    for (std::size_t n = 0; n < total; ++n) {
        out = std::copy(text.begin() + static_cast<std::ptrdiff_t>(from),
                        text.begin() + static_cast<std::ptrdiff_t>(at), out);
        out = std::copy(fresh.begin(), fresh.end(), out);
        from = at + mark.size();
        at = next_mark(from);
    }
    out = std::copy(text.begin() + static_cast<std::ptrdiff_t>(from), text.end(), out);
    return Value::text({to, static_cast<std::size_t>(out - to)});
}

Value Machine::conversion(Fn fn, const Value& v) {
    const Value wrong = Value::error(kNoOverload);
    const bool text = v.is(Kind::text);
    if (text || v.is(Kind::bytes)) {
        if (!spend(cost::plus(cost::kTime, cost::walk(v.size())))) return over();
    } else if (!spend(cost::kTime)) {
        return over();
    }
    switch (fn) {
        case Fn::to_ip: {
            if (!text || v.size() > cost::kAddressText) return text ? Value::error("no address") : wrong;
            std::array<char, cost::kAddressText + 1> word{};
            std::copy(v.view().begin(), v.view().end(), word.begin());
            auto* address = static_cast<unsigned char*>(arena_.take(16));
            std::fill_n(address, 16, static_cast<unsigned char>(0));
            if (::inet_pton(AF_INET, word.data(), address + 12) == 1) {
                address[10] = address[11] = 0xff;
                return Value::ip(address, true);
            }
            if (::inet_pton(AF_INET6, word.data(), address) == 1) return Value::ip(address, false);
            return Value::error("no address");
        }
        case Fn::to_int:
            if (v.is(Kind::integer)) return v;
            if (v.is(Kind::natural))
                return v.natural() >> 63 ? Value::error(kNotAnInt)
                                         : Value::integer(static_cast<std::int64_t>(v.natural()));
            if (v.is(Kind::real))
                return v.real() > -kTwo63 && v.real() < kTwo63
                           ? Value::integer(static_cast<std::int64_t>(v.real()))
                           : Value::error(kNotAnInt);
            if (v.is(Kind::timestamp)) return Value::integer(v.seconds());
            if (text) {
                const auto number = read_number<std::int64_t>(v.view());
                return number ? Value::integer(*number) : Value::error("no int");
            }
            return wrong;
        case Fn::to_uint:
            if (v.is(Kind::natural)) return v;
            if (v.is(Kind::integer))
                return v.integer() < 0 ? Value::error(kNotAUint)
                                       : Value::natural(static_cast<std::uint64_t>(v.integer()));
            if (v.is(Kind::real))
                return v.real() >= 0 && v.real() < kTwo64
                           ? Value::natural(static_cast<std::uint64_t>(v.real()))
                           : Value::error(kNotAUint);
            if (text) {
                const auto number = read_number<std::uint64_t>(v.view());
                return number ? Value::natural(*number) : Value::error("no uint");
            }
            return wrong;
        case Fn::to_double:
            if (v.is(Kind::real)) return v;
            if (v.is(Kind::integer)) return Value::real(static_cast<double>(v.integer()));
            if (v.is(Kind::natural)) return Value::real(static_cast<double>(v.natural()));
            if (text) {
                const auto number = read_number<double>(v.view());
                return number ? Value::real(*number) : Value::error("no double");
            }
            return wrong;
        case Fn::to_string:
            if (text) return v;
            if (v.is(Kind::bytes))
                return valid_utf8(v.view()) ? Value::text(v.view()) : Value::error(kNotUtf8);
            if (v.is(Kind::list) || v.is(Kind::map) || v.is(Kind::null) || v.is(Kind::type)) return wrong;
            return Value::text(keep(to_text(v)));
        case Fn::to_bytes:
            return text || v.is(Kind::bytes) ? Value::bytes(v.view()) : wrong;
        case Fn::to_bool: {
            if (v.is(Kind::boolean)) return v;
            if (!text) return wrong;
            for (const std::string_view yes : {"true", "True", "TRUE", "t", "1"})
                if (v.view() == yes) return Value::boolean(true);
            for (const std::string_view no : {"false", "False", "FALSE", "f", "0"})
                if (v.view() == no) return Value::boolean(false);
            return Value::error("no bool");
        }
        case Fn::to_timestamp: {
            if (v.is(Kind::timestamp)) return v;
            if (v.is(Kind::integer))
                return v.integer() < kFirstSecond || v.integer() > kLastSecond
                           ? Value::error(kTimeRange)
                           : Value::timestamp(v.integer(), 0);
            if (!text) return wrong;
            const auto moment = read_timestamp(v.view());
            return moment ? Value::timestamp(moment->seconds, moment->nanos) : Value::error("no timestamp");
        }
        case Fn::to_duration: {
            if (v.is(Kind::duration)) return v;
            if (!text) return wrong;
            const auto moment = read_duration(v.view());
            return moment ? Value::duration(moment->seconds, moment->nanos) : Value::error("no duration");
        }
        default:
            return wrong;
    }
}

Value Machine::part_of_time(Fn fn, const Value* v, std::size_t n) const {
    if (v[0].is(Kind::duration) && n == 1) {
        const std::int64_t seconds = v[0].seconds();
        if (fn == Fn::hours) return Value::integer(seconds / 3600);
        if (fn == Fn::minutes) return Value::integer(seconds / 60);
        if (fn == Fn::seconds) return Value::integer(seconds);
        if (fn == Fn::milliseconds) return Value::integer(v[0].nanos() / 1'000'000);
        return Value::error(kNoOverload);
    }
    if (!v[0].is(Kind::timestamp) || (n == 2 && !v[1].is(Kind::text))) return Value::error(kNoOverload);
    std::int64_t zone = 0;
    if (n == 2) {
        const auto read = read_zone(v[1].view());
        if (!read) return Value::error("no time zone: UTC or +01:00; names are left out");
        zone = *read;
    }
    const Calendar c = calendar(v[0].seconds() + zone);
    switch (fn) {
        case Fn::full_year:
            return Value::integer(c.year);
        case Fn::month:
            return Value::integer(c.month - 1);
        case Fn::date:
            return Value::integer(c.day);
        case Fn::day_of_month:
            return Value::integer(c.day - 1);
        case Fn::day_of_week:
            return Value::integer(c.weekday);
        case Fn::day_of_year:
            return Value::integer(c.yearday);
        case Fn::hours:
            return Value::integer(c.hour);
        case Fn::minutes:
            return Value::integer(c.minute);
        case Fn::seconds:
            return Value::integer(c.second);
        default:
            return Value::integer(v[0].nanos() / 1'000'000);
    }
}

Outcome Evaluator::run(const Program& program, Variables& variables) {
    return Machine(program, variables, *this).run();
}

}   // namespace slatejunction::expr
