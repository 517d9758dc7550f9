// The operator's [lease] and [announce] sections, and what check-config says of them. The INI keys are
// the operator's words; they are mapped to the code's terms here and nowhere else.
#pragma once

#include <string>
#include <vector>

#include "ini/ini.hpp"
#include "lease/lease_node.hpp"

namespace slatejunction::lease {

struct Options {
    std::string acceptors, previous_acceptors;   ///< names of [peers], separated by commas
    std::int64_t epoch = 1;                      ///< of the acceptor set
    LeaseTimes times;
    int token_persistence = 0;       ///< a TokenPersistence
    std::int64_t max_draining = 0;   ///< ingresses of a site that may drain at once; 0: any number
    std::string announce_url;        ///< where the leader announces itself; empty: nowhere
    double announce_every_s = 5;
    bool operator==(const Options&) const = default;

    /// Where fencing tokens continue after all acceptors were restarted.
    enum TokenPersistence { wall_clock, state_directory };
    bool on() const { return !acceptors.empty(); }
    ini::Section section();
    ini::Section announce_section();
};

LeaseNodeSettings settings_of(const Options& options, const std::string& name);
/// The bounds that follow from the options, a line each, for check-config.
std::vector<std::string> describe_bounds(const Options& options);

}   // namespace slatejunction::lease
