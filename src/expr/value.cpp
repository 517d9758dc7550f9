#include "expr/value.hpp"

#include <arpa/inet.h>
#include <glib.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

#include "expr/time.hpp"

namespace slatejunction::expr {

void Arena::refill(std::size_t bytes) {
    const std::size_t size = std::max(bytes, blocks_.empty() ? first_ : 2 * first_);
    blocks_.emplace_back(new char[size]);
    at_ = blocks_.back().get();
    left_ = size;
}

// Keeps the first block, so that a request that needs no more costs the system nothing.
void Arena::reset() {
    used_ = 0;
    if (blocks_.empty()) return;
    if (blocks_.size() > 1) {
        blocks_.clear();
        refill(1);
    }
    at_ = blocks_.front().get();
    left_ = first_;
}

std::string_view kind_name(Kind kind) {
    constexpr std::array<std::string_view, kKinds> kNames{
        "null_type", "bool",     "int",  "uint", "double", "string", "bytes",
        "timestamp", "duration", "list", "map",  "type",   "ip",     "error"};
    return kNames[static_cast<std::size_t>(kind)];
}

// Nearly all texts are ASCII: eight bytes at a time.
bool ascii(std::string_view text) {
    std::uint64_t high = 0;
    std::size_t at = 0;
    for (std::uint64_t eight; at + sizeof eight <= text.size(); at += sizeof eight) {
        std::memcpy(&eight, text.data() + at, sizeof eight);
        high |= eight;
    }
    for (; at < text.size(); ++at) high |= static_cast<unsigned char>(text[at]);
    return (high & 0x8080808080808080) == 0;
}

bool valid_utf8(std::string_view text) {
    return ascii(text) || g_utf8_validate_len(text.data(), text.size(), nullptr) != FALSE;
}

namespace {
bool begins(char c) { return (static_cast<unsigned char>(c) & 0xc0) != 0x80; }
}   // namespace

std::size_t code_points(std::string_view utf8) {
    return static_cast<std::size_t>(std::count_if(utf8.begin(), utf8.end(), begins));
}

std::size_t byte_of(std::string_view utf8, std::size_t code_point) {
    for (std::size_t at = 0; at < utf8.size(); ++at)
        if (begins(utf8[at]) && code_point-- == 0) return at;
    return utf8.size();
}

void append_utf8(std::string& text, std::uint32_t code_point) {
    std::array<char, 6> bytes{};
    text.append(bytes.data(), static_cast<std::size_t>(g_unichar_to_utf8(code_point, bytes.data())));
}

std::string to_text(const Value& value) {
    switch (value.kind()) {
        case Kind::null:
            return "null";
        case Kind::boolean:
            return value.truth() ? "true" : "false";
        case Kind::integer:
            return std::to_string(value.integer());
        case Kind::natural:
            return std::to_string(value.natural());
        case Kind::real: {
            if (std::isnan(value.real())) return "NaN";
            if (std::isinf(value.real())) return value.real() < 0 ? "-Infinity" : "Infinity";
            std::array<char, 40> digits{};
            const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value.real());
            return {digits.data(), end.ptr};
        }
        case Kind::text:
        case Kind::bytes:
        case Kind::error:
            return std::string(value.view());
        case Kind::timestamp:
            return write_timestamp({value.seconds(), value.nanos()});
        case Kind::duration:
            return write_duration({value.seconds(), value.nanos()});
        case Kind::type:
            return std::string(kind_name(value.type()));
        case Kind::ip: {
            std::array<char, INET6_ADDRSTRLEN> digits{};
            const auto address = value.address();
            ::inet_ntop(value.v4() ? AF_INET : AF_INET6, address.data() + (value.v4() ? 12 : 0),
                        digits.data(), digits.size());
            return digits.data();
        }
        case Kind::list:
        case Kind::map:
            break;
    }
    return to_json(value);
}

namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void put(Writer& json, std::string_view text) {
    json.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void put(Writer& json, const Value& value) {
    switch (value.kind()) {
        case Kind::null:
            json.Null();
            return;
        case Kind::boolean:
            json.Bool(value.truth());
            return;
        case Kind::real:
            if (!std::isfinite(value.real())) return put(json, to_text(value));
            json.Double(value.real());
            return;
        case Kind::bytes: {
            const std::unique_ptr<char, decltype(&g_free)> coded(
                g_base64_encode(reinterpret_cast<const guchar*>(value.view().data()), value.size()),
                &g_free);
            return put(json, coded ? std::string_view(coded.get()) : std::string_view());
        }
        case Kind::list:
            json.StartArray();
            for (const Value& one : value.items()) put(json, one);
            json.EndArray();
            return;
        case Kind::map:
            json.StartObject();
            for (const Pair& one : value.pairs()) {
                const std::string key = to_text(one.key);
                json.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
                put(json, one.value);
            }
            json.EndObject();
            return;
        default:
            return put(json, to_text(value));
    }
}

}   // namespace

std::string to_json(const Value& value) {
    rapidjson::StringBuffer text;
    Writer json(text);
    put(json, value);
    return {text.GetString(), text.GetSize()};
}

}   // namespace slatejunction::expr
