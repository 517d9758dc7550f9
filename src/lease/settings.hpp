// The operator's [lease], [drains] and [announce] sections.
#pragma once

#include <string>
#include <vector>

#include "ini/ini.hpp"
#include "lease/lease_node.hpp"

namespace slatejunction::lease {

struct Options {
    std::string acceptors, previous_acceptors;   // names of [peers], by commas
    std::int64_t epoch = 1;
    LeaseTimes times;
    int token_persistence = 0;   // Numbers
    std::int64_t drains = 0;     // ingresses of a site that may be drained at once; 0: any number
    std::string announce_url;    // where the conductor says that it is it; empty: nowhere
    double announce_every_s = 5;
    bool operator==(const Options&) const = default;

    enum TokenPersistence { clock, kept };
    bool on() const { return !acceptors.empty(); }
    ini::Section section();
    ini::Section announce();
};

LeaseNodeSettings settings_of(const Options& options, const std::string& name);
// What is promised, for check-config.
std::vector<std::string> stated(const Options& options);

}   // namespace slatejunction::lease
