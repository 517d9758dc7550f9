#include "discovery/endpoint_list.hpp"

#include <algorithm>
#include <chrono>

#include "net/glib.hpp"
#include "net/stream.hpp"

namespace slatejunction::discovery {

using slatejunction::EndpointState;
using slatejunction::EndpointUpdateKind;

UnixTimeConverter::UnixTimeConverter() {
    const auto unix_now = std::chrono::system_clock::now().time_since_epoch();
    offset_s_ = std::chrono::duration<double>(unix_now).count() - net::now();
}

double UnixTimeConverter::to_monotonic_s(double unix_ms) const {
    return unix_ms > 0 ? std::max(unix_ms / 1000 - offset_s_, 1e-6) : 0;
}

void parse_json(std::string_view text, rapidjson::Document& json) {
    json.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
}

std::int64_t to_integer(double value) {
    constexpr double kEndOfRange = 0x1p63;
    return value >= -kEndOfRange && value < kEndOfRange ? static_cast<std::int64_t>(value) : 0;
}

namespace {

bool read_entry(const rapidjson::Value& json, const UnixTimeConverter& clock,
                slatejunction::Endpoint& entry, std::string& address, double& up_since_ms) {
    if (!json.IsObject()) return false;
    const auto text = [&](const char* name) {
        const auto it = json.FindMember(name);
        return it != json.MemberEnd() && it->value.IsString()
                   ? std::string(it->value.GetString(), it->value.GetStringLength())
                   : std::string();
    };
    const auto number = [&](const char* name) {
        const auto it = json.FindMember(name);
        return it != json.MemberEnd() && it->value.IsNumber() ? it->value.GetDouble() : 0.0;
    };
    entry.backend = text("id");
    const std::string phase = text("phase");
    if (phase == "Ready")
        entry.state = EndpointState::serving;
    else if (phase == "Terminating")
        entry.state = EndpointState::draining;
    else if (phase == "Gone")
        entry.state = EndpointState::removed;
    else
        return false;
    address = text("host_port");
    entry.flavor = text("flavor");
    entry.zone = text("locality");
    entry.capacity_hint = number("size");
    entry.cell = to_integer(number("cell"));
    up_since_ms = std::max(0.0, number("up_since_ms"));
    entry.started_at_s = clock.to_monotonic_s(up_since_ms);
    return !entry.backend.empty() && (entry.state != EndpointState::serving || net::parse_address(address));
}

// Returns the number of invalid members.
int read_members(const rapidjson::Value& members, const UnixTimeConverter& clock,
                 EndpointList& endpoint_list) {
    int invalid_entries = 0;
    endpoint_list.update.endpoints.clear();
    endpoint_list.addresses.clear();
    endpoint_list.up_since_ms.clear();
    endpoint_list.unparsed_ids.clear();
    for (const rapidjson::Value& member : members.GetArray()) {
        slatejunction::Endpoint entry;
        std::string address;
        double up_since_ms = 0;
        if (!read_entry(member, clock, entry, address, up_since_ms)) {
            ++invalid_entries;
            if (!entry.backend.empty()) endpoint_list.unparsed_ids.push_back(std::move(entry.backend));
            continue;
        }
        endpoint_list.update.endpoints.push_back(std::move(entry));
        endpoint_list.addresses.push_back(std::move(address));
        endpoint_list.up_since_ms.push_back(up_since_ms);
    }
    return invalid_entries;
}

}   // namespace

bool read_endpoint_list(const rapidjson::Value& json, const UnixTimeConverter& clock,
                        EndpointList& endpoint_list, int& invalid_entries) {
    invalid_entries = 0;
    if (!json.IsObject()) return false;
    const auto revision = json.FindMember("revision"), complete = json.FindMember("complete"),
               members = json.FindMember("members");
    if (revision == json.MemberEnd() || !revision->value.IsInt64() || complete == json.MemberEnd() ||
        !complete->value.IsBool() || members == json.MemberEnd() || !members->value.IsArray())
        return false;
    endpoint_list.revision = revision->value.GetInt64();
    invalid_entries = read_members(members->value, clock, endpoint_list);
    const bool all_named = static_cast<std::size_t>(invalid_entries) == endpoint_list.unparsed_ids.size();
    endpoint_list.update.kind =
        complete->value.GetBool() && all_named ? EndpointUpdateKind::snapshot : EndpointUpdateKind::delta;
    return true;
}

bool read_cached_list(const rapidjson::Value& json, const UnixTimeConverter& clock,
                      EndpointList& endpoint_list, int& invalid_entries) {
    invalid_entries = 0;
    if (!json.IsObject()) return false;
    const auto revision = json.FindMember("revision"), members = json.FindMember("members");
    if (members == json.MemberEnd() || !members->value.IsArray()) return false;
    endpoint_list.revision.reset();
    if (revision != json.MemberEnd() && revision->value.IsInt64())
        endpoint_list.revision = revision->value.GetInt64();
    invalid_entries = read_members(members->value, clock, endpoint_list);
    return true;
}

}   // namespace slatejunction::discovery
