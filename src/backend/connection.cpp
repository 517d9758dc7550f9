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

// s; from an answer's first byte to its last. Providers write an answer at once, so one that stops half way
// is spoilt and no reason to wait until the request is due.
constexpr double kAnswer = 0.5;
constexpr double kStalled = 10.0;            // s; a large answer of which nothing more comes
constexpr std::size_t kAtOnce = 32 * 1024;   // bytes of a large answer read at once
constexpr double kResetAtOnce = 0.05;   // s; a reset as soon as that is the connection's, not the call's
constexpr double kDeadlineMost = 1e6;   // s; a longer one is told as that, and its digits have a bound
constexpr std::size_t kKeepMost = 8 * 1024;   // bytes of room that an idle connection keeps

// All of the text, finite and not below 0: anything else is absent, never a 0 that would be believed.
bool read_figure(std::string_view text, double& value) {
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && fault == std::errc() && end == text.data() + text.size() &&
           std::isfinite(value) && value >= 0;
}

}   // namespace

using slatejunction::AttemptResult;

Connection::Connection(ConnectionCallbacks& host, net::Timers& timers, http::ByteBudget& bytes,
                       std::string provider, std::string host_port,
                       const std::vector<std::string>& report_fields)
    : host_(host),
      timer_(timers, [this] { overdue(); }),
      provider_(std::move(provider)),
      host_port_(std::move(host_port)),
      report_fields_(report_fields),
      parser_(http::Parser::Kind::response, true),
      bytes_(bytes),
      buffer_(&bytes) {}

void Connection::begin(AttemptTag tag, std::shared_ptr<client::ClientRequest> invocation,
                       std::string_view probe_path, double until, double dial_until) {
    tag_ = tag;
    invocation_ = std::move(invocation);
    probe_path_ = probe_path;
    began_ = up_ = net::now();
    idle_s_ = dial_until > 0 ? -1 : began_ - free_since_;
    until_ = until;
    allow_s_ = until - began_;
    whole_ = true;
    calling_ = true;
    written_ = answering_ = false;
    dialling_ = dial_until > 0;
    dial_until_ = dial_until;
    timer_.arm(dialling_ ? std::min(until, dial_until) : until);
}

void Connection::on_open() {
    dialling_ = false;
    up_ = net::now();
    timer_.arm(until_);
    if (invocation_ && invocation_->client_disconnected()) return withdraw();
    // While this program stood still it came up, or its time ran out: a keyed request may come too late
    // now.
    if (up_ > dial_until_) return abandon(AttemptResult::connect_failed);
    write_call();
}

// Who asked has gone while this was dialled.
void Connection::withdraw() {
    const auto keep = shared_from_this();
    CallResult end;
    end.result = AttemptResult::not_started;
    end.client_disconnected = true;
    settle(end);
    free_since_ = net::now();
    host_.on_idle(*this);
    host_.on_call_end(*this, tag_, end);
}

