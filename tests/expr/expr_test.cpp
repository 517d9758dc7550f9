// The expression language: what is refused at load and how it is told, what expressions give, and that no
// evaluation costs more than its bound.
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <random>

#include "expr/program.hpp"
#include "fuzz/targets.hpp"
#include "rules/variables.hpp"

using namespace slatejunction;
using expr::Bound;
using expr::Type;
using expr::Value;

namespace {

constexpr std::size_t kLong = 64 * 1024;

// Variables of a test: each a value of its own.
class Given : public expr::Variables {
  public:
    void add(const std::string& name, const std::string& type, Value value, Bound bound) {
        environment.variables.push_back({name, *expr::read_type(type), std::move(bound), 0});
        values.push_back(value);
    }
    Value load(std::uint32_t number, expr::Arena&, expr::cost::Units&) override { return values[number]; }
    expr::Environment environment;
    std::vector<Value> values;
};

struct World : Given {
    World() {
        add("i", "int", Value::integer(7), {});
        add("u", "uint", Value::natural(7), {});
        add("d", "double", Value::real(2.5), {});
        add("b", "bool", Value::boolean(true), {});
        add("s", "string", Value::text(text), Bound::text(kLong));
        add("words", "list(string)", Value::list(list), Bound::list(64, Bound::text(kLong)));
        add("m", "map(string, string)", Value::map(pairs),
            Bound::map(64, Bound::text(kLong), Bound::text(kLong)));
        add("x.y", "int", Value::integer(1), {});
        add("bad", "string", Value::error("not UTF-8"), Bound::text(10));
        add("any", "dyn", Value::text("seven"), Bound::text(10));
    }
    std::string text = "Hello, h\u00e9llo";
    std::vector<Value> list{Value::text("one"), Value::text("two"), Value::text("three")};
    std::vector<expr::Pair> pairs{{Value::text("a"), Value::text("1")},
                                  {Value::text("b"), Value::text("2")}};
};

// The value as text, or "error: why"; its cost is held to its bound.
std::string value_of(const std::string& source, World& world) {
    const expr::Program program = expr::compile(source, world.environment);
    expr::Evaluator evaluator;
    const expr::Outcome outcome = evaluator.run(program, world);
    INFO(source << " cost " << outcome.cost << " of " << program.bound);
    CHECK(outcome.cost <= program.bound);
    CHECK(outcome.value.view() != expr::kOverBound);
    if (outcome.value.is_error()) return "error: " + std::string(outcome.value.view());
    return expr::to_json(outcome.value);
}

std::string fault_of(const std::string& source, const expr::LoadOptions& options = {}) {
    const World world;
    try {
        expr::compile(source, world.environment, options);
    } catch (const expr::LoadError& error) {
        return describe(error, source);
    }
    return "";
}

}   // namespace

