// Which connection of a full house goes first.
#pragma once

namespace slatejunction::net {

// Of a map from sessions to what holds them with their `stream`: the one of lowest eviction_rank(), and of
// those the oldest; null when none may go. A close must not cross a request that lies there already; what a
// connection of rank 0 sends is dropped.
template <class Sessions>
auto evict_idle(const Sessions& sessions, double now) -> typename Sessions::key_type {
    typename Sessions::key_type best = nullptr;
    int rank = 0;
    for (const auto& [session, linked] : sessions) {
        const int one = session->eviction_rank(now);
        if (one < 0 || (best && (one > rank || (one == rank && session->since() >= best->since()))))
            continue;
        if (one > 0 && linked->stream.readable()) continue;
        best = session, rank = one;
    }
    return best;
}

}   // namespace slatejunction::net
