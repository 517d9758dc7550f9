// `slatejunction rollout`: asks a running process, at its operators' address, how far the rollout is, and
// proposes changes to the one that is the source.
#pragma once

#include <string>

namespace slatejunction::app {

struct RolloutCommand {
    std::string admin;        // ADDRESS:PORT
    std::string command;      // status, propose, erase
    std::string key;          // the section's header: "limit NAME"
    std::string text, file;   // its lines, or the file that holds them; - : standard input
    bool json = false;        // of the status
};

// The exit status: 0; 1 for a change that was refused or is not committed; 2 when nobody can be asked.
int run(const RolloutCommand& command);

}   // namespace slatejunction::app
