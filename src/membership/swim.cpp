#include "membership/swim.hpp"

#include <algorithm>
#include <utility>

#include "membership.pb.h"
#include "membership/datagram_auth.hpp"

namespace slatejunction::membership {
namespace {

constexpr std::size_t kPayloadMost = kDatagramMost - kSealBytes;
constexpr std::size_t kNameMost = 64, kTextMost = 80;   // bytes
constexpr std::uint32_t kIncarnationMost = 1U << 30;    // over it a statement is nonsense
constexpr double kReach = 2, kReachMany = 10;           // intervals between hellos: while alone, and later
constexpr double kDisputed = 30;                        // intervals for which a name stays disputed
constexpr double kAssert = 5;                           // intervals between claims to a disputed name
constexpr double kRelay = 1;   // intervals for which a probe for another is remembered

// What is said of one process of one name: the higher incarnation goes before, then the worse state.
bool newer(const wire::Member& said, const Member& known) {
    if (said.incarnation() != known.incarnation) return said.incarnation() > known.incarnation;
    if (said.process() != known.process) return false;   // a restart goes before by a higher incarnation
    return said.state() > static_cast<std::uint32_t>(known.state);
}

// Names are shown to people and stand in JSON.
bool plain(const std::string& text) {
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c < 127 && c != '"' && c != '\\'; });
}

bool sane(const wire::Member& said) {
    return plain(said.name()) && plain(said.address()) && plain(said.site()) && plain(said.version()) &&
           !said.name().empty() && said.name().size() <= kNameMost && said.address().size() <= kTextMost &&
           said.site().size() <= kTextMost && said.version().size() <= kTextMost && said.process() != 0 &&
           said.incarnation() <= kIncarnationMost && said.state() <= 3;
}

bool there(MemberState state) { return state == MemberState::alive || state == MemberState::suspected; }

}   // namespace

SwimMembership::SwimMembership(const Settings& settings, std::uint64_t process, std::uint64_t seed)
    : settings_(settings), random_(seed) {
    self_.name = settings.name;
    self_.address = settings.address;
    self_.site = settings.site;
    self_.version = settings.version;
    self_.process = process;
}

SwimMembership::~SwimMembership() = default;

void SwimMembership::start(double now) {
    started_ = true;
    self_.since = tokens_at_ = now;
    const double first = settings_.interval_s * std::uniform_real_distribution<double>(0, 1)(random_);
    next_probe_ = now + first;
    next_spread_ = now + first * kSpreadPart;
    next_sync_ = now + kSyncLeast * settings_.interval_s;
    next_reach_ = now;
    spread(self_.name);
    on_timer(now);
}

void SwimMembership::leave(double now) {
    if (leaving_) return;
    leaving_ = true;
    self_.state = MemberState::departed;
    self_.since = now;
    if (waits_) return;
    // Told to several directly, as nobody asks a process that has ended.
    wire::Packet said = packet(Kind::news);
    write(self_, *said.add_news());
    for (const std::string& name : pick(2 * kSpreadTo, {})) post(now, members_[name], said, true);
}

double SwimMembership::next_deadline() const {
    if (!started_ || leaving_) return 1e18;
    double next = std::min(next_probe_, next_reach_);
    if (!news_.empty()) next = std::min(next, next_spread_);
    next = std::min(next, next_sync_);
    if (probe_.number != 0) {
        if (!probe_.indirect && !probe_.answered) next = std::min(next, probe_.indirect_at);
        next = std::min(next, probe_.over_at);
    }
    for (const std::string& name : suspected_) next = std::min(next, members_.find(name)->second.deadline);
    return next;
}

