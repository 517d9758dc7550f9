// Static types, what they bound, and the variables that an expression may name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace slatejunction::expr {

struct Type {
    enum class Tag {
        none,   // of the elements of [] and {}: fits everywhere
        dyn,    // known at run time only
        null,
        boolean,
        integer,
        natural,
        real,
        text,
        bytes,
        timestamp,
        duration,
        type,
        ip,
        list,   // of[0]
        map,    // of[0] to of[1]
    };
    Tag tag = Tag::dyn;
    std::vector<Type> of;

    static Type list(Type item) { return {Tag::list, {std::move(item)}}; }
    static Type map(Type key, Type value) { return {Tag::map, {std::move(key), std::move(value)}}; }
    bool is(Tag one) const { return tag == one; }
    bool open() const { return tag == Tag::dyn || tag == Tag::none; }   // may be anything at run time
    bool is_number() const { return tag == Tag::integer || tag == Tag::natural || tag == Tag::real; }
    bool operator==(const Type&) const = default;
    std::string name() const;   // "map(string, int)"
};
// Whether a value of type `from` may stand where `to` is wanted: the same, or one of them open, part by
// part.
bool fits(const Type& from, const Type& to);
// The type of either: the same, else dyn.
Type either(const Type& a, const Type& b);
// "list(map(string, int))"; nothing when it is none.
std::optional<Type> read_type(std::string_view text);

// The most that a value can be: bytes of a text, items of a list, pairs of a map; and of its parts.
struct Bound {
    std::uint64_t size = 0;
    std::vector<Bound> of;   // a list's items; a map's keys and values
    // Of a collection's texts: the most bytes of all of them together, where it is less than each of that
    // size.
    std::uint64_t total = ~std::uint64_t{0};
    static Bound text(std::uint64_t bytes) { return {bytes, {}, kNoTotal}; }
    static Bound list(std::uint64_t items, Bound item) { return {items, {std::move(item)}, kNoTotal}; }
    static Bound map(std::uint64_t pairs, Bound key, Bound value) {
        return {pairs, {std::move(key), std::move(value)}, kNoTotal};
    }
    static constexpr std::uint64_t kNoTotal = ~std::uint64_t{0};
};
Bound either(const Bound& a, const Bound& b);

struct Variable {
    std::string name;   // may have dots: "request.path"
    Type type;
    Bound bound;
    std::uint64_t load_cost = 0;   // the most that its source adds in one run, however often it is read
};

struct Environment {
    std::vector<Variable> variables;
};

}   // namespace slatejunction::expr
