// Encodes the keys of limits as the bytes that are hashed. Each value is preceded by its kind, and each
// text and list also by its size, so that no two keys of different structure have the same bytes. The
// format is fixed, because all ingresses have to compute the same bytes and stored buckets are
// identified by their hash.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "expr/value.hpp"

namespace slatejunction::rules {

/// Appends 8 bytes, little-endian.
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

/// Appends a key, or an item of one.
void append_key(std::string& key, const expr::Value& value);

}   // namespace slatejunction::rules
