#include "admin/server.hpp"

#include <array>
#include <utility>
#include <vector>

#include "net/idle_eviction.hpp"

namespace slatejunction::admin {
namespace {

// Limit of the bytes that are buffered for the requests of all sessions together.
constexpr std::size_t kMaxBufferedBytes = std::size_t{512} * 1024;
// Limit of the input that one session reads and drops after its reply.
constexpr std::size_t kMaxDroppedBytes = std::size_t{1024} * 1024;
// The timeouts are long, as a stalled session does not delay the others.
constexpr double kCallTimeoutS = 10.0;   // from the connection until the reply is written
constexpr double kLingerS = 2.0;         // from the reply until the peer closes its side
// A session younger than that ranks as one that has sent a part of its call.
constexpr double kNewSessionGraceS = 0.02;
constexpr int kPriority = G_PRIORITY_HIGH;

const char* reason_phrase(int status) {
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

struct Server::ConnectedSession : Session {
    ConnectedSession(AdminCallHandler& handler, Server& server) : Session(handler, &server, server.bytes_) {
        attach(stream);
    }
    net::Stream stream{*this, kPriority};
};

Server::Server(AdminCallHandler& handler, net::Timers& timers, std::size_t max_sessions)
    : handler_(handler),
      max_sessions_(max_sessions),
      bytes_(kMaxBufferedBytes),
      listener_(
          timers, [this] { return ensure_capacity(); },
          [this](net::Ref<GSocket> socket) { add_session(std::move(socket)); },
          [this](const char* error) { handler_.on_admin_accept_error(error); }, kPriority) {}

Server::~Server() = default;

// Evicts the session that has been stalled longest. Sessions without a byte go before those that have sent
// a part of their call.
bool Server::ensure_capacity() {
    if (sessions_.size() < max_sessions_) return true;
    Session* evicted = net::find_eviction_candidate(sessions_, net::now());
    if (evicted) evicted->end();
    return evicted != nullptr;
}

void Server::add_session(net::Ref<GSocket> socket) {
    const auto owner = std::make_shared<ConnectedSession>(handler_, *this);
    sessions_.emplace(owner.get(), owner);
    owner->stream.adopt(std::move(socket));
}

void Server::forget(Session& session) {
    sessions_.erase(&session);
    listener_.retry_accepting();
}

void Server::close_expired(double now) {
    std::vector<std::shared_ptr<ConnectedSession>> selected;
    for (const auto& [session, owner] : sessions_)
        if (session->expired(now) && !owner->stream.readable()) selected.push_back(owner);
    for (const auto& owner : selected) owner->end();
    listener_.retry_accepting();
}

std::span<char> Session::receive_buffer() {
    return state_ == State::reading ? parser_.receive_space(buffer_) : std::span<char>();
}

void Session::on_bytes(std::size_t size) {
    buffer_.commit(size);
    switch (parser_.feed(buffer_)) {
        case http::ParseResult::need_more:
            return;
        case http::ParseResult::done:
            return handle_call();
        case http::ParseResult::malformed:
            return send_reply({400, "malformed or ambiguous request"});
        case http::ParseResult::over_budget:
            return send_reply({503, "the admin connections together send too much"});
        case http::ParseResult::head_too_large:
            return send_reply({431, "request head too large"});
        case http::ParseResult::body_too_large:
        case http::ParseResult::rest_follows:   // not reached: the parser does not stream
            return send_reply({413, "request body too large"});
    }
}

void Session::handle_call() {
    call_ = read_call(parser_.head().method, parser_.head().target);
    state_ = State::awaiting_reply;
    if (call_.kind == AdminCall::Kind::propose) call_.body = parser_.body();
    if (call_.error_status == 404) return send_reply({404, "no such path"});
    if (call_.error_status == 405) return send_reply({405, "method not allowed"});
    if (call_.error_status != 0)
        return send_reply({call_.error_status, "the id in the path is malformed or too long"});
    handler_.on_call(call_, [self = std::static_pointer_cast<Session>(shared_from_this())](
                                const AdminReply& reply) { self->send_reply(reply); });
}

void Session::send_reply(const AdminReply& reply) {
    if (state_ == State::closing || state_ == State::ended) return;
    state_ = State::closing;
    state_since_ = net::now();
    const std::string status = std::to_string(reply.status);
    const std::string length = std::to_string(reply.text.size() + 1);
    const bool has_allow = !call_.allow.empty();
    const std::array<std::string_view, 12> parts{
        "HTTP/1.1 ",
        status,
        " ",
        reason_phrase(reply.status),
        "\r\nContent-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\nContent-Length: ",
        length,
        has_allow ? "\r\nAllow: " : "",
        call_.allow,
        "\r\nConnection: close\r\n\r\n",
        call_.omit_body ? std::string_view() : reply.text,
        call_.omit_body ? "" : "\n",
        ""};
    if (!transport_->send(parts)) return end();
    // Closing with unread bytes would reset the connection, and the peer might lose the reply.
    transport_->discard_input(kMaxDroppedBytes);
    if (!transport_->unsent()) transport_->shutdown_send();
}

void Session::on_sent() {
    if (state_ == State::closing) transport_->shutdown_send();
}

void Session::on_end(bool) { end(); }

void Session::end() {
    if (std::exchange(state_, State::ended) == State::ended) return;
    const auto self = shared_from_this();
    transport_->close();
    if (server_) server_->forget(*this);
}

bool Session::expired(double now) const {
    return now - state_since_ > (state_ == State::closing ? kLingerS : kCallTimeoutS);
}

int Session::eviction_rank(double now) const {
    if (state_ == State::closing) return transport_->unsent() ? 3 : 0;
    if (state_ != State::reading) return -1;
    if (now - state_since_ < kNewSessionGraceS) return 2;
    return buffer_.view().empty() ? 1 : 2;
}

}   // namespace slatejunction::admin
