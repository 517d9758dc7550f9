// Selects the session that a server evicts when it is at its limit of sessions. Has no side effects. Called
// by client::Server and admin::Server.
#pragma once

namespace slatejunction::net {

/// Returns the session with the lowest non-negative eviction_rank(), the one with the earliest since()
/// among equals, or null if there is none. `sessions` maps sessions to owners with a `stream`. Sessions
/// with unread bytes are skipped, except those of rank 0, whose input is discarded anyway.
template <class Sessions>
auto find_eviction_candidate(const Sessions& sessions, double now) -> typename Sessions::key_type {
    typename Sessions::key_type candidate = nullptr;
    int candidate_rank = 0;
    for (const auto& [session, owner] : sessions) {
        const int session_rank = session->eviction_rank(now);
        if (session_rank < 0 ||
            (candidate && (session_rank > candidate_rank ||
                           (session_rank == candidate_rank && session->since() >= candidate->since()))))
            continue;
        if (session_rank > 0 && owner->stream.readable()) continue;
        candidate = session;
        candidate_rank = session_rank;
    }
    return candidate;
}

}   // namespace slatejunction::net
