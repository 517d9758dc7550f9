// Which session a server at its limit evicts. Pure. Called by client::Server and admin::Server.
#pragma once

namespace slatejunction::net {

/// Of a map from sessions to their owners, which have a `stream`: the session of the lowest eviction_rank()
/// that is not below 0, among equals the oldest; null: none. Sessions with unread bytes are not evicted,
/// except those of rank 0, whose bytes are dropped anyway.
template <class Sessions>
auto find_eviction_candidate(const Sessions& sessions, double now) -> typename Sessions::key_type {
    typename Sessions::key_type candidate = nullptr;
    int candidate_rank = 0;
    for (const auto& [session, connected] : sessions) {
        const int session_rank = session->eviction_rank(now);
        if (session_rank < 0 ||
            (candidate && (session_rank > candidate_rank ||
                           (session_rank == candidate_rank && session->since() >= candidate->since()))))
            continue;
        if (session_rank > 0 && connected->stream.readable()) continue;
        candidate = session;
        candidate_rank = session_rank;
    }
    return candidate;
}

}   // namespace slatejunction::net
