#include "expr/explain.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>

#include "expr/functions.hpp"
#include "expr/program.hpp"

namespace slatejunction::expr {
namespace {

constexpr std::size_t kMaxShortText = 48;      // bytes
constexpr std::size_t kMaxConstantText = 60;   // bytes
constexpr std::string_view kEllipsis = "...";

// In the order of Op.
constexpr std::array<const char*, 38> kOperationNames{
    "constant",      "variable", "local",  "and_jump",   "and_join",  "or_jump",        "or_join",
    "branch",        "jump",     "negate", "invert",     "add",       "subtract",       "multiply",
    "divide",        "modulo",   "equal",  "unequal",    "less",      "less_equal",     "greater",
    "greater_equal", "in",       "index",  "field",      "has_field", "variable_field", "variable_has",
    "list",          "map",      "call",   "loop_begin", "loop_next", "loop_filter",    "loop_step",
    "loop_end",      "end",      ""};

std::string function_name(Fn function) {
    const auto all = overloads();
    const auto overload =
        std::find_if(all.begin(), all.end(), [&](const Overload& other) { return other.fn == function; });
    return std::string(overload->name);
}

std::string operands_of(const Program& program, const Environment& environment,
                        const Instruction& instruction) {
    switch (instruction.op) {
        case Op::constant:
        case Op::field:
        case Op::has_field:
            return to_json(program.constants[instruction.a]).substr(0, kMaxConstantText);
        case Op::variable_field:
        case Op::variable_has:
            return environment.variables[instruction.a].name + "[" +
                   to_json(program.constants[instruction.b]) + "]";
        case Op::variable:
            return environment.variables[instruction.a].name;
        case Op::call:
            return function_name(instruction.fn) + "/" + std::to_string(instruction.n);
        case Op::branch:
        case Op::loop_next:
            return std::to_string(instruction.a) + ", " + std::to_string(instruction.b);
        case Op::loop_begin:
            return std::to_string(instruction.b);
        case Op::end:
            return "";
        default:
            return instruction.a || instruction.op == Op::jump ? std::to_string(instruction.a) : "";
    }
}

}   // namespace

std::string short_text(const Tree& tree, NodeId id) {
    // Nodes hold no range of the source: the part is printed as a tree of its own.
    Tree part = tree;
    part.root = id;
    std::string text = print(part);
    if (text.size() > kMaxShortText) {
        std::size_t cut = kMaxShortText - kEllipsis.size();
        while ((static_cast<unsigned char>(text[cut]) & 0xc0) == 0x80) --cut;
        text = text.substr(0, cut) + std::string(kEllipsis);
    }
    return text;
}

std::string format_units(cost::Units units) {
    return units == cost::kMost ? "without end" : std::to_string(units);
}

std::string explain(const Program& program, const Environment& environment) {
    std::string text = "type " + program.type.name() + "\nbound " + format_units(program.bound) + "\n\n";
    char line[200];
    std::snprintf(line, sizeof line, "%12s %12s  %-24s %s\n", "whole", "own", "type", "part");
    text += line;
    for (const PartCost& part : program.parts) {
        std::snprintf(line, sizeof line, "%12s %12s  %-24s ", format_units(part.whole).c_str(),
                      format_units(part.own).c_str(), program.types[part.node].name().c_str());
        text += line + short_text(program.tree, part.node) + "\n";
    }
    text += "\n";
    for (std::size_t i = 0; i < program.code.size(); ++i) {
        const Instruction& instruction = program.code[i];
        const std::string operands = operands_of(program, environment, instruction);
        std::snprintf(line, sizeof line, "%5zu  %-14s ", i,
                      kOperationNames[static_cast<std::size_t>(instruction.op)]);
        text += line + operands + "\n";
    }
    return text;
}

}   // namespace slatejunction::expr
