// Maps the event lines of the simulator's wire protocol to the types of gateway.hpp.
//
// The input is the columns of a line (times in seconds); the output is settings, endpoints and events. A
// line that cannot be parsed throws MalformedLine with the text for standard error. The functions keep no
// state and are called by simulator_adapter.cpp.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "slatejunction/gateway.hpp"

namespace slatejunction::simulator {

/// The columns of a line, as views into its text.
using Columns = std::vector<std::string_view>;
/// The number by which the simulator identifies a gateway.
using InstanceId = std::int64_t;

/// A line that cannot be parsed; its what() is written to standard error.
struct MalformedLine : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Splits `text` at each separator. The result has at least one element.
Columns split(std::string_view text, char separator);

/// Parses a finite number. `name`: the column or setting, for error texts.
double parse_number(std::string_view text, const char* name);

/// Parses a whole number within the range of Int. `name`: as for parse_number().
template <class Int>
Int parse_integer(std::string_view text, const char* name) {
    Int value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        throw MalformedLine(std::string(name) + " must be a whole number in range: '" + std::string(text) +
                            "'");
    return value;
}

/// Reads the columns of one line in order. A column that is '-' or missing at the end of the line is
/// absent. `name`: the column's name in the wire protocol, for error texts.
class ColumnReader {
  public:
    ColumnReader(const Columns& columns, std::size_t first) : columns_(columns), next_(first) {}

    std::string_view text(const char* name) {
        if (next_ >= columns_.size() || columns_[next_] == "-" || columns_[next_].empty())
            throw MalformedLine(std::string(name) + " is missing");
        return columns_[next_++];
    }
    std::string string(const char* name) { return std::string(text(name)); }
    double number(const char* name) { return parse_number(text(name), name); }
    double number_or_0(const char* name) {
        const std::string_view value = optional_text();
        return value.empty() ? 0 : parse_number(value, name);
    }
    template <class Int>
    Int integer(const char* name) {
        return parse_integer<Int>(text(name), name);
    }
    bool flag(const char* name) {
        const std::string_view value = text(name);
        if (value != "0" && value != "1") throw MalformedLine(std::string(name) + " must be 0 or 1");
        return value == "1";
    }
    std::vector<double> numbers(const char* name) {
        std::vector<double> values;
        const std::string_view list = optional_text();
        if (list.empty()) return values;
        for (const std::string_view item : split(list, ',')) values.push_back(parse_number(item, name));
        return values;
    }

  private:
    std::string_view optional_text() {
        if (next_ >= columns_.size()) return {};
        const std::string_view value = columns_[next_++];
        return value == "-" ? std::string_view() : value;
    }

    const Columns& columns_;
    std::size_t next_;
};

/// Parses the `key=value` columns of a BEGIN line, from column `first` on.
Settings parse_settings(const Columns& columns, std::size_t first);

/// Parses column Form of a DIRECTORY_UPDATE line.
EndpointUpdateKind parse_update_kind(const std::string& form);

/// Parses an M line, one endpoint of a DIRECTORY_UPDATE.
Endpoint parse_endpoint(ColumnReader columns);

/// Whether the protocol has an event line of that name.
bool is_event_name(std::string_view name);

/// Parses a line that is a whole event for one running gateway. `columns`: those after the instance.
/// Returns nullopt for MEMO and TALLIED, which a gateway does not use.
std::optional<Event> parse_event(std::string_view name, const ColumnReader& columns);

}   // namespace slatejunction::simulator
