// Connection: a response that is forwarded as it arrives. The attempt has ended, and the connection is the
// source of the rest of the body.
#include <algorithm>
#include <utility>

#include "backend/connection.hpp"

namespace slatejunction::backend {
namespace {

constexpr double kStreamStallTimeoutS = 10.0;   // between pieces of a response that is forwarded
// A backend that sends a forwarded response more slowly on average, after kStreamGraceS, is disconnected.
constexpr double kMinStreamBytesPerS = 1e3;
constexpr double kStreamGraceS = 30.0;
constexpr std::size_t kReadChunkBytes = std::size_t{32} * 1024;   // of a large response

}   // namespace

using slatejunction::AttemptResult;

std::span<char> Connection::receive_buffer() {
    if (!streaming_response_) return parser_.receive_space(buffer_);
    return streaming_paused_ ? std::span<char>() : buffer_.space(kReadChunkBytes);
}

// Ends the attempt and starts streaming the rest of its response.
void Connection::begin_streaming() {
    CallResult outcome;
    outcome.result = AttemptResult::ok;
    read_fields(outcome);
    outcome.body = parser_.body();
    outcome.length = parser_.length();
    outcome.rest = std::static_pointer_cast<Connection>(shared_from_this());
    reader_ = parser_.rest();
    reuse_delay_after_stream_s_ =
        reuse_delay_s(exchange_end(!parser_.ends_with_connection(), false), round_trip_s_);
    http::Buffer front = std::move(buffer_);
    const std::string_view raw = front.view().substr(parser_.used());
    const std::span<char> space = buffer_.space(kReadChunkBytes);
    if (raw.size() > space.size()) buffer_.space(raw.size());
    raw.copy(buffer_.data(), raw.size());
    buffer_.commit(raw.size());
    streaming_response_ = true;
    streaming_paused_ = true;
    stream_request_id_ = request_->request_id;
    stream_began_at_ = net::now();
    if (!progress_.begun()) progress_.on_bytes(stream_began_at_);
    last_stream_byte_at_ = stream_began_at_;
    streamed_bytes_ = 0;
    const AttemptTag tag = tag_;
    end_call(outcome);
    parser_.reset();
    callbacks_.on_call_end(*this, tag, outcome);
    if (streaming_response_ && sink_.expired()) close();   // the callback attached no sink
}

void Connection::stream_to(std::weak_ptr<client::BodySink> sink) {
    sink_ = std::move(sink);
    resume();
}

void Connection::resume() {
    if (!streaming_response_ || closed_) return;
    const auto self = shared_from_this();
    streaming_paused_ = false;
    last_stream_byte_at_ = net::now();
    arm_stream_timer();
    forward_response();
    if (streaming_response_ && !streaming_paused_) transport_->resume();
}

void Connection::arm_stream_timer() {
    const double paced_limit =
        stream_began_at_ + kStreamGraceS + static_cast<double>(streamed_bytes_) / kMinStreamBytesPerS;
    timer_.arm(std::min({paced_limit, last_stream_byte_at_ + kStreamStallTimeoutS, stream_ends_by_}));
}

void Connection::cancel() {
    if (!streaming_response_) return;
    streaming_response_ = false;
    close();
}

void Connection::forward_response() {
    const auto self = shared_from_this();
    const auto sink = sink_.lock();
    if (!sink) return cancel();
    std::string_view in = buffer_.view(), part;
    while (streaming_response_ && !streaming_paused_ && !in.empty() &&
           reader_.state() == http::BodyReader::State::need_more) {
        reader_.feed(in, part);
        if (part.empty()) continue;
        const bool more = sink->write(part);
        if (!streaming_response_) return;   // the sink has called cancel()
        streaming_paused_ = streaming_paused_ || !more;
    }
    buffer_.consume(buffer_.view().size() - in.size());
    if (streaming_paused_) timer_.disarm();   // the client session has a time limit of its own
    if (reader_.state() != http::BodyReader::State::need_more)
        finish_streaming(reader_.state() == http::BodyReader::State::done);
}

// Makes the connection idle before notifying the sink, so that the next attempt can use or replace it.
void Connection::finish_streaming(bool complete, ResponseEvent::Kind cut) {
    const auto self = shared_from_this();
    if (!complete) report_response(cut);
    streaming_response_ = false;
    timer_.disarm();
    const auto sink = sink_.lock();
    sink_.reset();
    if (complete && reuse_delay_after_stream_s_ && buffer_.view().empty()) {
        buffer_ = http::Buffer(&bytes_);
        become_idle(*reuse_delay_after_stream_s_);
    } else {
        close();
    }
    if (sink) sink->end(complete);
}

// Why the limit that the timer of a forwarded response was armed for ends it.
ResponseEvent::Kind Connection::cut_reason(double now) const {
    if (now >= stream_ends_by_) return ResponseEvent::Kind::cut_late;
    return now - last_stream_byte_at_ >= kStreamStallTimeoutS ? ResponseEvent::Kind::cut_stalled
                                                              : ResponseEvent::Kind::cut_slow;
}

}   // namespace slatejunction::backend
