#include "hot_restart/restart_message.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>

namespace slatejunction::hot_restart {
namespace {

// The names on the wire, in the order of RestartMessage::Kind and of OperatorCommand::Kind.
constexpr std::array kKindNames{"hello", "busy",  "socket", "state", "taken",      "back",
                                "use",   "order", "done",   "part",  "request_ids"};
constexpr std::array kCommandNames{"suspend", "resume", "drain", "activate"};

// Returns false if `name` is none of `names`.
template <class Names, class Kind>
bool find_kind(const Names& names, std::string_view name, Kind& kind) {
    for (std::size_t i = 0; i < names.size(); ++i)
        if (name == names[i]) {
            kind = static_cast<Kind>(i);
            return true;
        }
    return false;
}

// Reads the fields of an object. valid() is false once a field was missing or of the wrong type.
class FieldReader {
  public:
    explicit FieldReader(const rapidjson::Value& json) : json_(json) {}
    bool valid() const { return valid_; }
    std::string text(const char* name) {
        const auto* value = find(name);
        if (!value || !value->IsString()) return fail<std::string>();
        return {value->GetString(), value->GetStringLength()};
    }
    std::uint64_t number(const char* name) {
        const auto* value = find(name);
        return value && value->IsUint64() ? value->GetUint64() : fail<std::uint64_t>();
    }
    std::int64_t signed_number(const char* name) {
        const auto* value = find(name);
        return value && value->IsInt64() ? value->GetInt64() : fail<std::int64_t>();
    }
    double real(const char* name) {
        const auto* value = find(name);
        return value && value->IsNumber() ? value->GetDouble() : fail<double>();
    }
    bool flag(const char* name) {
        const auto* value = find(name);
        return value && value->IsBool() ? value->GetBool() : fail<bool>();
    }
    // False if there is none.
    bool optional_flag(const char* name) { return find(name) && flag(name); }
    std::vector<std::uint64_t> numbers(const char* name) {
        std::vector<std::uint64_t> all;
        const auto* value = find(name);
        if (!value || !value->IsArray()) return fail<std::vector<std::uint64_t>>();
        for (const auto& element : value->GetArray()) {
            if (!element.IsUint64()) return fail<std::vector<std::uint64_t>>();
            all.push_back(element.GetUint64());
        }
        return all;
    }
    std::vector<std::string> texts(const char* name) {
        std::vector<std::string> all;
        const auto* value = find(name);
        if (!value || !value->IsArray()) {
            valid_ = false;
            return all;
        }
        for (const auto& element : value->GetArray()) {
            if (!element.IsString()) {
                valid_ = false;
                return all;
            }
            all.emplace_back(element.GetString(), element.GetStringLength());
        }
        return all;
    }

