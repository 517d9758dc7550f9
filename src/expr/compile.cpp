// From a checked tree to instructions, with the bound of every part: the most
// its value can be and the most that it can cost. The formulas are those that
// the evaluator charges by (cost.hpp).
#include <algorithm>
#include <cstdio>
#include <map>

#include "expr/check.hpp"
#include "expr/explain.hpp"
#include "expr/function_costs.hpp"
#include "expr/literals.hpp"
#include "expr/program.hpp"
#include "expr/value_bounds.hpp"

namespace slatejunction::expr {
namespace {

using cost::plus;
using cost::times;
using cost::Units;
using Tag = Type::Tag;

constexpr Units kFoldMost = 100'000;   // units, for the constants of one expression

class NoVariables final : public Variables {
  public:
    Value load(std::uint32_t, Arena&, Units&) override { return Value::error("a variable in a constant"); }
};

class Compiler {
  public:
    Compiler(Program& program, const Environment& environment, std::vector<Meaning> meanings)
        : p_(program), environment_(environment), meanings_(std::move(meanings)), folder_(1024) {}

    void all() {
        const Estimate whole = emit(p_.tree.root, 0);
        put(Op::end);
        p_.bound = plus(whole.cost, loads_);
        p_.result = whole.bound;
    }

  private:
    const Node& node(NodeId id) const { return p_.tree[id]; }
    std::size_t put(Op op, std::uint32_t a = 0, std::uint32_t b = 0, std::uint8_t n = 0, Fn fn = Fn::none) {
        p_.code.push_back({op, n, fn, a, b});
        return p_.code.size() - 1;
    }
    std::uint32_t here() const { return static_cast<std::uint32_t>(p_.code.size()); }
    std::uint32_t keep(const Value& value) {
        p_.constants.push_back(value);
        return static_cast<std::uint32_t>(p_.constants.size() - 1);
    }
    void needs(std::size_t stack) { p_.stack = std::max(p_.stack, stack); }

    // Code that leaves the node's value at place `base` of the stack.
    Estimate emit(NodeId id, std::size_t base) {
        needs(base + 1);
        if (const auto folded = fold(id, base)) return *folded;
        const Units rounds = rounds_;
        const std::size_t place = p_.parts.size();
        p_.parts.push_back({id, 0, 0});
        const Units kids_before = kids_;
        kids_ = 0;
        Estimate made = make(id, base);
        p_.parts[place].whole = made.cost;
        p_.parts[place].own = times(made.cost >= kids_ ? made.cost - kids_ : 0, rounds);
        kids_ = plus(kids_before, made.cost);
        return made;
    }

    // A part without variables is worked out here, once, unless that ends in an
    // error: errors are told when the expression runs.
    std::optional<Estimate> fold(NodeId id, std::size_t base) {
        const Node::Kind kind = node(id).kind;
        const bool worth = kind == Node::Kind::call || kind == Node::Kind::list || kind == Node::Kind::map;
        if (!worth || !meanings_[id].constant || folding_ || folded_ >= kFoldMost) return std::nullopt;
        const std::size_t code = p_.code.size(), parts = p_.parts.size(), stack = p_.stack;
        const Units kids = kids_;
        folding_ = true;
        const Estimate whole = emit(id, 0);
        folding_ = false;
        put(Op::end);
        Value value = Value::error("too dear");
        if (whole.cost <= kFoldMost - folded_) {
            Program part;
            part.code.assign(p_.code.begin() + static_cast<std::ptrdiff_t>(code), p_.code.end());
            for (Instruction& one : part.code) {
                const bool jumps = one.op == Op::and_jump || one.op == Op::or_jump ||
                                   one.op == Op::branch || one.op == Op::jump;
                if (jumps) one.a -= static_cast<std::uint32_t>(code);
                if (one.op == Op::branch) one.b -= static_cast<std::uint32_t>(code);
            }
            part.constants = p_.constants;
            part.patterns.swap(p_.patterns);
            part.networks = p_.networks;
            part.stack = p_.stack;
            part.bound = whole.cost;
            NoVariables none;
            const Outcome outcome = folder_.run(part, none);
            part.patterns.swap(p_.patterns);
            folded_ = plus(folded_, outcome.cost);
            value = copy(outcome.value);
            folder_.reset();
        }
        p_.code.resize(code);
        p_.parts.resize(parts);
        kids_ = kids;
        if (value.is_error()) {
            p_.stack = stack;
            return std::nullopt;
        }
        needs(base + 1);
        put(Op::constant, keep(value));
        p_.parts.push_back({id, times(cost::kStep, rounds_), cost::kStep});
        kids_ = plus(kids_, cost::kStep);
        return Estimate{bound_of(value), cost::kStep};
    }

