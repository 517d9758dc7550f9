#include "membership/packet_codec.hpp"

#include <algorithm>

namespace slatejunction::membership {
namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxTextBytes = 80;
constexpr std::uint32_t kMaxIncarnation = 1U << 30;

// Texts are shown on the admin page and written into JSON, so they have no quotes, backslashes or spaces.
bool is_printable(const std::string& text) {
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c < 127 && c != '"' && c != '\\'; });
}

bool is_valid_text(const std::string& text) { return text.size() <= kMaxTextBytes && is_printable(text); }

}   // namespace

void encode_member(const Member& member, wire::Member& out) {
    out.set_name(member.name);
    out.set_address(member.address);
    out.set_site(member.site);
    out.set_version(member.version);
    out.set_incarnation(member.incarnation);
    out.set_process(member.process);
    out.set_state(static_cast<std::uint32_t>(member.state));
}

wire::Packet make_packet(PacketKind kind, const Member& self) {
    wire::Packet packet;
    packet.set_kind(static_cast<std::uint32_t>(kind));
    encode_member(self, *packet.mutable_from());
    return packet;
}

Member decode_new_member(const wire::Member& update, double now) {
    Member member;
    member.name = update.name();
    member.address = update.address();
    member.site = update.site();
    member.version = update.version();
    member.incarnation = update.incarnation();
    member.process = update.process();
    member.state = MemberState::alive;
    member.state_since = now;
    return member;
}

bool is_valid(const wire::Member& update) {
    if (update.name().empty() || update.name().size() > kMaxNameBytes) return false;
    if (!is_printable(update.name())) return false;
    if (!is_valid_text(update.address()) || !is_valid_text(update.site())) return false;
    if (!is_valid_text(update.version())) return false;
    return update.process() != 0 && update.incarnation() <= kMaxIncarnation && update.state() <= 3;
}

bool has_valid_sender(const wire::Packet& packet, std::uint64_t process) {
    return packet.has_from() && is_valid(packet.from()) && packet.from().process() == process;
}

bool supersedes(const wire::Member& update, const Member& known) {
    if (update.incarnation() != known.incarnation) return update.incarnation() > known.incarnation;
    if (update.process() != known.process) return false;   // a restart raises the incarnation
    return update.state() > static_cast<std::uint32_t>(known.state);
}

}   // namespace slatejunction::membership
