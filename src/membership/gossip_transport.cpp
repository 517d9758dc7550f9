#include "membership/gossip_transport.hpp"

#include <utility>

namespace slatejunction::membership {
namespace {

constexpr double kBindRetryIntervalS = 0.1;
constexpr std::size_t kMaxCachedAddresses = 4096;
constexpr double kNoDeadline = 1e17;   // s; deadlines from this value on need no timer

// The state of the member after the change, for the log.
const char* describe_change(const MemberChange& change) {
    switch (change.kind) {
        case MemberChange::Kind::joined:
            return "joined";
        case MemberChange::Kind::restarted:
            return "restarted";
        default:
            return kMemberStateNames[static_cast<int>(change.member.state)];
    }
}

}   // namespace

GossipTransport::GossipTransport(const Settings& settings, const std::vector<AuthKey>& keys,
                                 std::uint64_t process, std::uint64_t seed, net::Timers& timers, Log& log)
    : process_(process),
      listen_address_(settings.address),
      members_(settings, process, seed),
      auth_(keys, process),
      log_(log),
      timer_(timers, [this] { on_timer(); }),
      bind_timer_(timers, [this] { bind(); }),
      socket_(timers, [this](std::string_view bytes) { on_datagram(bytes); }) {}

void GossipTransport::start() { bind(); }

void GossipTransport::bind() {
    std::string error;
    if (!socket_.start(resolve(listen_address_), error)) {
        if (!std::exchange(bind_failure_logged_, true))
            log_.write(Log::Level::warning, net::now(), "peers: cannot listen on %s, retrying: %s",
                       listen_address_.c_str(), error.c_str());
        bind_timer_.arm(net::now() + kBindRetryIntervalS);
        return;
    }
    log_.write(Log::Level::info, net::now(), "peers: member %s listens on %s", members_.self().name.c_str(),
               listen_address_.c_str());
    members_.start(net::now());
    flush();
}

void GossipTransport::leave() {
    if (std::exchange(departed_, true)) return;
    bind_timer_.disarm();
    timer_.disarm();
    members_.leave(net::now());
    flush();
    timer_.disarm();
    socket_.stop();
}

GSocketAddress* GossipTransport::resolve(const std::string& text) {
    auto found = addresses_.find(text);
    if (found == addresses_.end()) {
        if (addresses_.size() >= kMaxCachedAddresses) addresses_.clear();
        found = addresses_.emplace(text, net::parse_address(text)).first;
    }
    return found->second.get();
}

bool GossipTransport::send(const std::string& name, Channel channel, std::string_view body) {
    if (!socket_.open()) return false;
    const bool sent = members_.send(net::now(), name, static_cast<std::uint32_t>(channel), body);
    flush();
    return sent;
}

void GossipTransport::on_datagram(std::string_view bytes) {
    std::uint64_t from = 0;
    std::string_view payload;
    const OpenResult result = auth_.open(bytes, from, payload);
    if (result != OpenResult::accepted && result != OpenResult::not_for_this_process) return;
    members_.receive(net::now(), from, result == OpenResult::accepted, payload);
    flush();
}

void GossipTransport::on_timer() {
    if (members_.next_deadline() <= net::now()) members_.on_timer(net::now());
    flush();
}

// Sends datagrams and calls listeners until there is nothing left to do. What a listener sends goes out in
// the next pass, not within the call of the listener.
void GossipTransport::flush() {
    if (std::exchange(flushing_, true)) return;
    bool listeners_called = true;
    while (listeners_called) {
        send_datagrams();
        const bool delivered = deliver_messages();
        const bool reported = report_changes();
        listeners_called = delivered || reported;
    }
    flushing_ = false;
    arm_timer();
}

void GossipTransport::send_datagrams() {
    for (const Datagram& datagram : members_.take_datagrams())
        if (GSocketAddress* to = resolve(datagram.address))
            socket_.send(to, auth_.seal(datagram.process, datagram.payload));
}

bool GossipTransport::deliver_messages() {
    const std::vector<ReceivedMessage> messages = members_.take_messages();
    for (const ReceivedMessage& message : messages) {
        const auto listener = listeners_.find(message.channel);
        if (listener != listeners_.end()) listener->second(message);
    }
    return !messages.empty();
}

bool GossipTransport::report_changes() {
    const std::vector<MemberChange> changes = members_.take_changes();
    for (const MemberChange& change : changes) {
        log_change(change);
        for (const auto& listener : change_listeners_) listener(change);
    }
    return !changes.empty();
}

void GossipTransport::log_change(const MemberChange& change) {
    const Member& member = change.member;
    if (change.kind == MemberChange::Kind::forgotten) return;
    if (change.kind == MemberChange::Kind::name_conflict) {
        log_.write(Log::Level::error, net::now(), "peers: two processes claim the name %s, one at %s",
                   member.name.c_str(), member.address.c_str());
        return;
    }
    log_.write(Log::Level::info, net::now(), "peers: %s (site %s, %s): %s", member.name.c_str(),
               member.site.c_str(), member.address.c_str(), describe_change(change));
}

void GossipTransport::arm_timer() {
    const double next = members_.next_deadline();
    if (next < kNoDeadline)
        timer_.arm(next);
    else
        timer_.disarm();
}

}   // namespace slatejunction::membership