TEST_CASE("expressions give what CEL's definition says") {
    const std::vector<std::pair<const char*, const char*>> all{
        // Literals.
        {"42", "\"42\""},
        {"0x2A", "\"42\""},
        {"-9223372036854775808", "\"-9223372036854775808\""},
        {"42u", "\"42\""},
        {"18446744073709551615u", "\"18446744073709551615\""},
        {"1.5e2", "150.0"},
        {".5", "0.5"},
        {"null", "null"},
        {"'a\\n\\x41\\u00e9\\101'", "\"a\\nA\u00e9A\""},
        {"r'a\\n'", "\"a\\\\n\""},
        {"'''it's'''", "\"it's\""},
        {"b'\\xff\\x00'", "\"/wA=\""},
        {"\"\"\"a\nb\"\"\"", "\"a\\nb\""},
        // Precedence and associativity.
        {"1 + 2 * 3 - 4", "\"3\""},
        {"(1 + 2) * 3", "\"9\""},
        {"10 - 4 - 3", "\"3\""},
        {"100 / 10 / 5", "\"2\""},
        {"2 + 3 == 5 && 1 < 2", "true"},
        {"true || false && false", "true"},
        {"(true || false) && false", "false"},
        {"!true || true", "true"},
        {"!(true || true)", "false"},
        {"- 2 + 3", "\"1\""},
        {"1 - -1", "\"2\""},
        {"1 < 2 == true", "true"},
        {"false ? 1 : true ? 2 : 3", "\"2\""},
        {"1 + 1 in [2]", "true"},
        {"-i * 2", "\"-14\""},
        {"7 % 4 * 2", "\"6\""},
        {"!b", "false"},
        {"--i", "\"7\""},
        // The edges of numbers.
        {"9223372036854775807 + 1", "error: int overflow"},
        {"-9223372036854775808 - 1", "error: int overflow"},
        {"-9223372036854775808 / -1", "error: int overflow"},
        {"-9223372036854775808 % -1", "error: int overflow"},
        {"-(-9223372036854775808)", "error: int overflow"},
        {"9223372036854775807 * 2", "error: int overflow"},
        {"18446744073709551615u + 1u", "error: uint overflow"},
        {"0u - 1u", "error: uint overflow"},
        {"18446744073709551615u * 2u", "error: uint overflow"},
        {"1 / 0", "error: division by zero"},
        {"1u % 0u", "error: division by zero"},
        {"1.0 / 0.0", "\"Infinity\""},
        {"-1.0 / 0.0", "\"-Infinity\""},
        {"0.0 / 0.0 == 0.0 / 0.0", "false"},
        {"-7 / 2", "\"-3\""},
        {"-7 % 2", "\"-1\""},
        {"int(9223372036854775807.0)", "error: out of the range of int"},
        {"int(-1.9)", "\"-1\""},
        {"uint(-1)", "error: out of the range of uint"},
        {"uint(1.9)", "\"1\""},
        {"int(9223372036854775808u)", "error: out of the range of int"},
        {"int('-12')", "\"-12\""},
        {"int('1x')", "error: no int"},
        {"double('1e3')", "1000.0"},
        {"dyn(9007199254740993) == 9007199254740992.0", "false"},
        {"9007199254740993 > 9007199254740992.0", "true"},
        {"18446744073709551615u > -1", "true"},
        {"dyn(1) == 1u && dyn(1u) == 1.0", "true"},
        {"-1 < 0u", "true"},
        {"9223372036854775807 < 9223372036854775808.0", "true"},
        // Errors are absorbed by an answer on the other side, of either side.
        {"1 / 0 == 1 || true", "true"},
        {"true || 1 / 0 == 1", "true"},
        {"1 / 0 == 1 && false", "false"},
        {"1 / 0 == 1 || false", "error: division by zero"},
        {"1 / 0 == 1 && true", "error: division by zero"},
        {"bad == 'x' || i == 7", "true"},
        {"i == 7 && bad == 'x'", "error: not UTF-8"},
        {"1 / 0 == 1 ? 1 : 2", "error: division by zero"},
        {"false ? 1 / 0 : 2", "\"2\""},
        {"false || 1 / 0 == 1 || true", "true"},
        {"any && false", "false"},
        {"any && true", "error: no such overload"},
        // Macros.
        {"[1, 2, 3].all(n, n > 0)", "true"},
        {"[1, 0].all(n, 1 / n > 0)", "error: division by zero"},
        {"[0, 5].all(n, 1 / n > 5)", "false"},
        {"[0, 5].exists(n, 5 / n == 1)", "true"},
        {"[].all(n, false)", "true"},
        {"[1, 2, 2].exists_one(n, n == 1)", "true"},
        {"[1, 2, 2].exists_one(n, n == 2)", "false"},
        {"[1, 0].exists_one(n, 1 / n == 1)", "error: division by zero"},
        {"[1, 2, 3].map(n, n * n)", "[\"1\",\"4\",\"9\"]"},
        {"[1, 2, 3].map(n, n > 1, n + i)", "[\"9\",\"10\"]"},
        {"[1, 0].map(n, 1 / n)", "error: division by zero"},
        {"words.filter(w, w.size() > 3)", "[\"three\"]"},
        {"m.exists(k, m[k] == '2')", "true"},
        {"m.map(k, k)", "[\"a\",\"b\"]"},
        {"[[1, 2], [3]].map(l, l.map(n, n + l.size()))", "[[\"3\",\"4\"],[\"4\"]]"},
        {"[1].map(i, i + 1) == [2] && i == 7", "true"},
        {"[5].map(x, .x.y + x)", "[\"6\"]"},
        {"[1, 2].map(n, n == 1, 1 / (n - 1))", "error: division by zero"},
        // Lists, maps, has, in.
        {"[1, 2][1]", "\"2\""},
        {"[1][2]", "error: index out of range"},
        {"[1][-1]", "error: index out of range"},
        {"[1] + [2, 3]", "[\"1\",\"2\",\"3\"]"},
        {"{'a': 1, 'b': 2}['b']", "\"2\""},
        {"{'a': 1}.a", "\"1\""},
        {"m['c']", "error: no such key"},
        {"has(m.a)", "true"},
        {"has(m.c)", "false"},
        {"'a' in m", "true"},
        {"3 in [1, 2]", "false"},
        {"{1: 'x', 1: 'y'}", "error: a key given twice"},
        {"{true: 1, 2u: 2}[2u]", "\"2\""},
        {"{'a': [1]} == {'a': [1]}", "true"},
        {"{'a': 1, 'b': 2} == {'b': 2, 'a': 1}", "true"},
        {"[1, 'a'][1]", "\"a\""},
        {"[1] == [1, 2]", "false"},
        {"size(m) + size(words)", "\"5\""},
        {"[] == []", "true"},
        // Texts.
        {"size('h\u00e9')", "\"2\""},
        {"s.contains('h\u00e9')", "true"},
        {"s.startsWith('Hello')", "true"},
        {"'abc'.endsWith('bc')", "true"},
        {"s.matches('^H.*o$')", "true"},
        {"matches('ab', '^b')", "false"},
        {"'a' + 'b' < 'ac'", "true"},
        {"b'a' + b'b' == b'ab'", "true"},
        {"s.charAt(8)", "\"\u00e9\""},
        {"s.substring(7, 9)", "\"h\u00e9\""},
        {"'abc'.substring(3)", "\"\""},
        {"'abc'.substring(2, 1)", "error: index out of range"},
        {"'h\u00e9llo'.indexOf('l')", "\"2\""},
        {"'abcabc'.indexOf('c', 3)", "\"5\""},
        {"'abc'.indexOf('x')", "\"-1\""},
        {"'aaaa'.lastIndexOf('aa')", "\"2\""},
        {"'aaaa'.lastIndexOf('aa', 1)", "\"1\""},
        {"'abc'.lastIndexOf('')", "\"3\""},
        {"'AbC'.lowerAscii() + 'AbC'.upperAscii()", "\"abcABC\""},
        {"' a '.trim()", "\"a\""},
        {"'aXbX'.replace('X', 'yy')", "\"ayybyy\""},
        {"'aXbX'.replace('X', '', 1)", "\"abX\""},
        {"'ab'.replace('', '-')", "\"-a-b-\""},
        {"'a,b,,c'.split(',')", "[\"a\",\"b\",\"\",\"c\"]"},
        {"'a,b,c'.split(',', 2)", "[\"a\",\"b,c\"]"},
        {"'h\u00e9'.split('')", "[\"h\",\"\u00e9\"]"},
        {"''.split(',')", "[\"\"]"},
        {"words.join('-')", "\"one-two-three\""},
        {"['a'].join()", "\"a\""},
        {"string(b'\\xff')", "error: not UTF-8"},
        {"string(1.0) + string(true) + string(2u)", "\"1true2\""},
        {"'/a/b/c'.glob('/a/*/c')", "true"},
        {"'/a/b/c'.glob('/a/*')", "false"},
        {"'/a/b/c'.glob('/a/**')", "true"},
        {"'a.c'.glob('a?c') && !'abc'.glob('a.c')", "true"},
        {"bool('true') && !bool('f')", "true"},
        // Times.
        {"timestamp('2024-02-29T12:00:00Z') + duration('24h')", "\"2024-03-01T12:00:00Z\""},
        {"timestamp('2024-01-01T00:00:00+01:00')", "\"2023-12-31T23:00:00Z\""},
        {"timestamp('2024-01-02T00:00:00Z') - timestamp('2024-01-01T00:00:00.5Z')", "\"86399.5s\""},
        {"duration('1h2m3s4ms') < duration('62.1m')", "true"},
        {"duration('-1.5s')", "\"-1.5s\""},
        {"timestamp('9999-12-31T23:59:59Z') + duration('1s')", "error: time out of range"},
        {"timestamp('2024-02-30T00:00:00Z')", "error: no timestamp"},
        {"duration('1')", "error: no duration"},
        {"timestamp('2024-01-07T13:04:05.006Z').getDayOfWeek()", "\"0\""},
        {"timestamp('2024-12-31T00:00:00Z').getDayOfYear()", "\"365\""},
        {"timestamp('2024-01-07T23:04:05Z').getHours('+02:00')", "\"1\""},
        {"timestamp('2024-01-07T23:04:05Z').getDate('+02:00')", "\"8\""},
        {"timestamp('2024-03-01T00:00:00Z').getMonth()", "\"2\""},
        {"timestamp(0).getFullYear()", "\"1970\""},
        {"duration('3730s').getHours() + duration('3730s').getMinutes()", "\"63\""},
        {"duration('1.25s').getMilliseconds()", "\"250\""},
        {"timestamp('1969-12-31T23:59:59.25Z').getMilliseconds()", "\"250\""},
        {"int(timestamp('1970-01-02T00:00:00Z'))", "\"86400\""},
        {"timestamp('2024-01-07T00:00:00Z').getHours('Europe/Brussels')",
         "error: no time zone: UTC or +01:00; names are left out"},
        // Ours. The figures of hash() are XXH64's and must never change.
        {"hash('')", "\"17241709254077376921\""},
        {"hash('abc')", "\"4952883123889572249\""},
        {"hash(1) == hash(1u)", "true"},
        {"bucket('abc', 10)", "\"9\""},
        {"bucket('abc', 0)", "error: bucket() of no buckets"},
        {"ip('10.1.2.3').inCidr('10.0.0.0/8')", "true"},
        {"ip('11.1.2.3').inCidr('10.0.0.0/8')", "false"},
        {"ip('2001:db8::1').inCidr('2001:db8::/32')", "true"},
        {"ip('10.0.0.1').inCidr('::/0')", "false"},
        {"ip('10.0.0.300')", "error: no address"},
        {"string(ip('::1'))", "\"::1\""},
        {"ip('::1') == ip('0:0::1')", "true"},
        {"type(1) == int && type('a') == string && type([]) == list && type(null) == null_type", "true"},
        {"type(timestamp(0)) == google.protobuf.Timestamp", "true"},
        {"x.y + 1", "\"2\""},
        {"any == 'seven'", "true"},
        {"any + 1", "error: no such overload"},
        {"any < 1", "error: no such overload"},
        {"// a remark\n1", "\"1\""},
    };
    World world;
    for (const auto& [source, wanted] : all) {
        INFO(source);
        CHECK(value_of(source, world) == wanted);
    }
}

