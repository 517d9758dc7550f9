#include "config/config.hpp"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

#include "net/stream.hpp"

namespace slatejunction::config {
namespace {

using Json = rapidjson::Value;

constexpr std::size_t kSocketsLeast = 64;

using Warnings = std::vector<std::string>;

// An object and its path, for messages that name the field.
class Node {
  public:
    Node(const Json& json, std::string path, Warnings& warnings)
        : json_(json), path_(std::move(path)), warnings_(warnings) {
        if (!json_.IsObject()) throw Bad(path_ + " is not an object");
    }
    std::string at(const char* name) const { return path_.empty() ? name : path_ + "." + name; }
    const Json* find(const char* name) const {
        const auto at = json_.FindMember(name);
        return at == json_.MemberEnd() || at->value.IsNull() ? nullptr : &at->value;
    }
    const Json& need(const char* name) const {
        const Json* value = find(name);
        if (!value) throw Bad(at(name) + " is missing");
        return *value;
    }
    std::optional<Node> node(const char* name) const {
        const Json* value = find(name);
        return value ? std::optional<Node>(Node(*value, at(name), warnings_)) : std::nullopt;
    }
    std::string text(const char* name) const { return find(name) ? text_of(*find(name), at(name)) : ""; }
    std::string needed_text(const char* name) const {
        std::string value = text_of(need(name), at(name));
        if (value.empty()) throw Bad(at(name) + " is empty");
        return value;
    }
    double real(const char* name, double otherwise = 0) const {
        return find(name) ? needed_real(name) : otherwise;
    }
    double needed_real(const char* name) const {
        const Json& value = need(name);
        if (!value.IsNumber() || !std::isfinite(value.GetDouble()))
            throw Bad(at(name) + " is not a number");
        const double given = value.GetDouble();
        const double taken = std::clamp(given, -kFigureMost, kFigureMost);
        if (taken != given)
            warn(at(name) + " is out of range and taken as " + (taken < 0 ? "-1e15" : "1e15"));
        return taken;
    }
    double positive(const char* name, double otherwise) const {
        const double value = real(name, otherwise);
        if (value <= 0) throw Bad(at(name) + " is not above 0");
        return value;
    }
    bool flag(const char* name) const {
        const Json* value = find(name);
        if (value && !value->IsBool()) throw Bad(at(name) + " is neither true nor false");
        return value && value->GetBool();
    }
    template <class Use>   // each element of a list, with its path
    void each(const char* name, Use use) const {
        const Json* list = find(name);
        if (!list) return;
        if (!list->IsArray()) throw Bad(at(name) + " is not a list");
        for (rapidjson::SizeType i = 0; i < list->Size(); ++i)
            use((*list)[i], at(name) + "[" + std::to_string(i) + "]");
    }
    void warn(std::string line) const { warnings_.push_back(std::move(line)); }
    Warnings& warnings() const { return warnings_; }
    static std::string text_of(const Json& value, const std::string& path) {
        if (!value.IsString()) throw Bad(path + " is not a text");
        return {value.GetString(), value.GetStringLength()};
    }

