// Where the main loop calls into the program. The loop is C: an exception that leaves a callback would
// unwind through its frames, which are not made for it, and leave half done whatever it was in the middle
// of.
#pragma once

#include <exception>
#include <utility>

namespace slatejunction::net {

// The exit status after an exception in a callback (EX_SOFTWARE of sysexits.h). A bad configuration ends
// the program with another one.
inline constexpr int kFaultStatus = 70;

// Tells what happened in one line on standard error, waiting for its reader kLastLineMs at most, and ends
// the process with kFaultStatus. No destructor runs: what they would look at may be half changed.
[[noreturn]] void end_by_fault(const char* what) noexcept;

// Calls `call` for a callback of the loop and returns what it returns. An exception ends the process: it is
// a fault of this program (those that are expected are handled where they come), and to serve on with a
// list half changed could send a request twice. Whoever watches the process starts another one.
template <class Call>
auto guarded(Call&& call) noexcept -> decltype(call()) {
    try {
        return std::forward<Call>(call)();
    } catch (const std::exception& fault) {
        end_by_fault(fault.what());
    } catch (...) {
        end_by_fault("an exception of no known type");
    }
}

}   // namespace slatejunction::net
