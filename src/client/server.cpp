#include "client/server.hpp"

#include <algorithm>
#include <vector>

#include "net/idle_eviction.hpp"

namespace slatejunction::client {
namespace {

// s; a session whose time is up but which has bytes waiting: this program may have stood still
constexpr double kStoodStill = 0.4;
constexpr std::size_t kMany = 4;   // of the room for sessions, the part from which there are many

}   // namespace

struct Server::Linked : Session {
    explicit Linked(SessionController& host) : Session(host) { attach(stream); }
    net::Stream stream{*this};
};

Server::Server(SessionController& host, net::Timers& timers, std::size_t most)
    : host_(host),
      most_(most),
      listener_(
          timers, [this] { return room(); }, [this](net::Ref<GSocket> socket) { take(std::move(socket)); },
          [this](const char* why) {
              host_.on_accept_error(why);
              spare_one();
          }) {}

// A request counts as taken once it lies in a connection that the machine has accepted, so a full house
// gives up a connection rather than leave others waiting in the backlog. Guards against consumers that
// connect by hundreds and say nothing: those go first, before one that was of use.
bool Server::room() { return sessions_.size() < most_ || spare_one(); }

bool Server::spare_one() {
    Session* best = net::evict_idle(sessions_, net::now());
    if (!best) return false;
    best->end();
    return true;
}

void Server::take(net::Ref<GSocket> socket) {
    const auto linked = std::make_shared<Linked>(host_);
    sessions_.emplace(linked.get(), linked);
    linked->stream.adopt(std::move(socket));
}

void Server::forget(Session& session) {
    sessions_.erase(&session);
    listener_.poke();
}

void Server::close_expired(double now) {
    std::vector<std::shared_ptr<Linked>> all;
    const bool many = sessions_.size() > most_ / kMany;
    for (const auto& [session, linked] : sessions_) {
        const double over = now - session->expires_at(many);
        if (over >= 0 && (over > kStoodStill || !linked->stream.readable())) all.push_back(linked);
    }
    for (const auto& linked : all) linked->expire();
    while (sessions_.size() > most_ && spare_one()) {
    }
    listener_.poke();   // with time, others than before can be spared
}

void Server::close_idle(double now, double idle_s) {
    std::vector<std::shared_ptr<Linked>> all;
    for (const auto& [session, linked] : sessions_)
        if ((session->idle() || session->closing()) && now - session->since() > idle_s &&
            !linked->stream.readable())
            all.push_back(linked);
    for (const auto& linked : all) linked->end();
}

void Server::reject_partial_requests(double retry_after_s) {
    std::vector<std::shared_ptr<Linked>> all;
    for (const auto& [session, linked] : sessions_)
        if (session->has_partial_request()) all.push_back(linked);
    for (const auto& linked : all) linked->reject_partial_request(retry_after_s);
}

void Server::close_all() {
    std::vector<std::shared_ptr<Linked>> all;
    for (const auto& [session, linked] : sessions_) all.push_back(linked);
    for (const auto& linked : all) linked->end();
}

// Silent sessions on which bytes wait are known in a moment: they tell nothing now.
Server::SessionCounts Server::session_counts() const {
    SessionCounts census;
    for (const auto& [session, linked] : sessions_) {
        if (session->checked_only()) continue;
        if (!session->silent())
            ++census.in_use;
        else if (!linked->stream.readable())
            census.last_unused_at = std::max(census.last_unused_at, session->since());
    }
    return census;
}

}   // namespace slatejunction::client