TEST_CASE("what does not fit is a load error that names the place") {
    const std::vector<std::pair<const char*, const char*>> all{
        {"i == 'x'", "1:3: '==' does not take int and string"},
        {"s > 3", "1:3: '>' does not take string and int"},
        {"i == u", "1:3: '==' does not take int and uint"},
        {"i + d", "1:3: '+' does not take int and double"},
        {"i + 's'", "1:3: '+' does not take int and string"},
        {"d % 2.0", "1:3: '%' does not take double and double"},
        {"b < 1", "1:3: '<' does not take bool and int"},
        {"m < m", "1:3: '<' does not take map(string, string) and map(string, string)"},
        {"i && b", "1:1: '&&' joins bools; this is int"},
        {"b || s", "1:6: '||' joins bools; this is string"},
        {"!i", "1:1: '!' does not take int"},
        {"-s", "1:1: '-' does not take string"},
        {"-u", "1:1: '-' does not take uint"},
        {"i ? 1 : 2", "1:1: '?' asks a bool; this is int"},
        {"b ? 1 : 'x'", "1:3: the sides of ':' are of types int and string"},
        {"nope", "1:1: 'nope' is not declared; there is i, u, d, b, s, words, m, x, bad, any"},
        {"x.z == 1", "1:3: 'x' has no 'z'; it has y"},
        {"i.foo", "1:3: type int has no field 'foo'"},
        {"s.nope()", "1:3: there is no function 'nope'"},
        {"s.format([1])", "1:3: there is no function 'format'; it is left out of this language"},
        {"s.contains(1)", "1:3: string.contains(int) does not exist; there is string.contains(string)"},
        {"s.startsWith()", "1:3: string.startsWith() does not exist"},
        {"contains(s, 'x')", "1:1: contains() has a target: write x.contains()"},
        {"size(1)", "1:1: size(int) does not exist; there is size(string), size(bytes), size(list(dyn))"},
        {"m[1]", "1:2: the index is of type int, not string"},
        {"words['a']", "1:6: the index is of type string, not int"},
        {"i[0]", "1:2: type int has no elements to index"},
        {"1 in words", "1:3: 'in' does not take int and list(string)"},
        {"1 in 2", "1:3: 'in' looks in a list or a map, not int"},
        {"has(i)", "1:1: has() takes one selection: has(MAP.NAME)"},
        {"has(x.y)", "1:5: 'x' is not declared"},
        {"words.all(1, true)", "1:11: the first argument of all() is the name of its variable"},
        {"words.all(w, w)", "1:14: a condition of all() is a bool, not string"},
        {"i.map(n, n)", "1:1: map() goes over a list or a map, not int"},
        {"words.exists(w, w == 1)", "1:19: '==' does not take string and int"},
        {"{[1]: 2}", "1:2: a map's key is an int, uint, bool or string, not list(int)"},
        {"s.matches(s)",
         "1:11: matches() takes a literal here; computed ones are left out of this language"},
        {"s.matches('(')", "1:11: this pattern can't be used: missing )"},
        {"s.matches('((a{1,100}){1,100}){1,10}')", "1:11: this pattern"},
        {"ip(s).inCidr('10.0.0.1/8')", "1:14: '10.0.0.1/8' has bits set behind its 8"},
        {"ip(s).inCidr('10.0.0.0/33')", "1:14: '10.0.0.0/33' is no network: at most 32 bits"},
        {"ip(s).inCidr('x')", "1:14: 'x' is no network: ADDRESS/BITS"},
        {"Foo{a: 1}", "1:4: messages are left out of this language: TYPE{...}"},
        {"1 +", "1:4: the expression ends where a value is missing"},
        {"(1", "1:3: ')' is missing before the end"},
        {"1 2", "1:3: '2' is too much here"},
        {"a = 1", "1:3: '=' means nothing here; to compare, write =="},
        {"9223372036854775808", "1:1: a number beyond the range of int"},
        {"18446744073709551616u", "1:1: a number beyond the range of uint"},
        {"1e999", "1:1: a number beyond the range of double"},
        {"0x", "1:1: a number without digits after 0x"},
        {"1a", "1:1: a number that goes on with a letter"},
        {"'abc", "1:1: a text without its closing quote"},
        {"'a\nb'", "1:1: a text that ends with its line; use three quotes for several"},
        {"'\\q'", "1:2: an unknown escape"},
        {"'\\ud800'", "1:2: an escape for no code point"},
        {"b'\\u0041'", "1:3: an unknown escape"},
        {"for", "1:1: 'for' is a word of the language"},
        {"'\u00e9' == 1", "1:5: '==' does not take string and int"},
        {"b &&\n  i == 's'", "2:5: '==' does not take int and string"},
        {"", "1:1: the expression ends where a value is missing"},
    };
    for (const auto& [source, wanted] : all) {
        INFO(source);
        const std::string fault = fault_of(source);
        CHECK(fault.substr(0, std::string_view(wanted).size()) == wanted);
    }
    CHECK(fault_of("b &&\n  i == 's'").ends_with("\n  |   i == 's'\n  |     ^"));
    CHECK(fault_of("i", {.max_cost = 100, .wanted = Type::Tag::boolean})
              .starts_with("1:1: of type int; wanted is bool"));
    CHECK(fault_of("any", {.wanted = Type::Tag::boolean}).starts_with("1:1: of type dyn; wanted is bool"));
    CHECK(fault_of("d", {.any_key = true}).starts_with("1:1: a key is a string"));
    CHECK(fault_of("[s, s]", {.any_key = true}).empty());
    const std::string dear = fault_of("words.exists(w, m.exists(k, w.contains(k)))", {.max_cost = 1000});
    CHECK(dear.find("over max_cost 1000; dearest: w.contains(k) ") != std::string::npos);
}

