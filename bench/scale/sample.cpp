#include "sample.hpp"

#include <cstdio>

namespace slatejunction::scale {
namespace {

constexpr std::size_t kZones = 17, kKinds = 4;

std::string id_of(std::size_t i) {
    char text[32];
    std::snprintf(text, sizeof text, "backend-%06zu", i);
    return text;
}

}   // namespace

std::string list_text(std::size_t backends, std::size_t from, std::size_t to, bool complete) {
    std::string text = "{\"revision\":" + std::to_string(1'000'000 + backends) +
                       ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
    for (std::size_t i = from; i < to; ++i) {
        char entry[300];
        std::snprintf(entry, sizeof entry,
                      "%s{\"id\":\"%s\",\"host_port\":\"10.%zu.%zu.%zu:8080\",\"phase\":\"Ready\","
                      "\"flavor\":\"m%zu\",\"locality\":\"zone-%zu\",\"size\":%.1f,\"cell\":%zu,"
                      "\"up_since_ms\":%zu}",
                      i == from ? "" : ",", id_of(i).c_str(), i / 62'500 + 1, i / 250 % 250, i % 250 + 1,
                      i % kKinds, i % kZones, 1.0 + static_cast<double>(i % 3), i % 100,
                      1'760'000'000'000 + i * 1000);
        text += entry;
    }
    return text + "]}";
}

EndpointUpdate list_of(std::size_t backends) {
    EndpointUpdate list;
    list.kind = EndpointUpdateKind::snapshot;
    for (std::size_t i = 0; i < backends; ++i) {
        Endpoint entry;
        entry.backend = id_of(i);
        entry.flavor = "m" + std::to_string(i % kKinds);
        entry.zone = "zone-" + std::to_string(i % kZones);
        entry.capacity_hint = 1.0 + static_cast<double>(i % 3);
        entry.cell = static_cast<std::int64_t>(i % 100);
        list.endpoints.push_back(entry);
    }
    return list;
}

std::string class_name(std::size_t i) { return "service-" + std::to_string(i); }
std::string plan_name(std::size_t i) { return "tenant-plan-" + std::to_string(i); }

Settings settings_of(std::size_t classes, std::size_t plans) {
    Settings settings;
    for (std::size_t i = 0; i < classes; ++i) {
        ServiceClass one;
        one.name = class_name(i);
        one.latency_objective_s = 1;
        one.deadline_s = 5;
        one.priority_weight = 1 + static_cast<double>(i % 3);
        settings.classes.push_back(one);
    }
    for (std::size_t i = 0; i < plans; ++i) {
        Plan one;
        one.name = plan_name(i);
        one.rate = 1000;
        one.burst = 1000;
        one.over_quota_penalty = 1;
        settings.plans.push_back(one);
    }
    settings.zone = "zone-1";
    settings.ingress_count = 7000;
    settings.meter_period_s = 1;
    settings.max_attempts = 3;
    settings.cancellation_allowed = true;
    settings.retry_after_allowed = true;
    settings.max_retry_after_s = 1;
    settings.timer_resolution_s = 0.002;
    return settings;
}

std::string route_path(std::size_t i) {
    return "/api/v1/team-" + std::to_string(i % 300) + "/r" + std::to_string(i);
}

std::string route_condition(std::size_t i, std::size_t classes) {
    return "request.class == \"" + class_name(i % classes) + "\" && request.path.startsWith(\"" +
           route_path(i) + "/\")";
}

std::string operator_text(std::size_t routes, std::size_t classes) {
    std::string text;
    for (std::size_t s = 0; s < kZones; ++s)
        text += "[subset zone-" + std::to_string(s) + "]\nproviders = provider.locality == \"zone-" +
                std::to_string(s) + "\"\n";
    for (std::size_t i = 0; i < routes; ++i)
        text += "[route r" + std::to_string(i) + "]\nwhen = " + route_condition(i, classes) +
                "\nsubset = zone-" + std::to_string(i % kZones) + "\nspill = empty\n";
    return text;
}

}   // namespace slatejunction::scale
