#include "lease/holder_webhook.hpp"

#include <array>
#include <cstdio>

namespace slatejunction::lease {
namespace {

constexpr int kStatusConflict = 409;
constexpr char kLeaseName[] = "conductor";   // in the log events
constexpr std::size_t kMaxBodyBytes = 200;

bool is_success(int status) { return status / 100 == 2; }

}   // namespace

// One connection, which is reused for later calls. A call ends when the head of its response has arrived.
struct HolderWebhook::Connection final : net::Protocol {
    explicit Connection(HolderWebhook& owner) : owner_(owner), parser_(http::Parser::Kind::response) {}

    void on_open() override {
        connected = true;
        send_call();
    }

    void send_call() {
        Permit permit;
        if (!owner_.permit_(permit)) return owner_.on_call_finished(kNotPermitted);
        owner_.last_permit_ = permit;
        ++owner_.sequence_;
        char body[kMaxBodyBytes];
        const int size = std::snprintf(
            body, sizeof body, "{\"holder\":\"%s\",\"number\":%llu,\"sequence\":%llu}",
            owner_.holder_name_.c_str(), static_cast<unsigned long long>(permit.fencing_token),
            static_cast<unsigned long long>(owner_.sequence_));
        const std::string length = std::to_string(size);
        const std::array<std::string_view, 8> parts{
            "POST ",
            owner_.url_.path,
            " HTTP/1.1\r\nHost: ",
            owner_.url_.host_port,
            "\r\nContent-Type: application/json\r\nContent-Length: ",
            length,
            "\r\n\r\n",
            std::string_view(body, static_cast<std::size_t>(size))};
        awaiting_response = true;
        owner_.log_call_begin();
        if (!stream.send(parts)) on_end(false);
    }

    std::span<char> receive_buffer() override { return parser_.receive_space(buffer_); }

    void on_bytes(std::size_t size) override {
        const auto self = shared_from_this();
        buffer_.commit(size);
        const http::ParseResult step = parser_.feed(buffer_);
        if (step == http::ParseResult::need_more && !parser_.has_head()) return;
        const bool is_response = step != http::ParseResult::malformed && awaiting_response;
        const int status = is_response ? parser_.head().status : kNoResponse;
        const bool reusable =
            step == http::ParseResult::done && parser_.head().keep_alive && awaiting_response;
        awaiting_response = false;
        parser_.reset();
        buffer_.clear();
        if (!reusable) close();
        owner_.on_call_finished(status);
    }

    void on_end(bool) override {
        const auto self = shared_from_this();
        const bool call_failed = awaiting_response || !connected;
        close();
        if (call_failed) owner_.on_call_finished(kNoResponse);
    }

    void close() {
        stream.close();
        awaiting_response = false;
        if (owner_.connection_.get() == this) owner_.connection_.reset();
    }

    HolderWebhook& owner_;
    net::Stream stream{*this};
    http::Parser parser_;
    http::Buffer buffer_;
    bool awaiting_response = false, connected = false;
};

HolderWebhook::HolderWebhook(const std::string& url, double interval_s, std::string holder_name,
                             double call_timeout_s, std::function<bool(Permit&)> permit,
                             net::Timers& timers, Log& log)
    : interval_s_(interval_s),
      call_timeout_s_(call_timeout_s),
      holder_name_(std::move(holder_name)),
      permit_(std::move(permit)),
      log_(log),
      interval_timer_(timers, [this] { start_call(); }),
      call_timeout_timer_(timers, [this] { on_call_timeout(); }) {
    remotewrite::read_url(url, url_);
    address_ = net::parse_address(url_.host_port);
}

HolderWebhook::~HolderWebhook() {
    if (connection_) connection_->stream.close();
}

void HolderWebhook::set_held(bool held) {
    held_ = held;
    if (held) return interval_timer_.arm(net::now());
    interval_timer_.disarm();
    call_timeout_timer_.disarm();
    if (const auto connection = connection_) connection->close();
}

void HolderWebhook::start_call() {
    if (!held_) return;
    if (connection_ && (connection_->awaiting_response || connection_->stream.readable()))
        connection_->close();
    call_timeout_timer_.arm(net::now() + call_timeout_s_);
    if (connection_) return connection_->send_call();
    connection_ = std::make_shared<Connection>(*this);
    const auto connection = connection_;
    if (!connection->stream.dial(address_.get())) connection->on_end(false);
}

void HolderWebhook::on_call_timeout() {
    if (const auto connection = connection_) connection->close();
    on_call_finished(kNoResponse);
}

// `status` is that of the response, kNoResponse or kNotPermitted.
void HolderWebhook::on_call_finished(int status) {
    call_timeout_timer_.disarm();
    if (status != kNotPermitted) log_call_end(status);
    if (is_success(status)) {
        ++accepted_;
        failure_logged_ = false;
    } else if (status == kStatusConflict) {
        ++fenced_;
        log_.write(
            Log::Level::warning, net::now(),
            "announce: the receiver rejected the call because fencing token %llu is too low (status 409)",
            static_cast<unsigned long long>(last_permit_.fencing_token));
    } else if (status != kNotPermitted) {
        ++failed_;
        if (!std::exchange(failure_logged_, true))
            log_.write(Log::Level::warning, net::now(),
                       "announce: call to %s failed (status %d, 0: no response)", url_.host_port.c_str(),
                       status);
    }
    if (held_) interval_timer_.arm(net::now() + interval_s_);
}

void HolderWebhook::log_call_begin() const {
    const std::pair<std::string_view, std::string> fields[] = {
        {"lease", kLeaseName},
        {"number", std::to_string(last_permit_.fencing_token)},
        {"sequence", std::to_string(sequence_)}};
    log_.event("act_begin", fields);
}

void HolderWebhook::log_call_end(int status) const {
    const std::pair<std::string_view, std::string> fields[] = {
        {"lease", kLeaseName},
        {"number", std::to_string(last_permit_.fencing_token)},
        {"sequence", std::to_string(sequence_)},
        {"status", std::to_string(status)}};
    log_.event("act_end", fields);
}

}   // namespace slatejunction::lease