    Value copy(const Value& value) {
        switch (value.kind()) {
            case Kind::text:
                return Value::text(p_.storage.copy(value.view()));
            case Kind::bytes:
                return Value::bytes(p_.storage.copy(value.view()));
            case Kind::ip: {
                auto* to = static_cast<unsigned char*>(p_.storage.take(16));
                std::copy(value.address().begin(), value.address().end(), to);
                return Value::ip(to, value.v4());
            }
            case Kind::list: {
                const std::span<Value> items = p_.storage.array<Value>(value.size());
                for (std::size_t i = 0; i < items.size(); ++i) items[i] = copy(value.items()[i]);
                return Value::list(items);
            }
            case Kind::map: {
                const std::span<Pair> pairs = p_.storage.array<Pair>(value.size());
                for (std::size_t i = 0; i < pairs.size(); ++i)
                    pairs[i] = {copy(value.pairs()[i].key), copy(value.pairs()[i].value)};
                return Value::map(pairs);
            }
            default:
                return value;
        }
    }

    Estimate constant(const Value& value) {
        put(Op::constant, keep(value));
        return {bound_of(value), cost::kStep};
    }
    Estimate text_constant(const std::string& text, bool bytes) {
        const std::string_view kept = p_.storage.copy(text);
        return constant(bytes ? Value::bytes(kept) : Value::text(kept));
    }

    Estimate make(NodeId id, std::size_t base) {
        const Node& n = node(id);
        switch (n.kind) {
            case Node::Kind::null:
                return constant(Value());
            case Node::Kind::boolean:
                return constant(Value::boolean(n.boolean));
            case Node::Kind::integer:
                return constant(Value::integer(n.integer));
            case Node::Kind::natural:
                return constant(Value::natural(n.natural));
            case Node::Kind::real:
                return constant(Value::real(n.real));
            case Node::Kind::text:
            case Node::Kind::bytes:
                return text_constant(n.name, n.kind == Node::Kind::bytes);
            case Node::Kind::name:
            case Node::Kind::select:
                return name(id, base);
            case Node::Kind::has:
                return field(n, base, Op::has_field);
            case Node::Kind::list:
                return list(n, base);
            case Node::Kind::map:
                return map(n, base);
            case Node::Kind::macro:
                return macro(n, base);
            case Node::Kind::call:
                return call(id, n, base);
        }
        return {};
    }

    Estimate name(NodeId id, std::size_t base) {
        const Meaning& meaning = meanings_[id];
        switch (meaning.kind) {
            case Meaning::Kind::variable: {
                const auto number = static_cast<std::uint32_t>(meaning.number);
                const Variable& variable = environment_.variables[meaning.number];
                put(Op::variable, number);
                use(number);
                return {variable.bound, cost::kStep};
            }
            case Meaning::Kind::local:
                put(Op::local, static_cast<std::uint32_t>(meaning.number));
                return {locals_[meaning.number], cost::kStep};
            case Meaning::Kind::type_name:
                return constant(Value::type(static_cast<Kind>(meaning.number)));
            case Meaning::Kind::value:
                return field(node(id), base, Op::field);
        }
        return {};
    }

