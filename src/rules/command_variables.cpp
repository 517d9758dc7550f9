#include "rules/command_variables.hpp"

#include <rapidjson/error/en.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <utility>

namespace slatejunction::rules {
namespace {

using expr::Bound;
using expr::Value;
using Json = rapidjson::Value;

// The bound of a known value, for the cost bound of an expression that uses it.
Bound bound_of(const Value& value) {
    Bound bound;
    if (value.is(expr::Kind::text) || value.is(expr::Kind::bytes)) bound.size = value.size();
    if (value.is(expr::Kind::list)) {
        bound = Bound::list(value.size(), {});
        for (const Value& item : value.items()) bound.of[0] = either(bound.of[0], bound_of(item));
    }
    if (value.is(expr::Kind::map)) {
        bound = Bound::map(value.size(), {}, {});
        for (const expr::Pair& pair : value.pairs()) {
            bound.of[0] = either(bound.of[0], bound_of(pair.key));
            bound.of[1] = either(bound.of[1], bound_of(pair.value));
        }
    }
    return bound;
}

[[noreturn]] void throw_wrong_type(const std::string& path, const std::string& field,
                                   const char* expected) {
    throw CommandError(path + ": " + field + ": expected " + expected);
}

// The top-level members of a request file. A file with none of them holds the members of "request"
// directly.
constexpr std::string_view kRequestPart = "request";
constexpr std::string_view kBackendPart = "provider";
constexpr std::string_view kGatewayPart = "gateway";

bool is_part(std::string_view name) {
    return name == kRequestPart || name == kBackendPart || name == kGatewayPart;
}

const Json* find_part(const std::string& path, const Json& json, std::string_view name) {
    const auto member = json.FindMember(std::string(name).c_str());
    if (member == json.MemberEnd()) return nullptr;
    if (!member->value.IsObject())
        throw CommandError(path + ": " + std::string(name) + ": expected an object");
    return &member->value;
}

}   // namespace

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw CommandError(path + ": cannot be read");
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

CommandVariables::CommandVariables(const ExprCommand& command)
    : bounds_{command.head_bytes ? command.head_bytes : HeadBounds().bytes},
      environment_(rules::environment(Scope::all, bounds_)),
      rule_variables_(gateway_, bounds_) {
    if (!command.request.empty()) read_request_file(command.request);
    for (const std::string& definition : command.variables) declare_variable(definition);
    begin();
}

void CommandVariables::begin() {
    rule_variables_.begin(has_request_ ? &request_ : nullptr, has_backend_ ? &backend_ : nullptr);
}

Value CommandVariables::load(std::uint32_t number, expr::Arena& arena, expr::cost::Units& spent) {
    if (number >= kVariableCount) return values_[number - kVariableCount];
    return rule_variables_.load(number, arena, spent);
}

// `definition`: NAME=TYPE=JSON. A variable that it hides keeps its number, with an empty name that no
// expression can use.
void CommandVariables::declare_variable(const std::string& definition) {
    const std::size_t name_end = definition.find('=');
    const std::size_t type_end = definition.find('=', name_end + 1);
    if (name_end == 0 || type_end == std::string::npos)
        throw CommandError("--var " + definition + ": expected NAME=TYPE=JSON");
    const std::string name = definition.substr(0, name_end);
    const std::string type_text = definition.substr(name_end + 1, type_end - name_end - 1);
    const auto type = expr::read_type(type_text);
    if (!type) throw CommandError("--var " + name + ": '" + type_text + "' is not a type");
    rapidjson::Document json;
    const std::string text = definition.substr(type_end + 1);
    json.Parse(text.data(), text.size());
    if (json.HasParseError())
        throw CommandError("--var " + name + ": the value is not valid JSON: " +
                           rapidjson::GetParseError_En(json.GetParseError()));
    for (expr::Variable& declared : environment_.variables)
        if (declared.name == name) declared.name.clear();
    try {
        values_.push_back(JsonValueReader(arena_).read(json, *type));
    } catch (const CommandError& error) {
        throw CommandError("--var " + name + ": the value " + error.what());
    }
    environment_.variables.push_back({name, *type, bound_of(values_.back()), 0});
}

std::string_view CommandVariables::copy_text(const Json& json) { return arena_.copy(view(json)); }

void CommandVariables::read_request_file(const std::string& path) {
    rapidjson::Document json;
    const std::string text = read_file(path);
    json.Parse(text.data(), text.size());
    if (json.HasParseError())
        throw CommandError(path + ": invalid JSON at byte " + std::to_string(json.GetErrorOffset()) + ": " +
                           rapidjson::GetParseError_En(json.GetParseError()));
    if (!json.IsObject()) throw CommandError(path + ": expected an object");
    const auto& members = json.GetObject();
    const bool has_parts = std::any_of(members.begin(), members.end(),
                                       [](const auto& member) { return is_part(view(member.name)); });
    if (!has_parts) return read_request_facts(path, json);
    for (const auto& member : members)
        if (!is_part(view(member.name)))
            throw CommandError(path + ": " + std::string(view(member.name)) +
                               ": unknown; expected request, provider or gateway");
    if (const Json* part = find_part(path, json, kRequestPart)) read_request_facts(path, *part);
    if (const Json* part = find_part(path, json, kBackendPart)) read_backend_facts(path, *part);
    if (const Json* part = find_part(path, json, kGatewayPart)) read_gateway_facts(path, *part);
}

void CommandVariables::read_gateway_facts(const std::string& path, const Json& json) {
    for (const auto& member : json.GetObject()) {
        const std::string_view name = view(member.name);
        if (!member.value.IsString() || (name != "name" && name != "zone"))
            throw CommandError(path + ": gateway." + std::string(name) +
                               ": expected name or zone, as a string");
        std::string& fact = name == "name" ? gateway_.name : gateway_.zone;
        fact = std::string(view(member.value));
    }
}

void CommandVariables::read_request_facts(const std::string& path, const Json& json) {
    has_request_ = true;
    const std::map<std::string_view, std::string_view RequestFacts::*> texts{
        {"method", &RequestFacts::method}, {"path", &RequestFacts::path},
        {"query", &RequestFacts::query},   {"class", &RequestFacts::service_class},
        {"plan", &RequestFacts::plan},     {"id", &RequestFacts::id}};
    for (const auto& member : json.GetObject()) {
        const std::string name(view(member.name));
        const std::string field = "request." + name;
        const Json& value = member.value;
        if (const auto text = texts.find(name); text != texts.end()) {
            if (!value.IsString()) throw_wrong_type(path, field, "string");
            request_.*text->second = copy_text(value);
        } else if (name == "headers") {
            read_headers(path, value);
        } else if (name == "customer") {
            if (!read_integer(value, request_.customer)) throw_wrong_type(path, field, "int");
        } else if (name == "deadline_ms") {
            if (!read_integer(value, request_.deadline_ms)) throw_wrong_type(path, field, "int");
        } else if (name == "units") {
            if (!value.IsNumber()) throw_wrong_type(path, field, "number");
            request_.units = value.GetDouble();
        } else if (name == "retry") {
            if (!value.IsBool()) throw_wrong_type(path, field, "bool");
            request_.retry = value.GetBool();
        } else {
            throw CommandError(path + ": " + field + ": unknown field");
        }
    }
}

// Accepts {"Name": "value"}, {"Name": ["one", "two"]} and [["Name", "value"], ...].
void CommandVariables::read_headers(const std::string& path, const Json& json) {
    const auto add_field = [&](const Json& name, const Json& value) {
        if (!name.IsString() || !value.IsString())
            throw_wrong_type(path, "request.headers", "map of strings");
        fields_.push_back({copy_text(name), copy_text(value)});
    };
    if (json.IsObject()) {
        for (const auto& member : json.GetObject()) {
            if (!member.value.IsArray()) {
                add_field(member.name, member.value);
                continue;
            }
            for (const Json& value : member.value.GetArray()) add_field(member.name, value);
        }
    } else if (json.IsArray()) {
        for (const Json& pair : json.GetArray()) {
            if (!pair.IsArray() || pair.Size() != 2)
                throw_wrong_type(path, "request.headers", "list of pairs");
            add_field(pair[0], pair[1]);
        }
    } else {
        throw_wrong_type(path, "request.headers", "map of strings");
    }
    request_.headers = fields_;
}

void CommandVariables::read_backend_facts(const std::string& path, const Json& json) {
    has_backend_ = true;
    const std::map<std::string_view, std::string_view BackendFacts::*> texts{
        {"id", &BackendFacts::id},
        {"locality", &BackendFacts::locality},
        {"flavor", &BackendFacts::flavor}};
    for (const auto& member : json.GetObject()) {
        const std::string name(view(member.name));
        const std::string field = "provider." + name;
        const Json& value = member.value;
        if (const auto text = texts.find(name); text != texts.end()) {
            if (!value.IsString()) throw_wrong_type(path, field, "string");
            backend_.*text->second = copy_text(value);
        } else if (name == "cell") {
            if (!read_integer(value, backend_.cell)) throw_wrong_type(path, field, "int");
        } else if (name == "size" || name == "age_s") {
            if (!value.IsNumber()) throw_wrong_type(path, field, "number");
            double& fact = name == "size" ? backend_.size : backend_.age_s;
            fact = value.GetDouble();
        } else {
            throw CommandError(path + ": " + field + ": unknown field");
        }
    }
}

}   // namespace slatejunction::rules
