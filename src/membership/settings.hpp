// Options of the [peers] section of the options file, the key file, and their summary in check-config. The
// names of the section's keys are mapped to the terms of the code here and nowhere else.
#pragma once

#include <string>
#include <vector>

#include "ini/ini.hpp"
#include "membership/datagram_auth.hpp"
#include "membership/swim.hpp"

namespace slatejunction::membership {

struct Options {
    std::string listen;   ///< ADDRESS:PORT (UDP); empty: off
    std::string site;     ///< empty: the zone of the platform
    std::string seeds;    ///< ADDRESS:PORT, separated by commas
    /// Lines of NAME=ADDRESS:PORT, of members that are known in advance.
    std::string static_members;
    /// Lines of NAME=ADDRESS:PORT, where this ingress reaches members that it cannot reach at their own
    /// address.
    std::string address_overrides;
    std::string key_file;
    double interval_s = 1;   ///< protocol period
    bool operator==(const Options&) const = default;

    bool on() const { return !listen.empty(); }
    ini::Section section();
};

/// Returns the settings of a member. Requires options that passed the checks of the section. `zone` is the
/// site if the options name none.
Settings settings_of(const Options& options, const std::string& name, const std::string& zone,
                     const std::string& version);
/// Reads key_file into `keys`. Returns an empty text, or the error as "key_file: reason".
std::string load_keys(const Options& options, std::vector<AuthKey>& keys);
/// Describes the bounds that follow from the options, for check-config, in one line each.
std::vector<std::string> describe_bounds(const Options& options);

}   // namespace slatejunction::membership
