// Reads JSON values as values of expression types, for the `expr` command.
//
// - Inputs: a parsed JSON value and the expected type.
// - Output: the value, whose bytes live in the caller's arena, or a CommandError that names the
//   expected type.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <stdexcept>
#include <string_view>

#include "expr/program.hpp"

namespace slatejunction::rules {

/// Invalid input of the command; what() is printed to standard error.
struct CommandError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Returns the bytes of a JSON string, which must outlive the view.
inline std::string_view view(const rapidjson::Value& json) {
    return {json.GetString(), json.GetStringLength()};
}

/// Reads an integer or a string of decimal digits (protobuf's JSON writes 64-bit integers as strings).
/// Returns false if it is neither or out of range.
bool read_integer(const rapidjson::Value& json, std::int64_t& value);
bool read_integer(const rapidjson::Value& json, std::uint64_t& value);

/// Reads JSON values into an arena, which must outlive the values.
class JsonValueReader {
  public:
    explicit JsonValueReader(expr::Arena& arena) : arena_(arena) {}
    /// Throws CommandError, "is not of type TYPE" or "is not valid base64", if the JSON does not fit the
    /// type. The caller adds what the value is.
    expr::Value read(const rapidjson::Value& json, const expr::Type& type);

  private:
    expr::Value read_time(const rapidjson::Value& json, const expr::Type& type);
    expr::Value read_real(const rapidjson::Value& json, const expr::Type& type);
    expr::Value read_any(const rapidjson::Value& json);
    expr::Value read_bytes(std::string_view base64);
    expr::Value read_list(const rapidjson::Value& json, const expr::Type& item);
    expr::Value read_map(const rapidjson::Value& json, const expr::Type& type);

    expr::Arena& arena_;
};

}   // namespace slatejunction::rules