TEST_CASE("source that nests, repeats or grows without end is refused, not run into") {
    const auto repeat = [](const std::string& text, int times) {
        std::string all;
        for (int i = 0; i < times; ++i) all += text;
        return all;
    };
    const std::string deep = "nested deeper than 250 levels";
    CHECK(fault_of(repeat("(", 10000) + "1" + repeat(")", 10000)).find(deep) != std::string::npos);
    CHECK(fault_of(repeat("[", 10000)).find(deep) != std::string::npos);
    CHECK(fault_of(repeat("!", 10000) + "b").find(deep) != std::string::npos);
    CHECK(fault_of(repeat("b ? 1 : ", 5000)).find(deep) != std::string::npos);
    CHECK(fault_of("1" + repeat(" + 1", 10000)).find(deep) != std::string::npos);
    CHECK(fault_of("m" + repeat(".a", 10000)).find(deep) != std::string::npos);
    CHECK(fault_of(repeat("a", 1 << 20)).find("longer than 65536 bytes") != std::string::npos);
    CHECK(fault_of("[" + repeat("1,", 30000) + "1]").find("more than 20000 parts") != std::string::npos);
    CHECK(fault_of("'\xff'").find("not UTF-8") != std::string::npos);
    World world;
    CHECK(value_of("b" + repeat(" && b", 5000), world) == "true");   // a chain is not a nest
    CHECK(value_of(repeat("(", 200) + "1" + repeat(")", 200), world) == "\"1\"");
}

