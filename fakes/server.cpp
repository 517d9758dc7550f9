#include "server.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

namespace fakes {

namespace net = slatejunction::net;

namespace {

constexpr std::size_t kMessageMost = 64 << 20;

std::string trimmed(std::string text) {
    while (!text.empty() && (text.back() == ' ' || text.back() == '\r')) text.pop_back();
    text.erase(0, std::min(text.find_first_not_of(' '), text.size()));
    return text;
}

}   // namespace

std::string Request::field(const std::string& lower) const {
    return fields.count(lower) == 1 ? fields.find(lower)->second : std::string();
}

Client::Client(Server& server, net::Timers& timers)
    : server_(server), timer_(timers, [this] {
          const auto keep = shared_from_this();
          if (const auto call = std::exchange(later_, {})) call();
      }) {}

void Client::later(double s, std::function<void()> call) {
    later_ = std::move(call);
    timer_.arm(net::now() + s);
}

std::span<char> Client::receive_buffer() { return receive_bytes_; }

void Client::on_bytes(std::size_t size) {
    in_.append(receive_bytes_, size);
    if (in_.size() > std::min(kMessageMost, server_.cut_after)) return end();
    look();
}

void Client::look() {
    while (!busy_ && !closing_ && stream.open()) {
        const std::size_t head_end = in_.find("\r\n\r\n");
        if (head_end == std::string::npos) return;
        Request request;
        std::size_t at = in_.find("\r\n");
        const std::string first = in_.substr(0, at);
        const std::size_t one = first.find(' '), two = first.rfind(' ');
        if (one == std::string::npos || two == one) return end();
        request.method = first.substr(0, one);
        request.target = first.substr(one + 1, two - one - 1);
        while (at < head_end) {
            const std::size_t next = in_.find("\r\n", at + 2);
            const std::string line = in_.substr(at + 2, next - at - 2);
            at = next;
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) return end();
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            request.fields.emplace(name, trimmed(line.substr(colon + 1)));
        }
        const std::size_t size = std::strtoul(request.field("content-length").c_str(), nullptr, 10);
        if (in_.size() < head_end + 4 + size) return;
        request.body = in_.substr(head_end + 4, size);
        in_.erase(0, head_end + 4 + size);
        busy_ = true;
        ++requests;
        server_.handler_(std::static_pointer_cast<Client>(shared_from_this()), request);
    }
}

// The context ends first: what the owner counts by it is over when the peer hears.
void Client::answer(int status, const std::string& body, const std::string& fields, bool close) {
    context.reset();
    send("HTTP/1.1 " + std::to_string(status) +
         " Stand-in\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields +
         (close ? "Connection: close\r\n" : "") + "\r\n" + body);
    if (close) return finish();
    busy_ = false;
    look();
}

void Client::send(const std::string& bytes) {
    const std::string_view part = bytes;
    if (stream.open() && !stream.send({&part, 1})) end();
}

void Client::finish() {
    closing_ = true;
    if (stream.open() && !stream.unsent()) stream.shutdown_send();
}

void Client::on_sent() {
    if (closing_) stream.shutdown_send();
}

void Client::reset() {
    const linger hard{1, 0};
    if (stream.open()) ::setsockopt(stream.descriptor(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    end();
}

void Client::end() {
    const auto keep = shared_from_this();
    timer_.disarm();
    later_ = {};
    context.reset();
    stream.close();
    server_.clients_.erase(std::static_pointer_cast<Client>(keep));
}

void Client::on_end(bool) { end(); }

Server::Server(net::Timers& timers, Handler handler) : timers_(timers), handler_(std::move(handler)) {}

Server::~Server() { end_all(); }

bool Server::start(const std::string& address, std::string& why) {
    listener_ = std::make_unique<net::Listener>(
        timers_, [] { return true; }, [this](net::Ref<GSocket> socket) { take(std::move(socket)); },
        [](const char*) {});
    return listener_->start(address, why);
}

void Server::stop() { listener_.reset(); }

void Server::end_all() {
    while (!clients_.empty()) (*clients_.begin())->end();
}

void Server::end_idle() {
    const auto all = clients_;
    for (const auto& client : all)
        if (client->idle()) client->end();
}

void Server::take(net::Ref<GSocket> socket) {
    const auto client = std::make_shared<Client>(*this, timers_);
    clients_.insert(client);
    ++accepted;
    client->stream.adopt(std::move(socket));
}

}   // namespace fakes
