#include "promql.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <limits>
#include <regex>
#include <set>
#include <stdexcept>

namespace fakes {
namespace {

constexpr double kLookback = 300;   // s; how long an instant selector takes a sample for the present one

[[noreturn]] void fail(const std::string& why) { throw std::runtime_error(why); }

struct Token {
    enum class Kind { word, number, text, duration, symbol, end } kind;
    std::string text;
    std::size_t at;
};

std::vector<Token> tokens_of(const std::string& text) {
    std::vector<Token> all;
    std::size_t i = 0;
    while (i < text.size()) {
        const char c = text[i];
        const std::size_t from = i;
        const auto digit = [&](std::size_t k) {
            return k < text.size() && std::isdigit(static_cast<unsigned char>(text[k]));
        };
        if (std::isspace(static_cast<unsigned char>(c))) {
            ++i;
        } else if (std::isalpha(static_cast<unsigned char>(c)) || c == '_') {
            while (i < text.size() &&
                   (std::isalnum(static_cast<unsigned char>(text[i])) || text[i] == '_' || text[i] == ':'))
                ++i;
            all.push_back({Token::Kind::word, text.substr(from, i - from), from});
        } else if (digit(i) || (c == '.' && digit(i + 1))) {
            while (i < text.size() && (std::isalnum(static_cast<unsigned char>(text[i])) || text[i] == '.'))
                ++i;
            const std::string word = text.substr(from, i - from);
            const bool unit = std::isalpha(static_cast<unsigned char>(word.back())) != 0;
            all.push_back({unit ? Token::Kind::duration : Token::Kind::number, word, from});
        } else if (c == '"' || c == '\'') {
            std::string value;
            for (++i; i < text.size() && text[i] != c; ++i) {
                if (text[i] == '\\' && i + 1 < text.size()) ++i;
                value += text[i];
            }
            if (i++ >= text.size()) fail("a text without its end at " + std::to_string(from));
            all.push_back({Token::Kind::text, value, from});
        } else {
            static const std::vector<std::string> kSymbols{"=~", "!~", "!=", "==", ">=", "<=", "(",
                                                           ")",  "{",  "}",  "[",  "]",  ",",  "=",
                                                           ">",  "<",  "+",  "-",  "*",  "/"};
            const auto one = std::find_if(kSymbols.begin(), kSymbols.end(), [&](const std::string& s) {
                return text.compare(i, s.size(), s) == 0;
            });
            if (one == kSymbols.end()) fail(std::string("'") + c + "' at " + std::to_string(i));
            i += one->size();
            all.push_back({Token::Kind::symbol, *one, from});
        }
    }
    all.push_back({Token::Kind::end, "", text.size()});
    return all;
}

struct Matcher {
    std::string label, op, value;
    std::regex pattern;
    bool matches(const SeriesKey& labels) const {
        static const std::string kNone;
        const auto at =
            std::find_if(labels.begin(), labels.end(), [&](const auto& one) { return one.first == label; });
        const std::string& have = at == labels.end() ? kNone : at->second;
        if (op == "=") return have == value;
        if (op == "!=") return have != value;
        return std::regex_match(have, pattern) == (op == "=~");
    }
};

LabelSet without_name(LabelSet labels) {
    labels.erase("__name__");
    return labels;
}

bool compare(const std::string& op, double a, double b) {
    if (op == "==") return a == b;
    if (op == "!=") return a != b;
    if (op == ">") return a > b;
    if (op == "<") return a < b;
    return op == ">=" ? a >= b : a <= b;
}

bool comparison(const std::string& op) {
    return op == "==" || op == "!=" || op == ">" || op == "<" || op == ">=" || op == "<=";
}

double calculate(const std::string& op, double a, double b) {
    return op == "+" ? a + b : op == "-" ? a - b : op == "*" ? a * b : a / b;
}

// As the server extends a counter's growth to the ends of the range ("rate" in the documentation of the
// functions): by half a step where samples stop well inside it, and never below zero.
bool growth(const std::vector<Point>& points, double from, double to, double& result) {
    if (points.size() < 2) return false;
    const double first_s = static_cast<double>(points.front().at_ms) / 1e3;
    const double last_s = static_cast<double>(points.back().at_ms) / 1e3;
    double grown = points.back().value - points.front().value;
    for (std::size_t i = 1; i < points.size(); ++i)
        if (points[i].value < points[i - 1].value) grown += points[i - 1].value;
    const double sampled = last_s - first_s, step = sampled / static_cast<double>(points.size() - 1);
    double before = first_s - from, after = to - last_s;
    if (before >= 1.1 * step) before = step / 2;
    if (grown > 0 && points.front().value >= 0)
        before = std::min(before, sampled * points.front().value / grown);
    if (after >= 1.1 * step) after = step / 2;
    result = grown * (sampled + before + after) / sampled;
    return true;
}

}   // namespace

struct Query::Node {
    enum class Kind { number, selector, call, aggregate, binary } kind;
    double number = 0;
    std::string name;   // of the function, aggregate or operator
    std::vector<Matcher> matchers;
    double range = 0;   // s; of a selector
    std::vector<std::string> by;
    std::vector<std::unique_ptr<Node>> parts;

