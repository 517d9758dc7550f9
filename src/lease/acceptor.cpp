#include "lease/acceptor.hpp"

#include "lease.pb.h"

namespace slatejunction::lease {
namespace {

constexpr std::size_t kMaxNameBytes = 80;
constexpr double kMaxDurationS = 3600;
constexpr double kDurationToleranceS = 0.002;   // durations in messages are rounded up to whole ms

bool is_printable(const std::string& text) {
    for (const char c : text)
        if (c <= ' ' || c >= 127 || c == '"' || c == '\\') return false;
    return true;
}

std::uint32_t to_wire_ms(double duration_s) {
    return static_cast<std::uint32_t>(std::ceil(std::max(0.0, duration_s) * 1e3));
}

}   // namespace

std::string encode(const Message& message) {
    wire::Message out;
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_lease(message.lease);
    out.set_holder(message.holder);
    out.set_round(message.round);
    out.set_number(message.fencing_token);
    out.set_lives_ms(to_wire_ms(message.duration_s));
    out.set_step(message.epoch);
    out.set_name(message.holder_name);
    return out.SerializeAsString();
}

bool decode(std::string_view bytes, Message& message) {
    wire::Message in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
    if (in.kind() < 1 || in.kind() > 5) return false;
    if (in.lease().empty() || in.lease().size() > kMaxNameBytes) return false;
    if (in.name().size() > kMaxNameBytes || in.holder() == 0 || in.round() == 0) return false;
    if (!is_printable(in.lease()) || !is_printable(in.name())) return false;
    message.kind = static_cast<MessageKind>(in.kind());
    message.lease = in.lease();
    message.holder = in.holder();
    message.round = in.round();
    message.fencing_token = in.number();
    message.duration_s = in.lives_ms() / 1e3;
    message.epoch = in.step();
    message.holder_name = in.name();
    return message.duration_s <= kMaxDurationS;
}

Acceptor::Acceptor(const LeaseTimes& times, double now, std::uint64_t token_floor, bool has_state,
                   const std::map<std::string, Grant>& stored, std::uint32_t epoch)
    : times_(times), token_floor_(token_floor), epoch_(epoch) {
    if (!has_state) {
        recovery_ends_at_ = now + recovery_wait_s(times_);
        return;
    }
    grants_ = stored;
    for (auto& [lease, grant] : grants_)
        if (grant.holder != 0) grant.expires_at = now + times_.grant_duration_s;
}

bool Acceptor::receive(double now, const Message& message, Message& answer) {
    if (!is_voting(now)) return false;
    answer = message;
    answer.duration_s = 0;
    answer.epoch = epoch_;
    if (message.epoch < epoch_) {
        answer.kind = MessageKind::stale_epoch;
        return message.kind == MessageKind::request;
    }
    Grant* const grant = find_or_create_grant(message);
    if (!grant) return false;
    if (message.kind == MessageKind::release) release(now, message, *grant);
    if (message.kind != MessageKind::request) return false;
    return handle_request(now, message, *grant, answer);
}

// Returns null for an unknown lease if the message is not a request or kMaxLeases are stored already.
Grant* Acceptor::find_or_create_grant(const Message& message) {
    const auto found = grants_.find(message.lease);
    if (found != grants_.end()) return &found->second;
    if (message.kind != MessageKind::request || grants_.size() >= kMaxLeases) return nullptr;
    Grant& created = grants_[message.lease];
    created.fencing_token = token_floor_;
    return &created;
}

void Acceptor::release(double now, const Message& message, Grant& grant) {
    // A later request of the same holder may have arrived before this release.
    if (grant.holder == message.holder && message.round >= grant.round) {
        grant.expires_at = now;
        grant.round = message.round;
        ++revision_;
    }
}

bool Acceptor::handle_request(double now, const Message& request, Grant& grant, Message& answer) {
    answer.fencing_token = grant.fencing_token;
    // The configurations differ: a candidate must not rely on a grant for longer than it is kept here.
    if (request.duration_s > times_.grant_duration_s + kDurationToleranceS) {
        answer.kind = MessageKind::denied;
        return true;
    }
    if (grant.holder != request.holder && now < grant.expires_at) {
        answer.kind = MessageKind::denied;
        answer.duration_s = grant.expires_at - now;
        answer.holder_name = grant.holder_name;
        return true;
    }
    const bool is_old_round = grant.holder == request.holder && request.round < grant.round;
    if (is_old_round) return false;
    const bool claims_token = request.fencing_token != 0;
    const bool owns_token =
        grant.token_owner == request.holder && grant.fencing_token == request.fencing_token;
    if (claims_token && !owns_token && request.fencing_token <= grant.fencing_token) {
        answer.kind = MessageKind::denied;   // the answer carries the highest known token
        return true;
    }
    store_grant(now, request, claims_token && !owns_token, grant);
    answer.kind = MessageKind::granted;
    answer.fencing_token = grant.fencing_token;
    answer.duration_s = times_.grant_duration_s;
    return true;
}

void Acceptor::store_grant(double now, const Message& request, bool claims_token, Grant& grant) {
    if (grant.holder != request.holder || request.fencing_token > grant.fencing_token) ++revision_;
    grant.holder = request.holder;
    grant.round = request.round;
    grant.holder_name = request.holder_name;
    // Uses the duration configured here, not the requested one: recovery_wait_s() relies on it.
    grant.expires_at = now + times_.grant_duration_s;
    if (!claims_token) return;
    grant.fencing_token = request.fencing_token;
    grant.token_owner = request.holder;
}

}   // namespace slatejunction::lease
