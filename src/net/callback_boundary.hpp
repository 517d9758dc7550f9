// The boundary between the GLib loop and this program: the loop is C, and no exception may pass through its
// frames.
//
// Functions without state, called by every callback of a GLib source.
#pragma once

#include <exception>
#include <utility>

namespace slatejunction::net {

/// The exit status after an exception in a callback (EX_SOFTWARE of sysexits.h).
inline constexpr int kFaultStatus = 70;

/// Writes one line to standard error, waiting for kLastLineMs at most, and ends the process with
/// kFaultStatus. No destructor runs, as objects may be half changed.
[[noreturn]] void end_by_fault(const char* what) noexcept;

/// Returns what `call` returns. An exception ends the process: it is a fault of this program, and to serve
/// on with half changed state could send a request twice.
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
