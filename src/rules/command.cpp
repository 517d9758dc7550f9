#include "rules/command.hpp"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <chrono>
#include <cstdio>
#include <deque>
#include <fstream>
#include <map>
#include <stdexcept>

#include "expr/time.hpp"
#include "rules/variables.hpp"

namespace slatejunction::rules {
namespace {

using expr::Bound;
using expr::Type;
using expr::Value;
using Json = rapidjson::Value;
using Tag = Type::Tag;

struct Bad : std::runtime_error {
    using std::runtime_error::runtime_error;
};

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw Bad(path + ": can't be read");
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

std::string_view view(const Json& json) { return {json.GetString(), json.GetStringLength()}; }

template <class T>
bool number(const Json& json, T& value) {
    if (json.IsString()) {
        const std::string text(view(json));
        const auto read = text.find_first_not_of("-0123456789") == std::string::npos && !text.empty();
        if (!read) return false;
        try {
            std::size_t used = 0;
            if constexpr (std::is_signed_v<T>)
                value = std::stoll(text, &used);
            else
                value = text[0] == '-' ? throw std::out_of_range("") : std::stoull(text, &used);
            return used == text.size();
        } catch (const std::exception&) {
            return false;
        }
    }
    if constexpr (std::is_signed_v<T>) {
        if (!json.IsInt64()) return false;
        value = json.GetInt64();
    } else {
        if (!json.IsUint64()) return false;
        value = json.GetUint64();
    }
    return true;
}

// A JSON value as one of the type; throws Bad with what was wanted.
class Reader {
  public:
    explicit Reader(expr::Arena& arena) : arena_(arena) {}
    Value read(const Json& json, const Type& type) {
        switch (type.tag) {
            case Tag::null:
                if (json.IsNull()) return Value();
                break;
            case Tag::boolean:
                if (json.IsBool()) return Value::boolean(json.GetBool());
                break;
            case Tag::integer:
                if (std::int64_t value = 0; number(json, value)) return Value::integer(value);
                break;
            case Tag::natural:
                if (std::uint64_t value = 0; number(json, value)) return Value::natural(value);
                break;
            case Tag::real:
                if (json.IsNumber()) return Value::real(json.GetDouble());
                if (json.IsString())
                    for (const auto& [name, value] :
                         {std::pair<std::string_view, double>{"NaN",
                                                              std::numeric_limits<double>::quiet_NaN()},
                          {"Infinity", std::numeric_limits<double>::infinity()},
                          {"-Infinity", -std::numeric_limits<double>::infinity()}})
                        if (view(json) == name) return Value::real(value);
                break;
            case Tag::text:
                if (json.IsString() && expr::valid_utf8(view(json)))
                    return Value::text(arena_.copy(view(json)));
                break;
            case Tag::bytes:
                if (json.IsString()) return bytes(view(json));
                break;
            case Tag::timestamp:
                if (json.IsString())
                    if (const auto m = expr::read_timestamp(view(json)))
                        return Value::timestamp(m->seconds, m->nanos);
                break;
            case Tag::duration:
                if (json.IsString())
                    if (const auto m = expr::read_duration(view(json)))
                        return Value::duration(m->seconds, m->nanos);
                break;
            case Tag::list:
                if (json.IsArray()) return list(json, type.of[0]);
                break;
            case Tag::map:
                if (json.IsObject()) return map(json, type);
                break;
            default:
                return any(json);
        }
        throw Bad("is no " + type.name());
    }