void SwimMembership::on_timer(double now) {
    if (!started_ || leaving_) return;
    const double interval = settings_.interval_s;
    // Guards against judging others by one's own standstill: what lies in the socket is read first.
    if (now - next_deadline() > kTimeoutPart * interval) {
        ++tally_.late;
        healthier(-1);
        const double late = now - next_deadline();
        if (probe_.number != 0) probe_.indirect_at += late, probe_.over_at += late;
        for (const std::string& name : suspected_) members_.find(name)->second.deadline += late;
    }
    if (probe_.number != 0 && !probe_.answered && !probe_.indirect && now >= probe_.indirect_at) {
        probe_.indirect = true;
        missed_ += kMissedWeight * (1 - missed_);
        // Once more directly, and by more others the more is lost here: each false suspicion goes round the
        // fleet twice, which costs far more than these.
        const auto target = members_.find(probe_.target);
        if (target != members_.end()) {
            wire::Packet ping = packet(Kind::ping);
            ping.set_number(probe_.number);
            post(now, target->second, ping, true);
        }
        const auto others = kIndirect + static_cast<std::size_t>(std::lround(kIndirectMore * missed_));
        for (const std::string& name : pick(others, probe_.target)) {
            wire::Packet ask = packet(Kind::probe_for);
            ask.set_number(probe_.number);
            ask.set_target(probe_.target);
            post(now, members_[name], ask, true);
        }
    }
    if (probe_.number != 0 && now >= probe_.over_at) probe_over(now);
    for (const std::string& name : std::vector<std::string>(suspected_.begin(), suspected_.end()))
        if (Known& known = members_.find(name)->second; now >= known.deadline) {
            set(now, known, MemberState::gone);
            spread(name);
        }
    if (now >= next_probe_) probe_next(now);
    if (now >= next_spread_) {
        gossip(now);
        next_spread_ = now + jitter(kSpreadPart * interval);
    }
    if (now >= next_sync_) {
        next_sync_ =
            now + jitter((kSyncLeast + kSyncPerMember * static_cast<double>(members_.size())) * interval);
        for (const std::string& name : pick(1, {})) sync_with(now, members_[name], true);
        for (auto at = members_.begin(); at != members_.end();) {
            const bool over =
                !there(at->second.member.state) && now - at->second.member.since > kForget * interval;
            if (over) changes_.push_back({at->second.member, MemberChange::What::forgotten});
            at = over ? members_.erase(at) : std::next(at);
        }
        for (auto& [name, known] : members_)
            if (known.member.disputed && now > known.disputed_until) known.member.disputed = false;
        std::erase_if(relays_, [&](const auto& one) { return now > one.second.until; });
    }
    if (now >= next_reach_) reach_out(now);
}

// Joining, and finding one another again after a split: a hello to seeds and to members known ahead that
// are not there, and now and then to one that is gone.
void SwimMembership::reach_out(double now) {
    std::set<std::string> reached;
    std::vector<std::string> lost;
    for (const auto& [name, known] : members_) {
        const std::string at = address_of(known.member);
        if (there(known.member.state)) reached.insert(at), reached.insert(known.member.address);
        if (known.member.state == MemberState::gone) lost.push_back(at);
    }
    std::vector<std::string> wanted;
    const auto want = [&](const std::string& address) {
        if (address != self_.address && !reached.contains(address)) wanted.push_back(address);
    };
    for (const std::string& seed : settings_.seeds) want(seed);
    for (const auto& [name, address] : settings_.known)
        if (name != self_.name) {
            const auto at = members_.find(name);
            if (at == members_.end() || !there(at->second.member.state)) {
                want(reach(name, address));
            }
        }
    if (!lost.empty()) want(lost[random_() % lost.size()]);
    std::shuffle(wanted.begin(), wanted.end(), random_);
    if (wanted.size() > kSpreadTo) wanted.resize(kSpreadTo);
    for (const std::string& address : wanted) {
        wire::Packet hello = packet(Kind::hello);
        post(now, address, 0, hello, false, false);
    }
    if (waits_)   // whether the other is still there
        for (const std::string& name : pick(1, {})) sync_with(now, members_[name], true);
    next_reach_ = now + jitter((joined_ ? kReachMany : kReach) * settings_.interval_s);
}