  private:
    const Json& json_;
    std::string path_;
    Warnings& warnings_;
};

template <class T>
T one_of(const Node& node, const char* name, std::initializer_list<std::pair<const char*, T>> choices,
         std::optional<T> otherwise = {}) {
    const std::string word = node.text(name);
    for (const auto& [text, value] : choices)
        if (word == text) return value;
    if (word.empty() && otherwise) return *otherwise;
    throw Bad(node.at(name) + " is unknown: '" + word + "'");
}

slatejunction::ServiceClass read_class(const Node& node) {
    using slatejunction::Idempotency, slatejunction::IdempotencyScope;
    slatejunction::ServiceClass c;
    c.name = node.needed_text("Name");
    c.latency_objective_s = node.needed_real("AimS");
    c.deadline_s = node.real("DeadlineS");
    c.idempotency = one_of<Idempotency>(node, "Effect",
                                        {{"pure", Idempotency::idempotent},
                                         {"token", Idempotency::idempotency_key},
                                         {"side_effect", Idempotency::not_idempotent}});
    c.idempotency_scope = one_of<IdempotencyScope>(node, "Group",
                                                   {{"all", IdempotencyScope::all},
                                                    {"zone", IdempotencyScope::zone},
                                                    {"cell", IdempotencyScope::cell}},
                                                   IdempotencyScope::all);
    c.idempotency_window_s = node.real("WindowS");
    c.streaming = node.flag("Stream");
    c.priority_weight = node.real("Worth");
    c.late_priority_weight = node.real("LateWorth");
    return c;
}

slatejunction::Plan read_plan(const Node& node) {
    slatejunction::Plan p;
    p.name = node.needed_text("Name");
    p.rate = node.real("UnitsPerS");
    p.burst = node.real("Depth");
    p.hard_limit_rate = node.real("CeilingRate");
    p.hard_limit_burst = node.real("HardBurst");
    p.hard_limit_slack = node.real("Tolerance");
    p.max_in_flight = node.real("MaxOut");
    p.plan_weight = node.real("Price");
    p.over_quota_weight = node.real("ExtraWorth");
    p.over_quota_penalty = node.real("OverCost");
    return p;
}

// Of two of one name the second is never found.
template <class Named>
void add_named(std::vector<Named>& all, Named one, const Node& node) {
    const auto same = [&](const Named& other) { return other.name == one.name; };
    if (std::any_of(all.begin(), all.end(), same))
        node.warn(node.at("Name") + " is given twice, the first counts: '" + one.name + "'");
    all.push_back(std::move(one));
}

void read_settings(const Node& node, Config& config) {
    slatejunction::Settings& s = config.settings;
    node.need("Services");
    node.each("Services", [&](const Json& one, const std::string& path) {
        const Node its(one, path, config.warnings);
        add_named(s.classes, read_class(its), its);
    });
    if (s.classes.empty()) throw Bad(node.at("Services") + " is empty");
    node.each("Contracts", [&](const Json& one, const std::string& path) {
        const Node its(one, path, config.warnings);
        add_named(s.plans, read_plan(its), its);
    });
    if (const auto reports = node.node("Telemetry")) {
        const std::string how = reports->text("How");
        if (how == "inline" || how == "on_probe")
            reports->each("Fields", [&](const Json& one, const std::string& path) {
                s.report_fields.push_back(Node::text_of(one, path));
            });
        s.reports_on_health_check_only = how == "on_probe";
    }
    s.zone = node.text("Zone");
    s.discovery =
        one_of<slatejunction::DiscoveryMode>(node, "Discovery",
                                             {{"automatic", slatejunction::DiscoveryMode::automatic},
                                              {"subscribe", slatejunction::DiscoveryMode::subscribe}},
                                             slatejunction::DiscoveryMode::automatic);
    s.ingress_index = discovery::to_integer(node.real("MyNumber"));
    s.ingress_count = node.needed_real("Balancers");
    s.timer_resolution_s = node.real("QuantumS");
    if (const auto info = node.node("FamilyInfo")) {
        s.meter_period_s = info->real("MeterPeriodS");
        s.max_request_units = info->real("UnitsTop");
    }
    const Node limits(node.need("Limits"), node.at("Limits"), config.warnings);
    s.max_attempts = limits.needed_real("AttemptsCap");
    s.hedging_allowed = limits.flag("ParallelTries");
    s.cancellation_allowed = limits.flag("Cancel");
    s.health_checks_allowed = limits.flag("Probes");
    s.retry_after_allowed = limits.flag("RetryAfter");
    s.max_retry_after_s = limits.real("MaxRetryAfterS");
    config.max_open_requests = static_cast<std::size_t>(std::max(0.0, limits.real("MaxOpen")));
    config.dial_timeout_s = limits.positive("DialTimeoutS", config.dial_timeout_s);
    config.keepalive_s = limits.positive("KeepaliveS", config.keepalive_s);
    if (const auto rules = node.node("Rules")) {
        s.watch_retry_within_s = rules->real("AskWithinS");
        s.slow_start_min_capacity = rules->real("ColdFrom");
        s.slow_start_window_s = rules->real("WarmWithinS");
        s.overload_multiple = rules->real("FallMultiple");
        s.overload_window_s = rules->real("FallS");
    }
}

void check_address(const std::string& address, const char* field) {
    if (!net::parse_address(address))
        throw Bad(std::string(field) + " is no address and port: '" + address + "'");
}

// Only a copy of what the directory tells anew: a fault in it is no reason not to start.
void read_known(const Node& root, const discovery::UnixTimeConverter& clock, Config& config) {
    if (const Json* known = root.find("known")) {
        int broken = 0;
        if (!discovery::read_cached_list(*known, clock, config.known, broken))
            root.warn("known is not a list of the directory and was left out");
        else if (!config.known.revision)
            root.warn("known.revision is missing: the directory's whole list is asked for");
        if (broken > 0)
            root.warn("known.members: " + std::to_string(broken) +
                      " entries that can't be read were left out");
    }
    config.known.update.kind = slatejunction::EndpointUpdateKind::cached_snapshot;
}

}   // namespace

Config read(const std::string& text, const discovery::UnixTimeConverter& clock) {
    rapidjson::Document json;
    discovery::parse_json(text, json);
    if (json.HasParseError())
        throw Bad(
            "configuration is not JSON: " + std::string(rapidjson::GetParseError_En(json.GetParseError())) +
            " at byte " + std::to_string(json.GetErrorOffset()));
    Config config;
    const Node root(json, "", config.warnings);
    config.name = root.text("name");
    config.listen = root.text("listen");
    config.discovery_address = root.text("discovery");
    config.admin = root.text("admin_addr");
    if (const std::string seed = root.text("seed"); !seed.empty()) {
        const char* last = seed.data() + seed.size();
        const auto [end, fault] = std::from_chars(seed.data(), last, config.seed, 16);
        if (fault != std::errc() || end != last) throw Bad("seed is not hexadecimal: '" + seed + "'");
    }
    if (const auto limits = root.node("limits")) {
        const double sockets = limits->positive("sockets", static_cast<double>(config.sockets));
        if (sockets < kSocketsLeast) throw Bad("limits.sockets is under 64");
        config.sockets = config.stated_sockets = static_cast<std::size_t>(std::min(sockets, 1e6));
    }
    if (const auto limits = root.node("limits"))
        config.memory_mb = limits->positive("memory_mb", config.memory_mb);
    // The module calls no counter, but a file that names a broken one is a broken file.
    if (const std::string counter = root.text("counter"); !counter.empty())
        check_address(counter, "counter");
    read_settings(Node(root.need("settings"), "settings", config.warnings), config);
    read_known(root, clock, config);
    return config;
}

Config load(const std::string& path, const discovery::UnixTimeConverter& clock, LoadTime moment) {
    const auto variable = [](const char* name) {
        const char* value = std::getenv(name);
        return std::string(value ? value : "");
    };
    const std::string file = path.empty() ? variable("NODE_CONFIG") : path;
    if (file.empty()) throw Bad("NODE_CONFIG is missing");
    // Guards against a reload that waits for ever: a pipe that was read at the start may have no writer
    // now.
    std::error_code fault;
    if (moment == LoadTime::reload && std::filesystem::is_fifo(file, fault))
        throw Bad("NODE_CONFIG is a pipe, which can't be read again: '" + file + "'");
    std::ifstream in(file, std::ios::binary);
    std::stringstream text;
    text << in.rdbuf();
    if (!in || text.str().empty()) throw Bad("NODE_CONFIG can't be read: '" + file + "'");
    Config config = read(text.str(), clock);
    // The name of a setting is that of the place it came from.
    const auto override_by = [&](std::string& value, const char* name, const char* field) {
        const std::string set = variable(name);
        if (!set.empty()) value = set;
        return set.empty() ? field : name;
    };
    override_by(config.name, "NODE_NAME", "name");
    check_address(config.listen, override_by(config.listen, "NODE_LISTEN", "listen"));
    const char* admin = override_by(config.admin, "NODE_ADMIN_ADDR", "admin_addr");
    if (!config.admin.empty()) check_address(config.admin, admin);
    config.temporary = variable("TMPDIR");
    check_address(config.discovery_address,
                  moment == LoadTime::reload
                      ? "discovery"
                      : override_by(config.discovery_address, "NODE_DISCOVERY", "discovery"));
    return config;
}

void hold_descriptors(Config& config) {
    // Budgets follow what the process may really hold, should the platform allow less than it states.
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur < config.sockets) {
        files.rlim_cur = std::min<rlim_t>(config.sockets, files.rlim_max);
        if (setrlimit(RLIMIT_NOFILE, &files) != 0) throw Bad("limits.sockets can't be had");
        if (files.rlim_cur < kSocketsLeast) throw Bad("the limit on open files is under 64");
        config.sockets = files.rlim_cur;
    }
}

}   // namespace slatejunction::config
