#include "receiver_server.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <stdexcept>

namespace fakes {

namespace net = slatejunction::net;

namespace {
constexpr double kTrickle = 0.2;             // s between bytes
constexpr std::size_t kHuge = 100'000'000;   // bytes
constexpr std::size_t kPiece = std::size_t{64} * 1024;
constexpr double kPour = 0.002;   // s between pieces
}   // namespace

Fault read_fault(const std::string& text) {
    static const std::array<const char*, 10> kKnown{"none", "refuse",  "hang", "status", "lost",
                                                    "cut",  "trickle", "huge", "close",  "reset"};
    Fault fault;
    std::istringstream words(text);
    words >> fault.name;
    words >> fault.one >> fault.two;
    if (std::find(kKnown.begin(), kKnown.end(), fault.name) == kKnown.end())
        throw std::runtime_error("unknown fault '" + text + "'");
    if (words.fail()) fault.two = -1;
    return fault;
}

ReceiverServer::ReceiverServer(net::Timers& timers, std::string address, bool v1_only,
                               std::vector<Step> script)
    : timers_(timers),
      address_(std::move(address)),
      receiver_(v1_only),
      server_(timers, [this](const auto& client, Request& request) { on_request(client, request); }),
      script_(std::move(script)),
      timer_(timers, [this] { step(); }) {}

bool ReceiverServer::start(std::string& why) {
    started_ = net::now();
    if (!set(fault_, why)) return false;
    step();
    return true;
}

void ReceiverServer::step() {
    std::string why;
    while (next_ < script_.size() && net::now() >= started_ + script_[next_].at)
        set(script_[next_++].fault, why);
    if (next_ < script_.size()) timer_.arm(started_ + script_[next_].at);
}

bool ReceiverServer::set(const Fault& fault, std::string& why) {
    fault_ = fault;
    server_.cut_after = fault.name == "cut" ? static_cast<std::size_t>(fault.one) : SIZE_MAX;
    if (fault.name == "refuse") {
        server_.stop();
        server_.end_all();
        listening_ = false;
    } else if (!listening_) {
        if (!server_.start(address_, why)) return false;
        listening_ = true;
    }
    return true;
}

void ReceiverServer::on_request(const std::shared_ptr<Client>& client, Request& request) {
    const std::string& what = fault_.name;
    if (what == "hang" || what == "cut") return;
    if (what == "reset") return client->reset();
    if (request.field("authorization") != credentials) return client->answer(401, "who are you?");
    if (what == "status") {
        const std::string wait =
            fault_.two >= 0 ? "Retry-After: " + std::to_string(static_cast<int>(fault_.two)) + "\r\n" : "";
        return client->answer(static_cast<int>(fault_.one), "as scripted", wait);
    }
    const Verdict verdict = receiver_.take(request);
    if (what == "lost") return client->end();
    if (what == "trickle") return trickle(client, "HTTP/1.1 204 No Content\r\n\r\n");
    if (what == "huge") {
        client->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kHuge) + "\r\n" +
                     verdict.fields + "\r\n");
        return pour(client, kHuge);
    }
    client->answer(verdict.status, verdict.text, verdict.fields);
    if (what == "close") client->end();
}

void ReceiverServer::trickle(const std::shared_ptr<Client>& client, std::string left) {
    if (left.empty()) return;
    client->send(left.substr(0, 1));
    client->later(kTrickle, [this, client, left] { trickle(client, left.substr(1)); });
}

void ReceiverServer::pour(const std::shared_ptr<Client>& client, std::size_t left) {
    if (left == 0 || !client->open()) return;
    const std::size_t size = std::min(left, kPiece);
    if (!client->stream.unsent()) client->send(std::string(size, 'x')), left -= size;
    client->later(kPour, [this, client, left] { pour(client, left); });
}

std::string ReceiverServer::summary() const {
    rapidjson::StringBuffer text;
    rapidjson::Writer json(text);
    json.StartObject();
    json.Key("batches"), json.Uint64(receiver_.batches());
    json.Key("samples"), json.Uint64(receiver_.samples());
    json.Key("repeats"), json.Uint64(receiver_.repeats());
    json.Key("series"), json.Uint64(receiver_.series().size());
    json.Key("breaches"), json.Uint64(receiver_.breach_count());
    json.Key("first_breaches");
    json.StartArray();
    for (const std::string& one : receiver_.breaches()) json.String(one.c_str());
    json.EndArray();
    json.EndObject();
    return text.GetString();
}

}   // namespace fakes
