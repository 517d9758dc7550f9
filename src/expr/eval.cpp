// The evaluator: a machine with a stack of values that runs a program's instructions. What an instruction
// does with its operands stands in the modules beside it: arithmetic, compare, collections, loop and call.
#include <algorithm>
#include <span>

#include "expr/arithmetic.hpp"
#include "expr/call.hpp"
#include "expr/collections.hpp"
#include "expr/compare.hpp"
#include "expr/context.hpp"
#include "expr/errors.hpp"
#include "expr/loop.hpp"
#include "expr/program.hpp"

namespace slatejunction::expr {
namespace {

// && and ||: an answer on one side absorbs an error on the other. `absorbing`: false for &&, true for ||.
Value join_logical(const Value& left, const Value& right, bool absorbing) {
    const bool left_is_bool = left.is(Kind::boolean);
    const bool right_is_bool = right.is(Kind::boolean);
    if (left_is_bool && left.truth() == absorbing) return left;
    if (right_is_bool && right.truth() == absorbing) return right;
    if (left_is_bool && right_is_bool) return Value::boolean(!absorbing);
    return error_or_no_overload(left_is_bool ? right : left);
}

}   // namespace

Value Variables::field(std::uint32_t number, const Value& key, bool has, Arena& arena, cost::Units& spent) {
    const Value map = load(number, arena, spent);
    if (!map.is(Kind::map)) return error_or_no_overload(map);
    const Value* found = find_value(map, key, spent);
    if (has) return Value::boolean(found != nullptr);
    return found ? *found : Value::error(kNoKey);
}

/// One run of one program on an evaluator's memory. Keeps nothing afterwards.
class Machine {
  public:
    Machine(const Program& program, Variables& variables, Evaluator& evaluator)
        : program_(program),
          variables_(variables),
          evaluator_(evaluator),
          context_{evaluator.arena_, program.bound} {
        grow(evaluator.stack_, program.stack + 1);
        grow(evaluator.locals_, program.locals);
        grow(evaluator.loops_, program.loops);
        top_ = evaluator.stack_.data();
    }

    Outcome run();

  private:
    template <class T>
    static void grow(std::vector<T>& memory, std::size_t size) {
        if (memory.size() < size) memory.resize(size);
    }

    void push(const Value& value) { *top_++ = value; }
    Value pop() { return *--top_; }
    Value& back() { return *(top_ - 1); }
    // Nothing is pushed while they are looked at.
    std::span<const Value> pop_all(std::size_t count) {
        top_ -= count;
        return {top_, count};
    }
    Loop& loop() { return evaluator_.loops_[loops_ - 1]; }

    // Each returns the number of the next instruction; `next` is the one that follows.
    std::size_t execute(const Instruction& instruction, std::size_t next);
    std::size_t execute_binary(Op op, std::size_t next);
    std::size_t execute_loop(const Instruction& instruction, std::size_t next);
    std::size_t branch(const Instruction& instruction, std::size_t next);
    std::size_t begin(const Instruction& instruction, std::size_t next);
    std::size_t next_round(const Instruction& instruction, std::size_t next);

    void push_variable(std::uint32_t number);
    void push_field(const Instruction& instruction);
    void call(const Instruction& instruction);

