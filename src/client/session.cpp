#include "client/session.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <utility>

namespace slatejunction::client {
namespace {

constexpr std::size_t kAheadMost = 4096;   // bytes read ahead of an answer: then the consumer has to wait
constexpr std::size_t kDropMost = 64 << 20;   // bytes of a consumer that was told to go

// Every consumer has an error or a close within 3 s, so no state but that of an answer owed lasts as long.
constexpr double kSilent = 2.0;   // s; a new connection on which nothing comes
constexpr double kWhole = 2.5;    // s; from a request's first byte (or the connection's start) to its last
constexpr double kUnread = 2.5;   // s; an answer that is not read
constexpr double kLinger = 4.0;   // s; the peer's part of the end: it may have a large body on its way
// s; of a peer that goes on sending: cut off, it would not read what it was told
constexpr double kLingerMost = 30.0, kLingerPause = 1.0;
constexpr double kPause = 0.8;               // s; in a body that takes longer than that for its pace
constexpr double kStalled = 2.0;             // s; a large request of which nothing comes
constexpr double kStalledAnswer = 10.0;      // s; a large answer of which nothing is read
constexpr double kSlowest = 32e3;            // bytes/s; the pace at which a body may come
constexpr std::size_t kAtOnce = 32 * 1024;   // bytes of a large request read at once
constexpr double kIdle = 10.0;               // s; without a request, after the last answer
constexpr double kIdleMany = 2.2;            // s; the same among many: each costs every wake-up a look
// s; how long a full house leaves each of these alone: one just made may be about to ask. Whoever waits in
// the backlog behind idle clients has a request there that runs out of time meanwhile.
constexpr double kSpareLinger = 0.25, kSpareSilent = 0.02, kSpareHalf = 0.5;

constexpr double kRetryMost = 1e6;   // s; advice beyond it says the same, and its digits have a bound

std::string_view start_line(int status) {
    switch (status) {
        case 200:
            return "HTTP/1.1 200 OK\r\n";
        case 400:
            return "HTTP/1.1 400 Bad Request\r\n";
        case 404:
            return "HTTP/1.1 404 Not Found\r\n";
        case 408:
            return "HTTP/1.1 408 Request Timeout\r\n";
        case 409:
            return "HTTP/1.1 409 Conflict\r\n";
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
std::span<char> Session::receive_buffer() {
    if (uploading_) return held_ ? std::span<char>() : buffer_.space(kAtOnce);
    if (unread()) return {};
    if (!busy_) return parser_.room(buffer_);
    if (host_.stopping()) return {};   // nothing more is taken on here than has been read
    if (buffer_.view().size() >= kAheadMost) return {};
    return buffer_.space(512);
}

void Session::on_bytes(std::size_t size) {
    // A request that begins after a long idle time has not been stuck for that time. On a new connection
    // the time runs from its start.
    if (asked_ && !busy_ && buffer_.view().empty()) since_ = net::now();
    buffer_.commit(size);
    arrivals_.add(size, net::now() - transport_->stalled_s());
    if (uploading_) {
        moved_ = net::now();
        return pass_on();
    }
    if (parser_.has_head()) moved_ = net::now();   // a body in pieces
    if (!busy_ && !closing_) read_next();
}

// Guards against memory that grows with the answers to a consumer that asks on and reads none: the next
// request waits. Of one that is coming only 100 Continue can be unsent.
bool Session::unread() const { return !busy_ && !closing_ && !parser_.has_head() && transport_->unsent(); }

void Session::read_next() {
    if (reading_) return;   // answered at once: the loop below goes on
    reading_ = true;
    while (!busy_ && !closing_ && !unread() && !buffer_.view().empty()) {
        const http::Step step = parser_.feed(buffer_);
        if (step == http::Step::more) {
            expect();
            break;
        }
        if (step == http::Step::done)
            take(false);
        else if (step == http::Step::rest_follows)
            take(true);
        else if (step == http::Step::bad)
            reject(400, "malformed or ambiguous message");
        else if (step == http::Step::no_room)
            reject(503, "all consumers together send too much");
        else
            reject(step == http::Step::head_too_large ? 431 : 413, "message over the limits");
    }
    reading_ = false;
}

// Guards the rule that a request that was read gets its answer: one that lies here whole is answered on
// this connection, whatever tells the process to end it.
bool Session::next_is_read() const { return buffer_.view().find("\r\n\r\n") != std::string_view::npos; }

bool Session::ends_with_answer() const { return host_.stopping() && !next_is_read(); }

// Who waits for leave to send a body has it (RFC 9110, section 10.1.1), once.
void Session::expect() {
    if (continued_ || !parser_.has_head() || !parser_.expects_continue()) return;
    continued_ = true;
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    transport_->send({&kContinue, 1});
}

void Session::take(bool rest_follows) {
    const double now = net::now();
    const std::size_t used = parser_.used();
    arrivals_.keep_last(buffer_.view().size());
    const double arrived = used > 0 ? std::min(now, arrivals_.at(used - 1)) : now;
    const http::Head& head = parser_.head();
    keep_alive_ = head.keep_alive;
    newest_ = head.is_http_1_1;
    busy_ = asked_ = true;
    continued_ = false;
    since_ = now;
    const bool health = head.second.substr(0, head.second.find('?')) == "/health/ready";
    auto invocation = std::make_shared<ClientRequest>();
    if (health && rest_follows) return reject(413, "message over the limits");
    if (!health) {
        if (!find_class(host_.settings(), first_part(head.second))) return reject(404, "path");
        const std::string_view fault = read_request(head, host_.settings(), arrived, *invocation);
        if (!fault.empty()) return reject(400, fault);
        // Guards against a second copy beside the one that is out, which no class but one may have.
        if (host_.is_request_open(invocation->request_id))
            return reject(409, "X-Request-Id of an open request");
        if (head.first == "GET" && (rest_follows || !parser_.body().empty())) return reject(400, "a body");
    }
    invocation->body = parser_.body();
    if (rest_follows) {
        // When it is due is known once its last byte has come: until then the time that this may take is
        // added, which nobody waits for.
        reader_ = parser_.rest();
        invocation->body_length = parser_.length();
        invocation->body_complete = false;
        invocation->body_rest = std::static_pointer_cast<Session>(shared_from_this());
        invocation->deadline_at_s +=
            static_cast<double>(invocation->body_length.value_or(http::kMaxStreamedBodyBytes)) / kSlowest;
        upload_ = invocation;
        uploading_ = held_ = true;
        moved_ = now;
    }
    // The parser's own fields, which it writes again only when it reads the next head.
    if (host_.wants_headers()) invocation->headers = std::span(head.fields).first(head.count);
    parser_.reset();
    // The invocation keeps the bytes that its views point into; what lies behind it moves on.
    const std::string_view rest = buffer_.view().substr(used);
    http::Buffer next(&host_.budget());
    if (!rest.empty()) {
        const std::span<char> room = next.space(rest.size());
        rest.copy(room.data(), rest.size());
        next.commit(rest.size());
    }
    invocation->bytes = std::move(buffer_);
    buffer_ = std::move(next);
    arrivals_.keep_last(buffer_.view().size());
    if (health) return write_response({host_.ready() ? 200 : 503, 0, {}, {}});
    requested_ = true;
    const auto keep = shared_from_this();
    handing_on_ = true;
    const std::uint64_t number =
        host_.on_request(std::static_pointer_cast<Session>(shared_from_this()), std::move(invocation));
    handing_on_ = false;
    if (!busy_) return;
    number_ = number;
    if (!sink_.expired()) resume();
}

// A request's rest. -----------------------------------------------------------------------------------

void Session::stream_to(std::weak_ptr<BodySink> sink) {
    sink_ = std::move(sink);
    held_ = handing_on_ || sink_.expired();
    if (!held_) resume();
}

void Session::resume() {
    if (rest_ || handing_on_) return;
    // Who calls may hold it by the request alone, which is forgotten once both sides have gone.
    const auto keep = shared_from_this();
    held_ = false;
    moved_ = net::now();
    if (!uploading_) return;
    pass_on();
    if (uploading_ && !held_) transport_->resume();
}

void Session::pass_on() {
    const auto keep = shared_from_this();
    const auto sink = sink_.lock();
    std::string_view in = buffer_.view(), part;
    const auto invocation = upload_.lock();
    while (!held_ && sink && invocation && uploading_ && !in.empty()) {
        const http::BodyReader::State state = reader_.feed(in, part);
        if (!part.empty()) {
            invocation->body_streamed = true;
            const bool more = sink->write(part);
            // The sink may have found its connection broken: then the request has its answer by now, or the
            // session its end, and nothing of what was read is left.
            if (!uploading_) return;
            held_ = held_ || !more;
        }
        if (state == http::BodyReader::State::bad) {
            const std::uint64_t number = std::exchange(number_, 0);
            sink_.reset();
            if (number != 0) host_.on_client_disconnected(number);
            return reject(400, "a malformed body");
        }
        if (state == http::BodyReader::State::done) {
            uploading_ = false;
            invocation->body_complete = true;
            const std::size_t used = buffer_.view().size() - in.size();
            arrivals_.keep_last(buffer_.view().size());
            invocation->deadline_at_s = arrivals_.at(used > 0 ? used - 1 : 0) + invocation->timeout_s;
            since_ = net::now();
        }
    }
    buffer_.consume(buffer_.view().size() - in.size());
    arrivals_.keep_last(buffer_.view().size());
    if (uploading_ || !sink) return;
    sink_.reset();
    sink->end(true);
    transport_->resume();
}

// An answer's rest. -----------------------------------------------------------------------------------

bool Session::write(std::string_view bytes) {
    if (!rest_ || ended_) return true;
    std::array<char, 24> size{};
    std::array<std::string_view, 3> parts{"", bytes, ""};
    if (chunks_) {
        const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        parts[0] = {size.data(), static_cast<std::size_t>(digits)};
        parts[2] = "\r\n";
    }
    moved_ = net::now();
    if (!transport_->send(parts)) {
        end();
        return true;
    }
    return !transport_->unsent();
}

void Session::end(bool whole) {
    if (!rest_ || ended_) return;
    const auto keep = shared_from_this();
    rest_.reset();
    // One that is not whole ends short of its length, or without the last chunk: the consumer can tell.
    if (!whole) return end();
    constexpr std::string_view kLast = "0\r\n\r\n";
    if (chunks_ && !transport_->send({&kLast, 1})) return end();
    answered();
}

// Where one message ends is not known after a bad one, and who sends one bad request sends more: the
// connection ends with it.
void Session::reject(int status, std::string_view why) {
    host_.on_bad_request(status, why);
    keep_alive_ = false;
    write_response({status, status == 503 ? 1.0 : 0, {}, {}});
}

void Session::write_response(const Response& answer) {
    if (ended_) return;
    if (ends_with_answer()) keep_alive_ = false;
    // An answer before the last byte of its request: what still comes of that is nobody's.
    if (std::exchange(uploading_, false)) keep_alive_ = false;
    sink_.reset();
    std::array<char, 96> fields;
    const bool sized = !answer.rest || answer.length;
    chunks_ = !sized && newest_;
    if (!sized && !chunks_) keep_alive_ = false;   // to HTTP/1.0 the end is the connection's
    int size = sized ? std::snprintf(fields.data(), fields.size(), "Content-Length: %zu\r\n",
                                     answer.rest ? *answer.length : answer.body.size())
                     : std::snprintf(fields.data(), fields.size(), "%s",
                                     chunks_ ? "Transfer-Encoding: chunked\r\n" : "");
    const double retry_after_s = std::min(answer.retry_after_s, kRetryMost);
    if (retry_after_s > 0)
        size += std::snprintf(fields.data() + size, fields.size() - static_cast<std::size_t>(size),
                              "Retry-After: %.3f\r\n", retry_after_s);
    const bool typed = !answer.content_type.empty();
    const std::array<std::string_view, 8> parts{
        start_line(answer.status),
        std::string_view(fields.data(), static_cast<std::size_t>(size)),
        typed ? "Content-Type: " : "",
        answer.content_type,
        typed ? "\r\n" : "",
        keep_alive_ ? "" : "Connection: close\r\n",
        "\r\n",
        answer.rest ? std::string_view() : answer.body};
    number_ = 0;
    if (!answer.rest) {
        if (!transport_->send(parts)) return end();
        return answered();
    }
    rest_ = answer.rest;
    since_ = moved_ = net::now();
    if (!transport_->send(parts)) return end();
    if (!answer.body.empty()) write(answer.body);
    if (rest_) rest_->stream_to(std::static_pointer_cast<Session>(shared_from_this()));
}

// The answer has been given to the transport.
void Session::answered() {
    busy_ = false;
    closing_ = !keep_alive_;
    since_ = net::now();
    if (closing_) {
        parser_.reset();
        buffer_ = http::Buffer(&host_.budget());
        transport_->drop(kDropMost);
    } else {
        transport_->resume();
    }
    if (!transport_->unsent()) finish_answer();
}

void Session::on_dropped() { moved_ = net::now(); }

void Session::on_sent() {
    moved_ = net::now();
    if (const auto rest = rest_) return rest->resume();
    if (!busy_) finish_answer();   // else it was 100 Continue
}

void Session::finish_answer() {
    since_ = net::now();
    // Closing on bytes not read would reset the connection and could take the answer with it: the peer is
    // left to end it, and what it sends meanwhile is dropped.
    if (closing_) return transport_->finish();
    transport_->resume();
    read_next();
}

double Session::expires_at(bool many) const {
    if (uploading_ && !held_) return moved_ + kStalled;
    if (rest_ && transport_->unsent()) return moved_ + kStalledAnswer;
    if (busy_) return std::numeric_limits<double>::infinity();
    if (closing_) return std::max(since_ + kLinger, std::min(since_ + kLingerMost, moved_ + kLingerPause));
    if (transport_->unsent()) return since_ + kUnread;
    if (!buffer_.view().empty()) {
        if (!parser_.has_head()) return since_ + kWhole;
        // A body takes its time as long as it comes at half of the pace that is asked for.
        const double paced = since_ + kWhole + static_cast<double>(buffer_.view().size()) / kSlowest;
        return std::max(since_ + kWhole, std::min(paced, moved_ + kPause));
    }
    return since_ + (!asked_ ? kSilent : many ? kIdleMany : kIdle);
}

void Session::expire() {
    if (uploading_) {
        const std::uint64_t number = std::exchange(number_, 0);
        if (number != 0) host_.on_client_disconnected(number);
        return reject(408, "a body that stalls");
    }
    if (has_partial_request()) return reject(408, "not whole in time");
    end();
}

void Session::reject_partial_request(double retry_after_s) {
    keep_alive_ = false;
    write_response({503, retry_after_s, {}, {}});
}

int Session::eviction_rank(double now) const {
    const double age = now - since_;
    if (busy_ || transport_->unsent()) return -1;
    if (closing_) return age > kSpareLinger ? 0 : -1;
    if (!buffer_.view().empty()) return age > kSpareHalf ? 2 : -1;
    if (!asked_) return age > kSpareSilent ? 1 : -1;
    return 3;
}

void Session::on_end(bool) { end(); }

// A consumer that ends its side has gone away, as the protocol says, even if it could still be written to.
void Session::end() {
    if (ended_) return;
    ended_ = true;
    const auto keep = shared_from_this();
    transport_->close();
    closing_ = true;
    if (const auto rest = std::exchange(rest_, nullptr)) rest->cancel();
    uploading_ = false;
    sink_.reset();
    if (const bool owed = std::exchange(busy_, false); owed && number_ != 0)
        host_.on_client_disconnected(number_);
    host_.on_closed(*this);
}

}   // namespace slatejunction::client