TEST_CASE("64 KiB of a stranger's text cost no more than the bound, whatever they hold") {
    World world;
    const std::string as(kLong, 'a'), xs = std::string(kLong - 1, 'x') + "y";
    std::string mixed;
    while (mixed.size() + 8 < kLong) mixed += "ab,\u00e9a b";
    const std::vector<std::string> sources{
        "s.contains('" + std::string(300, 'a') + "b')",
        "s.contains('" + std::string(200, 'a') + "b')",
        "s.matches('(a+)+$')",
        "s.matches('(a|aa)+b')",
        "s.matches('^(([a-z])+.)+[A-Z]([a-z])+$')",
        "s.matches('(x+x+)+y')",
        "s.matches('a{1,300}b')",
        "s.glob('*a*a*a*a*b')",
        "s.split(',').map(p, p.size())",
        "s.split('')",
        "s.replace('a', 'bbbbbbbbbb').size()",
        "s.replace('', '--')",
        "s.lastIndexOf('aaab')",
        "s.lastIndexOf('" + std::string(1000, 'a') + "')",
        "s.indexOf('ab', 100)",
        "s.upperAscii().lowerAscii().trim()",
        "s + s + s + s",
        "[s, s].map(x, x + s).join(s)",
        "s.split('a').filter(p, p != '').join('a')",
        "hash(s)",
        "words.all(w, words.all(v, s.contains(w + v)))",
        "s == s && s <= s",
        "s in words",
        "s in m",
        "m[s]",
        "int(s)",
        "duration(s)",
        "timestamp(s)",
        "ip(s)",
        "bytes(s).size()",
        "s.substring(s.size() - 1)",
        "double(s)",
    };
    for (const std::string& text : {as, xs, mixed, std::string()}) {
        world.values[4] = Value::text(text);
        world.values[5] = Value::list(world.list);
        world.list = {Value::text(text), Value::text(xs), Value::text(as)};
        world.pairs = {{Value::text(as), Value::text(xs)}, {Value::text(text + "-"), Value::text(text)}};
        for (const std::string& source : sources) value_of(source, world);
    }
}

