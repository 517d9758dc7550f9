// Source text to a tree and back. The grammar is that of the Common Expression Language's public definition
// (github.com/google/cel-spec, doc/langdef.md) without messages.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace slatejunction::expr {

inline constexpr std::size_t kSourceMost = std::size_t{64} * 1024;   // bytes
inline constexpr std::size_t kNodesMost = 20'000;
inline constexpr std::size_t kDepthMost = 250;   // of nested nodes

// What is wrong with an expression, found while it is loaded.
struct LoadError : std::runtime_error {
    LoadError(std::size_t at, const std::string& why) : std::runtime_error(why), at(at) {}
    std::size_t at;   // byte of the source
};
// "LINE:COLUMN: why", the source's line and a caret below. Columns count code points from 1; of a line that
// is longer than 120 bytes the part round the place is shown.
std::string describe(const LoadError& error, std::string_view source);

using NodeId = std::uint32_t;

struct Node {
    enum class Kind {
        null,
        boolean,
        integer,
        natural,
        real,
        text,
        bytes,
        name,     // an identifier
        select,   // kids[0].name
        has,      // has(kids[0].name)
        call,     // name(kids...), or kids[0].name(kids[1]...) when `member`; operators by CEL's names: _+_
        list,
        map,     // key, value, key, value ...
        macro,   // kids[0].name(variable, kids[1]...): all, exists, exists_one, map, filter
    };
    Kind kind = Kind::null;
    std::size_t at = 0;   // byte of the source
    bool boolean = false, member = false;
    std::int64_t integer = 0;
    std::uint64_t natural = 0;
    double real = 0;
    std::string name;       // or the literal's text or bytes
    std::string variable;   // of a macro
    std::vector<NodeId> kids;
    std::size_t depth = 1;
};

struct Tree {
    std::string source;
    std::vector<Node> nodes;
    NodeId root = 0;
    const Node& operator[](NodeId id) const { return nodes[id]; }
};

// Throws LoadError.
Tree parse(std::string source);
// A source text that gives the same tree, but for positions.
std::string print(const Tree& tree);
bool same(const Tree& a, const Tree& b);

}   // namespace slatejunction::expr
