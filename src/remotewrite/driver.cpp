#include "remotewrite/driver.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <stdexcept>

#include "http/message.hpp"

namespace slatejunction::remotewrite {
namespace {

template <class T>
bool read(std::string_view text, T& value) {
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && fault == std::errc() && end == text.data() + text.size();
}

// An idle connection is closed for a longer interval between batches: every open one is polled in each
// iteration.
constexpr double kMaxIdleS = 2;

double unix_s() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}   // namespace

// One connection. The head decides about an answer; its body is used only as far as it arrived with the
// head, so that an endless or slow body costs nothing. Such a connection is not reused.
struct Driver::Connection final : net::Protocol {
    explicit Connection(Driver& driver) : driver_(driver), parser_(http::Parser::Kind::response) {}

    void write(const Batch& batch) {
        char length[48];
        const std::string_view sized(
            length, static_cast<std::size_t>(std::snprintf(
                        length, sizeof length, "Content-Length: %zu\r\n\r\n", batch.body.size())));
        const bool v2 = batch.protocol == remotewrite::Protocol::v2;
        const bool known = !driver_.authorization_.empty();
        const std::array<std::string_view, 13> parts{
            "POST ",
            driver_.url_.path,
            " HTTP/1.1\r\nHost: ",
            driver_.url_.host_port,
            "\r\nUser-Agent: slatejunction/",
            driver_.version_,
            "\r\nContent-Encoding: snappy\r\nContent-Type: ",
            v2 ? "application/x-protobuf;proto=io.prometheus.write.v2.Request" : "application/x-protobuf",
            v2 ? "\r\nX-Prometheus-Remote-Write-Version: 2.0.0\r\n"
               : "\r\nX-Prometheus-Remote-Write-Version: 0.1.0\r\n",
            known ? "Authorization: " : "",
            driver_.authorization_,
            known ? "\r\n" : "",
            sized};
        busy = true;
        if (!stream.send(parts)) return on_end(false);
        const std::string_view body = batch.body;
        if (!stream.send({&body, 1})) on_end(false);
    }

    void on_open() override {
        connecting = false;
        if (pending) write(*std::exchange(pending, nullptr));
    }
    std::span<char> receive_buffer() override { return parser_.receive_space(buffer_); }
    void on_bytes(std::size_t size) override {
        buffer_.commit(size);
        if (!busy) return close();   // unsolicited
        on_response(parser_.feed(buffer_));
    }
    void on_end(bool) override {
        const bool was_busy = busy || connecting;
        const char* what = connecting ? "no connection" : "the connection broke";
        const auto self = shared_from_this();
        close();
        if (was_busy) driver_.on_answer({Answer::How::broke, 0, -1, -1}, what);
    }

    void on_response(http::ParseResult step) {
        if (step == http::ParseResult::need_more && !parser_.has_head()) return;
        const auto self = shared_from_this();
        if (step == http::ParseResult::malformed || step == http::ParseResult::head_too_large) {
            close();
            return driver_.on_answer({Answer::How::broke, 0, -1, -1}, "an answer that can't be read");
        }
        Answer answer;
        const http::Head& head = parser_.head();
        answer.status = head.status;
        if (const auto* wait = head.find("retry-after"))
            if (double seconds = 0; read(*wait, seconds) && std::isfinite(seconds) && seconds >= 0)
                answer.retry_after_s = seconds;
        if (const auto* written = head.find("x-prometheus-remote-write-samples-written"))
            if (std::int64_t count = 0; read(*written, count) && count >= 0) answer.written = count;
        std::string what = "status " + std::to_string(head.status);
        if (head.status / 100 != 2) {
            std::string_view text = parser_.body().substr(0, 120);
            text = text.substr(0, text.find_first_of("\r\n"));
            if (!text.empty()) what += ": " + std::string(text);
        }
        const bool reusable = step == http::ParseResult::done && head.keep_alive && !stream.unsent() &&
                              parser_.used() == buffer_.view().size();
        busy = false;
        parser_.reset();
        buffer_.clear();
        if (!reusable) close();
        driver_.on_answer(answer, what);
    }
    void close() {
        stream.close();
        busy = false;
        connecting = false;
        pending = nullptr;
        if (driver_.connection_.get() == this) driver_.connection_.reset();
    }

