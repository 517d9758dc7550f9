#include "lease/acceptor.hpp"

#include "lease.pb.h"

namespace slatejunction::lease {
namespace {

constexpr std::size_t kNameMost = 80;   // bytes
constexpr double kLivesMost = 3600;     // s
constexpr double kMsOfWire = 0.002;     // s; a message tells whole ms

}   // namespace

std::string write(const Message& message) {
    wire::Message out;
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_lease(message.lease);
    out.set_holder(message.holder);
    out.set_round(message.round);
    out.set_number(message.number);
    out.set_lives_ms(static_cast<std::uint32_t>(std::ceil(std::max(0.0, message.lives_s) * 1e3)));
    out.set_step(message.step);
    out.set_name(message.name);
    return out.SerializeAsString();
}

bool read(std::string_view bytes, Message& message) {
    wire::Message in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
    if (in.kind() < 1 || in.kind() > 5 || in.lease().empty() || in.lease().size() > kNameMost ||
        in.name().size() > kNameMost || in.holder() == 0 || in.round() == 0)
        return false;
    for (const char c : in.lease() + in.name())
        if (c <= ' ' || c >= 127 || c == '"' || c == '\\') return false;
    message = {static_cast<Kind>(in.kind()), in.lease(), in.holder(), in.round(), in.number(),
               in.lives_ms() / 1e3,          in.step(),  in.name()};
    return message.lives_s <= kLivesMost;
}

Acceptor::Acceptor(const LeaseTimes& times, double now, std::uint64_t floor, bool remembers,
                   const std::map<std::string, Grant>& kept, std::uint32_t step)
    : times_(times), floor_(floor), step_(step) {
    if (!remembers) {
        waits_until_ = now + amnesia_s(times_);
        return;
    }
    grants_ = kept;
    for (auto& [lease, grant] : grants_)
        if (grant.holder != 0) grant.until = now + times_.grant_duration_s;
}

bool Acceptor::receive(double now, const Message& message, Message& answer) {
    if (!may_vote(now)) return false;
    answer = message;
    answer.lives_s = 0;
    answer.step = step_;
    if (message.step < step_) {
        answer.kind = Kind::stale;
        return message.kind == Kind::ask;
    }
    auto at = grants_.find(message.lease);
    if (at == grants_.end()) {
        if (message.kind != Kind::ask || grants_.size() >= kLeasesMost) return false;
        at = grants_.emplace(message.lease, Grant{}).first;
        at->second.number = floor_;
    }
    Grant& grant = at->second;
    if (message.kind == Kind::release) {
        // Only what was granted up to that round: a later ask may have come before this.
        if (grant.holder == message.holder && message.round >= grant.round) {
            grant.until = now;
            grant.round = message.round;
            ++changes_;
        }
        return false;
    }
    if (message.kind != Kind::ask) return false;
    answer.number = grant.number;
    // Guards against files that differ: nobody counts on a grant for longer than it is kept here.
    if (message.lives_s > times_.grant_duration_s + kMsOfWire) {
        answer.kind = Kind::denied;
        return true;
    }
    if (grant.holder != message.holder && now < grant.until) {
        answer.kind = Kind::denied;
        answer.lives_s = grant.until - now;
        answer.name = grant.name;
        return true;
    }
    if (grant.holder == message.holder && message.round < grant.round) return false;   // late
    const bool owns = grant.number_of == message.holder && grant.number == message.number;
    if (message.number != 0 && !owns && message.number <= grant.number) {
        answer.kind = Kind::denied;   // the number is another's, or passed: seek anew
        return true;
    }
    if (grant.holder != message.holder || (message.number > grant.number)) ++changes_;
    grant.holder = message.holder;
    grant.round = message.round;
    grant.name = message.name;
    // By what the settings here say too: a grant never lives longer than amnesia_s() reckons with.
    grant.until = now + times_.grant_duration_s;
    if (message.number != 0 && !owns) {
        grant.number = message.number;
        grant.number_of = message.holder;
    }
    answer.kind = Kind::granted;
    answer.number = grant.number;
    answer.lives_s = times_.grant_duration_s;
    return true;
}

}   // namespace slatejunction::lease
