#include "app/fleet_command.hpp"

#include <rapidjson/document.h>

#include <cstdio>

#include "app/admin_client.hpp"
#include "app/program.hpp"

namespace slatejunction::app {
namespace {

void print_members(const rapidjson::Document& json) {
    std::printf("%-16s %-10s %-10s %-24s %-8s %9s\n", "MEMBER", "SITE", "STATE", "ADDRESS", "VERSION",
                "SINCE");
    for (const auto& one : json["members"].GetArray())
        std::printf("%-16s %-10s %-10s %-24s %-8s %8.1fs%s\n", one["name"].GetString(),
                    one["site"].GetString(), one["state"].GetString(), one["address"].GetString(),
                    one["version"].GetString(), one["since_s"].GetDouble(),
                    one["disputed"].GetBool() ? "  TWO CLAIM THIS NAME" : "");
    std::printf("as %s sees it; out of date by up to %.1f s while links work%s\n", json["name"].GetString(),
                json["stale_s"].GetDouble(),
                json["waits_for_name"].GetBool() ? "; its name is another's, it waits" : "");
}

void print_leases(const rapidjson::Document& json) {
    if (!json.HasMember("leases")) return void(std::printf("no leases: [lease] is off\n"));
    std::printf("%-20s %-16s %18s %8s\n", "LEASE", "HOLDER", "NUMBER", "LEFT");
    for (const auto& one : json["leases"].GetArray()) {
        const bool here = one["held_here"].GetBool();
        std::printf("%-20s %-16s", one["lease"].GetString(),
                    one["holder"].GetStringLength() > 0 ? one["holder"].GetString() : "-");
        if (here)
            std::printf(" %18llu %7.2fs\n", static_cast<unsigned long long>(one["number"].GetUint64()),
                        one["left_s"].GetDouble());
        else
            std::printf(" %18s %8s\n", "-", "-");
    }
    std::printf("%s; votes here: %s\n", json["quorum"].GetBool() ? "quorum" : "NO QUORUM",
                json["voting"].GetString());
}

}   // namespace

int run(const FleetCommand& command) {
    std::string body;
    const int status = call_admin(command.admin, "GET",
                                  command.command == "quorum" ? "/v1/fleet/quorum" : "/v1/fleet", {}, body);
    if (status == 0)
        return fail("no answer from '" + command.admin + "': is it admin_addr of a running ingress?");
    if (command.command == "quorum" && (status == 200 || status == 503)) {
        std::printf("%s", body.c_str());
        return status == 200 ? 0 : 1;
    }
    if (status != 200)
        return fail("the ingress answers " + std::to_string(status) + ": [peers] is off there");
    if (command.json) return std::fputs(body.c_str(), stdout) < 0;
    rapidjson::Document json;
    json.Parse(body.c_str());
    if (json.HasParseError() || !json.IsObject() || !json.HasMember("members"))
        return fail("an answer that can't be read");
    if (command.command != "leases") print_members(json);
    if (command.command != "members") print_leases(json);
    return 0;
}

}   // namespace slatejunction::app
