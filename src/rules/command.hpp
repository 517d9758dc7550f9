// The command `slatejunction expr`: checks, evaluates, explains and times one expression. Called by main()
// alone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace slatejunction::rules {

/// The command line.
struct ExprCommand {
    std::string subcommand;               // check, eval, explain, bench
    std::string text, file;               // the expression, or the file that holds it
    std::string request;                  // a JSON file, or empty
    std::vector<std::string> variables;   // NAME=TYPE=JSON
    std::uint64_t max_cost = 0;           // 0: no limit
    std::size_t head_bytes = 0;           // of the request's head; 0: the program's bound
    bool json = false;
};

/// Prints the result and returns the exit status: 0; 2 for input that cannot be used, with a line on
/// standard error; 3 if the expression evaluates to an error value.
int run(const ExprCommand& command);

}   // namespace slatejunction::rules
