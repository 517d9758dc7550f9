// Compares fast conditions and direct keys with the evaluator, over random conditions, keys and requests.
// The requests have headers that are missing, repeated or not UTF-8. Whatever is decided without the
// evaluator must be what the evaluator returns.
#include "rules/fast_conditions.hpp"

#include <catch2/catch.hpp>
#include <random>

#include "rules/direct_key.hpp"
#include "rules/key_bytes.hpp"

using namespace slatejunction;
using Result = rules::Condition::TestResult;
using Strings = std::vector<std::string>;

namespace {

struct Generator {
    std::mt19937_64 random{20261202};
    const Strings texts{"risk-read", "warn-send", "plus",     "/a",   "/a/b",
                        "storm",     "",          "\xc3\xa9", "\xff", "x"};
    const Strings literals{"risk-read", "warn-send", "plus", "/a", "/a/b", "storm", "", "\xc3\xa9", "x"};
    const Strings ops{"==", "!=", "<", "<=", ">", ">="};

    template <class T>
    const T& pick(const std::vector<T>& choices) {
        return choices[random() % choices.size()];
    }
    std::string text_variable() {
        return pick(Strings{"request.method", "request.path", "request.query", "request.class",
                            "request.plan", "request.id", "request.headers['x-desk']",
                            "request.headers['x-other']", "request.headers['X-Desk']"});
    }
    std::string literal() { return "'" + pick(literals) + "'"; }
    std::string operand() {
        const auto small_integer = [&] { return std::to_string(random() % 4); };
        switch (random() % 11) {
            case 0:
                return text_variable() + pick(Strings{" == ", " != "}) + literal();
            case 1:
                return text_variable() + ".startsWith(" + literal() + ")";
            case 2:
                return text_variable() + " in [" + literal() + ", " + literal() + "]";
            case 3:
                return pick(Strings{"request.customer ", "request.deadline_ms "}) + pick(ops) + " " +
                       small_integer();
            case 4:
                return "request.units " + pick(ops) + " " + small_integer() + ".0";
            case 5:
                return "bucket(request.customer, 3) " + pick(ops) + " " + small_integer();
            case 6:
                return pick(Strings{"", "!"}) + "request.retry";
            case 7:
                return pick(Strings{"", "!"}) + "('x-desk' in request.headers)";
            case 8:
                return "'X-Desk' in request.headers";   // never holds: names are in lower case
            case 9:
                return "(" + operand() + " || " + operand() + ")";   // needs the evaluator
            default:
                return pick(Strings{"true", "false", "1 / request.customer == 1"});
        }
    }
    std::string condition() {
        std::string condition = operand();
        for (std::size_t more = random() % 3; more > 0; --more) condition += " && " + operand();
        return condition;
    }
};

// A random request, which owns what its facts refer to.
struct Request {
    Strings texts;
    std::vector<std::pair<std::string, std::string>> headers;
    std::vector<http::Field> fields;
    rules::RequestFacts facts;

    explicit Request(Generator& generator) {
        for (int i = 0; i < 6; ++i) texts.push_back(generator.pick(generator.texts));
        for (std::size_t left = generator.random() % 4; left > 0; --left)
            headers.emplace_back(generator.pick(Strings{"X-Desk", "x-desk", "Host", "X-Other"}),
                                 generator.pick(generator.texts));
        for (const auto& [name, value] : headers) fields.push_back({name, value});
        facts = {texts[0], texts[1], texts[2], texts[3], texts[4], texts[5], fields, 0, 0, 0, false};
        facts.customer = static_cast<std::int64_t>(generator.random() % 4);
        facts.deadline_ms = static_cast<std::int64_t>(generator.random() % 4);
        facts.units = static_cast<double>(generator.random() % 8) / 2;
        facts.retry = generator.random() % 2 == 0;
    }
};

}   // namespace

