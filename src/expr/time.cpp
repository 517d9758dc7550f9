#include "expr/time.hpp"

#include <array>
#include <cstdio>
#include <utility>

namespace slatejunction::expr {
namespace {

constexpr std::int64_t kDay = 86400, kNanos = 1'000'000'000;

// Days since 1970 of a date in the proleptic Gregorian calendar; years are counted from March here.
std::int64_t days_of(std::int64_t year, std::int64_t month, std::int64_t day) {
    if (month <= 2) --year;
    const std::int64_t era = (year >= 0 ? year : year - 399) / 400, of_era = year - era * 400;
    const std::int64_t of_year = (153 * (month + (month > 2 ? -3 : 9)) + 2) / 5 + day - 1;
    return era * 146097 + of_era * 365 + of_era / 4 - of_era / 100 + of_year - 719468;
}

bool leap(std::int64_t year) { return year % 4 == 0 && (year % 100 != 0 || year % 400 == 0); }

std::int64_t days_in(std::int64_t year, std::int64_t month) {
    constexpr std::array<int, 12> kDays{31, 28, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31};
    return kDays[static_cast<std::size_t>(month - 1)] + (month == 2 && leap(year));
}

class Reader {
  public:
    explicit Reader(std::string_view text) : text_(text) {}
    bool digits(std::size_t count, std::int64_t& value) {
        if (text_.size() - at_ < count) return false;
        value = 0;
        for (std::size_t i = 0; i < count; ++i) {
            const char c = text_[at_++];
            if (c < '0' || c > '9') return false;
            value = value * 10 + (c - '0');
        }
        return true;
    }
    bool word(char c) { return at_ < text_.size() && text_[at_] == c && ++at_; }
    bool either(char a, char b) { return word(a) || word(b); }
    // Up to nine digits behind a point; more are cut off.
    bool fraction(std::int32_t& nanos) {
        std::int32_t unit = 100'000'000;
        std::size_t count = 0;
        for (; at_ < text_.size() && text_[at_] >= '0' && text_[at_] <= '9'; ++at_, ++count) {
            nanos += unit * (text_[at_] - '0');
            unit /= 10;
        }
        return count > 0;
    }
    bool end() const { return at_ == text_.size(); }
    std::string_view rest() const { return text_.substr(at_); }

