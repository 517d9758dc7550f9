#include "hot_restart/restart_message.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>

namespace slatejunction::hot_restart {
namespace {

constexpr std::array kWords{"hello", "busy", "socket", "state", "taken",
                            "back",  "use",  "order",  "done",  "part"};
constexpr std::array kOrders{"suspend", "resume", "drain", "activate"};

template <class Words, class What>
bool find(const Words& words, std::string_view word, What& what) {
    for (std::size_t i = 0; i < words.size(); ++i)
        if (word == words[i]) {
            what = static_cast<What>(i);
            return true;
        }
    return false;
}

// Fields of an object; the first that is missing or of another kind makes the whole unreadable.
class Reader {
  public:
    explicit Reader(const rapidjson::Value& json) : json_(json) {}
    bool good() const { return good_; }
    std::string text(const char* name) {
        const auto* value = find(name);
        if (!value || !value->IsString()) return good_ = false, "";
        return {value->GetString(), value->GetStringLength()};
    }
    std::uint64_t number(const char* name) {
        const auto* value = find(name);
        if (!value || !value->IsUint64()) return good_ = false, 0;
        return value->GetUint64();
    }
    std::int64_t whole(const char* name) {
        const auto* value = find(name);
        if (!value || !value->IsInt64()) return good_ = false, 0;
        return value->GetInt64();
    }
    double real(const char* name) {
        const auto* value = find(name);
        if (!value || !value->IsNumber()) return good_ = false, 0.0;
        return value->GetDouble();
    }
    bool flag(const char* name) {
        const auto* value = find(name);
        if (!value || !value->IsBool()) return good_ = false;
        return value->GetBool();
    }
    std::vector<std::string> texts(const char* name) {
        std::vector<std::string> all;
        const auto* value = find(name);
        if (!value || !value->IsArray()) return good_ = false, all;
        for (const auto& one : value->GetArray()) {
            if (!one.IsString()) return good_ = false, all;
            all.emplace_back(one.GetString(), one.GetStringLength());
        }
        return all;
    }