void Connection::write_call() {
    char wait[32], length[48];
    const auto text = [](char* at, std::size_t room, const char* format, auto value) {
        const int size = std::snprintf(at, room, format, value);
        return std::string_view(at, std::min(room - 1, static_cast<std::size_t>(size)));
    };
    bool sent = false;
    if (health_checking()) {
        const std::array<std::string_view, 5> parts{"GET ", probe_path_, " HTTP/1.1\r\nHost: ", host_port_,
                                                    "\r\n\r\n"};
        sent = transport_->send(parts);
    } else {
        const client::ClientRequest& i = *invocation_;
        const bool typed = !i.content_type.empty();
        const bool chunked = i.body_rest && !i.body_length;
        const bool sized = !chunked && (!i.body.empty() || i.method != "GET");
        // Of a request that is still coming the time counts from its last byte.
        const double within = i.body_complete ? until_ - net::now() : std::min(i.timeout_s, allow_s_);
        const double left = std::clamp(within, 0.0, kDeadlineMost);
        const std::array<std::string_view, 17> parts{
            i.method,
            " ",
            i.target,
            " HTTP/1.1\r\nHost: ",
            host_port_,
            "\r\nX-Request-Id: ",
            i.request_id,
            "\r\nX-Deadline: ",
            text(wait, sizeof wait, "%.3f", std::floor(left * 1e3) / 1e3),
            typed ? "\r\nContent-Type: " : "",
            i.content_type,
            i.idempotency_key.empty() ? "" : "\r\nIdempotency-Key: ",
            i.idempotency_key,
            chunked ? "\r\nTransfer-Encoding: chunked"
            : sized ? "\r\nContent-Length: "
                    : "",
            sized ? text(length, sizeof length, "%zu", i.body_rest ? *i.body_length : i.body.size())
                  : std::string_view(),
            "\r\n\r\n",
            i.body_rest ? std::string_view() : i.body};
        sent = transport_->send(parts);
    }
    if (!sent) return on_end(false);
    written_ = true;
    if (health_checking() || !invocation_->body_rest) return;
    const auto keep = shared_from_this();
    whole_ = false;
    const auto rest = invocation_->body_rest;
    if (!invocation_->body.empty()) write(invocation_->body);
    if (calling_) rest->stream_to(std::static_pointer_cast<Connection>(shared_from_this()));
}

// A large request. -------------------------------------------------------------------------------------

bool Connection::write(std::string_view bytes) {
    if (!calling_ || whole_) return true;
    std::array<char, 24> size{};
    std::array<std::string_view, 3> parts{"", bytes, ""};
    if (!invocation_->body_length) {
        const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        parts[0] = {size.data(), static_cast<std::size_t>(digits)};
        parts[2] = "\r\n";
    }
    if (!transport_->send(parts)) {
        on_end(false);
        return true;
    }
    return !transport_->unsent();
}

void Connection::end(bool whole) {
    if (!calling_ || whole_) return;
    if (!whole) return abandon(AttemptResult::cancelled);
    constexpr std::string_view kLast = "0\r\n\r\n";
    if (!invocation_->body_length && !transport_->send({&kLast, 1})) return on_end(false);
    whole_ = true;
    whole_at_ = net::now();
    until_ = std::min(invocation_->deadline_at_s, whole_at_ + allow_s_);
    if (!answering_) timer_.arm(until_);
}

void Connection::on_sent() {
    if (calling_ && !whole_ && invocation_) invocation_->body_rest->resume();
}

// A large answer. --------------------------------------------------------------------------------------

std::span<char> Connection::receive_buffer() {
    if (!passing_) return parser_.room(buffer_);
    return held_ ? std::span<char>() : buffer_.space(kAtOnce);
}

// The call is over with that: what is told of it has been read, and the rest is transport.
void Connection::begin_passing() {
    CallResult end;
    end.result = AttemptResult::ok;
    read_fields(end);
    end.body = parser_.body();
    end.length = parser_.length();
    end.rest = std::static_pointer_cast<Connection>(shared_from_this());
    reader_ = parser_.rest();
    reusable_ = parser_.head().keep_alive && may_have_run() && !parser_.ends_with_connection();
    http::Buffer front = std::move(buffer_);
    const std::string_view raw = front.view().substr(parser_.used());
    const std::span<char> room = buffer_.space(kAtOnce);
    if (raw.size() > room.size()) buffer_.space(raw.size());
    raw.copy(buffer_.data(), raw.size());
    buffer_.commit(raw.size());
    passing_ = held_ = true;
    const AttemptTag tag = tag_;
    settle(end);
    parser_.reset();
    host_.on_call_end(*this, tag, end);
    if (passing_ && sink_.expired()) close();   // nobody wants it
}

void Connection::stream_to(std::weak_ptr<client::BodySink> sink) {
    sink_ = std::move(sink);
    resume();
}

