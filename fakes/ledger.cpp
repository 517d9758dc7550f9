#include "ledger.hpp"

#include <rapidjson/document.h>

#include <cstdio>
#include <ctime>

namespace fakes {

Ledger::Ledger(slatejunction::net::Timers& timers, std::string address, const std::string& out)
    : address_(std::move(address)),
      server_(timers, [this](const auto& client, Request& request) { take(client, request); }) {
    if (!out.empty()) out_.open(out, std::ios::app);
}

void Ledger::take(const std::shared_ptr<Client>& client, const Request& request) {
    rapidjson::Document json;
    json.Parse(request.body.c_str());
    if (request.method != "POST" || json.HasParseError() || !json.IsObject() || !json.HasMember("holder") ||
        !json["holder"].IsString() || !json.HasMember("number") || !json["number"].IsUint64()) {
        ++unreadable_;
        return client->answer(400, "no act");
    }
    const std::string holder = json["holder"].GetString();
    const std::uint64_t number = json["number"].GetUint64();
    std::uint64_t& highest = highest_[request.target];
    const bool taken = number >= highest;
    ++acts_;
    if (taken) {
        changes_ += holder != holder_;
        highest = number;
        holder_ = holder;
    } else {
        ++refused_;
    }
    timespec at{};
    clock_gettime(CLOCK_MONOTONIC_RAW, &at);
    if (out_.is_open())
        out_ << "{\"at_ns\":" << static_cast<std::int64_t>(at.tv_sec) * 1'000'000'000 + at.tv_nsec
             << ",\"event\":\"ledger\",\"holder\":\"" << holder << "\",\"number\":\"" << number
             << "\",\"taken\":\"" << (taken ? "yes" : "no") << "\"}" << std::endl;
    client->answer(taken ? 200 : 409, taken ? "taken" : "the number is lower than one taken");
}

std::string Ledger::summary() const {
    char text[300];
    std::snprintf(text, sizeof text,
                  "{\"acts\":%llu,\"refused\":%llu,\"unreadable\":%llu,\"changes\":%llu,\"holder\":\"%s\"}",
                  static_cast<unsigned long long>(acts_), static_cast<unsigned long long>(refused_),
                  static_cast<unsigned long long>(unreadable_), static_cast<unsigned long long>(changes_),
                  holder_.c_str());
    return text;
}

}   // namespace fakes
