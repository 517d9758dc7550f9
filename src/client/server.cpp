#include "client/server.hpp"

#include <algorithm>
#include <vector>

#include "net/idle_eviction.hpp"

namespace slatejunction::client {
namespace {

// How long a session with unread bytes may exceed its time limit, as the process may have been paused.
constexpr double kMaxProcessPauseS = 0.4;
// There are many sessions if their number is over the limit divided by this.
constexpr std::size_t kManySessionsDivisor = 4;

}   // namespace

struct Server::ConnectedSession : Session {
    explicit ConnectedSession(SessionController& controller) : Session(controller) { attach(stream); }
    net::Stream stream{*this};
};

Server::Server(SessionController& controller, net::Timers& timers, std::size_t max_sessions)
    : controller_(controller),
      max_sessions_(max_sessions),
      listener_(
          timers, [this] { return ensure_capacity(); },
          [this](net::Ref<GSocket> socket) { add_session(std::move(socket)); },
          [this](const char* error) {
              controller_.on_accept_error(error);
              evict_one();
          }) {}

// At the limit, evicts a session rather than leaving connections in the backlog, where a request may
// already be waiting. Session::eviction_rank() gives the order.
bool Server::ensure_capacity() { return sessions_.size() < max_sessions_ || evict_one(); }

bool Server::evict_one() {
    Session* evicted = net::find_eviction_candidate(sessions_, net::now());
    if (!evicted) return false;
    evicted->end();
    return true;
}

void Server::add_session(net::Ref<GSocket> socket) {
    const auto connected = std::make_shared<ConnectedSession>(controller_);
    sessions_.emplace(connected.get(), connected);
    connected->stream.adopt(std::move(socket));
}

void Server::forget(Session& session) {
    sessions_.erase(&session);
    listener_.retry_accepting();
}

void Server::check_transfers(double now) {
    std::vector<std::shared_ptr<ConnectedSession>> selected;
    for (const auto& [session, connected] : sessions_)
        if (session->transferring()) selected.push_back(connected);
    for (const auto& connected : selected) connected->check_transfer(now);
}

void Server::close_expired(double now) {
    check_transfers(now);
    std::vector<std::shared_ptr<ConnectedSession>> selected;
    const bool many = sessions_.size() > max_sessions_ / kManySessionsDivisor;
    for (const auto& [session, connected] : sessions_) {
        const double overdue_s = now - session->expires_at(many);
        if (overdue_s >= 0 && (overdue_s > kMaxProcessPauseS || !connected->stream.readable()))
            selected.push_back(connected);
    }
    for (const auto& connected : selected) connected->expire();
    while (sessions_.size() > max_sessions_ && evict_one()) {
    }
    listener_.retry_accepting();   // eviction_rank() depends on the time
}

void Server::close_idle(double now, double idle_s) {
    std::vector<std::shared_ptr<ConnectedSession>> selected;
    for (const auto& [session, connected] : sessions_)
        if ((session->idle() || session->closing()) && now - session->since() > idle_s &&
            !connected->stream.readable())
            selected.push_back(connected);
    for (const auto& connected : selected) connected->end();
}

void Server::reject_partial_requests(double retry_after_s) {
    std::vector<std::shared_ptr<ConnectedSession>> selected;
    for (const auto& [session, connected] : sessions_)
        if (session->has_partial_request()) selected.push_back(connected);
    for (const auto& connected : selected) connected->reject_partial_request(retry_after_s);
}

void Server::close_all() {
    std::vector<std::shared_ptr<ConnectedSession>> selected;
    for (const auto& [session, connected] : sessions_) selected.push_back(connected);
    for (const auto& connected : selected) connected->end();
}

// Leaves out sessions that have read nothing but have unread bytes, as it is not known yet what they carry.
Server::SessionCounts Server::session_counts() const {
    SessionCounts counts;
    for (const auto& [session, connected] : sessions_) {
        if (session->has_only_health_checks()) continue;
        if (!session->has_received_nothing())
            ++counts.in_use;
        else if (!connected->stream.readable())
            counts.last_unused_at = std::max(counts.last_unused_at, session->since());
    }
    return counts;
}

}   // namespace slatejunction::client
