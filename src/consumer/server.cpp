#include "consumer/server.hpp"

#include <vector>

namespace slatejunction::consumer {
namespace {
constexpr double kStuck = 10;   // s; a request half sent or an answer half read for longer ends
}

struct Server::Linked : Session {
    explicit Linked(SessionHost& host) : Session(host) { attach(stream); }
    net::Stream stream{*this};
};

Server::Server(SessionHost& host, net::Timers& timers, std::size_t most)
    : host_(host),
      most_(most),
      listener_(
          timers, [this] { return room(); }, [this](net::Ref<GSocket> socket) { take(std::move(socket)); },
          [this](const char* why) {
              host_.on_accept_failed(why);
              end_oldest_idle();
          }) {}

// A request counts as taken once it lies in a connection that the machine has accepted, so a full house
// gives up the connection that has been idle longest rather than leave others waiting in the backlog.
bool Server::room() { return sessions_.size() < most_ || end_oldest_idle(); }

bool Server::end_oldest_idle() {
    Session* oldest = nullptr;
    for (const auto& [session, linked] : sessions_)
        if (session->idle() && !linked->stream.readable() &&
            (!oldest || session->since() < oldest->since()))
            oldest = session;
    if (!oldest) return false;
    oldest->end();
    return true;
}

void Server::take(net::Ref<GSocket> socket) {
    last_taken_ = net::now();
    const auto linked = std::make_shared<Linked>(host_);
    sessions_.emplace(linked.get(), linked);
    linked->stream.adopt(std::move(socket));
}

void Server::forget(Session& session) {
    sessions_.erase(&session);
    listener_.poke();
}

void Server::sweep(double now) {
    std::vector<std::shared_ptr<Linked>> all;
    for (const auto& [session, linked] : sessions_)
        if (!session->busy() && now - session->since() > kStuck) all.push_back(linked);
    for (const auto& linked : all) linked->end_if_stuck(now, kStuck);
}

void Server::end_idle(double now, double idle_s) {
    std::vector<std::shared_ptr<Linked>> all;
    for (const auto& [session, linked] : sessions_)
        if (session->idle() && now - session->since() > idle_s && !linked->stream.readable())
            all.push_back(linked);
    for (const auto& linked : all) linked->end();
}

}   // namespace slatejunction::consumer
