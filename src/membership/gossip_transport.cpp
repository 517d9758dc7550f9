#include "membership/gossip_transport.hpp"

#include <utility>

namespace slatejunction::membership {
namespace {

constexpr double kBindAgain = 0.1;             // s
constexpr std::size_t kAddressesMost = 4096;   // kept as they were read

}   // namespace

GossipTransport::GossipTransport(const Settings& settings, const std::vector<AuthKey>& keys,
                                 std::uint64_t process, std::uint64_t seed, net::Timers& timers, Log& log)
    : process_(process),
      listen_(settings.address),
      members_(settings, process, seed),
      seal_(keys, process),
      log_(log),
      timer_(timers, [this] { due(); }),
      bind_timer_(timers, [this] { bind(); }),
      socket_(timers, [this](std::string_view bytes) { taken(bytes); }) {}

void GossipTransport::start() { bind(); }

void GossipTransport::bind() {
    std::string why;
    if (!socket_.start(address(listen_), why)) {
        if (!std::exchange(told_held_, true))
            log_.write(Log::Level::warning, net::now(),
                       "peers: %s can't be listened at, it is tried again: %s", listen_.c_str(),
                       why.c_str());
        bind_timer_.arm(net::now() + kBindAgain);
        return;
    }
    log_.write(Log::Level::info, net::now(), "peers: %s at %s", members_.self().name.c_str(),
               listen_.c_str());
    members_.start(net::now());
    pump();
}

void GossipTransport::leave() {
    if (std::exchange(left_, true)) return;
    bind_timer_.disarm();
    timer_.disarm();
    members_.leave(net::now());
    pump();
    timer_.disarm();
    socket_.stop();
}

GSocketAddress* GossipTransport::address(const std::string& text) {
    auto at = addresses_.find(text);
    if (at == addresses_.end()) {
        if (addresses_.size() >= kAddressesMost) addresses_.clear();
        at = addresses_.emplace(text, net::parse_address(text)).first;
    }
    return at->second.get();
}

bool GossipTransport::send(const std::string& name, Channel channel, std::string_view body) {
    if (!socket_.open()) return false;
    const bool sent = members_.send(net::now(), name, static_cast<std::uint32_t>(channel), body);
    pump();
    return sent;
}

void GossipTransport::taken(std::string_view bytes) {
    std::uint64_t from = 0;
    std::string_view payload;
    const OpenResult opened = seal_.open(bytes, from, payload);
    if (opened != OpenResult::fresh && opened != OpenResult::unknown_sender) return;
    members_.receive(net::now(), from, opened == OpenResult::fresh, payload);
    pump();
}

void GossipTransport::due() {
    if (members_.next_deadline() <= net::now()) members_.on_timer(net::now());
    pump();
}

// A listener may send in its turn: that goes out in the same round, not inside it.
void GossipTransport::pump() {
    if (std::exchange(pumping_, true)) return;
    for (bool more = true; more;) {
        more = false;
        for (const Datagram& one : members_.take_datagrams())
            if (GSocketAddress* to = address(one.address))
                socket_.send(to, seal_.seal(one.process, one.payload));
        for (const ReceivedMessage& heard : members_.take_heard()) {
            more = true;
            if (const auto at = listeners_.find(heard.channel); at != listeners_.end()) at->second(heard);
        }
        for (const MemberChange& change : members_.take_changes()) {
            more = true;
            const Member& m = change.member;
            if (change.what == MemberChange::What::disputed)
                log_.write(Log::Level::error, net::now(),
                           "peers: two processes claim the name %s, one at %s", m.name.c_str(),
                           m.address.c_str());
            else if (change.what != MemberChange::What::forgotten)
                log_.write(Log::Level::info, net::now(), "peers: %s of %s at %s is %s", m.name.c_str(),
                           m.site.c_str(), m.address.c_str(),
                           change.what == MemberChange::What::joined ? "there"
                           : change.what == MemberChange::What::restarted
                               ? "there anew"
                               : kStates[static_cast<int>(m.state)]);
            for (const auto& call : changed_) call(change);
        }
    }
    pumping_ = false;
    const double next = members_.next_deadline();
    if (next < 1e17)
        timer_.arm(next);
    else
        timer_.disarm();
}

}   // namespace slatejunction::membership