    Driver& driver_;
    net::Stream stream{*this};
    http::Parser parser_;
    http::Buffer buffer_;
    const Batch* pending = nullptr;
    bool busy = false, connecting = false;
};

Driver::Driver(const Settings& settings, std::uint64_t seed, std::string version, net::Timers& timers,
               Log& log)
    : settings_(settings),
      version_(std::move(version)),
      sender_(settings, seed),
      log_(log),
      timers_(timers),
      timer_(timers, [this] { on_timer(); }),
      store_timer_(timers, [this] { store_frames(); }) {
    last_success_ = unix_s();
    configure(settings);
    if (settings.backlog_directory.empty()) return;
    backlog_ = std::make_unique<Backlog>(settings.backlog_directory, sender_);
    const auto& found = backlog_->found();
    const double now = net::now();
    if (backlog_->restored() > 0)
        log_.write(Log::Level::info, now, "remote write: %zu frames of an earlier process wait",
                   backlog_->restored());
    for (const std::string& path : found.broken)
        log_.write(Log::Level::error, now, "remote write: a broken backlog was put aside as %s",
                   path.c_str());
    if (found.cut_bytes > 0)
        log_.write(Log::Level::warning, now,
                   "remote write: %zu bytes of the backlog were cut off and are lost", found.cut_bytes);
    store_frames();
}

// Stores new frames in the backlog, a few at a time.
void Driver::store_frames() {
    if (!backlog_) return;
    const bool all = backlog_->follow();
    const bool failing = backlog_->failing();
    if (failing && !backlog_failure_logged_)
        log_.write(Log::Level::error, net::now(),
                   "remote write: the backlog's folder can't be written, samples wait in memory alone: %s",
                   backlog_->why().c_str());
    if (!failing && backlog_failure_logged_)
        log_.write(Log::Level::info, net::now(), "remote write: the backlog's folder is written again");
    backlog_failure_logged_ = failing;
    if (!all && !failing) store_timer_.arm(net::now());
}

Driver::~Driver() {
    if (connection_) connection_->stream.close();
}

void Driver::configure(const Settings& settings) {
    std::string why = read_url(settings.url, url_);
    const std::string authorization = remotewrite::authorization(settings, why);
    if (!why.empty()) throw std::runtime_error("remote_write: " + why);
    const bool receiver_changed = settings.url != settings_.url || authorization != authorization_;
    settings_ = settings;
    authorization_ = authorization;
    address_ = net::parse_address(url_.host_port);
    sender_.configure(settings);
    if (!receiver_changed) return;
    if (const auto connection = connection_) connection->close();
    sender_.on_receiver_changed(net::now());
    pump();
}

void Driver::add(Frame frame) {
    sender_.add(std::move(frame));
    store_frames();
    pump();
}

void Driver::finish(double most_s, std::function<void()> done) {
    finish_by_ = net::now() + most_s;
    done_ = std::move(done);
    pump();
}

void Driver::pump() {
    const double now = net::now();
    if (done_ && (sender_.empty() || now >= finish_by_)) {
        while (backlog_ && !backlog_->follow() && !backlog_->failing()) {
        }
        if (!sender_.empty())
            log_.write(Log::Level::warning, now, "remote write: stopping with %zu frames not sent%s",
                       sender_.frames(),
                       backlog_ && !backlog_->failing() ? ", kept for the next start" : "");
        if (connection_) connection_->close();
        backlog_.reset();
        store_timer_.disarm();
        sender_.give_up();
        timer_.disarm();
        return std::exchange(done_, {})();
    }
    if (const Batch* batch = sender_.next(now)) {
        batch_timeout_at_ = now + settings_.timeout_s;
        send(*batch);
    }
    arm();
}

void Driver::arm() {
    double at = sender_.in_flight() ? batch_timeout_at_ : sender_.next_deadline();
    if (done_) at = std::min(at, finish_by_);
    if (std::isfinite(at))
        timer_.arm(at);
    else
        timer_.disarm();
}

void Driver::send(const Batch& batch) {
    if (connection_ && connection_->stream.readable())
        connection_->close();   // closed by the receiver meanwhile
    if (connection_) return connection_->write(batch);
    connection_ = std::make_shared<Connection>(*this);
    const auto self = connection_;
    connection_->pending = &batch;
    connection_->connecting = true;
    if (!self->stream.dial(address_.get())) self->on_end(false);
}

void Driver::on_timer() {
    if (sender_.in_flight() && net::now() >= batch_timeout_at_) {
        if (const auto connection = connection_) connection->close();
        return on_answer({Answer::How::timed_out, 0, -1, -1}, "no answer in time");
    }
    pump();
}

void Driver::on_answer(const Answer& answer, const std::string& what) {
    const double now = net::now();
    const bool accepted = answer.how == Answer::How::answered && answer.status / 100 == 2;
    const std::uint64_t rejected = sender_.tally().rejected;
    sender_.on_answer(now, answer);
    store_frames();
    if (accepted && sender_.empty() && settings_.interval_s > kMaxIdleS && connection_)
        connection_->close();
    if (accepted) last_success_ = unix_s();
    if (sender_.tally().rejected != rejected)
        log_.write(Log::Level::error, now, "remote write: %llu samples turned down: %s",
                   static_cast<unsigned long long>(sender_.tally().rejected - rejected), what.c_str());
    else if (!accepted && !std::exchange(failure_logged_, true))
        log_.write(Log::Level::warning, now, "remote write: %s; it is tried again", what.c_str());
    else if (accepted && std::exchange(failure_logged_, false))
        log_.write(Log::Level::info, now, "remote write: the receiver takes samples again, %zu frames wait",
                   sender_.frames());
    // The next batch is sent by the timer: sent from here it could fail at once, in an endless recursion.
    const double at = sender_.next_deadline();
    if (done_)
        timer_.arm(std::min(at, std::min(finish_by_, sender_.empty() ? now : finish_by_)));
    else if (std::isfinite(at))
        timer_.arm(std::max(at, now));
    else
        timer_.disarm();
}

}   // namespace slatejunction::remotewrite
