#include "hot_restart/restart_channel.hpp"

#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <vector>

#include "hot_restart/unix_socket.hpp"
#include "http/message.hpp"
#include "net/stream.hpp"

namespace slatejunction::hot_restart {
namespace {

constexpr double kUseReportIntervalS = 0.05;   // reports are sent only after a change
constexpr double kAnswerTimeoutS = 1.5;        // of an old process, which may be under load
constexpr int kBusyRetryDelayMs = 100;
constexpr double kCommandTimeoutS = 0.6;   // operators wait 1 s for a reply
constexpr std::size_t kMaxUnidentifiedLinks = 8;
constexpr std::size_t kMaxIdsPerMessage = 8192;   // keeps a line well below kMaxLineBytes
constexpr int kPriority = G_PRIORITY_HIGH;

}   // namespace

// A connection to another process, on which both send lines.
class RestartChannel::Link : public net::Protocol {
  public:
    explicit Link(RestartChannel& owner) : owner_(owner) {}
    void adopt(net::Ref<GSocket> socket, std::string_view already_read = {}) {
        if (!already_read.empty()) {
            const auto space = buffer_.space(already_read.size());
            already_read.copy(space.data(), already_read.size());
            buffer_.commit(already_read.size());
        }
        stream_.adopt(std::move(socket));
    }
    bool send(const RestartMessage& message) {
        const std::string line = serialize(message);
        const std::string_view part = line;
        return stream_.send({&part, 1});
    }
    int descriptor() const { return stream_.descriptor(); }
    void receive_pending() { stream_.read_now(); }
    void close() {
        closed_ = true;
        stream_.close();
    }
    void read_lines() {
        while (!closed_) {
            const std::string_view text = buffer_.view();
            const std::size_t end = text.find('\n');
            if (end == std::string_view::npos) {
                if (text.size() > kMaxLineBytes) disconnect();
                return;
            }
            const std::string line(text.substr(0, end));
            buffer_.consume(end + 1);
            owner_.on_line(*this, line);
        }
    }
    // Closes the connection, after a protocol error or because the other process has closed it.
    void disconnect() {
        if (closed_) return;
        const auto self_reference = shared_from_this();
        close();
        owner_.on_link_closed(*this);
    }

