// The directory's list of providers as it comes in JSON, from the directory or from the configuration.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "slatejunction/gateway.hpp"

namespace slatejunction::discovery {

struct EndpointList {
    std::optional<std::int64_t> revision;
    slatejunction::EndpointUpdate update;
    std::vector<std::string> addresses;   // host:port, beside update.entries
    std::vector<double> up_since_ms;      // the start as it was stated, likewise; 0: long ago
    // Named by entries that can't be read: these stay as they were.
    std::vector<std::string> unparsed_ids;
    bool operator==(const EndpointList&) const = default;
};

// Turns Unix time into the program's monotonic one. Made once: the same start of a provider must give the
// same figure each time, or the module would take every list for a restart. It is as wrong as the wall
// clock was then: StartTimes bounds what that may do.
class UnixTimeConverter {
  public:
    UnixTimeConverter();
    double to_monotonic_s(double unix_ms) const;   // 0 stays 0: long ago

  private:
    double offset_s_;
};

// Parses JSON that another system wrote. Iterative: the parser's stack must not grow with what is nested,
// or some ten thousand brackets would end the program. Faults: json.HasParseError().
void parse_json(std::string_view text, rapidjson::Document& json);

// A figure as a whole number; 0 beyond all integers, as the cast of such a number has no defined value.
std::int64_t to_integer(double value);

// False when it is no list at all. An entry that can't be read is left out and counted in `broken`. A
// complete list stays one if each such entry names its backend; else it is given as changes, so that it
// takes none away.
bool read_endpoint_list(const rapidjson::Value& json, const UnixTimeConverter& clock, EndpointList& listing,
                        int& broken);

// The same for a copy that somebody kept: its members count whatever else is missing, as the directory's
// own list follows. Without a revision that can be read it has none.
bool read_cached_list(const rapidjson::Value& json, const UnixTimeConverter& clock, EndpointList& listing,
                      int& broken);

}   // namespace slatejunction::discovery