  private:
    Value any(const Json& json) {
        const Type dyn;
        if (json.IsNull()) return Value();
        if (json.IsBool()) return Value::boolean(json.GetBool());
        if (json.IsInt64()) return Value::integer(json.GetInt64());
        if (json.IsUint64()) return Value::natural(json.GetUint64());
        if (json.IsNumber()) return Value::real(json.GetDouble());
        if (json.IsString()) return read(json, {Tag::text, {}});
        if (json.IsArray()) return list(json, dyn);
        return map(json, Type::map({Tag::text, {}}, dyn));
    }
    Value bytes(std::string_view coded) {
        static constexpr std::string_view kDigits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        std::uint32_t held = 0;
        int bits = 0;
        for (const char c : coded) {
            if (c == '=') break;
            const std::size_t digit = kDigits.find(c);
            if (digit == std::string_view::npos) throw Bad("is no base64");
            held = held << 6 | static_cast<std::uint32_t>(digit);
            if ((bits += 6) >= 8) out += static_cast<char>(held >> (bits -= 8) & 0xff);
        }
        return Value::bytes(arena_.copy(out));
    }
    Value list(const Json& json, const Type& item) {
        const std::span<Value> items = arena_.array<Value>(json.Size());
        for (rapidjson::SizeType i = 0; i < json.Size(); ++i) items[i] = read(json[i], item);
        return Value::list(items);
    }
    Value map(const Json& json, const Type& type) {
        const std::span<expr::Pair> pairs = arena_.array<expr::Pair>(json.MemberCount());
        std::size_t count = 0;
        for (const auto& member : json.GetObject())
            pairs[count++] = {read(member.name, type.of[0].open() ? Type{Tag::text, {}} : type.of[0]),
                              read(member.value, type.of[1])};
        return Value::map(pairs);
    }
    expr::Arena& arena_;
};

Bound bound_of(const Value& value) {
    Bound bound;
    if (value.is(expr::Kind::text) || value.is(expr::Kind::bytes)) bound.size = value.size();
    if (value.is(expr::Kind::list)) {
        bound = Bound::list(value.size(), {});
        for (const Value& one : value.items()) bound.of[0] = either(bound.of[0], bound_of(one));
    }
    if (value.is(expr::Kind::map)) {
        bound = Bound::map(value.size(), {}, {});
        for (const expr::Pair& one : value.pairs()) {
            bound.of[0] = either(bound.of[0], bound_of(one.key));
            bound.of[1] = either(bound.of[1], bound_of(one.value));
        }
    }
    return bound;
}

// The request's variables, and those given by --var behind them.
class Given final : public expr::Variables {
  public:
    explicit Given(const ExprCommand& command)
        : bounds_{command.head_bytes ? command.head_bytes : HeadBounds().bytes},
          environment(rules::environment(Scope::all, bounds_)),
          source_(gateway_, bounds_) {
        if (!command.request.empty()) read_request(command.request);
        for (const std::string& one : command.variables) declare(one);
        renew();
    }
    void renew() {
        source_.begin(has_request_ ? &request_ : nullptr, has_provider_ ? &provider_ : nullptr);
    }
    Value load(std::uint32_t number, expr::Arena& arena, expr::cost::Units& spent) override {
        if (number >= kNames) return values_[number - kNames];
        return source_.load(number, arena, spent);
    }

  private:
    HeadBounds bounds_;

  public:
    expr::Environment environment;

  private:
    void declare(const std::string& text) {
        const std::size_t first = text.find('='), second = text.find('=', first + 1);
        if (first == 0 || second == std::string::npos) throw Bad("--var " + text + ": not NAME=TYPE=JSON");
        const std::string name = text.substr(0, first);
        const auto type = expr::read_type(text.substr(first + 1, second - first - 1));
        if (!type)
            throw Bad("--var " + name + ": '" + text.substr(first + 1, second - first - 1) +
                      "' is no type");
        rapidjson::Document json;
        const std::string value = text.substr(second + 1);
        json.Parse(value.data(), value.size());
        if (json.HasParseError())
            throw Bad("--var " + name +
                      ": its value is no JSON: " + rapidjson::GetParseError_En(json.GetParseError()));
        std::erase_if(environment.variables, [&](expr::Variable& one) {
            if (one.name == name) one.name.clear();
            return false;
        });
        try {
            values_.push_back(Reader(arena_).read(json, *type));
        } catch (const Bad& bad) {
            throw Bad("--var " + name + ": the value " + bad.what());
        }
        environment.variables.push_back({name, *type, bound_of(values_.back()), 0});
    }

    std::string_view keep(const Json& json) { return arena_.copy(view(json)); }