void SwimMembership::probe_next(double now) {
    const double interval = settings_.interval_s * factor();
    next_probe_ = now + jitter(interval);
    if (probe_.number != 0) probe_over(now);
    while (true) {
        if (round_.empty()) {
            for (const auto& [name, known] : members_)
                if (there(known.member.state)) round_.push_back(name);
            std::shuffle(round_.begin(), round_.end(), random_);
            if (round_.empty()) return;
        }
        const std::string name = round_.back();
        round_.pop_back();
        const auto at = members_.find(name);
        if (at == members_.end() || !there(at->second.member.state)) continue;
        probe_ = {name, ++numbers_, now, now + kTimeoutPart * interval, now + 0.9 * interval, false, false};
        wire::Packet ping = packet(Kind::ping);
        ping.set_number(probe_.number);
        // One that is suspected hears of it first of all, so that it can answer.
        if (at->second.member.state == MemberState::suspected) write(at->second.member, *ping.add_news());
        post(now, at->second, ping, true);
        return;
    }
}

void SwimMembership::probe_over(double now) {
    const Probe probe = std::exchange(probe_, {});
    if (!probe.indirect) missed_ -= kMissedWeight * missed_;
    if (probe.answered) return;
    healthier(-1);
    const auto at = members_.find(probe.target);
    if (at == members_.end()) return;
    suspect(now, at->second, self_.name);
}

void SwimMembership::suspect(double now, Known& known, const std::string& accuser) {
    if (!there(known.member.state)) return;
    const bool anew = known.member.state == MemberState::alive;
    if (anew) {
        known.accusers.clear();
        set(now, known, MemberState::suspected);
    }
    if (!known.accusers.insert(accuser).second) return;
    const std::size_t confirmed = known.accusers.size() - 1;
    if (confirmed > kConfirmations) return;
    known.deadline = known.member.since + suspicion_s(alive(), confirmed, settings_.interval_s);
    spread(known.member.name);
}

// By how far own answers are missing: a member that hears badly is slow to accuse (Lifeguard, 3.1).
void SwimMembership::healthier(int by) { health_ = std::clamp(health_ - by, 0, kHealthMost); }

void SwimMembership::put(Known& known, MemberState state) {
    alive_ += there(state) && !there(known.member.state);
    alive_ -= !there(state) && there(known.member.state);
    known.member.state = state;
    state == MemberState::suspected ? void(suspected_.insert(known.member.name))
                                    : void(suspected_.erase(known.member.name));
}

void SwimMembership::set(double now, Known& known, MemberState state) {
    if (known.member.state == state) return;
    put(known, state);
    known.member.since = now;
    if (state != MemberState::suspected) known.accusers.clear();
    changes_.push_back({known.member, MemberChange::What::state});
}

void SwimMembership::spread(const std::string& name) { news_[name].told = 0; }

void SwimMembership::gossip(double now) {
    if (news_.empty()) return;
    for (const std::string& name : pick(kSpreadTo, {})) {
        if (news_.empty()) return;
        wire::Packet said = packet(Kind::news);
        post(now, members_[name], said, false);
    }
}

void SwimMembership::sync_with(double now, Known& known, bool wants) {
    ++tally_.syncs;
    send_all(now, known, wants);
}

void SwimMembership::send_all(double now, Known& known, bool wants) {
    wire::Packet part = packet(Kind::sync);
    part.set_wants_sync(wants);
    std::size_t size = part.ByteSizeLong();
    const auto flush = [&] {
        post(now, address_of(known.member), known.member.process, part, true, false);
        part = packet(Kind::sync);
        size = part.ByteSizeLong();
    };
    for (const auto& [name, one] : members_) {
        wire::Member entry;
        write(one.member, entry);
        const std::size_t more = entry.ByteSizeLong() + 4;
        if (size + more > kPayloadMost) flush();
        *part.add_news() = entry;
        size += more;
    }
    flush();
}

std::vector<std::string> SwimMembership::pick(std::size_t count, const std::string& but) {
    std::vector<const std::string*> names;
    for (const auto& [name, known] : members_)
        if (there(known.member.state) && name != but) names.push_back(&name);
    count = std::min(count, names.size());
    std::vector<std::string> picked;
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(names[i], names[i + random_() % (names.size() - i)]);
        picked.push_back(*names[i]);
    }
    return picked;
}

