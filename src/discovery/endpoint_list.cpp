#include "discovery/endpoint_list.hpp"

#include <algorithm>
#include <chrono>

#include "net/glib.hpp"
#include "net/stream.hpp"

namespace slatejunction::discovery {

using slatejunction::ListKind;
using slatejunction::ServerState;

UnixClock::UnixClock() {
    const auto unix_now = std::chrono::system_clock::now().time_since_epoch();
    offset_s_ = std::chrono::duration<double>(unix_now).count() - net::now();
}

double UnixClock::monotonic(double unix_ms) const {
    return unix_ms > 0 ? std::max(unix_ms / 1000 - offset_s_, 1e-6) : 0;
}

void parse(std::string_view text, rapidjson::Document& json) {
    json.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
}

std::int64_t whole(double value) {
    constexpr double kLimit = 0x1p63;
    return value >= -kLimit && value < kLimit ? static_cast<std::int64_t>(value) : 0;
}

namespace {

bool read_entry(const rapidjson::Value& json, const UnixClock& clock, slatejunction::ListEntry& entry,
                std::string& address, double& up_since_ms) {
    if (!json.IsObject()) return false;
    const auto text = [&](const char* name) {
        const auto at = json.FindMember(name);
        return at != json.MemberEnd() && at->value.IsString()
                   ? std::string(at->value.GetString(), at->value.GetStringLength())
                   : std::string();
    };
    const auto number = [&](const char* name) {
        const auto at = json.FindMember(name);
        return at != json.MemberEnd() && at->value.IsNumber() ? at->value.GetDouble() : 0.0;
    };
    entry.server = text("id");
    const std::string phase = text("phase");
    if (phase == "Ready")
        entry.state = ServerState::in;
    else if (phase == "Terminating")
        entry.state = ServerState::lame;
    else if (phase == "Gone")
        entry.state = ServerState::out;
    else
        return false;
    address = text("host_port");
    entry.kind = text("flavor");
    entry.zone = text("locality");
    entry.capacity_hint = number("size");
    entry.cell = whole(number("cell"));
    up_since_ms = std::max(0.0, number("up_since_ms"));
    entry.born_s = clock.monotonic(up_since_ms);
    return !entry.server.empty() && (entry.state != ServerState::in || net::parse_address(address));
}

// Each member that can be read; how many can't.
int read_members(const rapidjson::Value& members, const UnixClock& clock, Listing& listing) {
    int broken = 0;
    listing.update.entries.clear();
    listing.addresses.clear();
    listing.up_since_ms.clear();
    listing.unread.clear();
    for (const rapidjson::Value& member : members.GetArray()) {
        slatejunction::ListEntry entry;
        std::string address;
        double up_since_ms = 0;
        if (!read_entry(member, clock, entry, address, up_since_ms)) {
            ++broken;
            if (!entry.server.empty()) listing.unread.push_back(std::move(entry.server));
            continue;
        }
        listing.update.entries.push_back(std::move(entry));
        listing.addresses.push_back(std::move(address));
        listing.up_since_ms.push_back(up_since_ms);
    }
    return broken;
}

}   // namespace

bool read_listing(const rapidjson::Value& json, const UnixClock& clock, Listing& listing, int& broken) {
    broken = 0;
    if (!json.IsObject()) return false;
    const auto revision = json.FindMember("revision"), complete = json.FindMember("complete"),
               members = json.FindMember("members");
    if (revision == json.MemberEnd() || !revision->value.IsInt64() || complete == json.MemberEnd() ||
        !complete->value.IsBool() || members == json.MemberEnd() || !members->value.IsArray())
        return false;
    listing.revision = revision->value.GetInt64();
    broken = read_members(members->value, clock, listing);
    const bool all_named = static_cast<std::size_t>(broken) == listing.unread.size();
    listing.update.kind = complete->value.GetBool() && all_named ? ListKind::total : ListKind::changes;
    return true;
}

bool read_copy(const rapidjson::Value& json, const UnixClock& clock, Listing& listing, int& broken) {
    broken = 0;
    if (!json.IsObject()) return false;
    const auto revision = json.FindMember("revision"), members = json.FindMember("members");
    if (members == json.MemberEnd() || !members->value.IsArray()) return false;
    listing.revision.reset();
    if (revision != json.MemberEnd() && revision->value.IsInt64())
        listing.revision = revision->value.GetInt64();
    broken = read_members(members->value, clock, listing);
    return true;
}

}   // namespace slatejunction::discovery