TEST_CASE("a fast condition has the same result as the evaluator") {
    Generator generator;
    const auto environment = rules::environment(rules::Scope::request);
    const rules::GatewayFacts gateway;
    int decided = 0, needs_evaluator = 0, missing = 0;
    for (int round = 0; round < 400; ++round) {
        const std::string source = generator.condition();
        const auto program = expr::compile(source, environment, {.wanted = expr::Type::Tag::boolean});
        rules::RequestView view;
        const rules::Condition condition(program, {}, view);
        rules::RuleVariables variables(gateway);
        expr::Evaluator evaluator;
        for (int i = 0; i < 40; ++i) {
            const Request request(generator);
            view.begin(request.facts);
            const Result result = condition.evaluate(view);
            variables.begin(&request.facts, nullptr);
            evaluator.reset();
            const auto value = evaluator.run(program, variables).value;
            INFO(source);
            needs_evaluator += result == Result::needs_evaluator;
            if (result == Result::needs_evaluator) continue;
            ++decided;
            missing += result == Result::missing;
            if (result == Result::missing) {
                REQUIRE(value.is_error());
                REQUIRE(value.view() == "no such key");
            } else {
                REQUIRE(value.is(expr::Kind::boolean));
                REQUIRE(value.truth() == (result == Result::yes));
            }
        }
    }
    // Each kind of result occurred often.
    CHECK(decided > 9'000);
    CHECK(needs_evaluator > 1'000);
    CHECK(missing > 300);
}

TEST_CASE("a key that is read without the evaluator has the same bytes as the evaluator's value") {
    Generator generator;
    const auto environment = rules::environment(rules::Scope::request);
    const rules::GatewayFacts gateway;
    int built_keys = 0;
    for (int round = 0; round < 200; ++round) {
        const auto random_part = [&] {
            return generator.random() % 3
                       ? generator.text_variable()
                       : generator.pick(Strings{"request.customer", "request.deadline_ms"});
        };
        std::string source = random_part();
        if (generator.random() % 2)
            source = "[" + source + (generator.random() % 2 ? ", " + source : "") + "]";
        const auto program = expr::compile(source, environment, {.any_key = true});
        rules::RequestView view;
        const rules::DirectKey direct(program, view);
        REQUIRE(static_cast<bool>(direct) == (source.find("X-Desk") == std::string::npos));
        rules::RuleVariables variables(gateway);
        expr::Evaluator evaluator;
        for (int i = 0; i < 20 && direct; ++i) {
            const Request request(generator);
            view.begin(request.facts);
            std::string key, expected;
            if (!direct.append_to(view, key)) continue;
            ++built_keys;
            variables.begin(&request.facts, nullptr);
            evaluator.reset();
            const auto value = evaluator.run(program, variables).value;
            INFO(source);
            REQUIRE_FALSE(value.is_error());
            rules::append_key(expected, value);
            REQUIRE(key == expected);
            if (value.is(expr::Kind::text) && direct.text(view).data())
                REQUIRE(direct.text(view) == value.view());
        }
    }
    CHECK(built_keys > 1'500);
}

TEST_CASE("a condition on a request head with too many fields or bytes needs the evaluator") {
    const auto environment = rules::environment(rules::Scope::request);
    const auto program = expr::compile("'x-desk' in request.headers", environment, {});
    rules::RequestView view;
    const rules::Condition condition(program, {}, view);
    rules::RequestFacts facts;
    std::vector<http::Field> fields(http::kMaxHeaderFields + 1, http::Field{"x", "y"});
    facts.headers = fields;
    view.begin(facts);
    CHECK(condition.evaluate(view) == Result::needs_evaluator);
    facts.headers = std::span(fields).first(http::kMaxHeaderFields);
    view.begin(facts);
    CHECK(condition.evaluate(view) == Result::no);
    const std::string large(http::kMaxHeadBytes, 'x');
    fields[0].value = large;
    view.begin(facts);
    CHECK(condition.evaluate(view) == Result::needs_evaluator);
}
