#include "simulator_adapter/event_lines.hpp"

#include <cmath>
#include <map>

namespace slatejunction::simulator {
namespace {

/// The settings of a BEGIN line, from its `key=value` columns. Unknown keys are ignored.
class SettingColumns {
  public:
    SettingColumns(const Columns& columns, std::size_t first) {
        for (std::size_t i = first; i < columns.size(); ++i) {
            const std::size_t separator = columns[i].find('=');
            if (separator == std::string_view::npos)
                throw MalformedLine("setting without '=': '" + std::string(columns[i]) + "'");
            const std::string key(columns[i].substr(0, separator));
            values_[key] = std::string(columns[i].substr(separator + 1));
        }
    }
    std::string text(const std::string& key) const {
        const auto found = values_.find(key);
        return found == values_.end() ? std::string() : found->second;
    }
    double number(const std::string& key) const {
        const auto found = values_.find(key);
        return found == values_.end() ? 0 : parse_number(found->second, key.c_str());
    }
    double required_number(const std::string& key) const {
        if (values_.find(key) == values_.end())
            throw MalformedLine("required setting " + key + " is missing");
        return number(key);
    }
    bool flag(const std::string& key) const {
        const std::string value = text(key);
        return value == "true" || value == "1";
    }

  private:
    std::map<std::string, std::string> values_;
};

Idempotency parse_idempotency(const std::string& name) {
    if (name == "pure") return Idempotency::idempotent;
    if (name == "token") return Idempotency::idempotency_key;
    if (name == "side_effect") return Idempotency::not_idempotent;
    throw MalformedLine("Effect must be pure, token or side_effect: '" + name + "'");
}

IdempotencyScope parse_scope(const std::string& name) {
    if (name == "zone") return IdempotencyScope::zone;
    if (name == "cell") return IdempotencyScope::cell;
    return IdempotencyScope::all;
}

ServiceClass parse_service_class(const SettingColumns& config, const std::string& prefix) {
    ServiceClass service_class;
    service_class.name = config.text(prefix + "Name");
    if (service_class.name.empty()) throw MalformedLine("required setting " + prefix + "Name is missing");
    service_class.latency_objective_s = config.required_number(prefix + "AimS");
    service_class.deadline_s = config.number(prefix + "DeadlineS");
    service_class.idempotency = parse_idempotency(config.text(prefix + "Effect"));
    service_class.idempotency_scope = parse_scope(config.text(prefix + "Group"));
    service_class.idempotency_window_s = config.number(prefix + "WindowS");
    service_class.streaming = config.flag(prefix + "Stream");
    service_class.priority_weight = config.number(prefix + "Worth");
    service_class.late_priority_weight = config.number(prefix + "LateWorth");
    return service_class;
}

Plan parse_plan(const SettingColumns& config, const std::string& prefix) {
    Plan plan;
    plan.name = config.text(prefix + "Name");
    plan.rate = config.number(prefix + "UnitsPerS");
    plan.burst = config.number(prefix + "Depth");
    plan.hard_limit_rate = config.number(prefix + "CeilingRate");
    plan.hard_limit_burst = config.number(prefix + "HardBurst");
    plan.hard_limit_slack = config.number(prefix + "Tolerance");
    plan.max_in_flight = config.number(prefix + "MaxOut");
    plan.plan_weight = config.number(prefix + "Price");
    plan.over_quota_weight = config.number(prefix + "ExtraWorth");
    plan.over_quota_penalty = config.number(prefix + "OverCost");
    return plan;
}

void parse_reports(const SettingColumns& config, Settings& settings) {
    const std::string source = config.text("Telemetry.How");
    if (source == "inline" || source == "on_probe")
        for (const std::string_view field : split(config.text("Telemetry.Fields"), ','))
            settings.report_fields.emplace_back(field);
    settings.reports_on_health_check_only = source == "on_probe";
}

/// Parses column StageState of an M line.
EndpointState parse_endpoint_state(const std::string& state) {
    if (state == "IN") return EndpointState::serving;
    if (state == "LAME") return EndpointState::draining;
    if (state == "OUT") return EndpointState::removed;
    throw MalformedLine("StageState must be IN, LAME or OUT: '" + state + "'");
}

/// Column Bits of a CALL line: bit value 2 marks a client's retry.
bool is_client_retry(double bits) { return bits >= 0 && bits < 1024 && (static_cast<int>(bits) & 2) != 0; }

/// Parses column Result, whose numbers are those of AttemptResult.
AttemptResult parse_attempt_result(ColumnReader& columns) {
    const int code = columns.integer<int>("Result");
    if (code < 0 || code > 7) throw MalformedLine("Result must be between 0 and 7");
    return static_cast<AttemptResult>(code);
}

/// Parses a CALL line.
Request parse_request(ColumnReader columns) {
    Request request;
    request.id = columns.string("Job");
    request.service_class = columns.string("Class");
    request.plan = columns.string("Contract");
    request.units = columns.number("CostUnits");
    columns.number_or_0("Base");
    request.customer = columns.integer<std::uint64_t>("Customer");
    request.deadline_at_s = columns.number("DueS");
    request.is_client_retry = is_client_retry(columns.number_or_0("Bits"));
    request.ingress_count = columns.number_or_0("Doors");
    return request;
}

/// Parses an ATTEMPT_END line.
AttemptEnded parse_attempt_ended(ColumnReader columns) {
    AttemptEnded ended;
    ended.id = columns.string("Job");
    ended.attempt = columns.integer<std::int64_t>("SeqNo");
    columns.text("Server");
    ended.result = parse_attempt_result(columns);
    ended.duration_s = columns.number("TookS");
    ended.request_ended = columns.flag("NoMore");
    ended.quota_use = columns.number_or_0("QuotaUse");
    ended.charged_units = columns.number_or_0("Charged");
    ended.report = columns.numbers("Telemetry");
    return ended;
}

/// Parses a FIRST line.
StreamStarted parse_stream_started(ColumnReader columns) {
    StreamStarted started;
    started.id = columns.string("Job");
    columns.text("Server");
    started.attempt = columns.integer<std::int64_t>("SeqNo");
    return started;
}

/// Parses a CHECK_RESULT line.
HealthCheckEnded parse_health_check_ended(ColumnReader columns) {
    HealthCheckEnded check;
    check.backend = columns.string("Server");
    check.result = parse_attempt_result(columns);
    check.duration_s = columns.number("TookS");
    check.report = columns.numbers("Telemetry");
    return check;
}

/// Parses a TICK_DUE line.
TimerFired parse_timer_fired(ColumnReader columns) {
    return TimerFired{columns.integer<std::uint64_t>("Tag")};
}

/// Parses a CLIENT_GONE line.
ClientDisconnected parse_client_disconnected(ColumnReader columns) {
    return ClientDisconnected{columns.string("Job")};
}

}   // namespace

Columns split(std::string_view text, char separator) {
    Columns columns;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = text.find(separator, begin);
        columns.push_back(text.substr(begin, end - begin));
        if (end == std::string_view::npos) return columns;
        begin = end + 1;
    }
}

