// Owners of GLib's handles, and the monotonic clock (s) that all times of this program are on.
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

/// Destroys the source with its owner: no callback outlives the object that it points to.
struct EndSource {
    void operator()(GSource* source) const {
        g_source_destroy(source);
        g_source_unref(source);
    }
};
using Source = std::unique_ptr<GSource, EndSource>;

/// Attaches to the default loop. "Can recurse" saves GLib two writes to its wake-up descriptor for each
/// callback; the loop never runs inside itself here.
inline void attach(GSource* source) {
    g_source_set_can_recurse(source, TRUE);
    g_source_attach(source, nullptr);
}

struct EndLoop {
    void operator()(GMainLoop* loop) const { g_main_loop_unref(loop); }
};
using Loop = std::unique_ptr<GMainLoop, EndLoop>;

using Address = Ref<GSocketAddress>;

inline double now() {   // s, monotonic
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

}   // namespace slatejunction::net
