#include "hot_restart/restart_channel.hpp"

#include <gio/gunixfdmessage.h>
#include <gio/gunixsocketaddress.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <vector>

#include "http/message.hpp"
#include "net/stream.hpp"

namespace slatejunction::hot_restart {
namespace {

constexpr double kTick = 0.05;     // s; how often each tells what it holds, where that has changed
constexpr double kAnswer = 1.5;    // s; for an old process's answer: it may be busy
constexpr int kPauseMs = 100;      // before asking again one that is busy
constexpr double kConfirm = 0.6;   // s; for an order: operators wait 1 s
constexpr std::size_t kStrangersMost = 8;
constexpr int kPriority = G_PRIORITY_HIGH;

net::Ref<GSocketAddress> unix_address(const std::string& path) {
    return net::Ref<GSocketAddress>(g_unix_socket_address_new(path.c_str()));
}

net::Ref<GSocket> unix_socket() {
    return net::Ref<GSocket>(
        g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_DEFAULT, nullptr));
}

// Guards against another user's process at a path that all may write to.
bool same_user(GSocket* socket) {
    net::Ref<GCredentials> theirs(g_socket_get_credentials(socket, nullptr));
    net::Ref<GCredentials> ours(g_credentials_new());
    return theirs && g_credentials_is_same_user(theirs.get(), ours.get(), nullptr);
}

// Only one that listens may stand for the listening socket.
net::Ref<GSocket> listening_of(int fd) {
    int listens = 0;
    socklen_t size = sizeof listens;
    if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0) return nullptr;
    return net::Ref<GSocket>(g_socket_new_from_fd(fd, nullptr));
}

// Takes the first descriptor that listens, closes all others.
void take_descriptors(GSocketControlMessage* control, net::Ref<GSocket>& listening) {
    if (!G_IS_UNIX_FD_MESSAGE(control)) return;
    gint count = 0;
    gint* const all = g_unix_fd_message_steal_fds(G_UNIX_FD_MESSAGE(control), &count);
    for (gint i = 0; i < count; ++i) {
        auto made = listening ? nullptr : listening_of(all[i]);
        if (made)
            listening = std::move(made);
        else
            ::close(all[i]);
    }
    g_free(all);
}

// What has come, and the descriptor with it. False: nothing more will.
bool receive(GSocket* socket, std::string& got, net::Ref<GSocket>& listening) {
    std::vector<char> bytes(64 * 1024);
    GInputVector vector{bytes.data(), bytes.size()};
    GSocketControlMessage** controls = nullptr;
    gint count = 0;
    const gssize size =
        g_socket_receive_message(socket, nullptr, &vector, 1, &controls, &count, nullptr, nullptr, nullptr);
    for (gint i = 0; i < count; ++i)
        take_descriptors(net::Ref<GSocketControlMessage>(controls[i]).get(), listening);
    g_free(controls);
    if (size > 0) got.append(bytes.data(), static_cast<std::size_t>(size));
    return size > 0;
}

}   // namespace

std::string socket_path(const std::string& directory, const std::string& listen) {
    std::string name = listen;
    std::replace_if(
        name.begin(), name.end(), [](char c) { return c == ':' || c == '/'; }, '_');
    std::string path = directory + "/slatejunction-" + name + ".sock";
    // Two bytes more: it is made under a name of its own first.
    return path.size() + 2 < sizeof(sockaddr_un::sun_path) ? path : std::string();
}

// One connection between two processes: lines in, lines out.
class RestartChannel::Link : public net::Protocol {
  public:
    explicit Link(RestartChannel& owner) : owner_(owner) {}
    void adopt(net::Ref<GSocket> socket, std::string_view ahead = {}) {
        if (!ahead.empty()) {
            const auto room = buffer_.space(ahead.size());
            ahead.copy(room.data(), ahead.size());
            buffer_.commit(ahead.size());
        }
        stream_.adopt(std::move(socket));
    }
    bool send(const RestartMessage& message) {
        const std::string line = write(message);
        const std::string_view part = line;
        return stream_.send({&part, 1});
    }
    int descriptor() const { return stream_.descriptor(); }
    void close() {
        closed_ = true;
        stream_.close();
    }
    void read_lines() {
        while (!closed_) {
            const std::string_view text = buffer_.view();
            const std::size_t end = text.find('\n');
            if (end == std::string_view::npos) {
                if (text.size() > kLineMost) break_off();
                return;
            }
            const std::string line(text.substr(0, end));
            buffer_.consume(end + 1);
            owner_.on_line(*this, line);
        }
    }
    // Noise: there is no one there that could be understood.
    void break_off() {
        if (closed_) return;
        const auto keep = shared_from_this();
        close();
        owner_.on_gone(*this);
    }