    // An element of a variable by a literal name: the source may know it without
    // the whole map.
    std::optional<Estimate> element(NodeId map, const std::string& key, bool has) {
        const Meaning& meaning = meanings_[map];
        if (meaning.kind != Meaning::Kind::variable || !meaning.type.is(Tag::map)) return std::nullopt;
        const Variable& variable = environment_.variables[meaning.number];
        const auto number = static_cast<std::uint32_t>(meaning.number);
        put(has ? Op::variable_has : Op::variable_field, number, keep(Value::text(p_.storage.copy(key))));
        use(number);
        const Bound value = has ? Bound{} : part_of(variable.bound);
        return Estimate{value, plus(cost::kStep, look_up(variable.bound, Bound::text(key.size())),
                                    cost::walk(part_of(variable.bound).size))};
    }
    void use(std::uint32_t number) {
        if (std::find(p_.variables.begin(), p_.variables.end(), number) != p_.variables.end()) return;
        p_.variables.push_back(number);
        loads_ = plus(loads_, environment_.variables[number].load_cost);
    }

    Estimate field(const Node& n, std::size_t base, Op op) {
        if (const auto one = element(n.kids[0], n.name, op == Op::has_field)) return *one;
        const Estimate map = emit(n.kids[0], base);
        put(op, keep(Value::text(p_.storage.copy(n.name))));
        return {op == Op::has_field ? Bound{} : part_of(map.bound),
                plus(map.cost, cost::kStep, look_up(map.bound, Bound::text(n.name.size())))};
    }
    // The most that an element of it can be, whatever it is.
    static Bound part_of(const Bound& bound) {
        Bound any;
        for (const Bound& one : bound.of) any = either(any, one);
        return bound.of.size() == 2 ? bound.of[1] : any;
    }
    static Units look_up(const Bound& map, const Bound& key) {
        const Units each = times(map.size, std::min(part(map, 0).size, key.size));
        const Units equal_bytes = std::min(each, part(map, 0).total);
        return cost::find(map.size, equal_bytes);
    }

    Estimate list(const Node& n, std::size_t base) {
        Estimate all{Bound::list(n.kids.size(), {}), plus(cost::kStep, cost::make(n.kids.size(), 0))};
        for (std::size_t i = 0; i < n.kids.size(); ++i) {
            const Estimate item = emit(n.kids[i], base + i);
            all.bound.of[0] = either(all.bound.of[0], item.bound);
            all.cost = plus(all.cost, item.cost);
        }
        put(Op::list, static_cast<std::uint32_t>(n.kids.size()));
        return all;
    }

    Estimate map(const Node& n, std::size_t base) {
        const std::size_t pairs = n.kids.size() / 2;
        Estimate all{Bound::map(pairs, {}, {}), cost::kStep};
        for (std::size_t i = 0; i < n.kids.size(); ++i) {
            const Estimate kid = emit(n.kids[i], base + i);
            all.bound.of[i % 2] = either(all.bound.of[i % 2], kid.bound);
            all.cost = plus(all.cost, kid.cost);
        }
        put(Op::map, static_cast<std::uint32_t>(pairs));
        all.cost = plus(all.cost, cost::build(pairs, all.bound.of[0].size));
        return all;
    }

    Estimate macro(const Node& n, std::size_t base) {
        const auto kind = n.name == "all"          ? Macro::all
                          : n.name == "exists"     ? Macro::exists
                          : n.name == "exists_one" ? Macro::exists_one
                          : n.name == "map"        ? Macro::map
                                                   : Macro::filter;
        const auto number = static_cast<std::uint8_t>(kind);
        const Estimate range = emit(n.kids[0], base);
        const Units count = range.bound.size;
        const bool makes = kind == Macro::map || kind == Macro::filter;
        const std::size_t slot = locals_.size();
        Bound item;
        if (!range.bound.of.empty()) item = range.bound.of[0];
        locals_.push_back(item);
        p_.locals = std::max(p_.locals, locals_.size());
        p_.loops = std::max(p_.loops, ++loops_);
        const std::size_t begin = put(Op::loop_begin, 0, 0, number);
        const std::size_t next = put(Op::loop_next, static_cast<std::uint32_t>(slot));
        const Units rounds = rounds_;
        rounds_ = times(rounds_, count);
        const Units kids = kids_;
        kids_ = 0;
        Units round = plus(cost::kStep, cost::kStep);   // loop_next, loop_step
        if (n.kids.size() == 3) {
            round = plus(round, emit(n.kids[1], base).cost, cost::kStep);
            put(Op::loop_filter, static_cast<std::uint32_t>(next));
        }
        const Estimate body = emit(n.kids.back(), base);
        round = plus(round, body.cost);
        put(Op::loop_step, static_cast<std::uint32_t>(next), 0, number);
        rounds_ = rounds;
        kids_ = plus(kids, times(count, kids_));
        p_.code[next].b = here();
        put(Op::loop_end, 0, 0, number);
        p_.code[begin].b = here();
        locals_.pop_back();
        --loops_;
        Estimate all;
        all.cost = plus(range.cost, plus(cost::kStep, cost::kStep, cost::kStep), times(count, round));
        if (makes) {
            all.cost = plus(all.cost, cost::make(count, 0));
            all.bound = Bound::list(count, kind == Macro::map ? body.bound : item);
        }
        return all;
    }

