// The bytes that the keys of limits are hashed by: each value behind its kind, texts and lists behind their
// size, so that no two keys of different form have the same bytes. The same at all ingresses and in files
// of buckets: a fixed format.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "expr/value.hpp"

namespace slatejunction::rules {

/// Little-endian, 8 bytes.
inline void append_number(std::string& key, std::uint64_t bits) {
    std::array<char, 8> bytes{};
    for (std::size_t i = 0; i < 8; ++i) bytes[i] = static_cast<char>(bits >> (8 * i));
    key.append(bytes.data(), bytes.size());
}

inline void append_kind(std::string& key, expr::Kind kind) { key += static_cast<char>(kind); }

inline void append_text(std::string& key, std::string_view text) {
    append_kind(key, expr::Kind::text);
    append_number(key, text.size());
    key += text;
}

/// Appends a value of a key.
void append_key(std::string& key, const expr::Value& value);

}   // namespace slatejunction::rules