double parse_number(std::string_view text, const char* name) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        throw MalformedLine(std::string(name) + " must be a finite number: '" + std::string(text) + "'");
    return value;
}

Settings parse_settings(const Columns& columns, std::size_t first) {
    const SettingColumns config(columns, first);
    Settings settings;
    const auto classes = static_cast<int>(config.required_number("Services.count"));
    for (int i = 0; i < classes; ++i)
        settings.classes.push_back(parse_service_class(config, "Services." + std::to_string(i) + "."));
    const auto plans = static_cast<int>(config.number("Contracts.count"));
    for (int i = 0; i < plans; ++i)
        settings.plans.push_back(parse_plan(config, "Contracts." + std::to_string(i) + "."));
    parse_reports(config, settings);
    settings.zone = config.text("Zone");
    settings.discovery =
        config.text("Discovery") == "subscribe" ? DiscoveryMode::subscribe : DiscoveryMode::automatic;
    settings.ingress_index = static_cast<std::int64_t>(config.number("MyNumber"));
    settings.ingress_count = config.required_number("Balancers");
    settings.meter_period_s = config.number("FamilyInfo.MeterPeriodS");
    settings.max_request_units = config.number("FamilyInfo.UnitsTop");
    settings.max_attempts = config.required_number("Limits.AttemptsCap");
    settings.hedging_allowed = config.flag("Limits.ParallelTries");
    settings.cancellation_allowed = config.flag("Limits.Cancel");
    settings.health_checks_allowed = config.flag("Limits.Probes");
    settings.retry_after_allowed = config.flag("Limits.RetryAfter");
    settings.max_retry_after_s = config.number("Limits.MaxRetryAfterS");
    settings.timer_resolution_s = config.number("QuantumS");
    settings.watch_retry_within_s = config.number("Rules.AskWithinS");
    settings.slow_start_min_capacity = config.number("Rules.ColdFrom");
    settings.slow_start_window_s = config.number("Rules.WarmWithinS");
    settings.overload_multiple = config.number("Rules.FallMultiple");
    settings.overload_window_s = config.number("Rules.FallS");
    return settings;
}

EndpointUpdateKind parse_update_kind(const std::string& form) {
    if (form == "incr") return EndpointUpdateKind::delta;
    if (form == "total") return EndpointUpdateKind::snapshot;
    if (form == "warm_copy") return EndpointUpdateKind::cached_snapshot;
    if (form == "lost") return EndpointUpdateKind::watch_lost;
    throw MalformedLine("Form must be incr, total, warm_copy or lost: '" + form + "'");
}

Endpoint parse_endpoint(ColumnReader columns) {
    Endpoint endpoint;
    endpoint.state = parse_endpoint_state(columns.string("StageState"));
    endpoint.backend = columns.string("Server");
    if (endpoint.state == EndpointState::removed) return endpoint;
    endpoint.flavor = columns.string("GenerationHw");
    endpoint.zone = columns.string("Az");
    endpoint.capacity_hint = columns.number_or_0("CapacityHint");
    endpoint.cell = static_cast<std::int64_t>(columns.number_or_0("UnitGroup"));
    endpoint.started_at_s = columns.number_or_0("BornS");
    return endpoint;
}

bool is_event_name(std::string_view name) {
    for (const char* known : {"BEGIN", "DIRECTORY_UPDATE", "CALL", "MEMO", "CHECK_RESULT", "FIRST",
                              "TALLIED", "TICK_DUE", "CLIENT_GONE", "ATTEMPT_END", "SHUTDOWN"})
        if (name == known) return true;
    return false;
}

std::optional<Event> parse_event(std::string_view name, const ColumnReader& columns) {
    if (name == "CALL") return parse_request(columns);
    if (name == "ATTEMPT_END") return parse_attempt_ended(columns);
    if (name == "FIRST") return parse_stream_started(columns);
    if (name == "CHECK_RESULT") return parse_health_check_ended(columns);
    if (name == "TICK_DUE") return parse_timer_fired(columns);
    if (name == "CLIENT_GONE") return parse_client_disconnected(columns);
    return std::nullopt;
}

}   // namespace slatejunction::simulator
