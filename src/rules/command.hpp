// `slatejunction expr`: checks, runs, explains and times an expression, away from any request.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace slatejunction::rules {

struct ExprCommand {
    std::string what;                     // check, eval, explain, bench
    std::string text, file;               // the expression, or the file that holds it
    std::string request;                  // a JSON file, or empty
    std::vector<std::string> variables;   // NAME=TYPE=JSON
    std::uint64_t max_cost = 0;           // 0: no limit
    std::size_t head_bytes = 0;           // 0: what the program takes
    bool json = false;
};

// The exit status: 0; 2 for what can't be loaded, with a line on standard error; 3 when it ends in an error
// value.
int run(const ExprCommand& command);

}   // namespace slatejunction::rules
