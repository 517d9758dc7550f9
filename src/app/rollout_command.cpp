#include "app/rollout_command.hpp"

#include <rapidjson/document.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>

#include "app/admin_client.hpp"
#include "app/program.hpp"

namespace slatejunction::app {
namespace {

constexpr int kNoAnswer = 0;

std::string read_all(std::istream& in) {
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

int no_answer(const RolloutCommand& command) {
    return fail("no answer from '" + command.admin + "': is it admin_addr of a running ingress?");
}

unsigned long long number(const rapidjson::Value& json, const char* key) {
    return json.HasMember(key) && json[key].IsUint64() ? json[key].GetUint64() : 0;
}

void print_standings(const rapidjson::Value& report, const char* key, const char* title) {
    if (!report.HasMember(key)) return;
    for (const auto& one : report[key].GetArray())
        std::printf("  %s %-24s in force %llu, trouble %s\n", title, one["name"].GetString(),
                    number(one, "in_force"), one["trouble"].GetString());
}

void print_report(const rapidjson::Document& json, const char* key) {
    if (!json.HasMember(key)) return;
    const auto& report = json[key];
    std::printf("%s: %llu heard of, all have %llu in force; %llu behind, %llu silent, %llu refuse\n", key,
                number(report, "counted"), number(report, "everywhere"), number(report, "behind"),
                number(report, "silent"), number(report, "refuse"));
    print_standings(report, "behind_names", "behind");
    print_standings(report, "silent_names", "silent");
    for (const auto& one : report["refusals"].GetArray())
        std::printf("  %s refuses %llu: %s\n", one["name"].GetString(), number(one, "number"),
                    one["reason"].GetString());
}

void print_status(const rapidjson::Document& json) {
    const bool control = std::string(json["role"].GetString()) == "control";
    std::printf("%s, %s: ", json["name"].GetString(), json["role"].GetString());
    if (control) {
        const std::string source = json["source"].GetString();
        std::printf("committed %llu, cleared %llu; source %s; remembers: %s%s\n", number(json, "committed"),
                    number(json, "cleared"), source.empty() ? "NOT KNOWN" : source.c_str(),
                    json["remembers"].GetBool() ? "yes" : "NO",
                    json["disk_failed"].GetBool() ? "; DISK FAILED" : "");
    } else {
        std::printf("in force %llu, cleared %llu; parent %s, trouble %s\n", number(json, "in_force"),
                    number(json, "cleared"), json["parent"].GetString(), json["trouble"].GetString());
        if (number(json, "refused") != 0)
            std::printf("  refuses %llu: %s\n", number(json, "refused"), json["reason"].GetString());
        if (json["left_out"].GetStringLength() > 0)
            std::printf("  LEFT OUT since the start: %s\n", json["left_out"].GetString());
    }
    print_report(json, "fleet");
    print_report(json, "children");
    std::printf("%u sections rolled out\n", json["keys"].Size());
    for (const auto& key : json["keys"].GetArray()) std::printf("  [%s]\n", key.GetString());
}

int status(const RolloutCommand& command) {
    std::string body;
    const int status = call_admin(command.admin, "GET", "/v1/rollout", {}, body);
    if (status == kNoAnswer) return no_answer(command);
    if (status != 200)
        return fail("the ingress answers " + std::to_string(status) + ": [rollout] is off there");
    if (command.json) return std::fputs(body.c_str(), stdout) < 0;
    rapidjson::Document json;
    json.Parse(body.c_str());
    if (json.HasParseError() || !json.IsObject() || !json.HasMember("role"))
        return fail("an answer that can't be read");
    print_status(json);
    return 0;
}

// Empty lines of its own are kept; a value is never empty.
bool read_value(const RolloutCommand& command, std::string& value) {
    value = command.text;
    if (command.file == "-") value = read_all(std::cin);
    if (command.file.empty() || command.file == "-") return true;
    std::ifstream in(command.file, std::ios::binary);
    value = read_all(in);
    return in.good() || in.eof();
}

}   // namespace

int run(const RolloutCommand& command) {
    if (command.command == "status") return status(command);
    std::string value, answer;
    if (command.command == "propose" && !read_value(command, value))
        return fail("'" + command.file + "' can't be read");
    const char* const method = command.command == "propose" ? "POST" : "DELETE";
    const int status =
        call_admin(command.admin, method, "/v1/rollout/" + encode(command.key), value, answer);
    if (status == kNoAnswer) return no_answer(command);
    std::printf("%s", answer.c_str());
    return status == 200 ? 0 : 1;
}

}   // namespace slatejunction::app
