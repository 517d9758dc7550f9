// Judges the records of a world by the clauses of the protocol page, the standing test and the terms, in
// their strictest fair reading.
#pragma once

#include <string>
#include <vector>

#include "world.hpp"

namespace terms {

// Whatever was broken, a line each; empty: all clauses that the records speak of hold.
std::vector<std::string> broken_clauses(const World& world);

// The same in one text, for messages.
std::string told(const std::vector<std::string>& faults);

}   // namespace terms
