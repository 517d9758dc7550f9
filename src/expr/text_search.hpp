// The search for a text within a text, in time linear in both whatever they hold.
#pragma once

#include <cstddef>
#include <cstring>
#include <string_view>

#include "expr/value.hpp"

namespace slatejunction::expr {

/// The first byte at `from` or after at which `sought` begins in `text`, or npos. An empty text is found at
/// `from`, also behind the end.
inline std::size_t find_first(std::string_view text, std::string_view sought, std::size_t from = 0) {
    if (sought.empty()) return from;
    if (from >= text.size()) return std::string_view::npos;
    // libc's two-way search: std::string_view::find takes the product of both sizes at worst.
    const void* at = ::memmem(text.data() + from, text.size() - from, sought.data(), sought.size());
    if (!at) return std::string_view::npos;
    return static_cast<std::size_t>(static_cast<const char*>(at) - text.data());
}

/// The last byte at `most` or before at which `sought` begins in `text`, or npos. Takes four bytes of the
/// arena for each of `sought` and four more.
std::size_t find_last(std::string_view text, std::string_view sought, std::size_t most, Arena& arena);

}   // namespace slatejunction::expr