    bool scalar() const {
        if (kind == Kind::number) return true;
        if (kind == Kind::call) return name == "time";
        return kind == Kind::binary && parts[0]->scalar() && parts[1]->scalar();
    }
    Vector at(const Recording& recording, double time) const;

  private:
    std::vector<std::pair<LabelSet, std::vector<Point>>> ranges(const Recording& recording,
                                                                double time) const;
    Vector select(const Recording& recording, double time) const;
    template <class Use>
    void each(const Recording& recording, Use use) const;
    Vector call(const Recording& recording, double time) const;
    Vector aggregate(const Vector& in) const;
    Vector binary(const Recording& recording, double time) const;
    static Vector quantile(double part, const Vector& buckets);
};

// The series of the one name that a selector asks for lie together, as their keys begin with it.
template <class Use>
void Query::Node::each(const Recording& recording, Use use) const {
    const bool named = !matchers.empty() && matchers[0].label == "__name__" && matchers[0].op == "=";
    const SeriesKey name{{"__name__", named ? matchers[0].value : ""}};
    for (auto at = named ? recording.lower_bound(name) : recording.begin(); at != recording.end(); ++at) {
        if (named && at->first.front() != name.front()) return;
        if (std::all_of(matchers.begin(), matchers.end(),
                        [&](const Matcher& m) { return m.matches(at->first); }))
            use(at->first, at->second);
    }
}

std::vector<std::pair<LabelSet, std::vector<Point>>> Query::Node::ranges(const Recording& recording,
                                                                         double time) const {
    std::vector<std::pair<LabelSet, std::vector<Point>>> all;
    const auto from = static_cast<std::int64_t>(std::floor((time - range) * 1e3));
    const auto to = static_cast<std::int64_t>(std::floor(time * 1e3));
    each(recording, [&](const SeriesKey& key, const std::vector<Point>& points) {
        std::vector<Point> inside;
        auto at = std::upper_bound(points.begin(), points.end(), from,
                                   [](std::int64_t ms, const Point& p) { return ms < p.at_ms; });
        for (; at != points.end() && at->at_ms <= to; ++at)
            if (!is_stale(at->value)) inside.push_back(*at);
        if (!inside.empty()) all.emplace_back(LabelSet(key.begin(), key.end()), std::move(inside));
    });
    return all;
}

Vector Query::Node::select(const Recording& recording, double time) const {
    Vector out;
    const auto now = static_cast<std::int64_t>(std::floor(time * 1e3));
    each(recording, [&](const SeriesKey& key, const std::vector<Point>& points) {
        const auto after = std::upper_bound(points.begin(), points.end(), now,
                                            [](std::int64_t ms, const Point& p) { return ms < p.at_ms; });
        if (after == points.begin()) return;
        const Point& last = *std::prev(after);
        if (is_stale(last.value) || static_cast<double>(now - last.at_ms) / 1e3 >= number) return;
        out.push_back({LabelSet(key.begin(), key.end()), last.value});
    });
    return out;
}

Vector Query::Node::quantile(double part, const Vector& buckets) {
    std::map<LabelSet, std::vector<std::pair<double, double>>> groups;
    for (const Element& one : buckets) {
        LabelSet labels = without_name(one.labels);
        const auto le = labels.find("le");
        if (le == labels.end()) continue;
        const double bound =
            le->second == "+Inf" ? std::numeric_limits<double>::infinity() : std::stod(le->second);
        labels.erase(le);
        groups[labels].emplace_back(bound, one.value);
    }
    Vector out;
    for (auto& [labels, rows] : groups) {
        std::sort(rows.begin(), rows.end());
        const double total = rows.back().second;
        if (rows.size() < 2 || !std::isinf(rows.back().first) || !(total > 0)) continue;
        const double rank = part * total;
        std::size_t i = 0;
        while (i + 1 < rows.size() && rows[i].second < rank) ++i;
        if (i + 1 == rows.size()) {
            out.push_back({labels, rows[i - 1].first});
            continue;
        }
        const double low = i == 0 ? 0 : rows[i - 1].first, below = i == 0 ? 0 : rows[i - 1].second;
        const double share = (rank - below) / (rows[i].second - below);
        out.push_back({labels, low + (rows[i].first - low) * share});
    }
    return out;
}

Vector Query::Node::call(const Recording& recording, double time) const {
    if (name == "time") return {{{}, time}};
    if (name == "histogram_quantile") return quantile(parts[0]->number, parts[1]->at(recording, time));
    if (name == "absent") {
        const bool any = !parts[0]->at(recording, time).empty();
        return any ? Vector{} : Vector{{{}, 1}};
    }
    Vector out;
    for (const auto& [labels, points] : parts[0]->ranges(recording, time)) {
        const double range_s = parts[0]->range;
        double value = 0;
        if (name == "rate" || name == "increase") {
            if (!growth(points, time - range_s, time, value)) continue;
            if (name == "rate") value /= range_s;
        } else if (name == "changes") {
            for (std::size_t i = 1; i < points.size(); ++i) value += points[i].value != points[i - 1].value;
        } else {
            const auto less = [](const Point& a, const Point& b) { return a.value < b.value; };
            value = name == "max_over_time" ? std::max_element(points.begin(), points.end(), less)->value
                                            : std::min_element(points.begin(), points.end(), less)->value;
        }
        out.push_back({without_name(labels), value});
    }
    return out;
}

Vector Query::Node::aggregate(const Vector& in) const {
    std::map<LabelSet, double> groups;
    for (const Element& one : in) {
        LabelSet labels;
        for (const std::string& label : by)
            if (const auto at = one.labels.find(label); at != one.labels.end()) labels.insert(*at);
        const auto [at, fresh] = groups.emplace(labels, one.value);
        if (fresh) continue;
        at->second = name == "sum"   ? at->second + one.value
                     : name == "max" ? std::max(at->second, one.value)
                                     : std::min(at->second, one.value);
    }
    Vector out;
    for (const auto& [labels, value] : groups) out.push_back({labels, value});
    return out;
}

Vector Query::Node::binary(const Recording& recording, double time) const {
    const Vector a = parts[0]->at(recording, time), b = parts[1]->at(recording, time);
    const bool left = parts[0]->scalar(), right = parts[1]->scalar();
    Vector out;
    if (name == "and" || name == "unless" || name == "or") {
        std::set<LabelSet> of_a, of_b;
        for (const Element& one : a) of_a.insert(without_name(one.labels));
        for (const Element& one : b) of_b.insert(without_name(one.labels));
        for (const Element& one : a)
            if (name == "or" || of_b.contains(without_name(one.labels)) == (name == "and"))
                out.push_back(one);
        if (name == "or")
            for (const Element& one : b)
                if (!of_a.contains(without_name(one.labels))) out.push_back(one);
        return out;
    }
    const auto put = [&](const LabelSet& labels, double x, double y, double kept) {
        if (!comparison(name))
            out.push_back({without_name(labels), calculate(name, x, y)});
        else if (compare(name, x, y))
            out.push_back({labels, kept});
    };
    if (left && right) {
        if (comparison(name)) fail("a comparison of two scalars");
        return {{{}, calculate(name, a.at(0).value, b.at(0).value)}};
    }
    if (right) {
        for (const Element& one : a) put(one.labels, one.value, b.at(0).value, one.value);
    } else if (left) {
        for (const Element& one : b) put(one.labels, a.at(0).value, one.value, one.value);
    } else {
        std::map<LabelSet, double> others;
        for (const Element& one : b)
            if (!others.emplace(without_name(one.labels), one.value).second) fail("many-to-many matching");
        for (const Element& one : a)
            if (const auto at = others.find(without_name(one.labels)); at != others.end())
                put(one.labels, one.value, at->second, one.value);
    }
    return out;
}

Vector Query::Node::at(const Recording& recording, double time) const {
    switch (kind) {
        case Kind::number:
            return {{{}, number}};
        case Kind::selector:
            if (range > 0) fail("a range where a value is wanted");
            return select(recording, time);
        case Kind::call:
            return call(recording, time);
        case Kind::aggregate:
            return aggregate(parts[0]->at(recording, time));
        case Kind::binary:
            return binary(recording, time);
    }
    return {};
}

namespace {

class Reader {
  public:
    Reader(const std::string& text, double speed) : tokens_(tokens_of(text)), speed_(speed) {}
    std::unique_ptr<Query::Node> whole() {
        auto node = set();
        if (peek().kind != Token::Kind::end) wrong();
        return node;
    }

