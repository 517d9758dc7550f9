// The boundary between the GLib loop and this program. The loop is C code, so no exception may propagate
// through its frames.
//
// Stateless functions. Every callback of a GLib source calls exit_on_exception().
#pragma once

#include <exception>
#include <utility>

namespace slatejunction::net {

/// The exit status after an unhandled exception in a callback (EX_SOFTWARE in sysexits.h).
inline constexpr int kExceptionExitStatus = 70;

/// Writes one line with `what` to standard error, waiting kLogWriteTimeoutMs at most, and ends the process
/// with kExceptionExitStatus. Runs no destructors, as objects may be in an inconsistent state.
[[noreturn]] void exit_after_exception(const char* what) noexcept;

/// Calls `call` and returns its result. An exception is a bug in this program and ends the process:
/// continuing with inconsistent state could send a request twice.
template <class Call>
auto exit_on_exception(Call&& call) noexcept -> decltype(call()) {
    try {
        return std::forward<Call>(call)();
    } catch (const std::exception& error) {
        exit_after_exception(error.what());
    } catch (...) {
        exit_after_exception("exception of unknown type");
    }
}

}   // namespace slatejunction::net
