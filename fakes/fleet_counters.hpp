// Finished requests as the ingress's own log has them, and as the receiver's last samples do.
#pragma once

#include <map>
#include <string>

#include "recording.hpp"

namespace fakes {

// By "CLASS PLAN OUTCOME", and refusals by "CLASS PLAN (REASON)" too. What stands at 0 is left out.
using Sums = std::map<std::string, double>;

Sums logged(const std::string& path);   // a log with [log] format = json and requests = all
// Of a series that has ended, the figure before its end.
Sums counted(const Recording& recording);

}   // namespace fakes
