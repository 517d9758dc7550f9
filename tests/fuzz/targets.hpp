// What the fuzzers hold the language to, for any bytes. Each gives what is wrong, or nothing. An input is a
// source text and, behind a zero byte, the text that the variables hold.
#pragma once

#include <string>
#include <string_view>

#include "expr/program.hpp"

namespace fuzz {

// Parses or is refused; printed and parsed again it is the same tree.
inline std::string parse_and_print(std::string_view input) {
    using namespace slatejunction::expr;
    Tree tree;
    try {
        tree = parse(std::string(input.substr(0, input.find('\0'))));
    } catch (const LoadError& error) {
        describe(error, input);
        return "";
    }
    const std::string printed = print(tree);
    try {
        return same(tree, parse(printed)) ? "" : "another tree: " + printed;
    } catch (const LoadError& error) {
        // Signs and brackets that the source did without may take it over the limit of the source.
        return printed.size() > kSourceMost ? "" : "can't be read again: " + printed;
    }
}

class Texts final : public slatejunction::expr::Variables {
  public:
    explicit Texts(std::string_view text) {
        using namespace slatejunction::expr;
        const Type word{Type::Tag::text, {}}, integer{Type::Tag::integer, {}}, dyn;
        const bool good = valid_utf8(text);
        const Value value = good ? Value::text(text) : Value::error("not UTF-8");
        items_ = {value, Value::text("a"), Value::text("")};
        pairs_ = {{Value::text("k"), value}, {Value::text("a"), Value::text("b")}};
        if (!good) items_.clear(), pairs_.clear();
        const Bound bound = Bound::text(text.size() + 1);
        const auto add = [&](const char* name, Type type, Bound most, Value of) {
            environment.variables.push_back({name, std::move(type), std::move(most), 0});
            values_.push_back(of);
        };
        add("s", word, bound, value);
        add("l", Type::list(word), Bound::list(3, bound), Value::list(items_));
        add("m", Type::map(word, word), Bound::map(2, bound, bound), Value::map(pairs_));
        add("i", integer, {}, Value::integer(static_cast<std::int64_t>(text.size())));
        add("d", dyn, bound, value);
        add("r.x", integer, {}, Value::integer(-1));
    }
    slatejunction::expr::Value load(std::uint32_t number, slatejunction::expr::Arena&,
                                    slatejunction::expr::cost::Units&) override {
        return values_[number];
    }
    slatejunction::expr::Environment environment;

  private:
    std::vector<slatejunction::expr::Value> items_, values_;
    std::vector<slatejunction::expr::Pair> pairs_;
};

// Loads or is refused; what it spends stays within its bound, and its value can be told.
inline std::string load_and_run(std::string_view input) {
    using namespace slatejunction::expr;
    const std::size_t zero = std::min(input.find('\0'), input.size());
    Texts texts(input.substr(std::min(zero + 1, input.size())));
    try {
        LoadOptions options;
        options.max_cost = 2'000'000;   // so that no input takes long
        const Program program = compile(std::string(input.substr(0, zero)), texts.environment, options);
        Evaluator evaluator(1024);
        const Outcome outcome = evaluator.run(program, texts);
        if (outcome.cost > program.bound || outcome.value.view() == kOverBound)
            return "cost " + std::to_string(outcome.cost) + " over " + std::to_string(program.bound);
        const bool parts = outcome.value.is(Kind::list) || outcome.value.is(Kind::map);
        if (!parts) to_text(outcome.value);
        to_json(outcome.value);
        explain(program, texts.environment);
    } catch (const LoadError& error) {
        describe(error, input);
    }
    return "";
}

}   // namespace fuzz
