#include "expr/functions.hpp"

namespace slatejunction::expr {

std::vector<Overload> overloads() {
    using Tag = Type::Tag;
    const Type dyn{}, boolean{Tag::boolean, {}}, integer{Tag::integer, {}}, natural{Tag::natural, {}},
        real{Tag::real, {}}, text{Tag::text, {}}, bytes{Tag::bytes, {}}, time{Tag::timestamp, {}},
        span{Tag::duration, {}}, type{Tag::type, {}}, ip{Tag::ip, {}}, texts = Type::list(text);
    std::vector<Overload> all;
    for (const bool member : {false, true})
        for (const Type& one : {text, bytes, Type::list(dyn), Type::map(dyn, dyn)})
            all.push_back({"size", member, Fn::size, {one}, integer});
    const auto member = [&](std::string_view name, Fn fn, std::vector<Type> parameters, Type result,
                            bool ready = false) {
        all.push_back({name, true, fn, std::move(parameters), std::move(result), ready});
    };
    const auto global = [&](std::string_view name, Fn fn, std::vector<Type> parameters, Type result,
                            bool ready = false) {
        all.push_back({name, false, fn, std::move(parameters), std::move(result), ready});
    };
    member("contains", Fn::contains, {text, text}, boolean);
    member("startsWith", Fn::starts_with, {text, text}, boolean);
    member("endsWith", Fn::ends_with, {text, text}, boolean);
    member("matches", Fn::matches, {text, text}, boolean, true);
    global("matches", Fn::matches, {text, text}, boolean, true);
    member("glob", Fn::glob, {text, text}, boolean, true);
    member("inCidr", Fn::in_cidr, {ip, text}, boolean, true);
    member("charAt", Fn::char_at, {text, integer}, text);
    member("indexOf", Fn::index_of, {text, text}, integer);
    member("indexOf", Fn::index_of, {text, text, integer}, integer);
    member("lastIndexOf", Fn::last_index_of, {text, text}, integer);
    member("lastIndexOf", Fn::last_index_of, {text, text, integer}, integer);
    member("lowerAscii", Fn::lower, {text}, text);
    member("upperAscii", Fn::upper, {text}, text);
    member("replace", Fn::replace, {text, text, text}, text);
    member("replace", Fn::replace, {text, text, text, integer}, text);
    member("split", Fn::split, {text, text}, texts);
    member("split", Fn::split, {text, text, integer}, texts);
    member("substring", Fn::substring, {text, integer}, text);
    member("substring", Fn::substring, {text, integer, integer}, text);
    member("trim", Fn::trim, {text}, text);
    member("join", Fn::join, {texts}, text);
    member("join", Fn::join, {texts, text}, text);
    for (const Type& one : {text, bytes, integer, natural}) {
        global("hash", Fn::hash, {one}, natural);
        global("bucket", Fn::bucket, {one, integer}, integer);
    }
    global("ip", Fn::to_ip, {text}, ip);
    for (const Type& one : {integer, natural, real, text, time}) global("int", Fn::to_int, {one}, integer);
    for (const Type& one : {integer, natural, real, text}) {
        global("uint", Fn::to_uint, {one}, natural);
        global("double", Fn::to_double, {one}, real);
    }
    for (const Type& one : {text, integer, natural, real, boolean, bytes, time, span, ip})
        global("string", Fn::to_string, {one}, text);
    for (const Type& one : {bytes, text}) global("bytes", Fn::to_bytes, {one}, bytes);
    for (const Type& one : {boolean, text}) global("bool", Fn::to_bool, {one}, boolean);
    for (const Type& one : {time, text, integer}) global("timestamp", Fn::to_timestamp, {one}, time);
    for (const Type& one : {span, text}) global("duration", Fn::to_duration, {one}, span);
    global("dyn", Fn::to_dyn, {dyn}, dyn);
    global("type", Fn::type_of, {dyn}, type);
    const auto part = [&](std::string_view name, Fn fn, bool of_duration) {
        member(name, fn, {time}, integer);
        member(name, fn, {time, text}, integer);
        if (of_duration) member(name, fn, {span}, integer);
    };
    part("getFullYear", Fn::full_year, false);
    part("getMonth", Fn::month, false);
    part("getDate", Fn::date, false);
    part("getDayOfMonth", Fn::day_of_month, false);
    part("getDayOfWeek", Fn::day_of_week, false);
    part("getDayOfYear", Fn::day_of_year, false);
    part("getHours", Fn::hours, true);
    part("getMinutes", Fn::minutes, true);
    part("getSeconds", Fn::seconds, true);
    part("getMilliseconds", Fn::milliseconds, true);
    return all;
}

}   // namespace slatejunction::expr