TEST_CASE("an evaluation allocates nothing beyond its first block, and gives it back") {
    World world;
    const expr::Program program = expr::compile(
        "words.map(w, w + '!').join(',') == 'one!,two!,three!' && m['a'] == '1'", world.environment);
    expr::Evaluator evaluator;
    for (int i = 0; i < 1000; ++i) {
        evaluator.reset();
        REQUIRE(evaluator.run(program, world).value.truth());
        REQUIRE(evaluator.arena().blocks() == 1);
    }
    const expr::Program large = expr::compile("words.map(w, w + s).join(s).size() > 0", world.environment);
    const std::string text(20000, 'x');
    world.values[4] = Value::text(text);
    CHECK(evaluator.run(large, world).value.truth());
    CHECK(evaluator.arena().blocks() > 1);
    evaluator.reset();
    CHECK(evaluator.arena().blocks() == 1);
}

TEST_CASE("the evaluator ends by itself when a bound is too small") {
    World world;
    expr::Program program =
        expr::compile("words.all(w, w.contains('x') || m.exists(k, k == w))", world.environment);
    const expr::Outcome whole = expr::Evaluator().run(program, world);
    for (program.bound = 0; program.bound < whole.cost; ++program.bound) {
        const expr::Outcome outcome = expr::Evaluator().run(program, world);
        REQUIRE(outcome.value.is_error());
        REQUIRE(outcome.value.view() == expr::kOverBound);
    }
    CHECK(expr::Evaluator().run(program, world).value.is(expr::Kind::boolean));
}

