#include "client/session.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <utility>

namespace slatejunction::client {
namespace {

constexpr std::size_t kMaxReadAheadBytes = 4096;                  // while a response is pending
constexpr std::size_t kMaxDiscardedBytes = 64 << 20;              // from a client after its last response
constexpr std::size_t kReadChunkBytes = std::size_t{32} * 1024;   // of a large body
constexpr std::size_t kReadAheadChunkBytes = 512;

// Time limits of the states. Every client must get an error or a close within 3 s, so the states in which
// it waits for the ingress are shorter, except with a pending response or a large body.
constexpr double kFirstRequestTimeoutS = 2.0;     // until the first byte on a new connection
constexpr double kRequestTimeoutS = 2.5;          // from a request's first byte to its last
constexpr double kResponseUnreadTimeoutS = 2.5;   // until a response has been written
constexpr double kIdleTimeoutS = 10.0;            // after a response
constexpr double kIdleTimeoutManySessionsS = 2.2;
// Until the peer closes after the last response, as a large body may still be arriving.
constexpr double kLingerS = 4.0;
// The limits instead while bytes keep arriving: in total, and since the last byte.
constexpr double kMaxLingerS = 30.0, kLingerIdleS = 1.0;
// Between pieces of a buffered body that takes longer than kRequestTimeoutS.
constexpr double kBodyProgressTimeoutS = 0.8;
constexpr double kUploadStallTimeoutS = 2.0;      // between pieces of a large body
constexpr double kResponseStallTimeoutS = 10.0;   // between bytes of a large response that the client reads
constexpr double kMinBodyBytesPerS = 32e3;
// A client that reads a large response more slowly on average is disconnected.
constexpr double kMinResponseBytesPerS = 1e3;

// How long a session must have been in its state before it may be evicted.
constexpr double kEvictLingeringAfterS = 0.25;
constexpr double kEvictUnusedAfterS = 0.02;
constexpr double kEvictPartialAfterS = 0.5;

constexpr double kMaxRetryAfterS = 1e6;   // bounds the number of digits

std::string_view status_line(int status) {
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

// While a response is pending, reads a few bytes ahead, which shows whether the client has disconnected.
std::span<char> Session::receive_buffer() {
    if (uploading_) return upload_paused_ ? std::span<char>() : buffer_.space(kReadChunkBytes);
    if (response_unread()) return {};
    if (!response_pending_) return parser_.receive_space(buffer_);
    if (controller_.stopping()) return {};   // no further request is read
    if (buffer_.view().size() >= kMaxReadAheadBytes) return {};
    return buffer_.space(kReadAheadChunkBytes);
}

void Session::on_bytes(std::size_t size) {
    // The time limit of a request starts with its first byte, or with the connection for the first request.
    if (request_received_ && !response_pending_ && buffer_.view().empty()) state_since_ = net::now();
    buffer_.commit(size);
    arrivals_.add(size, net::now() - transport_->receive_delay_s());
    if (uploading_) {
        last_progress_at_ = net::now();
        return forward_upload();
    }
    if (parser_.has_head()) last_progress_at_ = net::now();   // a piece of a body
    if (!response_pending_ && !closing_) read_next();
}

// The next request waits until the response has been written, so that responses to a client that does not
// read do not accumulate. If the head of a request has been read, the unsent bytes are those of 100
// Continue.
bool Session::response_unread() const {
    return !response_pending_ && !closing_ && !parser_.has_head() && transport_->unsent();
}

void Session::read_next() {
    if (in_read_next_) return;   // a request was answered synchronously; the loop below continues
    in_read_next_ = true;
    while (!response_pending_ && !closing_ && !response_unread() && !buffer_.view().empty()) {
        const http::ParseResult result = parser_.feed(buffer_);
        if (result == http::ParseResult::need_more) {
            send_continue_if_expected();
            break;
        }
        on_parsed(result);
    }
    in_read_next_ = false;
}

void Session::on_parsed(http::ParseResult result) {
    switch (result) {
        case http::ParseResult::done:
            return handle_request(false);
        case http::ParseResult::rest_follows:
            return handle_request(true);
        case http::ParseResult::malformed:
            return reject(400, "malformed or ambiguous HTTP message");
        case http::ParseResult::over_budget:
            return reject(503, "memory limit for the bytes of all clients exceeded");
        case http::ParseResult::head_too_large:
            return reject(431, "request head too large");
        default:
            return reject(413, "request body too large");
    }
}

// A request that has been read is answered on this connection even if the process is stopping.
bool Session::next_request_buffered() const {
    return buffer_.view().find("\r\n\r\n") != std::string_view::npos;
}

bool Session::closes_after_response() const { return controller_.stopping() && !next_request_buffered(); }

// Implements Expect: 100-continue (RFC 9110, section 10.1.1).
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
    if (health_check && rest_follows) return reject(413, "health check with a large body");
    if (!health_check && !accept_request(*request, arrived_at_s, rest_follows)) return;
    request->body = parser_.body();
    if (rest_follows) start_upload(request, now);
    // Views of the parser's fields, which stay valid until it parses the next head.
    if (controller_.wants_headers()) request->headers = std::span(head.fields).first(head.count);
    parser_.reset();
    move_bytes_to(*request, used);
    if (health_check) return write_response({controller_.ready() ? 200 : 503, 0, {}, {}});
    dispatch(std::move(request));
}

// Returns false if the request has been rejected.
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
    // Two open requests with the same id would be a hedged request, which only idempotent classes may have.
    if (controller_.is_request_open(request.request_id)) {
        reject(409, "X-Request-Id is in use by an open request");
        return false;
    }
    if (controller_.may_not_run_again(request.request_id)) {
        reject(409, "X-Request-Id of a request that may have run");
        return false;
    }
    if (head.method == "GET" && (rest_follows || !parser_.body().empty())) {
        reject(400, "GET request with a body");
        return false;
    }
    return true;
}

// The deadline is known once the last byte of the body has arrived. Until then, the longest time that the
// body may take is added.
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

// Gives the request the bytes that its views point into, and moves the bytes after them to a new buffer.
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

// Streaming of a large request. --------------------------------------------------------------------------

void Session::stream_to(std::weak_ptr<BodySink> sink) {
    upload_sink_ = std::move(sink);
    upload_paused_ = dispatching_ || upload_sink_.expired();
    if (!upload_paused_) resume();
}

void Session::resume() {
    if (response_rest_ || dispatching_) return;
    // Only the request may own this session, and it may end during the calls below.
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
            // The write may have found the sink's connection broken, upon which the request was answered or
            // the session ended.
            if (!uploading_) return;
            upload_paused_ = upload_paused_ || !more;
        }
        if (state == http::BodyReader::State::malformed) {
            const std::uint64_t number = std::exchange(request_number_, 0);
            upload_sink_.reset();
            if (number != 0) controller_.on_client_disconnected(number);
            return reject(400, "malformed or oversized chunked body");
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

// `size` is that of the last bytes of the body in the buffer.
void Session::finish_upload(ClientRequest& request, std::size_t size) {
    uploading_ = false;
    arrivals_.keep_last(buffer_.view().size());
    on_body_arrived(request, arrivals_.at(size > 0 ? size - 1 : 0));
    state_since_ = net::now();
}

void Session::on_body_arrived(ClientRequest& request, double arrived_at) {
    request.deadline_at_s = std::min(request.deadline_at_s, arrived_at + request.timeout_s);
    if (std::exchange(request.body_complete, true)) return;
    if (request_number_ != 0) controller_.on_body_received(request_number_);
}

// While the backend takes no bytes, the rest of a body stays unread, but its deadline counts from its
// arrival all the same.
void Session::check_transfer(double now) {
    const auto self = shared_from_this();
    if (response_rest_ && transport_->unsent()) {
        const std::size_t undelivered = transport_->undelivered_bytes();
        if (undelivered < undelivered_bytes_) last_progress_at_ = now;
        undelivered_bytes_ = undelivered;
    }
    const auto request = upload_request_.lock();
    if (!uploading_ || !request || request->body_complete) return;
    const double last_arrival_at = now - transport_->receive_delay_s();
    if (rest_of_body_arrived(*request, last_arrival_at)) on_body_arrived(*request, last_arrival_at);
}

// A chunked body may end in any of the unread bytes, and a client whose connection is full may have written
// its last byte already. So the body also counts as arrived once nothing has followed the unread bytes for
// the time that the client waits.
bool Session::rest_of_body_arrived(const ClientRequest& request, double last_arrival_at) const {
    const std::size_t available = buffer_.view().size() + transport_->unread_bytes();
    const auto remaining = upload_reader_.remaining_bytes();
    if (remaining && available >= *remaining) return true;
    return available > 0 && net::now() - last_arrival_at >= request.timeout_s;
}

// Streaming of a large response. -------------------------------------------------------------------------

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
    response_bytes_ += bytes.size();
    if (!transport_->send(parts)) {
        end();
        return true;
    }
    return !transport_->unsent();
}

void Session::end(bool complete) {
    if (!response_rest_ || ended_) return;
    const auto self = shared_from_this();
    response_rest_.reset();
    // Closing leaves an incomplete body short of its length, or without the last chunk, so that the client
    // detects it. Where the connection ends the body, only a reset tells.
    if (!complete && response_ends_with_connection_) transport_->reset();
    if (!complete) return end();
    constexpr std::string_view kLastChunk = "0\r\n\r\n";
    if (response_chunked_ && !transport_->send({&kLastChunk, 1})) return end();
    on_response_queued();
}

// Closes the connection after the response, as the end of an invalid message is not known.
void Session::reject(int status, std::string_view error) {
    controller_.on_bad_request(status, error);
    keep_alive_ = false;
    write_response({status, status == 503 ? 1.0 : 0, {}, {}});
}

void Session::write_response(const Response& response) {
    if (ended_) return;
    if (closes_after_response()) keep_alive_ = false;
    // If the response precedes the last byte of its request, the rest of the body is discarded.
    if (std::exchange(uploading_, false)) keep_alive_ = false;
    upload_sink_.reset();
    std::array<char, 96> fields;
    const bool length_known = !response.rest || response.length;
    response_chunked_ = !length_known && client_is_http_1_1_;
    response_ends_with_connection_ = !length_known && !response_chunked_;
    if (response_ends_with_connection_) keep_alive_ = false;
    int size = length_known ? std::snprintf(fields.data(), fields.size(), "Content-Length: %zu\r\n",
                                            response.rest ? *response.length : response.body.size())
                            : std::snprintf(fields.data(), fields.size(), "%s",
                                            response_chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
    const double retry_after_s = std::min(response.retry_after_s, kMaxRetryAfterS);
    if (retry_after_s > 0)
        size += std::snprintf(fields.data() + size, fields.size() - static_cast<std::size_t>(size),
                              "Retry-After: %.3f\r\n", retry_after_s);
    const bool has_content_type = !response.content_type.empty();
    const std::array<std::string_view, 8> parts{
        status_line(response.status),
        std::string_view(fields.data(), static_cast<std::size_t>(size)),
        has_content_type ? "Content-Type: " : "",
        response.content_type,
        has_content_type ? "\r\n" : "",
        keep_alive_ ? "" : "Connection: close\r\n",
        "\r\n",
        response.rest ? std::string_view() : response.body};
    request_number_ = 0;
    if (!response.rest) {
        if (!transport_->send(parts)) return end();
        return on_response_queued();
    }
    response_rest_ = response.rest;
    response_bytes_ = 0;
    state_since_ = net::now();
    last_progress_at_ = state_since_;
    if (!transport_->send(parts)) return end();
    if (!response.body.empty()) write(response.body);
    if (response_rest_) response_rest_->stream_to(std::static_pointer_cast<Session>(shared_from_this()));
}

// The whole response has been passed to the transport.
void Session::on_response_queued() {
    response_pending_ = false;
    closing_ = !keep_alive_;
    state_since_ = net::now();
    if (closing_) {
        parser_.reset();
        buffer_ = http::Buffer(&controller_.budget());
        transport_->discard_input(kMaxDiscardedBytes);
    } else {
        transport_->resume();
    }
    if (!transport_->unsent()) on_response_written();
}

void Session::on_input_discarded() { last_progress_at_ = net::now(); }

void Session::on_sent() {
    last_progress_at_ = net::now();
    if (const auto rest = response_rest_) return rest->resume();
    if (!response_pending_) on_response_written();   // else 100 Continue was written
}

void Session::on_response_written() {
    state_since_ = net::now();
    // Closing a socket with unread bytes would reset the connection, and the peer might lose the response.
    // So the peer has to close first, and its input is discarded until then.
    if (closing_) return transport_->shutdown_send();
    transport_->resume();
    read_next();
}

double Session::expires_at(bool many_sessions) const {
    if (uploading_ && !upload_paused_) return last_progress_at_ + kUploadStallTimeoutS;
    if (response_rest_ && transport_->unsent()) {
        const double paced_limit = state_since_ + kResponseStallTimeoutS +
                                   static_cast<double>(response_bytes_) / kMinResponseBytesPerS;
        return std::min(paced_limit, last_progress_at_ + kResponseStallTimeoutS);
    }
    if (response_pending_) return std::numeric_limits<double>::infinity();
    if (closing_)
        return std::max(state_since_ + kLingerS,
                        std::min(state_since_ + kMaxLingerS, last_progress_at_ + kLingerIdleS));
    if (transport_->unsent()) return state_since_ + kResponseUnreadTimeoutS;
    if (!buffer_.view().empty()) {
        if (!parser_.has_head()) return state_since_ + kRequestTimeoutS;
        // A body may take longer while it arrives at kMinBodyBytesPerS or faster.
        const double paced_limit = state_since_ + kRequestTimeoutS +
                                   static_cast<double>(buffer_.view().size()) / kMinBodyBytesPerS;
        return std::max(state_since_ + kRequestTimeoutS,
                        std::min(paced_limit, last_progress_at_ + kBodyProgressTimeoutS));
    }
    if (!request_received_) return state_since_ + kFirstRequestTimeoutS;
    return state_since_ + (many_sessions ? kIdleTimeoutManySessionsS : kIdleTimeoutS);
}

void Session::expire() {
    if (uploading_) {
        const std::uint64_t number = std::exchange(request_number_, 0);
        if (number != 0) controller_.on_client_disconnected(number);
        return reject(408, "request body stalled");
    }
    if (has_partial_request()) return reject(408, "request not complete within the time limit");
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
    if (!request_received_) return age > kEvictUnusedAfterS ? 1 : -1;
    return 3;
}

void Session::on_end(bool) { end(); }

// A client that closes its sending side counts as disconnected, even if it could still receive a response.
void Session::end() {
    if (ended_) return;
    ended_ = true;
    const auto self = shared_from_this();
    transport_->close();
    closing_ = true;
    if (const auto rest = std::exchange(response_rest_, nullptr)) rest->cancel();
    uploading_ = false;
    upload_sink_.reset();
    if (const bool was_pending = std::exchange(response_pending_, false);
        was_pending && request_number_ != 0)
        controller_.on_client_disconnected(request_number_);
    controller_.on_closed(*this);
}

}   // namespace slatejunction::client
