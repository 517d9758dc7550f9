// The endpoint list as JSON, from discovery or the configuration, and what it becomes here.
//
// Input: JSON; starts in Unix ms. Output: EndpointList, with starts in s (net::now()). Pure but for
// UnixTimeConverter's constructor, which reads both clocks. Called by EndpointWatch and the configuration.
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
    std::vector<std::string> addresses;   // host:port, beside update.endpoints
    std::vector<double> up_since_ms;      // the stated start, likewise; 0: long ago
    // Named by entries that can't be read: these backends stay as they were.
    std::vector<std::string> unparsed_ids;
    bool operator==(const EndpointList&) const = default;
};

/// Converts Unix time to this process's monotonic clock. Made once, so that a start converts to the same
/// time in every list: another time would be a restart to the gateway. It has the wall clock's error of
/// that moment, which EndpointStartTimes bounds.
class UnixTimeConverter {
  public:
    UnixTimeConverter();
    double to_monotonic_s(double unix_ms) const;   // 0 stays 0: long ago

  private:
    double offset_s_;
};

/// Parses JSON of another system, iteratively, as the stack must not grow with what is nested. Errors:
/// json.HasParseError().
void parse_json(std::string_view text, rapidjson::Document& json);

/// 0 beyond all integers, where a cast would be undefined.
std::int64_t to_integer(double value);

/// False: it is no list. An entry that can't be read is left out and counted in `broken`. A complete list
/// is a snapshot only if each such entry names its backend; else it is a delta, so that it removes none.
bool read_endpoint_list(const rapidjson::Value& json, const UnixTimeConverter& clock,
                        EndpointList& endpoint_list, int& broken);

/// The same for a cached list, which needs no revision: discovery's own list follows.
bool read_cached_list(const rapidjson::Value& json, const UnixTimeConverter& clock,
                      EndpointList& endpoint_list, int& broken);

}   // namespace slatejunction::discovery