// By the way that the operator has named; else where it says that it is.
std::string SwimMembership::reach(const std::string& name, const std::string& address) const {
    const auto at = settings_.via.find(name);
    return at == settings_.via.end() ? address : at->second;
}

void SwimMembership::write(const Member& from, wire::Member& to) const {
    to.set_name(from.name);
    to.set_address(from.address);
    to.set_site(from.site);
    to.set_version(from.version);
    to.set_incarnation(from.incarnation);
    to.set_process(from.process);
    to.set_state(static_cast<std::uint32_t>(from.state));
}

wire::Packet SwimMembership::packet(Kind kind) const {
    wire::Packet made;
    made.set_kind(static_cast<std::uint32_t>(kind));
    write(self_, *made.mutable_from());
    return made;
}

bool SwimMembership::post(double now, Known& known, wire::Packet& packet, bool urgent) {
    return post(now, address_of(known.member), known.member.process, packet, urgent);
}

// Fills what room the datagram has with news, those told least first. Each is told so many times that all
// have heard of it, whatever the size of the fleet (SWIM, 4.1).
bool SwimMembership::post(double now, const std::string& address, std::uint64_t process,
                          wire::Packet& packet, bool urgent, bool with_news) {
    if (address.empty()) return false;
    const double rate = kDatagramsPerInterval / settings_.interval_s;
    tokens_ = std::min(2 * kDatagramsPerInterval, tokens_ + (now - tokens_at_) * rate);
    tokens_at_ = now;
    if (tokens_ < (urgent ? 0 : 1)) {
        ++tally_.held_back;
        return false;
    }
    tokens_ -= 1;
    if (with_news && process != 0) {
        const double n = static_cast<double>(members_.size() + 1);
        const auto most = static_cast<std::size_t>(4 * std::ceil(std::log10(n + 1)));
        std::vector<std::pair<std::size_t, std::string>> order;
        for (const auto& [name, one] : news_) order.emplace_back(one.told, name);
        std::sort(order.begin(), order.end());
        std::size_t size = packet.ByteSizeLong();
        for (const auto& [told, name] : order) {
            wire::Member entry;
            if (name == self_.name) {
                if (waits_) continue;
                write(self_, entry);
            } else {
                const auto at = members_.find(name);
                if (at == members_.end()) {
                    news_.erase(name);
                    continue;
                }
                write(at->second.member, entry);
                // Own suspicions go by this one's name: they confirm those of others.
                if (at->second.member.state == MemberState::suspected && !at->second.accusers.empty())
                    entry.set_accuser(at->second.accusers.contains(self_.name)
                                          ? self_.name
                                          : *at->second.accusers.begin());
            }
            const std::size_t more = entry.ByteSizeLong() + 4;
            if (size + more > kPayloadMost) break;
            *packet.add_news() = entry;
            size += more;
            if (++news_[name].told >= most) news_.erase(name);
        }
    }
    std::string payload = packet.SerializeAsString();
    ++tally_.sent;
    tally_.sent_bytes += payload.size() + kSealBytes;
    datagrams_.push_back({address, process, std::move(payload)});
    return true;
}

bool SwimMembership::send(double now, const std::string& name, std::uint32_t channel,
                          std::string_view body) {
    if (body.size() > kBodyMost || leaving_) return false;
    const auto at = members_.find(name);
    if (at == members_.end()) {
        next_reach_ = std::min(next_reach_, now + kTimeoutPart * settings_.interval_s);
        return false;
    }
    wire::Packet carried = packet(Kind::carried);
    carried.mutable_carried()->set_channel(channel);
    carried.mutable_carried()->set_body(std::string(body));
    // Whoever is gone by the list may be there all the same: what is safe does not hang on the list.
    return post(now, at->second, carried, true);
}

// Who is here, for one that does not know this process: it may then seal what it says for it.
void SwimMembership::welcome(double now, const wire::Packet& packet, std::uint64_t process) {
    if (!packet.has_from() || !sane(packet.from()) || packet.from().process() != process) return;
    if (packet.from().name() == self_.name && process == self_.process) return;
    wire::Packet answer = this->packet(Kind::welcome);
    post(now, reach(packet.from().name(), packet.from().address()), process, answer, false, false);
}

