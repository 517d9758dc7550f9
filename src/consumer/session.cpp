#include "consumer/session.hpp"

#include <array>
#include <cstdio>
#include <utility>

namespace slatejunction::consumer {
namespace {

constexpr std::size_t kAheadMost = 4096;   // bytes read ahead of an answer: then the consumer has to wait

std::string_view start_line(int status) {
    switch (status) {
        case 200:
            return "HTTP/1.1 200 OK\r\n";
        case 400:
            return "HTTP/1.1 400 Bad Request\r\n";
        case 404:
            return "HTTP/1.1 404 Not Found\r\n";
        case 413:
            return "HTTP/1.1 413 Content Too Large\r\n";
        case 431:
            return "HTTP/1.1 431 Request Header Fields Too Large\r\n";
        case 502:
            return "HTTP/1.1 502 Bad Gateway\r\n";
        case 503:
            return "HTTP/1.1 503 Service Unavailable\r\n";
        default:
            return "HTTP/1.1 504 Gateway Timeout\r\n";
    }
}

}   // namespace

// While an answer is owed, a little is read ahead, which shows whether the consumer is still there.
std::span<char> Session::space() {
    if (!busy_ && !closing_) return parser_.room(buffer_);
    if (!closing_ && buffer_.view().size() >= kAheadMost) return {};
    return buffer_.space(512);
}

void Session::on_bytes(std::size_t size) {
    // A request that begins after a long idle time has not been stuck for that time.
    if (!busy_ && !closing_ && buffer_.view().empty()) since_ = net::now();
    buffer_.commit(size);
    if (closing_) buffer_.clear();
    if (!busy_ && !closing_) read_next();
}

void Session::read_next() {
    if (reading_) return;   // answered at once: the loop below goes on
    reading_ = true;
    while (!busy_ && !closing_ && !buffer_.view().empty()) {
        const http::Step step = parser_.feed(buffer_);
        if (step == http::Step::more) break;
        if (step == http::Step::done)
            take();
        else if (step == http::Step::bad)
            reject(400, "malformed or ambiguous message");
        else
            reject(step == http::Step::head_too_large ? 431 : 413, "message over the limits");
    }
    reading_ = false;
}

void Session::take() {
    const double now = net::now();
    const http::Head& head = parser_.head();
    keep_alive_ = head.keep_alive && !host_.stopping();
    busy_ = true;
    since_ = now;
    const std::string_view path = head.second.substr(0, head.second.find('?'));
    const bool health = path == "/health/ready";
    const bool known = health || host_.knows_class(first_part(head.second));
    auto invocation = std::make_shared<Invocation>();
    const std::string_view fault = health || !known ? "" : read_invocation(head, now, *invocation);
    invocation->body = parser_.body();
    const std::size_t used = parser_.used();
    parser_.reset();
    if (!fault.empty()) return reject(400, fault);
    // The invocation keeps the bytes that its views point into; what lies behind it moves on.
    const std::string_view rest = buffer_.view().substr(used);
    http::Buffer next;
    if (!rest.empty()) {
        const std::span<char> room = next.space(rest.size());
        rest.copy(room.data(), rest.size());
        next.commit(rest.size());
    }
    invocation->bytes = std::move(buffer_);
    buffer_ = std::move(next);
    if (health) return answer({host_.ready() ? 200 : 503, 0, {}, {}});
    if (!known) {
        host_.on_bad_request(404, "path");
        return answer({404, 0, {}, {}});
    }
    const std::uint64_t number =
        host_.on_invocation(std::static_pointer_cast<Session>(shared_from_this()), std::move(invocation));
    if (busy_) number_ = number;
}

// Where one message ends is not known after a bad one, so the connection ends with it.
void Session::reject(int status, std::string_view why) {
    host_.on_bad_request(status, why);
    keep_alive_ = false;
    answer({status, 0, {}, {}});
}

void Session::answer(const Answer& answer) {
    if (host_.stopping()) keep_alive_ = false;
    std::array<char, 96> fields;
    int size = std::snprintf(fields.data(), fields.size(), "Content-Length: %zu\r\n", answer.body.size());
    if (answer.retry_after_s > 0)
        size += std::snprintf(fields.data() + size, fields.size() - static_cast<std::size_t>(size),
                              "Retry-After: %.3f\r\n", answer.retry_after_s);
    const bool typed = !answer.content_type.empty();
    const std::array<std::string_view, 8> parts{
        start_line(answer.status),
        std::string_view(fields.data(), static_cast<std::size_t>(size)),
        typed ? "Content-Type: " : "",
        answer.content_type,
        typed ? "\r\n" : "",
        keep_alive_ ? "" : "Connection: close\r\n",
        "\r\n",
        answer.body};
    busy_ = false;
    number_ = 0;
    closing_ = !keep_alive_;
    since_ = net::now();
    if (!transport_->send(parts)) return end();
    transport_->resume();
    if (!transport_->unsent()) finish_answer();
}

void Session::on_sent() { finish_answer(); }

void Session::finish_answer() {
    since_ = net::now();
    // Closing on bytes not read would reset the connection and could take the answer with it: the peer is
    // left to end it, and what it sends meanwhile is dropped.
    if (closing_) return transport_->finish();
    read_next();
}

void Session::end_if_stuck(double now, double limit) {
    if (!busy_ && !idle() && now - since_ > limit) end();
}

void Session::on_end(bool) { end(); }

// A consumer that ends its side has gone away, as the protocol says, even if it could still be written to.
void Session::end() {
    if (ended_) return;
    ended_ = true;
    const auto keep = shared_from_this();
    transport_->close();
    closing_ = true;
    if (const bool owed = std::exchange(busy_, false); owed && number_ != 0) host_.on_left(number_);
    host_.on_closed(*this);
}

}   // namespace slatejunction::consumer
