#include "expr/explain.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace slatejunction::expr {
namespace {

constexpr std::array<const char*, 38> kOpNames{
    "constant",      "variable", "local",  "and_jump",   "and_join",  "or_jump",        "or_join",
    "branch",        "jump",     "negate", "invert",     "add",       "subtract",       "multiply",
    "divide",        "modulo",   "equal",  "unequal",    "less",      "less_equal",     "greater",
    "greater_equal", "in",       "index",  "field",      "has_field", "variable_field", "variable_has",
    "list",          "map",      "call",   "loop_begin", "loop_next", "loop_filter",    "loop_step",
    "loop_end",      "end",      ""};

std::string operands_of(const Program& program, const Environment& environment,
                        const std::vector<Overload>& overloads, const Instruction& one) {
    switch (one.op) {
        case Op::constant:
        case Op::field:
        case Op::has_field:
            return to_json(program.constants[one.a]).substr(0, 60);
        case Op::variable_field:
        case Op::variable_has:
            return environment.variables[one.a].name + "[" + to_json(program.constants[one.b]) + "]";
        case Op::variable:
            return environment.variables[one.a].name;
        case Op::call: {
            const auto called =
                std::find_if(overloads.begin(), overloads.end(),
                             [&](const Overload& overload) { return overload.fn == one.fn; });
            return std::string(called->name) + "/" + std::to_string(one.n);
        }
        case Op::branch:
        case Op::loop_next:
            return std::to_string(one.a) + ", " + std::to_string(one.b);
        case Op::loop_begin:
            return std::to_string(one.b);
        case Op::jump:
            return std::to_string(one.a);
        case Op::end:
            return {};
        default:
            return one.a ? std::to_string(one.a) : "";
    }
}

}   // namespace

std::string short_text(const Tree& tree, NodeId id) {
    // The part's source is not kept as a range: it is printed, as a tree of its
    // own.
    Tree part = tree;
    part.root = id;
    std::string text = print(part);
    if (text.size() > 48) {
        std::size_t cut = 45;
        while ((static_cast<unsigned char>(text[cut]) & 0xc0) == 0x80) --cut;
        text = text.substr(0, cut) + "...";
    }
    return text;
}

std::string units_text(cost::Units count) {
    return count == cost::kMost ? "without end" : std::to_string(count);
}

std::string explain(const Program& program, const Environment& environment) {
    std::string text = "type " + program.type.name() + "\nbound " + units_text(program.bound) + "\n\n";
    char line[200];
    std::snprintf(line, sizeof line, "%12s %12s  %-24s %s\n", "whole", "own", "type", "part");
    text += line;
    for (const PartCost& part : program.parts) {
        std::snprintf(line, sizeof line, "%12s %12s  %-24s ", units_text(part.whole).c_str(),
                      units_text(part.own).c_str(), program.types[part.node].name().c_str());
        text += line + short_text(program.tree, part.node) + "\n";
    }
    text += "\n";
    const auto all = overloads();
    for (std::size_t i = 0; i < program.code.size(); ++i) {
        const Instruction& one = program.code[i];
        const std::string operands = operands_of(program, environment, all, one);
        std::snprintf(line, sizeof line, "%5zu  %-14s ", i, kOpNames[static_cast<std::size_t>(one.op)]);
        text += line + operands + "\n";
    }
    return text;
}

}   // namespace slatejunction::expr