  private:
    const rapidjson::Value* find(const char* name) const {
        const auto at = json_.FindMember(name);
        return at == json_.MemberEnd() ? nullptr : &at->value;
    }
    const rapidjson::Value& json_;
    bool good_ = true;
};

constexpr std::array kPhases{"Ready", "Terminating"};   // in the order of ServerState

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// In the form of discovery's lists, with the start as the old process counts it: both processes have one
// monotonic clock.
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

// False where an entry can't be read: then there is no list.
bool read_list(const rapidjson::Value& json, discovery::EndpointList& list) {
    const auto members = json.FindMember("members");
    if (members == json.MemberEnd() || !members->value.IsArray()) return false;
    if (const auto at = json.FindMember("revision"); at != json.MemberEnd() && at->value.IsInt64())
        list.revision = at->value.GetInt64();
    for (const auto& one : members->value.GetArray()) {
        if (!one.IsObject()) return false;
        Reader fields(one);
        slatejunction::Endpoint entry;
        entry.backend = fields.text("id");
        const std::string address = fields.text("host_port");
        entry.zone = fields.text("locality");
        entry.flavor = fields.text("flavor");
        const bool ready = fields.text("phase") == kPhases[0];
        entry.state =
            ready ? slatejunction::EndpointState::serving : slatejunction::EndpointState::draining;
        entry.cell = fields.whole("cell");
        entry.capacity_hint = fields.real("size");
        entry.started_at_s = fields.real("born_s");
        const double up_since_ms = fields.real("up_since_ms");
        if (!fields.good() || entry.backend.empty()) return false;
        list.update.endpoints.push_back(std::move(entry));
        list.addresses.push_back(address);
        list.up_since_ms.push_back(up_since_ms);
    }
    return true;
}

}   // namespace

const char* word(OperatorOrder::Kind what) { return kOrders[static_cast<std::size_t>(what)]; }

std::string write(const RestartMessage& message) {
    rapidjson::StringBuffer out;
    Writer json(out);
    const auto text = [&](const char* name, const std::string& value) {
        json.Key(name);
        json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    const auto number = [&](const char* name, std::uint64_t value) {
        json.Key(name);
        json.Uint64(value);
    };
    const auto texts = [&](const char* name, const std::vector<std::string>& values, std::size_t most) {
        json.Key(name);
        json.StartArray();
        for (const std::string& value : values) {
            if (out.GetSize() + 6 * value.size() > most) break;
            json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
        }
        json.EndArray();
    };
    json.StartObject();
    number("v", kVersion);
    text("is", kWords[static_cast<std::size_t>(message.kind)]);
    switch (message.kind) {
        case RestartMessage::Kind::hello:
            text("name", message.name);
            text("listen", message.listen);
            break;
        case RestartMessage::Kind::state:
            // Suspensions are all there, or the line is too long to be read and nothing is taken over.
            texts("suspended", message.suspended, ~std::size_t{0});
            if (const std::size_t begun = out.GetSize(); !message.endpoint_list.update.endpoints.empty()) {
                rapidjson::StringBuffer list;
                Writer members(list);
                members.StartObject();
                write_list(message.endpoint_list, members);
                members.EndObject();
                if (begun + list.GetSize() < kLineMost - 1024) {
                    json.Key("list");
                    json.RawValue(list.GetString(), list.GetSize(), rapidjson::kObjectType);
                }
            }
            texts("listed", message.listed, kLineMost - 1024);
            json.Key("drained");
            json.Bool(message.drained);
            [[fallthrough]];
        case RestartMessage::Kind::use:
            number("consumers", message.resource_use.client_connections);
            number("calls", message.resource_use.backend_connections);
            number("open", message.resource_use.open_requests);
            number("consumer_bytes", message.resource_use.client_bytes);
            number("provider_bytes", message.resource_use.backend_bytes);
            break;
        case RestartMessage::Kind::order:
            number("number", message.number);
            text("order", word(message.order.kind));
            text("id", message.order.id);
            break;
        case RestartMessage::Kind::part: {
            static constexpr char kDigits[] = "0123456789abcdef";
            std::string hex;
            for (const char c : message.name) {
                hex += kDigits[static_cast<unsigned char>(c) >> 4];
                hex += kDigits[static_cast<unsigned char>(c) & 15];
            }
            number("number", message.number);
            text("bytes", hex);
            break;
        }
        case RestartMessage::Kind::done:
            number("number", message.number);
            json.Key("yes");
            json.Bool(message.yes);
            break;
        default:
            break;
    }
    json.EndObject();
    return std::string(out.GetString(), out.GetSize()) + "\n";
}

bool read(std::string_view line, RestartMessage& message) {
    message = {};
    rapidjson::Document json;
    // Iterative: noise must not take the stack.
    json.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(line.data(),
                                                                                       line.size());
    if (json.HasParseError() || !json.IsObject()) return false;
    Reader fields(json);
    if (fields.number("v") != kVersion || !fields.good()) return false;
    if (!find(kWords, fields.text("is"), message.kind)) return false;
    switch (message.kind) {
        case RestartMessage::Kind::hello:
            message.name = fields.text("name");
            message.listen = fields.text("listen");
            break;
        case RestartMessage::Kind::state:
            message.suspended = fields.texts("suspended");
            message.listed = fields.texts("listed");
            message.drained = fields.flag("drained");
            if (const auto list = json.FindMember("list"); list != json.MemberEnd())
                if (!list->value.IsObject() || !read_list(list->value, message.endpoint_list))
                    message.endpoint_list = {};
            [[fallthrough]];
        case RestartMessage::Kind::use:
            message.resource_use.client_connections = fields.number("consumers");
            message.resource_use.backend_connections = fields.number("calls");
            message.resource_use.open_requests = fields.number("open");
            message.resource_use.client_bytes = fields.number("consumer_bytes");
            message.resource_use.backend_bytes = fields.number("provider_bytes");
            break;
        case RestartMessage::Kind::order:
            message.number = fields.number("number");
            if (!find(kOrders, fields.text("order"), message.order.kind)) return false;
            message.order.id = fields.text("id");
            break;
        case RestartMessage::Kind::part: {
            message.number = fields.number("number");
            const std::string hex = fields.text("bytes");
            if (hex.size() % 2 != 0 || hex.find_first_not_of("0123456789abcdef") != std::string::npos)
                return false;
            for (std::size_t i = 0; i < hex.size(); i += 2)
                message.name += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
            break;
        }
        case RestartMessage::Kind::done:
            message.number = fields.number("number");
            message.yes = fields.flag("yes");
            break;
        default:
            break;
    }
    return fields.good();
}

}   // namespace slatejunction::hot_restart
