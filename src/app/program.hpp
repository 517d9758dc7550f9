// The composition root: creates the components that the two files name, connects them, and starts, reloads
// and stops them in order.
#pragma once

#include <string>

namespace slatejunction::app {

inline constexpr int kBadUse = 2;   // exit status: bad command line, configuration or environment

struct Files {
    std::string config, options;   // paths; options: the operator's own file, empty: none
};

int fail(const std::string& why);   // prints it on standard error; returns kBadUse
int serve(const Files& files);      // until SIGTERM; returns the exit status
int check(const Files& files);      // prints all faults, or the bounds; returns the exit status

}   // namespace slatejunction::app
