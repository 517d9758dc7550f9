// `slatejunction fleet`: asks a running ingress, at its operators' address, for members and leases.
#pragma once

#include <string>

namespace slatejunction::app {

struct FleetCommand {
    std::string admin;     // ADDRESS:PORT
    std::string command;   // members, leases, quorum; empty: the first two
    bool json = false;
};

// The exit status: 0; 1 for "no quorum"; 2 when the ingress can't be asked.
int run(const FleetCommand& command);

}   // namespace slatejunction::app
