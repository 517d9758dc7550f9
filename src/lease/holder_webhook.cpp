#include "lease/holder_webhook.hpp"

#include <array>
#include <cstdio>

namespace slatejunction::lease {

// One connection, kept between calls. An answer is known by its head.
struct HolderWebhook::Link final : net::Protocol {
    explicit Link(HolderWebhook& owner) : owner_(owner), parser_(http::Parser::Kind::response) {}

    void on_open() override {
        up = true;
        call();
    }
    // Whoever was stopped between the permit and the write is told by the number, nothing else can.
    void call() {
        Permit permit;
        if (!owner_.permit_(permit)) return owner_.ended(-1);
        owner_.last_ = permit;
        char body[200];
        const int size =
            std::snprintf(body, sizeof body, "{\"holder\":\"%s\",\"number\":%llu,\"sequence\":%llu}",
                          owner_.name_.c_str(), static_cast<unsigned long long>(permit.fencing_token),
                          static_cast<unsigned long long>(++owner_.sequence_));
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
        busy = true;
        const std::pair<std::string_view, std::string> fields[] = {
            {"lease", "conductor"},
            {"number", std::to_string(permit.fencing_token)},
            {"sequence", std::to_string(owner_.sequence_)}};
        owner_.log_.event("act_begin", fields);
        if (!stream.send(parts)) on_end(false);
    }
    std::span<char> receive_buffer() override { return parser_.room(buffer_); }
    void on_bytes(std::size_t size) override {
        const auto keep = shared_from_this();
        buffer_.commit(size);
        const http::Step step = parser_.feed(buffer_);
        if (step == http::Step::more && !parser_.has_head()) return;
        const int status = step == http::Step::bad || !busy ? 0 : parser_.head().status;
        const bool reusable = step == http::Step::done && parser_.head().keep_alive && busy;
        busy = false;
        parser_.reset();
        buffer_.clear();
        if (!reusable) lose();
        owner_.ended(status);
    }
    void on_end(bool) override {
        const auto keep = shared_from_this();
        const bool was = busy || !up;
        lose();
        if (was) owner_.ended(0);
    }
    void lose() {
        stream.close();
        busy = false;
        if (owner_.link_.get() == this) owner_.link_.reset();
    }

    HolderWebhook& owner_;
    net::Stream stream{*this};
    http::Parser parser_;
    http::Buffer buffer_;
    bool busy = false, up = false;
};

HolderWebhook::HolderWebhook(const std::string& url, double every_s, std::string name, double most_s,
                             std::function<bool(Permit&)> permit, net::Timers& timers, Log& log)
    : every_s_(every_s),
      most_s_(most_s),
      name_(std::move(name)),
      permit_(std::move(permit)),
      log_(log),
      timer_(timers, [this] { due(); }),
      most_(timers, [this] {
          if (const auto link = link_) link->lose();
          ended(0);
      }) {
    remotewrite::read_url(url, url_);
    address_ = net::parse_address(url_.host_port);
}

HolderWebhook::~HolderWebhook() {
    if (link_) link_->stream.close();
}

void HolderWebhook::set_held(bool held) {
    held_ = held;
    if (held) return timer_.arm(net::now());
    timer_.disarm();
    most_.disarm();
    if (const auto link = link_) link->lose();   // what it had begun is not waited for
}

void HolderWebhook::due() {
    if (!held_) return;
    if (link_ && (link_->busy || link_->stream.readable())) link_->lose();
    most_.arm(net::now() + most_s_);
    if (link_) return link_->call();
    link_ = std::make_shared<Link>(*this);
    const auto keep = link_;
    if (!keep->stream.dial(address_.get())) keep->on_end(false);
}

// `status`: 0: none came, below 0: not begun.
void HolderWebhook::ended(int status) {
    most_.disarm();
    if (status >= 0) {
        const std::pair<std::string_view, std::string> fields[] = {
            {"lease", "conductor"},
            {"number", std::to_string(last_.fencing_token)},
            {"sequence", std::to_string(sequence_)},
            {"status", std::to_string(status)}};
        log_.event("act_end", fields);
    }
    taken_ += status / 100 == 2;
    if (status == 409) {
        ++fenced_;
        log_.write(Log::Level::warning, net::now(),
                   "lease: an act with number %llu came too late and was turned down",
                   static_cast<unsigned long long>(last_.fencing_token));
    }
    const bool failed = status >= 0 && status / 100 != 2 && status != 409;
    failed_ += failed;
    if (failed && !std::exchange(failing_, true))
        log_.write(Log::Level::warning, net::now(), "announce: %s takes nothing (status %d)",
                   url_.host_port.c_str(), status);
    if (status / 100 == 2) failing_ = false;
    if (held_) timer_.arm(net::now() + every_s_);
}

}   // namespace slatejunction::lease