    std::span<char> receive_buffer() override { return buffer_.space(4096); }
    void on_bytes(std::size_t size) override {
        buffer_.commit(size);
        read_lines();
    }
    void on_end(bool) override { disconnect(); }

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
      tick_timer_(timers, [this] { on_tick(); }) {}

RestartChannel::~RestartChannel() {
    if (peer_) peer_->close();
    for (const auto& [key, link] : unidentified_links_) link->close();
    remove_socket_file();
}

// Takeover, in the new process. -------------------------------------------------------------------------

bool RestartChannel::request_takeover(RestartMessage& state, net::Ref<GSocket>& listening) {
    if (path_.empty()) {
        log_.write(Log::Level::info, net::now(), "hot restart: disabled, %s",
                   directory_.empty() ? "TMPDIR is not set" : "TMPDIR is too long for a socket path");
        return false;
    }
    const double deadline = net::now() + takeover_bound_s();
    TakeoverResult result = TakeoverResult::no_listener;
    for (;;) {
        result = request_once(std::min(deadline, net::now() + kAnswerTimeoutS), state, listening);
        if (result == TakeoverResult::state_received) return true;
        listening.reset();
        if (result == TakeoverResult::no_listener) return false;
        if (result != TakeoverResult::busy || net::now() + kBusyRetryDelayMs / 1000.0 > deadline) break;
        ::poll(nullptr, 0, kBusyRetryDelayMs);
    }
    log_.write(Log::Level::warning, net::now(), "hot restart: %s; this process listens by itself",
               result == TakeoverResult::busy ? "another process is taking over"
                                              : "the process at the socket gave no valid answer");
    return false;
}

RestartChannel::TakeoverResult RestartChannel::request_once(double deadline, RestartMessage& state,
                                                            net::Ref<GSocket>& listening) {
    auto socket = unix_socket();
    if (!socket) return TakeoverResult::no_listener;
    g_socket_set_blocking(socket.get(), FALSE);
    const auto address = unix_address(path_);
    GError* fault = nullptr;
    const bool connected = g_socket_connect(socket.get(), address.get(), nullptr, &fault);
    const net::Error error(fault);
    // GIO's sockets never block in connect(2), so that a full backlog is reported as WOULD_BLOCK: the
    // process at the socket does not run.
    if (!connected)
        return g_error_matches(fault, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) ? TakeoverResult::no_answer
                                                                          : TakeoverResult::no_listener;
    if (!same_user(socket.get())) {
        log_.write(Log::Level::warning, net::now(), "hot restart: the process at %s runs as another user",
                   path_.c_str());
        return TakeoverResult::no_listener;
    }
    RestartMessage hello;
    hello.name = name_;
    hello.listen = listen_;
    hello.shares_request_ids = true;
    const std::string line = serialize(hello);
    g_socket_send(socket.get(), line.data(), line.size(), nullptr, nullptr);
    return await_state(socket, deadline, state, listening);
}

// Reads until the state has arrived or the deadline has passed.
RestartChannel::TakeoverResult RestartChannel::await_state(net::Ref<GSocket>& socket, double deadline,
                                                           RestartMessage& state,
                                                           net::Ref<GSocket>& listening) {
    std::string received;
    for (;;) {
        const double remaining_s = deadline - net::now();
        if (remaining_s <= 0 ||
            !g_socket_condition_timed_wait(socket.get(), G_IO_IN, static_cast<gint64>(remaining_s * 1e6),
                                           nullptr, nullptr))
            return TakeoverResult::no_answer;
        if (!receive(socket.get(), received, listening)) return TakeoverResult::no_answer;
        for (std::size_t end; (end = received.find('\n')) != std::string::npos;) {
            const std::string line = received.substr(0, end);
            received.erase(0, end + 1);
            RestartMessage message;
            if (!parse(line, message)) return TakeoverResult::no_answer;
            if (message.kind == RestartMessage::Kind::busy) return TakeoverResult::busy;
            if (message.kind != RestartMessage::Kind::state) continue;
            if (!listening) return TakeoverResult::no_answer;
            state = std::move(message);
            role_.on_state_received();
            applied_state_ = role_.state();
            peer_shares_request_ids_ = state.shares_request_ids;
            peer_ = std::make_shared<Link>(*this);
            peer_->adopt(std::move(socket), received);
            return TakeoverResult::state_received;
        }
        if (received.size() > kMaxLineBytes) return TakeoverResult::no_answer;
    }
}

void RestartChannel::start() {
    set_listening(role_.answers());
    if (peer_) {
        tick_timer_.arm(net::now() + kUseReportIntervalS);
        const auto self_reference = peer_;
        self_reference->read_lines();   // those that came with the state
    }
}

void RestartChannel::ready_to_accept() {
    if (!role_.on_prepared()) return;
    const auto self_reference = peer_;
    RestartMessage accepting;
    accepting.kind = RestartMessage::Kind::accepting;
    apply_role();   // before the message, so that at any time at least one process accepts
    if (self_reference) self_reference->send(accepting);
}

// Socket file. -------------------------------------------------------------------------------------------

void RestartChannel::set_listening(bool own) {
    if (path_.empty() || own == (listening_socket_ != nullptr)) return;
    if (!own) {   // another process has replaced the file, or will
        accept_source_.reset();
        listening_socket_.reset();
        return;
    }
    std::string error;
    if (bind_socket_file(error)) return;
    listening_socket_.reset();
    log_.write(Log::Level::warning, net::now(), "hot restart: disabled, can't create a socket at %s: %s",
               path_.c_str(), error.c_str());
}

// Creates the file under a temporary name and renames it, so that a socket file exists at any time.
bool RestartChannel::bind_socket_file(std::string& error) {
    const std::string temporary_path = path_ + "~";
    ::unlink(temporary_path.c_str());
    listening_socket_ = unix_socket();
    if (!listening_socket_) {
        error = "no Unix sockets";
        return false;
    }
    const auto address = unix_address(temporary_path);
    GError* fault = nullptr;
    if (!g_socket_bind(listening_socket_.get(), address.get(), FALSE, &fault) ||
        !g_socket_listen(listening_socket_.get(), &fault)) {
        const net::Error cause(fault);
        error = cause ? cause->message : "unknown";
        return false;
    }
    struct stat file {};
    if (::chmod(temporary_path.c_str(), 0600) != 0 || ::stat(temporary_path.c_str(), &file) != 0 ||
        ::rename(temporary_path.c_str(), path_.c_str()) != 0) {
        error = std::strerror(errno);
        ::unlink(temporary_path.c_str());
        return false;
    }
    socket_file_id_ = {file.st_dev, file.st_ino};
    g_socket_set_blocking(listening_socket_.get(), FALSE);
    accept_source_.reset(g_socket_create_source(listening_socket_.get(), G_IO_IN, nullptr));
    g_source_set_callback(accept_source_.get(), G_SOURCE_FUNC(&RestartChannel::on_in), this, nullptr);
    g_source_set_priority(accept_source_.get(), kPriority);
    net::attach(accept_source_.get());
    return true;
}

// Removes the file only if it is this process's: another one may have replaced it.
void RestartChannel::remove_socket_file() {
    if (!listening_socket_) return;
    struct stat file {};
    if (::stat(path_.c_str(), &file) == 0 &&
        socket_file_id_ == std::pair<std::uint64_t, std::uint64_t>(file.st_dev, file.st_ino))
        ::unlink(path_.c_str());
}

gboolean RestartChannel::on_in(GSocket*, GIOCondition, gpointer self) {
    auto& channel = *static_cast<RestartChannel*>(self);
    net::Ref<GSocket> accepted(g_socket_accept(channel.listening_socket_.get(), nullptr, nullptr));
    if (accepted && same_user(accepted.get()) && channel.unidentified_links_.size() < kMaxUnidentifiedLinks)
        channel.add_unidentified_link(std::move(accepted));
    return G_SOURCE_CONTINUE;
}

void RestartChannel::add_unidentified_link(net::Ref<GSocket> socket) {
    const auto link = std::make_shared<Link>(*this);
    unidentified_links_.emplace(link.get(), link);
    link->adopt(std::move(socket));
}

// Messages. --------------------------------------------------------------------------------------------

void RestartChannel::hand_over_to(Link& link, bool shares_request_ids) {
    const auto keep = unidentified_links_.extract(&link).mapped();
    const int listening = host_.listening_descriptor();
    if (listening < 0 || !role_.on_takeover_requested()) {
        RestartMessage busy;
        busy.kind = RestartMessage::Kind::busy;
        keep->send(busy);
        return keep->close();
    }
    const bool socket_sent = send_listening_socket(link, listening);
    peer_ = keep;
    peer_shares_request_ids_ = shares_request_ids;
    if (!socket_sent || !keep->send(host_.state())) {
        keep->close();
        return on_link_closed(*keep);
    }
    share_request_ids(host_.executed_request_ids(), false);
    log_.write(Log::Level::info, net::now(),
               "hot restart: sent the listening socket and the state to a new process");
    apply_role();
}

// Sends the socket with a line of its own, which is short enough for the kernel to take at once.
bool RestartChannel::send_listening_socket(Link& link, int listening) {
    RestartMessage socket_message;
    socket_message.kind = RestartMessage::Kind::socket;
    return send_with_descriptor(link.descriptor(), serialize(socket_message), listening);
}

void RestartChannel::on_line(Link& link, std::string_view line) {
    RestartMessage message;
    const bool valid = parse(line, message);
    if (unidentified_links_.contains(&link)) return on_first_line(link, valid, message);
    if (!valid || peer_.get() != &link) return link.disconnect();
    switch (message.kind) {
        case RestartMessage::Kind::accepting:
            role_.on_new_process_accepts();
            return apply_role();
        case RestartMessage::Kind::stopping:
            if (role_.is_old_process()) role_.on_new_process_gone();
            return apply_role();
        case RestartMessage::Kind::resource_use:
            return host_.on_peer_resource_use(message.resource_use);
        case RestartMessage::Kind::extension_state:
            return host_.on_transferred_state(static_cast<std::size_t>(message.number),
                                              message.extension_state);
        case RestartMessage::Kind::request_ids:
            return host_.on_request_ids(message.request_ids, message.never_ran);
        case RestartMessage::Kind::command:
            return on_command(link, message);
        case RestartMessage::Kind::command_result:
            return on_command_result(message);
        default:
            return link.disconnect();
    }
}

void RestartChannel::on_first_line(Link& link, bool valid, const RestartMessage& message) {
    if (valid && message.kind == RestartMessage::Kind::hello && message.listen == listen_)
        return hand_over_to(link, message.shares_request_ids);
    log_.write(Log::Level::warning, net::now(),
               "hot restart: closed a connection without a valid hello message");
    link.disconnect();
}

void RestartChannel::on_command(Link& link, const RestartMessage& message) {
    RestartMessage result;
    result.kind = RestartMessage::Kind::command_result;
    result.number = message.number;
    result.confirmed = host_.on_operator_command(message.command);
    link.send(result);
}

void RestartChannel::on_command_result(const RestartMessage& message) {
    const auto at = pending_commands_.find(message.number);
    if (at == pending_commands_.end()) return;
    const auto done = std::move(at->second.done);
    pending_commands_.erase(at);
    done(message.confirmed);
}

void RestartChannel::on_link_closed(Link& link) {
    if (unidentified_links_.erase(&link) > 0 || peer_.get() != &link) return;
    const auto self_reference = std::move(peer_);
    peer_.reset();
    peer_shares_request_ids_ = false;
    if (!role_.on_new_process_gone()) role_.on_old_process_gone();
    last_sent_use_ = {};
    finish_all_commands(true);
    apply_role();
    host_.on_peer_resource_use({});
}

void RestartChannel::apply_role() {
    if (applied_state_ == role_.state()) return;
    applied_state_ = role_.state();
    // In the order of RestartRole::State.
    constexpr const char* kStateDescriptions[] = {"alone", "a new process is preparing to take over",
                                                  "the new process accepts connections, this one drains",
                                                  "preparing to take over",
                                                  "this process accepts connections, the old one drains"};
    log_.write(Log::Level::info, net::now(), "hot restart: %s",
               kStateDescriptions[static_cast<std::size_t>(applied_state_)]);
    host_.on_role_changed();
    set_listening(role_.answers());
    if (peer_) on_tick();
}

void RestartChannel::stop() {
    role_.on_stop_requested();   // answers `busy` until the old process has the socket file again
    if (!peer_ || role_.is_old_process()) return;
    RestartMessage stopping;
    stopping.kind = RestartMessage::Kind::stopping;
    peer_->send(stopping);
}

void RestartChannel::forward_command(const OperatorCommand& command, std::function<void(bool)> done) {
    if (!peer_) return done(true);
    RestartMessage message;
    message.kind = RestartMessage::Kind::command;
    message.number = ++last_command_number_;
    message.command = command;
    if (!peer_->send(message)) return done(true);
    pending_commands_[message.number] = {net::now() + kCommandTimeoutS, std::move(done)};
    log_.write(Log::Level::info, net::now(), "hot restart: forwarded to the other process: %s %s",
               command_name(command.kind), command.id.c_str());
}

void RestartChannel::transfer_state(std::size_t extension_index, std::string_view state) {
    if (!peer_) return;
    RestartMessage message;
    message.kind = RestartMessage::Kind::extension_state;
    message.number = extension_index;
    message.extension_state = state;
    peer_->send(message);
}

void RestartChannel::share_request_ids(std::span<const std::uint64_t> id_hashes, bool never_ran) {
    while (peer_ && peer_shares_request_ids_ && !id_hashes.empty()) {
        const auto part = id_hashes.first(std::min(id_hashes.size(), kMaxIdsPerMessage));
        id_hashes = id_hashes.subspan(part.size());
        RestartMessage message;
        message.kind = RestartMessage::Kind::request_ids;
        message.request_ids.assign(part.begin(), part.end());
        message.never_ran = never_ran;
        peer_->send(message);
    }
}

void RestartChannel::receive_pending() {
    if (!peer_ || !peer_shares_request_ids_) return;
    const auto link = peer_;
    link->receive_pending();
}

void RestartChannel::finish_all_commands(bool confirmed) {
    for (auto all = std::move(pending_commands_); auto& [number, command] : all) command.done(confirmed);
}

void RestartChannel::expire_commands(double now) {
    std::vector<std::function<void(bool)>> expired;
    for (auto at = pending_commands_.begin(); at != pending_commands_.end();) {
        if (at->second.deadline > now) {
            ++at;
            continue;
        }
        expired.push_back(std::move(at->second.done));
        at = pending_commands_.erase(at);
    }
    for (const auto& done : expired) done(false);
}

void RestartChannel::on_tick() {
    const double now = net::now();
    expire_commands(now);
    if (!peer_) return;
    RestartMessage message;
    message.kind = RestartMessage::Kind::resource_use;
    message.resource_use = host_.resource_use();
    if (message.resource_use != last_sent_use_) {
        last_sent_use_ = message.resource_use;
        peer_->send(message);
    }
    tick_timer_.arm(now + kUseReportIntervalS);
}

}   // namespace slatejunction::hot_restart
