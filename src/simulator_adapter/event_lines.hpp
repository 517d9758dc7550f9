// Maps the simulator's event lines to the types of gateway.hpp.
//
// Inputs: the columns of a line, as in the WIRE page (times in seconds).
// Output: settings, endpoints and events; a line that can't be understood throws BadLine with the text for
// standard error.
// It keeps no state and never changes what a line says. simulator_adapter.cpp calls it.
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

/// The columns of a line; they point into it.
using Columns = std::vector<std::string_view>;
/// The simulator's number of a gateway.
using InstanceId = std::int64_t;

/// A line that can't be understood; the text goes to standard error.
struct BadLine : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The parts of `text` between the separators; at least one.
Columns split(std::string_view text, char separator);

/// A finite number. `name`: of the column or setting, for error texts.
double parse_number(std::string_view text, const char* name);

/// A whole number within the range of Int.
template <class Int>
Int parse_integer(std::string_view text, const char* name) {
    Int value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        throw BadLine(std::string(name) + " is not a whole number: '" + std::string(text) + "'");
    return value;
}

/// Reads the columns of one line in order; '-' and a missing trailing column are absent.
/// `name`: the column's name on the wire, for error texts.
class ColumnReader {
  public:
    ColumnReader(const Columns& columns, std::size_t first) : columns_(columns), next_(first) {}

    std::string_view text(const char* name) {
        if (next_ >= columns_.size() || columns_[next_] == "-" || columns_[next_].empty())
            throw BadLine(std::string(name) + " is missing");
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
        if (value != "0" && value != "1") throw BadLine(std::string(name) + " is neither 1 nor 0");
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

/// BEGIN: the `key=value` columns from `first` on.
Settings parse_settings(const Columns& columns, std::size_t first);

/// DIRECTORY_UPDATE, column Form.
EndpointUpdateKind parse_update_kind(const std::string& form);

/// M, one endpoint of a DIRECTORY_UPDATE.
Endpoint parse_endpoint(ColumnReader columns);

/// Whether the wire has an event line of that name.
bool is_event_name(std::string_view name);

/// The event of a line that concerns one running gateway and is complete in itself. `columns`: those after
/// the instance. None for MEMO and TALLIED, which are of no use to a gateway.
std::optional<Event> parse_event(std::string_view name, const ColumnReader& columns);

}   // namespace slatejunction::simulator