    void read_request(const std::string& path) {
        rapidjson::Document json;
        const std::string text = read_file(path);
        json.Parse(text.data(), text.size());
        if (json.HasParseError())
            throw Bad(path + ": no JSON at byte " + std::to_string(json.GetErrorOffset()) + ": " +
                      rapidjson::GetParseError_En(json.GetParseError()));
        if (!json.IsObject()) throw Bad(path + ": not an object");
        const bool parts =
            json.HasMember("request") || json.HasMember("provider") || json.HasMember("gateway");
        const auto part = [&](const char* name) -> const Json* {
            if (!parts) return std::string_view(name) == "request" ? &json : nullptr;
            if (!json.HasMember(name)) return nullptr;
            if (!json[name].IsObject()) throw Bad(path + ": " + name + ": not an object");
            return &json[name];
        };
        if (parts)
            for (const auto& member : json.GetObject())
                if (view(member.name) != "request" && view(member.name) != "provider" &&
                    view(member.name) != "gateway")
                    throw Bad(path + ": " + std::string(view(member.name)) + ": unknown");
        if (const Json* one = part("request")) take_request(path, *one);
        if (const Json* one = part("provider")) take_provider(path, *one);
        if (const Json* one = part("gateway")) {
            for (const auto& member : one->GetObject()) {
                const std::string_view name = view(member.name);
                if (!member.value.IsString() || (name != "name" && name != "zone"))
                    throw Bad(path + ": gateway." + std::string(name) + ": name and zone are texts");
                (name == "name" ? gateway_.name : gateway_.zone) = std::string(view(member.value));
            }
        }
    }

    [[noreturn]] static void wrong(const std::string& path, const std::string& field, const char* wanted) {
        throw Bad(path + ": " + field + ": is no " + wanted);
    }

    void take_request(const std::string& path, const Json& json) {
        has_request_ = true;
        const std::map<std::string_view, std::string_view RequestFacts::*> texts{
            {"method", &RequestFacts::method}, {"path", &RequestFacts::path},
            {"query", &RequestFacts::query},   {"class", &RequestFacts::service_class},
            {"plan", &RequestFacts::plan},     {"id", &RequestFacts::id}};
        for (const auto& member : json.GetObject()) {
            const std::string name(view(member.name)), field = "request." + name;
            const Json& value = member.value;
            if (const auto at = texts.find(name); at != texts.end()) {
                if (!value.IsString()) wrong(path, field, "string");
                request_.*at->second = keep(value);
            } else if (name == "headers") {
                headers(path, value);
            } else if (name == "customer") {
                if (!number(value, request_.customer)) wrong(path, field, "int");
            } else if (name == "deadline_ms") {
                if (!number(value, request_.deadline_ms)) wrong(path, field, "int");
            } else if (name == "units") {
                if (!value.IsNumber()) wrong(path, field, "number");
                request_.units = value.GetDouble();
            } else if (name == "retry") {
                if (!value.IsBool()) wrong(path, field, "bool");
                request_.retry = value.GetBool();
            } else {
                throw Bad(path + ": " + field + ": unknown");
            }
        }
    }

    // {"Name": "value"}, {"Name": ["one", "two"]} or [["Name", "value"], ...].
    void headers(const std::string& path, const Json& json) {
        const auto add = [&](const Json& name, const Json& value) {
            if (!name.IsString() || !value.IsString()) wrong(path, "request.headers", "map of strings");
            fields_.push_back({keep(name), keep(value)});
        };
        if (json.IsObject()) {
            for (const auto& member : json.GetObject()) {
                if (!member.value.IsArray()) {
                    add(member.name, member.value);
                    continue;
                }
                for (const Json& one : member.value.GetArray()) add(member.name, one);
            }
        } else if (json.IsArray()) {
            for (const Json& one : json.GetArray()) {
                if (!one.IsArray() || one.Size() != 2) wrong(path, "request.headers", "list of pairs");
                add(one[0], one[1]);
            }
        } else {
            wrong(path, "request.headers", "map of strings");
        }
        request_.headers = fields_;
    }

    void take_provider(const std::string& path, const Json& json) {
        has_provider_ = true;
        const std::map<std::string_view, std::string_view BackendFacts::*> texts{
            {"id", &BackendFacts::id},
            {"locality", &BackendFacts::locality},
            {"flavor", &BackendFacts::flavor}};
        for (const auto& member : json.GetObject()) {
            const std::string name(view(member.name)), field = "provider." + name;
            const Json& value = member.value;
            if (const auto at = texts.find(name); at != texts.end()) {
                if (!value.IsString()) wrong(path, field, "string");
                provider_.*at->second = keep(value);
            } else if (name == "cell") {
                if (!number(value, provider_.cell)) wrong(path, field, "int");
            } else if (name == "size" || name == "age_s") {
                if (!value.IsNumber()) wrong(path, field, "number");
                (name == "size" ? provider_.size : provider_.age_s) = value.GetDouble();
            } else {
                throw Bad(path + ": " + field + ": unknown");
            }
        }
    }