    std::span<char> receive_buffer() override { return buffer_.space(4096); }
    void on_bytes(std::size_t size) override {
        buffer_.commit(size);
        read_lines();
    }
    void on_end(bool) override { break_off(); }

  private:
    RestartChannel& owner_;
    net::Stream stream_{*this, kPriority};
    http::Buffer buffer_;
    bool closed_ = false;
};

RestartChannel::RestartChannel(RestartHost& host, net::Timers& timers, Log& log, std::string directory,
                               std::string name, std::string listen)
    : host_(host),
      log_(log),
      directory_(std::move(directory)),
      path_(directory_.empty() ? std::string() : socket_path(directory_, listen)),
      name_(std::move(name)),
      listen_(std::move(listen)),
      ticker_(timers, [this] { tick(); }) {}

RestartChannel::~RestartChannel() {
    if (peer_) peer_->close();
    for (const auto& [key, link] : strangers_) link->close();
    remove_path();
}

// The new process's side at its start. -----------------------------------------------------------------

bool RestartChannel::request_takeover(RestartMessage& state, net::Ref<GSocket>& listening) {
    if (path_.empty()) {
        log_.write(Log::Level::info, net::now(), "handover: off, %s",
                   directory_.empty() ? "TMPDIR is not set" : "TMPDIR is too long for a socket's path");
        return false;
    }
    const double until = net::now() + takeover_bound_s();
    Answer answer = Answer::nobody;
    for (;;) {
        answer = ask_once(std::min(until, net::now() + kAnswer), state, listening);
        if (answer == Answer::given) return true;
        listening.reset();
        if (answer == Answer::nobody) return false;
        if (answer != Answer::busy || net::now() + kPauseMs / 1000.0 > until) break;
        ::poll(nullptr, 0, kPauseMs);
    }
    log_.write(
        Log::Level::warning, net::now(), "handover: %s; this process listens by itself",
        answer == Answer::busy ? "another process is taking over" : "the process there gave no answer");
    return false;
}

RestartChannel::Answer RestartChannel::ask_once(double until, RestartMessage& state,
                                                net::Ref<GSocket>& listening) {
    auto socket = unix_socket();
    if (!socket) return Answer::nobody;
    g_socket_set_blocking(socket.get(), FALSE);
    const auto address = unix_address(path_);
    GError* fault = nullptr;
    const bool up = g_socket_connect(socket.get(), address.get(), nullptr, &fault);
    const net::Error error(fault);
    // Without room for a call it has stood still for many of them: GIO's sockets never wait in connect(2).
    if (!up)
        return g_error_matches(fault, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) ? Answer::unclear
                                                                          : Answer::nobody;
    if (!same_user(socket.get())) {
        log_.write(Log::Level::warning, net::now(), "handover: another user's process at %s",
                   path_.c_str());
        return Answer::nobody;
    }
    RestartMessage hello;
    hello.name = name_;
    hello.listen = listen_;
    const std::string line = write(hello);
    g_socket_send(socket.get(), line.data(), line.size(), nullptr, nullptr);
    return hear(socket, until, state, listening);
}

// Reads until there is an answer, or the time is up.
RestartChannel::Answer RestartChannel::hear(net::Ref<GSocket>& socket, double until, RestartMessage& state,
                                            net::Ref<GSocket>& listening) {
    std::string got;
    for (;;) {
        const double left = until - net::now();
        if (left <= 0 || !g_socket_condition_timed_wait(socket.get(), G_IO_IN,
                                                        static_cast<gint64>(left * 1e6), nullptr, nullptr))
            return Answer::unclear;
        if (!receive(socket.get(), got, listening)) return Answer::unclear;
        for (std::size_t end; (end = got.find('\n')) != std::string::npos;) {
            const std::string line = got.substr(0, end);
            got.erase(0, end + 1);
            RestartMessage message;
            if (!read(line, message)) return Answer::unclear;
            if (message.kind == RestartMessage::Kind::busy) return Answer::busy;
            if (message.kind != RestartMessage::Kind::state) continue;
            if (!listening) return Answer::unclear;
            state = std::move(message);
            role_.took_over();
            settled_ = role_.state();
            peer_ = std::make_shared<Link>(*this);
            peer_->adopt(std::move(socket), got);
            return Answer::given;
        }
        if (got.size() > kLineMost) return Answer::unclear;
    }
}