namespace {

// Sources of every form by chance; most of them fit, some do not.
class Random {
  public:
    explicit Random(std::uint32_t seed) : random_(seed) {}
    std::string make(int depth) {
        if (depth <= 0 || pick(6) == 0) return leaf();
        const auto kid = [&] { return make(depth - 1); };
        switch (pick(14)) {
            case 0:
                return "(" + kid() + ")";
            case 1:
            case 2:
            case 3: {
                static const std::vector<std::string> kSigns{
                    "+", "-", "*", "/", "%", "==", "!=", "<", "<=", ">", ">=", "in"};
                return "(" + kid() + ") " + one(kSigns) + " (" + kid() + ")";
            }
            case 4:
                return kid() + (pick(2) ? " && " : " || ") + kid();
            case 5:
                return "(" + kid() + " ? " + kid() + " : " + kid() + ")";
            case 6:
                return (pick(2) ? "!" : "-") + leaf();
            case 7:
                return "[" + kid() + ", " + kid() + "]";
            case 8:
                return "{" + leaf() + ": " + kid() + "}";
            case 9: {
                static const std::vector<std::string> kMacros{"all", "exists", "exists_one", "map",
                                                              "filter"};
                return "(" + kid() + ")." + one(kMacros) + "(w, " + kid() + ")";
            }
            case 10:
                return "(" + kid() + ")[" + kid() + "]";
            case 11: {
                static const std::vector<std::string> kCalls{
                    "size", "int",  "uint", "double",    "string",   "bytes", "bool",
                    "dyn",  "type", "hash", "timestamp", "duration", "ip"};
                return one(kCalls) + "(" + kid() + ")";
            }
            case 12: {
                static const std::vector<std::string> kCalls{
                    "contains", "startsWith", "endsWith", "indexOf", "lastIndexOf", "split", "join"};
                return "(" + kid() + ")." + one(kCalls) + "(" + kid() + ")";
            }
            default:
                return "(" + kid() + ").replace(" + kid() + ", " + kid() + ")";
        }
    }

  private:
    std::size_t pick(std::size_t count) { return random_() % count; }
    const std::string& one(const std::vector<std::string>& all) { return all[pick(all.size())]; }
    std::string leaf() {
        static const std::vector<std::string> kLeaves{"i",        "u",
                                                      "d",        "b",
                                                      "s",        "words",
                                                      "m",        "x.y",
                                                      "bad",      "any",
                                                      "w",        "1",
                                                      "-1",       "0u",
                                                      "7u",       "2.5",
                                                      "''",       "'a'",
                                                      "'one'",    "b'x'",
                                                      "true",     "false",
                                                      "null",     "[]",
                                                      "{}",       "m.a",
                                                      "has(m.a)", "9223372036854775807",
                                                      "dyn(1)",   "s.matches('l+')"};
        return one(kLeaves);
    }
    std::mt19937 random_;
};

}   // namespace