    const Program& program_;
    Variables& variables_;
    Evaluator& evaluator_;
    Context context_;
    Value* top_ = nullptr;    // behind the last value of the stack
    std::size_t loops_ = 0;   // that are running, one in another
};

Outcome Machine::run() {
    const Instruction* const code = program_.code.data();
    std::size_t next = 0;
    for (;;) {
        const Instruction& instruction = code[next];
        if (instruction.op == Op::end) return {pop(), context_.spent};
        if (!context_.spend(cost::kStep)) break;
        next = execute(instruction, next + 1);
        if (context_.spent > program_.bound) break;
    }
    return {over_bound(), context_.spent};
}

inline std::size_t Machine::execute(const Instruction& instruction, std::size_t next) {
    const std::vector<Value>& constants = program_.constants;
    switch (instruction.op) {
        case Op::constant:
            push(constants[instruction.a]);
            return next;
        case Op::variable:
            push_variable(instruction.a);
            return next;
        case Op::local:
            push(evaluator_.locals_[instruction.a]);
            return next;
        case Op::and_jump:
            return back().is(Kind::boolean) && !back().truth() ? instruction.a : next;
        case Op::or_jump:
            return back().is(Kind::boolean) && back().truth() ? instruction.a : next;
        case Op::branch:
            return branch(instruction, next);
        case Op::jump:
            return instruction.a;
        case Op::negate:
            back() = negate(back());
            return next;
        case Op::invert:
            back() = invert(back());
            return next;
        case Op::field:
            back() = element(back(), constants[instruction.a], context_);
            return next;
        case Op::has_field:
            back() = has_key(back(), constants[instruction.a], context_);
            return next;
        case Op::variable_field:
        case Op::variable_has:
            push_field(instruction);
            return next;
        case Op::list:
            push(make_list(pop_all(instruction.a), context_));
            return next;
        case Op::map:
            push(make_map(pop_all(2 * std::size_t{instruction.a}), context_));
            return next;
        case Op::call:
            call(instruction);
            return next;
        case Op::loop_begin:
            return begin(instruction, next);
        default:
            return instruction.op >= Op::loop_next ? execute_loop(instruction, next)
                                                   : execute_binary(instruction.op, next);
    }
}

// Operators of two operands, the right one on top of the stack.
inline std::size_t Machine::execute_binary(Op op, std::size_t next) {
    const Value right = pop();
    Value& left = back();
    switch (op) {
        case Op::and_join:
        case Op::or_join:
            left = join_logical(left, right, op == Op::or_join);
            return next;
        case Op::add:
        case Op::subtract:
        case Op::multiply:
        case Op::divide:
        case Op::modulo:
            left = arithmetic(op, left, right, context_);
            return next;
        case Op::in:
            left = contains(left, right, context_);
            return next;
        case Op::index:
            left = element(left, right, context_);
            return next;
        default:
            left = compare(op, left, right, context_.spent);
            return next;
    }
}

// What comes after loop_begin.
inline std::size_t Machine::execute_loop(const Instruction& instruction, std::size_t next) {
    switch (instruction.op) {
        case Op::loop_next:
            return next_round(instruction, next);
        case Op::loop_filter:
            return take_filter(loop(), pop()) ? next : instruction.a;
        case Op::loop_step:
            take_round(loop(), static_cast<Macro>(instruction.n), pop());
            return instruction.a;
        case Op::loop_end:
            push(loop_result(loop(), static_cast<Macro>(instruction.n)));
            --loops_;
            return next;
        default:   // Op::end, at which the caller stops
            return next;
    }
}

inline std::size_t Machine::branch(const Instruction& instruction, std::size_t next) {
    const Value condition = pop();
    if (condition.is(Kind::boolean)) return condition.truth() ? next : instruction.a;
    push(error_or_no_overload(condition));
    return instruction.b;
}

inline std::size_t Machine::begin(const Instruction& instruction, std::size_t next) {
    const Value range = pop();
    if (!range.is(Kind::list) && !range.is(Kind::map)) {
        push(error_or_no_overload(range));
        return instruction.b;
    }
    evaluator_.loops_[loops_++] = begin_loop(static_cast<Macro>(instruction.n), range, context_);
    return next;
}

inline std::size_t Machine::next_round(const Instruction& instruction, std::size_t next) {
    Loop& current = loop();
    if (!next_item(current)) return instruction.b;
    evaluator_.locals_[instruction.a] = current.item;
    return next;
}

inline void Machine::push_variable(std::uint32_t number) {
    cost::Units spent = 0;
    push(variables_.load(number, context_.arena, spent));
    context_.spent = cost::plus(context_.spent, spent);
}

inline void Machine::push_field(const Instruction& instruction) {
    const bool has = instruction.op == Op::variable_has;
    const Value& key = program_.constants[instruction.b];
    cost::Units spent = 0;
    push(variables_.field(instruction.a, key, has, context_.arena, spent));
    context_.spent = cost::plus(context_.spent, spent);
}

inline void Machine::call(const Instruction& instruction) {
    const std::span<const Value> arguments = pop_all(instruction.n);
    const auto error = std::find_if(arguments.begin(), arguments.end(),
                                    [](const Value& argument) { return argument.is_error(); });
    push(error != arguments.end() ? *error : call_function(program_, instruction, arguments, context_));
}

Outcome Evaluator::run(const Program& program, Variables& variables) {
    return Machine(program, variables, *this).run();
}

}   // namespace slatejunction::expr
