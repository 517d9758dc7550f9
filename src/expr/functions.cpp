#include "expr/functions.hpp"

namespace slatejunction::expr {
namespace {

using Tag = Type::Tag;

const Type kDyn{};
const Type kBoolean{Tag::boolean, {}};
const Type kInteger{Tag::integer, {}};
const Type kNatural{Tag::natural, {}};
const Type kReal{Tag::real, {}};
const Type kText{Tag::text, {}};
const Type kBytes{Tag::bytes, {}};
const Type kTimestamp{Tag::timestamp, {}};
const Type kDuration{Tag::duration, {}};
const Type kType{Tag::type, {}};
const Type kIp{Tag::ip, {}};

// Overloads in the order in which the checker tries them.
class OverloadTable {
  public:
    void member(std::string_view name, Fn fn, std::vector<Type> parameters, Type result,
                bool ready = false) {
        all_.push_back({name, true, fn, std::move(parameters), std::move(result), ready});
    }
    void global(std::string_view name, Fn fn, std::vector<Type> parameters, Type result,
                bool ready = false) {
        all_.push_back({name, false, fn, std::move(parameters), std::move(result), ready});
    }
    std::vector<Overload> take() { return std::move(all_); }

  private:
    std::vector<Overload> all_;
};

void add_size(OverloadTable& table) {
    const std::vector<Type> sized{kText, kBytes, Type::list(kDyn), Type::map(kDyn, kDyn)};
    for (const Type& one : sized) table.global("size", Fn::size, {one}, kInteger);
    for (const Type& one : sized) table.member("size", Fn::size, {one}, kInteger);
}

void add_matching(OverloadTable& table) {
    table.member("contains", Fn::contains, {kText, kText}, kBoolean);
    table.member("startsWith", Fn::starts_with, {kText, kText}, kBoolean);
    table.member("endsWith", Fn::ends_with, {kText, kText}, kBoolean);
    table.member("matches", Fn::matches, {kText, kText}, kBoolean, true);
    table.global("matches", Fn::matches, {kText, kText}, kBoolean, true);
    table.member("glob", Fn::glob, {kText, kText}, kBoolean, true);
    table.member("inCidr", Fn::in_cidr, {kIp, kText}, kBoolean, true);
}

// The strings extension of CEL.
void add_strings(OverloadTable& table) {
    const Type texts = Type::list(kText);
    table.member("charAt", Fn::char_at, {kText, kInteger}, kText);
    table.member("indexOf", Fn::index_of, {kText, kText}, kInteger);
    table.member("indexOf", Fn::index_of, {kText, kText, kInteger}, kInteger);
    table.member("lastIndexOf", Fn::last_index_of, {kText, kText}, kInteger);
    table.member("lastIndexOf", Fn::last_index_of, {kText, kText, kInteger}, kInteger);
    table.member("lowerAscii", Fn::lower, {kText}, kText);
    table.member("upperAscii", Fn::upper, {kText}, kText);
    table.member("replace", Fn::replace, {kText, kText, kText}, kText);
    table.member("replace", Fn::replace, {kText, kText, kText, kInteger}, kText);
    table.member("split", Fn::split, {kText, kText}, texts);
    table.member("split", Fn::split, {kText, kText, kInteger}, texts);
    table.member("substring", Fn::substring, {kText, kInteger}, kText);
    table.member("substring", Fn::substring, {kText, kInteger, kInteger}, kText);
    table.member("trim", Fn::trim, {kText}, kText);
    table.member("join", Fn::join, {texts}, kText);
    table.member("join", Fn::join, {texts, kText}, kText);
}

void add_hashes(OverloadTable& table) {
    for (const Type& one : {kText, kBytes, kInteger, kNatural}) {
        table.global("hash", Fn::hash, {one}, kNatural);
        table.global("bucket", Fn::bucket, {one, kInteger}, kInteger);
    }
    table.global("ip", Fn::to_ip, {kText}, kIp);
}

void add_conversions(OverloadTable& table) {
    for (const Type& one : {kInteger, kNatural, kReal, kText, kTimestamp})
        table.global("int", Fn::to_int, {one}, kInteger);
    for (const Type& one : {kInteger, kNatural, kReal, kText}) {
        table.global("uint", Fn::to_uint, {one}, kNatural);
        table.global("double", Fn::to_double, {one}, kReal);
    }
    for (const Type& one : {kText, kInteger, kNatural, kReal, kBoolean, kBytes, kTimestamp, kDuration, kIp})
        table.global("string", Fn::to_string, {one}, kText);
    for (const Type& one : {kBytes, kText}) table.global("bytes", Fn::to_bytes, {one}, kBytes);
    for (const Type& one : {kBoolean, kText}) table.global("bool", Fn::to_bool, {one}, kBoolean);
    for (const Type& one : {kTimestamp, kText, kInteger})
        table.global("timestamp", Fn::to_timestamp, {one}, kTimestamp);
    for (const Type& one : {kDuration, kText}) table.global("duration", Fn::to_duration, {one}, kDuration);
    table.global("dyn", Fn::to_dyn, {kDyn}, kDyn);
    table.global("type", Fn::type_of, {kDyn}, kType);
}

void add_time_fields(OverloadTable& table) {
    const auto field = [&](std::string_view name, Fn fn, bool of_duration) {
        table.member(name, fn, {kTimestamp}, kInteger);
        table.member(name, fn, {kTimestamp, kText}, kInteger);
        if (of_duration) table.member(name, fn, {kDuration}, kInteger);
    };
    field("getFullYear", Fn::full_year, false);
    field("getMonth", Fn::month, false);
    field("getDate", Fn::date, false);
    field("getDayOfMonth", Fn::day_of_month, false);
    field("getDayOfWeek", Fn::day_of_week, false);
    field("getDayOfYear", Fn::day_of_year, false);
    field("getHours", Fn::hours, true);
    field("getMinutes", Fn::minutes, true);
    field("getSeconds", Fn::seconds, true);
    field("getMilliseconds", Fn::milliseconds, true);
}

}   // namespace

std::vector<Overload> overloads() {
    OverloadTable table;
    add_size(table);
    add_matching(table);
    add_strings(table);
    add_hashes(table);
    add_conversions(table);
    add_time_fields(table);
    return table.take();
}

}   // namespace slatejunction::expr
