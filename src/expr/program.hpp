// A compiled expression, and what runs it.
#pragma once

#include <re2/re2.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "expr/cost.hpp"
#include "expr/functions.hpp"
#include "expr/loop.hpp"
#include "expr/syntax.hpp"
#include "expr/types.hpp"
#include "expr/value.hpp"

namespace slatejunction::expr {

enum class Op : std::uint8_t {
    constant,   // push constants[a]
    variable,   // push the variable a
    local,      // push the local a
    and_jump,   // top is false: go to a
    and_join,   // two to one
    or_jump,    // top is true: go to a
    or_join,
    branch,   // pop; false: go to a; an error: push it, go to b
    jump,     // go to a
    negate,   // -x
    invert,   // !x
    add,
    subtract,
    multiply,
    divide,
    modulo,
    equal,
    unequal,
    less,
    less_equal,
    greater,
    greater_equal,
    in,
    index,
    field,            // top[constants[a]]
    has_field,        // whether that is there
    variable_field,   // push the variable a's element constants[b]
    variable_has,     // push whether it is there
    list,             // a values to one
    map,              // a pairs to one
    call,             // fn over n values; a: its pattern or network
    loop_begin,       // pop the range; an error: push it, go to b
    loop_next,        // the next item into local a; none: go to b
    loop_filter,      // pop; false: go to a
    loop_step,        // pop the round's value, go to a
    loop_end,         // push the loop's result
    end,
};

struct Instruction {
    Op op = Op::end;
    std::uint8_t n = 0;   // of a call: values it takes; of a loop: its Macro
    Fn fn = Fn::none;
    std::uint32_t a = 0, b = 0;
};

struct Network {
    std::array<unsigned char, 16> address{};
    unsigned bits = 0;   // of 128
    bool v4 = false;
};

// The cost of one part of the source, for those who ask why an expression costs
// what it does.
struct PartCost {
    NodeId node = 0;
    cost::Units own = 0;     // at most, in all rounds of the loops round it
    cost::Units whole = 0;   // at most, with its kids, once
};

struct Program {
    Tree tree;
    Type type;
    Bound result;              // the most that its value can be
    cost::Units bound = 0;     // the most that one evaluation spends
    std::vector<Type> types;   // by node
    std::vector<PartCost> parts;
    std::vector<Instruction> code;
    std::vector<Value> constants;
    std::vector<std::unique_ptr<RE2>> patterns;
    std::vector<Network> networks;
    std::vector<std::uint32_t> variables;   // numbers in the environment, each once
    std::size_t stack = 0, locals = 0, loops = 0;
    Arena storage{1024};   // of the constants
};

struct LoadOptions {
    cost::Units max_cost = cost::kMost;   // a bound over it is a load error
    Type::Tag wanted = Type::Tag::dyn;    // dyn: any type; else any other is a load error, dyn too
    bool any_key = false;                 // the type may be text, int, uint, bool or a list of them
};

// Parses, checks, bounds and compiles. Throws LoadError. The environment's
// order of variables is what Variables::load() is asked by.
Program compile(const std::string& source, const Environment& environment, const LoadOptions& options = {});
// The compiled program and the types and costs of its parts, for people.
std::string explain(const Program& program, const Environment& environment);

// Where the variables come from.
class Variables {
  public:
    virtual ~Variables() = default;
    // The value of environment.variables[number], of its type and within its
    // bound, or an error. What is made for it lies in the arena. `spent` is added
    // to the cost: in one run at most the variable's load_cost for all times that
    // it is asked for.
    virtual Value load(std::uint32_t number, Arena& arena, cost::Units& spent) = 0;
    // One element of a map; `has`: whether it is there. For sources that know it
    // without making the map. Costs at most what looking it up in the map does
    // and a look at its value, beside load().
    virtual Value field(std::uint32_t number, const Value& key, bool has, Arena& arena, cost::Units& spent);
};

struct Outcome {
    Value value;   // an error is a value
    cost::Units cost = 0;
};

// Runs programs, one at a time. Holds the memory they need, which grows to the
// largest's need and is kept.
class Evaluator {
  public:
    // `arena`: bytes held ready for texts and lists.
    explicit Evaluator(std::size_t arena = std::size_t{16} * 1024) : arena_(arena) {}
    // Values live until reset(). Allocates nothing but what the arena has no space
    // for.
    Outcome run(const Program& program, Variables& variables);
    void reset() { arena_.reset(); }
    Arena& arena() { return arena_; }

  private:
    friend class Machine;
    std::vector<Value> stack_, locals_;
    std::vector<Loop> loops_;
    Arena arena_;
};

// a and b as the language's == has them; what it costs is added to `spent`.
bool equal(const Value& a, const Value& b, cost::Units& spent);

}   // namespace slatejunction::expr
