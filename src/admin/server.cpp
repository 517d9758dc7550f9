#include "admin/server.hpp"

#include <array>
#include <utility>
#include <vector>

#include "net/idle_eviction.hpp"

namespace slatejunction::admin {
namespace {

constexpr std::size_t kBytes = 512 * 1024;       // of all callers' requests together
constexpr std::size_t kDropMost = 1024 * 1024;   // bytes of a caller that was answered
// s; until a call is whole, and until an answered caller ends its side. A stalled caller keeps no other one
// from being answered, so there is no need to be strict.
constexpr double kWhole = 10.0, kLinger = 2.0;
constexpr double kSpareSoon = 0.02;   // s; one just made is about to ask
constexpr int kPriority = G_PRIORITY_HIGH;

const char* reason(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 202:
            return "Accepted";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 409:
            return "Conflict";
        case 413:
            return "Content Too Large";
        case 431:
            return "Request Header Fields Too Large";
        default:
            return "Service Unavailable";
    }
}

}   // namespace

struct Server::Linked : Session {
    Linked(AdminCallHandler& host, Server& server) : Session(host, &server, server.bytes_) {
        attach(stream);
    }
    net::Stream stream{*this, kPriority};
};

Server::Server(AdminCallHandler& host, net::Timers& timers, std::size_t most)
    : host_(host),
      most_(most),
      bytes_(kBytes),
      listener_(
          timers, [this] { return room(); }, [this](net::Ref<GSocket> socket) { take(std::move(socket)); },
          [this](const char* why) { host_.on_admin_error(why); }, kPriority) {}

Server::~Server() = default;

// Guards against callers that connect by hundreds and say nothing: the ones stalled longest go, those
// without a byte before those in the middle of a call.
bool Server::room() {
    if (sessions_.size() < most_) return true;
    Session* best = net::evict_idle(sessions_, net::now());
    if (best) best->end();
    return best != nullptr;
}

void Server::take(net::Ref<GSocket> socket) {
    const auto linked = std::make_shared<Linked>(host_, *this);
    sessions_.emplace(linked.get(), linked);
    linked->stream.adopt(std::move(socket));
}

void Server::forget(Session& session) {
    sessions_.erase(&session);
    listener_.poke();
}

void Server::close_expired(double now) {
    std::vector<std::shared_ptr<Linked>> all;
    for (const auto& [session, linked] : sessions_)
        if (session->over(now) && !linked->stream.readable()) all.push_back(linked);
    for (const auto& linked : all) linked->end();
    listener_.poke();
}

std::span<char> Session::receive_buffer() {
    return state_ == State::reading ? parser_.room(buffer_) : std::span<char>();
}

void Session::on_bytes(std::size_t size) {
    buffer_.commit(size);
    switch (parser_.feed(buffer_)) {
        case http::Step::more:
            return;
        case http::Step::done:
            return take();
        case http::Step::bad:
            return answer({400, "malformed or ambiguous call"});
        case http::Step::no_room:
            return answer({503, "all callers together send too much"});
        case http::Step::head_too_large:
            return answer({431, "the head is over the limits"});
        case http::Step::body_too_large:
        case http::Step::rest_follows:   // never: its parser does not stream
            return answer({413, "the body is over the limits"});
    }
}

void Session::take() {
    call_ = read_call(parser_.head().first, parser_.head().second);
    state_ = State::asking;
    if (call_.kind == AdminCall::Kind::propose) call_.body = parser_.body();
    if (call_.fault == 404) return answer({404, "no such path"});
    if (call_.fault == 405) return answer({405, "another method is wanted"});
    if (call_.fault != 0) return answer({call_.fault, "the id can't be read"});
    host_.on_call(call_, [self = std::static_pointer_cast<Session>(shared_from_this())](
                             const AdminReply& reply) { self->answer(reply); });
}

void Session::answer(const AdminReply& reply) {
    if (state_ == State::closing || state_ == State::ended) return;
    state_ = State::closing;
    since_ = net::now();
    const std::string status = std::to_string(reply.status);
    const std::string length = std::to_string(reply.text.size() + 1);
    const bool allows = !call_.allow.empty();
    const std::array<std::string_view, 12> parts{
        "HTTP/1.1 ",
        status,
        " ",
        reason(reply.status),
        "\r\nContent-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\nContent-Length: ",
        length,
        allows ? "\r\nAllow: " : "",
        call_.allow,
        "\r\nConnection: close\r\n\r\n",
        call_.head_alone ? std::string_view() : reply.text,
        call_.head_alone ? "" : "\n",
        ""};
    if (!transport_->send(parts)) return end();
    // Closing on bytes not read would reset the connection and could take the answer with it.
    transport_->drop(kDropMost);
    if (!transport_->unsent()) transport_->finish();
}

void Session::on_sent() {
    if (state_ == State::closing) transport_->finish();
}

void Session::on_end(bool) { end(); }

void Session::end() {
    if (std::exchange(state_, State::ended) == State::ended) return;
    const auto keep = shared_from_this();
    transport_->close();
    if (server_) server_->forget(*this);
}

bool Session::over(double now) const {
    return now - since_ > (state_ == State::closing ? kLinger : kWhole);
}

int Session::eviction_rank(double now) const {
    if (state_ == State::closing) return transport_->unsent() ? 3 : 0;
    if (state_ != State::reading) return -1;
    if (now - since_ < kSpareSoon) return 2;
    return buffer_.view().empty() ? 1 : 2;
}

}   // namespace slatejunction::admin