void RestartChannel::start() {
    own_path(role_.answers());
    if (peer_) {
        ticker_.arm(net::now() + kTick);
        const auto keep = peer_;
        keep->read_lines();   // what came with the state
    }
}

void RestartChannel::ready_to_accept() {
    if (!role_.prepared()) return;
    const auto keep = peer_;
    RestartMessage taken;
    taken.kind = RestartMessage::Kind::taken;
    settle();   // accepts first, so that there is never nobody
    if (keep) keep->send(taken);
}

// The path. --------------------------------------------------------------------------------------------

void RestartChannel::own_path(bool own) {
    if (path_.empty() || own == (socket_ != nullptr)) return;
    if (!own) {   // the file is the other process's by now, or will be
        source_.reset();
        socket_.reset();
        return;
    }
    std::string why;
    if (bind_path(why)) return;
    socket_.reset();
    log_.write(Log::Level::warning, net::now(), "handover: off, no socket at %s: %s", path_.c_str(),
               why.c_str());
}

// Made under another name and moved there, so that there is always one, whoever's.
bool RestartChannel::bind_path(std::string& why) {
    const std::string fresh = path_ + "~";
    ::unlink(fresh.c_str());
    socket_ = unix_socket();
    if (!socket_) return why = "no Unix sockets", false;
    const auto address = unix_address(fresh);
    GError* fault = nullptr;
    if (!g_socket_bind(socket_.get(), address.get(), FALSE, &fault) ||
        !g_socket_listen(socket_.get(), &fault)) {
        const net::Error error(fault);
        return why = error ? error->message : "unknown", false;
    }
    struct stat file {};
    if (::chmod(fresh.c_str(), 0600) != 0 || ::stat(fresh.c_str(), &file) != 0 ||
        ::rename(fresh.c_str(), path_.c_str()) != 0) {
        why = std::strerror(errno);
        ::unlink(fresh.c_str());
        return false;
    }
    file_ = {file.st_dev, file.st_ino};
    g_socket_set_blocking(socket_.get(), FALSE);
    source_.reset(g_socket_create_source(socket_.get(), G_IO_IN, nullptr));
    g_source_set_callback(source_.get(), G_SOURCE_FUNC(&RestartChannel::on_in), this, nullptr);
    g_source_set_priority(source_.get(), kPriority);
    net::attach(source_.get());
    return true;
}

// Only its own file: another process's may stand there by now.
void RestartChannel::remove_path() {
    if (!socket_) return;
    struct stat file {};
    if (::stat(path_.c_str(), &file) == 0 &&
        file_ == std::pair<std::uint64_t, std::uint64_t>(file.st_dev, file.st_ino))
        ::unlink(path_.c_str());
}

gboolean RestartChannel::on_in(GSocket*, GIOCondition, gpointer self) {
    auto& handover = *static_cast<RestartChannel*>(self);
    net::Ref<GSocket> taken(g_socket_accept(handover.socket_.get(), nullptr, nullptr));
    if (taken && same_user(taken.get()) && handover.strangers_.size() < kStrangersMost)
        handover.greet(std::move(taken));
    return G_SOURCE_CONTINUE;
}

void RestartChannel::greet(net::Ref<GSocket> socket) {
    const auto link = std::make_shared<Link>(*this);
    strangers_.emplace(link.get(), link);
    link->adopt(std::move(socket));
}

// Messages. --------------------------------------------------------------------------------------------

void RestartChannel::welcome(Link& link) {
    const auto keep = strangers_.extract(&link).mapped();
    const int listening = host_.listening_descriptor();
    if (listening < 0 || !role_.on_takeover_requested()) {
        RestartMessage busy;
        busy.kind = RestartMessage::Kind::busy;
        keep->send(busy);
        return keep->close();
    }
    // The socket goes with a line of its own, which is small enough to be taken at once.
    RestartMessage with;
    with.kind = RestartMessage::Kind::socket;
    const std::string line = write(with);
    const net::Ref<GUnixFDMessage> descriptors(G_UNIX_FD_MESSAGE(g_unix_fd_message_new()));
    g_unix_fd_message_append_fd(descriptors.get(), listening, nullptr);
    GSocketControlMessage* control = G_SOCKET_CONTROL_MESSAGE(descriptors.get());
    GOutputVector vector{line.data(), line.size()};
    const net::Ref<GSocket> carrier(g_socket_new_from_fd(::dup(keep->descriptor()), nullptr));
    const gssize sent = carrier ? g_socket_send_message(carrier.get(), nullptr, &vector, 1, &control, 1, 0,
                                                        nullptr, nullptr)
                                : -1;
    peer_ = keep;
    if (sent != static_cast<gssize>(line.size()) || !keep->send(host_.state())) {
        keep->close();
        return on_gone(*keep);
    }
    log_.write(Log::Level::info, net::now(), "handover: a new process takes over");
    settle();
}

