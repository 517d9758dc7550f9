// The [lease] and [announce] sections of the operator's configuration file, and the summary of them that
// check-config prints. The INI keys differ from the names in the code (`voters` are acceptors, `step` is an
// epoch, `numbers` is the persistence of fencing tokens); only settings.cpp maps them.
#pragma once

#include <string>
#include <vector>

#include "ini/ini.hpp"
#include "lease/lease_node.hpp"

namespace slatejunction::lease {

struct Options {
    std::string acceptors, previous_acceptors;   ///< names of [peers] members, separated by commas
    std::int64_t epoch = 1;                      ///< of the acceptor set
    LeaseTimes times;
    int token_persistence = 0;       ///< a value of TokenPersistence
    std::int64_t max_draining = 0;   ///< ingresses of a site that may drain at once; 0: no limit
    std::string announce_url;        ///< where the leader announces itself; empty: disabled
    double announce_every_s = 5;
    bool operator==(const Options&) const = default;

    /// What fencing tokens continue from after all acceptors were restarted.
    enum TokenPersistence { wall_clock, state_directory };
    bool on() const { return !acceptors.empty(); }
    ini::Section section();
    ini::Section announce_section();
};

LeaseNodeSettings settings_of(const Options& options, const std::string& name);
/// Returns the durations that follow from the options, one line each, for check-config and the log.
std::vector<std::string> describe_bounds(const Options& options);

}   // namespace slatejunction::lease
