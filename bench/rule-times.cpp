// Times evaluations: each of some hundred expressions over inputs small, usual and hostile, under its
// declared cost or not, and how long a unit of cost takes. Then requests against 10, 100 and 1,000 routes.
// By hand: slatejunction-rule-times [all], which prints each line with `all`.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

#include "operator_config/options.hpp"
#include "rules/rules.hpp"

namespace {

using namespace slatejunction;
using Clock = std::chrono::steady_clock;

double ns_since(Clock::time_point began) {
    return std::chrono::duration<double, std::nano>(Clock::now() - began).count();
}

class Texts final : public expr::Variables {
  public:
    explicit Texts(const std::string& text) {
        items = {expr::Value::text(text), expr::Value::text("plus"),
                 expr::Value::text("/risk-read/north/7")};
        pairs = {{expr::Value::text("x-desk"), expr::Value::text(text)},
                 {expr::Value::text("accept"), expr::Value::text("text/plain")}};
        values = {items[0], expr::Value::list(items), expr::Value::map(pairs), expr::Value::integer(42)};
    }
    expr::Value load(std::uint32_t number, expr::Arena&, expr::cost::Units&) override {
        return values[number];
    }
    std::vector<expr::Value> items, values;
    std::vector<expr::Pair> pairs;
};

expr::Environment environment() {
    using expr::Bound;
    using expr::Type;
    const Type word{Type::Tag::text, {}}, number{Type::Tag::integer, {}};
    const Bound text = Bound::text(64 * 1024);
    return {{{"s", word, text, 0},
             {"l", Type::list(word), Bound::list(3, text), 0},
             {"m", Type::map(word, word), Bound::map(2, text, text), 0},
             {"i", number, {}, 0}}};
}

std::vector<std::string> sources() {
    std::vector<std::string> all;
    const std::vector<std::string> words{"a",
                                         "plus",
                                         "/risk-read/north",
                                         "ab",
                                         "aa",
                                         "north/7",
                                         "x",
                                         "risk-read,",
                                         "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaab",
                                         std::string(60, 'a') + "b",
                                         std::string(200, 'a') + "b",
                                         std::string(400, 'a') + "b",
                                         std::string(3000, 'a') + "b"};
    for (const std::string& word : words) {
        const std::string w = "'" + word + "'";
        for (const char* call : {"s.contains(", "s.startsWith(", "s.endsWith(", "s.indexOf(",
                                 "s.lastIndexOf(", "s.split(", "l.join("})
            all.push_back(std::string(call) + w + ")");
        for (const char* sign : {" == ", " < ", " + ", " in "}) {
            all.push_back("s" + std::string(sign) + (std::string(sign) == " in " ? "[" + w + ", s]" : w));
            all.push_back("l.exists(x, (x" + std::string(sign) +
                          (std::string(sign) == " in " ? "[" + w + "]" : w) + ") == (s" +
                          std::string(sign) + (std::string(sign) == " in " ? "l" : w) + "))");
        }
        all.push_back("s.replace(" + w + ", 'zz')");
        all.push_back("m['x-desk'] == " + w + " || has(m.accept) && m.accept.startsWith(" + w + ")");
        all.push_back("l.map(x, x + " + w + ").filter(y, y.endsWith(" + w + ")).size() > 1");
        all.push_back("l.all(x, l.all(y, x.contains(y + " + w + ") || s.startsWith(" + w + ")))");
        all.push_back("bucket(s + " + w + ", 10) < 3");
    }
    for (const char* pattern :
         {"a", "^a+$", "(a+)+$", "(a|aa)+b", "(x+x+)+y", "[a-z]*[0-9]", "a{1,100}b", "(?i)plus|basis|pro",
          "^/risk-(read|write)/[a-z]+/[0-9]+$", ".*.*.*=.*", "(a?){50}a{50}", "([ab]*a[ab]{10})c"}) {
        all.push_back("s.matches('" + std::string(pattern) + "')");
        all.push_back("l.exists(x, x.matches('" + std::string(pattern) + "'))");
    }
    for (const char* glob : {"*", "**", "/risk-*/*/?", "*a*a*a*b", "**/north/**"})
        all.push_back("s.glob('" + std::string(glob) + "')");
    for (const char* one : {"i + 1 == 43",
                            "i * 2 > 3 && i % 7 == 0",
                            "i in [1, 2, 3, 42]",
                            "i > 3 ? 'a' : 'b'",
                            "size(s) > 10",
                            "size(l) + size(m)",
                            "s.lowerAscii()",
                            "s.upperAscii().trim()",
                            "s.substring(0)",
                            "s.charAt(0)",
                            "s.split('')",
                            "s.split(',').map(x, x.size())",
                            "hash(s)",
                            "bucket(i, 16)",
                            "bytes(s).size()",
                            "string(i) + 'x'",
                            "int(s)",
                            "double(s)",
                            "duration(s)",
                            "timestamp(s)",
                            "ip(s).inCidr('10.0.0.0/8')",
                            "ip('10.1.2.3').inCidr('10.0.0.0/8') && i > 0",
                            "timestamp(i).getHours('+01:00')",
                            "timestamp(i) + duration('1h') > timestamp(0)",
                            "string(timestamp(i))",
                            "[i, i + 1, i + 2].map(x, x * x).exists(x, x == 4)",
                            "{'a': i, 'b': i}['b']",
                            "l == l",
                            "m == m",
                            "s == s && s <= s",
                            "l + l == [s]",
                            "s + s + s + s",
                            "l.map(x, l.map(y, x + y))",
                            "[1, 2, 3, 4, 5, 6, 7, 8].map(x, [1, 2, 3, 4, 5, 6, 7, 8].map(y, x * y + i))",
                            "m.exists(k, m[k] == s)",
                            "s in m",
                            "s in l",
                            "l.exists_one(x, x == s)",
                            "type(s) == string",
                            "dyn(s) == 1",
                            "s.contains(s)",
                            "s.indexOf(s)",
                            "s.replace(s, s)",
                            "s.split(s)",
                            "s.replace('', '-')",
                            "l.join(s)",
                            "[s, s, s] == [s, s, s]",
                            "uint(i) * 3u",
                            "i / 0",
                            "l[5]",
                            "m['nope']",
                            "i == 42 && s != '' && l.size() == 3 && has(m.accept)"})
        all.emplace_back(one);
    return all;
}

bool time_expressions(bool print) {
    const std::vector<std::pair<const char*, std::string>> inputs{{"empty", ""},
                                                                  {"usual", "/risk-read/north/7"},
                                                                  {"64K a", std::string(64 * 1024, 'a')},
                                                                  {"64K commas", [] {
                                                                       std::string text;
                                                                       while (text.size() < 64 * 1024)
                                                                           text += "a,";
                                                                       return text;
                                                                   }()}};
    const expr::Environment at = environment();
    std::vector<double> pace;   // ns a unit, where an evaluation costs at least 16
    std::size_t runs = 0, over = 0, expressions = 0;
    double worst = 0;
    std::string worst_of;
    for (const std::string& source : sources()) {
        const expr::Program program = expr::compile(source, at);
        ++expressions;
        for (const auto& [name, text] : inputs) {
            Texts texts(text);
            expr::Evaluator evaluator(1 << 20);
            expr::Outcome outcome;
            double least = 1e18, all = 0;
            for (int n = 0; n < 5 || (n < 2000 && all < 2e6); ++n) {
                evaluator.reset();
                const auto began = Clock::now();
                outcome = evaluator.run(program, texts);
                const double took = ns_since(began);
                least = std::min(least, took);
                all += took;
            }
            ++runs;
            over += outcome.cost > program.bound || outcome.value.view() == expr::kOverBound;
            const double unit = least / static_cast<double>(std::max<expr::cost::Units>(1, outcome.cost));
            if (outcome.cost >= 16) {
                pace.push_back(unit);
                if (unit > worst) worst = unit, worst_of = source.substr(0, 60) + " over " + name;
            }
            if (print)
                std::printf("%10.0f ns %10llu of %12llu units %8.2f ns  %-10s %s\n", least,
                            static_cast<unsigned long long>(outcome.cost),
                            static_cast<unsigned long long>(program.bound), unit, name,
                            source.substr(0, 70).c_str());
        }
    }
    std::sort(pace.begin(), pace.end());
    const auto part = [&](double share) {
        return pace[static_cast<std::size_t>(share * double(pace.size() - 1))];
    };
    std::printf("%zu expressions, %zu runs, %zu over their declared cost\n", expressions, runs, over);
    std::printf("ns a unit of cost: 1%% %.3f, half %.3f, 99%% %.3f, most %.3f (%s)\n", part(0.01),
                part(0.5), part(0.99), worst, worst_of.c_str());
    return over == 0;
}

void time_routes(std::size_t count, int kind) {
    rules::Settings settings;
    settings.subsets.push_back({"s", "true", 1});
    for (std::size_t i = 0; i < count; ++i) {
        const std::string n = std::to_string(i);
        const std::string when =
            kind == 0 ? "request.class == 'c" + n + "' && request.path.startsWith('/x')"
            : kind == 1
                ? "request.class == 'risk-read' && request.path.startsWith('/risk-read/area" + n + "/')"
                : "request.headers['x-desk'] == 'desk" + n + "'";
        settings.routes.push_back({"r" + n, when, "s", 0, 0});
    }
    std::vector<std::string> faults;
    const auto made = rules::Rules::load(settings, {"n0", "z"}, faults);
    if (!made) std::printf("%s\n", faults[0].c_str());
    const std::vector<http::Field> headers{{"Host", "a"},
                                           {"X-Request-Id", "id-1"},
                                           {"X-Desk", "desk" + std::to_string(count - 1)},
                                           {"X-Tier", "plus"},
                                           {"Accept", "text/plain"}};
    const std::string path = "/risk-read/area" + std::to_string(count - 1) + "/7";
    rules::RequestFacts facts;
    facts.service_class = "risk-read", facts.plan = "plus", facts.path = path, facts.headers = headers;
    double least = 1e18;
    for (int batch = 0; batch < 50; ++batch) {
        const auto began = Clock::now();
        for (int i = 0; i < 200; ++i) made->evaluate(0, facts);
        least = std::min(least, ns_since(began) / 200);
    }
    std::printf("| %zu | %s | %.0f ns |\n", count,
                kind == 0   ? "of other classes"
                : kind == 1 ? "by class and path, the last matches"
                            : "by a header, the last matches",
                least);
}

// The rules of an operator's file over one request of usual form.
void time_file(const std::string& path) {
    operator_config::Options options;
    for (const std::string& fault : operator_config::load(path, options))
        std::printf("%s\n", fault.c_str());
    std::vector<std::string> faults;
    const auto made = rules::Rules::load(options.rules, {"n0", "z"}, faults);
    const std::vector<http::Field> headers{
        {"Host", "127.0.0.1:8080"},    {"X-Request-Id", "l-123-4567"},
        {"X-Class", "risk-read"},      {"X-Tier", "basis"},
        {"X-Deadline", "4.000"},       {"X-Call-Terms", "units=1,spread=1,first=0"},
        {"Content-Type", "text/plain"}};
    rules::RequestFacts facts;
    facts.service_class = "risk-read", facts.plan = "basis", facts.path = "/risk-read/north/7",
    facts.headers = headers;
    facts.customer = 4711, facts.units = 1, facts.deadline_ms = 4000;
    double least = 1e18;
    for (int batch = 0; batch < 50; ++batch) {
        const auto began = Clock::now();
        for (int i = 0; i < 2000; ++i) made->evaluate(0.001 * i, facts);
        least = std::min(least, ns_since(began) / 2000);
    }
    std::printf("%s: %.0f ns a request\n", path.c_str(), least);
}

}   // namespace

int main(int argc, char** argv) {
    const bool good = time_expressions(argc > 1 && std::strcmp(argv[1], "all") == 0);
    std::printf("| routes | form | a request |\n| --- | --- | --- |\n");
    for (const int kind : {0, 1, 2})
        for (const std::size_t count : {10, 100, 1000}) time_routes(count, kind);
    time_file("bench/ten-rules.ini");
    return good ? 0 : 1;
}
