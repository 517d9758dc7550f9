// Parses endpoint lists in JSON, from discovery or the configuration, to EndpointList.
//
// The start times of backends are in Unix ms in JSON, and in s (net::now()) in EndpointList. Pure, except
// that the constructor of UnixTimeConverter reads both clocks. Called by EndpointWatch and the
// configuration.
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
    // The host:port of each of update.endpoints.
    std::vector<std::string> addresses;
    // The start time of each of update.endpoints as stated by discovery; 0 means long ago.
    std::vector<double> up_since_ms;
    // The ids in entries that are otherwise invalid. The state of these backends does not change.
    std::vector<std::string> unparsed_ids;
    bool operator==(const EndpointList&) const = default;
};

/// Converts Unix time to this process's monotonic clock. Created once, so that a start time converts to the
/// same value in every list, as the gateway takes a different value for a restart. The conversion includes
/// the error of the wall clock at creation, which EndpointStartTimes bounds.
class UnixTimeConverter {
  public:
    UnixTimeConverter();
    /// 0, which means long ago, is returned unchanged.
    double to_monotonic_s(double unix_ms) const;

  private:
    double offset_s_;
};

/// Parses JSON from another system. Parses iteratively, so that nesting does not consume the stack. After
/// an error, json.HasParseError() is true.
void parse_json(std::string_view text, rapidjson::Document& json);

/// Converts to an integer. Returns 0 for values out of range, for which a cast would be undefined.
std::int64_t to_integer(double value);

/// Parses a list of discovery. Returns false if `json` is not a list. Invalid entries are left out and
/// counted in `invalid_entries`. A complete list becomes a snapshot only if each of its invalid entries has
/// an id; else it becomes a delta, so that it removes no backend.
bool read_endpoint_list(const rapidjson::Value& json, const UnixTimeConverter& clock,
                        EndpointList& endpoint_list, int& invalid_entries);

/// Parses a cached list, with the same result. It may lack a revision, as a list of discovery follows.
bool read_cached_list(const rapidjson::Value& json, const UnixTimeConverter& clock,
                      EndpointList& endpoint_list, int& invalid_entries);

}   // namespace slatejunction::discovery