void Connection::resume() {
    if (!passing_ || closed_) return;
    const auto keep = shared_from_this();
    held_ = false;
    timer_.arm(net::now() + kStalled);
    pass_on();
    if (passing_ && !held_) transport_->resume();
}

void Connection::cancel() {
    if (!passing_) return;
    passing_ = false;
    close();
}

void Connection::pass_on() {
    const auto keep = shared_from_this();
    const auto sink = sink_.lock();
    if (!sink) return cancel();
    std::string_view in = buffer_.view(), part;
    while (passing_ && !held_ && !in.empty() && reader_.state() == http::BodyReader::State::more) {
        reader_.feed(in, part);
        if (part.empty()) continue;
        const bool more = sink->write(part);
        if (!passing_) return;   // the sink has gone
        held_ = held_ || !more;
    }
    buffer_.consume(buffer_.view().size() - in.size());
    if (held_) timer_.disarm();   // it is the consumer's time
    if (reader_.state() != http::BodyReader::State::more)
        passed(reader_.state() == http::BodyReader::State::done);
}

// As after a call that was carried whole: the connection is free before its end is told.
void Connection::passed(bool whole) {
    const auto keep = shared_from_this();
    passing_ = false;
    timer_.disarm();
    const auto sink = sink_.lock();
    sink_.reset();
    if (whole && reusable_ && buffer_.view().empty()) {
        buffer_ = http::Buffer(&bytes_);
        free_since_ = net::now();
        host_.on_idle(*this);
    } else {
        close();
    }
    if (sink) sink->end(whole);
}

void Connection::on_bytes(std::size_t size) {
    buffer_.commit(size);
    if (passing_) {
        timer_.arm(net::now() + kStalled);
        return pass_on();
    }
    if (!calling_) return close();   // nothing was asked: what it means can't be told
    look(false);
}

void Connection::look(bool ended) {
    const http::Step step = parser_.feed(buffer_, ended);
    if (step == http::Step::rest_follows && parser_.head().status == 200 && !health_checking() && !ended)
        return begin_passing();
    // Where a head tells no length a clean end of the connection tells it (RFC 9112, section 6.3), and
    // on_end() brings no other here. Of any answer but a 200 the status is enough, at once.
    const bool known =
        parser_.ends_with_connection() && (parser_.head().status != 200 || health_checking());
    if (step != http::Step::more || known) return take(step, ended || parser_.ends_with_connection());
    if (ended || buffer_.view().empty())
        return;   // an interim answer alone: the real one is still to begin
    if (!answering_) timer_.arm(std::min(until_, net::now() + kAnswer));
    answering_ = true;
}

void Connection::take(http::Step step, bool ended) {
    CallResult end;
    // Guards against answers that can't be read: an error that may have run, never a crash or a 200.
    end.result = AttemptResult::error;
    bool reusable = false;
    if (step == http::Step::done || parser_.ends_with_connection()) {
        const http::Head& head = parser_.head();
        read_fields(end);
        if (head.status == 200 && (step == http::Step::done || !parser_.ends_with_connection())) {
            end.result = AttemptResult::ok;
            end.body = parser_.body();
        } else if (head.status == 503 || head.status == 504) {
            const std::string_view* not_run = head.find("x-not-run");
            if (not_run && *not_run == "1") end.result = AttemptResult::rejected;
        }
        end.bad_request = !health_checking() && head.status >= 400 && head.status < 500;
        reusable = head.keep_alive && !ended && may_have_run() && parser_.used() == buffer_.view().size();
    }
    // The connection is free before its outcome is told: a further attempt, which may follow at once, can
    // then use it and need not open another. The views of the answer stay good in the bytes set aside.
    const auto keep = shared_from_this();
    http::Buffer answer = std::move(buffer_);
    parser_.reset();
    const AttemptTag tag = tag_;
    settle(end);
    if (reusable) {
        free_since_ = net::now();
        host_.on_idle(*this);
    } else {
        close();
    }
    host_.on_call_end(*this, tag, end);
    if (buffer_.capacity() == 0 && answer.capacity() <= kKeepMost) {
        answer.clear();
        buffer_ = std::move(answer);
    }
}

