// The directory's list of providers as it comes in JSON, from the directory or from the configuration.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "slatejunction/gateway.hpp"

namespace slatejunction::directory {

struct Listing {
    std::optional<std::int64_t> revision;
    slatejunction::ListUpdate update;
    std::vector<std::string> addresses;   // host:port, beside update.entries
};

// Turns Unix time into the program's monotonic one. Made once: the same start of a provider must give the
// same figure each time, or the module would take every list for a restart.
class UnixClock {
  public:
    UnixClock();
    double monotonic(double unix_ms) const;   // 0 stays 0: long ago

  private:
    double offset_s_;
};

// False when it is no list at all. An entry that can't be read is left out and counted in `broken`; a
// complete list with such a hole is given as changes, so that it takes no provider away.
bool read_listing(const rapidjson::Value& json, const UnixClock& clock, Listing& listing, int& broken);

}   // namespace slatejunction::directory
