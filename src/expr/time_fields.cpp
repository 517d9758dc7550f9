#include "expr/time_fields.hpp"

#include <cstdint>
#include <optional>

#include "expr/errors.hpp"
#include "expr/time.hpp"

namespace slatejunction::expr {
namespace {

constexpr std::int64_t kSecondsPerHour = 3600;
constexpr std::int64_t kSecondsPerMinute = 60;
constexpr std::int32_t kNanosPerMilli = 1'000'000;

Value field_of_duration(Fn field, const Value& duration) {
    switch (field) {
        case Fn::hours:
            return Value::integer(duration.seconds() / kSecondsPerHour);
        case Fn::minutes:
            return Value::integer(duration.seconds() / kSecondsPerMinute);
        case Fn::seconds:
            return Value::integer(duration.seconds());
        case Fn::milliseconds:
            return Value::integer(duration.nanos() / kNanosPerMilli);
        default:
            return no_overload();
    }
}

// `zone`: seconds east of UTC. CEL counts months and getDayOfMonth() from 0, getDate() from 1.
Value field_of_timestamp(Fn field, const Value& timestamp, std::int64_t zone) {
    const Calendar local = calendar(timestamp.seconds() + zone);
    switch (field) {
        case Fn::full_year:
            return Value::integer(local.year);
        case Fn::month:
            return Value::integer(local.month - 1);
        case Fn::date:
            return Value::integer(local.day);
        case Fn::day_of_month:
            return Value::integer(local.day - 1);
        case Fn::day_of_week:
            return Value::integer(local.weekday);
        case Fn::day_of_year:
            return Value::integer(local.yearday);
        case Fn::hours:
            return Value::integer(local.hour);
        case Fn::minutes:
            return Value::integer(local.minute);
        case Fn::seconds:
            return Value::integer(local.second);
        default:
            return Value::integer(timestamp.nanos() / kNanosPerMilli);
    }
}

}   // namespace

Value time_field(Fn field, Arguments arguments, Context& context) {
    if (!context.spend(cost::kTime)) return over_bound();
    const Value& time = arguments[0];
    if (time.is(Kind::duration) && arguments.size() == 1) return field_of_duration(field, time);
    if (!time.is(Kind::timestamp)) return no_overload();
    if (arguments.size() != 2) return field_of_timestamp(field, time, 0);
    if (!arguments[1].is(Kind::text)) return no_overload();
    const std::optional<std::int64_t> zone = read_zone(arguments[1].view());
    if (!zone) return Value::error("no time zone: UTC or +01:00; names are left out");
    return field_of_timestamp(field, time, *zone);
}

}   // namespace slatejunction::expr