  private:
    std::string_view text_;
    std::size_t at_ = 0;
};

std::string fraction_text(std::int32_t nanos) {
    if (nanos == 0) return "";
    char digits[16];
    std::snprintf(digits, sizeof digits, ".%09d", nanos);
    std::string text = digits;
    while (text.back() == '0') text.pop_back();
    return text;
}

}   // namespace

std::optional<std::int64_t> read_zone(std::string_view text) {
    if (text.empty() || text == "UTC" || text == "Z" || text == "z") return 0;
    Reader in(text);
    std::int64_t hours = 0, minutes = 0;
    const bool west = in.word('-');
    if (!west) in.word('+');
    if (!in.digits(2, hours) || !in.word(':') || !in.digits(2, minutes) || !in.end() || hours > 23 ||
        minutes > 59)
        return std::nullopt;
    return (west ? -1 : 1) * (hours * 3600 + minutes * 60);
}

std::optional<Moment> read_timestamp(std::string_view text) {
    Reader in(text);
    std::int64_t year = 0, month = 0, day = 0, hour = 0, minute = 0, second = 0;
    Moment moment;
    if (!in.digits(4, year) || !in.word('-') || !in.digits(2, month) || !in.word('-') ||
        !in.digits(2, day) || !in.either('T', 't') || !in.digits(2, hour) || !in.word(':') ||
        !in.digits(2, minute) || !in.word(':') || !in.digits(2, second))
        return std::nullopt;
    if (in.word('.') && !in.fraction(moment.nanos)) return std::nullopt;
    if (in.end()) return std::nullopt;
    const auto zone = read_zone(in.rest());
    if (!zone || in.rest() == "UTC" || year < 1 || month < 1 || month > 12 || day < 1 ||
        day > days_in(year, month) || hour > 23 || minute > 59 || second > 59)
        return std::nullopt;
    moment.seconds = days_of(year, month, day) * kDay + hour * 3600 + minute * 60 + second - *zone;
    if (moment.seconds < kFirstSecond || moment.seconds > kLastSecond) return std::nullopt;
    return moment;
}

Calendar calendar(std::int64_t seconds) {
    std::int64_t days = seconds / kDay, of_day = seconds % kDay;
    if (of_day < 0) of_day += kDay, --days;
    Calendar c;
    c.hour = of_day / 3600;
    c.minute = of_day / 60 % 60;
    c.second = of_day % 60;
    c.weekday = ((days + 4) % 7 + 7) % 7;   // 1970 began on a Thursday
    const std::int64_t shifted = days + 719468;
    const std::int64_t era = (shifted >= 0 ? shifted : shifted - 146096) / 146097;
    const std::int64_t of_era = shifted - era * 146097;
    const std::int64_t year_of_era = (of_era - of_era / 1460 + of_era / 36524 - of_era / 146096) / 365;
    const std::int64_t of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    const std::int64_t shifted_month = (5 * of_year + 2) / 153;
    c.day = of_year - (153 * shifted_month + 2) / 5 + 1;
    c.month = shifted_month < 10 ? shifted_month + 3 : shifted_month - 9;
    c.year = year_of_era + era * 400 + (c.month <= 2);
    c.yearday = days - days_of(c.year, 1, 1);
    return c;
}

std::string write_timestamp(Moment moment) {
    const Calendar c = calendar(moment.seconds);
    char text[64];
    std::snprintf(text, sizeof text, "%04d-%02d-%02dT%02d:%02d:%02d", static_cast<int>(c.year),
                  static_cast<int>(c.month), static_cast<int>(c.day), static_cast<int>(c.hour),
                  static_cast<int>(c.minute), static_cast<int>(c.second));
    return text + fraction_text(moment.nanos) + "Z";
}

std::optional<Moment> read_duration(std::string_view text) {
    const bool negative = text.starts_with('-');
    if (negative || text.starts_with('+')) text.remove_prefix(1);
    if (text == "0") return Moment{};
    if (text.empty()) return std::nullopt;
    __int128 nanos = 0;
    while (!text.empty()) {
        std::size_t at = 0, digits = 0;
        __int128 whole = 0, part = 0, scale = 1;
        for (; at < text.size() && text[at] >= '0' && text[at] <= '9'; ++at, ++digits) {
            if (whole > static_cast<__int128>(kDurationMost) * kNanos) return std::nullopt;
            whole = whole * 10 + (text[at] - '0');
        }
        if (at < text.size() && text[at] == '.')
            for (++at; at < text.size() && text[at] >= '0' && text[at] <= '9'; ++at, ++digits)
                if (scale < static_cast<__int128>(kNanos) * 1'000'000)
                    part = part * 10 + (text[at] - '0'), scale *= 10;
        if (digits == 0) return std::nullopt;
        text.remove_prefix(at);
        std::int64_t unit = 0;
        for (const auto& [name, size] : {std::pair<std::string_view, std::int64_t>{"ns", 1},
                                         {"us", 1000},
                                         {"\u00b5s", 1000},
                                         {"\u03bcs", 1000},
                                         {"ms", 1'000'000},
                                         {"s", kNanos},
                                         {"m", 60 * kNanos},
                                         {"h", 3600 * kNanos}})
            if (text.starts_with(name)) {
                unit = size;
                text.remove_prefix(name.size());
                break;
            }
        if (unit == 0) return std::nullopt;
        nanos += whole * unit + part * unit / scale;
        if (nanos > static_cast<__int128>(kDurationMost) * kNanos) return std::nullopt;
    }
    if (negative) nanos = -nanos;
    return Moment{static_cast<std::int64_t>(nanos / kNanos), static_cast<std::int32_t>(nanos % kNanos)};
}

std::string write_duration(Moment moment) {
    const bool negative = moment.seconds < 0 || moment.nanos < 0;
    return (negative ? "-" : "") + std::to_string(moment.seconds < 0 ? -moment.seconds : moment.seconds) +
           fraction_text(negative ? -moment.nanos : moment.nanos) + "s";
}

std::optional<Moment> add(Moment a, Moment b, int sign, bool timestamp) {
    __int128 nanos = (static_cast<__int128>(a.seconds) + sign * static_cast<__int128>(b.seconds)) * kNanos +
                     a.nanos + static_cast<__int128>(sign) * b.nanos;
    Moment sum{static_cast<std::int64_t>(nanos / kNanos), static_cast<std::int32_t>(nanos % kNanos)};
    if (timestamp && sum.nanos < 0) sum.nanos += static_cast<std::int32_t>(kNanos), --sum.seconds;
    const bool fits = timestamp ? sum.seconds >= kFirstSecond && sum.seconds <= kLastSecond
                                : sum.seconds >= -kDurationMost && sum.seconds <= kDurationMost;
    if (!fits) return std::nullopt;
    return sum;
}

}   // namespace slatejunction::expr
