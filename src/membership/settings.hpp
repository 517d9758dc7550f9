// The operator's [peers] section and the key file, and what check-config says of them. The INI keys
// are the operator's words; they are mapped to the code's terms here and nowhere else.
#pragma once

#include <string>
#include <vector>

#include "ini/ini.hpp"
#include "membership/datagram_auth.hpp"
#include "membership/swim.hpp"

namespace slatejunction::membership {

struct Options {
    std::string listen;              ///< ADDRESS:PORT, UDP; empty: off
    std::string site;                ///< empty: the platform's zone
    std::string seeds;               ///< ADDRESS:PORT, separated by commas
    std::string static_members;      ///< static members: NAME=ADDRESS:PORT, one a line
    std::string address_overrides;   ///< address overrides: the same
    std::string key_file;
    double interval_s = 1;   ///< the protocol period
    bool operator==(const Options&) const = default;

    bool on() const { return !listen.empty(); }
    ini::Section section();
};

/// Requires options that passed the section's checks. `zone`: the site where none is named.
Settings settings_of(const Options& options, const std::string& name, const std::string& zone,
                     const std::string& version);
/// Reads key_file. Returns what is wrong, "key_file: why"; empty: `keys` are set.
std::string load_keys(const Options& options, std::vector<AuthKey>& keys);
/// The bounds that follow from the options, a line each, for check-config.
std::vector<std::string> describe_bounds(const Options& options);

}   // namespace slatejunction::membership
