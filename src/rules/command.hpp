// The command `slatejunction expr`: checks, evaluates, explains or benchmarks one expression. Called by
// main() only.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace slatejunction::rules {

/// The command line.
struct ExprCommand {
    std::string subcommand;               // check, eval, explain, bench
    std::string text, file;               // the expression, or the path of the file that holds it
    std::string request;                  // path of the JSON file with the request; empty: none
    std::vector<std::string> variables;   // each NAME=TYPE=JSON
    std::uint64_t max_cost = 0;           // in cost units; 0: no limit
    std::size_t head_bytes = 0;           // maximum size of a request's head; 0: that of the ingress
    bool json = false;                    // print results as JSON
};

/// Prints the result to standard output. Returns the exit status: 0 for success, 2 for invalid input (with
/// an error message on standard error), 3 if the expression evaluates to an error value, 1 if the output of
/// `explain` cannot be written.
int run(const ExprCommand& command);

}   // namespace slatejunction::rules