  private:
    template <class T>
    T fail() {
        valid_ = false;
        return T();
    }
    const rapidjson::Value* find(const char* name) const {
        const auto at = json_.FindMember(name);
        return at == json_.MemberEnd() ? nullptr : &at->value;
    }
    const rapidjson::Value& json_;
    bool valid_ = true;
};

// The phases in discovery's JSON format for EndpointState serving and draining.
constexpr std::array kPhases{"Ready", "Terminating"};

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// The part of a state line that is reserved for its fields of bounded length.
constexpr std::size_t kReservedLineBytes = 1024;

// Writes the list in discovery's JSON format, with each start also on the monotonic clock, which both
// processes share.
void write_list(const discovery::EndpointList& list, Writer& json) {
    if (list.revision) {
        json.Key("revision");
        json.Int64(*list.revision);
    }
    json.Key("members");
    json.StartArray();
    for (std::size_t i = 0; i < list.update.endpoints.size(); ++i) {
        const slatejunction::Endpoint& entry = list.update.endpoints[i];
        json.StartObject();
        const auto text = [&](const char* name, const std::string& value) {
            json.Key(name);
            json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
        };
        text("id", entry.backend);
        text("host_port", list.addresses[i]);
        text("locality", entry.zone);
        text("flavor", entry.flavor);
        text("phase", kPhases[entry.state == slatejunction::EndpointState::serving ? 0 : 1]);
        json.Key("cell");
        json.Int64(entry.cell);
        json.Key("size");
        json.Double(entry.capacity_hint);
        json.Key("up_since_ms");
        json.Double(list.up_since_ms[i]);
        json.Key("born_s");
        json.Double(entry.started_at_s);
        json.EndObject();
    }
    json.EndArray();
}

// Returns false if an entry is malformed.
bool read_list(const rapidjson::Value& json, discovery::EndpointList& list) {
    const auto members = json.FindMember("members");
    if (members == json.MemberEnd() || !members->value.IsArray()) return false;
    if (const auto at = json.FindMember("revision"); at != json.MemberEnd() && at->value.IsInt64())
        list.revision = at->value.GetInt64();
    for (const auto& member : members->value.GetArray()) {
        if (!member.IsObject()) return false;
        FieldReader fields(member);
        slatejunction::Endpoint entry;
        entry.backend = fields.text("id");
        const std::string address = fields.text("host_port");
        entry.zone = fields.text("locality");
        entry.flavor = fields.text("flavor");
        const bool ready = fields.text("phase") == kPhases[0];
        entry.state =
            ready ? slatejunction::EndpointState::serving : slatejunction::EndpointState::draining;
        entry.cell = fields.signed_number("cell");
        entry.capacity_hint = fields.real("size");
        entry.started_at_s = fields.real("born_s");
        const double up_since_ms = fields.real("up_since_ms");
        if (!fields.valid() || entry.backend.empty()) return false;
        list.update.endpoints.push_back(std::move(entry));
        list.addresses.push_back(address);
        list.up_since_ms.push_back(up_since_ms);
    }
    return true;
}

void write_text(Writer& json, const char* name, const std::string& value) {
    json.Key(name);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void write_number(Writer& json, const char* name, std::uint64_t value) {
    json.Key(name);
    json.Uint64(value);
}

void write_flag(Writer& json, const char* name, bool value) {
    json.Key(name);
    json.Bool(value);
}

void write_numbers(Writer& json, const char* name, const std::vector<std::uint64_t>& values) {
    json.Key(name);
    json.StartArray();
    for (const std::uint64_t value : values) json.Uint64(value);
    json.EndArray();
}

// Writes as many values as fit: `out`, to which `json` writes, stays below `max_bytes`.
void write_texts(Writer& json, const rapidjson::StringBuffer& out, const char* name,
                 const std::vector<std::string>& values, std::size_t max_bytes) {
    constexpr std::size_t kMaxEscapedBytes = 6;   // of one byte in JSON
    json.Key(name);
    json.StartArray();
    for (const std::string& value : values) {
        if (out.GetSize() + kMaxEscapedBytes * value.size() > max_bytes) break;
        json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    }
    json.EndArray();
}

void write_use(Writer& json, const ResourceUse& use) {
    write_number(json, "consumers", use.client_connections);
    write_number(json, "calls", use.backend_connections);
    write_number(json, "open", use.open_requests);
    write_number(json, "consumer_bytes", use.client_bytes);
    write_number(json, "provider_bytes", use.backend_bytes);
}

ResourceUse read_use(FieldReader& fields) {
    ResourceUse use;
    use.client_connections = fields.number("consumers");
    use.backend_connections = fields.number("calls");
    use.open_requests = fields.number("open");
    use.client_bytes = fields.number("consumer_bytes");
    use.backend_bytes = fields.number("provider_bytes");
    return use;
}

// Leaves the list out if the line would be too long.
void write_optional_list(Writer& json, const rapidjson::StringBuffer& out,
                         const discovery::EndpointList& list) {
    if (list.update.endpoints.empty()) return;
    rapidjson::StringBuffer text;
    Writer members(text);
    members.StartObject();
    write_list(list, members);
    members.EndObject();
    if (out.GetSize() + text.GetSize() >= kMaxLineBytes - kReservedLineBytes) return;
    json.Key("list");
    json.RawValue(text.GetString(), text.GetSize(), rapidjson::kObjectType);
}

void write_state(Writer& json, const rapidjson::StringBuffer& out, const RestartMessage& message) {
    // All suspensions are written: a line that they make too long is rejected, and the takeover fails.
    write_texts(json, out, "suspended", message.suspended, ~std::size_t{0});
    write_optional_list(json, out, message.endpoint_list);
    write_texts(json, out, "listed", message.listed, kMaxLineBytes - kReservedLineBytes);
    write_flag(json, "drained", message.drained);
    write_flag(json, "shares_request_ids", message.shares_request_ids);
    write_use(json, message.resource_use);
}

void read_state(const rapidjson::Value& json, FieldReader& fields, RestartMessage& message) {
    message.suspended = fields.texts("suspended");
    message.listed = fields.texts("listed");
    message.drained = fields.flag("drained");
    message.shares_request_ids = fields.optional_flag("shares_request_ids");
    const auto list = json.FindMember("list");
    if (list != json.MemberEnd())
        if (!list->value.IsObject() || !read_list(list->value, message.endpoint_list))
            message.endpoint_list = {};
    message.resource_use = read_use(fields);
}

std::string to_hex(std::string_view bytes) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string hex;
    for (const char c : bytes) {
        hex += kDigits[static_cast<unsigned char>(c) >> 4];
        hex += kDigits[static_cast<unsigned char>(c) & 15];
    }
    return hex;
}

// Returns false if `hex` is not what to_hex() writes.
bool from_hex(const std::string& hex, std::string& bytes) {
    if (hex.size() % 2 != 0 || hex.find_first_not_of("0123456789abcdef") != std::string::npos) return false;
    for (std::size_t i = 0; i < hex.size(); i += 2)
        bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
    return true;
}

}   // namespace

const char* command_name(OperatorCommand::Kind kind) {
    return kCommandNames[static_cast<std::size_t>(kind)];
}

std::string serialize(const RestartMessage& message) {
    rapidjson::StringBuffer out;
    Writer json(out);
    json.StartObject();
    write_number(json, "v", kProtocolVersion);
    write_text(json, "is", kKindNames[static_cast<std::size_t>(message.kind)]);
    switch (message.kind) {
        case RestartMessage::Kind::hello:
            write_text(json, "name", message.name);
            write_text(json, "listen", message.listen);
            write_flag(json, "shares_request_ids", message.shares_request_ids);
            break;
        case RestartMessage::Kind::state:
            write_state(json, out, message);
            break;
        case RestartMessage::Kind::resource_use:
            write_use(json, message.resource_use);
            break;
        case RestartMessage::Kind::command:
            write_number(json, "number", message.number);
            write_text(json, "order", command_name(message.command.kind));
            write_text(json, "id", message.command.id);
            break;
        case RestartMessage::Kind::extension_state:
            write_number(json, "number", message.number);
            write_text(json, "bytes", to_hex(message.extension_state));
            break;
        case RestartMessage::Kind::request_ids:
            write_flag(json, "never_ran", message.never_ran);
            write_numbers(json, "ids", message.request_ids);
            break;
        case RestartMessage::Kind::command_result:
            write_number(json, "number", message.number);
            write_flag(json, "yes", message.confirmed);
            break;
        default:
            break;
    }
    json.EndObject();
    return std::string(out.GetString(), out.GetSize()) + "\n";
}

bool parse(std::string_view line, RestartMessage& message) {
    message = {};
    rapidjson::Document json;
    // Parses iteratively, as the stack must not grow with the nesting.
    json.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(line.data(),
                                                                                       line.size());
    if (json.HasParseError() || !json.IsObject()) return false;
    FieldReader fields(json);
    if (fields.number("v") != kProtocolVersion || !fields.valid()) return false;
    if (!find_kind(kKindNames, fields.text("is"), message.kind)) return false;
    switch (message.kind) {
        case RestartMessage::Kind::hello:
            message.name = fields.text("name");
            message.listen = fields.text("listen");
            message.shares_request_ids = fields.optional_flag("shares_request_ids");
            break;
        case RestartMessage::Kind::state:
            read_state(json, fields, message);
            break;
        case RestartMessage::Kind::resource_use:
            message.resource_use = read_use(fields);
            break;
        case RestartMessage::Kind::command:
            message.number = fields.number("number");
            if (!find_kind(kCommandNames, fields.text("order"), message.command.kind)) return false;
            message.command.id = fields.text("id");
            break;
        case RestartMessage::Kind::extension_state:
            message.number = fields.number("number");
            if (!from_hex(fields.text("bytes"), message.extension_state)) return false;
            break;
        case RestartMessage::Kind::request_ids:
            message.never_ran = fields.flag("never_ran");
            message.request_ids = fields.numbers("ids");
            break;
        case RestartMessage::Kind::command_result:
            message.number = fields.number("number");
            message.confirmed = fields.flag("yes");
            break;
        default:
            break;
    }
    return fields.valid();
}

}   // namespace slatejunction::hot_restart
