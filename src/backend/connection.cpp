#include "backend/connection.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <limits>
#include <utility>

namespace slatejunction::backend {
namespace {

// A large request fails if the backend takes no byte of it for so long.
constexpr double kUploadStallTimeoutS = 10.0;
// A reset so soon after the call could be written is attributed to the connection, which had become stale.
constexpr double kStaleResetWindowS = 0.05;
constexpr double kMaxStatedDeadlineS = 1e6;   // bounds the number of digits in X-Deadline
constexpr std::size_t kMaxKeptBufferBytes = std::size_t{8} * 1024;   // of an idle connection

// Reads the whole text as a finite, non-negative number. Returns false for anything else, which callers
// treat as absent.
bool read_number(std::string_view text, double& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && error == std::errc() && end == text.data() + text.size() &&
           std::isfinite(value) && value >= 0;
}

}   // namespace

using slatejunction::AttemptResult;

Connection::Connection(ConnectionCallbacks& callbacks, net::Timers& timers, http::ByteBudget& bytes,
                       std::string backend_id, std::string host_port,
                       const std::vector<std::string>& report_fields)
    : callbacks_(callbacks),
      timer_(timers, [this] { on_timer(); }),
      backend_id_(std::move(backend_id)),
      host_port_(std::move(host_port)),
      report_fields_(report_fields),
      parser_(http::Parser::Kind::response, true),
      bytes_(bytes),
      buffer_(&bytes) {}

void Connection::begin(AttemptTag tag, std::shared_ptr<client::ClientRequest> request,
                       std::string_view health_check_path, double deadline, double dial_deadline) {
    tag_ = tag;
    request_ = std::move(request);
    health_check_path_ = health_check_path;
    started_at_ = net::now();
    writable_since_ = started_at_;
    idle_s_ = dial_deadline > 0 ? -1 : started_at_ - idle_since_;
    deadline_ = deadline;
    timeout_s_ = deadline - started_at_;
    request_complete_ = true;
    call_active_ = true;
    request_written_ = false;
    progress_.restart();
    begun_reported_ = false;
    stream_ends_by_ = kNoLimit;
    answered_early_ = false;
    dialling_ = dial_deadline > 0;
    dial_deadline_ = dial_deadline;
    timer_.arm(dialling_ ? std::min(deadline, dial_deadline) : deadline);
}

void Connection::on_open() {
    dialling_ = false;
    writable_since_ = net::now();
    dial_duration_s_ = writable_since_ - started_at_;
    round_trip_s_ = *dial_duration_s_;
    timer_.arm(deadline_);
    if (request_ && (request_->client_disconnected() || request_->body_streamed)) return end_unwritten();
    // The process may have been paused, and a request with an idempotency key must not be sent too late.
    if (writable_since_ > dial_deadline_) return abandon(AttemptResult::connect_failed);
    write_call();
}

// Ends the call when the client has disconnected while this connection was being dialled, or when another
// attempt has taken the request's streamed body.
void Connection::end_unwritten() {
    const auto self = shared_from_this();
    CallResult outcome;
    outcome.result = AttemptResult::not_started;
    outcome.client_disconnected = request_->client_disconnected();
    end_call(outcome);
    become_idle(0);
    callbacks_.on_call_end(*this, tag_, outcome);
}

void Connection::become_idle(double delay_s) {
    idle_since_ = net::now();
    reusable_at_ = idle_since_ + delay_s;
    callbacks_.on_idle(*this);
}

// `parser_` has parsed the head of the response.
ExchangeEnd Connection::exchange_end(bool delimited, bool bytes_after_response) const {
    ExchangeEnd end;
    end.keep_alive = parser_.head().keep_alive;
    end.delimited = delimited;
    end.request_sent = may_have_run();
    end.answered_early = answered_early_;
    end.bytes_after_response = bytes_after_response;
    return end;
}

void Connection::write_call() {
    const bool sent = health_checking() ? send_health_check() : send_request_head();
    if (!sent) return on_end(false);
    request_written_ = true;
    if (health_checking() || !request_->body_rest) return;
    const auto self = shared_from_this();
    request_complete_ = false;
    const auto rest = request_->body_rest;
    if (!request_->body.empty()) write(request_->body);
    if (call_active_) rest->stream_to(std::static_pointer_cast<Connection>(shared_from_this()));
}

bool Connection::send_health_check() {
    const std::array<std::string_view, 5> parts{"GET ", health_check_path_,
                                                " HTTP/1.1\r\nHost: ", host_port_, "\r\n\r\n"};
    return transport_->send(parts);
}

// The time that is left of the attempt. For a request that is still being read, it counts from its last
// byte.
double Connection::remaining_s() const {
    if (!request_->body_complete) return std::min(request_->timeout_s, timeout_s_);
    const double deadline = request_->body_rest ? std::min(deadline_, request_->deadline_at_s) : deadline_;
    return deadline - net::now();
}

// Sends the head, and the body unless it is streamed.
bool Connection::send_request_head() {
    char deadline[32], length[48];
    const auto print = [](char* buffer, std::size_t size, const char* format, auto value) {
        const int written = std::snprintf(buffer, size, format, value);
        return std::string_view(buffer, std::min(size - 1, static_cast<std::size_t>(written)));
    };
    const client::ClientRequest& request = *request_;
    const bool has_content_type = !request.content_type.empty();
    const bool chunked = request.body_rest && !request.body_length;
    const bool has_length = !chunked && (!request.body.empty() || request.method != "GET");
    const double stated_deadline_s = std::clamp(remaining_s(), 0.0, kMaxStatedDeadlineS);
    const std::array<std::string_view, 17> parts{
        request.method,
        " ",
        request.target,
        " HTTP/1.1\r\nHost: ",
        host_port_,
        "\r\nX-Request-Id: ",
        request.request_id,
        "\r\nX-Deadline: ",
        print(deadline, sizeof deadline, "%.3f", std::floor(stated_deadline_s * 1e3) / 1e3),
        has_content_type ? "\r\nContent-Type: " : "",
        request.content_type,
        request.idempotency_key.empty() ? "" : "\r\nIdempotency-Key: ",
        request.idempotency_key,
        chunked      ? "\r\nTransfer-Encoding: chunked"
        : has_length ? "\r\nContent-Length: "
                     : "",
        has_length ? print(length, sizeof length, "%zu",
                           request.body_rest ? *request.body_length : request.body.size())
                   : std::string_view(),
        "\r\n\r\n",
        request.body_rest ? std::string_view() : request.body};
    return transport_->send(parts);
}

// Streaming of a large request. --------------------------------------------------------------------------

bool Connection::write(std::string_view bytes) {
    if (!call_active_ || request_complete_) return true;
    std::array<char, 24> size{};
    std::array<std::string_view, 3> parts{"", bytes, ""};
    if (!request_->body_length) {
        const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        parts[0] = {size.data(), static_cast<std::size_t>(digits)};
        parts[2] = "\r\n";
    }
    if (!transport_->send(parts)) {
        on_end(false);
        return true;
    }
    if (!transport_->unsent()) return true;
    undelivered_bytes_ = transport_->undelivered_bytes();
    if (!progress_.begun()) timer_.arm(std::min(deadline_, net::now() + kUploadStallTimeoutS));
    return false;
}

void Connection::end(bool complete) {
    if (!call_active_ || request_complete_) return;
    if (!complete) return abandon(AttemptResult::cancelled);
    constexpr std::string_view kLastChunk = "0\r\n\r\n";
    if (!request_->body_length && !transport_->send({&kLastChunk, 1})) return on_end(false);
    request_complete_ = true;
    request_complete_at_ = net::now();
    deadline_ = std::min(request_->deadline_at_s, request_complete_at_ + timeout_s_);
    if (!progress_.begun()) timer_.arm(deadline_);
}

void Connection::on_sent() {
    if (call_active_ && !request_complete_ && request_) request_->body_rest->resume();
}

void Connection::on_bytes(std::size_t size) {
    buffer_.commit(size);
    if (streaming_response_) {
        streamed_bytes_ += size;
        last_stream_byte_at_ = net::now();
        arm_stream_timer();
        return forward_response();
    }
    if (!call_active_) return close();   // bytes without an active call
    if (!may_have_run()) answered_early_ = true;
    parse_response(false);
}

void Connection::parse_response(bool ended) {
    const http::ParseResult parse_result = parser_.feed(buffer_, ended);
    const ResponseForm form = response_form();
    if (form.forwardable && !ended) {
        if (parse_result == http::ParseResult::rest_follows) return begin_streaming();
        if (parse_result == http::ParseResult::over_budget) return begin_forwarding(net::now());
    }
    // A body without a length ends with the connection (RFC 9112, section 6.3). The body is only needed of
    // a 200 response to an attempt; else the status is enough.
    const bool status_suffices = parser_.ends_with_connection() && form.status_decides;
    if (parse_result != http::ParseResult::need_more || status_suffices)
        return finish_response(parse_result, ended || parser_.ends_with_connection());
    if (!ended && !buffer_.view().empty()) on_partial_response();   // else at most an interim response
}

// A response that is not complete. -----------------------------------------------------------------------

void Connection::on_partial_response() {
    const auto self = shared_from_this();
    progress_.on_bytes(net::now());
    if (response_form().forwardable && !std::exchange(begun_reported_, true))
        report_response(ResponseEvent::Kind::begun);
    if (call_active_) take_response_step();
}

ResponseForm Connection::response_form() const {
    ResponseForm form;
    if (!parser_.has_head()) return form;
    form.status_decides = health_checking() || parser_.head().status != 200;
    form.forwardable = !form.status_decides;
    form.length_known = parser_.length().has_value();
    return form;
}

void Connection::take_response_step() {
    const auto self = shared_from_this();
    const double now = net::now();
    switch (progress_.next_step(now, deadline_, response_form())) {
        case ResponseStep::wait:
            break;
        case ResponseStep::report_stall:
            report_response(ResponseEvent::Kind::stalled);
            if (!call_active_) return;   // the attempt has been cancelled
            break;
        case ResponseStep::finish:
            return finish_response(http::ParseResult::need_more, true);
        case ResponseStep::forward:
            return begin_forwarding(now);
        case ResponseStep::give_up:
            return abandon(AttemptResult::timeout);
    }
    timer_.arm(progress_.next_step_at(deadline_, response_form()));
}

// Forwards the beginning of a response that has been buffered, and streams the rest.
void Connection::begin_forwarding(double now) {
    if (parser_.length()) stream_ends_by_ = deadline_ + kLateResponseS;
    report_response(ResponseEvent::Kind::forwarded, now >= deadline_);
    parser_.stop_buffering(buffer_);
    begin_streaming();
}

void Connection::report_response(ResponseEvent::Kind kind, bool at_deadline) {
    ResponseEvent event;
    event.kind = kind;
    event.at_deadline = at_deadline;
    event.bytes = buffer_.view().size() + streamed_bytes_;
    event.age_s = progress_.begun() ? net::now() - progress_.began_at() : 0;
    event.request_id = request_ ? request_->request_id : std::string_view(stream_request_id_);
    callbacks_.on_response_event(*this, tag_, event);
}

void Connection::finish_response(http::ParseResult parse_result, bool ended) {
    CallResult outcome;
    // Also the result of a malformed response, as the attempt may have run.
    outcome.result = AttemptResult::error;
    std::optional<double> delay_s;   // before the next use; nullopt: the connection is closed
    // With need_more, the caller needs the status only.
    const bool status_only = parse_result == http::ParseResult::need_more;
    if (parse_result == http::ParseResult::done || status_only || parser_.ends_with_connection()) {
        const http::Head& head = parser_.head();
        read_fields(outcome);
        if (head.status == 200 &&
            (parse_result == http::ParseResult::done || !parser_.ends_with_connection())) {
            outcome.result = AttemptResult::ok;
            outcome.body = parser_.body();
        } else if (head.status == 503 || head.status == 504) {
            const std::string_view* not_run = head.find("x-not-run");
            if (not_run && *not_run == "1") outcome.result = AttemptResult::rejected;
        }
        outcome.bad_request = !health_checking() && head.status >= 400 && head.status < 500;
        delay_s =
            reuse_delay_s(exchange_end(!ended, parser_.used() != buffer_.view().size()), round_trip_s_);
    }
    // Makes the connection idle before reporting the result, so that a retry can replace it at the limit of
    // connections. `response` keeps the views of the response valid.
    const auto self = shared_from_this();
    http::Buffer response = std::move(buffer_);
    parser_.reset();
    const AttemptTag tag = tag_;
    end_call(outcome);
    if (delay_s) {
        become_idle(*delay_s);
    } else {
        close();
    }
    callbacks_.on_call_end(*this, tag, outcome);
    if (buffer_.capacity() == 0 && response.capacity() <= kMaxKeptBufferBytes) {
        response.clear();
        buffer_ = std::move(response);
    }
}

void Connection::read_fields(CallResult& outcome) const {
    const http::Head& head = parser_.head();
    if (const std::string_view* used = head.find("x-ratelimit-used")) {
        double percent = 0;
        if (read_number(*used, percent)) outcome.quota_use = 1 + percent;
    }
    if (const std::string_view* type = head.find("content-type")) outcome.content_type = *type;
    const std::string_view* load = head.find("x-load");
    std::string_view report_text = load ? *load : health_checking() ? parser_.body() : std::string_view();
    if (report_text.empty() || report_fields_.empty()) return;
    if (report_text.starts_with("X-Load:")) report_text.remove_prefix(7);
    outcome.report.assign(report_fields_.size(), std::numeric_limits<double>::quiet_NaN());
    bool any = false;
    while (!report_text.empty()) {
        const std::size_t comma = std::min(report_text.find(','), report_text.size());
        std::string_view pair = report_text.substr(0, comma);
        report_text.remove_prefix(std::min(comma + 1, report_text.size()));
        while (pair.starts_with(' ')) pair.remove_prefix(1);
        const std::size_t equals = pair.find('=');
        if (equals == std::string_view::npos) continue;
        const auto field = std::find(report_fields_.begin(), report_fields_.end(), pair.substr(0, equals));
        if (field == report_fields_.end()) continue;
        double value = 0;
        if (!read_number(pair.substr(equals + 1), value)) continue;
        outcome.report[static_cast<std::size_t>(field - report_fields_.begin())] = value;
        any = true;
    }
    if (!any) outcome.report.clear();
}

void Connection::end_call(CallResult& outcome) {
    timer_.disarm();
    call_active_ = false;
    if (request_ && request_->body_rest) {
        outcome.write_duration_s = (request_complete_ ? request_complete_at_ : net::now()) - started_at_;
        if (!request_complete_)
            request_->body_rest->stream_to({});   // pauses until a retry or the response
    }
    outcome.duration_s = net::now() - started_at_;
    outcome.idle_s = idle_s_;
    request_.reset();
}

void Connection::abandon(AttemptResult result) {
    const auto self = shared_from_this();
    // A request that was not written completely cannot have run.
    CallResult outcome;
    outcome.result =
        may_have_run() || result == AttemptResult::not_started ? result : AttemptResult::connect_failed;
    fail_call(outcome);
}

void Connection::fail_call(CallResult& outcome) {
    close();   // before the report, as a retry must not run concurrently with this attempt
    if (!call_active_) return;
    end_call(outcome);
    callbacks_.on_call_end(*this, tag_, outcome);
}

// Whether the backend takes bytes of a large request, however slowly, or the client has yet to send more.
bool Connection::upload_progressed() {
    if (request_complete_ || progress_.begun() || net::now() >= deadline_) return false;
    const std::size_t undelivered = transport_->undelivered_bytes();
    if (transport_->unsent() && undelivered >= undelivered_bytes_) return false;
    undelivered_bytes_ = undelivered;
    timer_.arm(std::min(deadline_, net::now() + kUploadStallTimeoutS));
    return true;
}

void Connection::on_timer() {
    if (streaming_response_) return finish_streaming(false, cut_reason(net::now()));
    if (progress_.begun()) return take_response_step();
    if (!upload_progressed()) abandon(AttemptResult::timeout);
}

void Connection::on_end(bool clean) {
    const auto self = shared_from_this();
    if (streaming_response_) return finish_streaming(clean && reader_.ends_with_connection());
    // The bytes received so far may be a complete response. A partial one counts as a reset, and so does a
    // response without a length if the connection did not end cleanly.
    if (call_active_ && request_written_ && (clean || !parser_.ends_with_connection()))
        parse_response(true);
    if (!call_active_) return close();
    CallResult outcome;
    outcome.result = may_have_run() ? AttemptResult::reset : AttemptResult::connect_failed;
    outcome.reset_before_response =
        !dialling_ && !progress_.begun() && net::now() - writable_since_ < kStaleResetWindowS;
    fail_call(outcome);
}

void Connection::close() {
    if (std::exchange(closed_, true)) return;
    const auto self = shared_from_this();
    timer_.disarm();
    transport_->close();
    callbacks_.on_closed(*this);
}

}   // namespace slatejunction::backend