void RestartChannel::on_line(Link& link, std::string_view line) {
    RestartMessage message;
    const bool good = read(line, message);
    if (strangers_.contains(&link)) {
        if (good && message.kind == RestartMessage::Kind::hello && message.listen == listen_)
            return welcome(link);
        log_.write(Log::Level::warning, net::now(), "handover: a caller that can't be understood");
        return link.break_off();
    }
    if (!good || peer_.get() != &link) return link.break_off();
    switch (message.kind) {
        case RestartMessage::Kind::taken:
            role_.heir_took();
            return settle();
        case RestartMessage::Kind::back:
            if (role_.is_old_process()) role_.heir_back();
            return settle();
        case RestartMessage::Kind::use:
            return host_.on_peer_resource_use(message.resource_use);
        case RestartMessage::Kind::part:
            return host_.on_transferred_state(static_cast<std::size_t>(message.number), message.name);
        case RestartMessage::Kind::order: {
            RestartMessage done;
            done.kind = RestartMessage::Kind::done;
            done.number = message.number;
            done.yes = host_.on_operator_order(message.order);
            link.send(done);
            return;
        }
        case RestartMessage::Kind::done:
            if (const auto at = pending_.find(message.number); at != pending_.end()) {
                const auto call = std::move(at->second.done);
                pending_.erase(at);
                call(message.yes);
            }
            return;
        default:
            return link.break_off();
    }
}

void RestartChannel::on_gone(Link& link) {
    if (strangers_.erase(&link) > 0 || peer_.get() != &link) return;
    const auto keep = std::move(peer_);
    peer_.reset();
    if (!role_.heir_back()) role_.elder_gone();
    told_ = {};
    finish_orders(true);
    settle();
    host_.on_peer_resource_use({});
}

void RestartChannel::settle() {
    if (settled_ == role_.state()) return;
    settled_ = role_.state();
    constexpr const char* kTold[] = {"alone", "a new process readies itself",
                                     "the new process accepts, this one leaves", "readying itself",
                                     "this process accepts, the old one leaves"};
    log_.write(Log::Level::info, net::now(), "handover: %s", kTold[static_cast<std::size_t>(settled_)]);
    host_.on_role_changed();
    own_path(role_.answers());
    if (peer_) tick();
}

void RestartChannel::stop() {
    role_.end();   // it still says that it is busy, until the elder answers at the path again
    if (!peer_ || role_.is_old_process()) return;
    RestartMessage back;
    back.kind = RestartMessage::Kind::back;
    peer_->send(back);
}

void RestartChannel::forward_order(const OperatorOrder& order, std::function<void(bool)> done) {
    if (!peer_) return done(true);
    RestartMessage message;
    message.kind = RestartMessage::Kind::order;
    message.number = ++numbers_;
    message.order = order;
    if (!peer_->send(message)) return done(true);
    pending_[message.number] = {net::now() + kConfirm, std::move(done)};
    log_.write(Log::Level::info, net::now(), "handover: %s %s goes to the other process", word(order.kind),
               order.id.c_str());
}

void RestartChannel::transfer_state(std::size_t place, std::string_view what) {
    if (!peer_) return;
    RestartMessage message;
    message.kind = RestartMessage::Kind::part;
    message.number = place;
    message.name = what;
    peer_->send(message);
}

void RestartChannel::finish_orders(bool yes) {
    for (auto all = std::move(pending_); auto& [number, one] : all) one.done(yes);
}

void RestartChannel::tick() {
    const double now = net::now();
    std::vector<std::function<void(bool)>> late;
    for (auto at = pending_.begin(); at != pending_.end();) {
        if (at->second.due > now) {
            ++at;
            continue;
        }
        late.push_back(std::move(at->second.done));
        at = pending_.erase(at);
    }
    for (const auto& call : late) call(false);
    if (!peer_) return;
    RestartMessage message;
    message.kind = RestartMessage::Kind::use;
    message.resource_use = host_.resource_use();
    if (message.resource_use != told_) {
        told_ = message.resource_use;
        peer_->send(message);
    }
    ticker_.arm(now + kTick);
}

}   // namespace slatejunction::hot_restart
