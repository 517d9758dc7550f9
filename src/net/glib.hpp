// Owning pointers for GLib's handles, and the monotonic clock that all times of this program are read from.
#pragma once

#include <gio/gio.h>

#include <chrono>
#include <memory>

namespace slatejunction::net {

struct Unref {
    void operator()(void* object) const { g_object_unref(object); }
};
template <class T>
using Ref = std::unique_ptr<T, Unref>;

struct FreeError {
    void operator()(GError* error) const { g_error_free(error); }
};
using Error = std::unique_ptr<GError, FreeError>;

/// Destroys the source together with its owner, so that no callback runs after the object that it points to
/// is gone.
struct DestroySource {
    void operator()(GSource* source) const {
        g_source_destroy(source);
        g_source_unref(source);
    }
};
using Source = std::unique_ptr<GSource, DestroySource>;

/// Attaches the source to the default main context. Setting "can recurse" saves GLib two writes to its
/// wake-up descriptor for each callback; it is safe, as the loop never runs recursively in this program.
inline void attach(GSource* source) {
    g_source_set_can_recurse(source, TRUE);
    g_source_attach(source, nullptr);
}

struct UnrefLoop {
    void operator()(GMainLoop* loop) const { g_main_loop_unref(loop); }
};
using Loop = std::unique_ptr<GMainLoop, UnrefLoop>;

using Address = Ref<GSocketAddress>;

/// The monotonic time in s.
inline double now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

}   // namespace slatejunction::net
