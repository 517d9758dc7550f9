#include "directory.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace standin {

Directory::Directory(slatejunction::net::Timers& timers, std::string listen, std::vector<Member> members)
    : listen_(std::move(listen)),
      members_(std::move(members)),
      server_(timers, [this](const auto& client, Request& request) { on_request(client, request); }) {}

std::string Directory::list(bool complete) const {
    rapidjson::StringBuffer text;
    rapidjson::Writer json(text);
    json.StartObject();
    json.Key("revision"), json.Int(revision_);
    json.Key("complete"), json.Bool(complete);
    json.Key("members");
    json.StartArray();
    for (const Member& one : members_) {
        json.StartObject();
        json.Key("id"), json.String(one.id.c_str());
        json.Key("host_port"), json.String(one.host_port.c_str());
        json.Key("locality"), json.String("a");
        json.Key("flavor"), json.String(one.flavor.c_str());
        json.Key("cell"), json.Int(1);
        json.Key("phase"), json.String(one.phase.c_str());
        json.Key("size"), json.Double(1);
        json.Key("up_since_ms"), json.Int64(one.up_since_ms);
        json.EndObject();
    }
    json.EndArray();
    json.EndObject();
    return text.GetString();
}

bool Directory::set(const std::string& id, const std::string& phase) {
    const auto at =
        std::find_if(members_.begin(), members_.end(), [&](const auto& one) { return one.id == id; });
    if (at == members_.end()) return false;
    at->phase = phase;
    ++revision_;
    const std::string changed = list(false);
    for (const auto& one : std::exchange(waiting_, {}))
        if (const auto client = one.lock(); client && client->open()) {
            client->later(1, [] {});   // in place of its time-out
            client->answer(200, changed);
        }
    if (phase == "Gone") members_.erase(at);
    return true;
}

bool Directory::restart(const std::string& id) {
    for (Member& one : members_)
        if (one.id == id)
            one.up_since_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                                  std::chrono::system_clock::now().time_since_epoch())
                                  .count();
    return set(id, "Ready");
}

void Directory::on_request(const std::shared_ptr<Client>& client, Request& request) {
    ++asked_;
    const std::size_t index = request.target.find("index=");
    if (!request.target.starts_with("/registry/instances")) return client->answer(404, "");
    if (index == std::string::npos) return client->answer(200, list(true));
    if (std::atoi(request.target.c_str() + index + 6) < revision_) return client->answer(200, list(true));
    const std::size_t wait = request.target.find("wait=");
    const double ms = wait == std::string::npos ? 20000 : std::atof(request.target.c_str() + wait + 5);
    std::erase_if(waiting_, [](const auto& one) { return one.expired(); });
    waiting_.push_back(client);
    client->later(ms / 1e3, [this, client] {
        std::erase_if(waiting_, [&](const auto& one) { return one.lock() == client; });
        client->answer(
            200, "{\"revision\":" + std::to_string(revision_) + ",\"complete\":false,\"members\":[]}");
    });
}

std::string Directory::summary() const {
    return "{\"revision\":" + std::to_string(revision_) + ",\"asked\":" + std::to_string(asked_) + "}";
}

}   // namespace standin
