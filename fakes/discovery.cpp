#include "discovery.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace fakes {

namespace {

std::int64_t unix_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}   // namespace

Discovery::Discovery(slatejunction::net::Timers& timers, std::string listen, std::vector<Member> members)
    : listen_(std::move(listen)),
      members_(std::move(members)),
      server_(timers, [this](const auto& client, Request& request) { on_request(client, request); }) {}

std::string Discovery::list(bool complete, int since) const {
    rapidjson::StringBuffer text;
    rapidjson::Writer json(text);
    json.StartObject();
    json.Key("revision"), json.Int(revision_);
    json.Key("complete"), json.Bool(complete);
    json.Key("members");
    json.StartArray();
    for (const Member& one : members_) {
        if (complete ? one.phase == "Gone" : one.changed <= since) continue;
        json.StartObject();
        json.Key("id"), json.String(one.id.c_str());
        json.Key("host_port"), json.String(one.host_port.c_str());
        json.Key("locality"), json.String("a");
        json.Key("flavor"), json.String(one.flavor.c_str());
        json.Key("cell"), json.Int(one.cell);
        json.Key("phase"), json.String(one.phase.c_str());
        json.Key("size"), json.Double(1);
        json.Key("up_since_ms"), json.Int64(one.up_since_ms);
        json.EndObject();
    }
    json.EndArray();
    json.EndObject();
    return text.GetString();
}

std::string Discovery::whole() const { return list(true, 0); }
std::string Discovery::changes(int since) const { return list(false, since); }

bool Discovery::set(const std::string& id, const std::string& phase) {
    const auto at =
        std::find_if(members_.begin(), members_.end(), [&](const auto& one) { return one.id == id; });
    if (at == members_.end() || at->phase == "Gone") return false;
    at->phase = phase;
    at->changed = ++revision_;
    tell_waiting();
    return true;
}

bool Discovery::restart(const std::string& id) {
    for (Member& one : members_)
        if (one.id == id) one.up_since_ms = unix_ms();
    return set(id, "Ready");
}

void Discovery::add(Member member) {
    member.changed = ++revision_;
    members_.push_back(std::move(member));
    tell_waiting();
}

void Discovery::behave(const Manner& manner) {
    manner_ = manner;
    if (manner_.silent || manner_.holds) {
        for (const Waiting& one : std::exchange(waiting_, {})) {
            const auto client = one.client.lock();
            if (!client || !client->open()) continue;
            client->later(1e6, [] {});   // in place of its time-out
            if (manner_.holds) held_.push_back(one);
        }
    } else {
        for (const Waiting& one : std::exchange(held_, {}))
            if (const auto client = one.client.lock(); client && client->open()) answer(client, one.since);
    }
}

void Discovery::tell_waiting() {
    for (const Waiting& one : std::exchange(waiting_, {}))
        if (const auto client = one.client.lock(); client && client->open()) answer(client, one.since);
}

// With what there is once the delay is over.
void Discovery::answer(const std::shared_ptr<Client>& client, int since) {
    const auto give = [this, client, since] {
        const std::string list = since < 0 || manner_.always_whole ? whole() : changes(since);
        list_bytes_sent_ += list.size();
        client->answer(200, list);
    };
    if (manner_.delay_s <= 0) {
        client->later(1, [] {});   // in place of its time-out
        return give();
    }
    client->later(manner_.delay_s, give);
}

void Discovery::on_request(const std::shared_ptr<Client>& client, Request& request) {
    ++asked_;
    if (!request.target.starts_with("/registry/instances")) return client->answer(404, "");
    const std::size_t index = request.target.find("index=");
    const int since = index == std::string::npos ? -1 : std::atoi(request.target.c_str() + index + 6);
    if (manner_.silent) return;
    if (manner_.holds) return held_.push_back({client, since});
    if (manner_.turns_away) return client->answer(503, "");
    if (since < revision_) return answer(client, since);
    const std::size_t wait = request.target.find("wait=");
    const double ms = wait == std::string::npos ? 20000 : std::atof(request.target.c_str() + wait + 5);
    std::erase_if(waiting_, [](const auto& one) { return one.client.expired(); });
    waiting_.push_back({client, since});
    client->later(ms / 1e3, [this, client, since] {
        std::erase_if(waiting_, [&](const auto& one) { return one.client.lock() == client; });
        answer(client, since);
    });
}

std::string Discovery::summary() const {
    return "{\"revision\":" + std::to_string(revision_) + ",\"asked\":" + std::to_string(asked_) + "}";
}

}   // namespace fakes