void SwimMembership::receive(double now, std::uint64_t from_process, bool fresh, std::string_view payload) {
    if (!started_) return;
    wire::Packet packet;
    if (!packet.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        ++tally_.unreadable;
        return;
    }
    const auto kind = static_cast<Kind>(packet.kind());
    if (!fresh) return welcome(now, packet, from_process);
    if (!packet.has_from() || !sane(packet.from()) || packet.from().process() != from_process) {
        ++tally_.unreadable;
        return;
    }
    const std::string& from = packet.from().name();
    if (from == self_.name) return note_self(now, packet.from());
    const bool known_before = members_.contains(from);
    note(now, packet.from(), from);
    const auto at = members_.find(from);
    if (at == members_.end()) return;
    Known& known = at->second;
    if (known.member.process == from_process) known.member.heard_at = now;
    // One that was restarted does not know what the fleet holds of its name.
    if (known.member.process != from_process || known.member.incarnation > packet.from().incarnation() ||
        (known.member.state != MemberState::alive && kind != Kind::news)) {
        wire::Packet told = this->packet(Kind::news);
        write(known.member, *told.add_news());
        post(now, reach(packet.from().name(), packet.from().address()), from_process, told, false, false);
    }
    for (const wire::Member& said : packet.news()) {
        if (!sane(said)) continue;
        said.name() == self_.name ? note_self(now, said) : note(now, said, from);
    }
    switch (kind) {
        case Kind::welcome:
            if (!joined_ || !known_before) {
                joined_ = true;
                settle_name(now);
                sync_with(now, known, true);
            }
            break;
        case Kind::ping: {
            wire::Packet ack = this->packet(Kind::ack);
            ack.set_number(packet.number());
            post(now, address_of(known.member), from_process, ack, true);
            break;
        }
        case Kind::ack:
            if (packet.number() == probe_.number && from == probe_.target && probe_.number != 0) {
                if (!std::exchange(probe_.answered, true)) healthier(1);
            } else if (const auto relay = relays_.find(packet.number()); relay != relays_.end()) {
                const auto asker = members_.find(relay->second.asker);
                if (asker != members_.end()) {
                    wire::Packet ack = this->packet(Kind::ack);
                    ack.set_number(relay->second.number);
                    ack.set_target(from);
                    post(now, asker->second, ack, true);
                }
                relays_.erase(relay);
            } else if (packet.target() == probe_.target && packet.number() == probe_.number) {
                probe_.answered = true;
            }
            break;
        case Kind::probe_for: {
            const auto target = members_.find(packet.target());
            if (target == members_.end() || relays_.size() > kMembersMost) break;
            wire::Packet ping = this->packet(Kind::ping);
            ping.set_number(++numbers_);
            relays_[numbers_] = {from, packet.number(), now + kRelay * settings_.interval_s};
            post(now, target->second, ping, true);
            break;
        }
        case Kind::sync:
            if (packet.wants_sync()) send_all(now, known, false);
            joined_ = true;
            settle_name(now);
            break;
        case Kind::carried:
            if (known.member.process == from_process)
                heard_.push_back({from, from_process, packet.carried().channel(), packet.carried().body()});
            break;
        case Kind::hello:
        case Kind::news:
            break;
    }
}