void Connection::read_fields(CallResult& end) const {
    const http::Head& head = parser_.head();
    if (const std::string_view* used = head.find("x-ratelimit-used")) {
        double percent = 0;
        if (read_figure(*used, percent)) end.quota_use = 1 + percent;   // the module's figure: 0 means none
    }
    if (const std::string_view* type = head.find("content-type")) end.content_type = *type;
    const std::string_view* load = head.find("x-load");
    std::string_view row = load ? *load : health_checking() ? parser_.body() : std::string_view();
    if (row.empty() || report_fields_.empty()) return;
    if (row.starts_with("X-Load:")) row.remove_prefix(7);
    end.report.assign(report_fields_.size(), std::numeric_limits<double>::quiet_NaN());
    bool any = false;
    while (!row.empty()) {
        const std::size_t comma = std::min(row.find(','), row.size());
        std::string_view pair = row.substr(0, comma);
        row.remove_prefix(std::min(comma + 1, row.size()));
        while (pair.starts_with(' ')) pair.remove_prefix(1);
        const std::size_t mark = pair.find('=');
        if (mark == std::string_view::npos) continue;
        const auto field = std::find(report_fields_.begin(), report_fields_.end(), pair.substr(0, mark));
        if (field == report_fields_.end()) continue;
        double value = 0;
        if (!read_figure(pair.substr(mark + 1), value)) continue;
        end.report[static_cast<std::size_t>(field - report_fields_.begin())] = value;
        any = true;
    }
    if (!any) end.report.clear();
}

void Connection::settle(CallResult& end) {
    timer_.disarm();
    calling_ = false;
    if (invocation_ && invocation_->body_rest) {
        end.write_duration_s = (whole_ ? whole_at_ : net::now()) - began_;
        if (!whole_) invocation_->body_rest->stream_to({});   // it holds on, for another try or the answer
    }
    end.duration_s = net::now() - began_;
    end.idle_s = idle_s_;
    invocation_.reset();
}

void Connection::abandon(AttemptResult outcome) {
    const auto keep = shared_from_this();
    // What was not written whole can't have run, whoever stopped waiting.
    CallResult end;
    end.result =
        may_have_run() || outcome == AttemptResult::not_started ? outcome : AttemptResult::connect_failed;
    give_up(end);
}

void Connection::give_up(CallResult& end) {
    close();   // before the outcome is told: no second copy while this one is out
    if (!calling_) return;
    settle(end);
    host_.on_call_end(*this, tag_, end);
}

// A spoilt answer has run and may be tried elsewhere, which a silent provider's call may not.
void Connection::overdue() {
    if (passing_) return passed(false);
    abandon(answering_ && net::now() < until_ ? AttemptResult::error : AttemptResult::timeout);
}

void Connection::on_end(bool clean) {
    const auto keep = shared_from_this();
    if (passing_) return passed(clean && reader_.ends_with_connection());
    // Bytes that wait when the connection ends may be a whole answer; a part of one is a reset, and so is
    // one that only a clean end could have ended.
    if (calling_ && written_ && (clean || !parser_.ends_with_connection())) look(true);
    if (!calling_) return close();
    CallResult end;
    end.result = may_have_run() ? AttemptResult::reset : AttemptResult::connect_failed;
    end.reset_before_response = !dialling_ && !answering_ && net::now() - up_ < kResetAtOnce;
    give_up(end);
}

void Connection::close() {
    if (std::exchange(closed_, true)) return;
    const auto keep = shared_from_this();
    timer_.disarm();
    transport_->close();
    host_.on_closed(*this);
}

}   // namespace slatejunction::backend
