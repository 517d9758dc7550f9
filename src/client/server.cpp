#include "client/server.hpp"

#include <algorithm>
#include <vector>

#include "net/idle_eviction.hpp"

namespace slatejunction::client {
namespace {

// A session past its time limit with unread bytes is left alone for so long: this process may have been
// paused.
constexpr double kMaxProcessPauseS = 0.4;
constexpr std::size_t kManySessionsPart = 4;   // many: more than 1/4 of the limit

}   // namespace

struct Server::ConnectedSession : Session {
    explicit ConnectedSession(SessionController& host) : Session(host) { attach(stream); }
    net::Stream stream{*this};
};

Server::Server(SessionController& host, net::Timers& timers, std::size_t max_sessions)
    : controller_(host),
      max_sessions_(max_sessions),
      listener_(
          timers, [this] { return ensure_capacity(); },
          [this](net::Ref<GSocket> socket) { add_session(std::move(socket)); },
          [this](const char* why) {
              controller_.on_accept_error(why);
              evict_one();
          }) {}

// At the limit a session is evicted rather than leave connections in the backlog, where a request may wait
// already. Silent sessions are evicted first.
bool Server::ensure_capacity() { return sessions_.size() < max_sessions_ || evict_one(); }

bool Server::evict_one() {
    Session* evicted = net::find_eviction_candidate(sessions_, net::now());
    if (!evicted) return false;
    evicted->end();
    return true;
}

void Server::add_session(net::Ref<GSocket> socket) {
    const auto owner = std::make_shared<ConnectedSession>(controller_);
    sessions_.emplace(owner.get(), owner);
    owner->stream.adopt(std::move(socket));
}

void Server::forget(Session& session) {
    sessions_.erase(&session);
    listener_.retry_accepting();
}

void Server::close_expired(double now) {
    std::vector<std::shared_ptr<ConnectedSession>> selected;
    const bool many = sessions_.size() > max_sessions_ / kManySessionsPart;
    for (const auto& [session, owner] : sessions_) {
        const double overdue_s = now - session->expires_at(many);
        if (overdue_s >= 0 && (overdue_s > kMaxProcessPauseS || !owner->stream.readable()))
            selected.push_back(owner);
    }
    for (const auto& owner : selected) owner->expire();
    while (sessions_.size() > max_sessions_ && evict_one()) {
    }
    listener_.retry_accepting();   // eviction_rank() changes with time
}

void Server::close_idle(double now, double idle_s) {
    std::vector<std::shared_ptr<ConnectedSession>> selected;
    for (const auto& [session, owner] : sessions_)
        if ((session->idle() || session->closing()) && now - session->since() > idle_s &&
            !owner->stream.readable())
            selected.push_back(owner);
    for (const auto& owner : selected) owner->end();
}

void Server::reject_partial_requests(double retry_after_s) {
    std::vector<std::shared_ptr<ConnectedSession>> selected;
    for (const auto& [session, owner] : sessions_)
        if (session->has_partial_request()) selected.push_back(owner);
    for (const auto& owner : selected) owner->reject_partial_request(retry_after_s);
}

void Server::close_all() {
    std::vector<std::shared_ptr<ConnectedSession>> selected;
    for (const auto& [session, owner] : sessions_) selected.push_back(owner);
    for (const auto& owner : selected) owner->end();
}

// Silent sessions with unread bytes are left out: what they carry is not known yet.
Server::SessionCounts Server::session_counts() const {
    SessionCounts counts;
    for (const auto& [session, owner] : sessions_) {
        if (session->checked_only()) continue;
        if (!session->silent())
            ++counts.in_use;
        else if (!owner->stream.readable())
            counts.last_unused_at = std::max(counts.last_unused_at, session->since());
    }
    return counts;
}

}   // namespace slatejunction::client
