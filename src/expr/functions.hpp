// The functions of the language, named once: for the checker, the compiler, the evaluator and the manual.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "expr/types.hpp"

namespace slatejunction::expr {

enum class Fn : std::uint8_t {
    none,
    size,
    contains,
    starts_with,
    ends_with,
    matches,
    glob,
    in_cidr,
    char_at,
    index_of,
    last_index_of,
    lower,
    upper,
    replace,
    split,
    substring,
    trim,
    join,
    hash,
    bucket,
    to_ip,
    to_int,
    to_uint,
    to_double,
    to_string,
    to_bytes,
    to_bool,
    to_timestamp,
    to_duration,
    to_dyn,
    type_of,
    full_year,
    month,
    date,
    day_of_month,
    day_of_week,
    day_of_year,
    hours,
    minutes,
    seconds,
    milliseconds,
};

struct Overload {
    std::string_view name;
    bool member;   // x.name(...), else name(...)
    Fn fn;
    std::vector<Type> parameters;   // of a member the target first
    Type result;
    // The second parameter is a literal that is made ready at load: a pattern or a network.
    bool ready = false;
};

// Operators are not here: they are instructions of their own.
std::vector<Overload> overloads();

}   // namespace slatejunction::expr