    Estimate chain(const Node& n, std::size_t base, bool all_of) {
        Estimate total;
        std::vector<std::size_t> jumps;
        for (std::size_t i = 0; i < n.kids.size(); ++i) {
            total.cost = plus(total.cost, emit(n.kids[i], base + (i > 0)).cost);
            if (i > 0) {
                put(all_of ? Op::and_join : Op::or_join);
                total.cost = plus(total.cost, cost::kStep);
            }
            if (i + 1 < n.kids.size()) {
                jumps.push_back(put(all_of ? Op::and_jump : Op::or_jump));
                total.cost = plus(total.cost, cost::kStep);
            }
        }
        for (const std::size_t jump : jumps) p_.code[jump].a = here();
        return total;
    }

    Estimate choice(const Node& n, std::size_t base) {
        const Estimate condition = emit(n.kids[0], base);
        const std::size_t branch = put(Op::branch);
        const Estimate yes = emit(n.kids[1], base);
        const std::size_t jump = put(Op::jump);
        p_.code[branch].a = here();
        const Estimate no = emit(n.kids[2], base);
        p_.code[branch].b = p_.code[jump].a = here();
        return {either(yes.bound, no.bound),
                plus(condition.cost, plus(cost::kStep, cost::kStep), std::max(yes.cost, no.cost))};
    }

    Estimate call(NodeId id, const Node& n, std::size_t base) {
        if (!n.member) {
            if (n.name == "_&&_" || n.name == "_||_") return chain(n, base, n.name == "_&&_");
            if (n.name == "_?_:_") return choice(n, base);
        }
        if (n.name == "_[_]" && !n.member && node(n.kids[1]).kind == Node::Kind::text)
            if (const auto one = element(n.kids[0], node(n.kids[1]).name, false)) return *one;
        if (n.name == "@in" && !n.member && node(n.kids[0]).kind == Node::Kind::text)
            if (const auto one = element(n.kids[1], node(n.kids[0]).name, true)) return *one;
        const Meaning& meaning = meanings_[id];
        const std::size_t taken = meaning.ready ? 1 : n.kids.size();
        std::vector<Bound> bounds;
        Units cost = cost::kStep;
        for (std::size_t i = 0; i < taken; ++i) {
            const Estimate kid = emit(n.kids[i], base + i);
            bounds.push_back(kid.bound);
            cost = plus(cost, kid.cost);
        }
        if (meaning.fn == Fn::none) return operation(n, bounds, cost);
        std::uint32_t ready = 0;
        if (meaning.ready) ready = make_ready(meaning.fn, node(n.kids[1]));
        put(Op::call, ready, 0, static_cast<std::uint8_t>(taken), meaning.fn);
        return estimate_function(meaning.fn, pattern_size(meaning.fn, ready), bounds, cost);
    }