// What the fleet holds of this one's name.
void SwimMembership::note_self(double now, const wire::Member& said) {
    if (leaving_) return;
    const auto state = static_cast<MemberState>(said.state());
    if (said.process() == self_.process) {
        // Suspected, or called gone: answered by a higher incarnation, which only this process may raise.
        if (state == MemberState::alive || said.incarnation() < self_.incarnation) return;
        self_.incarnation = said.incarnation() + 1;
        ++tally_.refuted;
        healthier(-1);
        spread(self_.name);
        return;
    }
    // An earlier process of this name at this address is surely over: no two hold one address.
    const bool over = !there(state) || said.address() == self_.address;
    if (over) {
        if (said.incarnation() < self_.incarnation) return;
        self_.incarnation = said.incarnation() + 1;
        if (std::exchange(waits_, false)) self_.since = now;
        self_.disputed = false;
        spread(self_.name);
        return;
    }
    // Two claim the name. Who comes later waits; two that have served apart from each other both go on and
    // are told of.
    const bool newcomer = now - self_.since < kDisputed * settings_.interval_s && self_.incarnation == 0;
    if (!self_.disputed) {
        self_.disputed = true;
        Member other = self_;
        other.address = said.address();
        other.process = said.process();
        changes_.push_back({other, MemberChange::What::disputed});
    }
    if (newcomer) {
        waits_ = true;
        self_.since = now;
        news_.erase(self_.name);
    } else if (said.incarnation() >= self_.incarnation &&
               now - asserted_at_ > kAssert * settings_.interval_s) {
        asserted_at_ = now;
        self_.incarnation = said.incarnation() + 1;
        spread(self_.name);
    }
}

void SwimMembership::settle_name(double now) {
    if (waits_ || self_.since > now) return;
    spread(self_.name);
}

void SwimMembership::note(double now, const wire::Member& said, const std::string& from) {
    const auto state = static_cast<MemberState>(said.state());
    auto at = members_.find(said.name());
    if (at == members_.end()) {
        if (!there(state) || members_.size() + 1 >= kMembersMost) return;
        Known known;
        known.member = {said.name(),
                        said.address(),
                        said.site(),
                        said.version(),
                        said.incarnation(),
                        said.process(),
                        MemberState::alive,
                        now,
                        0,
                        false};
        at = members_.emplace(said.name(), std::move(known)).first;
        ++alive_;
        changes_.push_back({at->second.member, MemberChange::What::joined});
        spread(said.name());
        if (state == MemberState::suspected)
            suspect(now, at->second, said.accuser().empty() ? from : said.accuser());
        return;
    }
    Known& known = at->second;
    Member& member = known.member;
    const bool same = said.process() == member.process;
    const bool before = there(member.state);
    if (!same && before && there(state) && said.address() != member.address) {
        known.disputed_until = now + kDisputed * settings_.interval_s;
        if (!std::exchange(member.disputed, true))
            changes_.push_back({member, MemberChange::What::disputed});
    }
    if (same && state == MemberState::suspected && member.state == MemberState::suspected &&
        said.incarnation() == member.incarnation)
        return suspect(now, known, said.accuser().empty() ? from : said.accuser());
    if (!newer(said, member)) return;
    if (!same) {
        if (!there(state)) return;   // of a process that was never heard of here
        member.process = said.process();
        member.heard_at = 0;
        member.since = now;
        known.accusers.clear();
        put(known, MemberState::alive);
        changes_.push_back({member, MemberChange::What::restarted});
    }
    member.incarnation = said.incarnation();
    member.address = said.address();
    member.site = said.site();
    member.version = said.version();
    spread(said.name());
    if (state == MemberState::suspected) {
        if (member.state == MemberState::alive)
            suspect(now, known, said.accuser().empty() ? from : said.accuser());
        else if (!there(member.state))
            set(now, known, MemberState::alive), suspect(now, known, from);
        return;
    }
    set(now, known, state);
}

std::vector<Datagram> SwimMembership::take_datagrams() { return std::exchange(datagrams_, {}); }
std::vector<MemberChange> SwimMembership::take_changes() { return std::exchange(changes_, {}); }
std::vector<ReceivedMessage> SwimMembership::take_heard() { return std::exchange(heard_, {}); }

std::vector<Member> SwimMembership::list() const {
    std::vector<Member> all{self_};
    for (const auto& [name, known] : members_) all.push_back(known.member);
    return all;
}

const Member* SwimMembership::find(const std::string& name) const {
    if (name == self_.name) return &self_;
    const auto at = members_.find(name);
    return at == members_.end() ? nullptr : &at->second.member;
}

}   // namespace slatejunction::membership
