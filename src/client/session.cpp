#include "client/session.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <utility>

namespace slatejunction::client {
namespace {

constexpr std::size_t kMaxReadAheadBytes = 4096;                  // while an answer is pending
constexpr std::size_t kMaxDroppedBytes = 64 << 20;                // of a client after its last answer
constexpr std::size_t kReadChunkBytes = std::size_t{32} * 1024;   // of a large body
constexpr std::size_t kReadAheadChunkBytes = 512;

// Time limits of the states. Every client gets an error or a close within 3 s, so no state but that of a
// pending answer, or of a large body, lasts as long.
constexpr double kFirstRequestTimeoutS = 2.0;     // until the first byte on a new connection
constexpr double kRequestTimeoutS = 2.5;          // from a request's first byte to its last
constexpr double kResponseUnreadTimeoutS = 2.5;   // until an answer has been written
constexpr double kIdleTimeoutS = 10.0;            // after an answer
constexpr double kIdleTimeoutManySessionsS = 2.2;
constexpr double kLingerS = 4.0;   // until the peer closes; a large body may be on its way
constexpr double kMaxLingerS = 30.0, kLingerIdleS = 1.0;   // the same while bytes go on coming
constexpr double kBodyProgressTimeoutS = 0.8;              // between pieces of a body that takes longer
constexpr double kUploadStallTimeoutS = 2.0;               // between pieces of a large body
constexpr double kResponseStallTimeoutS = 10.0;            // between writes of a large answer
constexpr double kMinBodyBytesPerS = 32e3;

// A session is not evicted before it has been in its state for so long.
constexpr double kEvictLingeringAfterS = 0.25;
constexpr double kEvictSilentAfterS = 0.02;
constexpr double kEvictPartialAfterS = 0.5;

constexpr double kMaxRetryAfterS = 1e6;   // bounds the digits

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

// While an answer is pending, a little is read ahead, which shows whether the client has disconnected.
std::span<char> Session::receive_buffer() {
    if (uploading_) return upload_paused_ ? std::span<char>() : buffer_.space(kReadChunkBytes);
    if (response_unread()) return {};
    if (!response_pending_) return parser_.receive_space(buffer_);
    if (controller_.stopping()) return {};   // reads no further request
    if (buffer_.view().size() >= kMaxReadAheadBytes) return {};
    return buffer_.space(kReadAheadChunkBytes);
}

void Session::on_bytes(std::size_t size) {
    // The time limit of a request starts with its first byte, on a new connection with the connection.
    if (request_received_ && !response_pending_ && buffer_.view().empty()) state_since_ = net::now();
    buffer_.commit(size);
    arrivals_.add(size, net::now() - transport_->receive_delay_s());
    if (uploading_) {
        last_progress_at_ = net::now();
        return forward_upload();
    }
    if (parser_.has_head()) last_progress_at_ = net::now();   // a body in pieces
    if (!response_pending_ && !closing_) read_next();
}

// The next request waits until the answer has been written, so that answers to a client that reads none do
// not pile up. While a head has been read, only 100 Continue can be unsent.
bool Session::response_unread() const {
    return !response_pending_ && !closing_ && !parser_.has_head() && transport_->unsent();
}

void Session::read_next() {
    if (in_read_next_) return;   // a request has been answered at once: the loop below goes on
    in_read_next_ = true;
    while (!response_pending_ && !closing_ && !response_unread() && !buffer_.view().empty()) {
        const http::ParseResult step = parser_.feed(buffer_);
        if (step == http::ParseResult::need_more) {
            send_continue_if_expected();
            break;
        }
        on_parsed(step);
    }
    in_read_next_ = false;
}

void Session::on_parsed(http::ParseResult step) {
    switch (step) {
        case http::ParseResult::done:
            return handle_request(false);
        case http::ParseResult::rest_follows:
            return handle_request(true);
        case http::ParseResult::malformed:
            return reject(400, "malformed or ambiguous message");
        case http::ParseResult::over_budget:
            return reject(503, "all consumers together send too much");
        case http::ParseResult::head_too_large:
            return reject(431, "message over the limits");
        default:
            return reject(413, "message over the limits");
    }
}

// A request that has been read is answered on this connection, also if the process is stopping.
bool Session::next_request_buffered() const {
    return buffer_.view().find("\r\n\r\n") != std::string_view::npos;
}

bool Session::closes_after_response() const { return controller_.stopping() && !next_request_buffered(); }

// RFC 9110, section 10.1.1.
void Session::send_continue_if_expected() {
    if (continue_sent_ || !parser_.has_head() || !parser_.expects_continue()) return;
    continue_sent_ = true;
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    transport_->send({&kContinue, 1});
}

void Session::handle_request(bool rest_follows) {
    const double now = net::now();
    const std::size_t used = parser_.used();
    arrivals_.keep_last(buffer_.view().size());
    const double arrived_at_s = used > 0 ? std::min(now, arrivals_.at(used - 1)) : now;
    const http::Head& head = parser_.head();
    keep_alive_ = head.keep_alive;
    client_is_http_1_1_ = head.is_http_1_1;
    response_pending_ = true;
    request_received_ = true;
    continue_sent_ = false;
    state_since_ = now;
    const bool health_check = head.target.substr(0, head.target.find('?')) == "/health/ready";
    auto request = std::make_shared<ClientRequest>();
    if (health_check && rest_follows) return reject(413, "message over the limits");
    if (!health_check && !accept_request(*request, arrived_at_s, rest_follows)) return;
    request->body = parser_.body();
    if (rest_follows) start_upload(request, now);
    // The parser's own fields, which it writes again only when it reads the next head.
    if (controller_.wants_headers()) request->headers = std::span(head.fields).first(head.count);
    parser_.reset();
    move_bytes_to(*request, used);
    if (health_check) return write_response({controller_.ready() ? 200 : 503, 0, {}, {}});
    dispatch(std::move(request));
}

// False: the request has been rejected.
bool Session::accept_request(ClientRequest& request, double arrived_at_s, bool rest_follows) {
    const http::Head& head = parser_.head();
    if (!find_class(controller_.settings(), first_path_segment(head.target))) {
        reject(404, "path");
        return false;
    }
    const std::string_view invalid_field =
        read_request(head, controller_.settings(), arrived_at_s, request);
    if (!invalid_field.empty()) {
        reject(400, invalid_field);
        return false;
    }
    // Two open requests of one id would be a hedged request, which only idempotent classes may have.
    if (controller_.is_request_open(request.request_id)) {
        reject(409, "X-Request-Id of an open request");
        return false;
    }
    if (head.method == "GET" && (rest_follows || !parser_.body().empty())) {
        reject(400, "a body");
        return false;
    }
    return true;
}

// The deadline is known once the body's last byte has come: until then the longest time that the body may
// take is added.
void Session::start_upload(const std::shared_ptr<ClientRequest>& request, double now) {
    upload_reader_ = parser_.rest();
    request->body_length = parser_.length();
    request->body_complete = false;
    request->body_rest = std::static_pointer_cast<Session>(shared_from_this());
    request->deadline_at_s +=
        static_cast<double>(request->body_length.value_or(http::kMaxStreamedBodyBytes)) / kMinBodyBytesPerS;
    upload_request_ = request;
    uploading_ = true;
    upload_paused_ = true;
    last_progress_at_ = now;
}

// The request keeps the bytes that its views point into; what lies behind them moves to a new buffer.
void Session::move_bytes_to(ClientRequest& request, std::size_t size) {
    const std::string_view rest = buffer_.view().substr(size);
    http::Buffer next(&controller_.budget());
    if (!rest.empty()) {
        const std::span<char> space = next.space(rest.size());
        rest.copy(space.data(), rest.size());
        next.commit(rest.size());
    }
    request.bytes = std::move(buffer_);
    buffer_ = std::move(next);
    arrivals_.keep_last(buffer_.view().size());
}

void Session::dispatch(std::shared_ptr<ClientRequest> request) {
    request_dispatched_ = true;
    const auto self = shared_from_this();
    dispatching_ = true;
    const std::uint64_t number =
        controller_.on_request(std::static_pointer_cast<Session>(shared_from_this()), std::move(request));
    dispatching_ = false;
    if (!response_pending_) return;
    request_number_ = number;
    if (!upload_sink_.expired()) resume();
}

// A large request's body.
// -----------------------------------------------------------------------------------

void Session::stream_to(std::weak_ptr<BodySink> sink) {
    upload_sink_ = std::move(sink);
    upload_paused_ = dispatching_ || upload_sink_.expired();
    if (!upload_paused_) resume();
}

void Session::resume() {
    if (response_rest_ || dispatching_) return;
    // The caller may own it by the request alone, which ends once both sides have.
    const auto self = shared_from_this();
    upload_paused_ = false;
    last_progress_at_ = net::now();
    if (!uploading_) return;
    forward_upload();
    if (uploading_ && !upload_paused_) transport_->resume();
}

void Session::forward_upload() {
    const auto self = shared_from_this();
    const auto sink = upload_sink_.lock();
    std::string_view in = buffer_.view(), part;
    const auto request = upload_request_.lock();
    while (!upload_paused_ && sink && request && uploading_ && !in.empty()) {
        const http::BodyReader::State state = upload_reader_.feed(in, part);
        if (!part.empty()) {
            request->body_streamed = true;
            const bool more = sink->write(part);
            // If the sink's connection was broken, the request has been answered, or the session has ended.
            if (!uploading_) return;
            upload_paused_ = upload_paused_ || !more;
        }
        if (state == http::BodyReader::State::malformed) {
            const std::uint64_t number = std::exchange(request_number_, 0);
            upload_sink_.reset();
            if (number != 0) controller_.on_client_disconnected(number);
            return reject(400, "a malformed body");
        }
        if (state == http::BodyReader::State::done)
            finish_upload(*request, buffer_.view().size() - in.size());
    }
    buffer_.consume(buffer_.view().size() - in.size());
    arrivals_.keep_last(buffer_.view().size());
    if (uploading_ || !sink) return;
    upload_sink_.reset();
    sink->end(true);
    transport_->resume();
}

// `size`: of the body's last bytes in the buffer.
void Session::finish_upload(ClientRequest& request, std::size_t size) {
    uploading_ = false;
    request.body_complete = true;
    arrivals_.keep_last(buffer_.view().size());
    request.deadline_at_s = arrivals_.at(size > 0 ? size - 1 : 0) + request.timeout_s;
    state_since_ = net::now();
}

// A large answer's body.
// -----------------------------------------------------------------------------------

bool Session::write(std::string_view bytes) {
    if (!response_rest_ || ended_) return true;
    std::array<char, 24> size{};
    std::array<std::string_view, 3> parts{"", bytes, ""};
    if (response_chunked_) {
        const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        parts[0] = {size.data(), static_cast<std::size_t>(digits)};
        parts[2] = "\r\n";
    }
    last_progress_at_ = net::now();
    if (!transport_->send(parts)) {
        end();
        return true;
    }
    return !transport_->unsent();
}

void Session::end(bool whole) {
    if (!response_rest_ || ended_) return;
    const auto self = shared_from_this();
    response_rest_.reset();
    // An incomplete body ends short of its length, or without the last chunk: the client can tell.
    if (!whole) return end();
    constexpr std::string_view kLastChunk = "0\r\n\r\n";
    if (response_chunked_ && !transport_->send({&kLastChunk, 1})) return end();
    on_response_given();
}

// After an invalid message its end is not known: the connection is closed.
void Session::reject(int status, std::string_view why) {
    controller_.on_bad_request(status, why);
    keep_alive_ = false;
    write_response({status, status == 503 ? 1.0 : 0, {}, {}});
}

void Session::write_response(const Response& answer) {
    if (ended_) return;
    if (closes_after_response()) keep_alive_ = false;
    // An answer before the last byte of its request: the rest of the body is dropped.
    if (std::exchange(uploading_, false)) keep_alive_ = false;
    upload_sink_.reset();
    std::array<char, 96> fields;
    const bool sized = !answer.rest || answer.length;
    response_chunked_ = !sized && client_is_http_1_1_;
    if (!sized && !response_chunked_) keep_alive_ = false;   // HTTP/1.0: the body ends with the connection
    int size = sized ? std::snprintf(fields.data(), fields.size(), "Content-Length: %zu\r\n",
                                     answer.rest ? *answer.length : answer.body.size())
                     : std::snprintf(fields.data(), fields.size(), "%s",
                                     response_chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
    const double retry_after_s = std::min(answer.retry_after_s, kMaxRetryAfterS);
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
    request_number_ = 0;
    if (!answer.rest) {
        if (!transport_->send(parts)) return end();
        return on_response_given();
    }
    response_rest_ = answer.rest;
    state_since_ = net::now();
    last_progress_at_ = state_since_;
    if (!transport_->send(parts)) return end();
    if (!answer.body.empty()) write(answer.body);
    if (response_rest_) response_rest_->stream_to(std::static_pointer_cast<Session>(shared_from_this()));
}

// All of the answer has been given to the transport.
void Session::on_response_given() {
    response_pending_ = false;
    closing_ = !keep_alive_;
    state_since_ = net::now();
    if (closing_) {
        parser_.reset();
        buffer_ = http::Buffer(&controller_.budget());
        transport_->discard_input(kMaxDroppedBytes);
    } else {
        transport_->resume();
    }
    if (!transport_->unsent()) finish_answer();
}

void Session::on_input_discarded() { last_progress_at_ = net::now(); }

void Session::on_sent() {
    last_progress_at_ = net::now();
    if (const auto rest = response_rest_) return rest->resume();
    if (!response_pending_) finish_answer();   // else it was 100 Continue
}

void Session::finish_answer() {
    state_since_ = net::now();
    // Closing with unread bytes would reset the connection, and the peer might lose the answer: it closes
    // first, and what it sends until then is dropped.
    if (closing_) return transport_->shutdown_send();
    transport_->resume();
    read_next();
}

double Session::expires_at(bool many) const {
    if (uploading_ && !upload_paused_) return last_progress_at_ + kUploadStallTimeoutS;
    if (response_rest_ && transport_->unsent()) return last_progress_at_ + kResponseStallTimeoutS;
    if (response_pending_) return std::numeric_limits<double>::infinity();
    if (closing_)
        return std::max(state_since_ + kLingerS,
                        std::min(state_since_ + kMaxLingerS, last_progress_at_ + kLingerIdleS));
    if (transport_->unsent()) return state_since_ + kResponseUnreadTimeoutS;
    if (!buffer_.view().empty()) {
        if (!parser_.has_head()) return state_since_ + kRequestTimeoutS;
        // A body may take longer while it comes at kMinBodyBytesPerS.
        const double paced = state_since_ + kRequestTimeoutS +
                             static_cast<double>(buffer_.view().size()) / kMinBodyBytesPerS;
        return std::max(state_since_ + kRequestTimeoutS,
                        std::min(paced, last_progress_at_ + kBodyProgressTimeoutS));
    }
    if (!request_received_) return state_since_ + kFirstRequestTimeoutS;
    return state_since_ + (many ? kIdleTimeoutManySessionsS : kIdleTimeoutS);
}

void Session::expire() {
    if (uploading_) {
        const std::uint64_t number = std::exchange(request_number_, 0);
        if (number != 0) controller_.on_client_disconnected(number);
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
    const double age = now - state_since_;
    if (response_pending_ || transport_->unsent()) return -1;
    if (closing_) return age > kEvictLingeringAfterS ? 0 : -1;
    if (!buffer_.view().empty()) return age > kEvictPartialAfterS ? 2 : -1;
    if (!request_received_) return age > kEvictSilentAfterS ? 1 : -1;
    return 3;
}

void Session::on_end(bool) { end(); }

// A client that closes its sending side has disconnected, even if it could still be written to.
void Session::end() {
    if (ended_) return;
    ended_ = true;
    const auto self = shared_from_this();
    transport_->close();
    closing_ = true;
    if (const auto rest = std::exchange(response_rest_, nullptr)) rest->cancel();
    uploading_ = false;
    upload_sink_.reset();
    if (const bool owed = std::exchange(response_pending_, false); owed && request_number_ != 0)
        controller_.on_client_disconnected(request_number_);
    controller_.on_closed(*this);
}

}   // namespace slatejunction::client
