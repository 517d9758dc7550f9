// The operator's [lease], [drains] and [announce] sections.
#pragma once

#include <string>
#include <vector>

#include "ini/ini.hpp"
#include "lease/lease_node.hpp"

namespace slatejunction::lease {

struct Options {
    std::string voters, before;   // names of [peers], by commas
    std::int64_t step = 1;
    Times times;
    int numbers = 0;            // Numbers
    std::int64_t drains = 0;    // ingresses of a site that may be drained at once; 0: any number
    std::string announce_url;   // where the conductor says that it is it; empty: nowhere
    double announce_every_s = 5;
    bool operator==(const Options&) const = default;

    enum Numbers { clock, kept };
    bool on() const { return !voters.empty(); }
    ini::Section section();
    ini::Section announce();
};

RoomSettings settings_of(const Options& options, const std::string& name);
// What is promised, for check-config.
std::vector<std::string> stated(const Options& options);

}   // namespace slatejunction::lease
