// The command line that both programs of bench/scale share.
#pragma once

#include <map>
#include <string>

#include "duties.hpp"

namespace slatejunction::scale {

using Duties = std::map<std::string, void (*)(const Run&)>;

// PROGRAM DUTY DIRECTORY [--quick] [--most SIZE] [--wall SECONDS]. Returns the exit status.
int command(const Duties& duties, int argc, char** argv);

}   // namespace slatejunction::scale