  private:
    using Node = Query::Node;
    using Made = std::unique_ptr<Node>;
    const Token& peek() const { return tokens_[at_]; }
    bool is(const std::string& text) const {
        return peek().text == text && peek().kind != Token::Kind::text && peek().kind != Token::Kind::end;
    }
    bool take(const std::string& text) { return is(text) && ++at_; }
    void need(const std::string& text) {
        if (!take(text)) wrong("'" + text + "'");
    }
    [[noreturn]] void wrong(const std::string& wanted = "") const {
        fail("'" + peek().text + "' at " + std::to_string(peek().at) +
             (wanted.empty() ? " is not known here" : ": wanted " + wanted));
    }
    static Made make(Node::Kind kind) {
        auto node = std::make_unique<Node>();
        node->kind = kind;
        return node;
    }
    template <class Next>
    Made chain(const std::vector<std::string>& ops, Next next) {
        Made left = next();
        for (;;) {
            const auto op =
                std::find_if(ops.begin(), ops.end(), [&](const std::string& one) { return is(one); });
            if (op == ops.end()) return left;
            ++at_;
            Made node = make(Node::Kind::binary);
            node->name = *op;
            node->parts.push_back(std::move(left));
            node->parts.push_back(next());
            left = std::move(node);
        }
    }
    Made set() {
        return chain({"or"}, [this] {
            return chain({"and", "unless"}, [this] {
                return chain({"==", "!=", ">=", "<=", ">", "<"}, [this] {
                    return chain({"+", "-"}, [this] {
                        return chain({"*", "/"}, [this] { return part(); });
                    });
                });
            });
        });
    }
    Made part() {
        if (take("(")) {
            Made inside = set();
            need(")");
            return inside;
        }
        if (peek().kind == Token::Kind::number) {
            Made node = make(Node::Kind::number);
            node->number = std::stod(tokens_[at_++].text);
            return node;
        }
        if (peek().kind != Token::Kind::word && !is("{")) wrong("an expression");
        const std::string word = is("{") ? "" : tokens_[at_++].text;
        if (word == "sum" || word == "max" || word == "min") return aggregate(word);
        if (is("(")) return call(word);
        return selector(word);
    }
    Made aggregate(const std::string& name) {
        Made node = make(Node::Kind::aggregate);
        node->name = name;
        const auto labels = [&] {
            if (!take("by")) return;
            need("(");
            while (!take(")")) {
                node->by.push_back(tokens_[at_++].text);
                if (!is(")")) need(",");
            }
        };
        labels();
        need("(");
        node->parts.push_back(set());
        need(")");
        labels();
        return node;
    }
    Made call(const std::string& name) {
        static const std::map<std::string, std::pair<std::size_t, bool>> kKnown{
            // arguments; a range
            {"rate", {1, true}},          {"increase", {1, true}},           {"changes", {1, true}},
            {"max_over_time", {1, true}}, {"min_over_time", {1, true}},      {"absent", {1, false}},
            {"time", {0, false}},         {"histogram_quantile", {2, false}}};
        const auto at = kKnown.find(name);
        if (at == kKnown.end()) fail("unknown function '" + name + "'");
        Made node = make(Node::Kind::call);
        node->name = name;
        need("(");
        while (!take(")")) {
            node->parts.push_back(set());
            if (!is(")")) need(",");
        }
        if (node->parts.size() != at->second.first) fail("wrong number of arguments of " + name);
        if (at->second.second &&
            !(node->parts[0]->kind == Node::Kind::selector && node->parts[0]->range > 0))
            fail(name + " wants a range");
        return node;
    }
    Made selector(const std::string& name) {
        Made node = make(Node::Kind::selector);
        node->number = kLookback / speed_;
        if (!name.empty()) node->matchers.push_back({"__name__", "=", name, {}});
        if (take("{"))
            while (!take("}")) {
                Matcher matcher;
                matcher.label = tokens_[at_++].text;
                matcher.op = tokens_[at_++].text;
                if (matcher.op != "=" && matcher.op != "!=" && matcher.op != "=~" && matcher.op != "!~")
                    fail("'" + matcher.op + "' is no matcher");
                if (peek().kind != Token::Kind::text) wrong("a text");
                matcher.value = tokens_[at_++].text;
                if (matcher.op.back() == '~') matcher.pattern = std::regex(matcher.value);
                node->matchers.push_back(std::move(matcher));
                if (!is("}")) need(",");
            }
        if (take("[")) {
            if (peek().kind != Token::Kind::duration) wrong("a duration");
            node->range = duration_of(tokens_[at_++].text) / speed_;
            need("]");
        }
        return node;
    }
    std::vector<Token> tokens_;
    const double speed_;
    std::size_t at_ = 0;
};

}   // namespace

double duration_of(const std::string& text) {
    static const std::map<std::string, double> kUnits{{"ms", 0.001}, {"s", 1},     {"m", 60},
                                                      {"h", 3600},   {"d", 86400}, {"w", 604800}};
    double all = 0;
    std::size_t i = 0;
    if (text.empty()) fail("an empty duration");
    while (i < text.size()) {
        std::size_t k = i;
        while (k < text.size() && std::isdigit(static_cast<unsigned char>(text[k]))) ++k;
        std::size_t e = k;
        while (e < text.size() && std::isalpha(static_cast<unsigned char>(text[e]))) ++e;
        const auto unit = kUnits.find(text.substr(k, e - k));
        if (k == i || unit == kUnits.end()) fail("'" + text + "' is no duration");
        all += std::stod(text.substr(i, k - i)) * unit->second;
        i = e;
    }
    return all;
}

Query::Query(const std::string& text, double speed) : root_(Reader(text, speed).whole()) {}
Query::~Query() = default;
Query::Query(Query&&) noexcept = default;
Query& Query::operator=(Query&&) noexcept = default;

Vector Query::at(const Recording& recording, double time_s) const { return root_->at(recording, time_s); }

}   // namespace fakes