    expr::Arena arena_;
    std::vector<http::Field> fields_;
    RequestFacts request_;
    BackendFacts provider_;
    GatewayFacts gateway_;
    bool has_request_ = false, has_provider_ = false;
    std::vector<Value> values_;
    RuleVariables source_;
};

std::string type_name(const expr::Program& program, const Value& value) {
    const bool parts = value.is(expr::Kind::list) || value.is(expr::Kind::map);
    return parts && !program.type.open() ? program.type.name() : std::string(kind_name(value.kind()));
}

std::string json_line(const expr::Program& program, const expr::Outcome& outcome) {
    rapidjson::StringBuffer text;
    rapidjson::Writer json(text);
    json.StartObject();
    const auto put = [&](const char* key, std::string_view value) {
        json.Key(key);
        json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    if (outcome.value.is_error()) {
        put("error", outcome.value.view());
    } else {
        put("type", type_name(program, outcome.value));
        const std::string value = expr::to_json(outcome.value);
        json.Key("value");
        json.RawValue(value.data(), value.size(), rapidjson::kObjectType);
    }
    json.Key("cost"), json.Uint64(outcome.cost);
    json.Key("bound"), json.Uint64(program.bound);
    json.EndObject();
    return {text.GetString(), text.GetSize()};
}

int bench(const expr::Program& program, Given& given, bool json) {
    using Clock = std::chrono::steady_clock;
    constexpr double kLong = 0.5;   // s
    expr::Evaluator evaluator;
    expr::Outcome outcome;
    std::uint64_t runs = 0;
    const auto began = Clock::now();
    double took = 0;
    for (std::uint64_t batch = 1; took < kLong; batch = std::min<std::uint64_t>(batch * 2, 4096)) {
        for (std::uint64_t i = 0; i < batch; ++i) {
            given.renew();
            evaluator.reset();
            outcome = evaluator.run(program, given);
        }
        runs += batch;
        took = std::chrono::duration<double>(Clock::now() - began).count();
    }
    const double each = took / static_cast<double>(runs) * 1e9;
    const double unit = each / static_cast<double>(std::max<std::uint64_t>(1, outcome.cost));
    std::printf(json ? "{\"runs\":%llu,\"ns\":%.1f,\"cost\":%llu,\"bound\":%llu,\"ns_per_unit\":%.3f}\n"
                     : "%llu runs, %.1f ns each, cost %llu of %llu, %.3f ns a unit\n",
                static_cast<unsigned long long>(runs), each, static_cast<unsigned long long>(outcome.cost),
                static_cast<unsigned long long>(program.bound), unit);
    return 0;
}

}   // namespace

int run(const ExprCommand& command) {
    std::string source = command.text;
    try {
        if (!command.file.empty()) source = read_file(command.file);
        Given given(command);
        expr::LoadOptions options;
        if (command.max_cost) options.max_cost = command.max_cost;
        const expr::Program program = expr::compile(source, given.environment, options);
        if (command.what == "explain")
            return std::fputs(explain(program, given.environment).c_str(), stdout) < 0;
        if (command.what == "bench") return bench(program, given, command.json);
        if (command.what == "check") {
            std::printf(command.json ? "{\"type\":\"%s\",\"bound\":%llu}\n" : "%s, at most %llu units\n",
                        program.type.name().c_str(), static_cast<unsigned long long>(program.bound));
            return 0;
        }
        expr::Evaluator evaluator;
        const expr::Outcome outcome = evaluator.run(program, given);
        const bool failed = outcome.value.is_error();
        if (command.json)
            std::printf("%s\n", json_line(program, outcome).c_str());
        else
            std::printf("%s%s\n", failed ? "error: " : "", expr::to_text(outcome.value).c_str());
        return failed ? 3 : 0;
    } catch (const expr::LoadError& error) {
        const std::string name = command.file.empty() ? "expression" : command.file;
        std::fprintf(stderr, "error: %s:%s\n", name.c_str(), describe(error, source).c_str());
    } catch (const Bad& bad) {
        std::fprintf(stderr, "error: %s\n", bad.what());
    }
    return 2;
}

}   // namespace slatejunction::rules