    Estimate operation(const Node& n, const std::vector<Bound>& b, Units cost) {
        static const std::map<std::string, Op> kOps{
            {"_+_", Op::add},      {"_-_", Op::subtract},       {"_*_", Op::multiply},
            {"_/_", Op::divide},   {"_%_", Op::modulo},         {"_==_", Op::equal},
            {"_!=_", Op::unequal}, {"_<_", Op::less},           {"_<=_", Op::less_equal},
            {"_>_", Op::greater},  {"_>=_", Op::greater_equal}, {"@in", Op::in},
            {"_[_]", Op::index},   {"!_", Op::invert},          {"-_", Op::negate}};
        const Op op = kOps.at(n.name);
        put(op);
        switch (op) {
            case Op::add: {
                const Units size = plus(b[0].size, b[1].size);
                Bound both = either(b[0], b[1]);
                both.size = size;
                const bool lists = !b[0].of.empty() || !b[1].of.empty();
                return {both, plus(cost, cost::make(lists ? plus(size, 1) : 1, size))};
            }
            case Op::equal:
            case Op::unequal:
                return {{}, plus(cost, equality_cost(b[0], b[1]))};
            case Op::less:
            case Op::less_equal:
            case Op::greater:
            case Op::greater_equal:
                return {{}, plus(cost, cost::compare(b[0].size, b[1].size))};
            case Op::in: {
                const Units in_list = times(b[1].size, equality_cost(b[0], part(b[1], 0)));
                return {{}, plus(cost, in_list, look_up(b[1], b[0]))};
            }
            case Op::index:
                return {part_of(b[0]), plus(cost, look_up(b[0], b[1]))};
            default:
                return {{}, cost};
        }
    }

    std::uint32_t make_ready(Fn fn, const Node& literal) {
        if (fn == Fn::in_cidr) {
            p_.networks.push_back(parse_network(literal));
            return static_cast<std::uint32_t>(p_.networks.size() - 1);
        }
        p_.patterns.push_back(compile_pattern(fn, literal));
        return static_cast<std::uint32_t>(p_.patterns.size() - 1);
    }

    Units pattern_size(Fn fn, std::uint32_t ready) const {
        const bool has_pattern = fn == Fn::matches || fn == Fn::glob;
        return has_pattern ? static_cast<Units>(p_.patterns[ready]->ProgramSize()) : 0;
    }

    Program& p_;
    const Environment& environment_;
    const std::vector<Meaning> meanings_;
    Evaluator folder_;
    bool folding_ = false;
    Units folded_ = 0;
    std::vector<Bound> locals_;
    std::size_t loops_ = 0;
    Units loads_ = 0;    // of the variables, each once
    Units rounds_ = 1;   // of all loops round the part that is being compiled
    Units kids_ = 0;     // cost of the parts below it so far
};

void want(const Program& program, const LoadOptions& options) {
    const Type& type = program.type;
    const auto key = [](const Type& one) {
        return one.is(Tag::text) || one.is(Tag::integer) || one.is(Tag::natural) || one.is(Tag::boolean);
    };
    if (options.any_key) {
        if (!key(type) && !(type.is(Tag::list) && key(type.of[0])))
            throw LoadError(
                program.tree[program.tree.root].at,
                "a key is a string, int, uint, bool or a list of one of them, not " + type.name());
    } else if (options.wanted != Tag::dyn && type.tag != options.wanted) {
        throw LoadError(program.tree[program.tree.root].at,
                        "of type " + type.name() + "; wanted is " + Type{options.wanted, {}}.name());
    }
}

}   // namespace

Program compile(const std::string& source, const Environment& environment, const LoadOptions& options) {
    Program program;
    program.tree = parse(source);
    std::vector<Meaning> meanings = check(program.tree, environment);
    program.type = meanings[program.tree.root].type;
    for (const Meaning& one : meanings) program.types.push_back(one.type);
    want(program, options);
    Compiler(program, environment, std::move(meanings)).all();
    if (program.bound > options.max_cost) {
        auto parts = program.parts;
        std::sort(parts.begin(), parts.end(), [](const auto& a, const auto& b) { return a.own > b.own; });
        std::string dear;
        for (std::size_t i = 0; i < std::min<std::size_t>(2, parts.size()); ++i)
            dear += (i ? ", " : "; dearest: ") + short_text(program.tree, parts[i].node) + " " +
                    format_units(parts[i].own);
        throw LoadError(program.tree[parts[0].node].at, "may cost " + format_units(program.bound) +
                                                            ", over max_cost " +
                                                            std::to_string(options.max_cost) + dear);
    }
    return program;
}

}   // namespace slatejunction::expr
