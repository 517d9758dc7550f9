#include "rules/json_value.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "expr/time.hpp"

namespace slatejunction::rules {
namespace {

using expr::Type;
using expr::Value;
using Json = rapidjson::Value;
using Tag = Type::Tag;

constexpr std::string_view kBase64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::array<std::pair<std::string_view, double>, 3> kNamedReals{
    {{"NaN", std::numeric_limits<double>::quiet_NaN()},
     {"Infinity", std::numeric_limits<double>::infinity()},
     {"-Infinity", -std::numeric_limits<double>::infinity()}}};

template <class T>
bool read_integer_as(const Json& json, T& value) {
    if (json.IsString()) {
        const std::string text(view(json));
        const bool digits_only =
            text.find_first_not_of("-0123456789") == std::string::npos && !text.empty();
        if (!digits_only) return false;
        try {
            std::size_t parsed_size = 0;
            if constexpr (std::is_signed_v<T>)
                value = std::stoll(text, &parsed_size);
            else
                value = text[0] == '-' ? throw std::out_of_range("") : std::stoull(text, &parsed_size);
            return parsed_size == text.size();
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

[[noreturn]] void throw_type_mismatch(const Type& type) {
    throw CommandError("is not of type " + type.name());
}

}   // namespace

bool read_integer(const Json& json, std::int64_t& value) { return read_integer_as(json, value); }
bool read_integer(const Json& json, std::uint64_t& value) { return read_integer_as(json, value); }

Value JsonValueReader::read(const Json& json, const Type& type) {
    switch (type.tag) {
        case Tag::null:
            if (json.IsNull()) return Value();
            break;
        case Tag::boolean:
            if (json.IsBool()) return Value::boolean(json.GetBool());
            break;
        case Tag::integer:
            if (std::int64_t value = 0; read_integer(json, value)) return Value::integer(value);
            break;
        case Tag::natural:
            if (std::uint64_t value = 0; read_integer(json, value)) return Value::natural(value);
            break;
        case Tag::real:
            return read_real(json, type);
        case Tag::text:
            if (json.IsString() && expr::valid_utf8(view(json)))
                return Value::text(arena_.copy(view(json)));
            break;
        case Tag::bytes:
            if (json.IsString()) return read_bytes(view(json));
            break;
        case Tag::timestamp:
        case Tag::duration:
            return read_time(json, type);
        case Tag::list:
            if (json.IsArray()) return read_list(json, type.of[0]);
            break;
        case Tag::map:
            if (json.IsObject()) return read_map(json, type);
            break;
        default:
            return read_any(json);
    }
    throw_type_mismatch(type);
}

Value JsonValueReader::read_time(const Json& json, const Type& type) {
    if (!json.IsString()) throw_type_mismatch(type);
    const bool is_timestamp = type.tag == Tag::timestamp;
    const auto time = is_timestamp ? expr::read_timestamp(view(json)) : expr::read_duration(view(json));
    if (!time) throw_type_mismatch(type);
    return is_timestamp ? Value::timestamp(time->seconds, time->nanos)
                        : Value::duration(time->seconds, time->nanos);
}

Value JsonValueReader::read_real(const Json& json, const Type& type) {
    if (json.IsNumber()) return Value::real(json.GetDouble());
    if (!json.IsString()) throw_type_mismatch(type);
    for (const auto& [name, value] : kNamedReals)
        if (view(json) == name) return Value::real(value);
    throw_type_mismatch(type);
}

Value JsonValueReader::read_any(const Json& json) {
    const Type dynamic;
    if (json.IsNull()) return Value();
    if (json.IsBool()) return Value::boolean(json.GetBool());
    if (json.IsInt64()) return Value::integer(json.GetInt64());
    if (json.IsUint64()) return Value::natural(json.GetUint64());
    if (json.IsNumber()) return Value::real(json.GetDouble());
    if (json.IsString()) return read(json, {Tag::text, {}});
    if (json.IsArray()) return read_list(json, dynamic);
    return read_map(json, Type::map({Tag::text, {}}, dynamic));
}

Value JsonValueReader::read_bytes(std::string_view base64) {
    std::string bytes;
    std::uint32_t pending = 0;
    int pending_bits = 0;
    for (const char c : base64) {
        if (c == '=') break;
        const std::size_t digit = kBase64Digits.find(c);
        if (digit == std::string_view::npos) throw CommandError("is not valid base64");
        pending = pending << 6 | static_cast<std::uint32_t>(digit);
        pending_bits += 6;
        if (pending_bits < 8) continue;
        pending_bits -= 8;
        bytes += static_cast<char>(pending >> pending_bits & 0xff);
    }
    return Value::bytes(arena_.copy(bytes));
}

Value JsonValueReader::read_list(const Json& json, const Type& item) {
    const std::span<Value> items = arena_.array<Value>(json.Size());
    for (rapidjson::SizeType i = 0; i < json.Size(); ++i) items[i] = read(json[i], item);
    return Value::list(items);
}

Value JsonValueReader::read_map(const Json& json, const Type& type) {
    const Type key_type = type.of[0].open() ? Type{Tag::text, {}} : type.of[0];
    const std::span<expr::Pair> pairs = arena_.array<expr::Pair>(json.MemberCount());
    std::size_t count = 0;
    for (const auto& member : json.GetObject()) {
        const Value key = read(member.name, key_type);
        pairs[count] = {key, read(member.value, type.of[1])};
        ++count;
    }
    return Value::map(pairs);
}

}   // namespace slatejunction::rules
