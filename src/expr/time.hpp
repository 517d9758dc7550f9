// Timestamps (RFC 3339) and durations as CEL writes them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace slatejunction::expr {

inline constexpr std::int64_t kFirstSecond = -62135596800, kLastSecond = 253402300799;   // years 1 to 9999
inline constexpr std::int64_t kDurationMost = 315576000000;                              // s

struct Moment {
    std::int64_t seconds = 0;
    std::int32_t nanos = 0;   // of a timestamp 0 to 999,999,999; of a duration of the sign of `seconds`
};

std::optional<Moment> read_timestamp(std::string_view text);
std::string write_timestamp(Moment moment);
// Numbers with units h, m, s, ms, us (or with a micro sign), ns, one after another; a sign before them.
std::optional<Moment> read_duration(std::string_view text);
std::string write_duration(Moment moment);   // in seconds: "-1.5s"
// Sum and difference in the form of a duration; nothing beyond its range.
std::optional<Moment> add(Moment a, Moment b, int sign, bool timestamp);

struct Calendar {
    std::int64_t year = 1970, month = 1, day = 1, hour = 0, minute = 0, second = 0;   // month, day from 1
    std::int64_t weekday = 0;                                                         // 0: Sunday
    std::int64_t yearday = 0;                                                         // from 0
};
Calendar calendar(std::int64_t seconds);
// "", "UTC" or "+01:00": seconds east. Zones by name are not known.
std::optional<std::int64_t> read_zone(std::string_view text);

}   // namespace slatejunction::expr
