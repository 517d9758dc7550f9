#include "expr/text_search.hpp"

#include <algorithm>
#include <cstdint>
#include <span>

namespace slatejunction::expr {
namespace {

// Of the algorithm of Knuth, Morris and Pratt: for each length of a beginning of `sought`, the length of
// the longest shorter beginning that it ends in.
std::span<const std::uint32_t> failure_table(std::string_view sought, Arena& arena) {
    const std::span<std::uint32_t> table = arena.array<std::uint32_t>(sought.size() + 1);
    std::size_t matched = 0;
    for (std::size_t i = 1; i < sought.size(); ++i) {
        while (matched > 0 && sought[i] != sought[matched]) matched = table[matched];
        if (sought[i] == sought[matched]) ++matched;
        table[i + 1] = static_cast<std::uint32_t>(matched);
    }
    return table;
}

}   // namespace

std::size_t find_last(std::string_view text, std::string_view sought, std::size_t most, Arena& arena) {
    if (sought.empty()) return std::min(most, text.size());
    if (sought.size() > text.size()) return std::string_view::npos;
    const std::span<const std::uint32_t> table = failure_table(sought, arena);
    std::size_t found = std::string_view::npos;
    std::size_t matched = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        while (matched > 0 && text[i] != sought[matched]) matched = table[matched];
        if (text[i] == sought[matched]) ++matched;
        if (matched < sought.size()) continue;
        const std::size_t begin = i + 1 - matched;
        if (begin > most) break;
        found = begin;
        matched = table[matched];
    }
    return found;
}

}   // namespace slatejunction::expr
