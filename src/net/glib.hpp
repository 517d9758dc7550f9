// Owners for GLib's handles, and the one clock.
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

// A source ends with its owner: no callback can outlive the object that it names.
struct EndSource {
    void operator()(GSource* source) const {
        g_source_destroy(source);
        g_source_unref(source);
    }
};
using Source = std::unique_ptr<GSource, EndSource>;

// To the one loop. GLib takes the descriptors of a source that may not recurse out of its poll during each
// callback, and writes to its own wake-up descriptor twice for that; the loop here never runs inside
// itself.
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