TEST_CASE("random expressions: printed and read again the same, and never over their bound") {
    World world;
    Random random(20261201);
    std::size_t loaded = 0, parsed = 0;
    for (int n = 0; n < 6000; ++n) {
        const std::string source = random.make(4);
        INFO(source);
        expr::Tree tree;
        try {
            tree = expr::parse(source);
        } catch (const expr::LoadError&) {
            continue;
        }
        ++parsed;
        const std::string printed = expr::print(tree);
        INFO(printed);
        REQUIRE(expr::same(tree, expr::parse(printed)));
        try {
            const expr::Program program = expr::compile(source, world.environment);
            expr::Evaluator evaluator;
            const expr::Outcome outcome = evaluator.run(program, world);
            REQUIRE(outcome.cost <= program.bound);
            REQUIRE(outcome.value.view() != expr::kOverBound);
            ++loaded;
        } catch (const expr::LoadError&) {
        }
    }
    CHECK(parsed > 4500);
    CHECK(loaded > 600);
}

// tests/fuzz/corpus holds what the fuzzers kept, and whatever they have found.
TEST_CASE("the fuzzers' corpus: printed and read again the same, never over a bound") {
    std::size_t files = 0;
    for (const auto& entry : std::filesystem::directory_iterator(SOURCE "/tests/fuzz/corpus")) {
        INFO(entry.path().string());
        std::ifstream in(entry.path(), std::ios::binary);
        const std::string input((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
        CHECK(fuzz::parse_and_print(input).empty());
        CHECK(fuzz::load_and_run(input).empty());
        ++files;
    }
    CHECK(files > 20);
}

TEST_CASE("a request's variables: headers in lower case, twice the same joined, odd bytes told") {
    const rules::GatewayFacts gateway{"n0", "z1"};
    rules::RuleVariables source(gateway);
    const std::vector<http::Field> fields{
        {"X-Desk", "storm"}, {"Accept", "a"}, {"accept", "b"}, {"X-Odd", "\xff"}};
    rules::RequestFacts request;
    request.path = "/risk-read/x";
    request.headers = fields;
    request.customer = 7;
    const auto at = rules::environment(rules::Scope::request);
    expr::Evaluator evaluator;
    const auto value = [&](const std::string& text) {
        source.begin(&request, nullptr);
        evaluator.reset();
        const expr::Program program = expr::compile(text, at);
        const expr::Outcome outcome = evaluator.run(program, source);
        CHECK(outcome.cost <= program.bound);
        return outcome.value.is_error() ? "error: " + std::string(outcome.value.view())
                                        : expr::to_json(outcome.value);
    };
    CHECK(value("request.headers['x-desk'] + request.headers.accept") == "\"storma, b\"");
    CHECK(value("size(request.headers)") == "\"3\"");
    CHECK(value("request.headers['x-odd']") == "error: not UTF-8");
    CHECK(value("request.headers['x-odd'] == 'a' || request.customer == 7") == "true");
    CHECK(value("has(request.headers.x) || gateway.zone == 'z1'") == "true");
    CHECK_THROWS(expr::compile("provider.id", at));
    std::vector<http::Field> many(49, {"A", "b"});
    request.headers = many;
    CHECK(value("size(request.headers)") == "error: request head exceeds its bounds");
    rules::BackendFacts provider;
    provider.flavor = "large";
    provider.cell = 3;
    source.begin(nullptr, &provider);
    const auto of_provider = rules::environment(rules::Scope::backend);
    CHECK(
        evaluator.run(expr::compile("provider.flavor == 'large' && provider.cell > 2", of_provider), source)
            .value.truth());
    CHECK_THROWS(expr::compile("request.path == ''", of_provider));
}
