// The operator's [peers] section.
#pragma once

#include <string>
#include <vector>

#include "ini/ini.hpp"
#include "membership/datagram_auth.hpp"
#include "membership/swim.hpp"

namespace slatejunction::membership {

struct Options {
    std::string listen;    // ADDRESS:PORT, UDP; empty: off
    std::string site;      // empty: the platform's zone
    std::string seeds;     // by commas
    std::string members;   // NAME=ADDRESS:PORT, one a line
    std::string via;       // the same
    std::string key_file;
    double interval_s = 1;
    bool operator==(const Options&) const = default;

    bool on() const { return !listen.empty(); }
    ini::Section section();
};

// What the room is to know. Without a fault: the section has been checked.
Settings settings_of(const Options& options, const std::string& name, const std::string& zone,
                     const std::string& version);
// The keys of key_file; "key_file: why" when there are none to be had.
std::string load_keys(const Options& options, std::vector<AuthKey>& keys);
// What is promised, for check-config.
std::vector<std::string> stated(const Options& options);

}   // namespace slatejunction::membership
